package leasesim

import (
	"slices"
	"testing"
	"time"
)

// TestScheduledFaultsKeepInvariants checks that schedules with stopped holders, wrong clocks, lost messages and dying
// leaders break no invariant, and that another holder takes over within the time that the design promises.
func TestScheduledFaultsKeepInvariants(t *testing.T) {
	outcome, takeovers, err := RunSchedules(t.Context(), 1, 2000, Ablation{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", outcome)
	// By the design, a takeover takes at most the ticks of a grant and the one in progress, measured by a slow clock,
	// then the time until the next holder requests the lease, and the time until it acts. The check uses the 90th
	// percentile instead of the maximum, since the next holder may die as well, with a grant whose response it has
	// not received.
	const longestRequestPause, longestActionPause = 600 * time.Millisecond, 400 * time.Millisecond
	longestGrant := (grantTicks + 1) * tickInterval * 105 / 100
	bound := (longestGrant + longestRequestPause + longestActionPause + 3*longestDelay).Milliseconds()
	if takeovers.All.TotalCount() < 1000 || takeovers.Undisturbed.TotalCount() < 20 || takeovers.Undisturbed.ValueAtQuantile(90) > bound {
		t.Errorf("%d takeovers; %d without any other fault, in %d ms for nine in ten, by the design %d",
			takeovers.All.TotalCount(), takeovers.Undisturbed.TotalCount(), takeovers.Undisturbed.ValueAtQuantile(90), bound)
	}
	if outcome.Violations() > 0 {
		t.Errorf("broken %d times, first by schedule %d", outcome.Violations(), outcome.FirstViolation)
	}
	withActions := outcome.StaleRejections > 0 && outcome.Busy > 0 && outcome.Withheld > 0 && outcome.Actions >= 10*outcome.Schedules
	if !withActions || outcome.Leaders < 2*outcome.Schedules {
		t.Error("the schedules contain too few actions or faults to test the invariants")
	}
}

// TestChecksFindMissingMechanism checks that the invariant checks can fail: the same schedules detect a mechanism
// that is left out.
func TestChecksFindMissingMechanism(t *testing.T) {
	for name, test := range map[string]struct {
		without Ablation
		found   func(Outcome) int
	}{
		"guard":                 {Ablation{Guard: true}, func(o Outcome) int { return o.UnexpectedRejections }},
		"fence":                 {Ablation{Fence: true}, func(o Outcome) int { return min(o.Overlaps, o.TokenRegressions) }},
		"wait before a release": {Ablation{ReleaseWait: true}, func(o Outcome) int { return o.UnexpectedRejections }},
		"clock":                 {Ablation{Clock: true, Fence: true}, func(o Outcome) int { return o.Overlaps }},
	} {
		outcome, _, err := RunSchedules(t.Context(), 1, 500, test.without, 0)
		if err != nil {
			t.Fatal(err)
		}
		if test.found(outcome) == 0 {
			t.Errorf("without the %s nothing is found: %+v", name, outcome)
		}
	}
}

// TestSchedulesAreDeterministic checks that a seed has the same outcome and gaps each time.
func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		first, firstGaps := RunSchedule(seed, Ablation{}, 0)
		second, secondGaps := RunSchedule(seed, Ablation{}, 0)
		if first != second || !slices.Equal(firstGaps.All, secondGaps.All) {
			t.Fatalf("schedule %d: %+v, then %+v", seed, first, second)
		}
	}
}
