package balancer

// Dispatch: the order in which queued requests are sent. Tenants come by their quotas, classes by their
// value.

// dispatch sends queued requests: first those of tenants below their slots, drawn by slots, then the others
// into capacity that nobody claims. So a tenant above its quota waits first, and is rejected first.
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

// drawTenant draws a tenant with queued requests and free slots, or returns -1.
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

// hasFreeSlot tells whether a tenant has a slot of its own, or one that is lent. Where health checks are
// used, these will show whether an endpoint has capacity to lend.
func (b *Balancer) hasFreeSlot(tenant *tenantState, lent bool) bool {
	// Asked for both kinds of slots, as it also brings the tenant's mean in flight up to date.
	ownSlot := b.belowLimit(&tenant.inFlight, tenant.quota.slots)
	if !lent {
		return ownSlot
	}
	return b.usesHealthChecks() || b.belowLimit(&b.inFlight, b.capacity)
}

// dispatchTenant sends one queued request of a tenant. Its class is drawn by the value of a request for the
// time that it takes: in an overload that gives the most value, and no class is left out.
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

// dispatchClass sends one queued request of a tenant and class. A request that must stay in its key's scope
// does not block those behind it.
func (b *Balancer) dispatchClass(tenant *tenantState, class int, lent bool) bool {
	for i := range tenant.queue {
		if b.overloadMode { // the newest first: the oldest would be answered too late
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
		if b.usesHealthChecks() { // all candidates are full: select others, but not at once
			request.waitUntil = b.now + b.queueInterval(request)
		} else if len(request.attempts) == 0 { // the next one would find no endpoint either
			return false
		}
	}
	return false
}

// readyToSend tells whether a request is queued and does not wait for health checks.
func (b *Balancer) readyToSend(request *openRequest) bool {
	return !request.done && request.queued && (b.now >= request.waitUntil || b.candidatesChecked(request))
}

// startHealthChecks selects candidates for a request that has none, and tells whether it now waits for their
// load.
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

func (b *Balancer) sendToLeastLoaded(request *openRequest) bool {
	endpoint := b.leastLoaded(request, request.candidates)
	request.candidates, request.waitUntil = nil, 0
	return b.sendAttempt(request, endpoint)
}
