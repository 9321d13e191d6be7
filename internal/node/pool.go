package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// assignConn gives an attempt a connection: an idle one, one that will have rested soon, or a new one.
func (n *Node) assignConn(att *attempt) {
	ep := att.endpoint
	if conn := n.takeIdleConn(ep); conn != nil {
		n.sendRequest(conn, att)
		return
	}
	resting := len(ep.idleConns)+ep.pendingDials > len(ep.waitingAttempts) && len(ep.idleConns) > 0
	if !resting && !att.isHealthCheck && !n.reserveDescriptors(1) {
		n.warnLimited("no descriptor for a connection", "descriptors", n.openDescriptors)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
		return
	}
	position := len(ep.waitingAttempts)
	for !att.isHealthCheck && position > 0 && ep.waitingAttempts[position-1].isHealthCheck {
		position--
	}
	ep.waitingAttempts = slices.Insert(ep.waitingAttempts, position, att)
	if resting {
		n.scheduleServeWaiting(ep)
	} else {
		n.dial(ep)
	}
	n.scheduleAt(n.now()+n.settings.ConnectTimeout, func() {
		if !att.completed && att.conn == nil {
			n.abandonAttempt(att, balancer.OutcomeConnectFailed)
		}
	})
}

// takeIdleConn takes the idle connection to a host that was used last, but for those that may be about to close, of which it
// is the one that has waited longest, those that rest, and those that are no longer good: these close. It is nil where
// there is none.
func (n *Node) takeIdleConn(ep *endpoint) *backendConn {
	now := n.now()
	var candidate, fallback *backendConn
	for i := len(ep.idleConns) - 1; i >= 0 && candidate == nil; i-- {
		conn := ep.idleConns[i]
		switch {
		case ep.mayReceiveDuplicate(conn, now):
		case now-conn.idleSince >= n.idleLimit() || !conn.isOpenAndDrained():
			n.closeBackend(conn, closeUnusable) // idle for too long, closed, or with input that no request asked for
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

// releaseConn gives a connection that carries nothing to the next attempt, or keeps it.
func (n *Node) releaseConn(conn *backendConn) {
	ep := conn.endpoint
	switch {
	case conn.closed:
	case conn.incarnation != ep.incarnation || !conn.isOpenAndDrained() || ep.state != protocol.InService && len(ep.waitingAttempts) == 0:
		n.closeBackend(conn, closeUnusable)
		n.dialForWaiting(ep)
	default:
		n.setIdle(conn, true)
		if len(ep.waitingAttempts) > 0 {
			n.serveWaiting(ep)
		}
	}
}

// serveWaiting gives the connections that have rested to those who wait, the longest first.
func (n *Node) serveWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > 0 {
		if att := ep.waitingAttempts[0]; n.mayStart(att) != safety.Allowed { // since it was asked for
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
		n.closeIdleBackends(ep, closeEndpointChanged)
	}
}

// scheduleServeWaiting has the next connection that will have rested handed over then. All idle ones rest, or somebody would have them.
func (n *Node) scheduleServeWaiting(ep *endpoint) {
	next := int64(noDeadline)
	for _, conn := range ep.idleConns {
		next = min(next, conn.lastAnswerAt+reuseDelay)
	}
	if next < noDeadline {
		n.scheduleAt(next, func() { n.serveWaiting(ep) })
	}
}

// dialForWaiting opens connections until there is one for each who waits: on its way, or resting.
func (n *Node) dialForWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) && n.reserveDescriptors(1) {
		n.dial(ep)
	}
}

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
		conn.idleSince = n.now()
		conn.idleElement = n.idleBackends.PushBack(conn)
		conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn)
	}
}

func (n *Node) closeIdleBackends(ep *endpoint, reason closeReason) {
	for len(ep.idleConns) > 0 {
		n.closeBackend(ep.idleConns[0], reason)
	}
}
