package load

import (
	"context"
	"fmt"
	"time"
)

// Objective holds the bounds within which a run must stay for its rate to count as carried.
type Objective struct {
	P99              time.Duration // bound on the p99 latency of served calls
	MaxRejectedShare float64       // bound on the share of calls that are neither served nor late
}

// Step holds the figures of one run of a search.
type Step struct {
	PerS          float64 `json:"per_s"`
	P99           float64 `json:"p99_ms"`
	RejectedShare float64 `json:"not_served"`
	WithinBounds  bool    `json:"kept"`
	Invalid       string  `json:"invalid,omitempty"`
}

// SearchResult is the result of a search: a bracket around the highest rate that is carried, and all runs.
type SearchResult struct {
	Low            float64 `json:"low"`  // the highest rate at which most runs met the objective
	High           float64 `json:"high"` // the lowest rate at which most runs did not meet it; 0: none was found
	LowConfidence  string  `json:"low_kept"`
	HighConfidence string  `json:"high_out"`
	Limit          string  `json:"limit,omitempty"` // reason why the search ended early
	Steps          []Step  `json:"steps"`
}

// SearchOptions configures a search.
type SearchOptions struct {
	Objective
	MinRate, MaxRate float64 // range of the search, calls a second
	Tolerance        float64 // the search ends when High/Low is at most 1+Tolerance
	Confirmations    int     // number of valid runs that each end of the final bracket must have
}

// searcher is the state of a search. low and high are the ends of the bracket; 0: that end has not been found.
type searcher struct {
	SearchOptions
	run    func(ctx context.Context, perS float64) (*Result, error)
	result SearchResult
	low    float64
	high   float64
}

// FindMaxRate bisects for the highest rate at which run meets the objective, until the ratio of the bracket's ends is
// at most 1+Tolerance. Each rate is run once during the bisection. Both ends of the bracket are then run again until
// each has as many valid runs as Confirmations says, and the bracket is widened at an end that most of its runs
// contradict. An invalid run ends the search, because at that rate the generator, not the target, is the limit.
func FindMaxRate(
	ctx context.Context, s SearchOptions, run func(ctx context.Context, perS float64) (*Result, error),
) (SearchResult, error) {
	f := &searcher{SearchOptions: s, run: run}
	for _, phase := range []func(context.Context) error{f.bracket, f.bisect, f.confirmLow, f.confirmHigh} {
		if err := phase(ctx); err != nil {
			return f.result, err
		}
	}
	f.result.Low, f.result.High = f.low, f.high
	if f.low > 0 {
		kept, runs := f.countRuns(f.low)
		f.result.LowConfidence = fmt.Sprintf("%d of %d runs", kept, runs)
	}
	if f.high > 0 {
		kept, runs := f.countRuns(f.high)
		f.result.HighConfidence = fmt.Sprintf("%d of %d runs", runs-kept, runs)
	}
	return f.result, nil
}

// step runs the load at a rate once, and appends the run to the result. An invalid run sets the result's limit.
func (f *searcher) step(ctx context.Context, perS float64) (Step, error) {
	r, err := f.run(ctx, perS)
	if err != nil {
		return Step{}, err
	}
	step := Step{PerS: perS, P99: r.Latency.P99}
	if !r.Valid {
		step.Invalid = r.Invalid[0]
		f.result.Limit = fmt.Sprintf("at %.0f a second the generator did not keep its schedule: %s", perS, step.Invalid)
	}
	if r.Calls > 0 {
		step.RejectedShare = r.notServed()
	}
	step.WithinBounds = r.Valid && r.Calls > 0 &&
		step.P99 <= millis(f.P99.Microseconds()) && step.RejectedShare <= f.MaxRejectedShare
	f.result.Steps = append(f.result.Steps, step)
	return step, nil
}

// bracket doubles the rate until a run does not meet the objective, is invalid, or has reached MaxRate.
func (f *searcher) bracket(ctx context.Context) error {
	for perS := f.MinRate; ; perS = min(2*perS, f.MaxRate) {
		step, err := f.step(ctx, perS)
		if err != nil {
			return err
		}
		if step.Invalid != "" {
			return nil
		}
		if !step.WithinBounds {
			f.high = perS
			return nil
		}
		f.low = perS
		if perS >= f.MaxRate {
			f.result.Limit = fmt.Sprintf("%.0f a second, the highest asked for, was carried", perS)
			return nil
		}
	}
}

// bisect halves the bracket until it is as narrow as the tolerance says, or the search has reached a limit.
func (f *searcher) bisect(ctx context.Context) error {
	for f.high > 0 && f.low > 0 && f.high/f.low > 1+f.Tolerance && f.result.Limit == "" {
		middle := (f.low + f.high) / 2
		step, err := f.step(ctx, middle)
		switch {
		case err != nil:
			return err
		case step.Invalid != "":
		case step.WithinBounds:
			f.low = middle
		default:
			f.high = middle
		}
	}
	return nil
}

// confirmLow runs the low end again, because noise may have decided a single run, and lowers it while most of its runs
// do not meet the objective.
func (f *searcher) confirmLow(ctx context.Context) error {
	for f.low > 0 {
		confirmed, err := f.confirm(ctx, f.low)
		if err != nil || !confirmed {
			return err
		}
		kept, runs := f.countRuns(f.low)
		if 2*kept >= runs {
			return nil
		}
		f.low /= 1 + f.Tolerance
	}
	return nil
}

// confirmHigh runs the high end again, and raises it while most of its runs meet the objective.
func (f *searcher) confirmHigh(ctx context.Context) error {
	for f.high > 0 {
		confirmed, err := f.confirm(ctx, f.high)
		if err != nil || !confirmed {
			return err
		}
		kept, runs := f.countRuns(f.high)
		if 2*kept <= runs || f.high >= f.MaxRate {
			return nil
		}
		f.high = min(f.high*(1+f.Tolerance), f.MaxRate)
	}
	return nil
}

// confirm repeats the run at a rate until it has Confirmations valid runs. It returns false after an invalid run.
func (f *searcher) confirm(ctx context.Context, perS float64) (bool, error) {
	for {
		if _, runs := f.countRuns(perS); runs >= f.Confirmations {
			return true, nil
		}
		step, err := f.step(ctx, perS)
		if err != nil || step.Invalid != "" {
			return false, err
		}
	}
}

// countRuns returns the number of valid runs at a rate, and how many of them met the objective.
func (f *searcher) countRuns(perS float64) (kept, runs int) {
	for _, step := range f.result.Steps {
		if step.PerS != perS || step.Invalid != "" {
			continue
		}
		runs++
		if step.WithinBounds {
			kept++
		}
	}
	return kept, runs
}
