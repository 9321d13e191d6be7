package balancer

import (
	"math"
	"testing"
)

// TestInFlightStaysWithinLimit guards against more requests in flight to an endpoint than its limit allows.
func TestInFlightStaysWithinLimit(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	for id := RequestID(1); id <= 500; id++ {
		node.request(id, 0, 0)
	}
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.inFlight.count > initialLimit {
			t.Errorf("endpoint %d has %d requests in flight, want at most its limit",
				endpoint.ID, endpoint.inFlight.count)
		}
	}
}

// TestManyNodesShareAnEndpoint guards against a minimum of one request in flight per endpoint and node: with
// 16 nodes, this minimum overloaded every endpoint.
func TestManyNodesShareAnEndpoint(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(40)...)
	for id := RequestID(1); id <= 200; id++ {
		node.request(id, 0, 0)
	}
	if n := node.balancer.tenants[0].inFlight.count; n > 5 {
		t.Errorf("%d requests in flight to 40 endpoints, want at most 5 for one of 60 nodes", n)
	}
}

// TestManyNodesRaiseALimitInSmallSteps guards against nodes that each raise the limit of an endpoint by a
// full step: 16 nodes together overloaded every endpoint.
func TestManyNodesRaiseALimitInSmallSteps(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(2)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	endpoint.inFlight.mean = 1 // in use
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: 0})
	if rise := endpoint.limit - before; rise <= 0 || rise > 0.11*before {
		t.Errorf("one of 60 nodes raised the limit by %g from %g in one step", rise, before)
	}
}

// TestLimitFollowsLoadReports guards against limits that follow latency although the endpoints report their
// load. With few answers per endpoint and node, a single latency shows little of the load: after the loss of
// a zone, some endpoints were at a tenth of their capacity and others were overloaded.
func TestLimitFollowsLoadReports(t *testing.T) {
	for _, c := range []struct {
		name            string
		report          LoadReport
		latency         Span
		least, greatest float64
	}{
		{"idle, high latency", LoadReport{-1, 0, 0.3}, 190 * ms, initialLimit + 0.1, 2 * initialLimit},
		{"full, low latency", LoadReport{-1, 0, 1}, ms, 0, 0.97 * initialLimit},
		{"backlog", LoadReport{-1, 3, 0.95}, ms, 0, 0.97 * initialLimit},
		{"no report, high latency", LoadReport{-1, -1, -1}, 190 * ms, 0, 0.97 * initialLimit},
	} {
		node := startNode(t, testConfig(), testEndpoints(4)...)
		endpoint := node.balancer.endpoints[0]
		endpoint.inFlight.mean = initialLimit // in use
		for range 3 {
			node.balancer.recordReport(endpoint, &c.report)
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: c.latency})
		}
		if endpoint.limit < c.least || endpoint.limit > c.greatest {
			t.Errorf("%s: limit %g after three answers, want %g to %g",
				c.name, endpoint.limit, c.least, c.greatest)
		}
	}
}

// TestLimitsStayPerEndpointWhenFleetShrinks guards against limits that each node learns for its own requests
// alone. After the loss of a zone, half as many nodes again used each endpoint, and all nodes together sent
// half as much again to endpoints that were already full.
func TestLimitsStayPerEndpointWhenFleetShrinks(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	list := testEndpoints(30)
	for i := range list {
		list[i].Weight = float64(1 + i%2)
	}
	balancer := startNode(t, cfg, list...).balancer
	sum := func() (sum float64) { // of the limits of all nodes for an average endpoint
		for _, endpoint := range balancer.subset {
			limit := balancer.effectiveLimit(endpoint) / balancer.relativeWeight(endpoint) * balancer.nodesPerEndpoint
			sum += limit / float64(len(balancer.subset))
		}
		return sum
	}
	for _, endpoint := range balancer.endpoints {
		if want := initialLimit * endpoint.Weight / 1.5; math.Abs(endpoint.limit-want) > 1e-9 {
			t.Fatalf("endpoint of weight %g starts at %g, want %g", endpoint.Weight, endpoint.limit, want)
		}
	}
	before, nodesBefore := sum(), balancer.nodesPerEndpoint
	balancer.HandleEndpoints(balancer.now, ListFull, list[:20])
	if got := sum(); balancer.nodesPerEndpoint < 1.4*nodesBefore || math.Abs(got-before) > 0.01*before {
		t.Errorf("nodes per endpoint went from %g to %g, and the limits of all nodes together from %g to %g",
			nodesBefore, balancer.nodesPerEndpoint, before, got)
	}
}

// TestWarmingEndpointHasCapacityForItsCores guards against limits in proportion to the warm-up fraction. A
// warming endpoint has all its cores, but they are slower: with 36 of 60 endpoints new, half of the requests
// were rejected while the new endpoints reported a utilization of 0.2. Slow-start tokens keep the requests
// within the budget.
func TestWarmingEndpointHasCapacityForItsCores(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: 9, Phase: PhaseReady, Weight: 1, StartedAt: node.now}})
	warming, warm := node.balancer.endpointsByID[9], node.balancer.endpointsByID[1]
	warmUp := node.balancer.warmUpFraction(warming)
	part := node.balancer.effectiveLimit(warming) / node.balancer.effectiveLimit(warm)
	if warmUp > 0.11 || part < 0.25 || part > 0.5 {
		t.Errorf("an endpoint with %.2f of its capacity has %.2f of a warm one's limit, want 0.25 to 0.5",
			warmUp, part)
	}
}

// TestExtremeWeightsAreBounded guards against an endpoint list in which a weight of 1e300 takes the capacity
// of all other endpoints, and against a negative peer index.
func TestExtremeWeightsAreBounded(t *testing.T) {
	for _, weight := range []float64{1e300, 1.7e308, -5, 0} {
		list := testEndpoints(4)
		list[0].Weight, list[1].Weight = weight, weight
		cfg := testConfig()
		cfg.PeerIndex = -7
		node := startNode(t, cfg, list...)
		for _, endpoint := range node.balancer.endpoints {
			if endpoint.limit < initialLimit/4 || endpoint.limit > initialLimit*4 {
				t.Errorf("weight %g: endpoint %d has limit %g, want a quarter to four times the initial limit",
					weight, endpoint.ID, endpoint.limit)
			}
		}
	}
}

// TestLateAnswersKeepMinimumLimit guards against limits below one request per endpoint, which result from
// work that happens to take long: with half of the endpoints draining or warming up, a fifth of all requests
// was rejected while no endpoint had a backlog.
func TestLateAnswersKeepMinimumLimit(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 3
	node := startNode(t, cfg, testEndpoints(4)...)
	for range 500 {
		for _, endpoint := range node.balancer.endpoints {
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: 500 * ms})
		}
	}
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.limit < minLimit-0.01 || endpoint.limit > minLimit+0.01 {
			t.Errorf("the limit of an endpoint for all nodes together is %g, want %g",
				endpoint.limit, minLimit)
		}
	}
}

// TestCanceledAttemptCountsAsLate guards against limits that are learned from answers alone: if requests are
// canceled at their objective, no late answer arrives and the limits never fall.
func TestCanceledAttemptCountsAsLate(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 199 * ms})
	if endpoint.limit >= before {
		t.Errorf("limit %g after an attempt that was canceled at the objective, want less than %g",
			endpoint.limit, before)
	}
}

// TestEarlyCancellationDoesNotLowerLimit guards against attempts that count as late although they were
// canceled early: requests that were dispatched shortly before their objective reduced the limits of idle
// endpoints to nothing.
func TestEarlyCancellationDoesNotLowerLimit(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.classes[0].latency.mean = 10 * ms
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 30 * ms})
	if endpoint.limit != before {
		t.Errorf("limit %g after an attempt that was canceled early, want %g as before",
			endpoint.limit, before)
	}
}

// TestLimitRisesOnlyWhenUsed guards against a limit that rises although it is hardly used. The effective
// limit of a warming endpoint is small, so that a few requests look like much of it.
func TestLimitRisesOnlyWhenUsed(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	endpoint.StartedAt = node.now
	before := endpoint.limit
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: ms})
	if endpoint.limit != before {
		t.Errorf("limit changed from %g to %g with no request in flight", before, endpoint.limit)
	}
}

// TestCapacityFollowsLimits guards against a capacity that is computed only once in a control period: if
// latency objectives are long, the next period is far away, and the capacity must follow limits that change
// before it.
func TestCapacityFollowsLimits(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10000*ms, 20000*ms
	node := startNode(t, cfg, testEndpoints(4)...)
	for id := RequestID(1); id <= 200; id++ {
		node.request(id, 0, 0)
	}
	before, sum := node.balancer.capacity, 0.0
	for id := RequestID(1); id <= 20; id++ {
		node.complete(id, 0, OutcomeOK) // fast answers raise limits
	}
	for _, endpoint := range node.balancer.subset {
		sum += node.balancer.effectiveLimit(endpoint)
	}
	if math.Abs(node.balancer.capacity-sum) > 1e-6 || sum <= before {
		t.Errorf("capacity %.2f, was %.2f before the answers, the limits sum up to %.2f",
			node.balancer.capacity, before, sum)
	}
}
