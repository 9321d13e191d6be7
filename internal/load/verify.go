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

// LatencyCheck is one figure of a run against a fake whose delays are known.
type LatencyCheck struct {
	Name   string  `json:"name"`
	Got    float64 `json:"got_ms"`
	Want   float64 `json:"want_ms"`
	Passed bool    `json:"ok"`
}

// delayPattern is a known pattern of response times.
type delayPattern struct {
	name string
	// answerAt returns when the request with this number, which arrives at that time since the start, is answered.
	answerAt func(arrival time.Duration, number int) time.Duration
}

var delayPatterns = []delayPattern{
	{"constant 5 ms", answerAfter5ms},
	{"1 in 95 of 200 ms", answerOneIn95Late},
	{"a stall of 300 ms a second", answerAfterStall},
}

func answerAfter5ms(arrival time.Duration, _ int) time.Duration {
	return arrival + 5*time.Millisecond
}

// answerOneIn95Late delays 1 in 95: at 1 in 100 the p99 would lie on the edge.
func answerOneIn95Late(arrival time.Duration, number int) time.Duration {
	if number%95 == 50 {
		return arrival + 200*time.Millisecond
	}
	return arrival + time.Millisecond
}

// answerAfterStall answers nothing in the first 300 ms of each second.
func answerAfterStall(arrival time.Duration, _ int) time.Duration {
	const stall = 300 * time.Millisecond
	inSecond := arrival % time.Second
	if inSecond < stall {
		return arrival - inSecond + stall
	}
	return arrival
}

// verifiedQuantiles are compared in each run, in percent.
var verifiedQuantiles = []float64{50, 99, 99.9}

// Verify runs against a fake with each of the known patterns, and compares what is reported with what an observer who
// does not wait for responses must see: quantiles computed from the schedule itself. It returns the runs beside the
// checks, as an invalid one proves nothing.
func Verify(ctx context.Context, perS, seconds float64, bound time.Duration) ([]LatencyCheck, []*Result, error) {
	var checks []LatencyCheck
	var runs []*Result
	for _, pattern := range delayPatterns {
		sc, err := verifyScenario(pattern.name, perS, seconds)
		if err != nil {
			return nil, nil, err
		}
		want, err := expectedLatency(sc, pattern)
		if err != nil {
			return nil, nil, err
		}
		result, err := runPattern(ctx, sc, pattern)
		if err != nil {
			return nil, nil, err
		}
		runs = append(runs, result)
		for _, q := range verifiedQuantiles {
			check := LatencyCheck{
				Name: fmt.Sprintf("%s, p%g", pattern.name, q),
				Got:  millis(result.latency.ValueAtQuantile(q)),
				Want: millis(want.ValueAtQuantile(q)),
			}
			check.Passed = math.Abs(check.Got-check.Want) <= millis(bound.Microseconds())
			checks = append(checks, check)
		}
	}
	return checks, runs, nil
}

// verifyScenario is a load at even gaps, without retries.
func verifyScenario(name string, perS, seconds float64) (*scenario.Scenario, error) {
	sc := scenario.Default()
	sc.Name = name
	sc.Seconds = seconds
	sc.WarmUp = 0
	sc.Load.Shape = "constant"
	sc.Load.PerS = perS
	sc.Clients.Retries = 0
	sc.Clients.TimeoutShare = 1
	sc.Classes = []scenario.Class{{
		Name:             "read",
		Share:            1,
		Work:             1,
		Dist:             "constant",
		LatencyObjective: 5000,
		Deadline:         5000,
		PriorityWeight:   1,
		Idempotency:      "repeatable",
	}}
	if err := sc.Check(); err != nil {
		return nil, err
	}
	return &sc, nil
}

// patternClock tells a fake when to answer. It begins with the first request, which is due one gap after the start.
type patternClock struct {
	pattern delayPattern
	gap     time.Duration

	mu        sync.Mutex
	startedAt time.Time
	requests  int
}

func (c *patternClock) answerAt(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() {
		c.startedAt = now.Add(-c.gap)
	}
	number := c.requests
	c.requests++
	return c.startedAt.Add(c.pattern.answerAt(now.Sub(c.startedAt), number))
}

// runPattern runs the scenario against a fake with this pattern.
func runPattern(ctx context.Context, sc *scenario.Scenario, pattern delayPattern) (*Result, error) {
	clock := &patternClock{pattern: pattern, gap: time.Duration(float64(time.Second) / sc.Load.PerS)}
	waker := newWaker()
	null, err := fake.StartNullServer("127.0.0.1:0", clock.answerAt, waker.waitUntil)
	if err != nil {
		waker.close()
		return nil, err
	}
	defer null.Close()
	defer waker.close() // before the server: its Close waits for the responses that wait for the waker
	return Run(ctx, Plan{Scenario: sc, Seed: 1, Targets: []string{null.Addr()}})
}

// expectedLatency is the distribution that the schedule and the pattern give, on a network and a machine that take no
// time.
func expectedLatency(sc *scenario.Scenario, pattern delayPattern) (*hdrhistogram.Histogram, error) {
	schedule, err := workload.NewSchedule(sc, 1, 1, nil)
	if err != nil {
		return nil, err
	}
	histogram := newHistogram()
	for number := 0; ; number++ {
		call, err := schedule.Next()
		if err != nil {
			return histogram, nil // the end: a schedule without a trace has no other error
		}
		due := time.Duration(call.Due) * time.Microsecond
		latency := pattern.answerAt(due, number) - due
		if err := histogram.RecordValue(max(1, latency.Microseconds())); err != nil {
			return nil, err
		}
	}
}
