package balancer

// Attempts and retries: whether a request may be sent, once or once more. internal/safety holds the rules;
// this file gathers what they depend on.

import "tulipglade/internal/safety"

// mayAttempt tells whether a request may have one more attempt, at an endpoint. Every SendAttempt passes it.
func (b *Balancer) mayAttempt(request *openRequest, endpoint *endpointState) bool {
	made := len(request.attempts)
	repeatsEndpoint := made > 0 && request.attempts[made-1].endpoint == endpoint && len(b.endpoints) > 1
	if repeatsEndpoint {
		return false
	}
	next := safety.AttemptLimits{Made: made, Max: request.maxAttempts, InFlight: request.attemptsInFlight}
	if next.Check() != safety.Allowed || b.checkSend(request, endpoint, request.attempts) != safety.Allowed {
		return false
	}
	return b.hasSlowStartToken(endpoint)
}

// checkSend asks internal/safety whether an attempt may be sent, given the attempts before it.
func (b *Balancer) checkSend(request *openRequest, endpoint *endpointState, earlier []attempt) safety.Reason {
	return safety.SendConditions{
		Now:               b.now,
		Deadline:          request.deadline,
		RequestDone:       request.done || request.responseStarted,
		ListCurrent:       b.listLease.Valid(b.now),
		IdempotencyPolicy: b.safetyRules(request),
		Prior:             firstThatMayHaveRun(earlier),
		Backend: safety.Backend{
			InService: endpoint.Phase == PhaseReady,
			Zone:      endpoint.Zone,
			Cell:      endpoint.Cell,
		},
	}.Check()
}

// safetyRules are those of a request's class. A part of the idempotency window is kept for the way to the
// endpoint.
func (b *Balancer) safetyRules(request *openRequest) safety.IdempotencyPolicy {
	class := &b.config.Classes[request.class]
	return safety.IdempotencyPolicy{
		Idempotency: class.Idempotency,
		KeyScope:    class.KeyScope,
		Window:      class.IdempotencyWindow,
		Margin:      2 * b.config.TickInterval,
	}
}

// mayRetry tells whether there is any endpoint to which a request may be sent once more without running
// twice.
func (b *Balancer) mayRetry(request *openRequest) bool {
	prior := firstThatMayHaveRun(request.attempts)
	return safety.MayRetry(b.now, b.safetyRules(request), prior, nil) == safety.Allowed
}

// mayReject tells whether a rejection, which promises that a retry does no harm, would be true.
func (b *Balancer) mayReject(request *openRequest) bool {
	return safety.MayReject(b.safetyRules(request), firstThatMayHaveRun(request.attempts)) == safety.Allowed
}

// MayStartAttempt tells whether an attempt that has waited for its connection may start, and if not, why:
// since it was decided on, its endpoint may drain, its client may have disconnected, its time may have
// passed.
func (b *Balancer) MayStartAttempt(now Time, id RequestID, attempt int) safety.Reason {
	b.now = now
	request := b.requests[id]
	if request == nil || attempt >= len(request.attempts) {
		return safety.RequestDone
	}
	return b.checkSend(request, request.attempts[attempt].endpoint, request.attempts[:attempt])
}

// sendAttempt is the only way to SendAttempt. It tells whether the attempt was sent.
func (b *Balancer) sendAttempt(request *openRequest, endpoint *endpointState) bool {
	if endpoint == nil || !b.mayAttempt(request, endpoint) {
		return false
	}
	if endpoint.inFlight.count == 0 { // the time without an answer counts from here
		endpoint.lastAnswerAt = b.now
	}
	prediction := b.predictLatency(request, endpoint)
	latency := prediction.latency * b.slownessFactor(endpoint)
	if latency > float64(request.objectiveAt-b.now) {
		prediction.expectedLate = true
		b.lastExpectedLateAttemptAt = b.now
	}
	request.attempts = append(request.attempts, attempt{
		endpoint:   endpoint,
		zone:       endpoint.Zone,
		cell:       endpoint.Cell,
		sentAt:     b.now,
		inFlight:   true,
		mayHaveRun: true,
		predicted:  prediction,
	})
	b.recordAttemptChange(request, endpoint, 1, AttemptResult{})
	endpoint.slowStart.count--
	if endpoint.reported.Outstanding >= 0 { // until the next report
		endpoint.reported.Outstanding++
	}
	b.commands.SendAttempt(request.id, endpoint.ID, 0)
	return true
}

// retryOrEnd queues a failed request for a retry, if one is allowed and can still be in time, or else ends
// it.
func (b *Balancer) retryOrEnd(request *openRequest) {
	attemptsUsed := len(request.attempts) >= request.maxAttempts
	if request.responseStarted || attemptsUsed || b.now >= b.latestStart(request) || !b.mayRetry(request) {
		b.rejectOrFail(request)
		return
	}
	b.requeue(request)
}
