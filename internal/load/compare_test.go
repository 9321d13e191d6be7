package load

import (
	"context"
	"math"
	"testing"
)

func TestCompareOmitsInvalidRounds(t *testing.T) {
	round := 0
	got, err := Compare(t.Context(), []Contender{{Name: "a", Addr: "1"}, {Name: "b", Addr: "2"}}, 3,
		func(_ context.Context, addr string) (*Result, error) {
			round++
			r := &Result{
				Valid:    round != 3,
				Calls:    100,
				Outcomes: map[string]int64{"served": 90},
				Latency:  Latency{P99: 10, P50: 1},
			}
			if addr == "2" {
				r.Latency.P99 = 20
			}
			return r, nil
		})
	if err != nil {
		t.Fatal(err)
	}
	if got[0].Invalid != 1 || got[1].Invalid != 0 || got[1].P99 != (Spread{20, 20, 20}) ||
		math.Abs(got[0].NotServed.Median-0.1) > 1e-9 {
		t.Errorf("%+v", got)
	}
	if spread := newSpread([]float64{4, 1, 3, 2}); spread != (Spread{2.5, 1, 4}) {
		t.Errorf("%+v", spread)
	}
	if cpu, err := processCPU(1 << 30); err == nil {
		t.Errorf("a process that does not exist used %v", cpu)
	}
}
