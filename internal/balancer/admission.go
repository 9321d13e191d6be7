package balancer

// Admission and load shedding: which requests are queued, until when, and what is rejected in an overload.

import "slices"

const (
	overloadEnterUtilization = 0.92 // mean reported utilization at which overload begins
	overloadExitUtilization  = 0.80 // and below which it may end; between both the mode stays
	reportFreshPeriods       = 3    // control periods after which a report that does not change says nothing
)

// loadMode says whether the fleet has capacity left.
type loadMode int

// The modes of the paper: its equations blend utilization by mode.
const (
	underload loadMode = iota
	overload
	modes
)

func (b *Balancer) mode() loadMode {
	if b.overloadMode {
		return overload
	}
	return underload
}

// updateMode changes between underload and overload.
func (b *Balancer) updateMode() {
	if b.overloadDetected() == b.overloadMode {
		return
	}
	b.overloadMode = !b.overloadMode
	b.logf("overload mode changed overloaded=%v slots=%.0f", b.overloadMode, b.capacity)
}

// overloadDetected derives the mode from the node's own queue and from the endpoints' load reports, if fresh.
func (b *Balancer) overloadDetected() bool {
	threshold := overloadEnterUtilization
	if b.overloadMode {
		threshold = overloadExitUtilization
	}
	return b.anyQueued() || b.meanUtilization(reportFreshPeriods*b.controlPeriod) > threshold
}

// meanUtilization is the mean over the reports of endpoints in use that have changed within a time; 0 without
// any.
func (b *Balancer) meanUtilization(within Span) float64 {
	sum, count := 0.0, 0.0
	for _, endpoint := range b.subset {
		reported := &endpoint.reported
		if b.available(endpoint) && reported.Utilization >= 0 && b.now-reported.changedAt < within {
			sum += reported.Utilization
			count++
		}
	}
	return sum / max(count, 1)
}

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
	if b.overloadMode && len(request.attempts) == 0 {
		// Newer requests go first. The sooner a client has its rejection, the more time it has for a retry.
		latest = min(latest, request.halfTimeAt)
	}
	return latest
}

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

// tenantState is what is known of a tenant.
type tenantState struct {
	quota    tenantQuota
	queue    []*openRequest // requests that wait for a slot; it may hold some that have ended meanwhile
	inFlight inFlightMeter
}

// hasQueued tells whether requests wait. It drops those at the front that have ended.
func (t *tenantState) hasQueued() bool {
	for len(t.queue) > 0 && (t.queue[0].done || !t.queue[0].queued) {
		t.queue = t.queue[1:]
	}
	return len(t.queue) > 0
}

// enqueue puts a request into its tenant's queue, at the front or at the end.
func (b *Balancer) enqueue(request *openRequest, atFront bool) {
	tenant := &b.tenants[request.tenant]
	request.queued = true
	if atFront {
		tenant.queue = slices.Insert(tenant.queue, 0, request)
	} else {
		tenant.queue = append(tenant.queue, request)
	}
	b.setQueueTimer(request)
}

// setQueueTimer sets the next time at which a queued request is looked at even if nothing happens: the
// fraction of a slot may become free without an event.
func (b *Balancer) setQueueTimer(request *openRequest) {
	delay := min(b.latestStart(request)-b.now, b.queueInterval(request))
	b.setRequestTimer(request, timerQueue, max(0, delay))
}

func (b *Balancer) queueInterval(request *openRequest) Span {
	return max(Span(b.classes[request.class].latency.mean/4), 2*b.config.TickInterval)
}

func (b *Balancer) anyQueued() bool {
	for i := range b.tenants {
		if b.tenants[i].hasQueued() {
			return true
		}
	}
	return false
}
