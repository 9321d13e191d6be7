package node

// listState is what the node has said of the age of its list of backends.
type listState struct {
	since   int64 // when the process started
	heard   bool  // requests have been sent by the list, or might have been
	stale   bool  // they are not now, and a line says so
	staleAt int64
}

// readyWithin is how long a process that has just started waits for word of its list before it takes clients all the same, in
// microseconds: nine in ten restarted processes are to be ready within 6 s on short days.
const readyWithin = 4_500_000

// noteList follows whether requests are sent by the list, and says when that changes.
func (n *Node) noteList() {
	now := n.now()
	current, _ := n.bal.ListCurrent(now)
	switch {
	case current && n.list.stale:
		n.log.Warn("list of backends current again", "stale_for_us", now-n.list.staleAt)
		n.list.stale = false
	case !current && n.list.heard && !n.list.stale:
		n.log.Warn("list of backends too old to send by", "rev", n.rev, "open", n.open)
		n.list.stale, n.list.staleAt = true, now
	}
	n.list.heard = n.list.heard || current
}

// ready tells whether clients may come: a backend has been named, and the list has been found current or nobody could say so in time.
func (n *Node) ready() bool {
	if n.drain.on || !n.listed {
		return false
	}
	current, _ := n.bal.ListCurrent(n.now())
	return current || n.list.heard || n.now()-n.list.since >= readyWithin
}
