package leasesim

import "testing"

// TestGroupSchedulesKeepInvariants checks that schedules of groups of 1, 3 and 5 members, with disks and with faults
// among the members, break no invariant.
func TestGroupSchedulesKeepInvariants(t *testing.T) {
	for _, members := range []int{1, 3, 5} {
		outcome, takeovers, err := RunSchedules(t.Context(), 1, 40, Ablation{}, members)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d members: %+v", members, outcome)
		if outcome.Violations() > 0 {
			t.Errorf("%d members: broken %d times, first by schedule %d", members, outcome.Violations(), outcome.FirstViolation)
		}
		withActions := outcome.StaleRejections > 0 && outcome.Withheld > 0 && outcome.Actions >= 10*outcome.Schedules
		withFaults := outcome.Changes >= 5 && outcome.Faults >= 2*outcome.Schedules && takeovers.LeaderElection.TotalCount() >= 20
		if !withActions || !withFaults {
			t.Error("the schedules contain too few actions or faults to test the invariants")
		}
	}
}

// TestGroupChecksFindMissingMechanism checks that the invariant checks detect a disk that loses writes it has
// confirmed, and a target without a fence, for a group of members as well.
func TestGroupChecksFindMissingMechanism(t *testing.T) {
	for name, test := range map[string]struct {
		without Ablation
		found   func(Outcome) int
	}{
		"sync":  {Ablation{Sync: true}, func(o Outcome) int { return o.Disagreements + o.DuplicateGrants }},
		"fence": {Ablation{Fence: true}, func(o Outcome) int { return o.Overlaps + o.TokenRegressions }},
	} {
		if outcome, _, err := RunSchedules(t.Context(), 1, 30, test.without, 3); err != nil || test.found(outcome) == 0 {
			t.Errorf("without the %s nothing is found: %v %+v", name, err, outcome)
		}
	}
}

func TestGroupSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		first, _ := RunSchedule(seed, Ablation{}, 3)
		if second, _ := RunSchedule(seed, Ablation{}, 3); first != second {
			t.Fatalf("schedule %d: %+v, then %+v", seed, first, second)
		}
	}
}
