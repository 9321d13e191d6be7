package load

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// FindMaxRate must find the known limit of a target: a steep one, one with disturbed runs, one beyond the generator's
// own limit, none at all, and one below the lowest rate.
func TestFindReturnsTheKnownLimit(t *testing.T) {
	search := SearchOptions{
		Objective:     Objective{P99: 50 * time.Millisecond, MaxRejectedShare: 0.01},
		MinRate:       100,
		MaxRate:       100000,
		Tolerance:     0.05,
		Confirmations: 3,
	}
	calls := 0
	target := func(limit, generator float64, noise int) func(context.Context, float64) (*Result, error) {
		calls = 0
		return func(_ context.Context, perS float64) (*Result, error) {
			calls++
			r := &Result{
				Valid:    perS <= generator,
				Calls:    1000,
				Outcomes: map[string]int64{"served": 1000},
				Latency:  Latency{P99: 10},
			}
			if !r.Valid {
				r.Invalid = []string{"CPU"}
			}
			if perS > limit || noise > 0 && calls%noise == 0 {
				r.Outcomes["served"], r.Outcomes["refused"] = 900, 100
			}
			return r, nil
		}
	}
	for name, c := range map[string]struct {
		limit, generator float64
		noise            int
		low, high        float64 // range in which the result's Low must lie
		want             string
	}{
		"a steep limit":                {7300, 1e9, 0, 6900, 7700, ""},
		"one run in nine is disturbed": {7300, 1e9, 9, 5000, 8000, ""},
		"the generator is the limit":   {1e9, 5000, 0, 3000, 5000, "generator did not keep its schedule: CPU"},
		"no limit":                     {1e9, 1e9, 0, 100000, 100000, "highest asked for, was carried"},
		"not even the first":           {50, 1e9, 0, 0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := FindMaxRate(t.Context(), search, target(c.limit, c.generator, c.noise))
			if err != nil {
				t.Fatal(err)
			}
			if f.Low < c.low || f.Low > max(c.high, c.low) || c.want != "" && !strings.Contains(f.Limit, c.want) || calls > 60 {
				t.Errorf("low %.0f (%s), high %.0f (%s), %q after %d runs",
					f.Low, f.LowConfidence, f.High, f.HighConfidence, f.Limit, calls)
			}
			found := c.noise == 0 && c.low > 0 && c.limit < 1e9
			if found && (f.LowConfidence != "3 of 3 runs" || f.HighConfidence != "3 of 3 runs" || f.High/f.Low > 1.051) {
				t.Errorf("low %s, high %s", f.LowConfidence, f.HighConfidence)
			}
		})
	}
	broken := errors.New("broken")
	_, err := FindMaxRate(t.Context(), search, func(context.Context, float64) (*Result, error) { return nil, broken })
	if !errors.Is(err, broken) {
		t.Errorf("%v", err)
	}
}
