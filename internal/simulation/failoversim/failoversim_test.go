package failoversim

import "testing"

func playMany(t *testing.T, schedules int, without Ablation) Outcome {
	t.Helper()
	outcome, err := RunSchedules(t.Context(), 1, schedules, without)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v: %+v", without, outcome)
	return outcome
}

// With zones that are lost, degraded and return, agents that are stopped, cut off and die, and a bad network, no invariant is broken. What
// is served is near the optimum, with little more traffic between zones than that needs and few changes of direction. Nodes that choose by
// themselves are worse in all three; when all agents have died it is as with them.
func TestScheduledFaultsKeepInvariants(t *testing.T) {
	outcome := playMany(t, 60, Ablation{})
	local := playMany(t, 60, Ablation{Plans: true})
	if outcome.Violations() > 0 {
		t.Errorf("broken %d times, first by schedule %d", outcome.Violations(), outcome.FirstViolation)
	}
	if outcome.ServedValue < 0.97 || outcome.CrossZoneShare > 1.1*outcome.OptimalCrossZoneShare || outcome.Reversals > 2*outcome.Events {
		t.Error("worse than the objectives")
	}
	worseThanLocal := local.ServedValue > outcome.ServedValue-0.02 || local.CrossZoneShare < 2*outcome.CrossZoneShare
	if worseThanLocal || outcome.ValueWithoutAgents < local.ServedValue-0.05 {
		t.Error("no better than nodes by themselves, or worse without agents")
	}
	if outcome.Leaders < outcome.Schedules || outcome.Rejected < outcome.Schedules || outcome.AllAgentsDied < 5 {
		t.Error("the schedules are too mild to show anything")
	}
}

// The checks can fail: with a mechanism left out they find its absence.
func TestChecksFindMissingMechanism(t *testing.T) {
	for name, test := range map[string]struct {
		without Ablation
		found   func(Outcome) int
	}{
		"order of plans": {Ablation{Token: true}, func(o Outcome) int { return o.PlanRegressions }},
		"rate":           {Ablation{Rate: true}, func(o Outcome) int { return o.GrowthViolations }},
		"fade":           {Ablation{Fade: true}, func(o Outcome) int { return o.AbruptFades }},
	} {
		if outcome := playMany(t, 20, test.without); test.found(outcome) == 0 {
			t.Errorf("without the %s nothing is found", name)
		}
	}
}

func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		first, second := RunSchedule(seed, Ablation{}), RunSchedule(seed, Ablation{})
		if first != second {
			t.Fatalf("schedule %d: %+v, then %+v", seed, first, second)
		}
	}
}
