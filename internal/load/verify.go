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

// LatencyCheck compares one measured figure with the expected one, in a run against a server whose delays are known.
type LatencyCheck struct {
	Name   string  `json:"name"`
	Got    float64 `json:"got_ms"`
	Want   float64 `json:"want_ms"`
	Passed bool    `json:"ok"`
}

// delayPattern is a known pattern of response times.
type delayPattern struct {
	name string
	// answerAt returns the time at which a request is answered, given its arrival and its number, counted from 0. Both
	// times are relative to the start.
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

// answerOneIn95Late delays 1 request in 95. With 1 in 100 the p99 would lie at the boundary between the two delays.
func answerOneIn95Late(arrival time.Duration, number int) time.Duration {
	if number%95 == 50 {
		return arrival + 200*time.Millisecond
	}
	return arrival + time.Millisecond
}

// answerAfterStall sends no answers in the first 300 ms of each second.
func answerAfterStall(arrival time.Duration, _ int) time.Duration {
	const stall = 300 * time.Millisecond
	inSecond := arrival % time.Second
	if inSecond < stall {
		return arrival - inSecond + stall
	}
	return arrival
}

// verifiedQuantiles are the quantiles that are compared in each run, in percent.
var verifiedQuantiles = []float64{50, 99, 99.9}

// Verify runs the load generator against a server with each of the known delay patterns, and compares the reported
// quantiles with those computed from the schedule and the pattern, which an observer who does not wait for responses
// must see. It also returns the results of the runs, because the checks of an invalid run prove nothing.
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

// verifyScenario returns a scenario of calls at even gaps, without retries.
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

// patternClock computes when the server answers each request, by a delay pattern. Its start is one gap before the
// arrival of the first request, as the schedule's first call is due one gap after the start.
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

// runPattern runs the scenario against a server that answers with this pattern.
func runPattern(ctx context.Context, sc *scenario.Scenario, pattern delayPattern) (*Result, error) {
	clock := &patternClock{pattern: pattern, gap: time.Duration(float64(time.Second) / sc.Load.PerS)}
	waker := newWaker()
	null, err := fake.StartNullServer("127.0.0.1:0", clock.answerAt, waker.waitUntil)
	if err != nil {
		waker.close()
		return nil, err
	}
	defer null.Close()
	defer waker.close() // runs before null.Close, which waits for responses that wait for the waker
	return Run(ctx, Plan{Scenario: sc, Seed: 1, Targets: []string{null.Addr()}})
}

// expectedLatency returns the latency distribution that results from the schedule and the pattern if the network and
// the machine take no time.
func expectedLatency(sc *scenario.Scenario, pattern delayPattern) (*hdrhistogram.Histogram, error) {
	schedule, err := workload.NewSchedule(sc, 1, 1, nil)
	if err != nil {
		return nil, err
	}
	histogram := newHistogram()
	for number := 0; ; number++ {
		call, err := schedule.Next()
		if err != nil {
			return histogram, nil // io.EOF: a schedule without a trace returns no other error
		}
		due := time.Duration(call.Due) * time.Microsecond
		latency := pattern.answerAt(due, number) - due
		if err := histogram.RecordValue(max(1, latency.Microseconds())); err != nil {
			return nil, err
		}
	}
}
