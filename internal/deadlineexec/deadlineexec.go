// Package deadlineexec runs a command that is killed at a deadline, whatever happens to the process that started it.
// The deadline can be extended. The command is the child of a supervisor process, which kills it and its process group
// when the deadline has passed or the parent has exited; the parent itself could not do that while it is stopped, for
// example by SIGSTOP. Processes that leave the process group, as daemons do, are not killed.
package deadlineexec

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// GracePeriod is how long before its deadline a command gets SIGTERM. At the deadline it gets SIGKILL.
const GracePeriod = time.Second

// ExitKilled is the exit status of a supervisor that has ended its command, whether with SIGTERM or with SIGKILL.
const ExitKilled = 124

// deadlineEnv is the environment variable in which a supervisor process gets its initial deadline.
const deadlineEnv = "TULIP_LEASH"

// ErrKilled is returned by Wait for a command that was ended at its deadline or by Terminate.
var ErrKilled = errors.New("the command was ended")

// Cmd is a running command with a deadline.
type Cmd struct {
	supervisor *exec.Cmd

	mu        sync.Mutex
	deadlines io.WriteCloser // pipe to the supervisor: one line per extension; closing it ends the command
}

// Start starts a command that is killed at the given deadline, if it has not ended before. The deadline is a time of a
// clock that all processes of the machine share. The calling program must call RunSupervisor first in main, with the
// same clock.
func Start(deadline time.Duration, env []string, stdout, stderr io.Writer, args ...string) (*Cmd, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = reader.Close() }() // the supervisor has its own copy of the descriptor
	c := &Cmd{supervisor: exec.Command(executable, args...), deadlines: writer}
	c.supervisor.Env = append(env, deadlineEnv+"="+formatTime(deadline))
	c.supervisor.Stdin = os.Stdin
	c.supervisor.Stdout = stdout
	c.supervisor.Stderr = stderr
	c.supervisor.ExtraFiles = []*os.File{reader}
	// In a process group of its own, the supervisor does not get the signals that a terminal sends to the parent's
	// group.
	c.supervisor.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.supervisor.Start(); err != nil {
		return nil, errors.Join(err, writer.Close())
	}
	return c, nil
}

// ExtendDeadline moves the deadline to a later time. A time before the current deadline has no effect.
func (c *Cmd) ExtendDeadline(deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.deadlines, formatTime(deadline)) // fails if the supervisor has exited
}

// Terminate ends the command: it gets SIGTERM at once, and SIGKILL after GracePeriod or at the deadline if that is
// earlier.
func (c *Cmd) Terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.deadlines.Close()
}

// Wait waits until the command has ended and, if its output does not go to a file, until all processes have closed the
// output. If the supervisor has ended the command, its process group has been killed as well and Wait returns
// ErrKilled; otherwise it returns nil or the error for the command's exit status.
func (c *Cmd) Wait() error {
	err := c.supervisor.Wait()
	c.Terminate()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == ExitKilled {
		return ErrKilled
	}
	return err
}

// formatTime formats a time for the environment of a supervisor and for the pipe to it.
func formatTime(t time.Duration) string { return strconv.FormatInt(int64(t), 10) }

// parseTime parses a time that formatTime has formatted.
func parseTime(text string) (time.Duration, error) {
	nanoseconds, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(nanoseconds), err
}
