package balancer

import (
	"strings"
	"testing"
)

func TestEveryRequestHasFinalAnswerByDeadline(t *testing.T) {
	for class := range testConfig().Classes {
		for _, endpointCount := range []int{0, 3} { // no endpoint at all, and endpoints that never answer
			node := startNode(t, testConfig(), testEndpoints(endpointCount)...)
			for id := RequestID(1); id <= 100; id++ {
				node.request(id, class, 0)
			}
			node.advance(node.balancer.config.Classes[class].Deadline)
			for id := RequestID(1); id <= 100; id++ {
				if node.finalAnswers[id] == "" {
					t.Fatalf("class %d, %d endpoints: request %d has no answer at its deadline", class, endpointCount, id)
				}
			}
		}
	}
}

// TestNothingFollowsFinalAnswer plays each order of outcome, timers, cancellation and a late outcome. The
// fake node fails the test on a second final answer, or on an attempt after it.
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

// TestUnsentRequestIsRejectedAtHalfItsTimeInOverload guards against rejections that come too late: in an
// overload newer requests are sent first, yet older ones stayed queued until shortly before their
// objective, so that their clients had no time left for a retry. The one endpoint of
// the subset takes nothing.
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
		node.advance(20 * ms) // within a queue interval
		wantFinal(t, node, 1, map[bool]string{false: "", true: "reject"}[overloaded])
	}
}

func TestRequestWithShortDeadlineIsRejectedInTime(t *testing.T) {
	node := startNode(t, testConfig())
	node.balancer.HandleRequest(node.now, Request{ID: 1, Class: 5, Deadline: node.now + 20*ms})
	node.advance(20 * ms)
	wantFinal(t, node, 1, "reject")
}

func TestStartedResponseHasNoDeadline(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	node.balancer.HandleResponseStart(node.now, 1)
	node.advance(2000 * ms)
	wantFinal(t, node, 1, "")
	node.complete(1, 0, OutcomeOK)
	if len(node.balancer.requests) != 0 {
		t.Error("the request is still kept")
	}
}

// TestRetryPastObjectiveIsRejectedFirst guards against work for retries whose objective has long passed: in
// an overload they took half of the capacity.
func TestRetryPastObjectiveIsRejectedFirst(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, Deadline: node.now + 300*ms}) // the usual wait of these clients
	node.balancer.overloadMode = true
	node.balancer.HandleRequest(node.now, Request{ID: 2, Deadline: node.now + 300*ms})
	// Of 500 ms 300 have passed, and the objective was 200.
	node.balancer.HandleRequest(node.now, Request{ID: 3, Deadline: node.now + 200*ms})
	if len(node.attempts[2]) != 1 {
		t.Error("a first attempt was not sent")
	}
	wantFinal(t, node, 3, "reject")
	node.balancer.overloadMode = false
	node.balancer.HandleRequest(node.now, Request{ID: 4, Deadline: node.now + 200*ms})
	if len(node.attempts[4]) != 1 {
		t.Error("a retry was not sent although there is capacity")
	}
	node.balancer.overloadMode = true // in class 5 late answers have a value
	node.balancer.HandleRequest(node.now, Request{ID: 5, Class: 5, Deadline: node.now + 300*ms})
	node.balancer.HandleRequest(node.now, Request{ID: 6, Class: 5, Deadline: node.now + 200*ms})
	if len(node.attempts[6]) != 1 {
		t.Error("a retry that still has a value was not sent")
	}
}

// TestLateMeanDoesNotRejectNewRequests has answers that are late on average: new requests are still sent,
// as only their answers bring the mean down.
func TestLateMeanDoesNotRejectNewRequests(t *testing.T) {
	node := startNode(t, singleClassConfig(), testEndpoints(4)...)
	node.balancer.classes[0].latency.mean = 190 * ms // of an objective of 200
	node.request(1, 0, 0)
	node.advance(50 * ms)
	if len(node.attempts[1]) != 1 || node.finalAnswers[1] != "" {
		t.Errorf("%d attempts, final answer %q", len(node.attempts[1]), node.finalAnswers[1])
	}
}

// TestCoarseTickDoesNotEndRequestsEarly has a node whose tick is half of the objective: an end of the
// node's own still comes shortly before the objective. Otherwise requests would end that are about to be
// answered.
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

// TestRequestsWithoutEndpointsAreRejectedEarly has a rejection well within half of a request's time.
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
			t.Errorf("%s: %s after a quarter of its time", name, node.finalAnswers[1])
		}
		node.balancer.HandleCancellation(node.now, 2)
		node.advance(400 * ms)
		if node.finalAnswers[1] != "reject" || len(node.attempts[1]) > 0 {
			t.Errorf("%s: %q, %d attempts after 0.9 s of 2 s", name, node.finalAnswers[1], len(node.attempts[1]))
		}
		node.request(3, 0, 0)
		node.advance(100 * ms)
		node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(4))
		if len(node.attempts[3]) != 1 {
			t.Errorf("%s: not sent as endpoints are back", name)
		}
	}
}
