package balancer

import (
	"math"
	"testing"
)

// TestAffinityKeySelectsSameEndpointsAtEveryNode guards against requests with an affinity key that are sent
// to any endpoint: an endpoint saves a third to two thirds of the work for a key that it has seen lately.
func TestAffinityKeySelectsSameEndpointsAtEveryNode(t *testing.T) {
	cfg := testConfig()
	cfg.KeyAffinity = true
	list := testEndpoints(6)
	first := map[uint64]EndpointID{}
	sent := map[EndpointID]float64{}
	const keys = 3000
	for i := range 2 { // two nodes with different seeds
		node := startNodeWithSeed(t, uint64(i+1), cfg, list...)
		for _, endpoint := range node.balancer.endpoints {
			for j := range endpoint.slots {
				endpoint.slots[j] = float64(1 + endpoint.ID%2) // endpoints with an odd ID have twice the slots
			}
		}
		for key := uint64(1); key <= keys; key++ {
			request := &openRequest{affinityKey: key, deadline: node.now + 900*ms, maxAttempts: 1}
			candidates := node.balancer.selectCandidates(request, false)
			if len(candidates) != 2 || candidates[0] == candidates[1] {
				t.Fatalf("key %d: %d candidates, want two different ones", key, len(candidates))
			}
			if id := candidates[0].ID; i == 0 {
				first[key] = id
				sent[id]++
			} else if first[key] != id {
				t.Fatalf("key %d selects endpoint %d at one node and %d at the other", key, first[key], id)
			}
		}
	}
	for _, endpoint := range list {
		want := keys * float64(1+endpoint.ID%2) / 9
		if n := sent[endpoint.ID]; math.Abs(n-want) > want/5 {
			t.Errorf("endpoint %d is selected by %g keys, want about %.0f for its slots",
				endpoint.ID, n, want)
		}
	}
	cfg.KeyAffinity = false
	node := startNode(t, cfg, list...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, AffinityKey: 7, Deadline: node.now + 900*ms})
	if node.balancer.requests[1].affinityKey != 0 {
		t.Error("the affinity key is used although endpoints do no less work for it")
	}
}
