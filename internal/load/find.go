package load

import (
	"context"
	"fmt"
	"time"
)

// Objective is what a rate must keep to count as carried.
type Objective struct {
	P99              time.Duration // of served calls
	MaxRejectedShare float64       // share of calls that may be refused, fail or time out
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
	Low           float64 `json:"low"`  // the highest rate at which most runs kept the bounds
	High          float64 `json:"high"` // the lowest at which most did not; 0: none was found
	LowConfidence string  `json:"low_kept"`
	HighOut       string  `json:"high_out"`
	Limit         string  `json:"limit,omitempty"` // why the search ended early
	Steps         []Step  `json:"steps"`
}

// Search says where to look.
type Search struct {
	Objective
	From, To      float64 // calls a second
	Close         float64 // the search ends when High/Low is at most 1 and this
	Confirmations int     // runs at each end of the bracket, in the end
}

// Find bisects for the highest rate that run carries, on a scale of ratios. Each rate is run once on the way; both ends of
// the bracket are then run again, until each has been run Sure times, and the bracket widens where most runs of an end
// speak against it. A run that does not count ends the search: the generator, not the target, is the limit there.
func Find(ctx context.Context, s Search, run func(ctx context.Context, perS float64) (*Result, error)) (SearchResult, error) {
	var f SearchResult
	try := func(perS float64) (Step, error) {
		r, err := run(ctx, perS)
		if err != nil {
			return Step{}, err
		}
		st := Step{PerS: perS, P99: r.Latency.P99}
		if !r.Valid {
			st.Invalid = r.Invalid[0]
		}
		if r.Calls > 0 {
			st.RejectedShare = 1 - float64(r.Outcomes["served"]+r.Outcomes["late"])/float64(r.Calls)
		}
		st.WithinBounds = r.Valid && r.Calls > 0 && st.P99 <= ms(s.P99.Microseconds()) && st.RejectedShare <= s.MaxRejectedShare
		f.Steps = append(f.Steps, st)
		return st, nil
	}
	low, high := 0.0, 0.0
	for perS := s.From; ; perS = min(2*perS, s.To) {
		st, err := try(perS)
		if err != nil {
			return f, err
		}
		if st.Invalid != "" {
			f.Limit = fmt.Sprintf("at %.0f a second the generator did not keep its schedule: %s", perS, st.Invalid)
			break
		}
		if !st.WithinBounds {
			high = perS
			break
		}
		if low = perS; perS >= s.To {
			f.Limit = fmt.Sprintf("%.0f a second, the highest asked for, was carried", perS)
			break
		}
	}
	for high > 0 && low > 0 && high/low > 1+s.Close && f.Limit == "" {
		mid := (low + high) / 2
		st, err := try(mid)
		switch {
		case err != nil:
			return f, err
		case st.Invalid != "":
			f.Limit = fmt.Sprintf("at %.0f a second the generator did not keep its schedule: %s", mid, st.Invalid)
		case st.WithinBounds:
			low = mid
		default:
			high = mid
		}
	}
	// How sure is it? Noise may have tipped a single run at either end.
	count := func(perS float64) (kept, all int) {
		for _, st := range f.Steps {
			if st.PerS == perS && st.Invalid == "" {
				all++
				if st.WithinBounds {
					kept++
				}
			}
		}
		return kept, all
	}
	for _, end := range []*float64{&low, &high} {
		for *end > 0 {
			kept, all := count(*end)
			if all >= s.Confirmations {
				if end == &low && 2*kept < all {
					*end /= 1 + s.Close
					continue
				}
				if end == &high && 2*kept > all && *end < s.To {
					*end = min(*end*(1+s.Close), s.To)
					continue
				}
				break
			}
			st, err := try(*end)
			if err != nil {
				return f, err
			}
			if st.Invalid != "" {
				f.Limit = fmt.Sprintf("at %.0f a second the generator did not keep its schedule: %s", *end, st.Invalid)
				break
			}
		}
	}
	f.Low, f.High = low, high
	if low > 0 {
		kept, all := count(low)
		f.LowConfidence = fmt.Sprintf("%d of %d runs", kept, all)
	}
	if high > 0 {
		kept, all := count(high)
		f.HighOut = fmt.Sprintf("%d of %d runs", all-kept, all)
	}
	return f, nil
}
