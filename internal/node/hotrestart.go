package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// HotRestartState is what one process of a node gives the next: together they are one node to hosts and clients.
type HotRestartState struct {
	EndpointList protocol.List    `json:"List"`
	Classes      []string         `json:"Classes"` // those that Learned speaks of, in its order
	Tenants      []string         `json:"Tenants"`
	Learned      balancer.Learned `json:"Learned"`
	RequestIDs   map[string]int64 `json:"IDs"` // of requests that may be running, and until when, on the clock that both have
}

// maxHandedOverIDs bounds the ids that are handed over.
const maxHandedOverIDs = 1 << 12

// ExportState hands on what this node has, and with it half of what is left of cold hosts' budgets.
func (n *Node) ExportState(deliver func(HotRestartState)) {
	n.post(func() { // behind the list that a process starts with
		state := HotRestartState{EndpointList: protocol.List{Rev: n.listRevision, All: true}, Classes: n.settings.Classes, Tenants: n.settings.Tenants, RequestIDs: map[string]int64{}}
		for uid, ep := range n.endpointsByUID {
			if ep.removedAt == 0 {
				state.EndpointList.Targets = append(state.EndpointList.Targets, ep.target(uid))
			}
		}
		for _, req := range n.requests {
			if expiresAt := min(req.deadline, n.now()+req.settings.Balancer.Classes[req.class].Deadline); len(state.RequestIDs) < maxHandedOverIDs && req.message != nil {
				state.RequestIDs[string(req.message.Get("x-trace-id"))] = expiresAt
			}
		}
		state.Learned = n.balancer.ExportState(n.now())
		deliver(state)
	})
}

// ImportState takes up what an older process of this node has learned, of the hosts that it has been told of.
func (n *Node) ImportState(state HotRestartState) {
	n.post(func() {
		if !slices.Equal(state.Classes, n.settings.Classes) || !slices.Equal(state.Tenants, n.settings.Tenants) { // the settings are others by now
			state.Learned.Classes, state.Learned.Tenants = nil, nil
		}
		n.balancer.ImportState(n.now(), state.Learned)
		for id, expiresAt := range state.RequestIDs {
			if _, inUse := n.requestIDsInUse[id]; inUse || expiresAt < n.now() || len(n.requestIDsInUse) >= maxRequestIDsInUse {
				continue
			}
			n.requestIDsInUse[id] = struct{}{}
			n.scheduleAt(min(expiresAt, n.now()+maxHandedOverIDAge), func() { delete(n.requestIDsInUse, id) })
		}
	})
}

// maxHandedOverIDAge is for how long an id that was handed over is kept at most, in microseconds.
const maxHandedOverIDAge = 60_000_000

// SetProcessCount tells how many processes are this node: each has its part of the descriptors, of the memory for large messages,
// and of the cold hosts' budgets.
func (n *Node) SetProcessCount(processes int) {
	n.postPriority(func() {
		n.processCount = processes
		n.balancer.SetProcessCount(processes)
		n.reserveDescriptors(0)
	})
}
