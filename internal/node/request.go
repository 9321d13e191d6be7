package node

import (
	"bytes"
	"slices"
	"strconv"

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

// attempt is one Try of a request.
type attempt struct {
	request       *request
	number        int
	endpoint      *endpoint
	startedAt     int64
	deadline      int64        // how long the node waits for its answer
	conn          *backendConn // once it has a connection
	completed     bool         // it has its outcome
	isHealthCheck bool         // it is one, and req is nobody's
}

// admit makes a request of what a client sent, or says why not: these refusals are the node's own and come
// before the module hears of the request.
func (n *Node) admit(msg *protocol.Message, buf *buffer, receivedAt int64) (req *request, status int, reason string) {
	switch string(msg.Method) {
	case "CONNECT", "TRACE", "OPTIONS":
		return nil, 405, "method not allowed"
	}
	if duplicate := msg.HasDuplicate("x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"); duplicate != "" {
		return nil, 400, duplicate + " is there twice" // a backend may go by the other one
	}
	className, _, _ := bytes.Cut(msg.Target[1:], []byte("?")) // the first part of the path holds the class too
	className, _, _ = bytes.Cut(className, []byte("/"))
	if header := msg.Get("x-qos"); header != nil {
		if len(className) > 0 && !bytes.Equal(className, header) {
			return nil, 400, "path and X-Qos name different classes"
		}
		className = header
	}
	class, ok := n.classIndex[string(className)]
	if !ok {
		return nil, 400, "unknown class"
	}
	tenant, ok := n.tenantIndex[""] // where the settings tell no tenants apart
	if !ok {
		if tenant, ok = n.tenantIndex[string(msg.Get("x-customer"))]; !ok {
			return nil, 400, "unknown tenant"
		}
	}
	traceID := msg.Get("x-trace-id")
	if len(traceID) == 0 {
		return nil, 400, "no X-Trace-Id"
	}
	if _, inUse := n.requestIDsInUse[string(traceID)]; inUse { // to a backend, two requests with one id would be one that runs twice
		return nil, 400, "X-Trace-Id is in use"
	}
	rules := &n.settings.Balancer.Classes[class]
	if rules.Idempotency == balancer.IdempotentByKey && len(msg.Get("idempotency-key")) == 0 {
		return nil, 400, "no Idempotency-Key"
	}
	timeout := rules.Deadline
	if expiry := msg.Get("x-expires-in-ms"); expiry != nil {
		ms, err := strconv.ParseUint(string(expiry), 10, 32)
		if err != nil {
			return nil, 400, "malformed X-Expires-In-Ms"
		}
		timeout = min(timeout, int64(ms)*1000)
	}
	if n.settings.MaxInFlight > 0 && n.openRequests >= n.settings.MaxInFlight || len(n.requestIDsInUse) >= maxRequestIDsInUse {
		return nil, 503, "too many open requests"
	}
	n.lastRequestID++
	return &request{id: n.lastRequestID, settings: n.settings, message: msg, buffer: buf, class: class, tenant: tenant,
		deadline: n.answerDeadline(receivedAt, receivedAt+timeout)}, 0, ""
}

// maxRequestIDsInUse bounds the ids that are remembered.
const maxRequestIDsInUse = 1 << 14

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

// parseSizeHint reads a client's guess at the work, in microseconds; 0 is none. It is no more than a guess: one that is no number
// above 0, or not of this world, is as good as none, and no reason to turn a request away.
func parseSizeHint(text []byte) balancer.Span {
	micros, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return 0
	}
	return int64(micros)
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

// answerOutcome is what an answer says about the attempt it belongs to. Only a turned-away request, marked as such,
// is known never to have run.
func answerOutcome(msg *protocol.Message) balancer.Outcome {
	switch msg.Status {
	case 200:
		return balancer.OutcomeOK
	case 503, 504:
		if string(msg.Get("x-never-ran")) == "1" {
			return balancer.OutcomeRejected
		}
	}
	return balancer.OutcomeServerError
}

// completeAttempt gives an attempt its one outcome. The module hears of it after the call it may be in.
func (n *Node) completeAttempt(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	if att.completed {
		return
	}
	att.completed = true
	if att.isHealthCheck {
		n.healthCheckDone(att, outcome, report)
		return
	}
	n.traceRequest(att.request, "attempt over", "attempt", att.number, "host", att.endpoint.address, "outcome", int(outcome), "took_us", n.now()-att.startedAt)
	result := balancer.AttemptResult{ID: att.request.id, Attempt: att.number, Endpoint: att.endpoint.id, Outcome: outcome,
		Latency: n.now() - att.startedAt, Load: report}
	if att.deadline == noDeadline { // it had not all been sent: that took its client's time, not the host's
		result.Latency = 0
	}
	n.deferred = append(n.deferred, func() {
		att.request.pendingAttempts--
		result.RequestDone = att.request.done
		n.balancer.HandleAttemptResult(n.now(), result)
		n.releaseRequest(att.request)
	})
}

// ---- the module's Actions ----

var _ balancer.Commands = (*Node)(nil)

// SendAttempt sends a request to a host.
func (n *Node) SendAttempt(id balancer.RequestID, endpointID balancer.EndpointID, timeout balancer.Span) {
	req := n.requests[id]
	ep := n.endpoints[endpointID]
	if req == nil || ep == nil {
		n.log.Error("attempt without a request or host", "id", id, "host", endpointID)
		return
	}
	now := n.now()
	att := &attempt{request: req, number: len(req.attempts), endpoint: ep, startedAt: now}
	req.attempts = append(req.attempts, att)
	req.pendingAttempts++
	if att.deadline = req.deadline; timeout != 0 {
		att.deadline = min(att.deadline, now+timeout)
	}
	switch {
	case req.done || n.clientHasDisconnected(req) || now >= req.deadline || len(req.attempts) > max(req.settings.Balancer.MaxAttempts, 1):
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
		return
	case !req.settings.Balancer.AllowHedging && req.pendingAttempts > 1:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
		return
	case att.deadline <= now:
		n.completeAttempt(att, balancer.OutcomeTimeout, nil)
		return
	}
	n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
	n.assignConn(att)
}

// checkAttemptDeadline gives up an attempt whose time has passed.
func (n *Node) checkAttemptDeadline(att *attempt) {
	if !att.completed && n.now() >= att.deadline {
		n.abandonAttempt(att, balancer.OutcomeTimeout)
	}
}

// abandonAttempt ends an attempt that is still out. What never had a connection has never run.
func (n *Node) abandonAttempt(att *attempt, outcome balancer.Outcome) {
	if conn := att.conn; conn != nil {
		n.closeBackend(conn, closeAttemptAbandoned)
	} else {
		att.endpoint.waitingAttempts = slices.DeleteFunc(att.endpoint.waitingAttempts, func(waiting *attempt) bool { return waiting == att })
		if outcome == balancer.OutcomeTimeout {
			outcome = balancer.OutcomeConnectFailed
		}
	}
	n.completeAttempt(att, outcome, nil)
}

// CancelAttempt stops waiting for an attempt.
func (n *Node) CancelAttempt(id balancer.RequestID, number int) {
	if req := n.requests[id]; req != nil && number < len(req.attempts) && !req.attempts[number].completed {
		n.abandonAttempt(req.attempts[number], balancer.OutcomeCanceled)
	}
}

// Reject refuses a request: trying again does no harm.
func (n *Node) Reject(id balancer.RequestID, retryAfter balancer.Span) {
	if req := n.requests[id]; req != nil {
		n.answer(req, nil, 503, nil, []byte("refused\n"), retryAfter)
	}
}

// Fail ends a request without a promise about its effect.
func (n *Node) Fail(id balancer.RequestID) {
	req := n.requests[id]
	if req == nil {
		return
	}
	status := 502
	if req.pendingAttempts > 0 { // nothing came in time
		status = 504
	}
	n.answer(req, nil, status, nil, []byte("failed\n"), 0)
}

// SetTimer sets one of the module's timers.
func (n *Node) SetTimer(id balancer.TimerID, delay balancer.Span) {
	n.scheduleAt(n.now()+max(delay, 1), func() { n.balancer.HandleTimer(n.now(), id) })
}

// WatchEndpoints asks discovery for changes from here on.
func (n *Node) WatchEndpoints(on bool) { n.discovery.Watch(on) }

// PollEndpoints asks discovery for the whole list, once.
func (n *Node) PollEndpoints() { n.discovery.Poll() }

// Log writes a line of the module's.
func (n *Node) Log(text string) { n.log.Info("decision", "text", text) }
