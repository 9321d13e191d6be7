// Package deadlineexec runs a command that is ended at a deadline, which can be extended, whatever becomes of the process that started it.
// The command runs below a supervisor process, which ends it with its process group when the deadline has come or the parent has exited: a
// parent that is stopped could not. Processes that leave the process group, as daemons do, are not ended.
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

// GracePeriod is how long before the deadline a command gets SIGTERM. At the deadline it gets SIGKILL.
const GracePeriod = time.Second

// ExitKilled is the exit status of a command that was ended.
const ExitKilled = 124

// deadlineEnv has the first deadline of a supervisor process.
const deadlineEnv = "TULIP_LEASH"

// ErrKilled is returned by Wait for a command that was ended.
var ErrKilled = errors.New("the command was ended")

// Cmd is a command with a deadline.
type Cmd struct {
	supervisor *exec.Cmd

	mu        sync.Mutex
	deadlines io.WriteCloser // a line for each extension; closed: end now
}

// Start starts a command that is ended at a time of a clock that all processes of the machine share. The calling program must call Role
// first in main, with the same clock.
func Start(deadline time.Duration, env []string, stdout, stderr io.Writer, args ...string) (*Cmd, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = reader.Close() }() // the supervisor has its own
	c := &Cmd{supervisor: exec.Command(executable, args...), deadlines: writer}
	c.supervisor.Env = append(env, deadlineEnv+"="+formatTime(deadline))
	c.supervisor.Stdin = os.Stdin
	c.supervisor.Stdout = stdout
	c.supervisor.Stderr = stderr
	c.supervisor.ExtraFiles = []*os.File{reader}
	// In a group of its own, it does not get signals that a terminal sends to the parent's group.
	c.supervisor.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.supervisor.Start(); err != nil {
		return nil, errors.Join(err, writer.Close())
	}
	return c, nil
}

// ExtendDeadline extends the deadline. An earlier deadline than the current one changes nothing.
func (c *Cmd) ExtendDeadline(deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.deadlines, formatTime(deadline)) // fails if the supervisor has exited
}

// Terminate ends the command, with SIGTERM first.
func (c *Cmd) Terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.deadlines.Close()
}

// Wait waits until the command and its process group have ended.
func (c *Cmd) Wait() error {
	err := c.supervisor.Wait()
	c.Terminate()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == ExitKilled {
		return ErrKilled
	}
	return err
}

// formatTime returns the form of a time in the environment and in the pipe to a supervisor.
func formatTime(t time.Duration) string { return strconv.FormatInt(int64(t), 10) }

// parseTime parses the form that formatTime returns.
func parseTime(text string) (time.Duration, error) {
	nanoseconds, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(nanoseconds), err
}
