package balancer

import (
	"math"
	"testing"
)

// TestSubsetsAreSmallStableAndCoverAllEndpoints guards against nodes that all hold a connection to every
// endpoint: the endpoints would reach the maximum number of connections that they accept.
func TestSubsetsAreSmallStableAndCoverAllEndpoints(t *testing.T) {
	list := testEndpoints(40)
	nodes := startFleet(t, 200, testConfig(), list)
	users := map[EndpointID]int{}
	for _, node := range nodes {
		if len(node.balancer.subset) > 10 {
			t.Fatalf("%d endpoints in a subset, want at most 10", len(node.balancer.subset))
		}
		before := append([]*endpointState(nil), node.balancer.subset...)
		node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: 77, Phase: PhaseReady}})
		lost := 0
		for _, endpoint := range before {
			users[endpoint.ID]++
			found := false
			for _, used := range node.balancer.subset {
				found = found || used == endpoint
			}
			if !found {
				lost++
			}
		}
		if lost > 1 {
			t.Errorf("one new endpoint replaced %d endpoints of a subset, want at most 1", lost)
		}
	}
	for _, endpoint := range list {
		if n := users[endpoint.ID]; n == 0 || n > 60 {
			t.Errorf("endpoint %d is used by %d of 200 nodes, want 1 to 60", endpoint.ID, n)
		}
	}
	if node := startFleet(t, 4, testConfig(), list)[0]; len(node.balancer.subset) != 40 {
		t.Errorf("each of four nodes uses %d of 40 endpoints, want all", len(node.balancer.subset))
	}
}

// TestSubsetsAreEven guards against subsets that are drawn at random: with 80 nodes, an endpoint was used by
// 2 to 17 of them, and some endpoints rejected requests while others were at a third of their capacity. It
// also guards against an order of the endpoints that depends on their IDs, which differ between the nodes.
func TestSubsetsAreEven(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints int }{{80, 60}, {80, 41}, {200, 40}, {17, 60}, {300, 100}} {
		users, total := map[uint64]int{}, 0
		for i := range c.nodes {
			cfg := testConfig()
			cfg.PeerCount, cfg.PeerIndex = c.nodes, i
			list := testEndpoints(c.endpoints)
			for k := range list {
				list[k].StableKey = uint64(k + 1)
				list[k].ID = EndpointID(1 + (k+i)%c.endpoints)
			}
			for _, endpoint := range startNodeWithSeed(t, uint64(i), cfg, list...).balancer.subset {
				users[endpoint.StableKey]++
				total++
			}
		}
		mean := float64(total) / float64(c.endpoints)
		for k := range c.endpoints {
			if n := float64(users[uint64(k+1)]); math.Abs(n-mean) > max(2, mean/4) {
				t.Errorf("%d nodes, %d endpoints: endpoint %d is used by %g nodes, where the mean is %.1f",
					c.nodes, c.endpoints, k, n, mean)
			}
		}
	}
}
