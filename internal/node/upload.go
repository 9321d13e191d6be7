package node

import (
	"bytes"
	"errors"
	"math"
	"os"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// upload is a request that is too large to be held: it is passed on while it comes in. Its client's connection has left
// the poller until all of it has come.
type upload struct {
	earlyInput [][]byte // what came behind the part of the body that is held
	tail       protocol.Message
	rejected   bool // it should not have come: not much more of it is read
	forwarder  *forwarder
	forwarding bool // bytes that cannot be sent again are gone
	complete   bool
}

// noDeadline is the time of what has no time limit yet: that of a request counts from its last byte.
const noDeadline = math.MaxInt64

// startUpload has the connection leave the poller. What has come of the request is in c.in.
func (c *clientConn) startUpload() {
	c.hasSentRequest = true
	c.setIdle(false)
	c.upload = &upload{earlyInput: c.overflow}
	c.overflow = nil
	c.setOverflowSize(0)
	c.detach(func(descriptor *os.File, rest []byte, err error) {
		c.node.post(func() { c.uploadDetached(descriptor, rest, err) })
	}) // where it has ended, gone follows
}

// uploadDetached takes the request in, or refuses it.
func (c *clientConn) uploadDetached(descriptor *os.File, rest []byte, err error) {
	if err != nil {
		c.node.warnLimited("connection could not leave the poller", "err", err)
	}
	if err != nil || c.state == clientClosed || descriptor == nil {
		if descriptor != nil {
			_ = descriptor.Close()
		}
		c.disconnected(closePollerFailed)
		return
	}
	c.useDescriptor(descriptor)
	n, up, buf := c.node, c.upload, c.input
	msg := c.message
	c.input, c.message = nil, protocol.Message{}
	up.earlyInput = append([][]byte{bytes.Clone(msg.Rest(buf.bytes()))}, append(up.earlyInput, rest)...)
	up.tail = msg.Tail()
	c.closeAfterAnswer = c.closeAfterAnswer || !msg.KeepAlive
	c.http10, c.headRequest, c.headCompleteAt = msg.OldVersion(), false, 0
	if n.drain.rejecting || n.drain.closingAll || n.activeForwarders >= n.maxForwarders() {
		c.reply(buf, 503, nil, []byte("no room for a large request\n"), 0)
		return
	}
	req, status, reason := n.admit(&msg, buf, n.now())
	if req == nil {
		c.closeAfterAnswer, up.rejected = true, status != 503
		c.reply(buf, status, nil, []byte(reason+"\n"), 0)
		return
	}
	req.upload, req.clientConn, c.request = up, c, req
	req.uploadTimeout = req.deadline - n.now()
	n.submit(req)
}

// forwardUpload passes on what the attempt's first write did not hold. From here on the request can't be sent again, and its time
// does not count until all of it has come.
func (n *Node) forwardUpload(conn *backendConn, att *attempt) {
	req := att.request
	client, up := req.clientConn, req.upload
	up.forwarding = true
	req.deadline, att.deadline = noDeadline, noDeadline
	n.balancer.HandleUpload(n.now(), req.id, true)
	fwd := up.newForwarder(client, func(parts ...[]byte) error { return conn.socket.write(parts) })
	fwd.onWriteError = func() {
		n.post(func() {
			if !att.isCompleted() { // not all of it was written: it has never begun
				n.closeBackend(conn, closeWriteFailed)
				n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
			}
		})
	}
	expect := req.message.Expect && !client.continueSent
	client.continueSent = false
	n.activeForwarders++
	go func() {
		if expect {
			fwd.writeErr = client.socket.write([][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
		}
		err := fwd.run()
		n.post(func() { n.uploadFinished(client, fwd, conn, att, err) })
	}()
}

// discardUpload reads what still comes of a request that has been answered: to close while it comes in would reset the
// connection, and the answer might not be seen.
func (c *clientConn) discardUpload() {
	up := c.upload
	up.forwarding = true
	fwd := up.newForwarder(c, func(...[]byte) error { return nil })
	if up.rejected {
		fwd.maxBytes = maxLingerBytes
	}
	c.node.activeForwarders++
	go func() {
		err := fwd.run()
		c.node.post(func() { c.node.uploadFinished(c, fwd, nil, nil, err) })
	}()
}

func (u *upload) newForwarder(client *clientConn, write func(...[]byte) error) *forwarder {
	fwd := &forwarder{source: source{buffered: u.earlyInput, descriptor: client.descriptor}, message: u.tail, buffer: newBuffer(), write: write,
		chunked: u.tail.Length() < 0, enforceMinRate: true}
	u.earlyInput, u.forwarder = nil, fwd
	return fwd
}

// uploadFinished is the end of a flow from a client.
func (n *Node) uploadFinished(client *clientConn, fwd *forwarder, conn *backendConn, att *attempt, err error) {
	up := client.upload
	rest := bytes.Clone(fwd.message.Rest(fwd.buffer.bytes()))
	for _, piece := range fwd.source.buffered {
		rest = append(rest, piece...)
	}
	fwd.buffer.release()
	n.forwarderFinished()
	up.complete = true
	req := client.request
	if err == nil && att != nil && !att.isCompleted() {
		now := n.now()
		req := att.request
		req.deadline = n.answerDeadline(now, now+req.uploadTimeout)
		att.startedAt, att.deadline = now, req.deadline
		n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
		n.balancer.HandleUpload(now, req.id, false)
		if fwd.writeErr == nil && !conn.answerComplete && conn.state != backendClosed {
			conn.setState(backendAwaitingAnswer)
			if conn.download != nil {
				conn.detachForDownload()
			}
		} else {
			n.requestSent(conn, att, fwd.writeErr)
		}
	}
	defer func() { // the client's connection is back by then
		if conn != nil {
			conn.processDeferredInput()
		}
	}()
	switch {
	case client.state == clientClosed:
	case err != nil && req == nil: // answered already
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
		n.answer(req, nil, status, nil, []byte(err.Error()+"\n"), 0)
		n.balancer.HandleCancellation(n.now(), req.id)
	default:
		client.disconnected(closedByPeer)
	}
	if err != nil && att != nil && !att.isCompleted() {
		n.abandonAttempt(att, balancer.OutcomeConnectFailed)
	}
}

// resumeAfterUpload returns the connection to the poller, with what came behind the request.
func (c *clientConn) resumeAfterUpload(rest []byte) {
	if c.closeAfterAnswer && c.request == nil && !c.writingAnswer {
		c.closeGracefully(closeLastAnswer)
		return
	}
	if c.writingAnswer { // an early answer is on its way through the descriptor; the connection closes behind it
		return
	}
	if !c.rejoinPoller() {
		return
	}
	c.receivedBytes, c.arrivals = 0, nil
	if len(rest) > 0 {
		c.input = newBuffer()
		c.requestStarted(c.node.now())
		c.input.add(rest)
		c.recordArrival(len(rest), c.node.now())
	}
	if c.request == nil {
		c.setIdle(true)
		c.parseNextRequest(c.node.now())
	}
}

// rejoinPoller gives the poller a connection that had left it. Where that can't be, it is gone.
func (c *clientConn) rejoinPoller() bool {
	conn, err := attachToPoller(c.descriptor)
	c.upload = nil
	if err != nil {
		c.node.warnLimited("connection could not rejoin the poller", "err", err)
		c.disconnected(closePollerFailed)
		return false
	}
	c.usePollerConn(conn)
	c.onClose(c.onClosed(c.node))
	if err := conn.SetOnRequest(c.onInput); err != nil || !conn.IsActive() {
		c.node.post(func() { c.disconnected(closedByPeer) })
	}
	return true
}

// discardAfterEarlyAnswer is where an answer has been given while the request was still coming in.
func (c *clientConn) discardAfterEarlyAnswer() {
	if !c.upload.forwarding {
		c.discardUpload()
	}
}
