package processtest

import (
	"github.com/anishathalye/porcupine"

	"tulipglade/internal/lease"
)

// leaseRequest is a request to the group and its outcome, in the form that the linearizability checker takes as input.
type leaseRequest struct {
	kind     EventKind
	request  string // as requestName returns it
	token    lease.Token
	rejected bool
}

// leaseState is the state of a lease with one slot, as all clients must observe it: tokens increase, and a grant that
// has ended or was followed by another grant is never renewed. The model allows expiries, and grants whose response the
// client did not receive, at any time.
type leaseState struct {
	token   lease.Token
	request string
	ended   bool // the grant was released, or a renewal or release of it was rejected
}

// apply returns the state after a request; possible is false if the outcome of the request contradicts the state.
func (s leaseState) apply(r leaseRequest) (next leaseState, possible bool) {
	if r.kind == EventAcquire {
		switch {
		case r.rejected:
			return s, true
		case r.token == s.token: // must be another attempt of the same request
			return s, r.request == s.request
		}
		return leaseState{token: r.token, request: r.request}, r.token > s.token
	}
	if r.rejected { // a rejection of a renewal or release is final
		s.ended = s.ended || r.token == s.token
		return s, true
	}
	possible = r.token == s.token && !s.ended
	s.ended = r.kind == EventRelease
	return s, possible
}

var leaseModel = porcupine.Model{
	Init: func() any { return leaseState{} },
	Step: func(state, input, _ any) (bool, any) {
		next, possible := state.(leaseState).apply(input.(leaseRequest))
		return possible, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable reports whether the outcomes of all lease requests are those of some sequential order, in which a
// request that ended before another one was sent comes first.
func linearizable(log []Event) bool {
	var operations []porcupine.Operation
	clients := map[string]int{}
	for _, event := range log {
		if event.Kind != EventAcquire && event.Kind != EventRenew && event.Kind != EventRelease {
			continue
		}
		if _, ok := clients[event.Process]; !ok {
			clients[event.Process] = len(clients)
		}
		operations = append(operations, porcupine.Operation{
			ClientId: clients[event.Process],
			Input: leaseRequest{
				kind:     event.Kind,
				request:  requestName(event),
				token:    event.Token,
				rejected: event.Text != "",
			},
			Call:   int64(event.RequestedAt),
			Return: int64(event.At),
		})
	}
	return porcupine.CheckOperations(leaseModel, operations)
}
