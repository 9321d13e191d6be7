package node

import "tulipglade/internal/balancer"

// Node implements the commands that the balancer issues.
var _ balancer.Commands = (*Node)(nil)

// SendAttempt implements balancer.Commands: it sends a request to an endpoint.
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

// exceedsAttemptLimits reports whether the last attempt is one too many by the request's settings.
func (r *request) exceedsAttemptLimits() bool {
	rules := &r.settings.Balancer
	hedged := r.pendingAttempts > 1
	return len(r.attempts) > max(rules.MaxAttempts, 1) || hedged && !rules.AllowHedging
}

// CancelAttempt implements balancer.Commands: it stops waiting for an attempt.
func (n *Node) CancelAttempt(id balancer.RequestID, number int) {
	if req := n.requests[id]; req != nil && number < len(req.attempts) && !req.attempts[number].isCompleted() {
		n.abandonAttempt(req.attempts[number], balancer.OutcomeCanceled)
	}
}

// Reject implements balancer.Commands: it answers that a retry does no harm.
func (n *Node) Reject(id balancer.RequestID, retryAfter balancer.Span) {
	if req := n.requests[id]; req != nil {
		n.answer(req, nil, 503, nil, []byte("refused\n"), retryAfter)
	}
}

// Fail implements balancer.Commands: it answers without a promise about the request's effect.
func (n *Node) Fail(id balancer.RequestID) {
	req := n.requests[id]
	if req == nil {
		return
	}
	status := 502
	if req.pendingAttempts > 0 { // an attempt is still in flight: nothing came in time
		status = 504
	}
	n.answer(req, nil, status, nil, []byte("failed\n"), 0)
}

// SetTimer implements balancer.Commands.
func (n *Node) SetTimer(id balancer.TimerID, delay balancer.Span) {
	n.scheduleAt(n.now()+max(delay, 1), func() { n.balancer.HandleTimer(n.now(), id) })
}

// WatchEndpoints implements balancer.Commands: it starts or stops the watch of the endpoint list.
func (n *Node) WatchEndpoints(on bool) { n.discovery.Watch(on) }

// PollEndpoints implements balancer.Commands: it asks discovery for the full list, once.
func (n *Node) PollEndpoints() { n.discovery.Poll() }

// Log implements balancer.Commands.
func (n *Node) Log(text string) { n.log.Info("decision", "text", text) }
