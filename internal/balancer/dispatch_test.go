package balancer

import "testing"

// TestDispatchFollowsPriorityPerLatency guards against classes that are served equally, whatever the value of their
// requests: with two thirds of the fleet left, a fifth of the work yields half of the value. Classes of little value
// must still be served.
func TestDispatchFollowsPriorityPerLatency(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1] = cfg.Classes[0]
	cfg.Classes[1].PriorityWeight = 5
	node := startNode(t, cfg, testEndpoints(2)...)
	served := [2]int{}
	for id := RequestID(1); id <= 4000; id += 2 { // more requests than two endpoints can serve
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
		t.Errorf("%d requests of weight 1 and %d of weight 5 were served; want at least 50, and 3 times as many", served[0], served[1])
	}
}

// TestCanceledQueuedRequestIsNeverSent guards against an attempt for a client that disconnected while its request was
// queued, when capacity becomes free later.
func TestCanceledQueuedRequestIsNeverSent(t *testing.T) {
	node := startNode(t, testConfig())
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 0 || !node.balancer.anyQueued() {
		t.Fatal("the request is not queued")
	}
	node.balancer.HandleCancellation(node.now, 1)
	node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	node.advance(400 * ms)
	if len(node.attempts[1]) != 0 {
		t.Errorf("the canceled request was sent %d times", len(node.attempts[1]))
	}
}
