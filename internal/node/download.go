package node

import (
	"os"

	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// download is an answer that is too large to be held: it is passed on while it comes in. The first bytes make it the
// answer of its request, and the attempt has been settled then. Its backend's connection has left the poller.
type download struct {
	attempt            *attempt
	awaitingRequestEnd bool     // its connection can't leave yet: the request is still being written
	earlyInput         [][]byte // what came while the connection left
	earlyBytes         int
}

// startDownload has the connection leave the poller. What has come of the answer is in b.in.
func (b *backendConn) startDownload() {
	n, att := b.node, b.attempt
	if result := answerOutcome(&b.message); result != balancer.OutcomeOK || att.request.isDone() || att.isHealthCheck { // nobody wants it
		if att.isHealthCheck {
			result = balancer.OutcomeReset // what it says of its load could not be read
		}
		report := headerLoadReport(&b.message)
		n.closeBackend(b, closeUnwantedDownload)
		n.completeAttempt(att, result, report)
		return
	}
	b.download = &download{attempt: att, awaitingRequestEnd: b.state == backendWriting}
	if b.state == backendAwaitingAnswer {
		b.detachForDownload()
	}
}

// detachForDownload begins the way out of the poller.
func (b *backendConn) detachForDownload() {
	n := b.node
	b.download.awaitingRequestEnd = false
	b.detach(func(descriptor *os.File, rest []byte, err error) {
		n.post(func() { n.startDownloadForwarding(b, descriptor, rest, err) })
	}) // where it has ended, gone follows
}

// startDownloadForwarding gives the client the beginning of its answer. Without a file the backend's connection has ended, and
// what came of it is all there is.
func (n *Node) startDownloadForwarding(conn *backendConn, descriptor *os.File, rest []byte, err error) {
	pending := conn.download
	att := pending.attempt
	if conn.state == backendClosed || att.isCompleted() || err != nil {
		if descriptor != nil {
			_ = descriptor.Close()
		}
		n.closeBackend(conn, closeAnswerTruncated)
		n.completeAttempt(att, balancer.OutcomeReset, nil)
		return
	}
	if descriptor != nil {
		conn.useDescriptor(descriptor)
	}
	n.recordIdleOutcome(conn.idleBeforeAttempt, false)
	conn.idleBeforeAttempt = 0
	req, in, msg := att.request, conn.input, conn.message
	client := req.clientConn
	conn.attempt, conn.input = nil, nil
	report := headerLoadReport(&msg)
	if !n.finishRequest(req) {
		in.release()
		n.closeBackend(conn, closeAttemptAbandoned)
		n.completeAttempt(att, balancer.OutcomeOK, report)
		return
	}
	length := msg.Length()
	switch {
	case length < 0 && client.http10:
		length = protocol.UntilClose
		client.closeAfterAnswer = true
	case length < 0:
		length = protocol.Chunked
	}
	client.request = nil
	client.closeAfterAnswer = client.closeAfterAnswer || n.drain.active || client.upload != nil
	client.writingAnswer, client.downloadConn = true, conn
	n.answersInProgress++
	fwd := &forwarder{source: source{buffered: append(pending.earlyInput, rest), descriptor: descriptor, endedInOrder: descriptor == nil && conn.peerClosedInOrder}, message: msg, buffer: in,
		chunked: length == protocol.Chunked, write: func(parts ...[]byte) error { return client.socket.write(parts) }}
	head := newBuffer()
	headBytes := protocol.AppendResponse(head.data[:0], 200, msg.Fields, length, !client.closeAfterAnswer, 0)
	start := func() {
		n.activeForwarders++
		go func() {
			err := fwd.write(headBytes)
			if err == nil {
				err = fwd.run()
			}
			n.post(func() {
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
	n.completeAttempt(att, balancer.OutcomeOK, report)
}

// downloadFinished is the end of a flow from a backend.
func (n *Node) downloadFinished(conn *backendConn, client *clientConn, fwd *forwarder, err error, untilClose bool) {
	complete := err == nil && fwd.writeErr == nil
	reusable := complete && len(fwd.message.Rest(fwd.buffer.bytes())) == 0 && len(fwd.source.buffered) == 0 && fwd.message.KeepAlive && !fwd.message.UntilEnd()
	fwd.buffer.release()
	n.forwarderFinished()
	n.answersInProgress--
	client.writingAnswer, client.downloadConn = false, nil
	if !complete {
		n.warnLimited("answer cut off", "host", conn.endpoint.address, "err", err, "client", fwd.writeErr)
	}
	switch {
	case client.state == clientClosed:
	case !complete:
		client.abortAnswer(untilClose)
	case client.closeAfterAnswer && client.upload != nil && !client.upload.complete: // the request is still coming in
		client.discardAfterEarlyAnswer()
	case client.closeAfterAnswer:
		client.closeGracefully(closeLastAnswer)
	default:
		client.setIdle(true)
		client.parseNextRequest(n.now())
	}
	conn.download = nil
	if !reusable || conn.state == backendClosed || conn.descriptor == nil {
		n.closeBackend(conn, closeNotReusable)
		return
	}
	polled, err := attachToPoller(conn.descriptor)
	if err != nil {
		conn.descriptor = nil
		n.closeBackend(conn, closePollerFailed)
		return
	}
	conn.usePollerConn(polled)
	conn.message = protocol.Message{}
	conn.onClose(func() { n.post(conn.connectionEnded) })
	if err := polled.SetOnRequest(conn.onInput); err != nil || !polled.IsActive() {
		n.closeBackend(conn, closePollerFailed)
		return
	}
	n.releaseConn(conn)
}

// abortAnswer ends a connection within an answer, so that its client can tell.
func (c *clientConn) abortAnswer(untilClose bool) {
	if transport, ok := c.conn.(interface{ Fd() int }); ok && untilClose && c.descriptor == nil { // an end in order would look like that of the answer
		_ = unix.SetsockoptLinger(transport.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close(closeAnswerTruncated)
}

// maxEarlyDownloadBytes bounds what is kept of a large answer to a request that is still being written. All of it has been written when
// a backend answers: only the word of that is on its way.
const maxEarlyDownloadBytes = 1 << 20

// keepInput keeps what comes while the connection cannot be read in pieces yet.
func (d *download) keepInput(data []byte) error {
	d.earlyInput = appendCopy(d.earlyInput, data)
	if d.earlyBytes += len(data); d.awaitingRequestEnd && d.earlyBytes > maxEarlyDownloadBytes {
		return errEarlyLargeAnswer
	}
	return nil
}
