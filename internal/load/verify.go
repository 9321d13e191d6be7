package load

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/fake"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Check is one figure of a run against a stand-in whose delays are known.
type Check struct {
	Name string  `json:"name"`
	Got  float64 `json:"got_ms"`
	Want float64 `json:"want_ms"`
	OK   bool    `json:"ok"`
}

// delays are the known ones: what an answer waits for, as told by the moment at which its request came and the count
// of requests so far.
type delays struct {
	name string
	// due tells when a request that is due at that time since the start, and is number n, is answered.
	due func(at time.Duration, n int) time.Duration
}

var known = []delays{
	{"constant 5 ms", func(at time.Duration, _ int) time.Duration { return at + 5*time.Millisecond }},
	{"1 in 95 of 200 ms", func(at time.Duration, n int) time.Duration { // at 1 in 100 the p99 would lie on the edge
		if n%95 == 50 {
			return at + 200*time.Millisecond
		}
		return at + time.Millisecond
	}},
	{"a stall of 300 ms a second", func(at time.Duration, _ int) time.Duration {
		if in := at % time.Second; in < 300*time.Millisecond {
			return at - in + 300*time.Millisecond
		}
		return at
	}},
}

// Verify runs against a stand-in with each of the known delays, and holds what is reported against what an observer
// who does not wait for answers must see: quantiles worked out from the schedule itself. It returns the runs beside the
// checks, as one that does not count proves nothing.
func Verify(ctx context.Context, perS, seconds float64, bound time.Duration) ([]Check, []*Result, error) {
	var checks []Check
	var runs []*Result
	for _, d := range known {
		sc := scenario.Default()
		sc.Name, sc.Seconds, sc.WarmUp = d.name, seconds, 0
		sc.Load.Shape, sc.Load.PerS, sc.Clients.Retries = "constant", perS, 0
		sc.Clients.TimeoutShare = 1
		sc.Classes = []scenario.Class{{Name: "read", Share: 1, Work: 1, Dist: "constant", LatencyObjective: 5000, Deadline: 5000, PriorityWeight: 1,
			Idempotency: "repeatable"}}
		if err := sc.Check(); err != nil {
			return nil, nil, err
		}
		want, err := expected(&sc, d)
		if err != nil {
			return nil, nil, err
		}
		// The stand-in's clock begins with the first request, which is due one gap after the start.
		gap := time.Duration(float64(time.Second) / perS)
		var began time.Time
		n := 0
		var mu sync.Mutex
		waker := newWaker()
		null, err := fake.StartNull("127.0.0.1:0", func(now time.Time) time.Time {
			mu.Lock()
			defer mu.Unlock()
			if began.IsZero() {
				began = now.Add(-gap)
			}
			n++
			return began.Add(d.due(now.Sub(began), n-1))
		}, waker.until)
		if err != nil {
			return nil, nil, err
		}
		r, err := Run(ctx, Plan{Scenario: &sc, Seed: 1, Targets: []string{null.Addr()}})
		waker.close()
		null.Close()
		if err != nil {
			return nil, nil, err
		}
		runs = append(runs, r)
		for _, q := range []float64{50, 99, 99.9} {
			c := Check{Name: fmt.Sprintf("%s, p%g", d.name, q), Got: ms(r.all.ValueAtQuantile(q)), Want: ms(want.ValueAtQuantile(q))}
			c.OK = math.Abs(c.Got-c.Want) <= ms(bound.Microseconds())
			checks = append(checks, c)
		}
	}
	return checks, runs, nil
}

// expected is the distribution that the schedule and the delays give, on a network and a machine that take no time.
func expected(sc *scenario.Scenario, d delays) (*hdrhistogram.Histogram, error) {
	s, err := workload.NewSchedule(sc, 1, 1, nil)
	if err != nil {
		return nil, err
	}
	h := newHist()
	for n := 0; ; n++ {
		c, err := s.Next()
		if err != nil {
			return h, nil // the end: a schedule without a trace has no other error
		}
		at := time.Duration(c.At) * time.Microsecond
		if err := h.RecordValue(max(1, (d.due(at, n) - at).Microseconds())); err != nil {
			return nil, err
		}
	}
}
