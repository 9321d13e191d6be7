package balancer

// The queues of the tenants: requests that wait for a slot.

import "slices"

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

// enqueue puts a new request at the end of its tenant's queue.
func (b *Balancer) enqueue(request *openRequest) {
	tenant := &b.tenants[request.tenant]
	tenant.queue = append(tenant.queue, request)
	request.queued = true
	b.setQueueTimer(request)
}

// requeue puts a request that needs a retry at the start of its tenant's queue: it has waited longest.
func (b *Balancer) requeue(request *openRequest) {
	tenant := &b.tenants[request.tenant]
	tenant.queue = slices.Insert(tenant.queue, 0, request)
	request.queued = true
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
