package balancer

import "testing"

// startFleet starts n nodes with the same endpoints. The nodes count as peers of each other. Tests use it to
// check sums over many nodes, each of which sees only its own part.
func startFleet(t *testing.T, n int, cfg Config, list []Endpoint) []*fakeNode {
	t.Helper()
	cfg.PeerCount = n
	var nodes []*fakeNode
	for i := range n {
		cfg.PeerIndex = i
		nodes = append(nodes, startNodeWithSeed(t, hash64(uint64(i)+1), cfg, list...))
	}
	return nodes
}

// pendingAnswer is an attempt that its endpoint has not answered yet.
type pendingAnswer struct {
	node     *fakeNode
	id       RequestID
	answerAt Time
}

// saturate sends requests to every node for the given duration, so that all of them are saturated, and has
// each attempt answered after steadyLatency. It returns the mean number of attempts in flight over all nodes,
// and the number of attempts to each endpoint.
func saturate(nodes []*fakeNode, firstID RequestID, duration Span) (mean float64, sent map[EndpointID]int) {
	const step = 10 * ms
	sent = map[EndpointID]int{}
	id, steps := firstID, 0
	var inFlight []pendingAnswer
	for elapsed := Span(0); elapsed < duration; elapsed += step {
		steps++
		inFlight = completeDue(inFlight)
		for _, node := range nodes {
			id++
			node.request(id, 0, 0)
			node.advance(step)
			oldest := max(id, firstID+RequestID(len(nodes))*20) - RequestID(len(nodes))*20
			for i := oldest; i <= id; i++ {
				if len(node.attempts[i]) > 0 && node.finalAnswers[i] == "" && !node.attemptSeen[i] {
					node.attemptSeen[i] = true
					sent[node.attempts[i][0]]++
					inFlight = append(inFlight, pendingAnswer{node, i, node.now + steadyLatency - step})
				}
			}
		}
		mean += float64(len(inFlight))
	}
	return mean / float64(steps), sent
}

// completeDue answers the attempts whose time has come and returns the others.
func completeDue(inFlight []pendingAnswer) []pendingAnswer {
	remaining := inFlight[:0]
	for _, pending := range inFlight {
		node := pending.node
		if pending.answerAt > node.now {
			remaining = append(remaining, pending)
			continue
		}
		node.balancer.HandleAttemptResult(node.now, AttemptResult{
			ID:          pending.id,
			Endpoint:    node.attempts[pending.id][0],
			Outcome:     OutcomeOK,
			Latency:     steadyLatency,
			RequestDone: true,
		})
		node.finalAnswers[pending.id] = "served"
	}
	return remaining
}

// steadyLatency is about the latency at which limits neither rise nor fall: a quarter of the way, on a
// logarithmic scale, from the baseline of 50 ms to the objective of 200 ms.
const steadyLatency = 70 * ms

// TestInFlightOfAllNodesStaysNearLimits guards against a minimum of one request per node for each endpoint,
// tenant or entry of the slot matrix: the number of requests in flight in the fleet grew with the number of
// nodes.
func TestInFlightOfAllNodesStaysNearLimits(t *testing.T) {
	for _, n := range []int{1, 20, 100} {
		mean, _ := saturate(startFleet(t, n, testConfig(), testEndpoints(4)), 1, 4000*ms)
		limits := 4.0 * initialLimit
		if n == 1 {
			limits = 7 // one request every 10 ms, each of which takes 70 ms
		}
		if mean > 1.3*limits || mean < limits/3 {
			t.Errorf("%d nodes: mean number of requests in flight %.1f, want about %.0f", n, mean, limits)
		}
	}
}

// TestNodesDecideAtDifferentTimes guards against nodes that start together and then recompute their
// decisions, and call discovery, at the same moments for ever.
func TestNodesDecideAtDifferentTimes(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	controls, calls := map[Time]int{}, map[Time]int{}
	for _, node := range startFleet(t, 50, cfg, testEndpoints(4)) {
		node.advance(2000 * ms)
		for _, timer := range node.timers {
			if timer.id == timerControl {
				controls[timer.expiresAt]++
			}
		}
		calls[node.firstWatchAt]++
	}
	if len(controls) < 40 || len(calls) < 20 {
		t.Errorf("50 nodes decide at %d different times, want 40, and first call discovery at %d, want 20",
			len(controls), len(calls))
	}
}
