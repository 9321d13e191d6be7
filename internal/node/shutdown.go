package node

import (
	"container/list"
	"time"

	"tulipglade/internal/safety"
)

// A node leaves in one way, whoever asks it to: an operator's standby, which /active takes back, or the end of the
// process. Clients are sent away; what has been taken is answered.
const (
	// idleCloseDelay is when idle connections close, in microseconds from the call. Until then each answer closes its own:
	// a close that crosses a request turns that back, and the front sends new connections for 0.3 s.
	idleCloseDelay = 500_000
	// rejectDelay is when requests that still come are refused: 4 s after the call no client may be held, nor one whose
	// request came in the last 2 s of these.
	rejectDelay = 1_500_000
	// drainCheckInterval is how often connections are looked at from then on.
	drainCheckInterval = 100_000
	// partialRequestGrace bounds the wait, at a stop, for requests that are still coming in.
	partialRequestGrace = 2_000_000
)

// A process that has been told to end is killed no sooner than the longest deadline, 3 s at most, and 0.7 s later (protocol, figures). What came
// in those 0.7 s may be open then; what came later must have its answer.
const (
	killDeadline         = 3_000_000
	killGrace            = 700_000
	finalAnswerMargin    = 100_000 // for the last answers' way out
	partialRequestMargin = 300_000 // so long before it, connections are shut that still hold a part of a request
)

// drainState is where a node stands on its way out of service.
type drainState struct {
	active               bool  // /ready says no, and each answer closes its connection
	rejecting            bool  // what still comes is refused
	stopping             bool  // the process ends; otherwise it is a standby
	startedAt            int64 // when it began
	generation           int   // counts drains: the timers of an earlier one do nothing
	stopRequestedAt      int64 // when the process was told to end
	partialRequestsUntil int64 // until when a stop waits for what is coming in
	answersDueBy         int64 // by when all must have been answered, and last answers been read
	closingAll           bool  // all has been answered, and nobody is heard any more
	onDrained            func()
}

// Drain makes the node leave for good: as Standby does, and after grace done is called as soon as all that was taken
// has been answered.
func (n *Node) Drain(grace time.Duration, done func()) {
	n.postPriority(func() {
		if n.drain.stopping {
			return
		}
		n.startDraining("draining")
		n.drain.stopping = true
		now := n.now()
		killed := now + min(n.longestDeadline(), killDeadline) + killGrace
		n.drain.stopRequestedAt, n.drain.answersDueBy = now, killed-finalAnswerMargin
		n.drain.partialRequestsUntil = min(now+partialRequestGrace, killed-partialRequestMargin)
		n.scheduleAt(max(now+grace.Microseconds(), n.drain.startedAt+idleCloseDelay), func() { n.drain.onDrained = done })
	})
}

// startDraining begins a drain, if none is on.
func (n *Node) startDraining(message string) {
	if n.drain.active {
		return
	}
	n.log.Info(message, "open", n.openRequests, "clients", len(n.clients))
	generation := n.drain.generation + 1
	n.drain = drainState{active: true, startedAt: n.now(), generation: generation}
	n.scheduleAt(n.drain.startedAt+idleCloseDelay, func() { n.drainTick(generation) })
}

// drainTick closes what is idle, again and again until the drain is over.
func (n *Node) drainTick(generation int) {
	if !n.drain.active || n.drain.generation != generation {
		return
	}
	now := n.now()
	n.drain.rejecting = now-n.drain.startedAt >= rejectDelay
	n.closeIdleClients()
	n.scheduleAt(now+drainCheckInterval, func() { n.drainTick(generation) })
}

// closeIdleClients closes the connections that hold nothing, not even a part of a request, but for new ones that are
// about to ask.
func (n *Node) closeIdleClients() {
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; {
			client := element.Value.(*clientConn)
			element = element.Next()
			if (!client.isNew() || n.drain.rejecting) && client.input == nil && client.mayClose() == safety.Allowed {
				client.closeGracefully(closeDraining)
			}
		}
	}
}

// checkDrained ends a stop in this order: all is answered; every connection is shut, also such as have just come; their clients have seen
// that, and closed. What crosses this is never read, and its client sees an end in order: a process that ends would reset it.
func (n *Node) checkDrained() {
	now := n.now()
	if n.drain.onDrained == nil || n.openRequests > 0 || n.answersInProgress > 0 || now < n.drain.partialRequestsUntil && n.hasIncomingRequest() {
		return
	}
	n.drain.closingAll = true
	busy := n.closeClientsGracefully()
	if now < n.drain.answersDueBy && busy+n.lingeringClients.Len() > 0 {
		return
	}
	onDrained := n.drain.onDrained
	n.drain.onDrained = nil
	onDrained()
}

// closeClientsGracefully shuts all connections but those on which something is on its way still, and returns how many of these there are. What has come before
// its connection is shut is refused, not dropped.
func (n *Node) closeClientsGracefully() (busy int) {
	for client := range n.clients {
		switch {
		case client.state == clientLingering:
		case client.mayClose() == safety.Allowed:
			client.closeGracefully(closeDraining)
		default:
			busy++
		}
	}
	return busy
}

// answerDeadline is by when a request whose last byte came at a time must have its answer: by its deadline, and in a stop before the process is
// killed.
func (n *Node) answerDeadline(receivedAt, deadline int64) int64 {
	if n.drain.stopping && receivedAt >= n.drain.stopRequestedAt+killGrace {
		return min(deadline, n.drain.answersDueBy)
	}
	return deadline
}

// longestDeadline is the longest deadline there is.
func (n *Node) longestDeadline() (longest int64) {
	for i := range n.settings.Balancer.Classes {
		longest = max(longest, n.settings.Balancer.Classes[i].Deadline)
	}
	return longest
}

// hasIncomingRequest tells whether a part of a request has come from a client, or is about to.
func (n *Node) hasIncomingRequest() bool {
	for client := range n.clients {
		if client.state != clientLingering && (client.input != nil || client.unreadInput() > 0 || client.upload != nil || client.isNew()) {
			return true
		}
	}
	return false
}

// isNew tells that a connection has come just now and has not asked yet.
func (c *clientConn) isNew() bool {
	return !c.hasSentRequest && c.node.now()-c.requestStartedAt < idleCloseDelay
}
