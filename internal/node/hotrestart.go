package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// HotRestartState is what a process passes to its successor: to backends and clients the two are one node.
type HotRestartState struct {
	EndpointList protocol.List         `json:"List"`
	Classes      []string              `json:"Classes"` // those that Learned refers to, in its order
	Tenants      []string              `json:"Tenants"`
	Learned      balancer.LearnedState `json:"Learned"`
	// TraceIDs are the trace IDs of requests that may be running, with their expiry on the clock that both processes share.
	TraceIDs map[string]int64 `json:"IDs"`
}

// maxHandedOverTraceIDs bounds the trace IDs that are passed on.
const maxHandedOverTraceIDs = 1 << 12

// ExportState passes on this node's state, with half of what is left of warming endpoints' budgets.
func (n *Node) ExportState(deliver func(HotRestartState)) {
	n.post(func() { // posted, so that the list with which the process started is included
		state := HotRestartState{
			EndpointList: protocol.List{Revision: n.listRevision, Full: true},
			Classes:      n.settings.Classes,
			Tenants:      n.settings.Tenants,
			TraceIDs:     map[string]int64{},
		}
		for uid, ep := range n.endpointsByUID {
			if ep.removedAt == 0 {
				state.EndpointList.Targets = append(state.EndpointList.Targets, ep.target(uid))
			}
		}
		for _, req := range n.requests {
			expiresAt := min(req.deadline, n.now()+req.settings.Balancer.Classes[req.class].Deadline)
			if len(state.TraceIDs) < maxHandedOverTraceIDs && req.message != nil {
				state.TraceIDs[string(req.message.Get("x-trace-id"))] = expiresAt
			}
		}
		state.Learned = n.balancer.ExportState(n.now())
		deliver(state)
	})
}

// ImportState takes over what an earlier process of this node has learned of the endpoints that this one knows.
func (n *Node) ImportState(state HotRestartState) {
	n.post(func() {
		// What was learned of classes and tenants does not apply if the settings have changed meanwhile.
		if !slices.Equal(state.Classes, n.settings.Classes) || !slices.Equal(state.Tenants, n.settings.Tenants) {
			state.Learned.Classes, state.Learned.Tenants = nil, nil
		}
		n.balancer.ImportState(n.now(), state.Learned)
		for id, expiresAt := range state.TraceIDs {
			if _, inUse := n.traceIDsInUse[id]; inUse || expiresAt < n.now() || len(n.traceIDsInUse) >= maxTraceIDsInUse {
				continue
			}
			n.traceIDsInUse[id] = struct{}{}
			n.scheduleAt(min(expiresAt, n.now()+maxHandedOverTraceIDAge), func() { delete(n.traceIDsInUse, id) })
		}
	})
}

// maxHandedOverTraceIDAge is how long a trace ID that was passed on is kept at most, in microseconds.
const maxHandedOverTraceIDAge = 60_000_000

// SetProcessCount sets how many processes are this node. Each has its part of the descriptors, of the memory for
// large messages and of warming endpoints' budgets.
func (n *Node) SetProcessCount(processes int) {
	n.postPriority(func() {
		n.processCount = processes
		n.balancer.SetProcessCount(processes)
		n.reserveDescriptors(0)
	})
}
