package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// assignConn gives an attempt a connection: an idle one, one that becomes reusable soon, or a new one.
func (n *Node) assignConn(att *attempt) {
	ep := att.endpoint
	if conn := n.takeIdleConn(ep); conn != nil {
		n.sendRequest(conn, att)
		return
	}
	spared := ep.hasUnclaimedIdleConn()
	if !spared && !att.isHealthCheck && !n.mayDial() {
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

// hasUnclaimedIdleConn reports whether an idle connection that is spared for now will be left for one more waiting attempt.
func (e *endpoint) hasUnclaimedIdleConn() bool {
	return len(e.idleConns) > 0 && len(e.idleConns)+e.pendingDials > len(e.waitingAttempts)
}

// enqueueAttempt adds an attempt to those that wait for a connection. Health checks wait behind requests.
func (e *endpoint) enqueueAttempt(att *attempt) {
	position := len(e.waitingAttempts)
	for !att.isHealthCheck && position > 0 && e.waitingAttempts[position-1].isHealthCheck {
		position--
	}
	e.waitingAttempts = slices.Insert(e.waitingAttempts, position, att)
}

// takeIdleConn takes the most recently used idle connection of an endpoint that is old enough to be reused, else the
// oldest of the younger ones; nil if there is none. It skips connections on which a duplicate answer may follow, and
// closes those that can't be used any more.
func (n *Node) takeIdleConn(ep *endpoint) *backendConn {
	now := n.now()
	var candidate, fallback *backendConn
	for i := len(ep.idleConns) - 1; i >= 0 && candidate == nil; i-- {
		conn := ep.idleConns[i]
		switch {
		case ep.mayReceiveDuplicate(conn, now):
		case now-conn.idleSince >= n.idleLimit() || !conn.isOpenWithoutInput():
			n.closeBackendConn(conn, closeUnusable) // idle for too long, closed, or with input that no request asked for
		case now-conn.idleSince < reuseDelay:
			fallback = conn
		default:
			candidate = conn
		}
	}
	if candidate == nil {
		candidate = fallback
	}
	if candidate != nil {
		candidate.idleBeforeAttempt = now - candidate.idleSince
		n.setIdle(candidate, false)
	}
	return candidate
}

// releaseConn returns a connection that carries nothing to the pool, and serves waiting attempts with it.
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

// serveWaiting gives reusable connections to waiting attempts, the longest waiting first.
func (n *Node) serveWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > 0 {
		// Conditions may have changed since the balancer decided.
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

// scheduleServeWaiting runs serveWaiting when the next idle connection becomes reusable. No idle connection is
// reusable now, or an attempt would have taken it.
func (n *Node) scheduleServeWaiting(ep *endpoint) {
	next := int64(noDeadline)
	for _, conn := range ep.idleConns {
		next = min(next, conn.lastAnswerAt+reuseDelay)
	}
	if next < noDeadline {
		n.scheduleAt(next, func() { n.serveWaiting(ep) })
	}
}

// dialForWaiting opens connections until each waiting attempt has one that is being dialled or becomes reusable.
func (n *Node) dialForWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) && n.mayDial() {
		n.dial(ep)
	}
}

// setIdle adds a connection to the idle ones or removes it from them.
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

// closeIdleBackendConns closes an endpoint's idle connections because it drains, was removed or has restarted.
func (n *Node) closeIdleBackendConns(ep *endpoint) {
	for len(ep.idleConns) > 0 {
		n.closeBackendConn(ep.idleConns[0], closeEndpointChanged)
	}
}
