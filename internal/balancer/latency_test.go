package balancer

import (
	"math"
	"testing"
)

// TestUsualTimeoutIsTheMostFrequent guards against other choices of the usual wait: a client's last attempt
// waits longer than its first, so that the longest wait makes first attempts look like retries; and a
// median drifts with the retries of an overload.
func TestUsualTimeoutIsTheMostFrequent(t *testing.T) {
	timeouts := &timeoutHistogram{}
	for i := range 60 {
		timeouts.observe(318*ms, 450*ms)
		if bucket, usual := timeouts.observe(318*ms, 450*ms); bucket != usual {
			t.Fatal("a first attempt looks unusual")
		}
		for _, timeout := range []Span{385 + Span(i), 140 + Span(i)} {
			if bucket, usual := timeouts.observe(timeout*ms, 450*ms); i > 10 && bucket >= usual-1 && bucket <= usual+1 {
				t.Fatalf("a retry that waits %d ms looks usual", timeout)
			}
		}
	}
}

// TestMarkedRetriesCountFromFirstAttempt has clients that mark their retries: what is not marked is a first
// attempt, however long it waits; a retry's objective counts from its first attempt, as far as its deadline
// shows.
func TestMarkedRetriesCountFromFirstAttempt(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ClientsMarkRetries = true
	node := startNode(t, cfg, testEndpoints(4)...)
	objectiveIn := func(id RequestID, timeLeft Span, isRetry bool) Span {
		node.balancer.HandleRequest(node.now, Request{ID: id, Deadline: node.now + timeLeft, IsRetry: isRetry})
		return node.balancer.requests[id].objectiveAt - node.now
	}
	for id := RequestID(1); id < 100; id++ { // most clients wait 300 ms for an attempt
		objectiveIn(id, 300*ms, false)
	}
	for id, c := range []struct {
		timeLeft Span
		isRetry  bool
		want     Span
	}{{300 * ms, false, 200 * ms}, {490 * ms, false, 200 * ms}, // first attempts
		{400 * ms, true, 150 * ms}, {300 * ms, true, 100 * ms}, // sent between now and 500 ms before its end
		{250 * ms, true, -50 * ms}, {100 * ms, true, -200 * ms}} { // ends with the whole request, which was first sent 500 ms before
		if got := objectiveIn(RequestID(1000+id), c.timeLeft, c.isRetry); math.Abs(float64(got-c.want)) > ms {
			t.Errorf("%d ms left, retry %v: objective in %d µs, want %d", c.timeLeft/ms, c.isRetry, got, c.want)
		}
	}
}

// TestNetworkDelayCountsAgainstObjective has first attempts show how long requests are on their way, if
// retries are marked. That time counts against their objectives.
func TestNetworkDelayCountsAgainstObjective(t *testing.T) {
	for _, marked := range []bool{true, false} {
		cfg := singleClassConfig()
		cfg.ClientsMarkRetries = marked
		node := startNode(t, cfg) // no endpoint: all requests are queued
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

func TestMissingAnswerOnlyRaisesMean(t *testing.T) {
	latency := classLatency{mean: 100}
	if latency.recordUnanswered(50); latency.mean != 100 {
		t.Errorf("mean %g after an attempt that was canceled early", latency.mean)
	}
	if latency.recordUnanswered(200); latency.mean != 105 {
		t.Errorf("mean %g after one without an answer in 200, want 105", latency.mean)
	}
}
