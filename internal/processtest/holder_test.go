package processtest

import (
	"testing"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// stopHolderBeforeAction stops a holder between its check and its action, for longer than its lease, and continues it once the next
// holder has acted.
func stopHolderBeforeAction(t *testing.T, without DisabledParts) (staleToken lease.Token, findings Findings) {
	t.Helper()
	const agents, holders = 3, 2
	harness := startHarness(t, Options{Agents: agents, Holders: holders, Disabled: without})
	for i := range holders {
		harness.sendOrder(agents+i, orderHalt)
	}
	stopped, position := harness.awaitKind(t, 0, EventHolderHalted)
	second, position := harness.awaitEvent(t, position, func(event Event) bool { // the lease has expired, and the other holder has it
		return event.Kind == EventHolderHalted && event.Token > stopped.Token
	})
	harness.resumeOnceStopped(t, harness.Index(second.Process))
	_, position = harness.awaitEvent(t, position, actionStartedAfter(stopped.Token))
	harness.resumeOnceStopped(t, harness.Index(stopped.Process))
	harness.awaitEvent(t, position, func(event Event) bool {
		arrived := event.Kind == EventActionRejected || event.Kind == EventActionStarted
		return arrived && event.Token == stopped.Token
	})
	return stopped.Token, Check(harness.Log())
}

// The fence rejects the action of a holder that was stopped. Without the fence the action is admitted, and the checks report it.
func TestFenceRejectsStoppedHolder(t *testing.T) {
	if token, findings := stopHolderBeforeAction(t, DisabledParts{}); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("token %d: %d rejected, broken %v", token, findings.Rejected, findings.Violations)
	}
	if _, findings := stopHolderBeforeAction(t, DisabledParts{Fence: true}); len(findings.Violations) == 0 {
		t.Error("without the fence nothing is reported")
	}
}

// cutHolderFromGroup cuts a holder off from the group, but not from the target, until the next holder has acted three times.
func cutHolderFromGroup(t *testing.T, expectRejected bool, without DisabledParts, faults ...faultinject.Fault) Findings {
	t.Helper()
	const agents, manyActions = 3, 1 << 20
	harness := startHarness(t, Options{Agents: agents, Holders: 2, Disabled: without, ActionsPerLease: manyActions})
	first, position := harness.awaitEvent(t, 0, actionStartedAfter(0))
	holder := harness.Index(first.Text)
	for _, fault := range faults {
		fault.Processes = []int{holder}
		harness.StartFault(fault)
	}
	harness.setLinkFault(harness.newLinkFaultID(), func(r route) (linkState, bool) {
		return linkState{cut: true}, r.from == holder && r.to < agents
	})
	next, position := harness.awaitEvent(t, position, func(event Event) bool {
		return actionStartedAfter(first.Token)(event) && event.Text != first.Text
	})
	for range 3 {
		_, position = harness.awaitEvent(t, position, actionStartedAfter(next.Token-1))
	}
	if expectRejected {
		harness.awaitKind(t, 0, EventActionRejected)
	}
	return Check(harness.Log())
}

// A holder that has lost the group stops before the next one starts. Without the guard, or with a clock that is far too slow, it goes
// on, and only the fence stops it: none of its later actions is admitted.
func TestHolderStopsActingWithoutQuorum(t *testing.T) {
	if findings := cutHolderFromGroup(t, false, DisabledParts{}); findings.Rejected > 0 || len(findings.Violations) > 0 {
		t.Errorf("%d rejected, broken %v", findings.Rejected, findings.Violations)
	}
	if findings := cutHolderFromGroup(t, true, DisabledParts{Guard: true}); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("without the guard: %d rejected, broken %v", findings.Rejected, findings.Violations)
	}
	slowClock := faultinject.Fault{Kind: faultinject.ClockRate, Size: 0.1}
	if findings := cutHolderFromGroup(t, true, DisabledParts{}, slowClock); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("with a slow clock: %d rejected, broken %v", findings.Rejected, findings.Violations)
	}
}
