package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// assignConn sends an attempt on an idle connection, or lets it wait for one: an idle connection that becomes
// reusable soon, or a new one. An attempt of a request fails at once if no descriptor is available for a new
// connection, and any attempt that still waits after ConnectTimeout fails.
func (n *Node) assignConn(att *attempt) {
	ep := att.endpoint
	if conn := n.takeIdleConn(ep); conn != nil {
		n.sendRequest(conn, att)
		return
	}
	spared := ep.hasUnclaimedIdleConn()
	if !spared && !att.isHealthCheck && !n.reserveForDial() {
		n.warnLimited("no descriptor for backend connection", "descriptors", n.openDescriptors)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
		return
	}
	ep.enqueueAttempt(att)
	if spared {
		n.scheduleServeWaiting(ep)
	} else {
		n.dial(ep)
	}
	n.scheduleAt(n.now()+n.settings.ConnectTimeout, func() {
		if att.state == attemptWaiting {
			n.abandonAttempt(att, balancer.OutcomeConnectFailed)
		}
	})
}

// hasUnclaimedIdleConn reports whether one more waiting attempt can expect an idle connection that is spared for now:
// the idle connections and pending dials outnumber the attempts that wait already.
func (e *endpoint) hasUnclaimedIdleConn() bool {
	return len(e.idleConns) > 0 && len(e.idleConns)+e.pendingDials > len(e.waitingAttempts)
}

// enqueueAttempt adds an attempt to those that wait for a connection. Health checks wait behind all requests.
func (e *endpoint) enqueueAttempt(att *attempt) {
	position := len(e.waitingAttempts)
	for !att.isHealthCheck && position > 0 && e.waitingAttempts[position-1].isHealthCheck {
		position--
	}
	e.waitingAttempts = slices.Insert(e.waitingAttempts, position, att)
}

// takeIdleConn removes an idle connection to an endpoint from the pool and returns it; nil if none is reusable. It
// prefers the one that has been idle for the shortest time. It skips connections on which a duplicate answer may
// follow, and closes those that can't be used any more.
func (n *Node) takeIdleConn(ep *endpoint) *backendConn {
	now := n.now()
	for i := len(ep.idleConns) - 1; i >= 0; i-- {
		conn := ep.idleConns[i]
		switch {
		case conn.mayReceiveDuplicate(now):
		case now-conn.idleSince >= n.idleLimit() || !conn.isOpenWithoutInput():
			n.closeBackendConn(conn, closeUnusable) // idle for too long, closed, or with unsolicited input
		default:
			conn.idleBeforeAttempt = now - conn.idleSince
			n.setIdle(conn, false)
			return conn
		}
	}
	return nil
}

// releaseConn returns a connection that carries no attempt to the pool, from which waiting attempts take it. The
// connection is closed instead if it is not usable any more, or if its endpoint is out of service and no attempt
// waits for it.
func (n *Node) releaseConn(conn *backendConn) {
	ep := conn.endpoint
	switch {
	case conn.state == backendClosed:
	case conn.incarnation != ep.incarnation || !conn.isOpenWithoutInput() || ep.state != protocol.InService && len(ep.waitingAttempts) == 0:
		n.closeBackendConn(conn, closeUnusable)
		n.dialForWaiting(ep)
	default:
		n.setIdle(conn, true)
		if len(ep.waitingAttempts) > 0 {
			n.serveWaiting(ep)
		}
	}
}

// serveWaiting assigns reusable connections to waiting attempts in the order of their queue. Attempts that may not
// start any more are completed unsent.
func (n *Node) serveWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > 0 {
		// The conditions for a start may have changed since the balancer decided to send the attempt.
		if att := ep.waitingAttempts[0]; n.mayStart(att) != safety.Allowed {
			ep.waitingAttempts = ep.waitingAttempts[1:]
			n.completeAttempt(att, balancer.OutcomeNotSent, nil)
		} else if conn := n.takeIdleConn(ep); conn != nil {
			ep.waitingAttempts = ep.waitingAttempts[1:]
			n.sendRequest(conn, att)
		} else {
			n.dialForWaiting(ep)
			n.scheduleServeWaiting(ep)
			return
		}
	}
	if ep.state != protocol.InService {
		n.closeIdleBackendConns(ep)
	}
}

// scheduleServeWaiting schedules serveWaiting for the time when the next idle connection becomes reusable. None is
// reusable when this is called, or an attempt would have taken it.
func (n *Node) scheduleServeWaiting(ep *endpoint) {
	next := int64(noDeadline)
	for _, conn := range ep.idleConns {
		next = min(next, conn.lastAnswerAt+n.restAfterAnswer())
	}
	if next < noDeadline {
		n.scheduleAt(next, func() { n.serveWaiting(ep) })
	}
}

// dialForWaiting opens connections until there is a pending dial or an idle connection for each waiting attempt, or
// no descriptor is available for another connection.
func (n *Node) dialForWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) && n.reserveForDial() {
		n.dial(ep)
	}
}

// setIdle adds a connection to the idle connections of the node and of its endpoint, or removes it from both.
func (n *Node) setIdle(conn *backendConn, idle bool) {
	if conn.idleElement != nil {
		n.idleBackends.Remove(conn.idleElement)
		conn.idleElement = nil
		for i, other := range conn.endpoint.idleConns {
			if other == conn {
				conn.endpoint.idleConns = append(conn.endpoint.idleConns[:i], conn.endpoint.idleConns[i+1:]...)
				break
			}
		}
	}
	if idle {
		conn.setState(backendIdle)
		conn.idleSince = n.now()
		conn.idleElement = n.idleBackends.PushBack(conn)
		conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn)
	}
}

// closeIdleBackendConns closes the idle connections to an endpoint that drains, was removed or has restarted.
func (n *Node) closeIdleBackendConns(ep *endpoint) {
	for len(ep.idleConns) > 0 {
		n.closeBackendConn(ep.idleConns[0], closeEndpointChanged)
	}
}
