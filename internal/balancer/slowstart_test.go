package balancer

import (
	"math"
	"slices"
	"testing"
)

// sendAndCount sends a request each millisecond for 2000 ms, which is one overload window, and has each
// answered after a millisecond. It returns the number of attempts at each endpoint.
func sendAndCount(node *fakeNode, firstID RequestID) map[EndpointID]int {
	sent := map[EndpointID]int{}
	for id := firstID; id < firstID+2000; id++ {
		node.request(id, 0, 0)
		for i := 0; i < len(node.attempts[id]); i++ {
			if id < firstID+2000 {
				sent[node.attempts[id][i]]++
			}
		}
		node.advance(ms)
		if len(node.attempts[id]) > 0 && node.finalAnswers[id] == "" {
			node.complete(id, 0, OutcomeOK)
		}
	}
	return sent
}

// TestWarmingEndpointStaysWithinOverloadBudget guards against a warming endpoint, new or restarted, that is
// sent more than the multiple of its capacity at which it becomes overloaded.
func TestWarmingEndpointStaysWithinOverloadBudget(t *testing.T) {
	for _, change := range []string{"restarted", "new"} {
		list := testEndpoints(4)
		node := startNode(t, testConfig(), list...)
		warm := sendAndCount(node, 1)
		warming := list[:1]
		if change == "new" {
			warming = []Endpoint{{ID: 99, Phase: PhaseReady}}
		}
		warming[0].StartedAt = node.now
		node.balancer.HandleEndpoints(node.now, ListDelta, warming)
		got := sendAndCount(node, 10001)[warming[0].ID]
		for from := RequestID(20001); got == 0 && from < 50000; from += 10000 { // it is rarely selected at first
			got = sendAndCount(node, from)[warming[0].ID]
		}
		// In a window of 2 s the budget is the multiple of the capacity that it has at the end of the window.
		most := 3 * (0.1 + 0.9*2/20) * float64(warm[2])
		if got == 0 || float64(got) > most {
			t.Errorf("%s: warming endpoint got %d requests, a warm one %d before; want 1 to %.0f",
				change, got, warm[2], most)
		}
	}
}

// TestWarmingFleetGetsFewRequests guards against an overload of a fleet in which all endpoints are warming
// up, so that no answer rate of a warm endpoint is known.
func TestWarmingFleetGetsFewRequests(t *testing.T) {
	list := testEndpoints(4)
	for i := range list {
		list[i].StartedAt = 1e9
	}
	node := startNode(t, testConfig(), list...)
	for endpoint, n := range sendAndCount(node, 1) {
		if n > 20 { // without an answer rate, only a few in two seconds are allowed
			t.Errorf("endpoint %d got %d requests, want at most 20", endpoint, n)
		}
	}
	if len(node.attempts) == 0 {
		t.Error("no request was sent")
	}
}

// TestWarmingEndpointOfManyNodesStaysWithinBudget guards against hundreds of nodes that each have a token for
// a warming endpoint and spend it at the same time.
func TestWarmingEndpointOfManyNodesStaysWithinBudget(t *testing.T) {
	const n = 100
	list := testEndpoints(4)
	nodes := startFleet(t, n, testConfig(), list)
	_, warm := saturate(nodes, 1, 4000*ms)
	warming := []Endpoint{{ID: 99, Phase: PhaseReady, StartedAt: nodes[0].now}}
	for _, node := range nodes {
		node.balancer.HandleEndpoints(node.now, ListDelta, warming)
	}
	_, sent := saturate(nodes, 1000000, 2000*ms)
	perWindow := float64(warm[1]+warm[2]+warm[3]+warm[4]) / 4 / 2
	most := 3 * (0.1 + 0.9*2/20) * perWindow
	_, later := saturate(nodes, 2000000, 6000*ms)
	if got := float64(sent[99]); got > most || later[99] == 0 {
		t.Errorf("warming endpoint got %.0f requests in its first window, want at most %.0f; %d later, want some",
			got, most, later[99])
	}
}

// warmingEndpoint is the ID of the endpoint that is warming up, among others that are warm.
const warmingEndpoint EndpointID = 99

const second = 1000 * ms

// surgeTest has many nodes send to one warming endpoint all attempts that their slow-start tokens allow.
type surgeTest struct {
	config   Config
	small    bool    // the warming endpoint is small and the others are large
	capacity float64 // of a warm endpoint that is fully used, in requests per microsecond
	nodes    []*fakeNode
	sent     []Time // times of the attempts within the last overload window
}

func newSurgeTest(t *testing.T, nodes int, small bool) *surgeTest {
	t.Helper()
	s := &surgeTest{config: testConfig(), small: small, capacity: 30.0 / float64(second)}
	s.config.PeerCount = nodes
	s.config.SlowStartInitial, s.config.SlowStartDuration = 0.2, 1000*second
	s.config.OverloadFactor, s.config.OverloadWindow = 3, 3*second
	for i := range nodes {
		s.nodes = append(s.nodes, s.startNode(t, i, 0))
	}
	return s
}

// startNode starts a node when the given time has passed since the start of the endpoint.
func (s *surgeTest) startNode(t *testing.T, index int, elapsed Span) *fakeNode {
	t.Helper()
	list := testEndpoints(5)
	warming := Endpoint{ID: warmingEndpoint, StableKey: uint64(warmingEndpoint), Phase: PhaseReady}
	if s.small {
		warming.Weight = 1
		for i := range list {
			list[i].Weight = 4
		}
	}
	s.config.PeerIndex = index
	node := startNodeWithSeed(t, uint64(index)+uint64(elapsed), s.config, list...)
	warming.StartedAt = node.now
	node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{warming})
	node.balancer.answerRate = s.capacity / node.balancer.nodesPerEndpoint
	node.balancer.now += elapsed
	node.balancer.endpointsByID[warmingEndpoint].slowStart.updatedAt = node.balancer.now
	return node
}

// budget returns the number of attempts that the warming endpoint can take within an overload window.
func (s *surgeTest) budget() float64 {
	budget := 0.2 * 3 * 3 * float64(second) * s.capacity
	if s.small {
		budget /= 3.5 // the mean weight is (5 x 4 + 1) / 6
	}
	return budget
}

// restartDue reports whether a node restarts at this time. From 20 s on, the nodes restart one after the
// other for 10 s, and at 40 s all restart at once.
func (s *surgeTest) restartDue(index int, elapsed Span) bool {
	own := (20*second + 10*second*Span(index)/Span(len(s.nodes))) / (10 * ms)
	return elapsed == own*10*ms || elapsed == 40*second
}

// spendTokens has a node send all attempts that its tokens allow, except during the quiet times.
func (s *surgeTest) spendTokens(node *fakeNode, elapsed Span) {
	node.balancer.now = max(node.balancer.now, 1e9+elapsed)
	endpoint := node.balancer.endpointsByID[warmingEndpoint]
	if !slices.Contains(node.balancer.subset, endpoint) {
		return
	}
	if elapsed%(14*second) < 8*second { // quiet: tokens are checked and refilled, not spent
		node.balancer.hasSlowStartToken(endpoint)
		return
	}
	for node.balancer.hasSlowStartToken(endpoint) {
		endpoint.slowStart.count--
		s.sent = append(s.sent, elapsed)
	}
}

// maxInWindow simulates 45 s and returns the largest number of attempts that were sent within an overload
// window.
func (s *surgeTest) maxInWindow(t *testing.T) (highest int) {
	t.Helper()
	for elapsed := Span(0); elapsed < 45*second; elapsed += 10 * ms {
		for i := range s.nodes {
			if s.restartDue(i, elapsed) {
				s.nodes[i] = s.startNode(t, i, elapsed)
			}
			s.spendTokens(s.nodes[i], elapsed)
		}
		for len(s.sent) > 0 && s.sent[0] <= elapsed-s.config.OverloadWindow {
			s.sent = s.sent[1:]
		}
		highest = max(highest, len(s.sent))
	}
	return highest
}

// TestSlowStartTokensOfAllNodesKeepTheBudget guards against nodes that each save up a token: after a quiet
// time, a surge at all nodes found as many tokens as there were nodes, and sent 350 attempts at once although
// the budget of a window was 18. The test also covers small endpoints among large ones, and nodes that
// restart, during the surge too. For a budget of N, it tolerates a random excess of 2 x root of N + 2.
func TestSlowStartTokensOfAllNodesKeepTheBudget(t *testing.T) {
	for _, nodes := range []int{1, 3, 20, 30, 350} {
		for _, small := range []bool{false, true} {
			surge := newSurgeTest(t, nodes, small)
			budget := surge.budget()
			limit := budget + 2*math.Sqrt(budget) + 2
			most := float64(surge.maxInWindow(t))
			if most > limit || most < budget/4 {
				t.Errorf("%d nodes, small %v: %.0f attempts in a window, want at most %.0f for a budget of %.0f",
					nodes, small, most, limit, budget)
			}
		}
	}
}

// TestFirstSlowStartTokensComeOneByOne guards against hundreds of nodes that each have a whole token for a
// new endpoint and spend it at the same time.
func TestFirstSlowStartTokensComeOneByOne(t *testing.T) {
	const n = 300
	countReady := func(nodes []*fakeNode) (count int) {
		for _, node := range nodes {
			if endpoint := node.balancer.endpointsByID[99]; node.balancer.hasSlowStartToken(endpoint) {
				count++
			}
		}
		return count
	}
	nodes := startFleet(t, n, testConfig(), testEndpoints(5))
	for _, node := range nodes {
		node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: 99, Phase: PhaseReady, StartedAt: node.now}})
	}
	if count := countReady(nodes); count > 0 {
		t.Errorf("%d of %d nodes may send to a new endpoint at once, want none", count, n)
	}
	for _, node := range nodes {
		node.balancer.now += node.balancer.config.OverloadWindow
	}
	if count := countReady(nodes); count > n/20 {
		t.Errorf("%d of %d nodes may send to a new endpoint after one window, want at most a twentieth",
			count, n)
	}
}

// TestSlowStartTokensExpire guards against tokens that accumulate while they are not used.
func TestSlowStartTokensExpire(t *testing.T) {
	tokens := slowStartTokens{count: 0.5, updatedAt: 1000 * ms}
	const rate = 1.0 / float64(100*ms)
	tokens.refill(1100*ms, rate, float64(100*ms))
	if math.Abs(tokens.count-1.5) > 1e-9 || tokens.updatedAt != 1100*ms {
		t.Errorf("%+v after 100 ms at 10 per second, want 1.5 tokens", tokens)
	}
	tokens.refill(5000*ms, rate, float64(100*ms))
	if tokens.count < 1 || tokens.count > 2 {
		t.Errorf("%g tokens after 4 s without use, want 1 to 2: one of the last 100 ms and a part of the next",
			tokens.count)
	}
}
