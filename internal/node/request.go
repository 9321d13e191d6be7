package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// request is a request that this node has admitted: it gets exactly one answer.
type request struct {
	id              balancer.RequestID
	traceID         string    // given by its client
	settings        *Settings // under which it was admitted
	message         *protocol.Message
	buffer          *buffer // message points into it
	class           int
	tenant          int
	deadline        int64
	uploadTimeout   int64   // from its last byte to the deadline, while the last byte is still to come
	upload          *upload // it is forwarded while it is read; nil: it is buffered
	clientConn      *clientConn
	attempts        []*attempt
	pendingAttempts int // without an outcome
	state           requestState
}

// submitRequest hands a request to the balancer.
func (n *Node) submitRequest(req *request) {
	n.setRequestState(req, requestOpen)
	n.openRequests++
	n.requests[req.id] = req
	req.traceID = string(req.message.Get("x-trace-id"))
	id, traceID := req.id, req.traceID
	n.traceIDsInUse[traceID] = struct{}{}
	n.scheduleAt(req.deadline+n.settings.OverdueGrace, func() { n.expireOverdue(id, traceID) })
	n.balancer.HandleRequest(n.now(), balancer.Request{
		ID:          req.id,
		Class:       req.class,
		Tenant:      req.tenant,
		Deadline:    req.deadline,
		AffinityKey: protocol.AffinityKey(req.message.Target),
		IsRetry:     string(req.message.Get("x-second-try")) == "1",
		CostHint:    parseSizeHint(req.message.Get("x-size-hint")),
	})
}

// expireOverdue answers a request that has no answer when its time is over, and releases its trace ID.
func (n *Node) expireOverdue(id balancer.RequestID, traceID string) {
	req := n.requests[id]
	if req != nil && req.upload != nil && !req.isDone() && n.now() < req.deadline { // its deadline counts from its last byte
		n.scheduleAt(min(req.deadline, n.now()+overdueCheckInterval)+n.settings.OverdueGrace, func() { n.expireOverdue(id, traceID) })
		return
	}
	delete(n.traceIDsInUse, traceID)
	if req != nil && !req.isDone() { // the balancer should have answered; the client must not wait for ever
		n.log.Error("request overdue", "request_id", req.id, "attempts", len(req.attempts))
		n.answerRequest(req, nil, 504, nil, []byte("overdue\n"), 0)
		n.balancer.HandleCancellation(n.now(), req.id)
	}
}

// overdueCheckInterval is the time between two checks of a request that is still being uploaded, in microseconds.
const overdueCheckInterval = 1_000_000

// answerRequest gives a request its one answer; source is the buffer into which fields and body point.
func (n *Node) answerRequest(req *request, source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	if n.finishRequest(req) {
		n.traceRequest(req, "request answered", "status", status, "attempts", len(req.attempts))
		req.clientConn.writeAnswer(source, status, fields, body, retryAfter)
	} else {
		source.release()
	}
}

// finishRequest moves a request to state requestDone, and reports whether it was not there before.
func (n *Node) finishRequest(req *request) bool {
	if req.isDone() {
		return false
	}
	n.setRequestState(req, requestDone)
	n.openRequests--
	n.abortPartialWrites(req)
	n.releaseRequest(req)
	return true
}

// abortPartialWrites prevents the rest of a request from being written after its answer. An attempt without a
// connection stays, so that its endpoint is held responsible for it, and serveWaiting drops it. The rest of a request
// that is larger than a connection accepts at once would be written whenever its backend reads on.
func (n *Node) abortPartialWrites(req *request) {
	for _, att := range req.attempts {
		if att.isPartlyWritten() {
			n.closeBackendConn(att.conn, closeRequestAnswered)
			n.completeAttempt(att, balancer.OutcomeCanceled, nil)
		}
	}
}

// isPartlyWritten reports whether the end of the attempt's buffered request is not known to have been written.
func (a *attempt) isPartlyWritten() bool {
	return a.state == attemptAssigned &&
		a.conn.attempt == a &&
		a.conn.state == backendWriting &&
		a.conn.download == nil &&
		a.deadline != noDeadline
}

// releaseRequest deletes a request that is done and has no attempt in flight.
func (n *Node) releaseRequest(req *request) {
	if req.state == requestDone && req.pendingAttempts == 0 {
		n.setRequestState(req, requestReleased)
		delete(n.requests, req.id)
		req.buffer.release()
		req.buffer = nil
	}
}

// cancelRequest cancels a request whose client has disconnected.
func (n *Node) cancelRequest(req *request) {
	if n.finishRequest(req) {
		n.traceRequest(req, "client disconnected", "attempts", len(req.attempts))
		n.balancer.HandleCancellation(n.now(), req.id)
	}
}

// clientHasDisconnected asks the kernel whether a request's client has disconnected, as the notification of that may
// be queued behind much else, and an attempt that starts long after is wasted work. If so, the request is cancelled
// as soon as the balancer's call has returned.
func (n *Node) clientHasDisconnected(req *request) bool {
	if req.clientConn == nil || !req.clientConn.peerHasEnded() {
		return false
	}
	n.deferred = append(n.deferred, func() { req.clientConn.handleDisconnect(closePeerEnded) })
	return true
}
