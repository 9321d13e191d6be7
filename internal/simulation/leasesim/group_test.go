package leasesim

import "testing"

// The same with members of a group, each with a disk, and faults among them: any number of members.
func TestSchedulesOfAGroup(t *testing.T) {
	for _, members := range []int{1, 3, 5} {
		o, took, err := Many(t.Context(), 1, 40, Without{}, members)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d members: %+v", members, o)
		if o.Broken() > 0 {
			t.Errorf("%d members: broken %d times, first by schedule %d", members, o.Broken(), o.First)
		}
		if o.Old == 0 || o.Withheld == 0 || o.Acts < 10*o.Schedules || o.Changes < 5 || o.Faults < 2*o.Schedules || took.Lead.TotalCount() < 20 {
			t.Error("the schedules are too mild to show anything")
		}
	}
}

// A disk that has not got what it said it has is found, and so is a fence that is out, with a group as without one.
func TestSyncIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		without Without
		found   func(Outcome) int
	}{
		"sync":  {Without{Sync: true}, func(o Outcome) int { return o.Split + o.DuplicateGrants }},
		"fence": {Without{Fence: true}, func(o Outcome) int { return o.Overlaps + o.Backwards }},
	} {
		if o, _, err := Many(t.Context(), 1, 30, c.without, 3); err != nil || c.found(o) == 0 {
			t.Errorf("without the %s nothing is found: %v %+v", name, err, o)
		}
	}
}

func TestSchedulesOfAGroupAreDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		a, _ := Play(seed, Without{}, 3)
		if b, _ := Play(seed, Without{}, 3); a != b {
			t.Fatalf("schedule %d: %+v, then %+v", seed, a, b)
		}
	}
}
