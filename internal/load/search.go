package load

import (
	"context"
	"fmt"
	"time"
)

// Objective is what a run must keep for its rate to count as carried.
type Objective struct {
	P99              time.Duration // of served calls
	MaxRejectedShare float64       // share of calls that may be rejected, fail or time out
}

// Step is one run of a search.
type Step struct {
	PerS          float64 `json:"per_s"`
	P99           float64 `json:"p99_ms"`
	RejectedShare float64 `json:"not_served"`
	WithinBounds  bool    `json:"kept"`
	Invalid       string  `json:"invalid,omitempty"`
}

// SearchResult is the highest rate that was carried.
type SearchResult struct {
	Low            float64 `json:"low"`  // the highest rate at which most runs kept the objective
	High           float64 `json:"high"` // the lowest at which most did not; 0: none was found
	LowConfidence  string  `json:"low_kept"`
	HighConfidence string  `json:"high_out"`
	Limit          string  `json:"limit,omitempty"` // why the search ended early
	Steps          []Step  `json:"steps"`
}

// SearchOptions says where to look.
type SearchOptions struct {
	Objective
	MinRate, MaxRate float64 // calls a second
	Tolerance        float64 // the search ends when High/Low is at most 1 and this
	Confirmations    int     // runs at each end of the bracket, in the end
}

// searcher is the state of a search. The bracket is from low to high; 0: that end has not been found.
type searcher struct {
	SearchOptions
	run    func(ctx context.Context, perS float64) (*Result, error)
	result SearchResult
	low    float64
	high   float64
}

// FindMaxRate bisects for the highest rate that run carries, on a scale of ratios. Each rate is run once during the
// search; both ends of the bracket are then run again, until each has as many runs as Confirmations says, and the bracket widens where
// most runs of an end contradict it. An invalid run ends the search: there the generator, not the target, is the limit.
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

// step runs a rate once. An invalid run sets the limit of the search.
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

// bracket doubles the rate until it is not carried.
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

// bisect narrows the bracket.
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

// confirmLow runs the low end again, as noise may have tipped a single run, and lowers it while most runs do not keep the
// objective.
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

// confirmHigh runs the high end again, and raises it while most runs keep the objective.
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

// confirm runs a rate until it has as many valid runs as the search asks for. It returns false after an invalid one.
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

// countRuns returns how many valid runs a rate has had, and how many of them kept the objective.
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
