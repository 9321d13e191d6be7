package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// HotRestartState is the state that a process hands over to its successor in a hot restart. To backends and clients the
// two processes are one node.
type HotRestartState struct {
	EndpointList protocol.List         `json:"List"`
	Classes      []string              `json:"Classes"` // names of the classes in Learned, in the same order
	Tenants      []string              `json:"Tenants"` // names of the tenants in Learned, in the same order
	Learned      balancer.LearnedState `json:"Learned"`
	// TraceIDs holds the trace IDs of requests that may still be running on a backend, with the time at which each
	// expires, in microseconds of Unix time, which both processes use.
	TraceIDs map[string]int64 `json:"IDs"`
}

// maxHandedOverTraceIDs bounds the number of trace IDs that a process hands over.
const maxHandedOverTraceIDs = 1 << 12

// ExportState calls deliver on the event loop with the state for a successor. The state includes half of the remaining
// slow-start budgets of endpoints.
func (n *Node) ExportState(deliver func(HotRestartState)) {
	n.post(func() { // runs after the update with the endpoint list that the process loaded at its start
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

// ImportState adopts the state that the predecessor has exported: what it has learned of the endpoints that this
// process knows, and the trace IDs of its requests.
func (n *Node) ImportState(state HotRestartState) {
	n.post(func() {
		// What was learned of classes and tenants is dropped if the settings now have other ones, or another order.
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

// maxHandedOverTraceIDAge bounds how long a trace ID of the predecessor counts as in use, in microseconds.
const maxHandedOverTraceIDAge = 60_000_000

// SetProcessCount sets how many processes this node consists of, which is more than one during a hot restart. Each
// process uses its share of the descriptors, of the memory for large messages and of the slow-start budgets of
// endpoints.
func (n *Node) SetProcessCount(processes int) {
	n.postPriority(func() {
		n.processCount = processes
		n.memory.setLimit(n.settings.MemoryLimit, processes)
		n.balancer.SetProcessCount(processes)
		n.reserveDescriptors(0)
	})
}
