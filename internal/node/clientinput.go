package node

import "tulipglade/internal/protocol"

// receive processes a piece of input from the client: it is parsed, kept until it can be parsed, or discarded if the
// connection is lingering.
func (c *clientConn) receive(buf *buffer, receivedAt int64) {
	defer buf.release()
	if c.state == clientLingering {
		if c.discardedBytes += buf.length; c.discardedBytes > maxLingerBytes && !c.writingAnswer {
			c.close(closeTooMuchInput)
		}
	}
	if c.state != clientOpen {
		return
	}
	if c.upload != nil {
		c.upload.earlyInput.add(c.node.memory, buf.bytes())
		return
	}
	if c.paused != nil {
		c.paused.pieces = append(c.paused.pieces, buf.retain())
		return
	}
	if c.inputTruncated {
		return
	}
	defer c.makeRoom()
	receivedAt = c.sentBefore(receivedAt)
	c.recordArrival(buf.length, receivedAt)
	if len(c.overflow) > 0 {
		c.bufferOverflow(buf.bytes())
		return
	}
	if c.input == nil {
		c.input = buf.retain()
		c.requestStarted(receivedAt)
		c.parseNextRequest(receivedAt)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && c.state == clientOpen {
		if c.input == nil {
			c.input = newBuffer(c.node.memory, len(rest))
			c.requestStarted(receivedAt)
		}
		lengthBefore := len(rest)
		c.input = c.input.grown(len(rest), &c.message)
		if rest = c.input.add(rest); len(rest) == lengthBefore { // the buffer is full, and the previous request has not been answered yet
			c.bufferOverflow(rest)
			return
		}
		c.parseNextRequest(receivedAt)
		if c.upload != nil {
			c.upload.earlyInput.add(c.node.memory, rest)
			return
		}
	}
}

// Limits of the pipelined input that is kept until the previous request has been answered, in bytes.
const (
	// overflowStopSize is how much of it stops the reading of a connection: the rest stays in the kernel.
	overflowStopSize = 4 * protocol.BufferSize
	// maxOverflowPerConn bounds what one connection has then, including what was posted before.
	maxOverflowPerConn = overflowStopSize + (maxPostedPieces+1)*protocol.BufferSize
	// maxOverflowPerNode is how much of it in all connections together stops the reading of each that has any, as does
	// tight memory.
	maxOverflowPerNode = 4 << 20
)

// bufferOverflow keeps a copy of pipelined input that does not fit into the input buffer. Input beyond maxOverflowPerConn
// comes only as the client ends the connection, and is dropped.
func (c *clientConn) bufferOverflow(data []byte) {
	if c.overflowSize+len(data) > maxOverflowPerConn {
		c.closeAfterAnswer, c.inputTruncated = true, true
		c.receivedBytes -= len(data)
		return
	}
	c.overflow = appendCopy(c.overflow, data)
	c.setOverflowSize(c.overflowSize + len(data))
}

// setOverflowSize sets the size of the connection's overflow, updates the node's total, and stops or resumes reading.
func (c *clientConn) setOverflowSize(size int) {
	c.node.overflowBytes += size - c.overflowSize
	c.node.memory.add(size - c.overflowSize)
	c.overflowSize = size
	nodeHasEnough := c.node.overflowBytes >= maxOverflowPerNode || c.node.memory.isTight()
	stop := size >= overflowStopSize || size > 0 && nodeHasEnough
	if stop == c.overflowStopped || c.limiter == nil {
		return
	}
	c.overflowStopped = stop
	if stop {
		c.readingStopped()
	} else {
		c.readingResumed()
	}
	c.limiter.setStopped(stop)
}

// hasPendingInput reports whether input has been received behind the current request, which may be further requests.
func (c *clientConn) hasPendingInput() bool {
	return !c.inputTruncated && (c.input != nil || c.overflowSize > 0 || c.unreadInput() > 0)
}

// refillInput moves overflow into the input buffer, as far as there is space.
func (c *clientConn) refillInput(receivedAt int64) {
	if len(c.overflow) > 0 && c.input == nil {
		c.input = newBuffer(c.node.memory, len(c.overflow[0]))
		c.requestStarted(receivedAt)
	}
	for len(c.overflow) > 0 {
		c.input = c.input.grown(len(c.overflow[0]), &c.message)
		rest := c.input.add(c.overflow[0])
		if c.setOverflowSize(c.overflowSize - (len(c.overflow[0]) - len(rest))); len(rest) > 0 {
			c.overflow[0] = rest
			return
		}
		c.overflow = c.overflow[1:]
	}
}

// requestStarted records the arrival of the first bytes of a request, from which its head is timed. The first request
// of a connection is timed from accept instead.
func (c *clientConn) requestStarted(receivedAt int64) {
	c.headCompleteAt = 0
	if c.hasSentRequest {
		c.requestStartedAt = receivedAt
	}
}

// parseNextRequest parses the input so far, unless the previous request is still being answered. It handles a complete
// request, and starts an upload if the request is too large to be buffered.
func (c *clientConn) parseNextRequest(receivedAt int64) {
	if c.request != nil || c.writingAnswer || c.state == clientClosed || c.upload != nil {
		return
	}
	c.refillInput(receivedAt)
	if c.input == nil || c.input.length == 0 {
		return
	}
	size, complete, err := c.message.ParseRequest(c.input.bytes())
	if c.headCompleteAt == 0 && c.message.InBody() {
		c.headCompleteAt = receivedAt
	}
	if c.input.length = size; size == 0 { // the input consisted of empty lines, which are skipped
		c.input.release()
		c.input = nil
		return
	}
	switch {
	case err != nil:
		c.rejectInput(protocol.RejectionStatus(err), err.Error())
	case complete:
		c.hasSentRequest = true
		c.setIdle(false)
		c.closeAfterAnswer = c.closeAfterAnswer || !c.message.KeepAlive
		c.handleRequest(receivedAt)
	case c.message.InBody() && (c.message.ContentLength() > protocol.MaxBody || size == protocol.BufferSize):
		c.startUpload()
	case len(c.overflow) > 0 && size < protocol.BufferSize: // the parser has removed chunk framing, which freed space
		c.parseNextRequest(receivedAt)
	case c.message.InBody() && c.message.ExpectContinue && !c.continueSent:
		c.continueSent, c.writingAnswer = true, true
		c.node.write(&c.socket, func(err error) {
			if c.writingAnswer = false; err != nil {
				c.close(closeWriteFailed)
			} else if c.state != clientClosed {
				c.parseNextRequest(receivedAt)
			}
		}, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// handleRequest answers /ready, and admits or rejects any other request that has just been parsed. Input that follows
// the request moves to a new buffer.
func (c *clientConn) handleRequest(receivedAt int64) {
	buf := c.input
	c.input = nil
	mayUseReserve := c.usesReserve
	c.setUsesReserve(false)
	rest := c.message.Rest(buf.bytes())
	arrivedAt := c.arrivalTime(len(rest) + c.overflowSize)
	if len(rest) > 0 {
		c.input = newBuffer(c.node.memory, len(rest))
		c.requestStarted(receivedAt)
		c.input.add(rest)
		buf.length -= len(rest)
	}
	msg := c.message
	c.message, c.continueSent = protocol.Message{}, false
	c.isHTTP10, c.isHeadRequest = msg.IsHTTP10(), string(msg.Method) == "HEAD"
	c.headContentLength = protocol.UntilClose
	if string(msg.Path()) == "/ready" {
		buf.release()
		if !c.node.ready() {
			c.writeAnswer(nil, 503, nil, []byte("not ready\n"), 0)
		} else {
			c.writeAnswer(nil, 200, nil, []byte("ready\n"), 0)
		}
		return
	}
	if c.node.drain.rejecting || c.node.drain.closingAll { // late in a shutdown, no client may be kept waiting
		c.closeAfterAnswer = c.closeAfterAnswer || !c.hasPendingInput()
		c.writeAnswer(buf, 503, nil, []byte("not in service\n"), 0)
		return
	}
	if c.node.memory.isExhausted() && !mayUseReserve {
		c.writeAnswer(buf, 503, nil, []byte("no memory\n"), 0)
		return
	}
	if c.mustRejectForDescriptors() {
		c.closeAfterAnswer = true
		c.writeAnswer(buf, 503, nil, []byte("no descriptor\n"), 0)
		return
	}
	req, rejected := c.node.admit(&msg, buf, arrivedAt)
	if rejected != nil {
		// The connection closes after the rejection of an invalid request. An answer to HEAD has no body: the client
		// would read the text of a rejection as the next answer.
		c.closeAfterAnswer = c.closeAfterAnswer || rejected.status != 503
		c.writeAnswer(buf, rejected.status, nil, []byte(rejected.reason+"\n"), 0)
		return
	}
	req.clientConn, c.request = c, req
	c.node.submitRequest(req)
}
