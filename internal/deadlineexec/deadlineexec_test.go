package deadlineexec

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// clock is a clock that all processes of the machine share.
func clock() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // cannot fail: the clock always exists
	return time.Duration(ts.Nano())
}

func TestMain(m *testing.M) {
	RunSupervisor(clock)
	os.Exit(m.Run())
}

// start starts a command whose deadline is the given time from now. Its output and errors go to out.
func start(t *testing.T, remaining time.Duration, out *bytes.Buffer, args ...string) *Cmd {
	t.Helper()
	c, err := Start(clock()+remaining, os.Environ(), out, out, args...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A command that ends before its deadline must keep its own exit status, and must not inherit the environment variable
// that makes a process a supervisor.
func TestCommandExitsWithItsOwnStatus(t *testing.T) {
	var out bytes.Buffer
	if err := start(t, time.Hour, &out, "sh", "-c", "echo hello $"+deadlineEnv).Wait(); err != nil || out.String() != "hello\n" {
		t.Errorf("%v %q", err, out.String())
	}
	var exit *exec.ExitError
	if err := start(t, time.Hour, &out, "sh", "-c", "exit 7").Wait(); !errors.As(err, &exit) || exit.ExitCode() != 7 {
		t.Error(err)
	}
	if err := start(t, time.Hour, &out, "sh", "-c", "kill -9 $$").Wait(); !errors.As(err, &exit) || exit.ExitCode() != 128+9 {
		t.Error(err)
	}
	if err := start(t, time.Hour, &out, "/no/such/program").Wait(); err == nil {
		t.Error("a missing program has no error")
	}
}

// A command whose deadline is not extended, for example because the parent is stopped, must get SIGTERM one second
// before the deadline and be killed at the deadline, together with a child that ignores SIGTERM. If the child survived,
// it would keep the pipe of the output open, and Wait would not return before it ends.
func TestCommandIsKilledAtDeadline(t *testing.T) {
	var out bytes.Buffer
	started := clock()
	script := "trap 'echo got SIGTERM' TERM; (trap '' TERM; sleep 100) & while :; do sleep 0.05; done"
	err := start(t, GracePeriod+300*time.Millisecond, &out, "sh", "-c", script).Wait()
	elapsed := clock() - started
	if !errors.Is(err, ErrKilled) || !strings.Contains(out.String(), "got SIGTERM") {
		t.Errorf("%v %q", err, out.String())
	}
	if elapsed < GracePeriod+300*time.Millisecond {
		t.Errorf("killed after %v, before its deadline", elapsed)
	}
}

// A command must run past its first deadline once that is extended, and until the parent calls Terminate.
func TestCommandRunsUntilTerminateAfterExtension(t *testing.T) {
	var out bytes.Buffer
	c := start(t, 2*GracePeriod, &out, "sh", "-c", "sleep 0.3; echo there; sleep 100")
	c.ExtendDeadline(clock() + time.Hour)
	c.ExtendDeadline(clock()) // an earlier deadline changes nothing
	time.AfterFunc(2*GracePeriod+300*time.Millisecond, c.Terminate)
	started := clock()
	if err := c.Wait(); !errors.Is(err, ErrKilled) || out.String() != "there\n" {
		t.Errorf("%v %q", err, out.String())
	}
	if elapsed := clock() - started; elapsed < 2*GracePeriod+300*time.Millisecond {
		t.Errorf("killed after %v, in spite of the extension", elapsed)
	}
}
