package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// reloadConfig is a configuration that differs in its number of attempts.
const reloadConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	"settings":{"discovery":"ask","peers_total":1,"zones":["z"],"tick_us":5000,
	"profiles":[` + readClass + `],
	"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":%d,"max_open":20000},
	"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`

// waitUntil waits until a condition holds, as long as the process runs and the timeout has not passed.
func (p *process) waitUntil(t *testing.T, description string, timeout <-chan time.Time, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-p.ended:
			t.Fatalf("the process has ended before %s: %v, %s", description, p.cmd.ProcessState, p.output)
		case <-timeout:
			t.Fatalf("not %s: %s", description, p.output)
		default:
		}
	}
}

// A SIGHUP that reaches a process before it has read its configuration does not end it, and is not lost: the file is read
// once more. The file is a pipe here, so that the test decides when the process reads it.
func TestReloadSignalBeforeConfigurationIsRead(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{configPath: pipe}
	p.start(t)
	defer p.kill()
	timeout := time.After(startupTimeout)
	// writeConfig writes a configuration once the process opens the pipe, after a call of beforeWrite.
	writeConfig := func(attempts int, beforeWrite func()) {
		t.Helper()
		var file *os.File
		p.waitUntil(t, "the file is opened", timeout, func() bool {
			var err error
			file, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // succeeds as soon as there is a reader
			return err == nil
		})
		beforeWrite()
		_, _ = fmt.Fprintf(file, reloadConfig, attempts) // a failure shows in what the process logs
		_ = file.Close()
	}
	writeConfig(3, func() {
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	})
	p.waitUntil(t, "it serves", timeout, func() bool { return p.output.contains("msg=serving") }) // it has read all of the first file
	writeConfig(2, func() {})
	p.waitUntil(t, "the newer file is applied", timeout, func() bool {
		return p.output.contains("settings applied") && p.output.contains("attempts=2")
	})
}
