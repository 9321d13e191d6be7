package processtest

import (
	"testing"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// stopHolderBeforeAction stops a holder between checking its lease and its action, until its lease has expired and the
// next holder has acted. It returns the token of the expired lease and the findings.
func stopHolderBeforeAction(t *testing.T, without DisabledParts) (staleToken lease.Token, findings Findings) {
	t.Helper()
	const agents, holders = 3, 2
	harness := startHarness(t, Options{Agents: agents, Holders: holders, Disabled: without})
	for i := range holders {
		harness.sendOrder(agents+i, orderHalt)
	}
	stopped, position := harness.awaitKind(t, 0, EventHolderHalted)
	second, position := harness.awaitEvent(t, position, func(event Event) bool { // the other holder, after expiry
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

// The fence must reject an action of a holder that was stopped for longer than its lease after it had checked the
// lease. Without the fence the action is admitted, and the checks must report it.
func TestFenceRejectsStoppedHolder(t *testing.T) {
	if token, findings := stopHolderBeforeAction(t, DisabledParts{}); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("token %d: %d rejected, violations: %v", token, findings.Rejected, findings.Violations)
	}
	if _, findings := stopHolderBeforeAction(t, DisabledParts{Fence: true}); len(findings.Violations) == 0 {
		t.Error("without the fence, the checks report no violation")
	}
}

// cutHolderFromGroup cuts the links between a holder and the agents, but not to the target, until the next holder has
// acted three times. The additional faults hit the same holder. If expectRejected is set, it also waits for an action
// that the target rejects.
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

// A holder that has lost contact with the group must stop acting before the next holder starts. Without the guard, or
// with a clock that is far too slow, it continues to send actions, and the fence must reject all of those that arrive
// after the next holder's first action.
func TestHolderStopsActingWithoutQuorum(t *testing.T) {
	if findings := cutHolderFromGroup(t, false, DisabledParts{}); findings.Rejected > 0 || len(findings.Violations) > 0 {
		t.Errorf("%d rejected, violations: %v", findings.Rejected, findings.Violations)
	}
	if findings := cutHolderFromGroup(t, true, DisabledParts{Guard: true}); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("without the guard: %d rejected, violations: %v", findings.Rejected, findings.Violations)
	}
	slowClock := faultinject.Fault{Kind: faultinject.ClockRate, Size: 0.1}
	if findings := cutHolderFromGroup(t, true, DisabledParts{}, slowClock); findings.Rejected == 0 || len(findings.Violations) > 0 {
		t.Errorf("with a slow clock: %d rejected, violations: %v", findings.Rejected, findings.Violations)
	}
}
