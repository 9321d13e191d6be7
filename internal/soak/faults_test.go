package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestSeedDeterminesSchedule(t *testing.T) {
	options := Options{Seed: 1, Nodes: 10, Backends: 6, Length: 16 * time.Second}
	plan := drawSchedule(options)
	if repeated := drawSchedule(options); !reflect.DeepEqual(plan, repeated) {
		t.Errorf("%v, then %v", plan, repeated)
	}
	options.Seed++
	if other := drawSchedule(options); reflect.DeepEqual(plan, other) {
		t.Error("another seed draws the same schedule")
	}
}

func TestSchedulesCoverAllKindsWithinTheirTime(t *testing.T) {
	options := Options{Nodes: 10, Backends: 6, Length: 16 * time.Second}
	counts := map[Kind]int{}
	for options.Seed = range 30 {
		for _, fault := range drawSchedule(options) {
			counts[fault.Kind]++
			if fault.Start < firstFault || fault.Start >= options.Length-faultFreeEnd || len(fault.Targets) == 0 {
				t.Errorf("seed %d: %v", options.Seed, fault)
			}
		}
	}
	for _, kind := range slices.Concat(randomKinds, []Kind{SitePowerLost}) {
		if counts[kind] == 0 {
			t.Errorf("no schedule has %q", kind)
		}
	}
}
