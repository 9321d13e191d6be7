package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// request is one that this node has taken: it gets exactly one answer.
type request struct {
	id              balancer.RequestID
	traceID         string    // its client's own
	settings        *Settings // that it came under
	message         *protocol.Message
	buffer          *buffer // msg points into it
	class           int
	tenant          int
	deadline        int64
	uploadTimeout   int64   // from its last byte to the deadline, where that is still to come
	upload          *upload // it is passed on while it comes in
	clientConn      *clientConn
	attempts        []*attempt
	pendingAttempts int  // attempts without an outcome
	done            bool // answered, or nobody waits any more
}

// submit hands a request to the module.
func (n *Node) submit(req *request) {
	n.openRequests++
	n.requests[req.id] = req
	req.traceID = string(req.message.Get("x-trace-id"))
	id, traceID := req.id, req.traceID
	n.requestIDsInUse[traceID] = struct{}{}
	n.scheduleAt(req.deadline+n.settings.OverdueGrace, func() { n.expireOverdue(id, traceID) })
	n.balancer.HandleRequest(n.now(), balancer.Request{ID: req.id, Class: req.class, Tenant: req.tenant, Deadline: req.deadline,
		AffinityKey: protocol.AffinityKey(req.message.Target), IsRetry: string(req.message.Get("x-second-try")) == "1", CostHint: parseSizeHint(req.message.Get("x-size-hint"))})
}

// expireOverdue ends what is left of a request after its time.
func (n *Node) expireOverdue(id balancer.RequestID, traceID string) {
	req := n.requests[id]
	if req != nil && req.upload != nil && !req.done && n.now() < req.deadline { // its time begins, or began, with its last byte
		n.scheduleAt(min(req.deadline, n.now()+overdueCheckInterval)+n.settings.OverdueGrace, func() { n.expireOverdue(id, traceID) })
		return
	}
	delete(n.requestIDsInUse, traceID)
	if req != nil && !req.done { // the module owed an answer by now; the client must not wait for ever
		n.log.Error("request overdue", "id", req.id, "attempts", len(req.attempts))
		n.answer(req, nil, 504, nil, []byte("overdue\n"), 0)
		n.balancer.HandleCancellation(n.now(), req.id)
	}
}

// overdueCheckInterval is how often a request that is still coming in is looked at, in microseconds.
const overdueCheckInterval = 1_000_000

// answer gives a request its one answer.
func (n *Node) answer(req *request, source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	if n.finishRequest(req) {
		n.traceRequest(req, "answered", "status", status, "attempts", len(req.attempts))
		req.clientConn.reply(source, status, fields, body, retryAfter)
	} else {
		source.release()
	}
}

// finishRequest marks a request as over, and returns whether it was not before.
func (n *Node) finishRequest(req *request) bool {
	if req.done {
		return false
	}
	req.done = true
	n.openRequests--
	n.abortPartialWrites(req)
	n.releaseRequest(req)
	return true
}

// abortPartialWrites keeps what is still being written of a request from going out behind its answer. An attempt that has no
// connection yet stays in the books, so that its host is held to account, and handOver drops it; of a larger request than a
// connection takes at once, the rest would go out whenever its host reads on.
func (n *Node) abortPartialWrites(req *request) {
	for _, att := range req.attempts {
		if conn := att.conn; !att.completed && conn != nil && conn.attempt == att && !conn.requestWritten && conn.download == nil && att.deadline != noDeadline {
			n.closeBackend(conn, closeRequestAnswered)
			n.completeAttempt(att, balancer.OutcomeCanceled, nil)
		}
	}
}

// releaseRequest drops a request of which nothing more can come.
func (n *Node) releaseRequest(req *request) {
	if req.done && req.pendingAttempts == 0 && req.buffer != nil {
		delete(n.requests, req.id)
		req.buffer.release()
		req.buffer = nil
	}
}

func (n *Node) clientDisconnected(req *request) {
	if n.finishRequest(req) {
		n.traceRequest(req, "client gone", "attempts", len(req.attempts))
		n.balancer.HandleCancellation(n.now(), req.id)
	}
}

// clientHasDisconnected tells whether the client of a request has gone, by its connection as it is now: word of that may stand behind much else that Run's
// goroutine has to do, and what begins long after the client went is work for nobody. If so, the request is over as soon as the module's
// call has returned.
func (n *Node) clientHasDisconnected(req *request) bool {
	if req.clientConn == nil || !req.clientConn.peerHasEnded() {
		return false
	}
	n.deferred = append(n.deferred, func() { req.clientConn.disconnected(closedByPeer) })
	return true
}

// loggedTraceID is the id that the request's client gave it.
func (r *request) loggedTraceID() string { return r.traceID }
