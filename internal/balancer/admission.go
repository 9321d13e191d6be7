package balancer

// Admission and load shedding: how long a request may be queued, and which requests are rejected.

// setDeadlineTimer sets the timer for a request's final answer. The answer is due at the deadline, or shortly
// before the latency objective if an answer after the objective has no value and attempts may be canceled:
// this saves the endpoint useless work.
func (b *Balancer) setDeadlineTimer(request *openRequest) {
	end := request.deadline
	if b.config.Classes[request.class].LateValue == 0 && b.config.AllowCancel && request.objectiveAt > b.now {
		end = b.shortlyBefore(request.objectiveAt)
	}
	b.setRequestTimer(request, timerDeadline, max(end-b.now, 0))
}

// shortlyBefore returns the latest time at which an answer may be sent so that the client has it at the
// given time, which is not over yet.
func (b *Balancer) shortlyBefore(end Time) Time {
	margin := min(b.config.TickInterval, (end-b.now)/8)
	return end - margin - Span(b.networkDelay)
}

// maxResponseHold is how long the node may hold back the first part of a response. One that is held back for
// 2 s counts as lost.
const maxResponseHold Span = 1_000_000

// responseForwardTime returns the time by which the first part of a response that has just arrived must be
// forwarded, so that its client has it within the latency objective, or else within the deadline.
func (b *Balancer) responseForwardTime(request *openRequest) Time {
	forwardBy := b.now + maxResponseHold
	for _, end := range []Time{request.objectiveAt, request.deadline} {
		if end > b.now {
			forwardBy = min(forwardBy, b.shortlyBefore(end))
		}
	}
	return max(forwardBy, b.now)
}

// wouldBeLate reports whether a new request has no time left for an answer. Such a request is the first to be
// rejected.
func (b *Balancer) wouldBeLate(request *openRequest) bool {
	if b.overloadMode && request.objectiveAt <= b.now {
		return true
	}
	return b.classes[request.class].work.samples > 0 && b.latestStart(request) <= b.now
}

// latestStart returns the time at which a queued request is rejected if it has not been sent, as its answer
// would be late. A rejection before the latency objective costs the client less than a late answer.
func (b *Balancer) latestStart(request *openRequest) Time {
	class := &b.config.Classes[request.class]
	until, margin := request.objectiveAt, min(2*b.config.TickInterval, class.LatencyObjective/4)
	if len(request.attempts) > 0 && class.LateValue > 0 {
		until = request.deadline
	}
	latest := until - max(Span(b.expectedWork(request)), margin)
	if len(request.attempts) > 0 {
		return latest
	}
	if b.overloadMode {
		// Newer requests are sent first. An early rejection leaves the client more time for a retry.
		latest = min(latest, request.halfTimeAt)
	}
	if b.nothingMayBeSent() { // the client must receive the rejection within half of its time
		latest = min(latest, request.halfTimeAt-(request.deadline-request.halfTimeAt)/4)
	}
	return latest
}

// nothingMayBeSent reports whether no request may be sent to any endpoint.
func (b *Balancer) nothingMayBeSent() bool { return !b.listLease.Valid(b.now) || len(b.subset) == 0 }

// rejectOrFail gives a request a final answer that is not an endpoint's: a rejection if it is safe for the
// client to retry, or else a failure. All such answers are given here.
func (b *Balancer) rejectOrFail(request *openRequest) {
	switch {
	case request.done:
		return
	case b.mayReject(request):
		b.commands.Reject(request.id, b.config.MaxRetryAfter)
	default:
		b.commands.Fail(request.id)
	}
	b.closeRequest(request)
}
