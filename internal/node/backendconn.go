package node

import (
	"container/list"
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	socket
	node               *Node
	endpoint           *endpoint
	incarnation        int              // of the endpoint at the time of the dial
	attempt            *attempt         // the attempt that the connection carries; nil: none
	input              *buffer          // the part of the answer that has been received; nil: nothing yet
	message            protocol.Message // the answer, as far as it has been parsed
	state              backendConnState
	answerComplete     bool          // the complete answer was received before the writer had returned
	download           *download     // forwards an answer that is too large to be buffered
	firstWriteReported bool          // the event loop has processed the result of the first write of the request
	holdsPartialAnswer bool          // see holdPartialAnswer
	deferredInput      []*buffer     // input that was received before the event loop knew what had been written
	peerEndedEarly     bool          // the backend has closed the connection while the request was being written
	idleElement        *list.Element // in Node.idleBackends; nil: the connection is not idle
	idleSince          int64         // when the connection last became idle
	idleBeforeAttempt  int64         // idle time before the current attempt; 0: it has none, or this has been recorded
	lastAnswerAt       int64         // when it last received an answer, which a duplicate may follow
}

// onInput is the poller's callback for input from the backend. It posts the input to the event loop.
func (b *backendConn) onInput(_ context.Context, conn netpoll.Connection) error {
	return b.postInput(conn, b.node, b.receive)
}

// receive processes input from the backend on the event loop.
func (b *backendConn) receive(buf *buffer) {
	defer buf.release()
	if b.state == backendClosed {
		return
	}
	if b.download != nil {
		b.keepDownloadInput(buf.bytes())
		return
	}
	if b.awaitsWriteReport() || b.uploadFullyRead() {
		b.deferredInput = append(b.deferredInput, buf.retain())
		b.limiter.setStopped(true) // until processDeferredInput
		return
	}
	if b.attempt == nil { // the backend has sent input without a request, which may be a duplicate answer
		b.node.warnLimited("input from backend without a request", "endpoint", b.endpoint.address,
			"after_answer_us", b.node.now()-b.lastAnswerAt)
		b.node.closeBackendConn(b, closeUnexpectedInput)
		b.node.dialForWaiting(b.endpoint)
		return
	}
	if b.input == nil {
		b.input = buf.retain()
		b.parseAnswer(0)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && b.attempt != nil && b.state != backendClosed {
		b.input = b.input.grown(len(rest), &b.message)
		rest = b.input.add(rest)
		b.parseAnswer(len(rest))
		if b.download != nil {
			b.keepDownloadInput(rest)
			return
		}
	}
}

// awaitsWriteReport reports whether the event loop does not know yet that any byte of the request has been written.
// What the backend sends before that can't be the answer to the request.
func (b *backendConn) awaitsWriteReport() bool { return b.attempt != nil && !b.firstWriteReported }

// processDeferredInput processes the input that was deferred until the event loop knew what had been written, and
// then the end of the connection if the backend has closed it meanwhile.
func (b *backendConn) processDeferredInput() {
	deferred, peerEnded := b.deferredInput, b.peerEndedEarly
	b.deferredInput, b.peerEndedEarly = nil, false
	if b.download == nil {
		b.limiter.setStopped(false)
	}
	for _, buf := range deferred {
		b.receive(buf)
	}
	if peerEnded {
		b.connectionEnded()
	}
}

// uploadFullyRead reports whether the last byte of a large request has been read from its client, while the event
// loop does not know yet whether it was written.
func (b *backendConn) uploadFullyRead() bool {
	return b.attempt != nil && b.attempt.deadline == noDeadline && b.attempt.request.upload.forwarder.fullyRead.Load()
}

// keepDownloadInput buffers input of a large answer until its forwarder can read it.
func (b *backendConn) keepDownloadInput(data []byte) {
	if err := b.download.bufferEarlyInput(data); err != nil {
		att := b.download.attempt
		b.node.warnLimited("malformed answer", "endpoint", b.endpoint.address, "err", err)
		b.node.closeBackendConn(b, closeMalformedAnswer)
		b.node.completeAttempt(att, balancer.OutcomeReset, nil)
	}
}

// parseAnswer parses the part of the answer that has been received. unread is the number of received bytes that the
// buffer had no space for.
func (b *backendConn) parseAnswer(unread int) {
	n, att := b.node, b.attempt
	size, complete, err := b.message.ParseResponse(b.input.bytes())
	b.input.length = size
	switch {
	case err != nil:
		n.warnLimited("malformed answer", "endpoint", b.endpoint.address, "err", err)
		n.closeBackendConn(b, closeMalformedAnswer)
		n.completeAttempt(att, balancer.OutcomeReset, nil) // the request may have run
	case complete:
		b.finishAnswer(unread > 0)
	case b.answerIsLarge():
		b.startDownload()
	case b.answerMayBeLarge():
		b.holdPartialAnswer()
	}
}

// answerIsLarge reports whether the body of an incomplete answer is larger than protocol.MaxBody, by its stated length
// or by what has been received of it.
func (b *backendConn) answerIsLarge() bool {
	if !b.message.InBody() {
		return false
	}
	received := len(b.message.Body(b.input.bytes()))
	return max(b.message.ContentLength(), received) > protocol.MaxBody || b.input.length == protocol.BufferSize
}

// errEarlyLargeAnswer reports a large answer to a request that has not been written completely: more of the answer
// would have to be buffered than the node allows.
var errEarlyLargeAnswer = errors.New("too much of a large answer received before the end of its request")

// finishAnswer processes a complete answer. unread says whether bytes were received behind it that the buffer had no
// space for.
func (b *backendConn) finishAnswer(unread bool) {
	n, att, buf, msg := b.node, b.attempt, b.input, b.message
	n.recordIdleOutcome(b.idleBeforeAttempt, false)
	b.idleBeforeAttempt = 0
	b.lastAnswerAt = n.now()
	hasExcessInput := unread || len(msg.Rest(buf.bytes())) > 0
	reusable := msg.KeepAlive && !b.peerEndedEarly && !hasExcessInput
	b.attempt, b.input, b.holdsPartialAnswer = nil, nil, false
	switch {
	case !reusable:
		n.closeBackendConn(b, closeNotReusable)
	case b.state == backendAwaitingAnswer:
		n.releaseConn(b)
	default:
		b.answerComplete = true
	}
	report := headerLoadReport(&msg)
	outcome := answerOutcome(&msg)
	if att.isHealthCheck && outcome == balancer.OutcomeOK {
		report = healthCheckReport(&msg, msg.Body(buf.bytes()))
	} else if outcome == balancer.OutcomeOK {
		if msg.NoBody && att.request.clientConn != nil {
			att.request.clientConn.headContentLength = max(msg.ContentLength(), protocol.UntilClose)
			if msg.ContentLength() < 0 {
				att.request.clientConn.headContentLength = protocol.UntilClose
			}
		}
		n.answerRequest(att.request, buf.retain(), 200, msg.Fields, msg.Body(buf.bytes()), 0)
	}
	n.completeAttempt(att, outcome, report)
	buf.release()
}

// connectionEnded processes the end of the connection after the poller has reported it.
func (b *backendConn) connectionEnded() {
	n, att := b.node, b.attempt
	switch {
	case b.state == backendClosed || b.state == backendDialing: // in the latter state, dialFinished processes it
	case b.download != nil && !b.download.awaitingRequestEnd:
		n.downloadDetached(b, nil, nil, nil)
	case att == nil:
		n.closeBackendConn(b, closePeerEnded)
		n.dialForWaiting(b.endpoint)
	case b.state == backendWriting && att.deadline == noDeadline && !b.uploadFullyRead():
		// The request was still being uploaded: the backend never receives the rest of it and so never starts it.
		n.closeBackendConn(b, closePeerEnded)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case b.state == backendWriting:
		b.peerEndedEarly = true // requestWriteFinished decides once it is known how much was written
	default:
		n.recordIdleOutcome(b.idleBeforeAttempt, b.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishAttemptAtConnEnd(b, att)
	}
}

// finishAttemptAtConnEnd ends an attempt whose connection has ended before the answer was known to be complete. If
// the head of the answer states no length and the backend closed the connection without a reset, the answer is
// complete; otherwise the attempt fails.
func (n *Node) finishAttemptAtConnEnd(conn *backendConn, att *attempt) {
	if conn.input != nil && conn.message.EndsWithConnection() && conn.peerClosedCleanly {
		conn.message.Finish()
		conn.message.KeepAlive = false
		conn.setState(backendAwaitingAnswer)
		conn.finishAnswer(false)
		return
	}
	n.closeBackendConn(conn, closePeerEnded)
	n.completeAttempt(att, balancer.OutcomeReset, nil)
}

// closeBackendConn closes a connection to a backend. It does not complete the attempt on that connection, which is up
// to the caller.
func (n *Node) closeBackendConn(conn *backendConn, reason closeReason) {
	if conn.state == backendClosed {
		return
	}
	conn.logClose(reason)
	conn.setState(backendClosed)
	n.setIdle(conn, false)
	n.countConnections(-1)
	conn.attempt = nil
	conn.input.release()
	conn.input = nil
	for _, buf := range conn.deferredInput {
		buf.release()
	}
	conn.deferredInput = nil
	if conn.download != nil {
		conn.download.earlyInput.release()
	}
	// A connection that is being detached from the poller is closed as soon as it is detached.
	if conn.download == nil || conn.download.awaitingRequestEnd || conn.descriptor != nil {
		conn.closeTransport()
	}
}
