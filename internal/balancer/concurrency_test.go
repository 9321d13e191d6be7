package balancer

import (
	"math"
	"testing"
)

func TestInFlightStaysWithinLimit(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	for id := RequestID(1); id <= 500; id++ {
		node.request(id, 0, 0)
	}
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.inFlight.count > initialLimit {
			t.Errorf("endpoint %d has %d in flight", endpoint.ID, endpoint.inFlight.count)
		}
	}
}

// TestManyNodesShareAnEndpoint guards against a minimum of one request per endpoint and node: 16 nodes
// overloaded every endpoint.
func TestManyNodesShareAnEndpoint(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(40)...)
	for id := RequestID(1); id <= 200; id++ {
		node.request(id, 0, 0)
	}
	if n := node.balancer.tenants[0].inFlight.count; n > 5 {
		t.Errorf("%d in flight, want a tenth of the endpoints at most", n)
	}
}

// TestManyNodesRaiseALimitInSmallSteps guards against 16 nodes that each raise a limit by a full step:
// every endpoint was overloaded.
func TestManyNodesRaiseALimitInSmallSteps(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(2)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	endpoint.inFlight.mean = 1 // in use
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: 0})
	if rise := endpoint.limit - before; rise <= 0 || rise > 0.11*before {
		t.Errorf("limit rose by %g from %g in one step of one of sixty nodes", rise, before)
	}
}

// TestLimitFollowsLoadReports guards against limits that follow latency although endpoints report their
// load: with few answers per endpoint and node, each latency says little. After the loss of a zone some
// endpoints were at a tenth of their capacity and others overloaded.
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
			t.Errorf("%s: limit %g after three answers, want %g to %g", c.name, endpoint.limit, c.least, c.greatest)
		}
	}
}

// TestLimitsStayPerEndpointWhenFleetShrinks guards against limits that each node learns for itself alone:
// after the loss of a zone each endpoint was used by half as many nodes again, and all together sent half
// as much again to full endpoints.
func TestLimitsStayPerEndpointWhenFleetShrinks(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount = 60
	list := testEndpoints(30)
	for i := range list {
		list[i].Weight = float64(1 + i%2)
	}
	balancer := startNode(t, cfg, list...).balancer
	sum := func() (sum float64) { // of all nodes, at an average endpoint
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
		t.Errorf("%g nodes per endpoint, then %g; limits of all %g, then %g", nodesBefore, balancer.nodesPerEndpoint, before, got)
	}
}

// TestWarmingEndpointHasCapacityForItsCores guards against limits in proportion to the warm-up fraction: a
// warming endpoint has all its cores, only slower ones. With 36 of 60 endpoints new, half of the requests
// were rejected while these reported a utilization of 0.2. The slow-start tokens keep the budget.
func TestWarmingEndpointHasCapacityForItsCores(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: 9, Phase: PhaseReady, Weight: 1, StartedAt: node.now}})
	warming, warm := node.balancer.endpointsByID[9], node.balancer.endpointsByID[1]
	warmUp := node.balancer.warmUpFraction(warming)
	part := node.balancer.effectiveLimit(warming) / node.balancer.effectiveLimit(warm)
	if warmUp > 0.11 || part < 0.25 || part > 0.5 {
		t.Errorf("an endpoint at %.2f of its capacity has %.2f of the limit of a warm one", warmUp, part)
	}
}

// TestExtremeWeightsAreBounded guards against a list in which one weight of 1e300 takes the capacity of all
// other endpoints, and against a negative peer index.
func TestExtremeWeightsAreBounded(t *testing.T) {
	for _, weight := range []float64{1e300, 1.7e308, -5, 0} {
		list := testEndpoints(4)
		list[0].Weight, list[1].Weight = weight, weight
		cfg := testConfig()
		cfg.PeerIndex = -7
		node := startNode(t, cfg, list...)
		for _, endpoint := range node.balancer.endpoints {
			if endpoint.limit < initialLimit/4 || endpoint.limit > initialLimit*4 {
				t.Errorf("weight %g: endpoint %d may hold %g", weight, endpoint.ID, endpoint.limit)
			}
		}
	}
}

// TestLateAnswersKeepMinimumLimit guards against limits below one request per endpoint, drawn down by work
// that happens to take long: with half of the endpoints draining or warming up, a fifth of all requests was
// rejected while no endpoint had a backlog.
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
			t.Errorf("limits of all nodes together: %g, want %g", endpoint.limit, minLimit)
		}
	}
}

// TestCanceledAttemptCountsAsLate guards against limits that learn from answers alone: if requests end at
// their objective, they never fall.
func TestCanceledAttemptCountsAsLate(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 199 * ms})
	if endpoint.limit >= before {
		t.Errorf("limit %g after an attempt canceled at the objective, was %g", endpoint.limit, before)
	}
}

// TestEarlyCancellationDoesNotLowerLimit guards against attempts that count as late although they were
// canceled early: requests dispatched shortly before their objective drew the limits of idle endpoints to
// nothing.
func TestEarlyCancellationDoesNotLowerLimit(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.classes[0].latency.mean = 10 * ms
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 30 * ms})
	if endpoint.limit != before {
		t.Errorf("limit %g after an attempt canceled early, was %g", endpoint.limit, before)
	}
}

// TestLimitRisesOnlyWhenUsed guards against a warming endpoint's limit that rises because a small part of
// it looks like much.
func TestLimitRisesOnlyWhenUsed(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	endpoint.StartedAt = node.now
	before := endpoint.limit
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: ms})
	if endpoint.limit != before {
		t.Errorf("limit went from %g to %g with nothing in flight", before, endpoint.limit)
	}
}

// TestCapacityFollowsLimits has limits that change within a control period: the capacity changes with them,
// as with long objectives the next period is far away.
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
		t.Errorf("capacity %.2f, was %.2f, limits sum up to %.2f", node.balancer.capacity, before, sum)
	}
}
