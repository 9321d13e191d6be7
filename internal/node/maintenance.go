package node

// maintenanceInterval is the time between two runs of runMaintenance, in microseconds.
const maintenanceInterval = 250_000

// runMaintenance closes idle and stalled connections, updates the freshness of the endpoint list, deletes endpoints
// that were removed long ago, and logs how many warnings were suppressed. A backend connection is closed once it has
// been idle for half the time after which the backend would close it, because a request that crosses the backend's
// close ends in a reset. If connections have been observed to break sooner, they are closed sooner.
func (n *Node) runMaintenance() {
	n.scheduleAt(n.now()+maintenanceInterval, n.runMaintenance)
	for element := n.idleBackends.Front(); element != nil; element = n.idleBackends.Front() {
		conn := element.Value.(*backendConn)
		if n.now()-conn.idleSince < n.idleLimit() {
			break
		}
		n.closeBackendConn(conn, closeIdle)
	}
	n.closeStalledClients()
	if n.memory.isTight() { // also where no client sends a part of a request
		n.startRelief()
	}
	n.updateListFreshness()
	n.deleteExpiredEndpoints()
	for message, count := range n.warningCounts {
		if count > maxWarningsPerInterval {
			n.log.Warn("warnings suppressed", "message", message, "count", count-maxWarningsPerInterval)
		}
	}
	clear(n.warningCounts)
}

// maxWarningsPerInterval is the maximum number of warnings with the same message between two runs of runMaintenance.
const maxWarningsPerInterval = 5

// warnLimited logs a warning that a peer can cause at any rate. It drops those beyond maxWarningsPerInterval, whose
// number runMaintenance logs.
func (n *Node) warnLimited(message string, args ...any) {
	if n.warningCounts[message]++; n.warningCounts[message] <= maxWarningsPerInterval {
		n.log.Warn(message, args...)
	}
}
