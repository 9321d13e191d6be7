package node

import (
	"bytes"
	"errors"
	"math"
	"os"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// upload is the state of a request that is too large to be buffered. It is forwarded while it is read, and its client's
// connection is detached from the poller during that time.
type upload struct {
	earlyInput       bufferedInput    // input received after the buffered part of the body and not forwarded yet
	earlyBytes       int              // number of bytes that were in earlyInput when the forwarder was created
	remainingMessage protocol.Message // parser for the rest of the body, as protocol.Message.Remainder returns it
	rejected         bool             // the request is invalid: only about maxLingerBytes more of it are read
	forwarder        *forwarder
	lastByteTime     lastByteTime
	bodyConsumed     bool // the forwarder has started to consume the body, so that the request can't be sent again
	forwarderEnded   bool // the forwarder has ended, whether it succeeded or not
}

// noDeadline stands for a time that is unknown or never comes. It is the deadline of a large request while it is being
// forwarded: its deadline counts from its last byte, which has not been received yet.
const noDeadline = math.MaxInt64

// startUpload starts to detach the connection from the poller. The input buffer holds the part of the request that has
// been read.
func (c *clientConn) startUpload() {
	c.hasSentRequest = true
	c.setUsesReserve(false)
	c.setIdle(false)
	c.upload = &upload{}
	for _, piece := range c.overflow {
		c.upload.earlyInput.add(c.node.memory, piece)
	}
	c.upload.lastByteTime.earliest = c.arrivalTime(c.input.length + c.overflowSize - 1)
	c.overflow = nil
	c.setOverflowSize(0)
	c.detach(func(descriptor *os.File, rest []byte, err error) {
		c.node.report(reportDetached, func() { c.uploadDetached(descriptor, rest, err) })
	}) // if the connection has ended, handleDisconnect is called instead
}

// uploadDetached admits or rejects a large request after its client's connection has been detached from the poller.
func (c *clientConn) uploadDetached(descriptor *os.File, rest []byte, err error) {
	if !c.acceptDescriptor(descriptor, err) {
		return
	}
	n, up, buf := c.node, c.upload, c.input
	msg := c.message
	c.input, c.message = nil, protocol.Message{}
	up.earlyInput.add(n.memory, rest)
	up.earlyInput.prepend(n.memory, msg.Rest(buf.bytes()))
	up.remainingMessage = msg.Remainder()
	c.closeAfterAnswer = c.closeAfterAnswer || !msg.KeepAlive
	c.isHTTP10, c.isHeadRequest, c.headCompleteAt = msg.IsHTTP10(), false, 0
	if n.drain.rejecting || n.drain.closingAll || n.memory.isFull() || c.mustRejectForDescriptors() {
		c.writeAnswer(buf, 503, nil, []byte("no room for a large request\n"), 0)
		return
	}
	req, rejected := n.admit(&msg, buf, up.lastByteTime.earliest)
	if rejected != nil {
		c.closeAfterAnswer, up.rejected = true, rejected.status != 503
		c.writeAnswer(buf, rejected.status, nil, []byte(rejected.reason+"\n"), 0)
		return
	}
	req.upload, req.clientConn, c.request = up, c, req
	req.uploadTimeout = req.deadline - up.lastByteTime.earliest
	up.updateLastByteTime(n.now(), descriptor, msg.ContentLength(), len(msg.Body(buf.bytes())))
	if up.lastByteTime.latest == 0 {
		req.deadline = n.answerDeadline(n.now(), up.lastByteTime.earliest+req.uploadTimeout)
	}
	n.submitRequest(req)
}

// acceptDescriptor makes the connection use the descriptor that has been detached from the poller. If it has been closed
// meanwhile or detaching has failed, it handles the client as disconnected and returns false.
func (c *clientConn) acceptDescriptor(descriptor *os.File, err error) bool {
	if err != nil {
		c.node.warnLimited("detaching client connection failed", "err", err)
	}
	if err == nil && c.state != clientClosed && descriptor != nil {
		c.useDescriptor(descriptor)
		return true
	}
	if descriptor != nil {
		_ = descriptor.Close()
	}
	c.handleDisconnect(closePollerFailed)
	return false
}

// forwardUpload forwards the part of the request that the attempt's first write did not include. From here on the
// request can't be sent again, and it has no deadline until its last byte has been received.
func (n *Node) forwardUpload(conn *backendConn, att *attempt) {
	req := att.request
	client, up := req.clientConn, req.upload
	up.bodyConsumed = true
	req.deadline, att.deadline = noDeadline, noDeadline
	n.balancer.HandleUpload(n.now(), req.id, true)
	fwd := up.newForwarder(client, func(parts ...[]byte) error { return conn.write(parts) })
	fwd.onWriteError = func() {
		n.report(reportForwarded, func() {
			if !att.isCompleted() { // the backend has received an incomplete request and has not run it
				n.closeBackendConn(conn, closeWriteFailed)
				n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
			}
		})
	}
	expect := req.message.ExpectContinue && !client.continueSent
	client.continueSent = false
	n.forwarderStarted()
	n.checkUploadDeadline(conn, att, fwd)
	go func() {
		if expect {
			fwd.writeErr = client.write([][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
		}
		err := fwd.run()
		n.report(reportForwarded, func() { n.uploadFinished(client, fwd, conn, att, err) })
	}()
}

// discardUpload reads and discards the rest of a request that has been answered early. Closing the connection while the
// client is still sending would reset it, and the client might not see the answer.
func (c *clientConn) discardUpload() {
	up := c.upload
	up.bodyConsumed = true
	fwd := up.newForwarder(c, func(...[]byte) error { return nil })
	if up.rejected {
		fwd.maxBytes = maxLingerBytes
	}
	c.node.forwarderStarted()
	go func() {
		err := fwd.run()
		c.node.report(reportForwarded, func() { c.node.uploadFinished(c, fwd, nil, nil, err) })
	}()
}

// newForwarder returns a forwarder for the rest of the request, which passes the body to write.
func (u *upload) newForwarder(client *clientConn, write func(...[]byte) error) *forwarder {
	fwd := &forwarder{
		source:         source{buffered: u.earlyInput.take(), descriptor: client.descriptor},
		message:        u.remainingMessage,
		buffer:         newBuffer(client.node.memory, firstForwarderBuffer),
		write:          write,
		chunked:        u.remainingMessage.ContentLength() < 0,
		enforceMinRate: true,
	}
	u.earlyBytes = fwd.source.buffered.length()
	u.forwarder = fwd
	return fwd
}

// uploadFinished processes the end of a forwarder that reads from a client. conn and att are nil if the rest of the
// request was being discarded; err is the reason why reading failed.
func (n *Node) uploadFinished(client *clientConn, fwd *forwarder, conn *backendConn, att *attempt, err error) {
	rest := bytes.Clone(fwd.message.Rest(fwd.buffer.bytes()))
	rest = append(rest, fwd.source.buffered.bytes()...)
	n.forwarderFinished(fwd)
	client.upload.forwarderEnded = true
	req := client.request
	switch {
	case att == nil:
	case att.isCompleted(): // the request was answered early, or the backend's connection has closed
		n.earlyAnsweredUploadEnded(conn, att, errors.Join(err, fwd.writeErr))
	case err == nil:
		n.uploadSent(conn, att, fwd)
	}
	defer func() { // deferred until the client's connection has been reattached
		if conn != nil {
			conn.processDeferredInput()
		}
	}()
	switch {
	case client.state == clientClosed:
	case err != nil && req == nil: // the request has been answered already
		if !client.writingAnswer {
			client.close(closeRequestIncomplete)
		}
	case err == nil:
		client.resumeAfterUpload(rest)
	case errors.Is(err, errBodyTooSlow), errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrBodyTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge):
		status := protocol.RejectionStatus(err)
		if errors.Is(err, errBodyTooSlow) {
			status = 408
		}
		client.closeAfterAnswer = true
		n.answerRequest(req, nil, status, nil, []byte(err.Error()+"\n"), 0)
		n.balancer.HandleCancellation(n.now(), req.id)
	default:
		client.handleDisconnect(closePeerEnded)
	}
	if err != nil && att != nil && !att.isCompleted() {
		n.abandonAttempt(att, balancer.OutcomeConnectFailed)
	}
}

// uploadSent handles the moment at which the last byte of a large request has been read and written, or writing has
// failed. It sets the deadline of the request, which was unknown until now.
func (n *Node) uploadSent(conn *backendConn, att *attempt, fwd *forwarder) {
	now := n.now()
	req, writeErr := att.request, fwd.writeErr
	sentAfter := n.lastByteNotSentBefore(req.upload, fwd.currentProgress())
	req.deadline = n.answerDeadline(now, sentAfter+req.uploadTimeout)
	att.startedAt, att.deadline = now, req.deadline
	n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
	n.balancer.HandleUpload(now, req.id, false)
	if writeErr != nil || conn.answerComplete || conn.state == backendClosed {
		n.requestWriteFinished(conn, att, writeErr)
		return
	}
	conn.setState(backendAwaitingAnswer)
	if conn.download != nil {
		conn.detachForDownload()
	}
}

// earlyAnsweredUploadEnded handles the end of an upload whose request was answered before its last byte had been sent.
// The backend's connection returns to the pool, or is closed if the backend has not received the whole request.
func (n *Node) earlyAnsweredUploadEnded(conn *backendConn, att *attempt, err error) {
	if conn.answerComplete {
		n.requestWriteFinished(conn, att, err)
	}
}

// resumeAfterUpload returns the connection to the poller after an upload, or closes it if it closes after the answer.
// rest is the input that followed the request.
func (c *clientConn) resumeAfterUpload(rest []byte) {
	if c.closeAfterAnswer && c.request == nil && !c.writingAnswer {
		c.closeGracefully(closeLastAnswer)
		return
	}
	if c.writingAnswer { // an early answer is being written to the descriptor; the connection closes after it
		return
	}
	if !c.rejoinPoller() {
		return
	}
	c.receivedBytes, c.arrivals = 0, nil
	if len(rest) > 0 {
		c.input = newBuffer(c.node.memory, len(rest))
		c.requestStarted(c.node.now())
		c.recordArrival(len(rest), c.node.now())
		if excess := c.input.add(rest); len(excess) > 0 {
			c.bufferOverflow(excess)
		}
	}
	if c.request == nil {
		c.setIdle(true)
		c.parseNextRequest(c.node.now())
	}
}

// rejoinPoller returns a detached connection to the poller. If that fails, it handles the client as disconnected and
// returns false.
func (c *clientConn) rejoinPoller() bool {
	conn, err := attachToPoller(c.descriptor, c.conn)
	c.upload = nil
	if err != nil {
		c.node.warnLimited("reattaching client connection failed", "err", err)
		c.handleDisconnect(closePollerFailed)
		return false
	}
	c.usePollerConn(conn)
	if err = c.initPollerConn(c.node.memory, true, c.onClosed(c.node)); err == nil {
		err = conn.SetOnRequest(c.onInput)
	}
	if err != nil || !conn.IsActive() {
		c.node.post(func() { c.handleDisconnect(closePeerEnded) })
	}
	return true
}

// discardAfterEarlyAnswer is called when an answer has been written while its request was still being uploaded. It
// starts to discard the rest of the request, unless a forwarder is reading it already.
func (c *clientConn) discardAfterEarlyAnswer() {
	if !c.upload.bodyConsumed {
		c.discardUpload()
	}
}
