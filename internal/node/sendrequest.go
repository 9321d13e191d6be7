package node

import (
	"errors"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// mayStart checks right before its first byte whether an attempt may still start, and if not, why.
func (n *Node) mayStart(att *attempt) (reason safety.Reason) {
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

// sendRequest writes an attempt's request, or as much of it as is buffered.
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
	head, requestBuffer := newBuffer(), req.buffer.retain()
	body := req.message.Body(req.buffer.bytes())
	length, remaining := len(body), att.deadline-n.now()
	if req.upload != nil {
		length, remaining = req.message.Length(), n.minRemainingUploadTime(req)
	}
	remaining = statedTimeout(remaining)
	first := attemptStart{statedTimeout: remaining, deadline: att.deadline}
	if req.upload != nil {
		first.deadline = req.upload.latestDeadline(req.uploadTimeout)
	}
	if _, until := n.balancer.ListCurrent(n.now()); n.settings.Balancer.ListLease > 0 {
		first.listExpiresAt = until
	}
	n.traceRequest(req, "attempt started", "attempt", att.number, "endpoint", conn.endpoint.address, "rev", n.listRevision,
		"remaining_us", remaining, "idle_us", conn.idleBeforeAttempt)
	headBytes := protocol.AppendRequest(head.data[:0], &req.message.Head, length, remaining/1000)
	parts := [][]byte{headBytes, body}
	if length < 0 && len(body) > 0 {
		parts = [][]byte{append(strconv.AppendInt(headBytes, int64(len(body)), 16), "\r\n"...), body, []byte("\r\n")}
	}
	n.writeUnlessDelayed(&conn.socket, func(startedAt int64, err error) {
		head.release()
		requestBuffer.release()
		if first.writtenAt = startedAt; !errors.Is(err, errWriteDelayed) {
			n.auditAttemptStart(att, first)
		}
		n.firstWriteFinished(conn, att, err)
	}, parts...)
}

// statedTimeout is the time that a request states to its backend, in microseconds: what remains less an allowance for a
// delayed write, and at least the one millisecond that the header can express.
func statedTimeout(remaining int64) int64 {
	return max(remaining-min(maxWriteDelay, remaining/10), 1000)
}

// firstWriteFinished processes the end of the write that sendRequest has started.
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
	case req.upload != nil: // incomplete: it has never started
		n.closeBackendConn(conn, closeRequestIncomplete)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	default:
		n.requestWriteFinished(conn, att, err)
	}
}

// retryDelayedWrite handles an attempt whose write was delayed so long that not a byte was written: it is checked and
// sent again on the same connection, unless its backend has ended that or sent something meanwhile, which is no answer.
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
	if unsolicited {
		conn.endpoint.duplicatesExpectedUntil = n.now() + observationLifetime
	}
	if conn.peerEndedEarly || unsolicited {
		n.closeBackendConn(conn, closeUnusable)
		n.dialForWaiting(conn.endpoint)
		return
	}
	n.releaseConn(conn)
}

// requestWriteFinished processes the end of the write of a request.
func (n *Node) requestWriteFinished(conn *backendConn, att *attempt, err error) {
	switch {
	case conn.state == backendClosed:
	case conn.answerComplete && err == nil:
		conn.answerComplete = false
		n.releaseConn(conn)
	case conn.answerComplete:
		n.closeBackendConn(conn, closeWriteFailed)
	case err != nil: // incomplete: it has never started
		n.closeBackendConn(conn, closeWriteFailed)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case conn.peerEndedEarly && conn.download != nil:
		conn.setState(backendAwaitingAnswer)
		n.startDownloadForwarding(conn, nil, nil, nil)
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
