package node

import (
	"os"

	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// download is an answer that is too large to be buffered: it is forwarded while it is read, with its backend's
// connection detached from the poller. Its first bytes make it the answer of its request and complete the attempt.
type download struct {
	attempt            *attempt
	awaitingRequestEnd bool     // the connection can't be detached: the request is still being written
	earlyInput         [][]byte // what came while the connection was being detached
	earlyInputSize     int
}

// startDownload detaches the connection from the poller. The input buffer has what has been read of the answer.
func (b *backendConn) startDownload() {
	n, att := b.node, b.attempt
	// The body of such an answer is not needed.
	if result := answerOutcome(&b.message); result != balancer.OutcomeOK || att.request.isDone() || att.isHealthCheck {
		if att.isHealthCheck {
			result = balancer.OutcomeReset // its load report could not be read
		}
		report := headerLoadReport(&b.message)
		n.closeBackendConn(b, closeUnwantedDownload)
		n.completeAttempt(att, result, report)
		return
	}
	b.download = &download{attempt: att, awaitingRequestEnd: b.state == backendWriting}
	if b.download.awaitingRequestEnd && att.deadline != noDeadline {
		b.limiter.setStopped(true) // the writer's report is due, or the attempt's deadline
	}
	if b.state == backendAwaitingAnswer {
		b.detachForDownload()
	}
}

// detachForDownload starts to detach the connection.
func (b *backendConn) detachForDownload() {
	n := b.node
	b.download.awaitingRequestEnd = false
	b.detach(func(descriptor *os.File, rest []byte, err error) {
		n.report(reportDetached, func() { n.startDownloadForwarding(b, descriptor, rest, err) })
	}) // if the connection has ended, connectionEnded follows
}

// startDownloadForwarding starts the client's answer. Without a descriptor the backend's connection has ended, and its
// input so far is all there is.
func (n *Node) startDownloadForwarding(conn *backendConn, descriptor *os.File, rest []byte, err error) {
	pending := conn.download
	att := pending.attempt
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
	n.recordIdleOutcome(conn.idleBeforeAttempt, false)
	conn.idleBeforeAttempt = 0
	req, in, msg := att.request, conn.input, conn.message
	conn.attempt, conn.input = nil, nil
	report := headerLoadReport(&msg)
	if !n.finishRequest(req) {
		in.release()
		n.closeBackendConn(conn, closeAttemptAbandoned)
		n.completeAttempt(att, balancer.OutcomeOK, report)
		return
	}
	from := source{
		buffered:     append(pending.earlyInput, rest),
		descriptor:   descriptor,
		endedInOrder: descriptor == nil && conn.peerClosedCleanly,
	}
	n.forwardDownload(conn, req.clientConn, &forwarder{source: from, message: msg, buffer: in})
	n.completeAttempt(att, balancer.OutcomeOK, report)
}

// forwardDownload writes the head of an answer to the client and starts its forwarder, or queues it until there is memory.
func (n *Node) forwardDownload(conn *backendConn, client *clientConn, fwd *forwarder) {
	length := fwd.message.ContentLength()
	switch {
	case length < 0 && client.isHTTP10:
		length = protocol.UntilClose
		client.closeAfterAnswer = true
	case length < 0:
		length = protocol.Chunked
	}
	client.request = nil
	client.closeAfterAnswer = client.closeAfterAnswer || n.drain.active || client.upload != nil
	client.writingAnswer, client.downloadConn = true, conn
	n.answersInProgress++
	fwd.chunked = length == protocol.Chunked
	fwd.write = func(parts ...[]byte) error { return client.write(parts) }
	head := newBuffer()
	headBytes := protocol.AppendResponse(head.data[:0], 200, fwd.message.Fields, length, !client.closeAfterAnswer, 0)
	start := func() {
		n.activeForwarders++
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
	if n.activeForwarders < n.maxForwarders() {
		start()
	} else {
		n.queuedForwarders = append(n.queuedForwarders, start)
	}
}

// downloadFinished processes the end of a forwarder that reads from a backend.
func (n *Node) downloadFinished(conn *backendConn, client *clientConn, fwd *forwarder, err error, untilClose bool) {
	complete := err == nil && fwd.writeErr == nil
	reusable := complete && fwd.hasNoExcessInput() && fwd.message.KeepAlive && !fwd.message.EndsWithConnection()
	fwd.buffer.release()
	n.forwarderFinished()
	n.answersInProgress--
	client.writingAnswer, client.downloadConn = false, nil
	if !complete {
		n.warnLimited("answer truncated", "endpoint", conn.endpoint.address, "err", err, "write_err", fwd.writeErr)
	}
	switch {
	case client.state == clientClosed:
	case !complete:
		client.abortAnswer(untilClose)
	case client.closeAfterAnswer && client.upload != nil && !client.upload.forwarderEnded: // the request is still being uploaded
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

// reattachBackend returns a backend's detached connection to the poller and to the pool.
func (n *Node) reattachBackend(conn *backendConn) {
	polled, err := attachToPoller(conn.descriptor)
	if err != nil {
		conn.descriptor = nil
		n.closeBackendConn(conn, closePollerFailed)
		return
	}
	conn.usePollerConn(polled)
	conn.message = protocol.Message{}
	err = conn.initPollerConn(n.readBudget, func() { n.report(reportClosed, conn.connectionEnded) })
	if err == nil {
		err = polled.SetOnRequest(conn.onInput)
	}
	if err != nil || !polled.IsActive() {
		n.closeBackendConn(conn, closePollerFailed)
		return
	}
	n.releaseConn(conn)
}

// abortAnswer closes a connection in the middle of an answer, so that its client can tell.
func (c *clientConn) abortAnswer(untilClose bool) {
	// An orderly end would look like that of the answer.
	if transport, ok := c.conn.(fdConn); ok && untilClose && c.descriptor == nil {
		_ = unix.SetsockoptLinger(transport.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close(closeAnswerTruncated)
}

// maxEarlyDownloadBytes bounds what is buffered of a large answer while its request is still being uploaded. Where the
// request is buffered, all of it has usually been written when a backend answers, and only the report of that is due:
// then nothing more is read until it comes.
const maxEarlyDownloadBytes = 1 << 20

// bufferEarlyInput buffers input that comes before the connection has been detached.
func (d *download) bufferEarlyInput(data []byte) error {
	d.earlyInput = appendCopy(d.earlyInput, data)
	uploading := d.attempt.deadline == noDeadline
	if d.earlyInputSize += len(data); d.awaitingRequestEnd && uploading && d.earlyInputSize > maxEarlyDownloadBytes {
		return errEarlyLargeAnswer
	}
	return nil
}
