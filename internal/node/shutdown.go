package node

import (
	"container/list"
	"time"

	"tulipglade/internal/safety"
)

// Steps of a drain, in microseconds from its start. A standby and the shutdown of the process drain in the same way:
// clients are directed to other nodes, and all requests that were admitted are answered.
const (
	// idleCloseDelay is the time after which idle connections are closed. Until then a connection is only closed after
	// an answer on it: a request that crosses the close of its connection gets no answer, and the frontend takes 0.3 s
	// to direct new connections to other nodes.
	idleCloseDelay = 500_000
	// rejectDelay is the time after which new requests are rejected, because 4 s after the start no client may still be
	// waiting for an answer, not even one whose request arrived in the last 2 s of that time.
	rejectDelay = 1_500_000
	// drainCheckInterval is the time between two checks for idle connections.
	drainCheckInterval = 100_000
	// partialRequestGrace bounds how long a shutdown waits for the rest of incomplete requests.
	partialRequestGrace = 2_000_000
)

// Limits of a shutdown, in microseconds. A process that was told to end is killed no sooner than 0.7 s after the
// longest deadline of a request, which counts as 3 s at most (see the figures of the protocol). A request that arrives
// in the first 0.7 s may still be unanswered then; one that arrives later must be answered.
const (
	killDeadline         = 3_000_000
	killGrace            = 700_000
	finalAnswerMargin    = 100_000 // time before the kill that is reserved for the transmission of the last answers
	lastAnswerReadTime   = 50_000  // part of finalAnswerMargin for which a client may take to read an answer
	endCheckInterval     = 10_000  // time between two checks of whether the shutdown can end, once answers are due
	partialRequestMargin = 300_000 // time before the kill at which connections with an incomplete request are closed
)

// drainState is the progress of a graceful shutdown or of a standby.
type drainState struct {
	active               bool // a drain is in progress: /ready answers 503, and each answer closes its connection
	rejecting            bool // new requests are rejected
	stopping             bool // this is a shutdown; otherwise it is a standby
	startedAt            int64
	generation           int    // number of drains so far: timers of an earlier drain have no effect
	stopRequestedAt      int64  // when the process was told to end
	partialRequestsUntil int64  // until when a shutdown waits for incomplete requests
	answersDueBy         int64  // when all requests must be answered; clients have lastAnswerReadTime more to read the answers
	closingAll           bool   // all requests are answered, and every connection is being closed
	onDrained            func() // called at the end of a shutdown; nil: not to be called yet, or called already
}

// Drain starts a graceful shutdown. It drains the node as Standby does, and calls done once all admitted requests are
// answered and clients have closed their connections or the time for that is over, but not before grace and
// idleCloseDelay have passed.
func (n *Node) Drain(grace time.Duration, done func()) {
	n.postPriority(func() {
		if n.drain.stopping {
			return
		}
		n.startDraining("draining")
		n.drain.stopping = true
		now := n.now()
		n.drain.setDeadlines(now, n.longestDeadline())
		n.scheduleAt(n.drain.answersDueBy, n.endTick)
		n.scheduleAt(max(now+grace.Microseconds(), n.drain.startedAt+idleCloseDelay), func() { n.drain.onDrained = done })
	})
}

// setDeadlines sets the deadlines of a shutdown that starts now; longestDeadline is the longest deadline of a request.
func (d *drainState) setDeadlines(now, longestDeadline int64) {
	killedAt := now + min(longestDeadline, killDeadline) + killGrace
	d.stopRequestedAt = now
	d.answersDueBy = killedAt - finalAnswerMargin
	d.partialRequestsUntil = min(now+partialRequestGrace, killedAt-partialRequestMargin)
}

// startDraining begins a drain and logs the message, unless a drain is in progress.
func (n *Node) startDraining(message string) {
	if n.drain.active {
		return
	}
	n.log.Info(message, "open", n.openRequests, "clients", len(n.clients))
	generation := n.drain.generation + 1
	n.drain = drainState{active: true, startedAt: n.now(), generation: generation}
	n.scheduleAt(n.drain.startedAt+idleCloseDelay, func() { n.drainTick(generation) })
}

// drainTick closes idle connections and, after rejectDelay, starts rejecting new requests. It reschedules itself until
// the drain with this generation is over.
func (n *Node) drainTick(generation int) {
	if !n.drain.active || n.drain.generation != generation {
		return
	}
	now := n.now()
	n.drain.rejecting = now-n.drain.startedAt >= rejectDelay
	n.closeIdleClients()
	n.scheduleAt(now+drainCheckInterval, func() { n.drainTick(generation) })
}

// endTick checks whether the shutdown can end, and reschedules itself until it has ended.
func (n *Node) endTick() {
	n.checkDrained()
	if n.drain.onDrained != nil {
		n.scheduleAt(n.now()+endCheckInterval, n.endTick)
	}
}

// closeIdleClients closes client connections on which no request is in progress, not even an incomplete one. Until new
// requests are rejected, it spares new connections, on which the first request is expected.
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

// checkDrained advances a graceful shutdown, in this order: all requests are answered; all connections are closed
// gracefully, including new ones; all clients have noticed this and closed their side. A request that crosses the close
// is never processed, and its client sees an orderly end of the connection, whereas the end of the process would reset
// it.
func (n *Node) checkDrained() {
	now := n.now()
	if n.drain.onDrained == nil || n.openRequests > 0 {
		return
	}
	if n.answersInProgress > 0 {
		if now >= n.drain.answersDueBy {
			n.abortUnreadAnswers()
		}
		return
	}
	if now < n.drain.partialRequestsUntil && n.hasIncomingRequest() {
		return
	}
	n.drain.closingAll = true
	busy := n.closeClientsGracefully()
	if now < n.drain.answersDueBy+lastAnswerReadTime && busy+n.lingeringClients.Len() > 0 {
		return
	}
	onDrained := n.drain.onDrained
	n.drain.onDrained = nil
	onDrained()
}

// abortUnreadAnswers closes the connections of clients that have not read their answers by the end of a shutdown, each
// of them lastAnswerReadTime after its answer began at the earliest. The connections are reset, so that their clients
// can tell that the answers are incomplete.
func (n *Node) abortUnreadAnswers() {
	now := n.now()
	for client := range n.clients {
		if client.writingAnswer && now-client.answerStartedAt >= lastAnswerReadTime {
			client.resetOnClose()
			client.close(closeAnswerTruncated)
		}
	}
}

// closeClientsGracefully closes all client connections on which no request or answer is in progress, and returns the
// number of connections that are still busy. A request that arrived before its connection could be closed is rejected
// rather than dropped.
func (n *Node) closeClientsGracefully() (busy int) {
	for client := range n.clients {
		switch {
		case client.state == clientLingering:
		case client.mayClose() != safety.Allowed:
			busy++
		case client.input != nil: // the client may be writing the rest of its request
			client.rejectInput(503, "not in service")
			busy++
		default:
			client.closeGracefully(closeDraining)
		}
	}
	return busy
}

// answerDeadline returns when a request must be answered whose last byte arrived at receivedAt: by its deadline, and if
// it arrived killGrace or more after the start of a shutdown, also before the process can be killed.
func (n *Node) answerDeadline(receivedAt, deadline int64) int64 {
	if n.drain.stopping && receivedAt >= n.drain.stopRequestedAt+killGrace {
		return min(deadline, n.drain.answersDueBy)
	}
	return deadline
}

// longestDeadline returns the longest deadline of all classes.
func (n *Node) longestDeadline() (longest int64) {
	for i := range n.settings.Balancer.Classes {
		longest = max(longest, n.settings.Balancer.Classes[i].Deadline)
	}
	return longest
}

// hasIncomingRequest reports whether any client has sent a part of a request, or has just connected and is expected to
// send one.
func (n *Node) hasIncomingRequest() bool {
	for client := range n.clients {
		if client.state != clientLingering && (client.input != nil || client.unreadInput() > 0 || client.upload != nil || client.isNew()) {
			return true
		}
	}
	return false
}

// isNew reports whether the connection was accepted less than idleCloseDelay ago and no request has arrived on it yet.
func (c *clientConn) isNew() bool {
	return !c.hasSentRequest && c.node.now()-c.requestStartedAt < idleCloseDelay
}
