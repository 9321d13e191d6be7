package experiment

import (
	"errors"
	"fmt"
	"math"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
)

// Shrunk is a failing case reduced.
type Shrunk struct {
	Scenario  *scenario.Scenario
	Rule      invariant.Rule
	Violation invariant.Violation
	Runs      int
	// Before and after.
	Faults, Calls [2]int
	Seconds       [2]float64
}

// ErrNothingBroken is a case that keeps the rules: there is nothing to reduce.
var ErrNothingBroken = errors.New("no rule is broken, so there is nothing to reduce")

// Shrink reduces a case that breaks a rule to the fewest faults and calls, and the shortest time, that still break the
// same rule, within so many runs. Calls keep their number, moment and work when others are left out, as each draws
// from a stream of its own.
func Shrink(sc *scenario.Scenario, policy string, seed uint64, runs int) (*Shrunk, error) {
	now := *sc
	now.Faults, now.RandomFaults = emulator.Faults(sc, seed), faultinject.RandomFaults{}
	first, err := Run(&now, policy, seed)
	if err != nil {
		return nil, err
	}
	if len(first.Violations) == 0 {
		return nil, ErrNothingBroken
	}
	out := &Shrunk{Rule: first.Violations[0].Rule, Violation: first.Violations[0], Runs: 1}
	out.Faults[0], out.Calls[0], out.Seconds[0] = len(now.Faults), int(first.Arrivals), now.Seconds
	var failed error
	fails := func(try scenario.Scenario) bool {
		if out.Runs >= runs || failed != nil {
			return false
		}
		out.Runs++
		r, err := Run(&try, policy, seed)
		if err != nil {
			failed = err
			return false
		}
		for _, v := range r.Violations {
			if v.Rule == out.Rule {
				out.Violation = v
				return true
			}
		}
		return false
	}
	// The time first: it is one run, and spares the most.
	short := now
	short.Seconds = min(now.Seconds, math.Ceil(float64(out.Violation.At)/1e6)+0.1)
	short.WarmUp = min(now.WarmUp, short.Seconds)
	if fails(short) {
		now = short
	}
	now.Faults = DDMin(now.Faults, func(list []faultinject.Fault) bool {
		try := now
		try.Faults = list
		return fails(try)
	})
	all := now.OnlyCalls
	if len(all) == 0 {
		r, err := Run(&now, policy, seed)
		if err != nil {
			return nil, err
		}
		out.Runs++
		for i := range int(r.Arrivals) {
			all = append(all, i)
		}
	}
	now.OnlyCalls = DDMin(all, func(list []int) bool {
		if len(list) == 0 { // an empty list would mean all calls
			return false
		}
		try := now
		try.OnlyCalls = list
		return fails(try)
	})
	if failed != nil {
		return nil, failed
	}
	// What is written must fail as it is, from the file alone.
	if last := now; !fails(last) && out.Runs < runs {
		return nil, fmt.Errorf("the reduced case no longer breaks %s", out.Rule)
	}
	out.Scenario = &now
	out.Faults[1], out.Calls[1], out.Seconds[1] = len(now.Faults), len(now.OnlyCalls), now.Seconds
	return out, nil
}

// DDMin leaves out what it can while the rest still fails (Zeller and Hildebrandt, 2002): first half, then quarters,
// down to single ones. The result fails, and no single one of it can be left out.
func DDMin[T any](items []T, fails func([]T) bool) []T {
	for parts := 2; len(items) > 0; {
		parts = min(parts, len(items))
		reduced := false
		for i := range parts {
			from, to := i*len(items)/parts, (i+1)*len(items)/parts
			rest := append(append(make([]T, 0, len(items)), items[:from]...), items[to:]...)
			if fails(rest) {
				items, reduced = rest, true
				parts = max(parts-1, 2)
				break
			}
		}
		if reduced {
			continue
		}
		if parts >= len(items) {
			break
		}
		parts *= 2
	}
	return items
}
