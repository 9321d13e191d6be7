package balancer

import (
	"math"
	"testing"
)

// TestUsualTimeoutIsTheMostFrequent guards against other choices of the usual timeout. The last attempt of a
// client waits longer than its first one, so the longest timeout would make first attempts look like retries.
// A median would drift with the retries of an overload.
func TestUsualTimeoutIsTheMostFrequent(t *testing.T) {
	timeouts := &timeoutHistogram{}
	for i := range 60 {
		timeouts.observe(318*ms, 450*ms)
		if bucket, usual := timeouts.observe(318*ms, 450*ms); bucket != usual {
			t.Fatal("the timeout of a first attempt is not the usual one")
		}
		for _, timeout := range []Span{385 + Span(i), 140 + Span(i)} {
			if bucket, usual := timeouts.observe(timeout*ms, 450*ms); i > 10 && bucket >= usual-1 && bucket <= usual+1 {
				t.Fatalf("a retry with a timeout of %d ms looks like a first attempt", timeout)
			}
		}
	}
}

// TestMarkedRetriesCountFromFirstAttempt guards against a wrong start of the latency objective if clients
// mark their retries. A request without a mark is a first attempt, whatever its timeout. The objective of a
// retry counts from the client's first attempt, as far as the deadline of the retry shows when that was.
func TestMarkedRetriesCountFromFirstAttempt(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ClientsMarkRetries = true
	node := startNode(t, cfg, testEndpoints(4)...)
	objectiveIn := func(id RequestID, timeLeft Span, isRetry bool) Span {
		node.balancer.HandleRequest(node.now, Request{ID: id, Deadline: node.now + timeLeft, IsRetry: isRetry})
		return node.balancer.requests[id].objectiveAt - node.now
	}
	for id := RequestID(1); id < 100; id++ { // most clients have a timeout of 300 ms for an attempt
		objectiveIn(id, 300*ms, false)
	}
	for id, c := range []struct {
		timeLeft Span
		isRetry  bool
		want     Span
	}{{300 * ms, false, 200 * ms}, {490 * ms, false, 200 * ms}, // first attempts
		// Retries of requests that were first sent between 500 ms before the end of the retry and now.
		{400 * ms, true, 150 * ms}, {300 * ms, true, 100 * ms},
		// Retries that end with the whole request, which was first sent 500 ms before that end.
		{250 * ms, true, -50 * ms}, {100 * ms, true, -200 * ms}} {
		if got := objectiveIn(RequestID(1000+id), c.timeLeft, c.isRetry); math.Abs(float64(got-c.want)) > ms {
			t.Errorf("%d ms left, retry %v: objective in %d µs, want %d",
				c.timeLeft/ms, c.isRetry, got, c.want)
		}
	}
}

// TestNetworkDelayCountsAgainstObjective guards against a latency objective that ignores the time from the
// client to this node. If retries are marked, first attempts show this time, and it counts against the
// objective.
func TestNetworkDelayCountsAgainstObjective(t *testing.T) {
	for _, marked := range []bool{true, false} {
		cfg := singleClassConfig()
		cfg.ClientsMarkRetries = marked
		node := startNode(t, cfg) // without an endpoint all requests stay queued
		for id := RequestID(1); id < 200; id++ {
			node.balancer.HandleRequest(node.now, Request{ID: id, Deadline: node.now + 490*ms})
			node.advance(ms)
		}
		objective := node.balancer.requests[199].objectiveAt - (node.now - ms)
		if want := map[bool]Span{true: 190 * ms, false: 200 * ms}[marked]; math.Abs(float64(objective-want)) > ms {
			t.Errorf("marked %v: objective in %d µs, want %d", marked, objective, want)
		}
	}
}

// TestBaselineIsLowestPeriodMeanAndDriftsUp guards against a baseline that follows too few answers or a slow
// period.
func TestBaselineIsLowestPeriodMeanAndDriftsUp(t *testing.T) {
	latency := classLatency{baseline: 100, mean: 100}
	period := func(took float64, answers int) {
		for range answers {
			latency.recordAnswer(took)
		}
		latency.endPeriod()
	}
	period(60, minPeriodSamples-1)
	if latency.baseline != 100 {
		t.Errorf("baseline %g after too few answers, want 100", latency.baseline)
	}
	period(60, 1)
	if latency.baseline != 60 {
		t.Errorf("baseline %g, want the period's mean of 60", latency.baseline)
	}
	period(200, minPeriodSamples)
	if want := 60 * baselineDrift; latency.baseline != want {
		t.Errorf("baseline %g after a slow period, want %g", latency.baseline, want)
	}
}

// TestMissingAnswerOnlyRaisesMean guards against a mean latency that falls because attempts were canceled
// early.
func TestMissingAnswerOnlyRaisesMean(t *testing.T) {
	latency := classLatency{mean: 100}
	if latency.recordUnanswered(50); latency.mean != 100 {
		t.Errorf("mean %g after an attempt that was canceled early, want 100 as before", latency.mean)
	}
	if latency.recordUnanswered(200); latency.mean != 105 {
		t.Errorf("mean %g after an attempt without an answer within 200, want 105", latency.mean)
	}
}
