package node

import (
	"container/list"
	"errors"
	"time"

	"tulipglade/internal/safety"
)

// A node leaves in one way, whoever asks it to: an operator's standby, which /active takes back, or the end of the
// process. Clients are sent away; what has been taken is answered.
const (
	// drainCloses is when idle connections close, in microseconds from the call. Until then each answer closes its own:
	// a close that crosses a request turns that back, and the front sends new connections for 0.3 s.
	drainCloses = 500_000
	// drainRefuses is when requests that still come are refused: 4 s after the call no client may be held, nor one whose
	// request came in the last 2 s of these.
	drainRefuses = 1_500_000
	// drainEvery is how often connections are looked at from then on.
	drainEvery = 100_000
	// drainPartly bounds the wait, at a stop, for requests that are still coming in.
	drainPartly = 2_000_000
)

// A process that has been told to end is killed no sooner than the longest deadline, 3 s at most, and 0.7 s later (protocol, figures). What came
// in those 0.7 s may be open then; what came later must have its answer.
const (
	killDeadline = 3_000_000
	killGrace    = 700_000
	killSpare    = 100_000 // for the last answers' way out
	killShut     = 300_000 // so long before it, connections are shut that still hold a part of a request
)

// drain is where a node stands on its way out of service.
type drain struct {
	on       bool  // /ready says no, and each answer closes its connection
	late     bool  // what still comes is refused
	stopping bool  // the process ends; otherwise it is a standby
	since    int64 // when it began
	turn     int   // counts drains: the timers of an earlier one do nothing
	told     int64 // when the process was told to end
	partly   int64 // until when a stop waits for what is coming in
	end      int64 // by when all must have been answered, and last answers been read
	ending   bool  // all has been answered, and nobody is heard any more
	drained  func()
}

// What an operator can be told.
var (
	errNoList   = errors.New("no backend has been named yet")
	errStopping = errors.New("the process is stopping")
)

// Status tells whether this process can serve: it has been told of a backend, and is not about to end. That it is in
// standby does not count.
func (n *Node) Status(reply func(error)) {
	n.ask(func() {
		switch {
		case n.drain.stopping:
			reply(errStopping)
		case !n.listed:
			reply(errNoList)
		default:
			reply(nil)
		}
	})
}

// Standby sends clients away until Active. Where the node is on its way out already, nothing changes.
func (n *Node) Standby(reply func(error)) {
	n.ask(func() {
		n.leave("standby")
		reply(nil)
	})
}

// Active takes a standby back, at any point of it. A stop can't be taken back.
func (n *Node) Active(reply func(error)) {
	n.ask(func() {
		if n.drain.stopping {
			reply(errStopping)
			return
		}
		if n.drain.on {
			n.drain = drain{turn: n.drain.turn}
			n.log.Info("active", "open", n.open, "clients", len(n.clients))
		}
		reply(nil)
	})
}

// Drain makes the node leave for good: as Standby does, and after grace done is called as soon as all that was taken
// has been answered.
func (n *Node) Drain(grace time.Duration, done func()) {
	n.ask(func() {
		if n.drain.stopping {
			return
		}
		n.leave("draining")
		n.drain.stopping = true
		now := n.now()
		killed := now + min(n.longest(), killDeadline) + killGrace
		n.drain.told, n.drain.end = now, killed-killSpare
		n.drain.partly = min(now+drainPartly, killed-killShut)
		n.at(max(now+grace.Microseconds(), n.drain.since+drainCloses), func() { n.drain.drained = done })
	})
}

// leave begins a drain, if none is on.
func (n *Node) leave(why string) {
	if n.drain.on {
		return
	}
	n.log.Info(why, "open", n.open, "clients", len(n.clients))
	turn := n.drain.turn + 1
	n.drain = drain{on: true, since: n.now(), turn: turn}
	n.at(n.drain.since+drainCloses, func() { n.sendAway(turn) })
}

// sendAway closes what is idle, again and again until the drain is over.
func (n *Node) sendAway(turn int) {
	if !n.drain.on || n.drain.turn != turn {
		return
	}
	now := n.now()
	n.drain.late = now-n.drain.since >= drainRefuses
	n.closeIdleClients()
	n.at(now+drainEvery, func() { n.sendAway(turn) })
}

// closeIdleClients closes the connections that hold nothing, not even a part of a request, but for new ones that are
// about to ask.
func (n *Node) closeIdleClients() {
	for _, l := range []*list.List{&n.fresh, &n.idleClients} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*client)
			e = e.Next()
			if (!c.isFresh() || n.drain.late) && c.in == nil && c.mayClose() == safety.Allowed {
				c.shut(endDrain)
			}
		}
	}
}

// checkDrained ends a stop in this order: all is answered; every connection is shut, also such as have just come; their clients have seen
// that, and closed. What crosses this is never read, and its client sees an end in order: a process that ends would reset it.
func (n *Node) checkDrained() {
	now := n.now()
	if n.drain.drained == nil || n.open > 0 || n.writing > 0 || now < n.drain.partly && n.comingIn() {
		return
	}
	n.drain.ending = true
	asking := n.shutClients()
	if now < n.drain.end && asking+n.lingering.Len() > 0 {
		return
	}
	done := n.drain.drained
	n.drain.drained = nil
	done()
}

// shutClients shuts all connections but those on which something is on its way still, and returns how many of these there are. What has come before
// its connection is shut is refused, not dropped.
func (n *Node) shutClients() (asking int) {
	for c := range n.clients {
		switch {
		case c.lingering:
		case c.mayClose() == safety.Allowed:
			c.shut(endDrain)
		default:
			asking++
		}
	}
	return asking
}

// answerBy is by when a request whose last byte came at a time must have its answer: by its deadline, and in a stop before the process is
// killed.
func (n *Node) answerBy(at, deadline int64) int64 {
	if n.drain.stopping && at >= n.drain.told+killGrace {
		return min(deadline, n.drain.end)
	}
	return deadline
}

// longest is the longest deadline there is.
func (n *Node) longest() (most int64) {
	for i := range n.set.Balancer.Classes {
		most = max(most, n.set.Balancer.Classes[i].Deadline)
	}
	return most
}

// comingIn tells whether a part of a request has come from a client, or is about to.
func (n *Node) comingIn() bool {
	for c := range n.clients {
		if !c.lingering && (c.in != nil || c.unread() > 0 || c.upload != nil || c.isFresh()) {
			return true
		}
	}
	return false
}

// isFresh tells that a connection has come just now and has not asked yet.
func (c *client) isFresh() bool { return !c.asked && c.n.now()-c.since < drainCloses }
