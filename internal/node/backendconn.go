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
	incarnation        int
	attempt            *attempt
	input              *buffer
	message            protocol.Message
	state              backendConnState
	answerComplete     bool      // the complete answer came before the writer had returned
	download           *download // forwards an answer that is too large to be buffered
	firstWriteReported bool      // the event loop has learned that the first write of its request has ended
	deferredInput      []*buffer // input that came before the event loop learned what had been written
	peerEndedEarly     bool      // the backend has closed while the request was being written
	idleElement        *list.Element
	idleSince          int64
	idleBeforeAttempt  int64 // idle time before the attempt that it carries; 0: the connection is new
	lastAnswerAt       int64 // when it last brought the answer to a request, which a duplicate may follow; 0: never
}

// onInput passes on what the poller has read.
func (b *backendConn) onInput(_ context.Context, conn netpoll.Connection) error {
	return b.postInput(conn, b.node, b.receive)
}

// receive processes input from the backend.
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
	if b.attempt == nil { // no request is in flight
		b.endpoint.duplicatesExpectedUntil = b.node.now() + observationLifetime
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
		rest = b.input.add(rest)
		b.parseAnswer(len(rest))
		if b.download != nil {
			b.keepDownloadInput(rest)
			return
		}
	}
}

// awaitsWriteReport reports whether the event loop does not know yet that any byte of a request has been written. Only
// then can what the backend sends be its answer.
func (b *backendConn) awaitsWriteReport() bool { return b.attempt != nil && !b.firstWriteReported }

// processDeferredInput processes the input that was deferred until the event loop knew what had been written.
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
// loop has not learned yet that it was written.
func (b *backendConn) uploadFullyRead() bool {
	return b.attempt != nil && b.attempt.deadline == noDeadline && b.attempt.request.upload.forwarder.fullyRead.Load()
}

// keepDownloadInput buffers input of a large answer until it can be forwarded.
func (b *backendConn) keepDownloadInput(data []byte) {
	if err := b.download.keepInput(data); err != nil {
		att := b.download.attempt
		b.node.warnLimited("malformed answer", "endpoint", b.endpoint.address, "err", err)
		b.node.closeBackendConn(b, closeMalformedAnswer)
		b.node.completeAttempt(att, balancer.OutcomeReset, nil)
	}
}

// parseAnswer parses the input so far; unread is the number of bytes that the buffer had no space for.
func (b *backendConn) parseAnswer(unread int) {
	n, att := b.node, b.attempt
	size, complete, err := b.message.Response(b.input.bytes())
	b.input.length = size
	large := b.message.Started() && (b.message.Length() > protocol.MaxBody || size == protocol.BufferSize)
	switch {
	case err != nil:
		n.warnLimited("malformed answer", "endpoint", b.endpoint.address, "err", err)
		n.closeBackendConn(b, closeMalformedAnswer)
		n.completeAttempt(att, balancer.OutcomeReset, nil) // the request may have run
	case complete:
		b.finishAnswer(unread > 0)
	case large:
		b.startDownload()
	}
}

// errEarlyLargeAnswer reports a large answer to a request that has not been written: too much of it would have to be
// buffered.
var errEarlyLargeAnswer = errors.New("a large answer before the end of its request")

// finishAnswer processes a complete answer; unread says that more input follows it.
func (b *backendConn) finishAnswer(unread bool) {
	n, att, in, msg := b.node, b.attempt, b.input, b.message
	n.recordIdleOutcome(b.idleBeforeAttempt, false)
	b.idleBeforeAttempt = 0
	if !att.isHealthCheck {
		b.lastAnswerAt = n.now()
	}
	duplicate := unread || len(msg.Rest(in.bytes())) > 0
	if duplicate {
		b.endpoint.duplicatesExpectedUntil = n.now() + observationLifetime
	}
	reusable := msg.KeepAlive && !b.peerEndedEarly && !duplicate
	b.attempt, b.input = nil, nil
	switch {
	case !reusable:
		n.closeBackendConn(b, closeNotReusable)
	case b.state == backendAwaitingAnswer:
		n.releaseConn(b)
	default:
		b.answerComplete = true
	}
	report := headerLoadReport(&msg)
	result := answerOutcome(&msg)
	if att.isHealthCheck && result == balancer.OutcomeOK {
		report = healthCheckReport(&msg, msg.Body(in.bytes()))
	} else if result == balancer.OutcomeOK {
		if msg.NoBody && att.request.clientConn != nil {
			att.request.clientConn.headContentLength = max(msg.Length(), protocol.UntilClose)
			if msg.Length() < 0 {
				att.request.clientConn.headContentLength = protocol.UntilClose
			}
		}
		n.answer(att.request, in.retain(), 200, msg.Fields, msg.Body(in.bytes()), 0)
	}
	n.completeAttempt(att, result, report)
	in.release()
}

// connectionEnded processes the end of the connection.
func (b *backendConn) connectionEnded() {
	n, att := b.node, b.attempt
	switch {
	case b.state == backendClosed || b.state == backendDialing: // dialFinished handles it
	case b.download != nil && !b.download.awaitingRequestEnd:
		n.startDownloadForwarding(b, nil, nil, nil)
	case att == nil:
		n.closeBackendConn(b, closePeerEnded)
		n.dialForWaiting(b.endpoint)
	case b.state == backendWriting && att.deadline == noDeadline && !b.uploadFullyRead():
		// The request was still being uploaded and is never completed.
		n.closeBackendConn(b, closePeerEnded)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case b.state == backendWriting:
		b.peerEndedEarly = true // requestSent decides, once it is known how much was written
	default:
		n.recordIdleOutcome(b.idleBeforeAttempt, b.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishAttemptAtConnEnd(b, att)
	}
}

// finishAttemptAtConnEnd processes the end of a connection with an answer due. It completes an answer whose head states no
// length.
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

// closeBackendConn closes a connection. The caller completes an attempt on it.
func (n *Node) closeBackendConn(conn *backendConn, reason closeReason) {
	if conn.state == backendClosed {
		return
	}
	conn.logClose(reason)
	conn.setState(backendClosed)
	n.setIdle(conn, false)
	n.openDescriptors--
	conn.attempt = nil
	conn.input.release()
	conn.input = nil
	for _, buf := range conn.deferredInput {
		buf.release()
	}
	conn.deferredInput = nil
	// A connection that is being detached from the poller closes when that is done.
	if conn.download == nil || conn.download.awaitingRequestEnd || conn.descriptor != nil {
		conn.closeTransport()
	}
}
