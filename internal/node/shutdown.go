package node

import (
	"container/list"
	"time"

	"tulipglade/internal/safety"
)

// Steps of a drain, which a standby and the end of the process have in common, in microseconds from its start.
// Clients are sent elsewhere; what has been admitted is answered.
const (
	// idleCloseDelay is when idle connections are closed. Until then each answer closes its own: a close that crosses
	// a request rejects it, and the front end takes 0.3 s to send new connections elsewhere.
	idleCloseDelay = 500_000
	// rejectDelay is when new requests are rejected: 4 s after the start no client may be kept waiting, nor one whose
	// request came in the last 2 s of these.
	rejectDelay = 1_500_000
	// drainCheckInterval is the time between two checks of idle connections.
	drainCheckInterval = 100_000
	// partialRequestGrace bounds the wait for incomplete requests at the end of the process.
	partialRequestGrace = 2_000_000
)

// A process that has been told to end is killed no sooner than after the longest deadline, 3 s at most, and 0.7 s
// more (see the figures of the protocol), in microseconds. A request of the first 0.7 s may be unanswered then; a
// later one must be answered.
const (
	killDeadline         = 3_000_000
	killGrace            = 700_000
	finalAnswerMargin    = 100_000 // for the transmission of the last answers
	partialRequestMargin = 300_000 // so long before it, connections with an incomplete request are closed
)

// drainState is the progress of a graceful shutdown, or of a standby.
type drainState struct {
	active               bool // /ready answers 503, and each answer closes its connection
	rejecting            bool // new requests are rejected
	stopping             bool // the process ends; otherwise this is a standby
	startedAt            int64
	generation           int   // counts drains: the timers of an earlier one have no effect
	stopRequestedAt      int64 // when the process was told to end
	partialRequestsUntil int64 // until when the end of the process waits for incomplete requests
	answersDueBy         int64 // when all requests must be answered, and all answers read
	closingAll           bool  // all requests are answered: every connection is being closed
	onDrained            func()
}

// Drain starts a graceful shutdown: it drains as Standby does and calls done, at the earliest after grace, once all
// admitted requests are answered.
func (n *Node) Drain(grace time.Duration, done func()) {
	n.postPriority(func() {
		if n.drain.stopping {
			return
		}
		n.startDraining("draining")
		n.drain.stopping = true
		now := n.now()
		n.drain.setDeadlines(now, n.longestDeadline())
		n.scheduleAt(max(now+grace.Microseconds(), n.drain.startedAt+idleCloseDelay), func() { n.drain.onDrained = done })
	})
}

// setDeadlines derives the deadlines of a shutdown from its start and the longest deadline of a request.
func (d *drainState) setDeadlines(now, longestDeadline int64) {
	killedAt := now + min(longestDeadline, killDeadline) + killGrace
	d.stopRequestedAt = now
	d.answersDueBy = killedAt - finalAnswerMargin
	d.partialRequestsUntil = min(now+partialRequestGrace, killedAt-partialRequestMargin)
}

// startDraining begins a drain unless one is in progress.
func (n *Node) startDraining(message string) {
	if n.drain.active {
		return
	}
	n.log.Info(message, "open", n.openRequests, "clients", len(n.clients))
	generation := n.drain.generation + 1
	n.drain = drainState{active: true, startedAt: n.now(), generation: generation}
	n.scheduleAt(n.drain.startedAt+idleCloseDelay, func() { n.drainTick(generation) })
}

// drainTick closes idle connections, again and again until the drain is over.
func (n *Node) drainTick(generation int) {
	if !n.drain.active || n.drain.generation != generation {
		return
	}
	now := n.now()
	n.drain.rejecting = now-n.drain.startedAt >= rejectDelay
	n.closeIdleClients()
	n.scheduleAt(now+drainCheckInterval, func() { n.drainTick(generation) })
}

// closeIdleClients closes connections that hold no request, not even a part of one, except new ones on which the
// first request is expected.
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

// checkDrained ends a graceful shutdown in this order: all requests are answered; every connection is closed
// gracefully, new ones too; all clients have seen that and closed their side. What crosses this is never read, and
// its client sees an orderly end of the connection: the end of the process would reset it.
func (n *Node) checkDrained() {
	now := n.now()
	if n.drain.onDrained == nil || n.openRequests > 0 || n.answersInProgress > 0 {
		return
	}
	if now < n.drain.partialRequestsUntil && n.hasIncomingRequest() {
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

// closeClientsGracefully closes all connections on which no request or answer is in progress, and returns the number
// of the others. A request that came before its connection could be closed is rejected, not dropped.
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

// answerDeadline is when a request whose last byte came at a time must be answered: by its deadline, and during a
// shutdown before the process is killed.
func (n *Node) answerDeadline(receivedAt, deadline int64) int64 {
	if n.drain.stopping && receivedAt >= n.drain.stopRequestedAt+killGrace {
		return min(deadline, n.drain.answersDueBy)
	}
	return deadline
}

// longestDeadline is the longest deadline of any class.
func (n *Node) longestDeadline() (longest int64) {
	for i := range n.settings.Balancer.Classes {
		longest = max(longest, n.settings.Balancer.Classes[i].Deadline)
	}
	return longest
}

// hasIncomingRequest reports whether a part of a request has come from a client, or is expected on a new connection.
func (n *Node) hasIncomingRequest() bool {
	for client := range n.clients {
		if client.state != clientLingering && (client.input != nil || client.unreadInput() > 0 || client.upload != nil || client.isNew()) {
			return true
		}
	}
	return false
}

// isNew reports whether the connection was accepted a short time ago and has not sent a request yet.
func (c *clientConn) isNew() bool {
	return !c.hasSentRequest && c.node.now()-c.requestStartedAt < idleCloseDelay
}
