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

func clock() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // always there
	return time.Duration(ts.Nano())
}

func TestMain(m *testing.M) {
	Role(clock)
	os.Exit(m.Run())
}

func start(t *testing.T, within time.Duration, out *bytes.Buffer, args ...string) *Cmd {
	t.Helper()
	c, err := Start(clock()+within, os.Environ(), out, out, args...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A command that ends by itself ends with its own status; the leash is not in its way.
func TestAnEndOfItsOwn(t *testing.T) {
	var out bytes.Buffer
	if err := start(t, time.Hour, &out, "sh", "-c", "echo hello $"+roleEnv).Wait(); err != nil || out.String() != "hello\n" {
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
		t.Error("no such program")
	}
}

// Nobody puts the end off, as when the parent is stopped: the command is asked to end a second before, and is over in time, with what it
// has started, though it will not hear. The pipe that its output goes through closes only when all who could write are gone.
func TestTheTimeIsUp(t *testing.T) {
	var out bytes.Buffer
	began := clock()
	err := start(t, TerminationNotice+300*time.Millisecond, &out, "sh", "-c", "trap 'echo asked' TERM; (trap '' TERM; sleep 100) & while :; do sleep 0.05; done").Wait()
	took := clock() - began
	if !errors.Is(err, ErrKilled) || !strings.Contains(out.String(), "asked") {
		t.Errorf("%v %q", err, out.String())
	}
	if took < TerminationNotice+300*time.Millisecond {
		t.Errorf("over after %v: it had longer", took)
	}
}

// The end is put off, and then the parent is gone.
func TestPutOffAndEnded(t *testing.T) {
	var out bytes.Buffer
	c := start(t, 2*TerminationNotice, &out, "sh", "-c", "sleep 0.3; echo there; sleep 100")
	c.Until(clock() + time.Hour)
	c.Until(clock()) // never sooner
	time.AfterFunc(2*TerminationNotice+300*time.Millisecond, c.End)
	began := clock()
	if err := c.Wait(); !errors.Is(err, ErrKilled) || out.String() != "there\n" {
		t.Errorf("%v %q", err, out.String())
	}
	if took := clock() - began; took < 2*TerminationNotice+300*time.Millisecond {
		t.Errorf("over after %v: the end was put off", took)
	}
}
