package balancer

import "testing"

// TestRejectingEndpointIsEjected guards against endpoints that reject at once, and are sent the next
// request at once: a draining one got 300 a second from nodes that did not know of the drain, each of them
// an attempt less for its request.
func TestRejectingEndpointIsEjected(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range ejectionFailures {
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeRejected, Latency: ms})
	}
	if node.balancer.available(endpoint) {
		t.Fatal("still used")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(endpoint) {
		t.Error("not used again")
	}
}

func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	for range ejectionFailures {
		node.balancer.recordOutcome(node.balancer.endpoints[0], 0, AttemptResult{Outcome: OutcomeConnectFailed})
	}
	if node.balancer.available(node.balancer.endpoints[0]) {
		t.Fatal("still used")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(node.balancer.endpoints[0]) {
		t.Error("not used again")
	}
	for _, endpoint := range node.balancer.endpoints {
		for range 10 {
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeConnectFailed})
		}
	}
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("nothing is sent if every endpoint fails")
	}
}

// TestErrorRateEjectsEndpoint guards against errors that count as answers: an endpoint that fails at once,
// and not every time, never failed three times in a row, looked fast and idle, and drew requests; its short
// latencies made all others look congested.
func TestErrorRateEjectsEndpoint(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint, classBefore := node.balancer.endpoints[0], node.balancer.classes[0]
	limit, serverError := endpoint.limit, AttemptResult{Outcome: OutcomeServerError, Latency: 1}
	for range 4 {
		node.balancer.recordOutcome(endpoint, 0, serverError)
		node.balancer.recordOutcome(endpoint, 0, serverError)
		endpoint.outlier.consecutiveFailures = 0 // as an answer in time would, which would also change the limit
		endpoint.outlier.errorRate -= errorRateGain * endpoint.outlier.errorRate
	}
	if node.balancer.available(endpoint) {
		t.Error("still used, with two of three answers errors")
	}
	if endpoint.limit != limit || node.balancer.classes[0] != classBefore {
		t.Errorf("errors changed a limit (%g, was %g) or latencies", endpoint.limit, limit)
	}
	firstEjection := endpoint.outlier.ejectedUntil - node.now
	node.advance(2 * firstEjection)
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeReset})
	if endpoint.outlier.ejectedUntil-node.now < firstEjection {
		t.Error("the second ejection is not longer than the first")
	}
	healthy := node.balancer.endpoints[1]
	for i := range 200 {
		outcome := OutcomeOK
		if i%20 == 0 {
			outcome = OutcomeServerError
		}
		if node.balancer.recordOutcome(healthy, 0, AttemptResult{Outcome: outcome, Latency: ms}); !node.balancer.available(healthy) {
			t.Fatal("ejected by an occasional error")
		}
	}
}

// TestErrorsCommonToAllEjectNone guards against ejections for what all endpoints have: with connections to
// all of them breaking now and then, healthy ones were ejected in turn, and a tenth of the requests was
// rejected for lack of capacity.
func TestErrorsCommonToAllEjectNone(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	for i := range 50 {
		for _, endpoint := range node.balancer.endpoints {
			outcome := OutcomeOK
			if i%5 < 2 {
				outcome = OutcomeReset
			}
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: outcome, Latency: ms})
			if i > 10 && !node.balancer.available(endpoint) {
				t.Fatalf("endpoint %d is ejected at an error rate of %.2f, where %.2f is usual",
					endpoint.ID, endpoint.outlier.errorRate, node.balancer.medianErrorRate)
			}
			// The time before the first control does not count.
			endpoint.outlier.ejectedUntil = min(endpoint.outlier.ejectedUntil, node.now)
		}
		node.balancer.updateSubset()
	}
}

// TestNonIdempotentRequestsAvoidSuspects guards against requests that must run once and are sent to a
// failing endpoint: each error lost one for good.
func TestNonIdempotentRequestsAvoidSuspects(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	suspect := node.balancer.endpoints[0]
	node.balancer.recordOutcome(suspect, 0, AttemptResult{Outcome: OutcomeServerError})
	for id := RequestID(1); id < 200; id += 2 {
		node.request(id, 1, 0)
		node.request(id+1, 0, 0)
		node.complete(id, 0, OutcomeOK)
		node.complete(id+1, 0, OutcomeOK)
		if node.attempts[id][0] == suspect.ID && suspect.outlier.errorRate >= suspectErrorRate {
			t.Fatal("a non-idempotent request was sent to an endpoint that had just failed")
		}
		suspect.outlier.errorRate = max(suspect.outlier.errorRate, 2*suspectErrorRate)
	}
	sent := 0
	for id, attempts := range node.attempts {
		if attempts[0] == suspect.ID && id%2 == 0 {
			sent++
		}
	}
	if sent == 0 {
		t.Error("no request shows whether the endpoint has recovered")
	}
	for _, endpoint := range node.balancer.endpoints {
		endpoint.outlier.errorRate = 2 * suspectErrorRate
	}
	if node.request(1000, 1, 0); len(node.attempts[1000]) != 1 {
		t.Error("nothing is sent if every endpoint is suspect")
	}
}

// TestTimeoutsAloneDoNotEject guards against the ejection of endpoints that answer others all the while:
// the rest was overloaded.
func TestTimeoutsAloneDoNotEject(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range 10 {
		endpoint.lastAnswerAt = node.now
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeTimeout, Latency: 500 * ms})
	}
	if !node.balancer.available(endpoint) {
		t.Error("ejected although it answers")
	}
}

func TestSilentEndpointGetsNothingNew(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.endpoints[0].inFlight.count, node.balancer.endpoints[0].lastAnswerAt = 1, node.now
	node.balancer.runControl()
	for i := range node.balancer.classes {
		node.balancer.classes[i].latency.mean = 40 * ms
	}
	node.balancer.lastControlAt = node.now - node.balancer.controlPeriod
	node.balancer.runControl()
	node.advance(60 * ms) // one and a half means
	for id := RequestID(1); id <= 6; id++ {
		node.request(id, 0, 0)
		if len(node.attempts[id]) > 0 && node.attempts[id][0] == 1 {
			t.Fatal("a silent endpoint got a request")
		}
	}
	if len(node.attempts) == 0 {
		t.Error("the other endpoint got nothing either")
	}
}

func TestOutlierStateCountsErrorsAndRecovers(t *testing.T) {
	outlier := outlierState{consecutiveFailures: 2, ejections: 3}
	for range 3 {
		outlier.recordError()
	}
	if outlier.errorRate <= ejectionErrorRate {
		t.Errorf("error rate %g after three errors, want more than %g", outlier.errorRate, ejectionErrorRate)
	}
	outlier.recordSuccess()
	if outlier.consecutiveFailures != 0 || outlier.ejections != 3 {
		t.Errorf("%+v after one success: want no failures, and the ejections kept", outlier)
	}
	for range 10 {
		outlier.recordSuccess()
	}
	if outlier.errorRate >= suspectErrorRate || outlier.ejections != 0 {
		t.Errorf("%+v after eleven successes: want a low error rate and no ejections", outlier)
	}
}
