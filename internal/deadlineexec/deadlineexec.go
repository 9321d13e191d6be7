// Package deadlineexec runs a command that must be over by a time that is put off again and again, whatever becomes of who does that. The
// command runs below a process of its own, which ends it, with its process group, when the time is up or its parent is gone:
// a parent that is stopped could not. What leaves the process group, as a daemon does, is not on the leash.
package deadlineexec

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// TerminationNotice is how long before its time a command is asked to end, by SIGTERM.
const TerminationNotice = time.Second

// Killed is the exit status of a command that was ended.
const Killed = 124

const roleEnv = "TULIP_LEASH"

// Cmd is a command on a leash.
type Cmd struct {
	cmd *exec.Cmd
	mu  sync.Mutex
	to  io.WriteCloser
}

// Start starts a command that must be over at a time of clock's, which must be one that all processes have. The program that
// calls it must call Role first thing in main.
func Start(till time.Duration, env []string, out, errs io.Writer, args ...string) (*Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	c := &Cmd{cmd: exec.Command(self, args...), to: w}
	c.cmd.Env = append(env, roleEnv+"="+strconv.FormatInt(int64(till), 10))
	c.cmd.Stdin, c.cmd.Stdout, c.cmd.Stderr = os.Stdin, out, errs
	c.cmd.ExtraFiles = []*os.File{r}
	// A group of its own: what stops or interrupts the parent from a terminal does not reach it.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return c, nil
}

// Until puts the end off to a later time.
func (c *Cmd) Until(till time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.to, int64(till)) // it may be over
}

// End has the command ended now.
func (c *Cmd) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.to.Close()
}

// ErrKilled is what Wait returns of a command that was ended.
var ErrKilled = errors.New("the command was ended")

// Wait waits until it is over, with all that is on the leash.
func (c *Cmd) Wait() error {
	err := c.cmd.Wait()
	c.End()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == Killed {
		return ErrKilled
	}
	return err
}

// Role is to be called first thing in main: a process that was started to hold a leash does so, and does not return.
func Role(clock func() time.Duration) {
	raw := os.Getenv(roleEnv)
	if raw == "" {
		return
	}
	till, err := strconv.ParseInt(raw, 10, 64)
	if err == nil {
		err = os.Unsetenv(roleEnv)
	}
	if err != nil || len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, roleEnv, err)
		os.Exit(2)
	}
	os.Exit(hold(clock, time.Duration(till), os.Args[1:]))
}

func hold(clock func() time.Duration, till time.Duration, args []string) int {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT) // only the time and the parent end it; ignored, the command would inherit it
	later, gone := make(chan time.Duration), make(chan struct{})
	go func() {
		defer close(gone)
		for lines := bufio.NewScanner(os.NewFile(3, "leash")); lines.Scan(); {
			if t, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil {
				later <- time.Duration(t)
			}
		}
	}()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 127
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // its state tells
		close(done)
	}()
	tell := func(s syscall.Signal) { _ = syscall.Kill(-cmd.Process.Pid, s) }
	asked := false
	for {
		now := clock()
		if now >= till {
			tell(syscall.SIGKILL)
			<-done
			return Killed
		}
		wait := till - now
		if !asked && wait <= TerminationNotice {
			asked = true
			tell(syscall.SIGTERM)
		} else if !asked {
			wait -= TerminationNotice
		}
		select {
		case <-done:
			if asked {
				tell(syscall.SIGKILL) // what it has left in its group
				return Killed
			}
			if s, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && s.Signaled() {
				return 128 + int(s.Signal())
			}
			return cmd.ProcessState.ExitCode()
		case t := <-later:
			till = max(till, t)
		case <-gone:
			gone = nil
			till = min(till, now+TerminationNotice)
		case <-time.After(min(wait, 50*time.Millisecond)): // clock may not be the one that timers go by
		}
	}
}
