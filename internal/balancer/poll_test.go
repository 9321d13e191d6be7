package balancer

import "testing"

// TestDiscoveryIsCalledUntilItAnswers guards against a node without a watch that stops calling discovery, after a call
// without an answer or a failed call, and against calls while a watch is open.
func TestDiscoveryIsCalledUntilItAnswers(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	node := startNode(t, cfg, testEndpoints(2)...)
	if node.watchCalls != 1 {
		t.Fatalf("discovery was called %d times at the start, want once", node.watchCalls)
	}
	node.advance(cfg.PollInterval / 2)
	if node.watchCalls < 2 {
		t.Error("a call without an answer was not retried")
	}
	before := node.watchCalls
	for range 5 {
		node.balancer.HandleEndpoints(node.now, ListFailed, nil)
		node.advance(cfg.PollInterval / 2)
	}
	if calls := node.watchCalls - before; calls < 5 || calls > 15 {
		t.Errorf("%d calls after 5 failed calls, want 5 to 15", calls)
	}
	node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	before = node.watchCalls
	node.advance(10 * cfg.PollInterval)
	if node.watchCalls != before {
		t.Error("discovery was called while a watch was open")
	}
	node.balancer.HandleEndpoints(node.now, ListFailed, nil) // the connection of the watch was broken
	node.advance(cfg.PollInterval / 4)
	if node.watchCalls == before {
		t.Error("a broken watch was not reopened")
	}
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("the old list is no longer used after a failed call")
	}
}

// TestTimedOutWatchIsReopenedAtOnce guards against a late call after a watch has timed out. One of 279 nodes called
// again after up to 17 s, as the nodes spread their calls over the time that discovery needs to answer all of them.
// Meanwhile draining endpoints received requests.
func TestTimedOutWatchIsReopenedAtOnce(t *testing.T) {
	for _, peers := range []int{3, 300, 1024} {
		cfg := testConfig()
		cfg.PollDiscovery, cfg.PeerCount = true, peers
		for seed := range uint64(20) {
			node := startNodeWithSeed(t, seed, cfg, testEndpoints(2)...)
			node.advance(cfg.PollInterval)
			node.balancer.HandleEndpoints(node.now, ListDelta, nil)
			before := node.watchCalls
			node.balancer.HandleEndpoints(node.now, ListTimeout, nil)
			if node.advance(700 * ms); node.watchCalls != before+1 {
				t.Fatalf("%d nodes: %d calls within 0.7 s of a timeout", peers, node.watchCalls-before)
			}
			for range 20 { // discovery stays unreachable: each call times out after 3.2 s
				before = node.watchCalls
				node.balancer.HandleEndpoints(node.now, ListTimeout, nil)
				if node.advance(700 * ms); node.watchCalls != before+1 {
					t.Fatalf("%d nodes: %d calls within 0.7 s of another timeout", peers, node.watchCalls-before)
				}
				node.advance(3200 * ms)
			}
		}
	}
}

// TestNextCallComesWithinNotificationDeadline guards against an unbounded backoff. It doubled up to 32 times the time
// that 300 nodes need to call in turn, which is ten minutes, and endpoints that began to drain after discovery had
// recovered received requests during this time. A node counts as notified of a change 6 s after it can fetch the
// change.
func TestNextCallComesWithinNotificationDeadline(t *testing.T) {
	for _, test := range []struct {
		kind     ListKind
		peers    int
		maxDelay Span // after the failure; a timed-out call and the answer to the next one must fit into the 6 s, too
	}{{ListFailed, 1, 3100 * ms}, {ListFailed, 6, 3100 * ms}, {ListFailed, 30, 3100 * ms}, {ListFailed, 350, 3100 * ms},
		{ListFailed, 1024, 3100 * ms}, {ListTimeout, 350, 700 * ms}, {ListOverloaded, 6, 3100 * ms}, {ListOverloaded, 20, 3100 * ms}} {
		cfg := testConfig()
		cfg.PollDiscovery, cfg.PeerCount = true, test.peers
		for seed := range uint64(10) {
			node := startNodeWithSeed(t, seed, cfg, testEndpoints(2)...)
			node.advance(cfg.PollInterval)
			for failure := range 12 {
				before := node.watchCalls
				node.balancer.HandleEndpoints(node.now, test.kind, nil)
				if node.advance(test.maxDelay); node.watchCalls == before {
					t.Fatalf("kind %d, %d nodes: no call within %d ms of failure %d", test.kind, test.peers, test.maxDelay/ms, failure+1)
				}
			}
		}
	}
}

// TestPushedListIsNotPolled guards against calls to discovery where endpoint lists are pushed.
func TestPushedListIsNotPolled(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.advance(60000 * ms)
	if node.watchCalls != 0 {
		t.Errorf("discovery was called %d times", node.watchCalls)
	}
}

// discoveryQueue is an overloaded discovery: it answers calls in turn, and a call that waits for longer than the
// timeout fails, but still uses its service time.
type discoveryQueue struct {
	serviceTime, timeout Span
	freeAt               Time
}

// call adds a call to the queue. It returns when the caller has the result, and whether that is an answer.
func (q *discoveryQueue) call(now Time) (answeredAt Time, ok bool) {
	q.freeAt = max(q.freeAt, now) + q.serviceTime
	return min(q.freeAt, now+q.timeout), q.freeAt <= now+q.timeout
}

// TestNodesStartedTogetherAllReceiveTheList guards against calls to discovery that arrive at the same time: 80 nodes
// called within 80 ms, half of the calls timed out, and the next calls followed within 0.3 s. From then on discovery
// worked on calls that had already timed out: 32 of 80 nodes received the list, and none of 56 nodes that were
// restarted together.
func TestNodesStartedTogetherAllReceiveTheList(t *testing.T) {
	for _, test := range []struct {
		nodes, minReceiving int
		maxDelay            Span
	}{{3, 3, 400 * ms}, {80, 80, 8000 * ms}, {200, 190, 30000 * ms}} { // discovery needs 50 ms for each call
		n := test.nodes
		cfg := testConfig()
		cfg.PollDiscovery = true
		all := startFleet(t, n, cfg, testEndpoints(20))
		discovery := &discoveryQueue{serviceTime: 50 * ms, timeout: 2000 * ms, freeAt: all[0].now}
		type answer struct {
			answeredAt Time
			ok         bool
		}
		calls, pending, receivedAt, failed := make([]int, n), make([][]answer, n), map[int]Time{}, 0
		began := all[0].now - ms
		for step := Span(0); step < 30000*ms; step += 10 * ms {
			for i, node := range all {
				for len(pending[i]) > 0 && pending[i][0].answeredAt <= node.now {
					kind := ListDelta
					if !pending[i][0].ok {
						kind = ListOverloaded
						failed++
					} else if receivedAt[i] == 0 {
						receivedAt[i] = node.now
					}
					pending[i] = pending[i][1:]
					node.balancer.HandleEndpoints(node.now, kind, nil)
				}
				for ; calls[i] < node.watchCalls; calls[i]++ {
					answeredAt, ok := discovery.call(node.now)
					pending[i] = append(pending[i], answer{answeredAt, ok})
				}
				node.advance(10 * ms)
			}
		}
		last := Time(0)
		for _, answeredAt := range receivedAt {
			last = max(last, answeredAt-began)
		}
		if len(receivedAt) < test.minReceiving || last > test.maxDelay || failed > n {
			t.Errorf("%d nodes: %d received the list, the last one after %d ms; %d calls failed", n, len(receivedAt), last/ms, failed)
		}
	}
}

// TestMaxBackoff guards against a backoff that is too long for the lease, or too short for an overloaded discovery.
func TestMaxBackoff(t *testing.T) {
	cfg := testConfig()
	cfg.PeerCount, cfg.PollInterval = 1024, 10*second
	leased := cfg
	leased.ListLease = NotificationDeadline
	few := leased
	few.PeerCount = 6
	for _, test := range []struct {
		name string
		cfg  Config
		kind ListKind
		want float64
	}{
		{"failed", cfg, ListFailed, 3 * second},
		{"timed out", cfg, ListTimeout, 0.6 * second},
		{"overloaded", cfg, ListOverloaded, 10 * second * 1023 / 160.0},
		{"overloaded, with a lease", leased, ListOverloaded, 3 * second},
		{"failed, with a lease", leased, ListFailed, 3 * second},
		{"failed, with a lease and few nodes", few, ListFailed, 0.6 * second},
	} {
		node := startNode(t, test.cfg, testEndpoints(2)...)
		node.balancer.HandleEndpointsAsOf(node.now, node.now, ListDelta, nil) // the list is confirmed
		if got := node.balancer.maxBackoff(test.kind); got < test.want-1 || got > test.want+1 {
			t.Errorf("%s: %g us, want %g", test.name, got, test.want)
		}
	}
}
