package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// connectionPool holds a node's idle connections to one incarnation of a backend.
type connectionPool struct {
	backend        *Backend
	incarnation    *backendIncarnation
	idleSince      []eventqueue.Time // of each connection, ascending
	sweepScheduled bool              // a nodeIdleSweep event is pending
}

// releaseConnection returns the attempt's connection to its pool, or closes it.
func (n *Node) releaseConnection(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	if !a.holdsConnection {
		return
	}
	a.holdsConnection = false
	p := n.pools[a.backend]
	reusable := answered && out != balancer.OutcomeReset && a.incarnation == a.backend.incarnation
	if !reusable || p == nil || p.incarnation != a.incarnation {
		a.incarnation.connections--
		return
	}
	p.idleSince = append(p.idleSince, now)
	if !p.sweepScheduled {
		p.sweepScheduled = true
		n.schedule(fromMilliseconds(n.simulation.scenario.Fleet.Conns.Idle), eventqueue.Event{Target: n, Kind: nodeIdleSweep, Payload: p})
	}
}

// closeIdleConnections closes the pool's connections that have been idle for too long.
func (n *Node) closeIdleConnections(now eventqueue.Time, pool *connectionPool) {
	pool.sweepScheduled = false
	if n.pools[pool.backend] != pool {
		return
	}
	idle, expired := fromMilliseconds(n.simulation.scenario.Fleet.Conns.Idle), 0
	for expired < len(pool.idleSince) && pool.idleSince[expired] <= now-idle {
		expired++
	}
	pool.incarnation.connections -= expired
	pool.idleSince = append(pool.idleSince[:0], pool.idleSince[expired:]...)
	if len(pool.idleSince) > 0 {
		pool.sweepScheduled = true
		n.simulation.events.Schedule(&n.source, pool.idleSince[0]+idle, eventqueue.Event{Target: n, Kind: nodeIdleSweep, Payload: pool})
	} else {
		delete(n.pools, pool.backend)
	}
}
