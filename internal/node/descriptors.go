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

// reserveDescriptors closes idle connections until so many more descriptors are available, and reports whether they
// are. Connections that clients do not use go first: a new connection to a backend costs it work, and the next
// request time.
func (n *Node) reserveDescriptors(more int) bool {
	for n.exceedsDescriptorLimit(more) {
		if client := n.oldestIdleClient(&n.newClients, newConnGrace); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, minClientIdleTime); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.lingeringClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.idleBackends.Front(); element != nil {
			n.closeBackend(element.Value.(*backendConn), closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.newClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.lingeringClients.Front(); element != nil {
			element.Value.(*clientConn).close(closeForDescriptors)
		} else {
			return false
		}
	}
	return true
}
