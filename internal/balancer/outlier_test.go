package balancer

import "testing"

// TestRejectingEndpointIsEjected guards against endpoints that reject requests at once and therefore get the
// next request at once. A draining endpoint got 300 requests a second from nodes that did not know that it
// was draining, and each rejection cost the request one of its attempts.
func TestRejectingEndpointIsEjected(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range ejectionFailures {
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeRejected, Latency: ms})
	}
	if node.balancer.available(endpoint) {
		t.Fatal("the endpoint is still available after its rejections")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(endpoint) {
		t.Error("the endpoint is not available after the end of its ejection")
	}
}

// TestFailingEndpointIsEjectedAndReturns guards against failed connects that do not eject an endpoint,
// against ejections without end, and against a node that sends nothing if all endpoints are ejected.
func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	for range ejectionFailures {
		node.balancer.recordOutcome(node.balancer.endpoints[0], 0, AttemptResult{Outcome: OutcomeConnectFailed})
	}
	if node.balancer.available(node.balancer.endpoints[0]) {
		t.Fatal("the endpoint is still available after its failed connects")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(node.balancer.endpoints[0]) {
		t.Error("the endpoint is not available after the end of its ejection")
	}
	for _, endpoint := range node.balancer.endpoints {
		for range 10 {
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeConnectFailed})
		}
	}
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("no attempt is sent if every endpoint fails")
	}
}

// TestErrorRateEjectsEndpoint guards against errors that count as answers. An endpoint that failed at once,
// but not every time, never failed three times in a row. It looked fast and idle and therefore got more
// requests, and its short latencies made all other endpoints look congested.
func TestErrorRateEjectsEndpoint(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint, classBefore := node.balancer.endpoints[0], node.balancer.classes[0]
	limit, serverError := endpoint.limit, AttemptResult{Outcome: OutcomeServerError, Latency: 1}
	for range 4 {
		node.balancer.recordOutcome(endpoint, 0, serverError)
		node.balancer.recordOutcome(endpoint, 0, serverError)
		endpoint.outlier.consecutiveFailures = 0 // as an answer in time would, but the limit stays
		endpoint.outlier.errorRate -= errorRateGain * endpoint.outlier.errorRate
	}
	if node.balancer.available(endpoint) {
		t.Error("the endpoint is still available although two of three answers are errors")
	}
	if endpoint.limit != limit || node.balancer.classes[0] != classBefore {
		t.Errorf("errors changed the limit (%g, was %g) or the latencies of the class", endpoint.limit, limit)
	}
	firstEjection := endpoint.outlier.ejectedUntil - node.now
	node.advance(2 * firstEjection)
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeReset})
	if endpoint.outlier.ejectedUntil-node.now < firstEjection {
		t.Error("the second ejection is shorter than the first")
	}
	healthy := node.balancer.endpoints[1]
	for i := range 200 {
		outcome := OutcomeOK
		if i%20 == 0 {
			outcome = OutcomeServerError
		}
		if node.balancer.recordOutcome(healthy, 0, AttemptResult{Outcome: outcome, Latency: ms}); !node.balancer.available(healthy) {
			t.Fatal("an endpoint is ejected for occasional errors")
		}
	}
}

// TestErrorsCommonToAllEjectNone guards against ejections for an error rate that all endpoints have. When
// connections to all of them broke now and then, healthy endpoints were ejected in turn, and a tenth of the
// requests was rejected for lack of capacity.
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
			// Ejections before the first control period do not count.
			endpoint.outlier.ejectedUntil = min(endpoint.outlier.ejectedUntil, node.now)
		}
		node.balancer.updateSubset()
	}
}

// TestNonIdempotentRequestsAvoidSuspects guards against non-idempotent requests that are sent to a failing
// endpoint: each error lost such a request for good.
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
		t.Error("no idempotent request is sent to the suspect endpoint, so its recovery would not be noticed")
	}
	for _, endpoint := range node.balancer.endpoints {
		endpoint.outlier.errorRate = 2 * suspectErrorRate
	}
	if node.request(1000, 1, 0); len(node.attempts[1000]) != 1 {
		t.Error("a non-idempotent request is not sent if every endpoint is suspect")
	}
}

// TestTimeoutsAloneDoNotEject guards against the ejection of endpoints that time out for some requests while
// they answer others: the remaining endpoints were overloaded.
func TestTimeoutsAloneDoNotEject(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range 10 {
		endpoint.lastAnswerAt = node.now
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeTimeout, Latency: 500 * ms})
	}
	if !node.balancer.available(endpoint) {
		t.Error("the endpoint is ejected although it answers other requests")
	}
}

// TestSilentEndpointGetsNothingNew guards against requests that are sent to an endpoint that has requests in
// flight and has not answered for one and a half times the mean latency.
func TestSilentEndpointGetsNothingNew(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.endpoints[0].inFlight.count, node.balancer.endpoints[0].lastAnswerAt = 1, node.now
	node.balancer.runControl()
	for i := range node.balancer.classes {
		node.balancer.classes[i].latency.mean = 40 * ms
	}
	node.balancer.lastControlAt = node.now - node.balancer.controlPeriod
	node.balancer.runControl()
	node.advance(60 * ms) // one and a half times the mean latency
	for id := RequestID(1); id <= 6; id++ {
		node.request(id, 0, 0)
		if len(node.attempts[id]) > 0 && node.attempts[id][0] == 1 {
			t.Fatal("a silent endpoint got a request")
		}
	}
	if len(node.attempts) == 0 {
		t.Error("the other endpoint got no request either")
	}
}

// TestOutlierStateCountsErrorsAndRecovers guards against an error rate that stays low after three errors in a
// row, or high after successes.
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
		t.Errorf("%+v after one success, want no consecutive failures and 3 ejections", outlier)
	}
	for range 10 {
		outlier.recordSuccess()
	}
	if outlier.errorRate >= suspectErrorRate || outlier.ejections != 0 {
		t.Errorf("%+v after eleven successes, want a low error rate and no ejections", outlier)
	}
}
