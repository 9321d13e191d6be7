package processtest

import "testing"

// Schedules of random faults between real processes must break no invariant, and holders must act again after each.
func TestScheduledFaultsKeepInvariants(t *testing.T) {
	var sum Findings
	err := RunSchedules(t.Context(), 1, 12, 4, DisabledParts{}, func(seed uint64, findings Findings, err error) {
		if err != nil || len(findings.Violations) > 0 {
			t.Errorf("schedule %d: %v %v", seed, err, findings.Violations)
		}
		sum.Add(findings)
	})
	t.Logf("%+v", sum)
	if err != nil || len(sum.Faults) < 10 || sum.Actions < 12 {
		t.Errorf("%v; too few kinds of faults or actions for a meaningful test: %+v", err, sum)
	}
}
