package node

import (
	"container/list"

	"tulipglade/internal/safety"
)

// Times after which clients lose connections and buffers that they do not use, in microseconds. A client that sends no
// complete request gets an error or a close within 3 s of connecting. Connections are checked once in a maintenance
// interval, which adds to these times.
const (
	headTimeout       = 2_200_000  // from accept to the end of the first head, or from the start of a later head to its end
	bodyTimeout       = 1_000_000  // from the end of the head to the end of the body, plus its time at the minimum rate
	newConnGrace      = 500_000    // new connections are closed before this age only if nothing else is idle
	maxClientIdleTime = 30_000_000 // a connection that is idle between requests for longer is closed
	minClientIdleTime = 2_000_000  // a connection idle for less is closed only if its descriptor is needed
)

// setIdle puts a connection without a request at the end of the list it belongs to, or removes it from its list if idle
// is false. There is a list of connections that have not sent a request yet, one of those between two requests, and one
// of those that linger. If too many connections are between two requests, the oldest of them is closed.
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

// idleClientLimitDivisor determines how many client connections may be idle between two requests: the descriptor limit
// divided by this number. Clients have at most a third of all descriptors. If unused connections filled that share, new
// clients could not connect.
const idleClientLimitDivisor = 6

// mayClose returns safety.Allowed if the connection is between two requests and may be closed, or else the reason why
// not. Input that has not been parsed may be a request, which must be answered.
func (c *clientConn) mayClose() safety.Reason {
	return safety.CloseConditions{
		RequestInProgress: c.request != nil || c.writingAnswer || c.upload != nil,
		UnreadInput:       c.unreadInput() > 0 || !c.isOpenWithoutInput(),
	}.Check()
}

// closeStalledClients closes client connections that occupy resources without using them: those that never send a
// request, those that do not complete a request in time and so occupy a buffer as well, and those that are idle for too
// long.
func (n *Node) closeStalledClients() {
	now := n.now()
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; {
			client := element.Value.(*clientConn)
			element = element.Next()
			idleTime := now - client.idleSince
			switch {
			case client.state == clientLingering:
			case client.mayClose() != safety.Allowed: // a request is being processed or its input is arriving
			case client.input != nil && client.headCompleteAt == 0 && now-client.requestStartedAt >= headTimeout,
				client.input != nil && client.headCompleteAt > 0 && now-client.headCompleteAt >= maxBodyDuration(client.input.length):
				client.rejectInput(408, "request not complete in time")
			case client.input != nil:
			case !client.hasSentRequest && now-client.requestStartedAt >= headTimeout, idleTime >= maxClientIdleTime:
				client.closeGracefully(closeNoRequest)
			case client.hasSentRequest && idleTime >= minClientIdleTime && n.clientsExceedDescriptorShare():
				// Clients hold more connections, idle ones included, than they need for their requests.
				client.closeGracefully(closeTooManyIdle)
			}
		}
	}
}

// clientsExceedDescriptorShare reports whether clients use more than a third of the descriptors.
func (n *Node) clientsExceedDescriptorShare() bool {
	limit := n.descriptorLimit()
	return limit > 0 && len(n.clients) > limit/3
}

// maxBodyDuration returns the time that the body of a buffered request may take after its head, in microseconds: a
// fixed time, and the time that the bytes received so far take at the minimum rate.
func maxBodyDuration(received int) int64 {
	return bodyTimeout + int64(float64(received)*1e6/(minBodyRate*enforcedRateFraction))
}

// oldestIdleClient returns the connection of a list that has been idle for longest and for at least minIdle, or nil if
// there is none. It skips connections that have received a part of a request.
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

// oldestPartialRequest returns the connection that has waited longest for the rest of a request, and for at least
// newConnGrace, or nil if there is none.
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
