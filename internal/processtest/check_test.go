package processtest

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against checks that pass whatever happens. A history of lease requests that no order can explain must be
// reported as a violation, and a schedule after which no holder acts must end in ErrIdle.
func TestChecksReportViolations(t *testing.T) {
	log := []Event{
		{At: 10, RequestedAt: 1, Process: "a", Kind: EventAcquire, Token: 1, RequestID: 1},
		{At: 30, RequestedAt: 20, Process: "b", Kind: EventAcquire, Token: 2, RequestID: 1},
	}
	if findings := Check(log); len(findings.Violations) > 0 {
		t.Error(findings.Violations)
	}
	renewal := Event{At: 50, RequestedAt: 40, Process: "a", Kind: EventRenew, Token: 1}
	if findings := Check(append(log, renewal)); len(findings.Violations) != 1 {
		t.Error("a renewal after the next grant must be one violation:", findings.Violations)
	}
	harness := startHarness(t, Options{Agents: 1, Holders: 1})
	harness.awaitEvent(t, 0, actionStartedAfter(0))
	target := harness.Index(roleTarget)
	harness.kill(target)
	harness.processes[target].Listen = occupiedAddress(t)
	if err := harness.RunFaults(t.Context(), nil, 3*time.Second); !errors.Is(err, ErrIdle) {
		t.Error(err)
	}
	harness.awaitEvent(t, 0, func(event Event) bool { return event.Kind == EventProcessFailed && event.Process == roleTarget })
}

// occupiedAddress returns an address at which no process can listen until the end of the test.
func occupiedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", net.JoinHostPort(nextLoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // no connections were accepted, so nothing can be lost
	return listener.Addr().String()
}
