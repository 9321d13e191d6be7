package balancer

// Dispatch: the order in which queued requests are sent. Tenants are drawn by their slots, and the classes of
// a tenant by the value of their requests.

// dispatch sends queued requests. The first pass sends those of tenants that use less than their slots, the
// second pass those of any tenant to capacity that is not in use, which is lent to them. So the requests of a
// tenant above its quota are the first to wait, and the first to be rejected.
func (b *Balancer) dispatch() {
	for _, lent := range []bool{false, true} {
		clear(b.blockedTenants)
		for {
			tenant := b.drawTenant(lent)
			if tenant < 0 {
				break
			}
			b.blockedTenants[tenant] = !b.dispatchTenant(&b.tenants[tenant], lent)
		}
	}
}

// drawTenant draws a tenant that has queued requests and a free slot, in proportion to the slots of the
// tenants. It returns -1 if there is none.
func (b *Balancer) drawTenant(lent bool) int {
	for i := range b.tenants {
		tenant := &b.tenants[i]
		b.tenantWeights[i] = 0
		if b.hasFreeSlot(tenant, lent) && !b.blockedTenants[i] && tenant.hasQueued() {
			b.tenantWeights[i] = tenant.quota.slots
		}
	}
	return b.random.weightedIndex(b.tenantWeights)
}

// hasFreeSlot reports whether a tenant has a free slot of its own, or with lent set, whether there is
// capacity to lend to it. Where health checks are used, they will show whether an endpoint has such capacity.
func (b *Balancer) hasFreeSlot(tenant *tenantState, lent bool) bool {
	// belowLimit is called in both cases, as it also updates the tenant's mean number in flight.
	ownSlot := b.belowLimit(&tenant.inFlight, tenant.quota.slots)
	if !lent {
		return ownSlot
	}
	return b.usesHealthChecks() || b.belowLimit(&b.inFlight, b.capacity)
}

// dispatchTenant sends one queued request of a tenant, and reports whether it did. The class is drawn in
// proportion to the value of a request divided by its latency: in an overload this yields the most value
// without excluding any class.
func (b *Balancer) dispatchTenant(tenant *tenantState, lent bool) bool {
	clear(b.classWeights)
	for _, request := range tenant.queue {
		if !request.done && request.queued {
			value := b.config.Classes[request.class].PriorityWeight
			b.classWeights[request.class] = value / b.classes[request.class].latency.mean
		}
	}
	for {
		class := b.random.weightedIndex(b.classWeights)
		if class < 0 {
			return false
		}
		b.classWeights[class] = 0
		if b.dispatchClass(tenant, class, lent) {
			return true
		}
	}
}

// dispatchClass sends one queued request of a tenant and class, and reports whether it did. A request that
// can only be sent within the scope of its idempotency key does not block the requests behind it.
func (b *Balancer) dispatchClass(tenant *tenantState, class int, lent bool) bool {
	for i := range tenant.queue {
		if b.overloadMode { // the newest first, as the oldest would be answered too late
			i = len(tenant.queue) - 1 - i
		}
		request := tenant.queue[i]
		if request.class != class || !b.readyToSend(request) || b.startHealthChecks(request, lent) {
			continue
		}
		if b.sendToLeastLoaded(request) {
			request.queued = false
			tenant.queue = append(tenant.queue[:i], tenant.queue[i+1:]...)
			return true
		}
		if b.usesHealthChecks() { // all candidates are full: select others after a queue interval
			request.waitUntil = b.now + b.queueInterval(request)
		} else if len(request.attempts) == 0 { // the next request would find no endpoint either
			return false
		}
	}
	return false
}

// readyToSend reports whether a request is queued and no longer waits for health checks.
func (b *Balancer) readyToSend(request *openRequest) bool {
	return !request.done && request.queued && (b.now >= request.waitUntil || b.candidatesChecked(request))
}

// startHealthChecks selects candidates for a request that has none, and sends them health checks if these are
// in use. It reports whether the request now waits for the answers.
func (b *Balancer) startHealthChecks(request *openRequest, lent bool) bool {
	if request.candidates != nil {
		return false
	}
	request.candidates = b.selectCandidates(request, lent)
	if !b.usesHealthChecks() || len(request.candidates) == 0 {
		return false
	}
	b.checkCandidates(request)
	return true
}

// sendToLeastLoaded sends a request to the least loaded of its candidates, if one has capacity. It clears the
// candidates and reports whether the request was sent.
func (b *Balancer) sendToLeastLoaded(request *openRequest) bool {
	endpoint := b.leastLoaded(request, request.candidates)
	request.candidates, request.waitUntil = nil, 0
	return b.sendAttempt(request, endpoint)
}
