package balancer

// Attempts and retries: whether a request may be sent to an endpoint, for the first time or again.
// internal/safety holds the rules; this file collects the facts that they depend on.

import "tulipglade/internal/safety"

// mayAttempt reports whether one more attempt of a request may be sent to an endpoint. Every SendAttempt
// command passes this check.
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

// checkSend asks internal/safety whether an attempt may be sent now, given the earlier attempts of the
// request.
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

// safetyRules returns the safety rules of a request's class. A part of the idempotency window is reserved for
// the time until the request reaches the endpoint.
func (b *Balancer) safetyRules(request *openRequest) safety.IdempotencyPolicy {
	class := &b.config.Classes[request.class]
	return safety.IdempotencyPolicy{
		Idempotency: class.Idempotency,
		KeyScope:    class.KeyScope,
		Window:      class.IdempotencyWindow,
		Margin:      2 * b.config.TickInterval,
	}
}

// mayRetry reports whether there can be any endpoint to which a request may be sent again without the risk of
// a harmful second run.
func (b *Balancer) mayRetry(request *openRequest) bool {
	prior := firstThatMayHaveRun(request.attempts)
	return safety.MayRetry(b.now, b.safetyRules(request), prior, nil) == safety.Allowed
}

// mayReject reports whether a request may be rejected: a rejection promises that a retry does no harm, and
// this promise must be true.
func (b *Balancer) mayReject(request *openRequest) bool {
	return safety.MayReject(b.safetyRules(request), firstThatMayHaveRun(request.attempts)) == safety.Allowed
}

// MayStartAttempt returns safety.Allowed if an attempt that has waited for its connection may still start, or
// else the reason why it may not. After the decision to send the attempt, its endpoint may have started to
// drain, its client may have disconnected, or its deadline may have passed.
func (b *Balancer) MayStartAttempt(now Time, id RequestID, attempt int) safety.Reason {
	b.now = now
	request := b.requests[id]
	if request == nil || attempt >= len(request.attempts) {
		return safety.RequestDone
	}
	return b.checkSend(request, request.attempts[attempt].endpoint, request.attempts[:attempt])
}

// sendAttempt sends an attempt of a request to an endpoint if mayAttempt allows it, and reports whether it
// did so. No other method issues a SendAttempt command.
func (b *Balancer) sendAttempt(request *openRequest, endpoint *endpointState) bool {
	if endpoint == nil || !b.mayAttempt(request, endpoint) {
		return false
	}
	if endpoint.inFlight.count == 0 { // the time without an answer is measured from now on
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
	if endpoint.reported.Outstanding >= 0 { // keeps the last report up to date until the next one
		endpoint.reported.Outstanding++
	}
	b.commands.SendAttempt(request.id, endpoint.ID, 0)
	return true
}

// retryOrEnd queues a failed request for a retry if a retry is allowed and can still be answered in time.
// Otherwise it gives the request its final answer.
func (b *Balancer) retryOrEnd(request *openRequest) {
	attemptsUsed := len(request.attempts) >= request.maxAttempts
	if request.responseStarted || attemptsUsed || b.now >= b.latestStart(request) || !b.mayRetry(request) {
		b.rejectOrFail(request)
		return
	}
	b.requeue(request)
}
