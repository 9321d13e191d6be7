package balancer

import "testing"

func TestDrainingRemovedAndOmittedEndpointsGetNothing(t *testing.T) {
	for _, change := range []string{"draining", "removed", "omitted"} {
		list := testEndpoints(3)
		node := startNode(t, testConfig(), list...)
		switch change {
		case "draining", "removed":
			list[0].Phase = PhaseDraining
			if change == "removed" {
				list[0].Phase = PhaseRemoved
			}
			node.balancer.HandleEndpoints(node.now, ListDelta, list[:1])
		case "omitted":
			node.balancer.HandleEndpoints(node.now, ListFull, list[1:])
		}
		for id := RequestID(1); id <= 60; id++ {
			node.request(id, 0, 0)
			for _, endpoint := range node.attempts[id] {
				if endpoint == 1 {
					t.Fatalf("%s: endpoint 1 received a request", change)
				}
			}
			node.advance(10 * ms)
			if len(node.attempts[id]) > 0 {
				node.complete(id, 0, OutcomeOK)
			}
		}
		list[0].Phase, list[0].StartedAt = PhaseReady, 5 // the endpoint returns as a process that was started long ago
		node.balancer.HandleEndpoints(node.now, ListDelta, list[:1])
		back := false
		for id := RequestID(101); id <= 160; id++ {
			node.request(id, 0, 0)
			for _, endpoint := range node.attempts[id] {
				back = back || endpoint == 1
			}
			node.advance(10 * ms)
			if len(node.attempts[id]) > 0 {
				node.complete(id, 0, OutcomeOK)
			}
		}
		if !back {
			t.Errorf("%s: the endpoint received no requests after it had returned", change)
		}
	}
}

func TestDrainingEndpointIsNotUsedAsLastResort(t *testing.T) {
	node := startNode(t, testConfig(), Endpoint{ID: 1, Phase: PhaseDraining})
	node.request(1, 0, 0)
	node.advance(1000 * ms)
	if len(node.attempts[1]) != 0 {
		t.Error("a draining endpoint was used because there was no other")
	}
}

// TestFirstListAssignsSlotsAtOnce guards against slots that are assigned only at the end of the first control period,
// until which no request would be sent.
func TestFirstListAssignsSlotsAtOnce(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("a request after the first list was not sent at once")
	}
}

// TestFirstListGivesInitialLimits guards against endpoints of the first list whose limits are derived from the mean of
// limits that are not set yet: all endpoints but one were not used.
func TestFirstListGivesInitialLimits(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(5)...)
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.limit != initialLimit {
			t.Errorf("endpoint %d has the initial limit %g", endpoint.ID, endpoint.limit)
		}
	}
}

// TestReplacedEndpointsLeaveNoState guards against state that grows without bound if every endpoint is replaced many
// times, as over a long day, and against a log limit that is never lifted.
func TestReplacedEndpointsLeaveNoState(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	id := RequestID(0)
	for i := range 300 {
		removed, fresh := Endpoint{ID: node.balancer.endpoints[0].ID}, Endpoint{ID: EndpointID(1000 + i), Phase: PhaseReady, Weight: 1}
		node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{removed, fresh})
		for range 8 {
			id++
			node.request(id, int(id%3), 0)
			node.complete(id, 0, OutcomeOK)
		}
		node.balancer.logf("line")
		node.advance(node.balancer.controlPeriod)
	}
	b := node.balancer
	if len(b.endpoints) != 4 || len(b.endpointsByID) != 4 || len(b.requests) != 0 || len(b.subset) > 4 {
		t.Errorf("%d endpoints, %d by id, %d in the subset, %d open requests; want 4, 4, at most 4 and 0",
			len(b.endpoints), len(b.endpointsByID), len(b.subset), len(b.requests))
	}
	if node.logLines < 250 {
		t.Errorf("%d of 300 lines were logged, want at least 250", node.logLines)
	}
}
