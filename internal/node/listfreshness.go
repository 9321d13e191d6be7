package node

// listFreshness tracks whether the endpoint list is current, and what has been logged about it.
type listFreshness struct {
	processStartedAt    int64
	everCurrent         bool // the list has been current at least once since the start
	stale               bool // the list is not current any more, and this has been logged
	addressChanged      bool // discovery has a new address: its revisions may be lower and yet newer
	consecutiveOutdated int  // answers in a row that were older than the latest list
	staleSince          int64
}

// maxConsecutiveOutdated is how many answers in a row may be older than the latest list without counting as evidence
// of what is current. A discovery server that stays behind has been restarted with other revisions or has nothing
// newer; waiting for it without end would stop the service.
const maxConsecutiveOutdated = 1

// observeRevision records the revision of an answer and reports whether the answer is no evidence of what is current.
func (l *listFreshness) observeRevision(revision, newest int64) (stale bool) {
	if revision >= newest || l.addressChanged {
		l.consecutiveOutdated = 0
		return false
	}
	l.consecutiveOutdated++
	return l.consecutiveOutdated <= maxConsecutiveOutdated
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
