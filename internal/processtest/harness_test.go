package processtest

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/lease"
)

// eventTimeout is how long tests wait for an event.
const eventTimeout = 40 * time.Second

func TestMain(m *testing.M) {
	RunRole()
	if len(os.Args) > 2 && os.Args[1] == changeNodeFlag {
		if err := changeNode(os.Args[2], os.Getenv("TULIP_NODE")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startHarness starts a harness that is stopped at the end of the test.
func startHarness(t *testing.T, options Options) *Harness {
	t.Helper()
	harness, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(harness.Stop)
	return harness
}

// awaitEvent waits for an event as Await does. If the event does not occur in time, it logs all events and ends the
// test.
func (h *Harness) awaitEvent(t *testing.T, position int, wanted func(Event) bool) (Event, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	event, next, err := h.Await(ctx, position, wanted)
	if err != nil {
		for _, event := range h.Log() {
			t.Logf("%+v", event)
		}
		t.Fatal("the expected event did not occur:", err)
	}
	return event, next
}

// awaitKind waits for an event of the given kind.
func (h *Harness) awaitKind(t *testing.T, position int, kind EventKind) (Event, int) {
	t.Helper()
	return h.awaitEvent(t, position, func(event Event) bool { return event.Kind == kind })
}

// actionStartedAfter returns a condition for awaitEvent: the start of an action under a later token than the given one.
func actionStartedAfter(after lease.Token) func(Event) bool {
	return func(event Event) bool { return event.Kind == EventActionStarted && event.Token > after }
}

// resumeOnceStopped waits until a process has stopped itself, and then continues it.
func (h *Harness) resumeOnceStopped(t *testing.T, index int) {
	t.Helper()
	pid := h.processID(index)
	for processState(t, pid) != 'T' {
		time.Sleep(time.Millisecond)
	}
	h.signalProcess(index, syscall.SIGCONT)
}

// processState returns the state of a process as the character that proc_pid_stat(5) defines for it.
func processState(t *testing.T, pid int) byte {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return state[0]
}
