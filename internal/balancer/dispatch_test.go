package balancer

import "testing"

// TestDispatchFollowsPriorityPerLatency guards against classes that are served alike, whatever their value:
// with two thirds of the fleet left, a fifth of the work brings half of the value. A class of little value
// is served too.
func TestDispatchFollowsPriorityPerLatency(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1] = cfg.Classes[0]
	cfg.Classes[1].PriorityWeight = 5
	node := startNode(t, cfg, testEndpoints(2)...)
	served := [2]int{}
	for id := RequestID(1); id <= 4000; id += 2 { // far more than two endpoints can serve
		for class := range 2 {
			node.request(id+RequestID(class), class, 0)
		}
		node.advance(5 * ms)
		for old := max(id, 41) - 40; old < id+2; old++ {
			if len(node.attempts[old]) == 1 && node.finalAnswers[old] == "" {
				served[(old-1)%2]++
				node.complete(old, 0, OutcomeOK)
				break
			}
		}
	}
	if served[0] < 50 || served[1] < 3*served[0] {
		t.Errorf("%d served of weight 1, %d of weight 5; want some, and at least 3 times as many", served[0], served[1])
	}
}

// TestCanceledQueuedRequestIsNeverSent has a client that disconnects while its request is queued: nothing
// is sent for it, whatever capacity there is later.
func TestCanceledQueuedRequestIsNeverSent(t *testing.T) {
	node := startNode(t, testConfig())
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 0 || !node.balancer.anyQueued() {
		t.Fatal("not queued")
	}
	node.balancer.HandleCancellation(node.now, 1)
	node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	node.advance(400 * ms)
	if len(node.attempts[1]) != 0 {
		t.Errorf("sent %d times", len(node.attempts[1]))
	}
}
