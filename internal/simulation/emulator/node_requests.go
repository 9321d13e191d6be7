package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/workload"
)

// request is one request of a call, at the node that received it.
type request struct {
	id          balancer.RequestID
	call        *call
	node        *Node
	incarnation *nodeIncarnation
	replyTo     eventqueue.Handler // receives the outcomes of its attempts
	number      int
	deadline    eventqueue.Time
	attempts    []*attempt
	inFlight    int
	answered    bool
}

// openRequests returns the node's requests in the order of their IDs.
func (n *Node) openRequests() []*request {
	list := make([]*request, 0, len(n.requests))
	for _, r := range n.requests {
		list = append(list, r)
	}
	sortBy(list, func(r *request) uint64 { return uint64(r.id) })
	return list
}

// acceptRequest hands a request to the policy.
func (n *Node) acceptRequest(now eventqueue.Time, r *request) {
	if n.incarnation == nil {
		delay := n.simulation.delay(&n.random, n.site, n.site)
		n.schedule(delay, eventqueue.Event{Target: n.simulation.clients, Kind: clientNodeUnreachable, Payload: r})
		return
	}
	r.incarnation = n.incarnation
	n.requests[r.id] = r
	n.simulation.checker.RequestAccepted(now, n.index, r.id, r.call.Class, r.deadline)
	n.decisions++
	n.policy.HandleRequest(n.localTime(now), balancer.Request{
		ID:          r.id,
		AffinityKey: r.call.Key,
		Class:       r.call.Class,
		Tenant:      r.call.Tenant,
		Deadline:    r.deadline + n.incarnation.clockOffset,
		CostHint:    workload.SizeHint(n.simulation.scenario, n.simulation.seed, &r.call.Call),
		IsRetry:     n.simulation.scenario.Clients.MarkRetries && r.number > 0,
	})
}

// cancelRequest ends a request whose client has canceled it.
func (n *Node) cancelRequest(now eventqueue.Time, r *request) {
	if n.incarnation == nil || r.incarnation != n.incarnation || r.answered {
		return
	}
	r.answered = true
	n.simulation.checker.ClientDisconnected(now, r.id)
	n.policy.HandleCancellation(n.localTime(now), r.id)
	n.forgetIfDone(r)
}

// forgetIfDone drops a request that is answered and has no attempt in flight.
func (n *Node) forgetIfDone(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(n.requests, r.id)
	}
}

// finishRequest answers a request by the policy's decision.
func (n *Node) finishRequest(id balancer.RequestID, answer invariant.Final, retryIn balancer.Span) {
	now := n.simulation.events.Now()
	n.simulation.checker.RequestAnswered(now, n.index, id, answer)
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	n.sendAnswer(r, answer, retryIn)
	n.forgetIfDone(r)
}

func (n *Node) sendAnswer(r *request, answer invariant.Final, retryIn eventqueue.Span) {
	delay := n.simulation.clientDelay(&n.random, r.call.Site, n.site)
	n.schedule(delay, eventqueue.Event{Target: n.simulation.clients, Kind: clientAnswered + uint8(answer), Payload: r, Argument: retryIn})
}

// Reject answers a request with a rejection.
func (n *Node) Reject(id balancer.RequestID, retryIn balancer.Span) {
	n.finishRequest(id, invariant.Rejected, retryIn)
}

// Fail answers a request with a failure.
func (n *Node) Fail(id balancer.RequestID) { n.finishRequest(id, invariant.Failed, 0) }
