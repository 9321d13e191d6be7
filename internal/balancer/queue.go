package balancer

// The queues of the tenants: requests that wait for a slot.

import "slices"

// tenantState is the state of a tenant: its quota, its queue and its requests in flight.
type tenantState struct {
	quota    tenantQuota
	queue    []*openRequest // requests that wait for a slot; may include requests that have ended
	inFlight inFlightMeter
}

// hasQueued reports whether requests are queued. It removes those that have ended from the front of the
// queue.
func (t *tenantState) hasQueued() bool {
	for len(t.queue) > 0 && (t.queue[0].done || !t.queue[0].queued) {
		t.queue = t.queue[1:]
	}
	return len(t.queue) > 0
}

// enqueue appends a new request to its tenant's queue.
func (b *Balancer) enqueue(request *openRequest) {
	tenant := &b.tenants[request.tenant]
	tenant.queue = append(tenant.queue, request)
	request.queued = true
	b.setQueueTimer(request)
}

// requeue inserts a request that needs a retry at the front of its tenant's queue, as it has waited longest.
func (b *Balancer) requeue(request *openRequest) {
	tenant := &b.tenants[request.tenant]
	tenant.queue = slices.Insert(tenant.queue, 0, request)
	request.queued = true
	b.setQueueTimer(request)
}

// setQueueTimer sets the time at which a queued request is checked again even without an event, as a fraction
// of a slot may become free without one.
func (b *Balancer) setQueueTimer(request *openRequest) {
	delay := min(b.latestStart(request)-b.now, b.queueInterval(request))
	b.setRequestTimer(request, timerQueue, max(0, delay))
}

// queueInterval returns the interval at which a queued request is checked.
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
