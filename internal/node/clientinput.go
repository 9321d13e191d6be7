package node

import "tulipglade/internal/protocol"

// receive processes input from the client.
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
		c.upload.earlyInput = appendCopy(c.upload.earlyInput, buf.bytes())
		return
	}
	if c.inputTruncated {
		return
	}
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
			c.input = newBuffer()
			c.requestStarted(receivedAt)
		}
		before := len(rest)
		if rest = c.input.add(rest); len(rest) == before { // full, and the previous request is not answered yet
			c.bufferOverflow(rest)
			return
		}
		c.parseNextRequest(receivedAt)
		if c.upload != nil {
			c.upload.earlyInput = appendCopy(c.upload.earlyInput, rest)
			return
		}
	}
}

// Limits of pipelined input that is kept while the previous answer is being written.
const (
	maxOverflowPerConn = maxLingerBytes // of one connection
	maxOverflowPerNode = 4 << 20        // of all connections
)

// bufferOverflow keeps pipelined input that the buffer has no space for. What exceeds the limits is dropped, so that
// nothing behind it can be parsed.
func (c *clientConn) bufferOverflow(data []byte) {
	if c.overflowSize+len(data) > maxOverflowPerConn || c.node.overflowBytes+len(data) > maxOverflowPerNode {
		c.closeAfterAnswer, c.inputTruncated = true, true
		c.receivedBytes -= len(data)
		return
	}
	c.overflow = appendCopy(c.overflow, data)
	c.setOverflowSize(c.overflowSize + len(data))
}

// setOverflowSize records how much overflow the connection holds.
func (c *clientConn) setOverflowSize(size int) {
	c.node.overflowBytes += size - c.overflowSize
	c.overflowSize = size
}

// refillInput moves overflow into the buffer, as far as there is space.
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

// requestStarted records when a request begins to come in. The first one has been due since the connection was
// accepted.
func (c *clientConn) requestStarted(receivedAt int64) {
	c.headCompleteAt = 0
	if c.hasSentRequest {
		c.requestStartedAt = receivedAt
	}
}

// parseNextRequest parses the next request once the previous one is answered.
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
	if c.input.length = size; size == 0 { // nothing but empty lines
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
	case len(c.overflow) > 0 && size < protocol.BufferSize: // removing the framing has freed space
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

// handleRequest admits the request that has just been parsed, or rejects it.
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
	if c.node.drain.rejecting || c.node.drain.closingAll { // late in a shutdown no client may wait
		c.closeAfterAnswer = true
		c.writeAnswer(buf, 503, nil, []byte("not in service\n"), 0)
		return
	}
	if c.isFull() {
		c.closeAfterAnswer = true
		c.writeAnswer(buf, 503, nil, []byte("no descriptor\n"), 0)
		return
	}
	req, rejected := c.node.admit(&msg, buf, arrivedAt)
	if rejected != nil {
		// A client whose request is invalid loses its connection. An answer to HEAD has no body: the text of a
		// rejection would be read as the next answer.
		c.closeAfterAnswer = c.closeAfterAnswer || rejected.status != 503
		c.writeAnswer(buf, rejected.status, nil, []byte(rejected.reason+"\n"), 0)
		return
	}
	req.clientConn, c.request = c, req
	c.node.submitRequest(req)
}
