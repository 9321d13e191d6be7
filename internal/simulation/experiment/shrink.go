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

// Shrunk holds a reduced failing case and the invariant that it violates.
type Shrunk struct {
	Scenario  *scenario.Scenario
	Rule      invariant.Rule
	Violation invariant.Violation
	Runs      int
	// Numbers of faults and calls, and simulated seconds, each before and after the reduction.
	Faults, Calls [2]int
	Seconds       [2]float64
}

// ErrNoViolation means that a case violates no invariant, so there is nothing to reduce.
var ErrNoViolation = errors.New("the case violates no invariant, so there is nothing to reduce")

// Shrink reduces a case that violates an invariant: it removes faults and calls and shortens the simulated time while
// the same invariant is still violated. The limit of maxRuns applies to all runs but the one that counts the calls.
// Calls keep their number, time and work when others are left out, because each draws from a random stream of its own.
func Shrink(sc *scenario.Scenario, policy string, seed uint64, maxRuns int) (*Shrunk, error) {
	reduced := *sc
	reduced.Faults, reduced.RandomFaults = emulator.Faults(sc, seed), faultinject.RandomFaults{}
	first, err := Run(&reduced, policy, seed)
	if err != nil {
		return nil, err
	}
	if len(first.Violations) == 0 {
		return nil, ErrNoViolation
	}
	s := &shrinker{policy: policy, seed: seed, maxRuns: maxRuns}
	s.shrunk = &Shrunk{Rule: first.Violations[0].Rule, Violation: first.Violations[0], Runs: 1}
	s.shrunk.Faults[0], s.shrunk.Calls[0], s.shrunk.Seconds[0] = len(reduced.Faults), int(first.Arrivals), reduced.Seconds
	s.shrinkTime(&reduced)
	s.shrinkFaults(&reduced)
	if err := s.shrinkCalls(&reduced); err != nil {
		return nil, err
	}
	// The reduced case must fail exactly as it is written to a file, without any other state.
	if !s.fails(reduced) && s.shrunk.Runs < maxRuns {
		return nil, fmt.Errorf("the reduced case no longer violates %s", s.shrunk.Rule)
	}
	s.shrunk.Scenario = &reduced
	s.shrunk.Faults[1], s.shrunk.Calls[1], s.shrunk.Seconds[1] = len(reduced.Faults), len(reduced.OnlyCalls), reduced.Seconds
	return s.shrunk, nil
}

// shrinker runs the candidates of one call of Shrink and counts the runs.
type shrinker struct {
	policy  string
	seed    uint64
	maxRuns int
	shrunk  *Shrunk
	err     error // error of the first run that could not be simulated
}

// fails reports whether a candidate violates the invariant. It returns false once all runs are used up or a run has
// returned an error.
func (s *shrinker) fails(candidate scenario.Scenario) bool {
	if s.shrunk.Runs >= s.maxRuns || s.err != nil {
		return false
	}
	s.shrunk.Runs++
	result, err := Run(&candidate, s.policy, s.seed)
	if err != nil {
		s.err = err
		return false
	}
	for _, violation := range result.Violations {
		if violation.Rule == s.shrunk.Rule {
			s.shrunk.Violation = violation
			return true
		}
	}
	return false
}

// shrinkTime ends the scenario right after the violation. Shrink does this first, because it takes a single run and
// shortens all later ones.
func (s *shrinker) shrinkTime(reduced *scenario.Scenario) {
	candidate := *reduced
	candidate.Seconds = min(reduced.Seconds, math.Ceil(float64(s.shrunk.Violation.Time)/1e6)+0.1)
	candidate.WarmUp = min(reduced.WarmUp, candidate.Seconds)
	if s.fails(candidate) {
		*reduced = candidate
	}
}

func (s *shrinker) shrinkFaults(reduced *scenario.Scenario) {
	reduced.Faults = DDMin(reduced.Faults, func(faults []faultinject.Fault) bool {
		candidate := *reduced
		candidate.Faults = faults
		return s.fails(candidate)
	})
}

func (s *shrinker) shrinkCalls(reduced *scenario.Scenario) error {
	calls := reduced.OnlyCalls
	if len(calls) == 0 {
		result, err := Run(reduced, s.policy, s.seed)
		if err != nil {
			return err
		}
		s.shrunk.Runs++
		for number := range int(result.Arrivals) {
			calls = append(calls, number)
		}
	}
	reduced.OnlyCalls = DDMin(calls, func(calls []int) bool {
		if len(calls) == 0 { // an empty list would mean all calls
			return false
		}
		candidate := *reduced
		candidate.OnlyCalls = calls
		return s.fails(candidate)
	})
	return s.err
}

// DDMin removes items as long as the remaining ones still fail (delta debugging; Zeller and Hildebrandt, 2002). It
// tries to remove halves first, then quarters, down to single items. The result fails, and no longer fails if any one
// item is removed.
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
