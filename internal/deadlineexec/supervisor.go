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

// Exit statuses of a supervisor, as those of a shell: for wrong arguments, for a command that could not be started, and
// the offset that is added to the number of a signal that has ended the command.
const (
	exitUsage        = 2
	exitNotStarted   = 127
	exitSignalOffset = 128
)

const (
	// deadlinesFD is the file descriptor of the first of the ExtraFiles that Start passes: the pipe with the deadlines.
	deadlinesFD = 3
	// maxClockInterval bounds the time between two readings of the clock. The clock may differ from the one that Go's
	// timers use, so that a timer for the whole wait could fire too late.
	maxClockInterval = 50 * time.Millisecond
)

// RunSupervisor must be called first in main. In a process that Start has started as a supervisor, it runs the command
// and exits with the status of the command; in any other process it returns at once.
func RunSupervisor(clock func() time.Duration) {
	raw := os.Getenv(deadlineEnv)
	if raw == "" {
		return
	}
	deadline, err := parseTime(raw)
	if err == nil {
		err = os.Unsetenv(deadlineEnv) // the command must not inherit the variable
	}
	if err != nil || len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, deadlineEnv, err)
		os.Exit(exitUsage)
	}
	os.Exit(supervise(clock, deadline, os.Args[1:]))
}

// supervise runs a command until it ends or the deadline has passed, and returns the exit status for the supervisor.
func supervise(clock func() time.Duration, deadline time.Duration, args []string) int {
	// Only the deadline and the parent end a supervisor, so it must survive these signals. They are caught and not
	// ignored, since the command would inherit ignored signals.
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
		_ = command.Wait() // the result is in command.ProcessState
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
				signalGroup(command, syscall.SIGKILL) // the processes that are left of the command's group
				return ExitKilled
			}
			return exitStatus(command.ProcessState)
		case extended := <-extensions:
			deadline = max(deadline, extended)
		case <-parentClosed:
			parentClosed = nil
			deadline = min(deadline, now+GracePeriod)
		case <-time.After(min(wait, maxClockInterval)):
		}
	}
}

// readDeadlines returns a channel with the deadlines that the parent sends, and a channel that is closed when the
// parent has closed the pipe or exited.
func readDeadlines() (<-chan time.Duration, <-chan struct{}) {
	deadlines := make(chan time.Duration)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		scanner := bufio.NewScanner(os.NewFile(deadlinesFD, "deadlines"))
		for scanner.Scan() {
			if deadline, err := parseTime(scanner.Text()); err == nil {
				deadlines <- deadline
			}
		}
	}()
	return deadlines, closed
}

// signalGroup sends a signal to the process group of a command. The error is ignored: no process of the group may be
// left.
func signalGroup(command *exec.Cmd, sig syscall.Signal) { _ = syscall.Kill(-command.Process.Pid, sig) }

// exitStatus returns the exit status for a command that the supervisor has not ended: its own, or exitSignalOffset plus
// the number of the signal that has ended it.
func exitStatus(state *os.ProcessState) int {
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return exitSignalOffset + int(status.Signal())
	}
	return state.ExitCode()
}
