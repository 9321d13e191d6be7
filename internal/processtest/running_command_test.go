package processtest

import (
	"bytes"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

// outputTimeout is the maximum time that tests wait for the output of a command.
const outputTimeout = time.Minute

// runningCommand is a running command of tulipctl with the output that it has written so far.
type runningCommand struct {
	command *exec.Cmd
	written chan struct{} // receives a value after a write
	exited  chan error    // receives the result of the command when it has exited

	mu     sync.Mutex
	output bytes.Buffer
}

// startCommand starts a command whose standard output and standard error are collected.
func startCommand(t *testing.T, command *exec.Cmd) *runningCommand {
	t.Helper()
	r := &runningCommand{command: command, written: make(chan struct{}, 1), exited: make(chan error, 1)}
	command.Stdout, command.Stderr = r, r
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.exited <- command.Wait() }()
	return r
}

// Write appends output of the command to the collected output.
func (r *runningCommand) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.written <- struct{}{}:
	default:
	}
	return r.output.Write(p)
}

func (r *runningCommand) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output.String()
}

// awaitOutput waits until the output contains a text at least the given number of times.
func (r *runningCommand) awaitOutput(t *testing.T, text string, times int) {
	t.Helper()
	timeout := time.After(outputTimeout)
	for strings.Count(r.text(), text) < times {
		select {
		case <-r.written:
		case <-timeout:
			t.Fatalf("the output does not contain %q %d times:\n%s", text, times, r.text())
		}
	}
}
