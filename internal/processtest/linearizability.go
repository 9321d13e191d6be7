package processtest

import (
	"github.com/anishathalye/porcupine"

	"tulipglade/internal/lease"
)

// leaseRequest is a request to the group with its outcome, as input of the linearizability checker.
type leaseRequest struct {
	kind     EventKind
	request  string
	token    lease.Token
	rejected bool
}

// leaseState is a lease with one slot as all clients must see it: tokens grow, and a grant that has ended or was followed by another is
// never renewed. A grant whose client has not received the response, and an expiry, may come at any moment.
type leaseState struct {
	token   lease.Token
	request string
	ended   bool
}

// apply returns the state apply a request; possible is false if the outcome contradicts the state.
func (s leaseState) apply(r leaseRequest) (next leaseState, possible bool) {
	if r.kind == EventAcquire {
		switch {
		case r.rejected:
			return s, true
		case r.token == s.token: // another attempt of the same request
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

// linearizable reports whether one order of all lease requests explains their outcomes.
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
