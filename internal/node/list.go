package node

import "github.com/cespare/xxhash/v2"

// listState is what the node has said of the age of its list of backends.
type listState struct {
	since   int64 // when the process started
	heard   bool  // requests have been sent by the list, or might have been
	stale   bool  // they are not now, and a line says so
	moved   bool  // discovery has: versions of another may be lower and yet newer
	behind  int   // answers in a row that were older than the newest list heard of
	staleAt int64
}

// behindMost is how many answers in a row may be older than the newest list without counting as word of what is current. A discovery that goes on to be
// behind has been restarted with other versions, or has nothing newer: to wait for it for ever would end the service.
const behindMost = 1

// noteVersion takes in the version of an answer, and tells whether it says nothing of what is current.
func (l *listState) noteVersion(rev, newest int64) (stale bool) {
	if rev >= newest || l.moved {
		l.behind = 0
		return false
	}
	l.behind++
	return l.behind <= behindMost
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

// tombstonesMost bounds the hosts that are remembered only as gone.
const tombstonesMost = 4096

// tombstones are hosts that have been gone for so long that nothing else is kept of them: a list that is older than the last must not bring them
// back, however late it comes. The oldest are dropped first.
type tombstones struct {
	boots map[uint64]int64 // when the host's last process started, by the hash of its id
	order []uint64
}

func (t *tombstones) add(uid string, boot int64) {
	if t.boots == nil {
		t.boots = map[uint64]int64{}
	}
	key := xxhash.Sum64String(uid)
	if _, there := t.boots[key]; !there {
		t.order = append(t.order, key)
	}
	t.boots[key] = boot
	if len(t.order) > tombstonesMost {
		delete(t.boots, t.order[0])
		t.order = t.order[1:]
	}
}

// has tells whether a host is known to have gone, and has not started again since.
func (t *tombstones) has(uid string, boot int64) bool {
	last, there := t.boots[xxhash.Sum64String(uid)]
	return there && boot <= last
}
