package balancer

import "testing"

// healthCheckConfig returns a configuration that allows health checks and makes them cheap.
func healthCheckConfig() Config {
	cfg := testConfig()
	cfg.AllowHealthChecks, cfg.HealthCheckCost = true, 0.001
	return cfg
}

// outstandingReport returns a load report that states only how many requests the endpoint holds.
func outstandingReport(requests float64) *LoadReport {
	return &LoadReport{Outstanding: requests, Backlog: -1, Utilization: -1}
}

// TestLeastLoadedCheckedEndpointIsSelected guards against a selection that counts only the node's own
// requests in flight. If a single-core endpoint holds less than one request of each node, such a selection is
// no better than a random one.
func TestLeastLoadedCheckedEndpointIsSelected(t *testing.T) {
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	if len(node.healthChecks) != healthCheckCandidates || len(node.attempts[1]) != 0 {
		t.Fatalf("%d health checks, attempts %v; want %d checks and no attempt yet",
			len(node.healthChecks), node.attempts[1], healthCheckCandidates)
	}
	for i, endpoint := range node.healthChecks {
		node.balancer.HandleHealthCheck(node.now, endpoint, OutcomeOK, ms, outstandingReport(float64(3-i)))
	}
	if len(node.attempts[1]) != 1 || node.attempts[1][0] != node.healthChecks[2] {
		t.Errorf("checked %v, attempts %v; want an attempt at the last one, which holds the fewest requests",
			node.healthChecks, node.attempts[1])
	}
}

// TestSlowHealthCheckIsNotAwaited guards against requests that wait for the answers of all candidates,
// however slow these are.
func TestSlowHealthCheckIsNotAwaited(t *testing.T) {
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	node.balancer.HandleHealthCheck(node.now, node.healthChecks[0], OutcomeOK, ms, outstandingReport(1))
	node.advance(3 * ms)
	if len(node.attempts[1]) != 1 || node.attempts[1][0] != node.healthChecks[0] {
		t.Errorf("checked %v, attempts %v; want an attempt at the first one, which has answered",
			node.healthChecks, node.attempts[1])
	}
}

// TestEndpointFullByItsReportGetsNothing guards against attempts at endpoints that report as many requests as
// their limit allows, and against a burst of health checks while a request waits.
func TestEndpointFullByItsReportGetsNothing(t *testing.T) {
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	for _, endpoint := range node.healthChecks {
		node.balancer.HandleHealthCheck(node.now, endpoint, OutcomeOK, ms, outstandingReport(initialLimit))
	}
	if len(node.attempts[1]) != 0 {
		t.Errorf("attempts %v, want none because all candidates are full", node.attempts[1])
	}
	first := len(node.healthChecks)
	node.advance(100 * ms)
	if len(node.healthChecks) <= first || len(node.healthChecks) > 10*first {
		t.Errorf("%d health checks after 100 ms, want more than the first %d and at most ten times as many",
			len(node.healthChecks), first)
	}
}

// TestNoHealthChecksWhenExpensiveForbiddenOrWithoutLoad guards against health checks that cost too much, that
// are not allowed, or whose answers do not state how many requests the endpoint holds.
func TestNoHealthChecksWhenExpensiveForbiddenOrWithoutLoad(t *testing.T) {
	expensive := healthCheckConfig()
	expensive.HealthCheckCost = 0.01
	forbidden := healthCheckConfig()
	forbidden.AllowHealthChecks = false
	for _, cfg := range []Config{expensive, forbidden} {
		node := startNode(t, cfg, testEndpoints(6)...)
		node.request(1, 0, 0)
		if len(node.healthChecks) != 0 || len(node.attempts[1]) != 1 {
			t.Errorf("%d health checks, attempts %v; want no health check and one attempt",
				len(node.healthChecks), node.attempts[1])
		}
	}
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	withoutLoad := &LoadReport{Outstanding: -1, Backlog: 2, Utilization: 0.5}
	node.balancer.HandleHealthCheck(node.now, node.healthChecks[0], OutcomeOK, ms, withoutLoad)
	node.advance(20 * ms)
	n := len(node.healthChecks)
	node.request(2, 0, 0)
	if len(node.healthChecks) != n || len(node.attempts[1]) != 1 || len(node.attempts[2]) != 1 {
		t.Error("health checks are still sent although their answers state no load, or no attempt was made")
	}
}

// TestUnansweredHealthChecksAreNotAwaited guards against requests that wait for health checks that are never
// answered, and against health checks that stay unused after they are answered again.
func TestUnansweredHealthChecksAreNotAwaited(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.unresponsive = true
	fleet.sendRequests(1, 40, 20*ms)
	fleet.served = 0
	fleet.sendRequests(1001, 50, 20*ms)
	if fleet.served < 48 {
		t.Errorf("%d of 50 requests served while no health check is answered, want at least 48", fleet.served)
	}
	fleet.unresponsive = false
	fleet.sendRequests(2001, 50, 20*ms)
	if !fleet.balancer.usesHealthChecks() {
		t.Error("health checks are not used although they are answered again")
	}
}

// TestHealthChecksWithoutLoadAreNotUsed guards against requests that wait for health checks whose answers do
// not state how many requests an endpoint holds.
func TestHealthChecksWithoutLoadAreNotUsed(t *testing.T) {
	for name, report := range map[string]*LoadReport{"no report": nil, "other fields": {-1, 2, 0.5}} {
		fleet := startSingleCoreFleet(t, singleClassConfig())
		fleet.unresponsive = true
		fleet.request(1, 0, 0)
		fleet.balancer.HandleHealthCheck(fleet.now, fleet.healthChecks[0], OutcomeOK, ms, report)
		fleet.request(2, 0, 0)
		fleet.step()
		if fleet.balancer.usesHealthChecks() || len(fleet.attempts[2]) != 1 {
			t.Errorf("%s: health checks used: %v, attempts %v; want no use and one attempt",
				name, fleet.balancer.usesHealthChecks(), fleet.attempts[2])
		}
	}
}
