package balancer

import "testing"

// TestQueuedRequestsMeanOverload guards against a mode that stays underload while most requests are rejected, because
// the endpoints report a low utilization.
func TestQueuedRequestsMeanOverload(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	for _, endpoint := range node.balancer.endpoints {
		node.balancer.recordReport(endpoint, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.3})
	}
	for id := RequestID(1); id <= 40; id++ {
		node.request(id, 2, 0)
	}
	node.balancer.runControl()
	if !node.balancer.overloadDetected() {
		t.Error("requests are queued, but no overload was detected")
	}
	node = startNode(t, testConfig(), testEndpoints(2)...)
	for _, endpoint := range node.balancer.endpoints {
		node.balancer.recordReport(endpoint, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.97})
	}
	if !node.balancer.overloadDetected() {
		t.Error("a high utilization was reported, but no overload was detected")
	}
	node.now += 10 * node.balancer.controlPeriod
	node.balancer.now = node.now
	if node.balancer.overloadDetected() {
		t.Error("an overload was detected from reports that have not changed for a long time")
	}
}
