package node

import (
	"os"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// download is the state of an answer that is too large to be buffered. It is forwarded while it is read, and its
// backend's connection is detached from the poller during that time. Once its forwarding starts, it is the answer to
// its request, and the attempt is completed.
type download struct {
	attempt            *attempt
	awaitingRequestEnd bool          // the request is still being written, so that the connection can't be detached yet
	earlyInput         bufferedInput // input received before the connection was detached
}

// startDownload starts to forward an answer that is or may be large, whose beginning is in the input buffer. The connection is detached
// from the poller as soon as the request has been written. An answer whose body is not needed closes the connection
// instead.
func (b *backendConn) startDownload() {
	n, att := b.node, b.attempt
	// The body is not needed if the attempt has failed, the request is done, or this is a health check.
	if result := answerOutcome(&b.message); result != balancer.OutcomeOK || att.request.isDone() || att.isHealthCheck {
		if att.isHealthCheck {
			result = balancer.OutcomeReset // the load report is in the body, which is not read
		}
		report := headerLoadReport(&b.message)
		n.closeBackendConn(b, closeUnwantedDownload)
		n.completeAttempt(att, result, report)
		return
	}
	b.download = &download{attempt: att, awaitingRequestEnd: b.state == backendWriting}
	if b.download.awaitingRequestEnd && att.deadline != noDeadline {
		b.limiter.setStopped(true) // until the end of the write is reported, or the attempt's deadline passes
	}
	if b.state == backendAwaitingAnswer {
		b.detachForDownload()
	}
}

// detachForDownload starts to detach the connection from the poller, after which the answer is forwarded.
func (b *backendConn) detachForDownload() {
	n := b.node
	b.download.awaitingRequestEnd = false
	n.balancer.HandleResponseStart(n.now(), b.attempt.request.id)
	b.detach(func(descriptor *os.File, rest []byte, err error) {
		n.report(reportDetached, func() { n.downloadDetached(b, descriptor, rest, err) })
	}) // if the connection has ended, connectionEnded is called instead
}

// downloadDetached makes a large answer the answer of its request, forwards it and completes the attempt. If descriptor is
// nil, the backend's connection has ended, and the input received so far, of which rest is the last part, is all there
// is.
func (n *Node) downloadDetached(conn *backendConn, descriptor *os.File, rest []byte, err error) {
	att := conn.download.attempt
	if conn.state == backendClosed || att.isCompleted() || err != nil {
		if descriptor != nil {
			_ = descriptor.Close()
		}
		n.closeBackendConn(conn, closeAnswerTruncated)
		n.completeAttempt(att, balancer.OutcomeReset, nil)
		return
	}
	if descriptor != nil {
		conn.useDescriptor(descriptor)
	}
	conn.download.earlyInput.add(n.memory, rest)
	n.recordIdleOutcome(conn.idleBeforeAttempt, false)
	conn.idleBeforeAttempt, conn.attempt = 0, nil
	report := headerLoadReport(&conn.message)
	if att.request.isDone() {
		n.closeBackendConn(conn, closeAttemptAbandoned)
	} else {
		n.forwardDownload(conn)
	}
	n.completeAttempt(att, balancer.OutcomeOK, report)
}

// forwardDownload starts a forwarder that writes the head and the body of a large answer to the client.
func (n *Node) forwardDownload(conn *backendConn) {
	req := conn.download.attempt.request
	n.finishRequest(req)
	client := req.clientConn
	fwd := &forwarder{message: conn.message, buffer: conn.input, source: source{
		buffered:     conn.download.earlyInput.take(),
		descriptor:   conn.descriptor,
		endedInOrder: conn.descriptor == nil && conn.peerClosedCleanly,
	}}
	conn.input = nil
	length := fwd.message.ContentLength()
	switch {
	case length < 0 && client.isHTTP10:
		length = protocol.UntilClose
		client.closeAfterAnswer = true
	case length < 0:
		length = protocol.Chunked
	}
	client.request = nil
	client.closeAfterAnswer = client.closeAfterAnswer || n.drain.active && !client.hasPendingInput() || client.upload != nil
	client.writingAnswer, client.answerStartedAt, client.downloadConn = true, n.now(), conn
	n.answersInProgress++
	fwd.chunked = length == protocol.Chunked
	fwd.write = func(parts ...[]byte) error { return client.write(parts) }
	head := newBuffer(n.memory, headBufferSize)
	headBytes := protocol.AppendResponse(head.data[:0], 200, fwd.message.Fields, length, !client.closeAfterAnswer, 0)
	n.forwarderStarted()
	if fwd.message.ContentLength() < 0 && req.deadline != noDeadline {
		down, bufferedBody := conn.download, len(fwd.message.Body(fwd.buffer.bytes()))
		n.scheduleAt(req.deadline+overdueAnswerGrace, func() { n.endOverdueAnswer(conn, down, fwd, bufferedBody) })
	}
	go func() {
		err := fwd.write(headBytes)
		if err == nil {
			err = fwd.run()
		}
		n.report(reportForwarded, func() {
			head.release()
			n.downloadFinished(conn, client, fwd, err, length == protocol.UntilClose)
		})
	}()
}

// downloadFinished processes the end of a forwarder that reads from a backend. err is the error of reading
// or of writing the head, and fwd.writeErr that of writing the body. untilClose means that the client recognizes the end
// of the answer by the close of its connection.
func (n *Node) downloadFinished(conn *backendConn, client *clientConn, fwd *forwarder, err error, untilClose bool) {
	complete := err == nil && fwd.writeErr == nil
	reusable := complete && fwd.hasNoExcessInput() && fwd.message.KeepAlive && !fwd.message.EndsWithConnection()
	n.forwarderFinished(fwd)
	n.answersInProgress--
	client.writingAnswer, client.downloadConn = false, nil
	if !complete {
		n.warnLimited("answer truncated", "endpoint", conn.endpoint.address, "err", err, "write_err", fwd.writeErr)
	}
	switch {
	case client.state == clientClosed:
	case !complete:
		client.abortAnswer(untilClose)
	case client.closeAfterAnswer && client.upload != nil && !client.upload.forwarderEnded: // its request is still being uploaded
		client.discardAfterEarlyAnswer()
	case client.closeAfterAnswer:
		client.closeGracefully(closeLastAnswer)
	default:
		client.setIdle(true)
		client.parseNextRequest(n.now())
	}
	conn.download = nil
	if !reusable || conn.state == backendClosed || conn.descriptor == nil {
		n.closeBackendConn(conn, closeNotReusable)
		return
	}
	n.reattachBackend(conn)
}

// reattachBackend returns a backend's detached connection to the poller and to the pool. It is closed if that fails.
func (n *Node) reattachBackend(conn *backendConn) {
	pollerConn, err := attachToPoller(conn.descriptor, conn.conn)
	if err != nil {
		conn.descriptor = nil
		n.closeBackendConn(conn, closePollerFailed)
		return
	}
	conn.usePollerConn(pollerConn)
	conn.message, conn.holdsPartialAnswer = protocol.Message{}, false
	conn.lastAnswerAt = n.now()
	err = conn.initPollerConn(n.memory, false, func() { n.report(reportClosed, conn.connectionEnded) })
	if err == nil {
		err = pollerConn.SetOnRequest(conn.onInput)
	}
	if err != nil || !pollerConn.IsActive() {
		n.closeBackendConn(conn, closePollerFailed)
		return
	}
	n.releaseConn(conn)
}

// abortAnswer closes a connection in the middle of an answer in a way that shows the client that the answer is
// incomplete.
func (c *clientConn) abortAnswer(untilClose bool) {
	// An orderly close would look like the end of a complete answer: the connection is reset.
	if untilClose {
		c.resetOnClose()
	}
	c.close(closeAnswerTruncated)
}

// maxEarlyDownloadBytes bounds how much of a large answer is buffered while its request is still being uploaded. It
// does not apply if the request is buffered: then all of the request has usually been written by the time the backend
// answers, and nothing more of the answer is read until the end of the write is reported.
const maxEarlyDownloadBytes = 1 << 20

// bufferEarlyInput keeps a copy of input that is received before the connection has been detached. It returns
// errEarlyLargeAnswer if that exceeds maxEarlyDownloadBytes while the request is still being uploaded.
func (d *download) bufferEarlyInput(data []byte) error {
	d.earlyInput.add(d.attempt.conn.node.memory, data)
	uploading := d.attempt.deadline == noDeadline
	if d.awaitingRequestEnd && uploading && d.earlyInput.length() > maxEarlyDownloadBytes {
		return errEarlyLargeAnswer
	}
	return nil
}
