package node

import (
	"errors"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// mayStart checks, right before the first byte of an attempt is written, whether the attempt may still start. If not,
// it returns the reason.
func (n *Node) mayStart(att *attempt) (reason safety.Reason) {
	att.checkedAt = n.now()
	switch {
	case att.isHealthCheck && att.endpoint.state != protocol.InService:
		reason = safety.BackendDraining
	case att.isHealthCheck:
	case att.request.isDone():
		reason = safety.RequestDone
	case n.clientHasDisconnected(att.request):
		reason = safety.ClientDisconnected
	default:
		reason = n.balancer.MayStartAttempt(n.now(), att.request.id, att.number)
	}
	if reason != safety.Allowed {
		n.traceWithheldAttempt(att, reason)
	}
	return reason
}

// sendRequest writes the request of an attempt to a connection, or the part of a large request that is buffered.
func (n *Node) sendRequest(conn *backendConn, att *attempt) {
	req := att.request
	att.conn, conn.attempt = conn, att
	n.setAttemptState(att, attemptAssigned)
	conn.setState(backendWriting)
	conn.firstWriteReported = att.isHealthCheck
	if att.isHealthCheck {
		conn.message = protocol.Message{}
		n.write(&conn.socket, func(err error) { n.requestWriteFinished(conn, att, err) }, n.appendHealthCheck(nil, conn.endpoint))
		return
	}
	conn.message = protocol.Message{NoBody: string(req.message.Method) == "HEAD"}
	head, requestBuffer := newBuffer(n.memory, headBufferSize), req.buffer.retain()
	body := req.message.Body(req.buffer.bytes())
	length, remaining := len(body), att.deadline-n.now()
	if req.upload != nil {
		length, remaining = req.message.ContentLength(), n.minRemainingUploadTime(req)
	}
	remaining = statedTimeout(remaining)
	start := attemptStart{statedTimeout: remaining, deadline: att.deadline}
	if req.upload != nil {
		start.deadline = req.upload.latestDeadline(req.uploadTimeout)
	}
	if _, validUntil := n.balancer.ListCurrent(n.now()); n.settings.Balancer.ListLease > 0 {
		start.listExpiresAt = validUntil
	}
	n.traceRequest(req, "attempt started", "attempt", att.number, "endpoint", conn.endpoint.address, "rev", n.listRevision,
		"remaining_us", remaining, "idle_us", conn.idleBeforeAttempt)
	headBytes := protocol.AppendRequest(head.data[:0], &req.message.Head, length, remaining/1000)
	parts := [][]byte{headBytes, body}
	if length < 0 && len(body) > 0 {
		parts = [][]byte{append(strconv.AppendInt(headBytes, int64(len(body)), 16), "\r\n"...), body, []byte("\r\n")}
	}
	if n.testBeforeFirstWrite != nil {
		n.testBeforeFirstWrite()
	}
	n.writeUnlessDelayed(&conn.socket, att.checkedAt, func(startedAt int64, err error) {
		head.release()
		requestBuffer.release()
		if start.writtenAt = startedAt; !errors.Is(err, errWriteDelayed) {
			n.auditAttemptStart(att, start)
		}
		n.firstWriteFinished(conn, att, err)
	}, parts...)
}

// statedTimeout returns the timeout that a request states to its backend, in microseconds: the remaining time less an
// allowance for a delayed write, and at least the one millisecond that the header can express.
func statedTimeout(remaining int64) int64 {
	return max(remaining-min(maxWriteDelay, remaining/10), 1000)
}

// firstWriteFinished processes the result of the write that sendRequest has started: that of a whole request, or of
// the buffered part of a large one.
func (n *Node) firstWriteFinished(conn *backendConn, att *attempt, err error) {
	if errors.Is(err, errWriteDelayed) && conn.state != backendClosed {
		n.retryDelayedWrite(conn, att)
		return
	}
	conn.firstWriteReported = true
	conn.processDeferredInput()
	req := att.request
	switch {
	case conn.state == backendClosed:
	case req.upload != nil && err == nil && !conn.answerComplete && !conn.peerEndedEarly && !req.isDone():
		n.forwardUpload(conn, att)
	case req.upload != nil: // the request is incomplete: its backend has never started it
		n.closeBackendConn(conn, closeRequestIncomplete)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	default:
		n.requestWriteFinished(conn, att, err)
	}
}

// retryDelayedWrite handles an attempt whose write was delayed for so long that no byte was written. The attempt is
// checked and sent again on the same connection, unless the backend has closed that meanwhile or has sent input on
// it, which is no answer.
func (n *Node) retryDelayedWrite(conn *backendConn, att *attempt) {
	unsolicited := len(conn.deferredInput) > 0
	if !att.isCompleted() && !conn.peerEndedEarly && !unsolicited && n.mayStart(att) == safety.Allowed {
		n.sendRequest(conn, att)
		return
	}
	conn.attempt = nil
	if !att.isCompleted() {
		att.conn = nil
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	}
	if conn.peerEndedEarly || unsolicited {
		n.closeBackendConn(conn, closeUnusable)
		n.dialForWaiting(conn.endpoint)
		return
	}
	n.releaseConn(conn)
}

// requestWriteFinished processes the end of the write of a request: all of it has been written, or the write has
// failed.
func (n *Node) requestWriteFinished(conn *backendConn, att *attempt, err error) {
	switch {
	case conn.state == backendClosed:
	case conn.answerComplete && err == nil:
		conn.answerComplete = false
		n.releaseConn(conn)
	case conn.answerComplete:
		n.closeBackendConn(conn, closeWriteFailed)
	case err != nil: // the request is incomplete: its backend has never started it
		n.closeBackendConn(conn, closeWriteFailed)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case conn.peerEndedEarly && conn.download != nil:
		conn.setState(backendAwaitingAnswer)
		n.downloadDetached(conn, nil, nil, nil)
	case conn.peerEndedEarly:
		n.recordIdleOutcome(conn.idleBeforeAttempt, conn.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishAttemptAtConnEnd(conn, att)
	default:
		conn.setState(backendAwaitingAnswer)
		if conn.download != nil {
			conn.detachForDownload()
		}
	}
}
