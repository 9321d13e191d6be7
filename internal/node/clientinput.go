package node

import (
	"tulipglade/internal/protocol"
)

// receive takes in what the client sent.
func (c *clientConn) receive(buf *buffer, receivedAt int64) {
	defer buf.release()
	if c.lingering && !c.closed {
		if c.discardedBytes += buf.length; c.discardedBytes > maxLingerBytes && !c.writingAnswer {
			c.close(closeTooMuchInput)
		}
	}
	if c.closed || c.lingering {
		return
	}
	if c.upload != nil {
		c.upload.earlyInput = appendCopy(c.upload.earlyInput, buf.bytes())
		return
	}
	if c.inputTruncated {
		return
	}
	c.recordArrival(buf.length, receivedAt)
	if len(c.overflow) > 0 {
		c.keepOverflow(buf.bytes())
		return
	}
	if c.input == nil {
		c.input = buf.retain()
		c.requestStarted(receivedAt)
		c.parseNextRequest(receivedAt)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && !c.closed && !c.lingering {
		if c.input == nil {
			c.input = newBuffer()
			c.requestStarted(receivedAt)
		}
		before := len(rest)
		if rest = c.input.add(rest); len(rest) == before { // full, and the request before is not answered yet
			c.keepOverflow(rest)
			return
		}
		c.parseNextRequest(receivedAt)
		if c.upload != nil {
			c.upload.earlyInput = appendCopy(c.upload.earlyInput, rest)
			return
		}
	}
}

// What is kept of requests while the answer to the one before is on its way: of one connection, and of all.
const (
	maxOverflowPerConn = maxLingerBytes
	maxOverflowBytes   = 4 << 20
)

// keepOverflow keeps what c.in has no room for. What is too much is dropped, so nothing behind it can be read.
func (c *clientConn) keepOverflow(data []byte) {
	if c.overflowSize+len(data) > maxOverflowPerConn || c.node.overflowBytes+len(data) > maxOverflowBytes {
		c.closeAfterAnswer, c.inputTruncated = true, true
		c.receivedBytes -= len(data)
		return
	}
	c.overflow = appendCopy(c.overflow, data)
	c.setOverflowSize(c.overflowSize + len(data))
}

// setOverflowSize notes how much that is.
func (c *clientConn) setOverflowSize(size int) {
	c.node.overflowBytes += size - c.overflowSize
	c.overflowSize = size
}

// refillInput moves what was kept into c.in, as far as there is room.
func (c *clientConn) refillInput(receivedAt int64) {
	if len(c.overflow) > 0 && c.input == nil {
		c.input = newBuffer()
		c.requestStarted(receivedAt)
	}
	for len(c.overflow) > 0 {
		rest := c.input.add(c.overflow[0])
		if c.setOverflowSize(c.overflowSize - (len(c.overflow[0]) - len(rest))); len(rest) > 0 {
			c.overflow[0] = rest
			return
		}
		c.overflow = c.overflow[1:]
	}
}

// requestStarted notes when a request begins to come in. The first has been due since the connection came.
func (c *clientConn) requestStarted(receivedAt int64) {
	c.headCompleteAt = 0
	if c.hasSentRequest {
		c.requestStartedAt = receivedAt
	}
}

// parseNextRequest reads the next request, if all before is answered.
func (c *clientConn) parseNextRequest(receivedAt int64) {
	if c.request != nil || c.writingAnswer || c.closed || c.upload != nil {
		return
	}
	c.refillInput(receivedAt)
	if c.input == nil || c.input.length == 0 {
		return
	}
	size, complete, err := c.message.Request(c.input.bytes())
	if c.headCompleteAt == 0 && c.message.Started() {
		c.headCompleteAt = receivedAt
	}
	if c.input.length = size; size == 0 { // nothing but empty lines
		c.input.release()
		c.input = nil
		return
	}
	switch {
	case err != nil:
		c.rejectUnreadable(protocol.RejectionStatus(err), err.Error())
	case complete:
		c.hasSentRequest = true
		c.setIdle(false)
		c.closeAfterAnswer = c.closeAfterAnswer || !c.message.KeepAlive
		c.handleRequest(receivedAt)
	case c.message.Started() && (c.message.Length() > protocol.MaxBody || size == protocol.BufferSize):
		c.startUpload()
	case len(c.overflow) > 0 && size < protocol.BufferSize: // framing was taken out: there is room again
		c.parseNextRequest(receivedAt)
	case c.message.Started() && c.message.Expect && !c.continueSent:
		c.continueSent, c.writingAnswer = true, true
		c.node.write(&c.socket, func(err error) {
			if c.writingAnswer = false; err != nil {
				c.close(closeWriteFailed)
			} else if !c.closed {
				c.parseNextRequest(receivedAt)
			}
		}, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// handleRequest takes the request that has just been read, or refuses it.
func (c *clientConn) handleRequest(receivedAt int64) {
	buf := c.input
	c.input = nil
	rest := c.message.Rest(buf.bytes())
	arrivedAt := c.arrivalTime(len(rest) + c.overflowSize)
	if len(rest) > 0 {
		c.input = newBuffer()
		c.requestStarted(receivedAt)
		c.input.add(rest)
		buf.length -= len(rest)
	}
	msg := c.message
	c.message, c.continueSent = protocol.Message{}, false
	c.http10, c.headRequest = msg.OldVersion(), string(msg.Method) == "HEAD"
	c.headContentLength = protocol.UntilClose
	if string(msg.Path()) == "/ready" {
		buf.release()
		if !c.node.ready() {
			c.reply(nil, 503, nil, []byte("not ready\n"), 0)
		} else {
			c.reply(nil, 200, nil, []byte("ready\n"), 0)
		}
		return
	}
	if c.node.drain.rejecting || c.node.drain.closingAll { // long after the call to leave: nobody may be held
		c.closeAfterAnswer = true
		c.reply(buf, 503, nil, []byte("not in service\n"), 0)
		return
	}
	req, status, reason := c.node.admit(&msg, buf, arrivedAt)
	if req == nil {
		// A client that asks for what it must not have loses its connection. (And what answers a HEAD has no body:
		// ours would be read as the next answer.)
		c.closeAfterAnswer = c.closeAfterAnswer || status != 503
		c.reply(buf, status, nil, []byte(reason+"\n"), 0)
		return
	}
	req.clientConn, c.request = c, req
	c.node.submit(req)
}
