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

// TestScheduledFaultsKeepInvariants checks that no invariant is broken when zones are lost, degraded and restored,
// agents are stopped, cut off and die, and the network is faulty. The value served is near the optimum, with little
// more traffic between zones than the optimum needs and few changes of direction. Nodes that choose zones by
// themselves serve less and send more traffic between zones. After the death of all agents, the value is close to
// that of such nodes.
func TestScheduledFaultsKeepInvariants(t *testing.T) {
	outcome := playMany(t, 60, Ablation{})
	local := playMany(t, 60, Ablation{Plans: true})
	if outcome.Violations() > 0 {
		t.Errorf("broken %d times, first by schedule %d", outcome.Violations(), outcome.FirstViolation)
	}
	if outcome.ServedValue < 0.97 || outcome.CrossZoneShare > 1.1*outcome.OptimalCrossZoneShare || outcome.Reversals > 2*outcome.Events {
		t.Error("served value, cross-zone traffic or reversals miss their objectives")
	}
	worseThanLocal := local.ServedValue > outcome.ServedValue-0.02 || local.CrossZoneShare < 2*outcome.CrossZoneShare
	if worseThanLocal || outcome.ValueWithoutAgents < local.ServedValue-0.05 {
		t.Error("plans are no better than nodes that choose by themselves, or nodes are worse than that once all agents died")
	}
	if outcome.Leaders < outcome.Schedules || outcome.Rejected < outcome.Schedules || outcome.AllAgentsDied < 5 {
		t.Error("the schedules contain too few faults to test the invariants")
	}
}

// TestChecksFindMissingMechanism checks that the invariant checks can fail: each detects a mechanism that is left out.
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
