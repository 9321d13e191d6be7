package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/workload"
)

// SendAttempt sends an attempt of a request to an endpoint that was listed to the node.
func (n *Node) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	now := n.simulation.events.Now()
	b := n.simulation.backendsByID[endpoint]
	r := n.requests[id]
	if b == nil || !n.knownEndpoints[endpoint] {
		panic("the policy sends to an endpoint that was never listed")
	}
	n.enforceNotificationDeadlines(now)
	n.simulation.checker.AttemptSent(now, n.index, id, invariant.Backend{ID: endpoint, Site: b.site, Rack: b.rack})
	if r == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), backend: b, sentAt: now, awaited: true}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.answered || a.number >= n.simulation.scenario.Rules.MaxAttempts {
		n.schedule(0, eventqueue.Event{Target: n, Kind: nodeTimeout, Payload: a, Argument: int64(balancer.OutcomeNotSent)})
		return
	}
	c := r.call
	draws := eventqueue.NewDraws(n.simulation.seed, a.drawSeed(), drawWork)
	a.incarnation = b.incarnation
	a.work = c.Work
	if noise := n.simulation.scenario.Classes[c.Class].Noise; noise > 0 {
		a.work *= workload.Lognormal(noise, draws.Norm())
	}
	n.simulation.recorder.recordAttempt(c, n.site != b.site)
	end := r.deadline
	if timeout > 0 {
		end = min(end, now+timeout)
	}
	n.simulation.events.Schedule(&n.source, end, eventqueue.Event{Target: n, Kind: nodeTimeout, Payload: a, Argument: int64(balancer.OutcomeTimeout)})
	n.dispatchAttempt(a, draws.Float64())
}

// dispatchAttempt sends the attempt on an idle connection or, without one, on a new connection.
func (n *Node) dispatchAttempt(a *attempt, staleDraw float64) {
	backend, oneWayDelay := a.backend, n.simulation.delay(&n.random, n.site, a.backend.site)
	pool := n.pools[backend]
	if pool == nil || pool.incarnation != backend.incarnation {
		pool = &connectionPool{backend: backend, incarnation: backend.incarnation}
		n.pools[backend] = pool
	}
	if last := len(pool.idleSince) - 1; last >= 0 {
		pool.idleSince = pool.idleSince[:last]
		n.sendOnIdleConnection(a, oneWayDelay, staleDraw)
		return
	}
	n.sendOnNewConnection(a, oneWayDelay)
}

func (n *Node) sendOnIdleConnection(a *attempt, oneWayDelay eventqueue.Span, staleDraw float64) {
	backend := a.backend
	a.holdsConnection = true
	switch {
	case staleDraw < n.simulation.scenario.Net.Stale: // the backend has closed the connection meanwhile
		backend.incarnation.connections--
		a.holdsConnection = false
		n.schedule(2*oneWayDelay, eventqueue.Event{Target: n, Kind: nodeReply, Payload: a, Argument: int64(balancer.OutcomeReset)})
	case n.simulation.partitioned(n.site, backend.site):
		a.loseMessage(n.simulation)
	default:
		backend.inTransit++
		n.schedule(oneWayDelay, eventqueue.Event{Target: backend, Kind: backendArrival, Payload: a})
	}
}

func (n *Node) sendOnNewConnection(a *attempt, oneWayDelay eventqueue.Span) {
	backend := a.backend
	connections := &n.simulation.scenario.Fleet.Conns
	connectFailed := eventqueue.Event{Target: n, Kind: nodeTimeout, Payload: a, Argument: int64(balancer.OutcomeConnectFailed)}
	switch {
	case n.simulation.partitioned(n.site, backend.site) || backend.unreachable:
		n.schedule(fromMilliseconds(connections.Timeout), connectFailed)
	case !backend.running || backend.replaced:
		n.schedule(2*oneWayDelay, connectFailed)
	default:
		a.newConnection, a.holdsConnection = true, true
		backend.incarnation.connections++
		backend.inTransit++
		n.simulation.recorder.dials++
		handshake := eventqueue.Span(2 * connections.Rtts * float64(oneWayDelay))
		n.schedule(handshake+oneWayDelay, eventqueue.Event{Target: backend, Kind: backendArrival, Payload: a})
	}
}

// endAttempt takes up the first outcome of an attempt; later ones are ignored.
func (n *Node) endAttempt(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	r := a.request
	if !a.awaited || n.incarnation == nil || r.incarnation != n.incarnation {
		return
	}
	a.awaited, r.inFlight = false, r.inFlight-1
	n.releaseConnection(now, a, out, answered)
	n.simulation.checker.AttemptEnded(now, r.id, a.number, out)
	if out == balancer.OutcomeOK && !r.answered {
		r.answered = true
		n.simulation.checker.RequestAnswered(now, n.index, r.id, invariant.Served)
		n.simulation.recorder.recordUsefulWork(a)
		n.sendAnswer(r, invariant.Served, 0)
	}
	result := balancer.AttemptResult{
		ID:          r.id,
		Attempt:     a.number,
		Endpoint:    a.backend.id,
		Outcome:     out,
		Latency:     now - a.sentAt,
		RequestDone: r.answered,
	}
	if answered && a.report != unknownReport && out != balancer.OutcomeReset {
		result.Load = &a.report
	}
	n.decisions++
	n.policy.HandleAttemptResult(n.localTime(now), result)
	n.forgetIfDone(r)
}

// CancelAttempt cancels an attempt: its connection closes, and the backend may drop it from its queue.
func (n *Node) CancelAttempt(id balancer.RequestID, number int) {
	r := n.requests[id]
	if r == nil || number >= len(r.attempts) || !r.attempts[number].awaited {
		return
	}
	a := r.attempts[number]
	n.schedule(0, eventqueue.Event{Target: n, Kind: nodeTimeout, Payload: a, Argument: int64(balancer.OutcomeCanceled)})
	if !n.simulation.partitioned(n.site, a.backend.site) {
		delay := n.simulation.delay(&n.random, n.site, a.backend.site)
		n.schedule(delay, eventqueue.Event{Target: a.backend, Kind: backendCancellation, Payload: a})
	}
}
