package node

// listFreshness tracks whether the endpoint list is current, and what has been logged about it.
type listFreshness struct {
	processStartedAt int64
	everCurrent      bool // the list has been current at least once since the start
	stale            bool // the list is not current any more, and this has been logged
	staleSince       int64
}

// readyTimeout is how long a process that has just started waits for a confirmed list before it accepts clients
// without one, in microseconds: nine in ten restarted processes are to be ready within 6 s.
const readyTimeout = 4_500_000

// updateListFreshness logs when the endpoint list stops or starts being current.
func (n *Node) updateListFreshness() {
	now := n.now()
	current, _ := n.balancer.ListCurrent(now)
	switch {
	case current && n.listFreshness.stale:
		n.log.Warn("endpoint list current again", "stale_for_us", now-n.listFreshness.staleSince)
		n.listFreshness.stale = false
	case !current && n.listFreshness.everCurrent && !n.listFreshness.stale:
		n.log.Warn("endpoint list stale", "rev", n.listRevision, "open", n.openRequests)
		n.listFreshness.stale, n.listFreshness.staleSince = true, now
	}
	n.listFreshness.everCurrent = n.listFreshness.everCurrent || current
}

// ready reports whether clients may be sent here: an endpoint is known, and the list was found current or could not
// be confirmed in time.
func (n *Node) ready() bool {
	if n.drain.active || !n.endpointsKnown {
		return false
	}
	current, _ := n.balancer.ListCurrent(n.now())
	return current || n.listFreshness.everCurrent || n.now()-n.listFreshness.processStartedAt >= readyTimeout
}
