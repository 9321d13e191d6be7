package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/failover"
)

const (
	testZones    = 3
	testNodes    = 6 // two nodes in each zone
	testClasses  = 2
	fullCapacity = 100.0
	planTimeout  = 40 * time.Second
)

// fakeNodes report demand and capacity to the agents as nodes do, and read the plans that the agents publish. Each node
// sends its report to an agent of its own, or to the next one that accepts the report.
type fakeNodes struct {
	agents   []string
	client   *http.Client
	running  sync.WaitGroup
	planSeen chan struct{}

	mu           sync.Mutex
	capacity     []float64                 // of each zone, as all nodes report it
	latestPlans  map[string]*failover.Plan // the latest plan that each agent has published, by the agent's address
	disagreement []string                  // errors: plans that are invalid or older than the one before
}

func startFakeNodes(ctx context.Context, agents []string) *fakeNodes {
	n := &fakeNodes{
		agents:      agents,
		client:      &http.Client{Timeout: 300 * time.Millisecond},
		planSeen:    make(chan struct{}, 1),
		capacity:    []float64{fullCapacity, fullCapacity, fullCapacity},
		latestPlans: map[string]*failover.Plan{},
	}
	for node := range testNodes {
		sequence := uint64(0)
		n.repeat(ctx, func() {
			sequence++
			n.sendDigest(node, sequence)
		})
	}
	for _, address := range agents {
		n.repeat(ctx, func() { n.readPlan(address) })
	}
	return n
}

// repeat calls a function repeatedly, with pauses, until ctx ends.
func (n *fakeNodes) repeat(ctx context.Context, call func()) {
	n.running.Go(func() {
		for ctx.Err() == nil {
			call()
			_ = sleep(ctx, 50*time.Millisecond, 100*time.Millisecond) // the loop ends with ctx
		}
	})
}

func (n *fakeNodes) setCapacity(zone int, capacity float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.capacity[zone] = capacity
}

func (n *fakeNodes) sendDigest(node int, sequence uint64) {
	n.mu.Lock()
	digest, _ := json.Marshal(failover.Digest{ // numbers and strings are always valid
		Node:        fmt.Sprint("n", node),
		Incarnation: 1,
		Sequence:    sequence,
		Zone:        node % testZones,
		Demand:      []float64{10, 15},
		Capacity:    n.capacity,
	})
	n.mu.Unlock()
	for attempt := range n.agents {
		address := n.agents[(node+attempt)%len(n.agents)]
		response, err := n.client.Post("http://"+address+"/digest", "application/json", bytes.NewReader(digest))
		if err != nil {
			continue
		}
		if _ = response.Body.Close(); response.StatusCode == http.StatusNoContent {
			return
		}
	}
}

func (n *fakeNodes) readPlan(address string) {
	response, err := n.client.Get("http://" + address + "/plan")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var plan failover.Plan
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&plan) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// Revisions also increase when the failover leader changes: each leader continues the plan of its predecessor.
	if previous := n.latestPlans[address]; previous != nil && (previous.IsNewerThan(&plan) || plan.Revision < previous.Revision) {
		n.disagreement = append(n.disagreement,
			fmt.Sprintf("%s: plan %d/%d after %d/%d", address, plan.Token, plan.Revision, previous.Token, previous.Revision))
	}
	if err := plan.Check(testZones, testClasses); err != nil {
		n.disagreement = append(n.disagreement, err.Error())
	}
	n.latestPlans[address] = &plan
	select {
	case n.planSeen <- struct{}{}:
	default:
	}
}

// plansSatisfy reports whether the latest plan of each of these agents satisfies a condition.
func (n *fakeNodes) plansSatisfy(agents []string, condition func(*failover.Plan) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range agents {
		if plan := n.latestPlans[address]; plan == nil || !condition(plan) {
			return false
		}
	}
	return true
}

// awaitPlan waits until each of these agents publishes a plan that satisfies a condition.
func (n *fakeNodes) awaitPlan(t *testing.T, situation string, agents []string, condition func(*failover.Plan) bool) {
	t.Helper()
	timeout := time.After(planTimeout)
	for !n.plansSatisfy(agents, condition) {
		select {
		case <-n.planSeen:
		case <-timeout:
			n.mu.Lock()
			defer n.mu.Unlock()
			t.Fatalf("%s: the agents have not published the expected plan: %+v", situation, n.latestPlans)
		}
	}
}

// newestToken returns the highest token among the latest plans of all agents.
func (n *fakeNodes) newestToken() (newest uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, plan := range n.latestPlans {
		newest = max(newest, uint64(plan.Token))
	}
	return newest
}

// localTraffic returns the share of the first zone's traffic that stays in the zone, summed over the two classes.
func localTraffic(plan *failover.Plan) float64 {
	return plan.Rows[0][0].Shares[0] + plan.Rows[0][1].Shares[0]
}

// awaitFailoverLeader waits, from a position in the log on, for an agent to become failover leader. It returns the
// index of that agent and the position after the event.
func (h *Harness) awaitFailoverLeader(t *testing.T, position int) (leader, next int) {
	t.Helper()
	event, next := h.awaitEvent(t, position, func(event Event) bool {
		return event.Kind == EventFailoverLeader && event.Text == "is_leader=true"
	})
	return h.Index(event.Process), next
}

// allBut returns the addresses without the one at the given index.
func allBut(addresses []string, index int) []string {
	var others []string
	for i, address := range addresses {
		if i != index {
			others = append(others, address)
		}
	}
	return others
}

func testTopology() failover.Topology {
	return failover.Topology{
		Zones: []failover.Zone{{Name: "a", Region: "x"}, {Name: "b", Region: "x"}, {Name: "c", Region: "y"}},
		Cost:  [][]float64{{0, 1, 5}, {1, 0, 5}, {5, 5, 0}},
	}
}

// A new failover leader must continue the plan of its predecessor under a later token, and no agent may publish an
// older plan after that. The test takes away the capacity of a zone and waits until the plans of all agents move its
// traffic to other zones. It then kills the failover leader, and stops and later continues the next one.
func TestNextFailoverLeaderContinuesPlan(t *testing.T) {
	harness := startHarness(t, Options{Agents: 3, Failover: &agent.FailoverOptions{
		Topology:        testTopology(),
		PriorityWeights: []float64{3, 1},
		Rules:           failover.DefaultRules,
	}})
	addresses := harness.agentAddresses()
	ctx, cancel := context.WithCancel(t.Context())
	nodes := startFakeNodes(ctx, addresses)
	defer nodes.running.Wait()
	defer cancel()
	nodes.awaitPlan(t, "with all zones", addresses, func(plan *failover.Plan) bool { return localTraffic(plan) == 2 })
	nodes.setCapacity(0, 0)
	nodes.awaitPlan(t, "after the loss of a zone", addresses, func(plan *failover.Plan) bool {
		return localTraffic(plan) < 0.02 && plan.Rows[0][0].Shares[1] > 0.9
	})
	first, position := harness.awaitFailoverLeader(t, 0)
	second, position := killFailoverLeader(t, harness, nodes, first, position)
	stopFailoverLeader(t, harness, nodes, second, position)
	nodes.setCapacity(0, fullCapacity)
	nodes.awaitPlan(t, "after the zone's return", addresses, func(plan *failover.Plan) bool { return localTraffic(plan) > 2-1e-6 })
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	for _, text := range nodes.disagreement {
		t.Error(text)
	}
}

// killFailoverLeader kills the failover leader, checks that the next one continues its plan, and starts the killed
// agent again. It returns the index of the next leader and the position in the log after its election.
func killFailoverLeader(t *testing.T, harness *Harness, nodes *fakeNodes, leader, position int) (nextLeader, elected int) {
	t.Helper()
	previousToken := nodes.newestToken()
	hasLaterToken := func(plan *failover.Plan) bool { return uint64(plan.Token) > previousToken }
	harness.kill(leader)
	nextLeader, elected = harness.awaitFailoverLeader(t, position)
	others := allBut(nodes.agents, leader)
	nodes.awaitPlan(t, "after the failover leader's death", others, hasLaterToken)
	nodes.mu.Lock()
	for _, address := range others {
		if local := localTraffic(nodes.latestPlans[address]); local > 0.05 {
			t.Errorf("the next failover leader has discarded the plan: %.2f of the traffic stays in the lost zone", local)
		}
	}
	nodes.mu.Unlock()
	if err := harness.start(leader); err != nil {
		t.Fatal(err)
	}
	nodes.awaitPlan(t, "after the killed agent's return", nodes.agents, hasLaterToken)
	return nextLeader, elected
}

// stopFailoverLeader stops the failover leader and checks that the next one continues its plan. It then continues the
// stopped agent and checks that the plan of the next leader stays in force.
func stopFailoverLeader(t *testing.T, harness *Harness, nodes *fakeNodes, leader, position int) {
	t.Helper()
	previousToken := nodes.newestToken()
	harness.signalProcess(leader, syscall.SIGSTOP)
	harness.awaitFailoverLeader(t, position)
	nodes.awaitPlan(t, "while the failover leader is stopped", allBut(nodes.agents, leader), func(plan *failover.Plan) bool {
		return uint64(plan.Token) > previousToken
	})
	harness.signalProcess(leader, syscall.SIGCONT)
	newToken := nodes.newestToken()
	nodes.awaitPlan(t, "after the stopped agent continues", nodes.agents, func(plan *failover.Plan) bool {
		return uint64(plan.Token) >= newToken && localTraffic(plan) < 0.05
	})
}
