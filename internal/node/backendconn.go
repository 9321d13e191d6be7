package node

import (
	"container/list"
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// backendConn is a connection to a host. It carries one request at a time.
type backendConn struct {
	socket
	node              *Node
	endpoint          *endpoint
	incarnation       int
	attempt           *attempt
	input             *buffer
	message           protocol.Message
	dialHandled       bool      // the pool has it
	requestWritten    bool      // the request's last byte is
	answerComplete    bool      // whole, before the writer said that it was done
	download          *download // it passes on an answer too large to be held
	deferredInput     []*buffer // what came before the word that all of a large request has gone
	peerEndedEarly    bool      // the other side has closed while the request was being written
	closed            bool
	idleElement       *list.Element
	idleSince         int64
	idleBeforeAttempt int64 // before the attempt it carries; 0: it is new
	lastAnswerAt      int64 // when it last brought the answer to a request: another may follow that; 0: never
}

// onInput hands on what the poller has read.
func (b *backendConn) onInput(_ context.Context, conn netpoll.Connection) error {
	return b.deliver(conn, b.node, b.receive)
}

// receive takes in what the host sent.
func (b *backendConn) receive(buf *buffer) {
	defer buf.release()
	if b.closed {
		return
	}
	if b.download != nil {
		b.keepDownloadInput(buf.bytes())
		return
	}
	if b.uploadFullyRead() {
		b.deferredInput = append(b.deferredInput, buf.retain())
		return
	}
	if b.attempt == nil { // nothing was asked
		b.endpoint.duplicatesUntil = b.node.now() + observationLifetime
		b.node.closeBackend(b, closeUnexpectedInput)
		b.node.dialForWaiting(b.endpoint)
		return
	}
	if b.input == nil {
		b.input = buf.retain()
		b.parseAnswer(0)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && b.attempt != nil && !b.closed {
		rest = b.input.add(rest)
		b.parseAnswer(len(rest))
		if b.download != nil {
			b.keepDownloadInput(rest)
			return
		}
	}
}

// processDeferredInput takes in what was kept until a large request had gone.
func (b *backendConn) processDeferredInput() {
	deferred, peerEnded := b.deferredInput, b.peerEndedEarly
	b.deferredInput, b.peerEndedEarly = nil, false
	for _, buf := range deferred {
		b.receive(buf)
	}
	if peerEnded {
		b.connectionEnded()
	}
}

// uploadFullyRead tells that all of a large request has come in and goes out, though Run's goroutine has not heard that it has gone.
func (b *backendConn) uploadFullyRead() bool {
	return b.attempt != nil && b.attempt.deadline == noDeadline && b.attempt.request.upload.forwarder.fullyRead.Load()
}

// keepDownloadInput keeps what comes of a large answer before it can be passed on.
func (b *backendConn) keepDownloadInput(data []byte) {
	if err := b.download.keepInput(data); err != nil {
		att := b.download.attempt
		b.node.warnLimited("bad answer", "host", b.endpoint.address, "err", err)
		b.node.closeBackend(b, closeMalformedAnswer)
		b.node.completeAttempt(att, balancer.OutcomeReset, nil)
	}
}

// parseAnswer parses what has come; more bytes wait that found no room.
func (b *backendConn) parseAnswer(unread int) {
	n, att := b.node, b.attempt
	size, complete, err := b.message.Response(b.input.bytes())
	b.input.length = size
	large := b.message.Started() && (b.message.Length() > protocol.MaxBody || size == protocol.BufferSize)
	switch {
	case err != nil:
		n.warnLimited("bad answer", "host", b.endpoint.address, "err", err)
		n.closeBackend(b, closeMalformedAnswer)
		n.completeAttempt(att, balancer.OutcomeReset, nil) // it may have run
	case complete:
		b.finishAnswer(unread > 0)
	case large:
		b.startDownload()
	}
}

// errEarlyLargeAnswer is a large answer to a request that has not been written: there is no room for it.
var errEarlyLargeAnswer = errors.New("a large answer before the end of its request")

// finishAnswer is a whole answer.
func (b *backendConn) finishAnswer(unread bool) {
	n, att, in, msg := b.node, b.attempt, b.input, b.message
	n.recordIdleOutcome(b.idleBeforeAttempt, false)
	b.idleBeforeAttempt = 0
	if !att.isHealthCheck {
		b.lastAnswerAt = n.now()
	}
	duplicate := unread || len(msg.Rest(in.bytes())) > 0
	if duplicate {
		b.endpoint.duplicatesUntil = n.now() + observationLifetime
	}
	reusable := msg.KeepAlive && !b.peerEndedEarly && !duplicate
	b.attempt, b.input = nil, nil
	switch {
	case !reusable:
		n.closeBackend(b, closeNotReusable)
	case b.requestWritten:
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

// connectionEnded is a connection that has ended.
func (b *backendConn) connectionEnded() {
	n, att := b.node, b.attempt
	switch {
	case b.closed || !b.dialHandled: // dialled will see it
	case b.download != nil && !b.download.awaitingRequestEnd:
		n.startDownloadForwarding(b, nil, nil, nil)
	case att == nil:
		n.closeBackend(b, closedByPeer)
		n.dialForWaiting(b.endpoint)
	case !b.requestWritten && att.deadline == noDeadline && !b.uploadFullyRead(): // the request was still coming in, and will never be whole
		n.closeBackend(b, closedByPeer)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case !b.requestWritten:
		b.peerEndedEarly = true // whether all was written decides what this means
	default:
		n.recordIdleOutcome(b.idleBeforeAttempt, b.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishEndedConn(b, att)
	}
}

// finishEndedConn is a connection whose end may be that of the answer on it: where the head does not say how long that is.
func (n *Node) finishEndedConn(conn *backendConn, att *attempt) {
	if conn.input != nil && conn.message.UntilEnd() && conn.peerClosedInOrder {
		conn.message.Finish()
		conn.message.KeepAlive, conn.requestWritten = false, true
		conn.finishAnswer(false)
		return
	}
	n.closeBackend(conn, closedByPeer)
	n.completeAttempt(att, balancer.OutcomeReset, nil)
}

// closeBackend ends a connection. An attempt on it must be settled by the caller.
func (n *Node) closeBackend(conn *backendConn, reason closeReason) {
	if conn.closed {
		return
	}
	conn.logClose(reason)
	conn.closed = true
	n.setIdle(conn, false)
	n.openDescriptors--
	conn.attempt = nil
	conn.input.release()
	conn.input = nil
	for _, buf := range conn.deferredInput {
		buf.release()
	}
	conn.deferredInput = nil
	if conn.download == nil || conn.download.awaitingRequestEnd || conn.descriptor != nil { // else it is on its way out of the poller, and closes as it is there
		conn.closeTransport()
	}
}
