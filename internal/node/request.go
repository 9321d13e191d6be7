package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// request is a client's request that the node has admitted. It gets exactly one answer, from a backend or from the
// node itself.
type request struct {
	id              balancer.RequestID
	traceID         string    // the client's X-Trace-Id
	settings        *Settings // in force when the request was admitted
	message         *protocol.Message
	buffer          *buffer // holds the bytes that message points into
	class           int
	tenant          int
	deadline        int64
	uploadTimeout   int64   // for a large request: the time from its last byte to its deadline
	upload          *upload // set for a large request, which is forwarded while it is read; nil: the request is buffered
	clientConn      *clientConn
	attempts        []*attempt
	pendingAttempts int // attempts whose outcome the balancer has not been notified of
	state           requestState
}

// submitRequest registers an admitted request and passes it to the balancer.
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

// expireOverdue answers a request that is still unanswered after its deadline and the grace time, and lets its trace ID
// be used again. The check is repeated while a large request is being uploaded.
func (n *Node) expireOverdue(id balancer.RequestID, traceID string) {
	req := n.requests[id]
	if req != nil && req.upload != nil && !req.isDone() && n.now() < req.deadline {
		// Its final deadline is set when its last byte arrives.
		n.scheduleAt(min(req.deadline, n.now()+overdueCheckInterval)+n.settings.OverdueGrace, func() { n.expireOverdue(id, traceID) })
		return
	}
	delete(n.traceIDsInUse, traceID)
	if req != nil && !req.isDone() { // the balancer should have answered by now; the client must not wait indefinitely
		n.log.Error("request overdue", "request_id", req.id, "attempts", len(req.attempts))
		n.answerRequest(req, nil, 504, nil, []byte("overdue\n"), 0)
		n.balancer.HandleCancellation(n.now(), req.id)
	}
}

// overdueCheckInterval is the time between two checks of whether a request that is still being uploaded is overdue, in
// microseconds.
const overdueCheckInterval = 1_000_000

// answerRequest sends a request's only answer to its client. It takes over one reference to source, the buffer that
// fields and body point into. An answer to a request that is already done is dropped.
func (n *Node) answerRequest(req *request, source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	if n.finishRequest(req) {
		n.traceRequest(req, "request answered", "status", status, "attempts", len(req.attempts))
		req.clientConn.writeAnswer(source, status, fields, body, retryAfter)
	} else {
		source.release()
	}
}

// finishRequest moves a request to the state requestDone. It returns false if the request was done already.
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

// abortPartialWrites closes connections on which an answered request is still being written, so that the rest of the
// request is not sent. A request that does not fit into the connection's send buffer would otherwise be written further
// whenever its backend reads. An attempt that waits for a connection is kept, so that a failure to connect counts
// against its endpoint; serveWaiting drops it when a connection becomes available.
func (n *Node) abortPartialWrites(req *request) {
	for _, att := range req.attempts {
		if att.isPartlyWritten() {
			n.closeBackendConn(att.conn, closeRequestAnswered)
			n.completeAttempt(att, balancer.OutcomeCanceled, nil)
		}
	}
}

// isPartlyWritten reports whether the attempt's request is buffered and the event loop does not know yet that all of it
// has been written.
func (a *attempt) isPartlyWritten() bool {
	return a.state == attemptAssigned &&
		a.conn.attempt == a &&
		a.conn.state == backendWriting &&
		a.conn.download == nil &&
		a.deadline != noDeadline
}

// releaseRequest deletes a request and releases its buffer if the request is done and has no pending attempt.
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

// clientHasDisconnected asks the kernel whether a request's client has disconnected. The poller's notification of it
// may be queued behind many other events, and an attempt that starts after the disconnect is wasted work. If the client
// has disconnected, the request is cancelled as soon as the current call of the balancer has returned.
func (n *Node) clientHasDisconnected(req *request) bool {
	if req.clientConn == nil || !req.clientConn.peerHasEnded() {
		return false
	}
	n.deferred = append(n.deferred, func() { req.clientConn.handleDisconnect(closePeerEnded) })
	return true
}
