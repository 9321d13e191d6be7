package balancer

import (
	"strings"
	"testing"
)

// TestEveryRequestHasFinalAnswerByDeadline guards against requests that stay open because no endpoint is listed, or
// because no endpoint answers.
func TestEveryRequestHasFinalAnswerByDeadline(t *testing.T) {
	for class := range testConfig().Classes {
		for _, endpointCount := range []int{0, 3} { // no endpoints, and endpoints that never answer
			node := startNode(t, testConfig(), testEndpoints(endpointCount)...)
			for id := RequestID(1); id <= 100; id++ {
				node.request(id, class, 0)
			}
			node.advance(node.balancer.config.Classes[class].Deadline)
			for id := RequestID(1); id <= 100; id++ {
				if node.finalAnswers[id] == "" {
					t.Fatalf("class %d, %d endpoints: request %d has no final answer at its deadline", class, endpointCount, id)
				}
			}
		}
	}
}

// TestNothingFollowsFinalAnswer guards against a second final answer to a request, and against an attempt after the
// final answer. It delivers an outcome, the timers and a cancellation in different orders; the fake node fails the
// test in both cases.
func TestNothingFollowsFinalAnswer(t *testing.T) {
	for _, outcome := range append([]Outcome{OutcomeOK}, failures...) {
		for _, order := range []string{"outcome-cancel", "cancel-outcome", "timer-outcome", "outcome-timer", "outcome-outcome"} {
			for class := range testConfig().Classes {
				node := startNode(t, testConfig(), testEndpoints(4)...)
				node.request(1, class, 0)
				for _, step := range strings.Split(order, "-") {
					switch step {
					case "outcome":
						node.complete(1, len(node.attempts[1])-1, outcome)
					case "cancel":
						node.balancer.HandleCancellation(node.now, 1)
						if node.finalAnswers[1] == "" {
							node.finalAnswers[1] = "canceled"
						}
					case "timer":
						node.advance(900 * ms)
					}
				}
				node.advance(1000 * ms)
				if node.finalAnswers[1] == "" {
					t.Errorf("%s after outcome %d, class %d: no final answer", order, outcome, class)
				}
			}
		}
	}
}

func TestQueuedRequestIsRejectedBeforeLatencyObjective(t *testing.T) {
	node := startNode(t, testConfig())
	node.request(1, 0, 0)
	node.advance(140 * ms)
	wantFinal(t, node, 1, "")
	node.advance(11 * ms) // the mean latency of the class is 50 ms, the objective 200
	wantFinal(t, node, 1, "reject")
}

// TestUnsentRequestIsRejectedAtHalfItsTimeInOverload guards against rejections that are too late for a retry: in an
// overload newer requests are sent first, but older ones stayed queued until shortly before their objective, so that
// their clients had no time left. The only endpoint of the subset is draining, so no request can be sent.
func TestUnsentRequestIsRejectedAtHalfItsTimeInOverload(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		node := startNode(t, testConfig())
		unavailable := node.balancer.addEndpoint(1)
		unavailable.Phase = PhaseDraining
		node.balancer.subset = []*endpointState{unavailable}
		node.balancer.overloadMode = overloaded
		node.balancer.HandleRequest(node.now, Request{ID: 1, Class: 0, Deadline: node.now + 220*ms}) // objective 200 ms, mean 50
		node.advance(105 * ms)
		wantFinal(t, node, 1, "")
		node.advance(20 * ms) // more than a queue interval past half of its time
		wantFinal(t, node, 1, map[bool]string{false: "", true: "reject"}[overloaded])
	}
}

func TestRequestWithShortDeadlineIsRejectedInTime(t *testing.T) {
	node := startNode(t, testConfig())
	node.balancer.HandleRequest(node.now, Request{ID: 1, Class: 5, Deadline: node.now + 20*ms})
	node.advance(20 * ms)
	wantFinal(t, node, 1, "reject")
}

// TestStartedResponseHasNoDeadline guards against the end of a streamed response at the deadline of its request.
func TestStartedResponseHasNoDeadline(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	node.balancer.HandleResponseStart(node.now, 1)
	node.advance(2000 * ms)
	wantFinal(t, node, 1, "")
	node.complete(1, 0, OutcomeOK)
	if len(node.balancer.requests) != 0 {
		t.Error("the request is still open after its last attempt has ended")
	}
}

// TestPartialResponseIsForwardedInsteadOfFailed guards against the failure of a request whose response has begun: the
// node has to forward what has arrived before the balancer would give up.
func TestPartialResponseIsForwardedInsteadOfFailed(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	request := node.balancer.requests[1]
	node.advance(10 * ms)
	if by := node.balancer.HandlePartialResponse(node.now, 1); by <= node.now || by > request.objectiveAt {
		t.Errorf("to be forwarded %d us from now, objective in %d us", by-node.now, request.objectiveAt-node.now)
	}
	node.advance(request.deadline - node.now + ms)
	wantFinal(t, node, 1, "")
	node.complete(1, 0, OutcomeReset)
	if node.finalAnswers[1] == "" {
		t.Error("no final answer after the end of the response")
	}
}

// TestRetryPastObjectiveIsRejectedFirst guards against attempts for retries whose objective has long passed: in an
// overload they used half of the capacity.
func TestRetryPastObjectiveIsRejectedFirst(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, Deadline: node.now + 300*ms}) // the usual timeout of these clients
	node.balancer.overloadMode = true
	node.balancer.HandleRequest(node.now, Request{ID: 2, Deadline: node.now + 300*ms})
	// 300 of the 500 ms until the deadline have passed, and with them the objective of 200 ms.
	node.balancer.HandleRequest(node.now, Request{ID: 3, Deadline: node.now + 200*ms})
	if len(node.attempts[2]) != 1 {
		t.Error("the first attempt of a new request was not sent in an overload")
	}
	wantFinal(t, node, 3, "reject")
	node.balancer.overloadMode = false
	node.balancer.HandleRequest(node.now, Request{ID: 4, Deadline: node.now + 200*ms})
	if len(node.attempts[4]) != 1 {
		t.Error("a retry past its objective was not sent without an overload")
	}
	node.balancer.overloadMode = true // answers after the objective have a value in class 5
	node.balancer.HandleRequest(node.now, Request{ID: 5, Class: 5, Deadline: node.now + 300*ms})
	node.balancer.HandleRequest(node.now, Request{ID: 6, Class: 5, Deadline: node.now + 200*ms})
	if len(node.attempts[6]) != 1 {
		t.Error("a retry whose late answer has a value was not sent in an overload")
	}
}

// TestLateMeanDoesNotRejectNewRequests guards against a mean latency near the objective that makes the balancer
// reject all new requests: only their answers could lower the mean again.
func TestLateMeanDoesNotRejectNewRequests(t *testing.T) {
	node := startNode(t, singleClassConfig(), testEndpoints(4)...)
	node.balancer.classes[0].latency.mean = 190 * ms // of an objective of 200
	node.request(1, 0, 0)
	node.advance(50 * ms)
	if len(node.attempts[1]) != 1 || node.finalAnswers[1] != "" {
		t.Errorf("%d attempts, final answer %q; want 1 attempt and no answer", len(node.attempts[1]), node.finalAnswers[1])
	}
}

// TestCoarseTickDoesNotEndRequestsEarly guards against a node that rejects requests which are about to be answered.
// The tick of the node is half of the latency objective; it must still reject requests only shortly before the
// objective.
func TestCoarseTickDoesNotEndRequestsEarly(t *testing.T) {
	cfg := singleClassConfig()
	cfg.TickInterval = 5 * ms
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10*ms, 10*ms
	node := startNode(t, cfg, testEndpoints(4)...)
	node.request(1, 0, 0)
	node.advance(8 * ms)
	if len(node.attempts[1]) != 1 || node.finalAnswers[1] != "" {
		t.Errorf("after 8 of 10 ms: %d attempts, final answer %q", len(node.attempts[1]), node.finalAnswers[1])
	}
	node.advance(3 * ms)
	wantFinal(t, node, 1, "reject")
}

// TestRequestsWithoutEndpointsAreRejectedEarly guards against rejections that arrive after half of the client's time
// if no request may be sent: because all endpoints are removed or draining, or because the list is stale.
func TestRequestsWithoutEndpointsAreRejectedEarly(t *testing.T) {
	draining := testEndpoints(4)
	for i := range draining {
		draining[i].Phase = PhaseDraining
	}
	for name, withoutEndpoints := range map[string]func(*fakeNode){
		"removed":  func(node *fakeNode) { node.balancer.HandleEndpoints(node.now, ListFull, nil) },
		"draining": func(node *fakeNode) { node.balancer.HandleEndpoints(node.now, ListFull, draining) },
		"stale":    func(node *fakeNode) { node.balancer.HandleDiscoveryMoved(node.now, 0) },
	} {
		cfg := leasedConfig()
		cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 1900*ms, 2000*ms
		node := startNode(t, cfg, testEndpoints(4)...)
		node.balancer.HandleEndpoints(node.now, ListDelta, nil)
		withoutEndpoints(node)
		node.request(1, 0, 0)
		node.request(2, 0, 0)
		node.advance(500 * ms)
		if node.finalAnswers[1] != "" {
			t.Errorf("%s: final answer %q after a quarter of its time, want none yet", name, node.finalAnswers[1])
		}
		node.balancer.HandleCancellation(node.now, 2)
		node.advance(400 * ms)
		if node.finalAnswers[1] != "reject" || len(node.attempts[1]) > 0 {
			t.Errorf("%s: final answer %q, %d attempts after 0.9 s of 2 s", name, node.finalAnswers[1], len(node.attempts[1]))
		}
		node.request(3, 0, 0)
		node.advance(100 * ms)
		node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(4))
		if len(node.attempts[3]) != 1 {
			t.Errorf("%s: a queued request was not sent when the endpoints returned", name)
		}
	}
}
