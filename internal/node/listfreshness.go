package node

// listFreshness is what the node has said of the age of its list of backends.
type listFreshness struct {
	processStartedAt    int64 // when the process started
	everCurrent         bool  // requests have been sent by the list, or might have been
	stale               bool  // they are not now, and a line says so
	addressChanged      bool  // discovery has: versions of another may be lower and yet newer
	consecutiveOutdated int   // answers in a row that were older than the newest list heard of
	staleSince          int64
}

// maxConsecutiveOutdated is how many answers in a row may be older than the newest list without counting as word of what is current. A discovery that goes on to be
// behind has been restarted with other versions, or has nothing newer: to wait for it for ever would end the service.
const maxConsecutiveOutdated = 1

// observeRevision takes in the version of an answer, and tells whether it says nothing of what is current.
func (l *listFreshness) observeRevision(revision, newest int64) (stale bool) {
	if revision >= newest || l.addressChanged {
		l.consecutiveOutdated = 0
		return false
	}
	l.consecutiveOutdated++
	return l.consecutiveOutdated <= maxConsecutiveOutdated
}

// readyTimeout is how long a process that has just started waits for word of its list before it takes clients all the same, in
// microseconds: nine in ten restarted processes are to be ready within 6 s on short days.
const readyTimeout = 4_500_000

// updateListFreshness follows whether requests are sent by the list, and says when that changes.
func (n *Node) updateListFreshness() {
	now := n.now()
	current, _ := n.balancer.ListCurrent(now)
	switch {
	case current && n.listFreshness.stale:
		n.log.Warn("list of backends current again", "stale_for_us", now-n.listFreshness.staleSince)
		n.listFreshness.stale = false
	case !current && n.listFreshness.everCurrent && !n.listFreshness.stale:
		n.log.Warn("list of backends too old to send by", "rev", n.listRevision, "open", n.openRequests)
		n.listFreshness.stale, n.listFreshness.staleSince = true, now
	}
	n.listFreshness.everCurrent = n.listFreshness.everCurrent || current
}

// ready tells whether clients may come: a backend has been named, and the list has been found current or nobody could say so in time.
func (n *Node) ready() bool {
	if n.drain.active || !n.endpointsKnown {
		return false
	}
	current, _ := n.balancer.ListCurrent(n.now())
	return current || n.listFreshness.everCurrent || n.now()-n.listFreshness.processStartedAt >= readyTimeout
}
