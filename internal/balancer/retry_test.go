package balancer

import (
	"slices"
	"testing"

	"tulipglade/internal/safety"
)

// TestAttemptPastObjectiveStaysInFlight guards against attempts that are canceled at the latency objective.
// They would no longer be counted although their endpoints still work on them: with 80 nodes, the endpoints
// were overloaded, and a third of all attempts needed a new connection.
func TestAttemptPastObjectiveStaysInFlight(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.request(1, 0, 0)
	node.advance(200 * ms)
	wantFinal(t, node, 1, "reject")
	endpoint := node.balancer.endpointsByID[node.attempts[1][0]]
	if slices.Contains(node.log, "cancel 1 0") || endpoint.inFlight.count != 1 {
		t.Errorf("%d attempts in flight, commands %v; want 1 and no cancel",
			endpoint.inFlight.count, node.log)
	}
	limit := endpoint.limit
	node.balancer.HandleAttemptResult(node.now, AttemptResult{
		ID: 1, Endpoint: endpoint.ID, Outcome: OutcomeOK, Latency: 200 * ms, RequestDone: true,
	})
	if endpoint.inFlight.count != 0 || endpoint.limit >= limit || len(node.balancer.requests) != 0 {
		t.Errorf("after the answer: %d attempts in flight, limit %g, was %g, %d open requests",
			endpoint.inFlight.count, endpoint.limit, limit, len(node.balancer.requests))
	}
}

// TestFinalAnswerAndAttemptAreGuarded guards against a second final answer, an attempt after the final
// answer, and more attempts than MaxAttempts.
func TestFinalAnswerAndAttemptAreGuarded(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	request := node.balancer.requests[1]
	node.balancer.HandleCancellation(node.now, 1)
	node.finalAnswers[1] = "canceled"
	node.balancer.rejectOrFail(request) // a second final answer fails the test in the fake node
	if node.balancer.sendAttempt(request, node.balancer.endpoints[0]) {
		t.Error("an attempt was sent for a request that is done")
	}
	node.request(2, 0, 0)
	request = node.balancer.requests[2]
	request.attemptsInFlight = 0
	other := node.balancer.endpoints[0]
	if other.ID == node.attempts[2][0] {
		other = node.balancer.endpoints[1]
	}
	if !node.balancer.mayAttempt(request, other) {
		t.Fatal("no second attempt is allowed at the other endpoint")
	}
	request.attempts = append(request.attempts, request.attempts[0], request.attempts[0], request.attempts[0])
	if node.balancer.mayAttempt(request, other) {
		t.Error("a fifth attempt is allowed, want at most four")
	}
}

// failures are all outcomes other than OutcomeOK.
var failures = []Outcome{
	OutcomeServerError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent,
}

// TestRetryByOutcomeAndIdempotency guards against a retry or a rejection of a request that may have run and
// must not run twice, and against a missing retry where a retry does no harm.
func TestRetryByOutcomeAndIdempotency(t *testing.T) {
	for _, outcome := range failures {
		proven := outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent
		for class, c := range testConfig().Classes {
			node := startNode(t, testConfig(), testEndpoints(6)...)
			node.request(1, class, 0)
			node.complete(1, 0, outcome)
			retried := len(node.attempts[1]) > 1
			if c.Idempotency == NonIdempotent && retried != proven {
				t.Errorf("non-idempotent request after outcome %d: retried %v, want %v",
					outcome, retried, proven)
			}
			if c.Idempotency == Idempotent && !retried {
				t.Errorf("idempotent request after outcome %d: not retried", outcome)
			}
			node.advance(c.Deadline)
			harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll
			if !harmless && node.finalAnswers[1] == "reject" && (retried || !proven) {
				t.Errorf("request of class %d after outcome %d: rejected although it may have run",
					class, outcome)
			}
		}
	}
}

// TestRetryStaysInKeyScope guards against a retry outside the group of endpoints that drops repeats of the
// idempotency key: the request could run twice.
func TestRetryStaysInKeyScope(t *testing.T) {
	for range 40 {
		for _, class := range []int{3, 4} {
			list := testEndpoints(6)
			node := startNode(t, testConfig(), list...)
			node.request(1, class, 0)
			node.complete(1, 0, OutcomeReset)
			if len(node.attempts[1]) < 2 {
				t.Fatal("the request was not retried")
			}
			first, second := list[node.attempts[1][0]-1], list[node.attempts[1][1]-1]
			if class == 3 && first.Zone != second.Zone || class == 4 && first.Cell != second.Cell {
				t.Fatalf("the retry of a request of class %d went from %+v to %+v, outside the key scope",
					class, first, second)
			}
		}
	}
}

// TestRetryMayLeaveKeyScopeWhenAttemptNeverRan guards against a key scope that binds a request before any
// attempt may have run.
func TestRetryMayLeaveKeyScopeWhenAttemptNeverRan(t *testing.T) {
	list := testEndpoints(2) // two zones with one endpoint each
	node := startNode(t, testConfig(), list...)
	node.request(1, 3, 0)
	node.complete(1, 0, OutcomeConnectFailed)
	if len(node.attempts[1]) != 2 || node.attempts[1][0] == node.attempts[1][1] {
		t.Errorf("attempts %v, want one on each endpoint", node.attempts[1])
	}
}

// TestNoRetryAfterIdempotencyWindow guards against a retry that arrives when endpoints no longer drop repeats
// of the idempotency key.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(6)...)
	node.request(1, 2, 0)
	node.advance(99 * ms)
	node.complete(1, 0, OutcomeReset)
	if len(node.attempts[1]) != 1 {
		t.Error("the request was retried at the end of the idempotency window")
	}
	wantFinal(t, node, 1, "reject") // the key scope is all endpoints
}

// TestIdempotencyWindowStartsAtFirstAttemptThatMayHaveRun guards against a window that starts with an attempt
// that is known not to have run.
func TestIdempotencyWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(6)...)
	node.request(1, 2, 0)
	node.advance(90 * ms)
	node.complete(1, 0, OutcomeRejected) // the attempt never ran, so the window does not start with it
	node.advance(90 * ms)
	node.complete(1, 1, OutcomeReset)
	if len(node.attempts[1]) != 3 {
		t.Errorf("%d attempts, want 3", len(node.attempts[1]))
	}
}

// TestAttemptsAreLimitedByMaxAttempts guards against more attempts of a request than the configuration
// allows.
func TestAttemptsAreLimitedByMaxAttempts(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(8)...)
	node.request(1, 1, 0)
	for i := 0; i < len(node.attempts[1]); i++ {
		node.complete(1, i, OutcomeRejected)
	}
	if len(node.attempts[1]) != 4 {
		t.Errorf("%d attempts, want 4, which is MaxAttempts", len(node.attempts[1]))
	}
	wantFinal(t, node, 1, "reject")
}

// TestMayStartAttemptChecksCurrentState guards against attempts that are sent on an outdated decision.
// Between the decision and the first byte a connection may have to be opened; meanwhile the endpoint may
// start to drain, the idempotency window may expire, or the client may disconnect.
func TestMayStartAttemptChecksCurrentState(t *testing.T) {
	nonIdempotent := Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: NonIdempotent}
	keyed := Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: IdempotentByKey, IdempotencyWindow: 1000 * ms}
	for name, c := range map[string]struct {
		class      Class
		mayHaveRun bool // an earlier attempt may have run
		change     func(node *fakeNode)
		want       bool
	}{
		"nothing changed": {keyed, false, func(*fakeNode) {}, true},
		"endpoint drains": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: node.attempts[1][0], Phase: PhaseDraining}})
		}, false},
		"endpoint removed": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: node.attempts[1][0], Phase: PhaseRemoved}})
		}, false},
		"endpoint omitted": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListFull, []Endpoint{{ID: 99, Phase: PhaseReady}})
		}, false},
		"client disconnected":           {keyed, false, func(node *fakeNode) { node.balancer.HandleCancellation(node.now, 1) }, false},
		"deadline passed":               {keyed, false, func(node *fakeNode) { node.now += 5000 * ms }, false},
		"window expired, none ran":      {keyed, false, func(node *fakeNode) { node.now += 1200 * ms }, true},
		"within the window":             {keyed, true, func(node *fakeNode) { node.now += 100 * ms }, true},
		"window expired":                {keyed, true, func(node *fakeNode) { node.now += 1200 * ms }, false},
		"first attempt, non-idempotent": {nonIdempotent, false, func(*fakeNode) {}, true},
	} {
		cfg := testConfig()
		cfg.Classes = []Class{c.class}
		node := startNode(t, cfg, testEndpoints(3)...)
		node.request(1, 0, 0)
		if c.mayHaveRun {
			node.complete(1, 0, OutcomeReset)
		}
		if n := len(node.attempts[1]); n == 0 || c.mayHaveRun && n != 2 {
			t.Fatalf("%s: %d attempts", name, n)
		}
		c.change(node)
		if got := node.balancer.MayStartAttempt(node.now, 1, len(node.attempts[1])-1); (got == safety.Allowed) != c.want {
			t.Errorf("%s: reason %v, want allowed %v", name, got, c.want)
		}
	}
	if startNode(t, testConfig(), testEndpoints(1)...).balancer.MayStartAttempt(0, 7, 0) == safety.Allowed {
		t.Error("an unknown attempt may start")
	}
}
