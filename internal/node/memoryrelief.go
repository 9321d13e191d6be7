package node

import (
	"cmp"
	"os"
	"slices"

	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// When memory is tight, incomplete requests give way. A client that has stopped within its request is rejected, the one
// that stopped first before others. A client that goes on sending is paused: the rest of its request stays in the
// kernel's buffers. Paused clients continue in order as memory is released, and a part of the memory is reserved for
// them, so that requests are completed however many have begun.

const (
	// maxSmallRequest is how much memory an incomplete request may occupy without giving way, in bytes.
	maxSmallRequest = 4 << 10
	// minStallTime is how long a client must have sent nothing of its incomplete request to count as stopped, in
	// microseconds.
	minStallTime = 300_000
	// reliefInterval is the time between two checks while memory is tight or clients are paused, in microseconds.
	reliefInterval = 20_000
	// maxWaitAge is the age of a request, or of a connection that was never read, at which its client does not wait for
	// memory any longer but is rejected, in microseconds. A client that sends no complete request is owed an error within
	// 3 s, of which a busy machine takes some before the connection is accepted.
	maxWaitAge = 2_000_000
	// maxStoppedAge is the age at which a client that has sent nothing for minLateStallTime is rejected whether or not
	// memory is tight: it may have waited before. Both are in microseconds.
	maxStoppedAge    = 2_200_000
	minLateStallTime = 100_000
	// reliefTail is how long the relief goes on after memory was tight last, in microseconds: the time within which
	// clients are owed an answer that could not be read meanwhile.
	reliefTail = 3_000_000
)

// pausedInput is the state of a client connection that is not read for lack of memory. It is detached from the poller.
type pausedInput struct {
	bufferedInput // input that was posted or read before the connection was detached
	pausedAt      int64
}

// makeRoom is called when a client has sent a part of a request. If memory is tight, it pauses the client and lets
// others give way.
func (c *clientConn) makeRoom() {
	if !c.node.memory.isTight() {
		return
	}
	c.node.startRelief()
	if c.node.memory.isTight() && c.mustGiveWay() && !c.usesReserve && c.descriptor == nil {
		c.pause()
	}
}

// mustGiveWay reports whether the client has sent a part of a request that occupies a considerable amount of memory, and
// is not paused already.
func (c *clientConn) mustGiveWay() bool {
	isReceiving := c.state == clientOpen && c.request == nil && !c.writingAnswer && c.upload == nil && c.paused == nil
	return isReceiving && c.input != nil && len(c.input.data) > maxSmallRequest
}

// pause stops reading from the client until resume is called.
func (c *clientConn) pause() {
	c.paused = &pausedInput{pausedAt: c.node.now()}
	c.readingStopped()
	c.node.pausedClients = append(c.node.pausedClients, c)
	c.detach(func(descriptor *os.File, rest []byte, err error) {
		c.node.report(reportDetached, func() { c.pauseDetached(descriptor, rest, err) })
	}) // if the connection has ended, handleDisconnect is called instead
}

// pauseDetached continues pause after the connection has been detached from the poller.
func (c *clientConn) pauseDetached(descriptor *os.File, rest []byte, err error) {
	if !c.acceptDescriptor(descriptor, err) {
		return
	}
	c.paused.add(c.node.memory, rest)
}

// resume continues to read from a paused client.
func (c *clientConn) resume() {
	paused := c.paused
	if !c.rejoinPoller() {
		return
	}
	c.paused = nil
	c.setUsesReserve(true)
	c.readingResumed()
	for _, piece := range paused.pieces {
		c.receive(piece, paused.pausedAt) // releases the piece
	}
}

// setUsesReserve sets whether the client's request is read on although the memory account is exhausted.
func (c *clientConn) setUsesReserve(usesReserve bool) {
	if c.usesReserve == usesReserve {
		return
	}
	c.usesReserve = usesReserve
	c.limiter.setGivesWay(!usesReserve)
	if usesReserve {
		c.node.reserveUsers++
	} else {
		c.node.reserveUsers--
	}
}

// releasePausedInput drops the input of a client that is paused.
func (c *clientConn) releasePausedInput() {
	if c.paused != nil {
		c.paused.release()
	}
}

// startRelief starts to make room, unless that is going on already.
func (n *Node) startRelief() {
	if !n.relieving {
		n.relieving = true
		n.relieveMemory()
	}
}

// relieveMemory rejects clients that have stopped within a request while memory is tight, and lets paused clients
// continue as far as there is memory. It reschedules itself until memory has not been tight and no client has been paused
// for reliefTail.
func (n *Node) relieveMemory() {
	if n.memory.isTight() || len(n.pausedClients) > 0 {
		n.memoryTightAt = n.now()
	}
	n.rejectStoppedClients()
	n.rejectPausedClients()
	n.rejectUnreadClients()
	n.resumePausedClients()
	n.relieving = n.now()-n.memoryTightAt < reliefTail
	if n.relieving {
		n.scheduleAt(n.now()+reliefInterval, n.relieveMemory)
	}
}

// needsRoom reports whether memory is tight, or clients are paused for which there is no memory.
func (n *Node) needsRoom() bool {
	return n.memory.isTight() || len(n.pausedClients) > 0 && n.freeRequestSlots() <= 0
}

// rejectStoppedClients rejects clients that have stopped within a request until no more room is needed, and all of them
// whose request is old: what the node has read late must not be timed from then.
func (n *Node) rejectStoppedClients() {
	var stopped []*clientConn
	for client := range n.clients {
		if client.mustGiveWay() && n.now()-client.lastInputAt >= minLateStallTime {
			stopped = append(stopped, client)
		}
	}
	slices.SortFunc(stopped, func(a, b *clientConn) int { return cmp.Compare(a.lastInputAt, b.lastInputAt) })
	for _, client := range stopped {
		isLate := n.now()-client.requestStartedAt >= maxStoppedAge
		if !isLate && (n.now()-client.lastInputAt < minStallTime || !n.needsRoom()) {
			continue
		}
		if client.mayClose() == safety.Allowed { // otherwise its input is only arriving late
			client.rejectForMemory()
		}
	}
}

// rejectForMemory rejects an incomplete request for lack of memory.
func (c *clientConn) rejectForMemory() {
	c.node.warnLimited("incomplete request rejected for lack of memory", "received_bytes", c.receivedBytes, "used_bytes", c.node.memory.used.Load())
	c.rejectInput(503, "no memory for the rest of the request")
}

// rejectPausedClients rejects clients that have been paused for too long.
func (n *Node) rejectPausedClients() {
	now := n.now()
	for i := len(n.pausedClients) - 1; i >= 0; i-- {
		client := n.pausedClients[i]
		switch {
		case client.state == clientClosed || client.paused == nil:
			n.pausedClients = slices.Delete(n.pausedClients, i, i+1)
		case client.descriptor == nil: // it is still being detached
		case now-client.requestStartedAt >= maxWaitAge:
			n.pausedClients = slices.Delete(n.pausedClients, i, i+1)
			client.rejectForMemory()
		}
	}
}

// rejectUnreadClients rejects clients that have waited for long to be read for the first time, as the memory account is
// exhausted.
func (n *Node) rejectUnreadClients() {
	if !n.memory.isExhausted() {
		return
	}
	for element := n.newClients.Front(); element != nil; {
		client := element.Value.(*clientConn)
		element = element.Next()
		isUnread := client.state == clientOpen && client.input == nil && client.unreadInput() == 0 && !client.isOpenWithoutInput()
		if isUnread && client.paused == nil && n.now()-client.requestStartedAt >= maxWaitAge {
			client.rejectForMemory()
		}
	}
}

// resumePausedClients lets paused clients continue, in the order in which they were paused, as far as there is memory.
func (n *Node) resumePausedClients() {
	slots := n.freeRequestSlots()
	for len(n.pausedClients) > 0 && slots > 0 && n.pausedClients[0].descriptor != nil {
		client := n.pausedClients[0]
		n.pausedClients = n.pausedClients[1:]
		client.resume()
		slots--
	}
}

// freeRequestSlots returns for how many more paused clients there is memory, if each needs the largest buffer: what is
// left until memory is tight, and half of the memory beyond that.
func (n *Node) freeRequestSlots() int64 {
	limit := n.memory.limit.Load()
	if limit <= 0 {
		return int64(len(n.pausedClients))
	}
	slots := max(limit/4/2/protocol.BufferSize, 1) + max(limit*3/4-n.memory.used.Load(), 0)/protocol.BufferSize
	return slots - int64(n.reserveUsers)
}
