package node

// reservedDescriptors is the number of descriptors reserved for everything but connections to clients and backends:
// standard streams, poller, listener, discovery, and the few that the runtime opens.
const reservedDescriptors = 32

// descriptorLimit returns how many descriptors this process may hold; 0: unlimited.
func (n *Node) descriptorLimit() int {
	return max(n.settings.MaxDescriptors/max(n.processCount, 1), min(n.settings.MaxDescriptors, reservedDescriptors+minServingDescriptors))
}

// minServingDescriptors is the minimum number of descriptors that each process has for clients and backends, however
// many processes share the descriptors.
const minServingDescriptors = 16

// countConnections counts connections as opened, or as closed if the number is negative.
func (n *Node) countConnections(opened int) {
	n.openDescriptors += opened
	n.memory.add(opened * connectionMemory)
}

// exceedsDescriptorLimit reports whether the node would exceed its limit with the given number of additional
// descriptors.
func (n *Node) exceedsDescriptorLimit(more int) bool {
	limit := n.descriptorLimit()
	return limit > 0 && n.openDescriptors+more > limit-reservedDescriptors
}

// maxSurplusClients is how many descriptors a node may temporarily hold beyond its limit, so that a connection that has
// just been accepted need not be closed before its request is read. It stays open until another connection is known to
// be idle, or until its request is rejected. These descriptors come out of reservedDescriptors, as those of
// maxPendingAccepts do; a process without clients and backends was found to use 14 of the reserved ones.
const maxSurplusClients = 8

// surplusDescriptors returns by how many descriptors the node would exceed its limit with the given number of
// additional ones.
func (n *Node) surplusDescriptors(more int) int {
	limit := n.descriptorLimit()
	if limit <= 0 {
		return 0
	}
	return max(n.openDescriptors+more-(limit-reservedDescriptors), 0)
}

// reserveForDial closes connections if a dial to a backend needs a descriptor, and reports whether the dial may start:
// a descriptor is available, or will be as soon as the writes of answers in progress are reported.
func (n *Node) reserveForDial() bool {
	return n.closeIdleConnections(1) ||
		n.surplusDescriptors(1) <= min(maxSurplusClients, n.answersBeingWritten()) ||
		n.closeExpendableClients(1)
}

// reserveForAccepted closes connections if a connection that has just been accepted needs a descriptor, and reports
// whether the accepted connection may stay open.
func (n *Node) reserveForAccepted() bool {
	return n.closeIdleConnections(0) || n.surplusDescriptors(0) <= maxSurplusClients || n.closeExpendableClients(0)
}

// mustRejectForDescriptors reports whether a request must be rejected because its connection was accepted beyond the
// descriptor limit and still exceeds it: no idle connection could be closed for it, and answers that are being written
// will not release enough descriptors.
func (c *clientConn) mustRejectForDescriptors() bool {
	if !c.acceptedOverLimit {
		return false
	}
	c.acceptedOverLimit = !c.node.closeIdleConnections(0)
	return c.acceptedOverLimit && c.node.surplusDescriptors(0) > c.node.answersBeingWritten()
}

// answersBeingWritten returns the number of client connections whose answer was passed to a writer that has not
// reported the end of the write. Their clients may already have read the whole answer.
func (n *Node) answersBeingWritten() (count int) {
	for client := range n.clients {
		if client.writingAnswer && client.request == nil && client.downloadConn == nil && client.upload == nil {
			count++
		}
	}
	return count
}

// reserveDescriptors closes connections until the given number of additional descriptors is available, and reports
// whether it is.
func (n *Node) reserveDescriptors(more int) bool {
	return n.closeIdleConnections(more) || n.closeExpendableClients(more)
}

// closeIdleConnections is the first step of reserveDescriptors: it closes only connections whose loss affects no
// request. Connections that clients have not used for a while are closed before idle backend connections, because a new
// backend connection costs the backend work and delays the next request.
func (n *Node) closeIdleConnections(more int) bool {
	for n.exceedsDescriptorLimit(more) {
		if client := n.oldestIdleClient(&n.newClients, newConnGrace); client != nil {
			client.close(closeDescriptorNeeded)
		} else if client := n.oldestIdleClient(&n.idleClients, minClientIdleTime); client != nil {
			client.close(closeDescriptorNeeded)
		} else if client := n.oldestIdleClient(&n.lingeringClients, 0); client != nil {
			client.close(closeDescriptorNeeded)
		} else if element := n.idleBackends.Front(); element != nil {
			n.closeBackendConn(element.Value.(*backendConn), closeDescriptorNeeded)
		} else if client := n.oldestIdleClient(&n.idleClients, 0); client != nil {
			client.close(closeDescriptorNeeded)
		} else {
			return false
		}
	}
	return true
}

// closeExpendableClients is the second step of reserveDescriptors: it closes connections of clients that may be about
// to send a request, have not read the end of their last answer, or have sent an incomplete request, in this order.
func (n *Node) closeExpendableClients(more int) bool {
	for n.exceedsDescriptorLimit(more) {
		if client := n.oldestIdleClient(&n.newClients, 0); client != nil {
			client.close(closeDescriptorNeeded)
		} else if element := n.lingeringClients.Front(); element != nil {
			element.Value.(*clientConn).close(closeDescriptorNeeded)
		} else if client := n.oldestPartialRequest(); client != nil {
			client.close(closeDescriptorNeeded)
		} else {
			return false
		}
	}
	return true
}
