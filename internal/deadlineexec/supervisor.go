package deadlineexec

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a supervisor that could not run its command, and the offset of that of a command that a signal has ended; all as a
// shell has them.
const (
	exitUsage        = 2
	exitNotStarted   = 127
	exitSignalOffset = 128
)

const (
	// deadlinesFD is the first of the extra files that Start passes on.
	deadlinesFD = 3
	// maxWait bounds the time between two looks at the clock, which may not be the one of timers.
	maxWait = 50 * time.Millisecond
)

// RunSupervisor must be called first in main. In a process that Start has started as a supervisor it runs the command, and does not return.
func RunSupervisor(clock func() time.Duration) {
	raw := os.Getenv(deadlineEnv)
	if raw == "" {
		return
	}
	deadline, err := parseTime(raw)
	if err == nil {
		err = os.Unsetenv(deadlineEnv) // the command must not inherit it
	}
	if err != nil || len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, deadlineEnv, err)
		os.Exit(exitUsage)
	}
	os.Exit(supervise(clock, deadline, os.Args[1:]))
}

// supervise runs a command until it ends or the deadline has come, and returns the exit status.
func supervise(clock func() time.Duration, deadline time.Duration, args []string) int {
	// Only the deadline and the parent end a supervisor. Signals are caught, since the command would inherit that they are ignored.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT)
	extensions, parentClosed := readDeadlines()
	command := exec.Command(args[0], args[1:]...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotStarted
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // ProcessState has the result
		close(exited)
	}()
	terminated := false
	for {
		now := clock()
		if now >= deadline {
			signalGroup(command, syscall.SIGKILL)
			<-exited
			return ExitKilled
		}
		wait := deadline - now
		if !terminated && wait <= GracePeriod {
			terminated = true
			signalGroup(command, syscall.SIGTERM)
		} else if !terminated {
			wait -= GracePeriod
		}
		select {
		case <-exited:
			if terminated {
				signalGroup(command, syscall.SIGKILL) // what is left of its group
				return ExitKilled
			}
			return exitStatus(command.ProcessState)
		case extended := <-extensions:
			deadline = max(deadline, extended)
		case <-parentClosed:
			parentClosed = nil
			deadline = min(deadline, now+GracePeriod)
		case <-time.After(min(wait, maxWait)):
		}
	}
}

// readDeadlines reads the deadlines that the parent sends. The second channel is closed when the parent has closed the pipe or exited.
func readDeadlines() (<-chan time.Duration, <-chan struct{}) {
	deadlines := make(chan time.Duration)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		lines := bufio.NewScanner(os.NewFile(deadlinesFD, "deadlines"))
		for lines.Scan() {
			if deadline, err := parseTime(lines.Text()); err == nil {
				deadlines <- deadline
			}
		}
	}()
	return deadlines, closed
}

// signalGroup sends a signal to a command's process group. It fails if no process is left.
func signalGroup(command *exec.Cmd, s syscall.Signal) { _ = syscall.Kill(-command.Process.Pid, s) }

// exitStatus returns the status of a command that ended by itself.
func exitStatus(state *os.ProcessState) int {
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return exitSignalOffset + int(status.Signal())
	}
	return state.ExitCode()
}
