package node

import (
	"container/list"

	"tulipglade/internal/safety"
)

// How long clients may hold what they do not use, in microseconds. A client that does not send a request gets an
// error or a close within 3 s of connecting; a maintenance interval comes on top of these times.
const (
	headTimeout       = 2_200_000  // from accept to the end of the first head, or from the start of a later one
	bodyTimeout       = 1_000_000  // from there to the end of the body, beside the time that it takes at the minimum rate
	newConnGrace      = 500_000    // until then a new connection is closed for others only if nothing else is idle
	maxClientIdleTime = 30_000_000 // between two requests
	minClientIdleTime = 2_000_000  // until then only connections whose descriptors are needed are closed
)

// setIdle maintains the lists of connections without a request: those that have never sent one, the others, and those
// that linger.
func (c *clientConn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.idleList.Remove(c.idleElement)
		c.idleElement = nil
	}
	if idle && c.state != clientClosed {
		switch {
		case c.state == clientLingering:
			c.idleList = &c.node.lingeringClients
		case c.hasSentRequest:
			c.idleList = &c.node.idleClients
		default:
			c.idleList = &c.node.newClients
		}
		c.idleElement, c.idleSince = c.idleList.PushBack(c), c.node.now()
		limit := c.node.descriptorLimit() / idleClientLimitDivisor
		if c.hasSentRequest && c.state != clientLingering && limit > 0 && c.idleList.Len() > limit {
			if oldest := c.node.oldestIdleClient(c.idleList, 0); oldest != nil && oldest != c {
				oldest.closeGracefully(closeTooManyIdle)
			}
		}
	}
}

// idleClientLimitDivisor is the divisor of the descriptor limit that gives the most connections which may be between two
// requests. Clients have at most a third of all descriptors: full of connections that are not used any more, that
// would keep new clients out.
const idleClientLimitDivisor = 6

// mayClose reports whether the connection may be closed between two requests, and if not, why: input that has not
// been parsed asks for an answer.
func (c *clientConn) mayClose() safety.Reason {
	return safety.CloseConditions{
		RequestInProgress: c.request != nil || c.writingAnswer || c.upload != nil,
		UnreadInput:       c.unreadInput() > 0 || !c.isOpenWithoutInput(),
	}.Check()
}

// closeStalledClients closes client connections that hold resources and don't use them: those that never send a
// request, requests that are not completed in time, each of which holds a buffer too, and those idle for too long.
func (n *Node) closeStalledClients() {
	now := n.now()
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; {
			client := element.Value.(*clientConn)
			element = element.Next()
			idleTime := now - client.idleSince
			switch {
			case client.state == clientLingering:
			case client.mayClose() != safety.Allowed: // a request is coming in right now
			case client.input != nil && client.headCompleteAt == 0 && now-client.requestStartedAt >= headTimeout,
				client.input != nil && client.headCompleteAt > 0 && now-client.headCompleteAt >= maxBodyDuration(client.input.length):
				client.rejectInput(408, "request not complete in time")
			case client.input != nil:
			case !client.hasSentRequest && now-client.requestStartedAt >= headTimeout, idleTime >= maxClientIdleTime:
				client.closeGracefully(closeNoRequest)
			case client.hasSentRequest && idleTime >= minClientIdleTime && n.clientsExceedDescriptorShare():
				// More connections than clients need for their requests, idle ones included.
				client.closeGracefully(closeTooManyIdle)
			}
		}
	}
}

// clientsExceedDescriptorShare reports whether clients have more than a third of the descriptors.
func (n *Node) clientsExceedDescriptorShare() bool {
	limit := n.descriptorLimit()
	return limit > 0 && len(n.clients) > limit/3
}

// maxBodyDuration is how long the body of a buffered request may take of which so many bytes have come, in microseconds.
func maxBodyDuration(received int) int64 {
	return bodyTimeout + int64(float64(received)*1e6/(minBodyRate*enforcedRateFraction))
}

// oldestIdleClient returns the connection of a list that has been idle for longest, and at least for so long; nil if
// there is none. It skips those on which a part of a request has come.
func (n *Node) oldestIdleClient(conns *list.List, minIdle int64) *clientConn {
	for element := conns.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*clientConn); n.now()-client.idleSince < minIdle {
			return nil
		} else if client.input == nil && client.mayClose() == safety.Allowed {
			return client
		}
	}
	return nil
}

// oldestPartialRequest returns the connection that has waited longest for the rest of a request, and at least as long as
// a new connection is spared; nil if there is none.
func (n *Node) oldestPartialRequest() (oldest *clientConn) {
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; element = element.Next() {
			client := element.Value.(*clientConn)
			waiting := client.input != nil && n.now()-client.idleSince >= newConnGrace && client.mayClose() == safety.Allowed
			if waiting && (oldest == nil || client.idleSince < oldest.idleSince) {
				oldest = client
			}
		}
	}
	return oldest
}
