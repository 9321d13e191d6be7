package failoversim

import "testing"

func many(t *testing.T, n int, without Without) Outcome {
	t.Helper()
	o, err := Many(t.Context(), 1, n, without)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v: %+v", without, o)
	return o
}

// Over zones that are lost, weak and come back, directors that are stopped, cut off and die, and a bad network: what must hold holds, and
// what is served is near the optimum's, with little more over edges than that needs and few changes of direction. Nodes that choose by
// themselves do all three worse; when all directors have died it is as with them.
func TestSchedules(t *testing.T) {
	o, local := many(t, 60, Without{}), many(t, 60, Without{Plans: true})
	if o.Broken() > 0 {
		t.Errorf("broken %d times, first by schedule %d", o.Broken(), o.First)
	}
	if o.ServedValue < 0.97 || o.Crossing > 1.1*o.Needed || o.Turns > 2*o.Events {
		t.Error("worse than the aims")
	}
	if local.ServedValue > o.ServedValue-0.02 || local.Crossing < 2*o.Crossing || o.Alone < local.ServedValue-0.05 {
		t.Error("no better than nodes by themselves, or worse without directors")
	}
	if o.Directors < o.Schedules || o.Rejected < o.Schedules || o.Died < 5 {
		t.Error("the schedules are too mild to show anything")
	}
}

// The checks can fail: with a part left out they find what it is there for.
func TestEachPartIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		without Without
		found   func(Outcome) int
	}{
		"order of plans": {Without{Token: true}, func(o Outcome) int { return o.Backwards }},
		"rate":           {Without{Rate: true}, func(o Outcome) int { return o.Jumps }},
		"fade":           {Without{Fade: true}, func(o Outcome) int { return o.Cliffs }},
	} {
		if o := many(t, 20, c.without); c.found(o) == 0 {
			t.Errorf("without the %s nothing is found", name)
		}
	}
}

func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		if a, b := Play(seed, Without{}), Play(seed, Without{}); a != b {
			t.Fatalf("schedule %d: %+v, then %+v", seed, a, b)
		}
	}
}
