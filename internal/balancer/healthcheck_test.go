package balancer

import "testing"

// healthCheckConfig allows health checks, and makes them cheap.
func healthCheckConfig() Config {
	cfg := testConfig()
	cfg.AllowHealthChecks, cfg.HealthCheckCost = true, 0.001
	return cfg
}

// outstandingReport is the report of an endpoint that tells only how many requests it holds.
func outstandingReport(requests float64) *LoadReport {
	return &LoadReport{Outstanding: requests, Backlog: -1, Utilization: -1}
}

// TestLeastLoadedCheckedEndpointIsSelected guards against a choice by the node's own requests in flight
// alone: of single-core endpoints that hold less than one of them, it chose no better than chance.
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
		t.Errorf("checked %v, attempts %v; want the last, it holds least", node.healthChecks, node.attempts[1])
	}
}

func TestSlowHealthCheckIsNotAwaited(t *testing.T) {
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	node.balancer.HandleHealthCheck(node.now, node.healthChecks[0], OutcomeOK, ms, outstandingReport(1))
	node.advance(3 * ms)
	if len(node.attempts[1]) != 1 || node.attempts[1][0] != node.healthChecks[0] {
		t.Errorf("checked %v, attempts %v; want the one that answered", node.healthChecks, node.attempts[1])
	}
}

func TestEndpointFullByItsReportGetsNothing(t *testing.T) {
	node := startNode(t, healthCheckConfig(), testEndpoints(6)...)
	node.request(1, 0, 0)
	for _, endpoint := range node.healthChecks {
		node.balancer.HandleHealthCheck(node.now, endpoint, OutcomeOK, ms, outstandingReport(initialLimit))
	}
	if len(node.attempts[1]) != 0 {
		t.Errorf("sent %v though all were full", node.attempts[1])
	}
	first := len(node.healthChecks)
	node.advance(100 * ms)
	if len(node.healthChecks) <= first || len(node.healthChecks) > 10*first {
		t.Errorf("%d health checks after %d", len(node.healthChecks), first)
	}
}

func TestNoHealthChecksWhenExpensiveForbiddenOrWithoutLoad(t *testing.T) {
	expensive := healthCheckConfig()
	expensive.HealthCheckCost = 0.01
	forbidden := healthCheckConfig()
	forbidden.AllowHealthChecks = false
	for _, cfg := range []Config{expensive, forbidden} {
		node := startNode(t, cfg, testEndpoints(6)...)
		node.request(1, 0, 0)
		if len(node.healthChecks) != 0 || len(node.attempts[1]) != 1 {
			t.Errorf("%d health checks, attempts %v", len(node.healthChecks), node.attempts[1])
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
		t.Error("still checked although answers have no load, or not sent")
	}
}

// TestUnansweredHealthChecksAreNotAwaited has health checks that nobody answers: no request waits for long,
// and checks are used again once they are answered.
func TestUnansweredHealthChecksAreNotAwaited(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.unresponsive = true
	fleet.sendRequests(1, 40, 20*ms)
	fleet.served = 0
	fleet.sendRequests(1001, 50, 20*ms)
	if fleet.served < 48 {
		t.Errorf("%d of 50 served without an answer to any health check", fleet.served)
	}
	fleet.unresponsive = false
	fleet.sendRequests(2001, 50, 20*ms)
	if !fleet.balancer.usesHealthChecks() {
		t.Error("health checks are answered, and not used")
	}
}

// TestHealthChecksWithoutLoadAreNotUsed has health checks whose answers do not say how many requests an
// endpoint holds: no request waits for another check.
func TestHealthChecksWithoutLoadAreNotUsed(t *testing.T) {
	for name, report := range map[string]*LoadReport{"no report": nil, "other fields": {-1, 2, 0.5}} {
		fleet := startSingleCoreFleet(t, singleClassConfig())
		fleet.unresponsive = true
		fleet.request(1, 0, 0)
		fleet.balancer.HandleHealthCheck(fleet.now, fleet.healthChecks[0], OutcomeOK, ms, report)
		fleet.request(2, 0, 0)
		fleet.step()
		if fleet.balancer.usesHealthChecks() || len(fleet.attempts[2]) != 1 {
			t.Errorf("%s: uses health checks %v, attempts %v", name, fleet.balancer.usesHealthChecks(), fleet.attempts[2])
		}
	}
}
