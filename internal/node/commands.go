package node

import "tulipglade/internal/balancer"

// Node implements the commands that the balancer issues.
var _ balancer.Commands = (*Node)(nil)

// SendAttempt implements balancer.Commands: it sends a request to an endpoint. The attempt ends at the request's
// deadline, or after timeout if that is earlier; 0: there is no other timeout than the deadline.
func (n *Node) SendAttempt(id balancer.RequestID, endpointID balancer.EndpointID, timeout balancer.Span) {
	req := n.requests[id]
	ep := n.endpoints[endpointID]
	if req == nil || ep == nil {
		n.log.Error("attempt without a request or endpoint", "request_id", id, "endpoint_id", endpointID)
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
	case req.isDone() || n.clientHasDisconnected(req) || now >= req.deadline || req.exceedsAttemptLimits():
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
		return
	case att.deadline <= now:
		n.completeAttempt(att, balancer.OutcomeTimeout, nil)
		return
	}
	n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
	n.assignConn(att)
}

// exceedsAttemptLimits reports whether the latest attempt of the request exceeds what the request's settings allow:
// it is one attempt too many, or a hedged request although hedging is not allowed.
func (r *request) exceedsAttemptLimits() bool {
	rules := &r.settings.Balancer
	hedged := r.pendingAttempts > 1
	return len(r.attempts) > max(rules.MaxAttempts, 1) || hedged && !rules.AllowHedging
}

// CancelAttempt implements balancer.Commands: it abandons an attempt that has no outcome yet.
func (n *Node) CancelAttempt(id balancer.RequestID, number int) {
	if req := n.requests[id]; req != nil && number < len(req.attempts) && !req.attempts[number].isCompleted() {
		n.abandonAttempt(req.attempts[number], balancer.OutcomeCanceled)
	}
}

// Reject implements balancer.Commands: it answers 503, which tells the client that a retry does no harm.
func (n *Node) Reject(id balancer.RequestID, retryAfter balancer.Span) {
	if req := n.requests[id]; req != nil {
		n.answerRequest(req, nil, 503, nil, []byte("refused\n"), retryAfter)
	}
}

// Fail implements balancer.Commands: it answers 502, or 504 if an attempt is still in flight. Neither tells the
// client whether the request has run.
func (n *Node) Fail(id balancer.RequestID) {
	req := n.requests[id]
	if req == nil {
		return
	}
	status := 502
	if req.pendingAttempts > 0 { // an attempt is still in flight: no answer was received in time
		status = 504
	}
	n.answerRequest(req, nil, status, nil, []byte("failed\n"), 0)
}

// SetTimer implements balancer.Commands: it notifies the balancer after the delay, which is at least one microsecond.
func (n *Node) SetTimer(id balancer.TimerID, delay balancer.Span) {
	n.scheduleAt(n.now()+max(delay, 1), func() { n.balancer.HandleTimer(n.now(), id) })
}

// WatchEndpoints implements balancer.Commands: it starts or stops the watch of the endpoint list.
func (n *Node) WatchEndpoints(on bool) { n.discovery.Watch(on) }

// PollEndpoints implements balancer.Commands: it asks discovery for the full list, once.
func (n *Node) PollEndpoints() { n.discovery.Poll() }

// Log implements balancer.Commands: it logs a decision of the balancer.
func (n *Node) Log(text string) { n.log.Info("decision", "text", text) }
