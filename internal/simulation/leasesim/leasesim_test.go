package leasesim

import (
	"slices"
	"testing"
	"time"
)

// Over schedules of stops, clocks, losses and leaders that die, what must hold holds.
func TestSchedules(t *testing.T) {
	o, took, err := Many(t.Context(), 1, 2000, Without{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", o)
	// By the design: 20 ticks and the one at hand, by a clock that is slow; until the next one asks, and acts. It may die, too, with
	// a grant of which it has not heard: so not the farthest.
	bound := (21*interval*105/100 + 600*time.Millisecond + 400*time.Millisecond + 3*wire).Milliseconds()
	if took.All.TotalCount() < 1000 || took.Well.TotalCount() < 20 || took.Well.ValueAtQuantile(90) > bound {
		t.Errorf("%d takeovers; %d with nothing else wrong, in %d ms for nine in ten, by the design %d", took.All.TotalCount(), took.Well.TotalCount(),
			took.Well.ValueAtQuantile(90), bound)
	}
	if o.Broken() > 0 {
		t.Errorf("broken %d times, first by schedule %d", o.Broken(), o.First)
	}
	if o.Old == 0 || o.Busy == 0 || o.Withheld == 0 || o.Acts < 10*o.Schedules || o.Leaders < 2*o.Schedules {
		t.Error("the schedules are too mild to show anything")
	}
}

// The checks can fail: with a part left out, the same schedules find what it is there for.
func TestEachPartIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		without Without
		found   func(Outcome) int
	}{
		"guard":                 {Without{Guard: true}, func(o Outcome) int { return o.Unneeded }},
		"fence":                 {Without{Fence: true}, func(o Outcome) int { return min(o.Overlaps, o.Backwards) }},
		"wait before a release": {Without{Free: true}, func(o Outcome) int { return o.Unneeded }},
		"clock":                 {Without{Clock: true, Fence: true}, func(o Outcome) int { return o.Overlaps }},
	} {
		o, _, err := Many(t.Context(), 1, 500, c.without, 0)
		if err != nil {
			t.Fatal(err)
		}
		if c.found(o) == 0 {
			t.Errorf("without the %s nothing is found: %+v", name, o)
		}
	}
}

// A schedule is the same each time.
func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		a, gapsA := Play(seed, Without{}, 0)
		if b, gapsB := Play(seed, Without{}, 0); a != b || !slices.Equal(gapsA.All, gapsB.All) {
			t.Fatalf("schedule %d: %+v, then %+v", seed, a, b)
		}
	}
}
