package balancer

// Attempts and retries: whether a request may be sent, once or once more. internal/safety holds the rules;
// this file gathers what they depend on.

import "tulipglade/internal/safety"

// mayAttempt tells whether a request may have one more attempt, at an endpoint. Every SendAttempt passes it.
func (b *Balancer) mayAttempt(r *request, endpoint *endpointState) bool {
	made := len(r.attempts)
	justFailed := made > 0 && r.attempts[made-1].endpoint == endpoint && len(b.endpoints) > 1
	if justFailed {
		return false
	}
	further := safety.Attempt{Made: made, Max: r.maxAttempts, InFlight: r.attemptsInFlight}
	if further.Check() != safety.Allowed || b.maySend(r, endpoint, r.attempts) != safety.Allowed {
		return false
	}
	return b.hasSlowStartToken(endpoint)
}

// maySend asks internal/safety whether an attempt may be sent, given the attempts before it.
func (b *Balancer) maySend(r *request, endpoint *endpointState, earlier []attempt) safety.Reason {
	return safety.Send{
		Now:         b.now,
		Deadline:    r.deadline,
		RequestDone: r.done || r.responseStarted,
		ListCurrent: b.listLease.Valid(b.now),
		Rules:       b.safetyRules(r),
		Prior:       firstThatMayHaveRun(earlier),
		Backend: safety.Backend{
			InService: endpoint.Phase == PhaseReady,
			Zone:      endpoint.Zone,
			Cell:      endpoint.Cell,
		},
	}.Check()
}

// safetyRules are those of a request's class. A part of the idempotency window is kept for the way to the
// endpoint.
func (b *Balancer) safetyRules(r *request) safety.Rules {
	class := &b.config.Classes[r.class]
	return safety.Rules{
		Idempotency: class.Idempotency,
		KeyScope:    class.KeyScope,
		Window:      class.IdempotencyWindow,
		Margin:      2 * b.config.TickInterval,
	}
}

// mayRetry tells whether there is any endpoint to which a request may be sent once more without running
// twice.
func (b *Balancer) mayRetry(r *request) bool {
	return safety.MayRetry(b.now, b.safetyRules(r), firstThatMayHaveRun(r.attempts), nil) == safety.Allowed
}

// mayReject tells whether a rejection, which promises that a retry does no harm, would be true.
func (b *Balancer) mayReject(r *request) bool {
	return safety.MayReject(b.safetyRules(r), firstThatMayHaveRun(r.attempts)) == safety.Allowed
}

// MayStartAttempt tells whether an attempt that has waited for its connection may start, and if not, why:
// since it was decided on, its endpoint may drain, its client may have disconnected, its time may have
// passed.
func (b *Balancer) MayStartAttempt(now Time, id RequestID, attempt int) safety.Reason {
	b.now = now
	r := b.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return safety.RequestDone
	}
	return b.maySend(r, r.attempts[attempt].endpoint, r.attempts[:attempt])
}

// sendAttempt is the only way to SendAttempt. It tells whether the attempt was sent.
func (b *Balancer) sendAttempt(r *request, endpoint *endpointState) bool {
	if endpoint == nil || !b.mayAttempt(r, endpoint) {
		return false
	}
	if endpoint.inFlight.count == 0 { // the time without an answer counts from here
		endpoint.lastAnswerAt = b.now
	}
	prediction := b.predictLatency(r, endpoint)
	latency := prediction.latency * b.slownessFactor(endpoint)
	if latency > float64(r.objectiveAt-b.now) {
		prediction.expectedLate = true
		b.lastLateAttemptAt = b.now
	}
	r.attempts = append(r.attempts, attempt{
		endpoint:   endpoint,
		zone:       endpoint.Zone,
		cell:       endpoint.Cell,
		sentAt:     b.now,
		inFlight:   true,
		mayHaveRun: true,
		predicted:  prediction,
	})
	b.accountAttempt(r, endpoint, 1, AttemptResult{})
	endpoint.slowStart.count--
	if endpoint.reported.Outstanding >= 0 { // until the next report
		endpoint.reported.Outstanding++
	}
	b.commands.SendAttempt(r.id, endpoint.ID, 0)
	return true
}

// retryOrEnd queues a failed request for a retry, if one is allowed and can still be in time, or else ends
// it.
func (b *Balancer) retryOrEnd(r *request) {
	attemptsUsed := len(r.attempts) >= r.maxAttempts
	if r.responseStarted || attemptsUsed || b.now >= b.latestStart(r) || !b.mayRetry(r) {
		b.rejectOrFail(r)
		return
	}
	b.enqueue(r, true)
}
