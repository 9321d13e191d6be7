package node

// reservedDescriptors are those of neither clients nor backends: standard streams, poller, listener, discovery, and
// the few that the runtime opens.
const reservedDescriptors = 32

// descriptorLimit is how many descriptors this process may hold; 0: unlimited.
func (n *Node) descriptorLimit() int {
	return max(n.settings.MaxDescriptors/max(n.processCount, 1), min(n.settings.MaxDescriptors, reservedDescriptors+minServingDescriptors))
}

// minServingDescriptors is what is left to serve with, however many processes share the descriptors.
const minServingDescriptors = 16

// exceedsDescriptorLimit reports whether so many more descriptors are not available.
func (n *Node) exceedsDescriptorLimit(more int) bool {
	limit := n.descriptorLimit()
	return limit > 0 && n.openDescriptors+more > limit-reservedDescriptors
}

// maxSurplusClients is how many descriptors a node may hold beyond its limit for a moment, so that a connection that has
// just been accepted need not be closed unread: until another is known to be idle, or until its request is rejected.
// They are some of reservedDescriptors, as maxPendingAccepts are; a process without clients and backends held 14 of these.
const maxSurplusClients = 8

// surplusDescriptors is by how many descriptors the node would be beyond its limit with so many more.
func (n *Node) surplusDescriptors(more int) int {
	limit := n.descriptorLimit()
	if limit <= 0 {
		return 0
	}
	return max(n.openDescriptors+more-(limit-reservedDescriptors), 0)
}

// reserveForDial reports whether a connection to a backend may be opened: there is a descriptor, or there will be one as soon as
// the writes of answers are reported.
func (n *Node) reserveForDial() bool {
	return n.closeIdleConnections(1) ||
		n.surplusDescriptors(1) <= min(maxSurplusClients, n.answersBeingWritten()) ||
		n.closeExpendableClients(1)
}

// reserveForAccepted reports whether a connection that has been accepted may stay.
func (n *Node) reserveForAccepted() bool {
	return n.closeIdleConnections(0) || n.surplusDescriptors(0) <= maxSurplusClients || n.closeExpendableClients(0)
}

// mustRejectForDescriptors reports whether a request on a connection that was accepted beyond the descriptor limit must be rejected: all
// others are busy, beyond answers that are on their way out.
func (c *clientConn) mustRejectForDescriptors() bool {
	if !c.acceptedOverLimit {
		return false
	}
	c.acceptedOverLimit = !c.node.closeIdleConnections(0)
	return c.acceptedOverLimit && c.node.surplusDescriptors(0) > c.node.answersBeingWritten()
}

// answersBeingWritten counts the connections whose answer has been passed to a writer that has not reported its end.
// Their clients may have read all of it.
func (n *Node) answersBeingWritten() (count int) {
	for client := range n.clients {
		if client.writingAnswer && client.request == nil && client.downloadConn == nil && client.upload == nil {
			count++
		}
	}
	return count
}

// reserveDescriptors closes connections until so many more descriptors are available, and reports whether they are.
func (n *Node) reserveDescriptors(more int) bool {
	return n.closeIdleConnections(more) || n.closeExpendableClients(more)
}

// closeIdleConnections is the part of reserveDescriptors that costs nobody a request. Connections that clients do not
// use go first: a new connection to a backend costs it work, and the next request time.
func (n *Node) closeIdleConnections(more int) bool {
	for n.exceedsDescriptorLimit(more) {
		if client := n.oldestIdleClient(&n.newClients, newConnGrace); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, minClientIdleTime); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.lingeringClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.idleBackends.Front(); element != nil {
			n.closeBackendConn(element.Value.(*backendConn), closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else {
			return false
		}
	}
	return true
}

// closeExpendableClients closes connections of clients that may be about to send a request, or have not read the end of
// their last answer.
func (n *Node) closeExpendableClients(more int) bool {
	for n.exceedsDescriptorLimit(more) {
		if client := n.oldestIdleClient(&n.newClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.lingeringClients.Front(); element != nil {
			element.Value.(*clientConn).close(closeForDescriptors)
		} else if client := n.oldestPartialRequest(); client != nil {
			client.close(closeForDescriptors)
		} else {
			return false
		}
	}
	return true
}
