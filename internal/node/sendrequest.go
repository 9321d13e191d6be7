package node

import (
	"errors"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// mayStart tells whether an attempt that has waited may still begin, at the moment in which its first byte would be written, and if not, why.
func (n *Node) mayStart(att *attempt) (reason safety.Reason) {
	switch {
	case att.isHealthCheck && att.endpoint.state != protocol.InService:
		reason = safety.BackendDraining
	case att.isHealthCheck:
	case att.request.done:
		reason = safety.RequestDone
	case n.clientHasDisconnected(att.request):
		reason = safety.ClientDisconnected
	default:
		reason = n.balancer.MayStartAttempt(n.now(), att.request.id, att.number)
	}
	if reason != safety.Allowed {
		n.logWithheld(att, reason)
	}
	return reason
}

// sendRequest writes an attempt's request, or as much of it as is held.
func (n *Node) sendRequest(conn *backendConn, att *attempt) {
	req := att.request
	att.conn, conn.attempt, conn.requestWritten = conn, att, false
	if att.isHealthCheck {
		conn.message = protocol.Message{}
		n.write(&conn.socket, func(err error) { n.requestSent(conn, att, err) }, n.appendHealthCheck(nil, conn.endpoint))
		return
	}
	conn.message = protocol.Message{NoBody: string(req.message.Method) == "HEAD"}
	head, requestBuffer := newBuffer(), req.buffer.retain()
	body := req.message.Body(req.buffer.bytes())
	length, remaining := len(body), att.deadline-n.now()
	if req.upload != nil {
		length, remaining = req.message.Length(), req.uploadTimeout
	}
	remaining = max(remaining-min(maxWriteDelay, remaining/10), 1000)
	first := firstByte{statedTimeout: remaining}
	if _, until := n.balancer.ListCurrent(n.now()); n.settings.Balancer.ListLease > 0 {
		first.listExpiresAt = until
	}
	n.traceRequest(req, "attempt", "attempt", att.number, "host", conn.endpoint.address, "rev", n.listRevision, "left_us", remaining, "idle_us", conn.idleBeforeAttempt)
	headBytes := protocol.AppendRequest(head.data[:0], &req.message.Head, length, remaining/1000)
	parts := [][]byte{headBytes, body}
	if length < 0 && len(body) > 0 {
		parts = [][]byte{append(strconv.AppendInt(headBytes, int64(len(body)), 16), "\r\n"...), body, []byte("\r\n")}
	}
	n.writeWithoutDelay(&conn.socket, func(startedAt int64, err error) {
		head.release()
		requestBuffer.release()
		if first.writtenAt = startedAt; !errors.Is(err, errWriteDelayed) {
			n.audit(att, first)
		}
		switch {
		case conn.closed:
		case errors.Is(err, errWriteDelayed):
			n.retryDelayedWrite(conn, att)
		case req.upload != nil && err == nil && !conn.answerComplete && !conn.peerEndedEarly && !req.done:
			n.forwardUpload(conn, att)
		case req.upload != nil: // not all of it was written: it has never begun
			n.closeBackend(conn, closeRequestIncomplete)
			n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
		default:
			n.requestSent(conn, att, err)
		}
	}, parts...)
}

// retryDelayedWrite is an attempt of which not a byte was written in time: it is looked at once more, on the same connection.
func (n *Node) retryDelayedWrite(conn *backendConn, att *attempt) {
	if !att.completed && !conn.peerEndedEarly && n.mayStart(att) == safety.Allowed {
		n.sendRequest(conn, att)
		return
	}
	conn.attempt = nil
	if !att.completed {
		att.conn = nil
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	}
	if conn.peerEndedEarly || conn.input != nil {
		n.closeBackend(conn, closeUnusable)
		n.dialForWaiting(conn.endpoint)
		return
	}
	n.releaseConn(conn)
}

// requestSent is the end of a request's way to its host.
func (n *Node) requestSent(conn *backendConn, att *attempt, err error) {
	switch {
	case conn.closed:
	case conn.answerComplete && err == nil:
		conn.requestWritten, conn.answerComplete = true, false
		n.releaseConn(conn)
	case conn.answerComplete:
		n.closeBackend(conn, closeWriteFailed)
	case err != nil: // not all of the request was written: it has never begun
		n.closeBackend(conn, closeWriteFailed)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case conn.peerEndedEarly && conn.download != nil:
		conn.requestWritten = true
		n.startDownloadForwarding(conn, nil, nil, nil)
	case conn.peerEndedEarly:
		n.recordIdleOutcome(conn.idleBeforeAttempt, conn.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishEndedConn(conn, att)
	default:
		conn.requestWritten = true
		if conn.download != nil {
			conn.detachForDownload()
		}
	}
}
