package balancer

// Admission and load shedding: until when a request may wait, and what is rejected.

// setDeadlineTimer sets the time of a request's final answer. If an answer past the objective is worth
// nothing and attempts may be canceled, that is shortly before the objective: it spares the endpoint the
// work.
func (b *Balancer) setDeadlineTimer(request *openRequest) {
	end := request.deadline
	if b.config.Classes[request.class].LateValue == 0 && b.config.AllowCancel && request.objectiveAt > b.now {
		margin := min(b.config.TickInterval, (request.objectiveAt-b.now)/8)
		end = request.objectiveAt - margin - Span(b.networkDelay)
	}
	b.setRequestTimer(request, timerDeadline, max(end-b.now, 0))
}

// wouldBeLate tells whether a new request has no time left: it is rejected before any other.
func (b *Balancer) wouldBeLate(request *openRequest) bool {
	if b.overloadMode && request.objectiveAt <= b.now {
		return true
	}
	return b.classes[request.class].work.samples > 0 && b.latestStart(request) <= b.now
}

// latestStart is the time after which a queued request is rejected, as its answer would be late: a rejection
// before the latency objective costs its client less.
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
		// Newer requests go first. The sooner a client has its rejection, the more time it has for a retry.
		latest = min(latest, request.halfTimeAt)
	}
	if b.nothingMayBeSent() { // the client must have its rejection within half of its time
		latest = min(latest, request.halfTimeAt-(request.deadline-request.halfTimeAt)/4)
	}
	return latest
}

// nothingMayBeSent tells whether no endpoint may be sent to, whichever the request.
func (b *Balancer) nothingMayBeSent() bool { return !b.listLease.Valid(b.now) || len(b.subset) == 0 }

// rejectOrFail is the only way to a final answer that does not come from an endpoint.
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
