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
	id       balancer.RequestID
	traceID  string    // its client's own
	set      *Settings // that it came under
	msg      *protocol.Message
	buf      *buffer // msg points into it
	class    int
	tenant   int
	deadline int64
	wait     int64   // from its last byte to the deadline, where that is still to come
	upload   *upload // it is passed on while it comes in
	client   *client
	attempts []*attempt
	out      int  // attempts without an outcome
	done     bool // answered, or nobody waits any more
}

// attempt is one Try of a request.
type attempt struct {
	req     *request
	number  int
	host    *host
	sent    int64
	till    int64    // how long the node waits for its answer
	backend *backend // once it has a connection
	over    bool     // it has its outcome
	probe   bool     // it is one, and req is nobody's
}

// admit makes a request of what a client sent, or says why not: these refusals are the node's own and come
// before the module hears of the request.
func (n *Node) admit(msg *protocol.Message, buf *buffer, at int64) (r *request, status int, why string) {
	switch string(msg.Method) {
	case "CONNECT", "TRACE", "OPTIONS":
		return nil, 405, "method not allowed"
	}
	if f := msg.HasDuplicate("x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"); f != "" {
		return nil, 400, f + " is there twice" // a backend may go by the other one
	}
	name, _, _ := bytes.Cut(msg.Target[1:], []byte("?")) // the first part of the path holds the class too
	name, _, _ = bytes.Cut(name, []byte("/"))
	if q := msg.Get("x-qos"); q != nil {
		if len(name) > 0 && !bytes.Equal(name, q) {
			return nil, 400, "path and X-Qos name different classes"
		}
		name = q
	}
	class, ok := n.classes[string(name)]
	if !ok {
		return nil, 400, "unknown class"
	}
	tenant, ok := n.tenants[""] // where the settings tell no tenants apart
	if !ok {
		if tenant, ok = n.tenants[string(msg.Get("x-customer"))]; !ok {
			return nil, 400, "unknown tenant"
		}
	}
	id := msg.Get("x-trace-id")
	if len(id) == 0 {
		return nil, 400, "no X-Trace-Id"
	}
	if _, held := n.ids[string(id)]; held { // to a backend, two requests with one id would be one that runs twice
		return nil, 400, "X-Trace-Id is in use"
	}
	c := &n.set.Balancer.Classes[class]
	if c.Idempotency == balancer.IdempotentByKey && len(msg.Get("idempotency-key")) == 0 {
		return nil, 400, "no Idempotency-Key"
	}
	wait := c.Deadline
	if v := msg.Get("x-expires-in-ms"); v != nil {
		ms, err := strconv.ParseUint(string(v), 10, 32)
		if err != nil {
			return nil, 400, "malformed X-Expires-In-Ms"
		}
		wait = min(wait, int64(ms)*1000)
	}
	if n.set.MaxInFlight > 0 && n.open >= n.set.MaxInFlight || len(n.ids) >= maxIDs {
		return nil, 503, "too many open requests"
	}
	n.lastID++
	return &request{id: n.lastID, set: n.set, msg: msg, buf: buf, class: class, tenant: tenant,
		deadline: n.answerBy(at, at+wait)}, 0, ""
}

// maxIDs bounds the ids that are remembered.
const maxIDs = 1 << 14

// begin hands a request to the module.
func (n *Node) begin(r *request) {
	n.open++
	n.requests[r.id] = r
	r.traceID = string(r.msg.Get("x-trace-id"))
	id, trace := r.id, r.traceID
	n.ids[trace] = struct{}{}
	n.at(r.deadline+n.set.OverdueGrace, func() { n.overdue(id, trace) })
	n.bal.HandleRequest(n.now(), balancer.Request{ID: r.id, Class: r.class, Tenant: r.tenant, Deadline: r.deadline,
		AffinityKey: protocol.AffinityKey(r.msg.Target), IsRetry: string(r.msg.Get("x-second-try")) == "1", CostHint: sizeHint(r.msg.Get("x-size-hint"))})
}

// sizeHint reads a client's guess at the work, in microseconds; 0 is none. It is no more than a guess: one that is no number
// above 0, or not of this world, is as good as none, and no reason to turn a request away.
func sizeHint(v []byte) balancer.Span {
	us, err := strconv.ParseUint(string(v), 10, 32)
	if err != nil {
		return 0
	}
	return int64(us)
}

// overdue ends what is left of a request after its time.
func (n *Node) overdue(id balancer.RequestID, trace string) {
	r := n.requests[id]
	if r != nil && r.upload != nil && !r.done && n.now() < r.deadline { // its time begins, or began, with its last byte
		n.at(min(r.deadline, n.now()+overdueEvery)+n.set.OverdueGrace, func() { n.overdue(id, trace) })
		return
	}
	delete(n.ids, trace)
	if r != nil && !r.done { // the module owed an answer by now; the client must not wait for ever
		n.log.Error("request overdue", "id", r.id, "attempts", len(r.attempts))
		n.answer(r, nil, 504, nil, []byte("overdue\n"), 0)
		n.bal.HandleCancellation(n.now(), r.id)
	}
}

// overdueEvery is how often a request that is still coming in is looked at, in microseconds.
const overdueEvery = 1_000_000

// answer gives a request its one answer.
func (n *Node) answer(r *request, held *buffer, status int, fields []protocol.Field, body []byte, retry int64) {
	if n.end(r) {
		n.traceRequest(r, "answered", "status", status, "attempts", len(r.attempts))
		r.client.reply(held, status, fields, body, retry)
	} else {
		held.release()
	}
}

// end marks a request as over, and returns whether it was not before.
func (n *Node) end(r *request) bool {
	if r.done {
		return false
	}
	r.done = true
	n.open--
	n.withhold(r)
	n.forget(r)
	return true
}

// withhold keeps what is still being written of a request from going out behind its answer. An attempt that has no
// connection yet stays in the books, so that its host is held to account, and handOver drops it; of a larger request than a
// connection takes at once, the rest would go out whenever its host reads on.
func (n *Node) withhold(r *request) {
	for _, a := range r.attempts {
		if b := a.backend; !a.over && b != nil && b.att == a && !b.written && b.down == nil && a.till != never {
			n.closeBackend(b, endWithheld)
			n.settle(a, balancer.OutcomeCanceled, nil)
		}
	}
}

// forget drops a request of which nothing more can come.
func (n *Node) forget(r *request) {
	if r.done && r.out == 0 && r.buf != nil {
		delete(n.requests, r.id)
		r.buf.release()
		r.buf = nil
	}
}

func (n *Node) clientGone(r *request) {
	if n.end(r) {
		n.traceRequest(r, "client gone", "attempts", len(r.attempts))
		n.bal.HandleCancellation(n.now(), r.id)
	}
}

// left tells whether the client of a request has gone, by its connection as it is now: word of that may stand behind much else that Run's
// goroutine has to do, and what begins long after the client went is work for nobody. If so, the request is over as soon as the module's
// call has returned.
func (n *Node) left(r *request) bool {
	if r.client == nil || !r.client.hasEnded() {
		return false
	}
	n.later = append(n.later, func() { r.client.gone(endPeerClosed) })
	return true
}

// outcome is what an answer says about the attempt it belongs to. Only a turned-away request, marked as such,
// is known never to have run.
func outcome(msg *protocol.Message) balancer.Outcome {
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

// settle gives an attempt its one outcome. The module hears of it after the call it may be in.
func (n *Node) settle(a *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	if a.over {
		return
	}
	a.over = true
	if a.probe {
		n.checked(a, outcome, report)
		return
	}
	n.traceRequest(a.req, "attempt over", "attempt", a.number, "host", a.host.addr, "outcome", int(outcome), "took_us", n.now()-a.sent)
	s := balancer.AttemptResult{ID: a.req.id, Attempt: a.number, Endpoint: a.host.id, Outcome: outcome,
		Latency: n.now() - a.sent, Load: report}
	if a.till == never { // it had not all been sent: that took its client's time, not the host's
		s.Latency = 0
	}
	n.later = append(n.later, func() {
		a.req.out--
		s.RequestDone = a.req.done
		n.bal.HandleAttemptResult(n.now(), s)
		n.forget(a.req)
	})
}

// ---- the module's Actions ----

var _ balancer.Commands = (*Node)(nil)

// SendAttempt sends a request to a host.
func (n *Node) SendAttempt(id balancer.RequestID, hostID balancer.EndpointID, timeout balancer.Span) {
	r := n.requests[id]
	h := n.hosts[hostID]
	if r == nil || h == nil {
		n.log.Error("attempt without a request or host", "id", id, "host", hostID)
		return
	}
	now := n.now()
	a := &attempt{req: r, number: len(r.attempts), host: h, sent: now}
	r.attempts = append(r.attempts, a)
	r.out++
	if a.till = r.deadline; timeout != 0 {
		a.till = min(a.till, now+timeout)
	}
	switch {
	case r.done || n.left(r) || now >= r.deadline || len(r.attempts) > max(r.set.Balancer.MaxAttempts, 1):
		n.settle(a, balancer.OutcomeNotSent, nil)
		return
	case !r.set.Balancer.AllowHedging && r.out > 1:
		n.settle(a, balancer.OutcomeNotSent, nil)
		return
	case a.till <= now:
		n.settle(a, balancer.OutcomeTimeout, nil)
		return
	}
	n.at(a.till, func() { n.late(a) })
	n.connect(a)
}

// late gives up an attempt whose time has passed.
func (n *Node) late(a *attempt) {
	if !a.over && n.now() >= a.till {
		n.giveUp(a, balancer.OutcomeTimeout)
	}
}

// giveUp ends an attempt that is still out. What never had a connection has never run.
func (n *Node) giveUp(a *attempt, outcome balancer.Outcome) {
	if b := a.backend; b != nil {
		n.closeBackend(b, endGivenUp)
	} else {
		a.host.waiting = slices.DeleteFunc(a.host.waiting, func(w *attempt) bool { return w == a })
		if outcome == balancer.OutcomeTimeout {
			outcome = balancer.OutcomeConnectFailed
		}
	}
	n.settle(a, outcome, nil)
}

// CancelAttempt stops waiting for an attempt.
func (n *Node) CancelAttempt(id balancer.RequestID, number int) {
	if r := n.requests[id]; r != nil && number < len(r.attempts) && !r.attempts[number].over {
		n.giveUp(r.attempts[number], balancer.OutcomeCanceled)
	}
}

// Reject refuses a request: trying again does no harm.
func (n *Node) Reject(id balancer.RequestID, retryIn balancer.Span) {
	if r := n.requests[id]; r != nil {
		n.answer(r, nil, 503, nil, []byte("refused\n"), retryIn)
	}
}

// Fail ends a request without a promise about its effect.
func (n *Node) Fail(id balancer.RequestID) {
	r := n.requests[id]
	if r == nil {
		return
	}
	status := 502
	if r.out > 0 { // nothing came in time
		status = 504
	}
	n.answer(r, nil, status, nil, []byte("failed\n"), 0)
}

// SetTimer sets one of the module's timers.
func (n *Node) SetTimer(t balancer.TimerID, delay balancer.Span) {
	n.at(n.now()+max(delay, 1), func() { n.bal.HandleTimer(n.now(), t) })
}

// WatchEndpoints asks discovery for changes from here on.
func (n *Node) WatchEndpoints(on bool) { n.discovery.Watch(on) }

// PollEndpoints asks discovery for the whole list, once.
func (n *Node) PollEndpoints() { n.discovery.Poll() }

// Log writes a line of the module's.
func (n *Node) Log(text string) { n.log.Info("decision", "text", text) }
