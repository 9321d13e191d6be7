package node

// maintenanceInterval is how often idle connections are looked at, in microseconds.
const maintenanceInterval = 250_000

// runMaintenance looks after the connections that carry nothing. It closes backend connections that stood idle for half the time after which the backend would: a
// request written to one that is just being closed would end as a reset. Where they break sooner, they close sooner.
func (n *Node) runMaintenance() {
	n.scheduleAt(n.now()+maintenanceInterval, n.runMaintenance)
	for element := n.idleBackends.Front(); element != nil; element = n.idleBackends.Front() {
		conn := element.Value.(*backendConn)
		if n.now()-conn.idleSince < n.idleLimit() {
			break
		}
		n.closeBackend(conn, closeIdle)
	}
	n.closeStalledClients()
	n.updateListFreshness()
	n.deleteExpiredEndpoints()
	for message, count := range n.warningCounts {
		if count > maxWarningsPerInterval {
			n.log.Warn("lines left out", "of", message, "lines", count-maxWarningsPerInterval)
		}
	}
	clear(n.warningCounts)
}

// maxWarningsPerInterval is how many lines of one text are logged between two sweeps.
const maxWarningsPerInterval = 5

// warnLimited logs what a peer can cause as often as it likes.
func (n *Node) warnLimited(message string, args ...any) {
	if n.warningCounts[message]++; n.warningCounts[message] <= maxWarningsPerInterval {
		n.log.Warn(message, args...)
	}
}
