package node

import (
	"container/list"

	"tulipglade/internal/safety"
)

// How long clients may hold on to what they do not use, in microseconds. Whoever cannot or will not ask is due an
// error or a close within 3 s of connecting; a sweep comes on top of these times.
const (
	headTimeout       = 2_200_000  // from the connection to the end of its first head, or from the start of a later one
	bodyTimeout       = 1_000_000  // from there to the end of the body, and what that takes at the least rate
	newConnGrace      = 500_000    // a new connection is not closed to make room for others unless nothing else is idle
	maxClientIdleTime = 30_000_000 // between two requests
	minClientIdleTime = 2_000_000  // sooner, only connections that are in the way are closed
)

// setIdle keeps the lists of connections that hold no request: those that have never asked, and the others.
func (c *clientConn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.idleList.Remove(c.idleElement)
		c.idleElement = nil
	}
	if idle && !c.closed {
		switch {
		case c.lingering:
			c.idleList = &c.node.lingeringClients
		case c.hasSentRequest:
			c.idleList = &c.node.idleClients
		default:
			c.idleList = &c.node.newClients
		}
		c.idleElement, c.idleSince = c.idleList.PushBack(c), c.node.now()
		if limit := c.node.descriptorLimit() / idleClientFraction; c.hasSentRequest && !c.lingering && limit > 0 && c.idleList.Len() > limit {
			if oldest := c.node.oldestIdleClient(c.idleList, 0); oldest != nil && oldest != c {
				oldest.closeGracefully(closeTooManyIdle)
			}
		}
	}
}

// idleClientFraction is the part of all descriptors that connections between two requests may take. Clients hold a third of
// them at most: with that full of connections that nobody uses any more, new clients could not connect.
const idleClientFraction = 6

// mayClose tells whether the connection may be ended between two requests, and if not, why: what has come, and waits to be read, asks for an answer.
func (c *clientConn) mayClose() safety.Reason {
	return safety.Close{RequestInProgress: c.request != nil || c.writingAnswer || c.upload != nil, UnreadInput: c.unreadInput() > 0 || !c.isOpenAndDrained()}.Check()
}

// closeStalledClients ends what clients hold on to and do not use: connections that never ask, requests that begin and do
// not come in whole, each of which holds a buffer too, and connections that stay after their last answer.
func (n *Node) closeStalledClients() {
	now := n.now()
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; {
			client := element.Value.(*clientConn)
			element = element.Next()
			idleTime := now - client.idleSince
			switch {
			case client.lingering:
			case client.mayClose() != safety.Allowed: // it asks in this moment
			case client.input != nil && client.headCompleteAt == 0 && now-client.requestStartedAt >= headTimeout,
				client.input != nil && client.headCompleteAt > 0 && now-client.headCompleteAt >= bodyTimeout+int64(float64(client.input.length)*1e6/(minBodyRate*bodyRateTolerance)):
				client.rejectUnreadable(408, "request not complete in time")
			case client.input != nil:
			case !client.hasSentRequest && now-client.requestStartedAt >= headTimeout, idleTime >= maxClientIdleTime:
				client.closeGracefully(closeNoRequest)
			case client.hasSentRequest && idleTime >= minClientIdleTime && n.descriptorLimit() > 0 && len(n.clients) > n.descriptorLimit()/3:
				client.closeGracefully(closeTooManyIdle) // more than clients need for their requests, silent ones counted
			}
		}
	}
}

// oldestIdleClient is the connection in a list that has held no request for the longest time, and at least for so long,
// or nil.
func (n *Node) oldestIdleClient(conns *list.List, minIdle int64) *clientConn {
	for element := conns.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*clientConn); n.now()-client.idleSince < minIdle {
			return nil
		} else if client.mayClose() == safety.Allowed {
			return client
		}
	}
	return nil
}
