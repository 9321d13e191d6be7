package balancer

// Endpoint selection: candidates are drawn in proportion to slots, and the least loaded of them gets the
// request.

import (
	"math"
	"slices"
)

const (
	latencyMargin         = 1.2 // an answer that takes this multiple of the predicted latency must be in time
	healthCheckCandidates = 3   // candidates of a request if health checks show their load
	randomCandidates      = 2   // candidates of a request without health checks: the power of two choices
)

// selectCandidates draws endpoints for a request, in proportion to its tenant's slots on them or to the
// capacity that can be lent. If no endpoint of the subset is available, it draws from unavailable ones too.
func (b *Balancer) selectCandidates(request *openRequest, lent bool) (candidates []*endpointState) {
	idempotency := b.config.Classes[request.class].Idempotency
	pool := b.subset
	if idempotency == IdempotentByKey && firstThatMayHaveRun(request.attempts) != nil {
		pool = b.endpoints // the scope of its key may be outside the subset
	}
	onlyAvailable := b.anyAvailable()
	onlyReliable := idempotency == NonIdempotent && slices.ContainsFunc(pool, b.reliable)
	weights := b.endpointWeights[:len(pool)]
	for i, endpoint := range pool {
		weights[i] = 0
		if onlyAvailable && !b.available(endpoint) || onlyReliable && !b.reliable(endpoint) {
			continue
		}
		if b.mayAttempt(request, endpoint) {
			weights[i] = b.selectionWeight(endpoint, request.tenant, lent)
		}
	}
	draw := func() int { return b.drawEndpoint(request.affinityKey, pool) }
	for i := draw(); i >= 0 && len(candidates) < b.candidateCount(); i = draw() {
		candidates = append(candidates, pool[i])
		weights[i] = 0
	}
	return candidates
}

// selectionWeight returns the weight with which an endpoint is drawn: the number of a tenant's slots on it,
// or 0 if none of these is free or the endpoint is at its limit. For lent capacity the weight is the free
// part of the endpoint's limit.
func (b *Balancer) selectionWeight(endpoint *endpointState, tenant int, lent bool) float64 {
	if lent {
		return max(b.freeCapacity(endpoint), 0)
	}
	slotFree := float64(endpoint.inFlightByTenant[tenant]) < endpoint.slots[tenant]
	belowLimit := float64(endpoint.inFlight.count) < max(b.effectiveLimit(endpoint), 1)
	if !slotFree || !belowLimit {
		return 0
	}
	return endpoint.slots[tenant] // in full, however much of the endpoint is lent to other tenants
}

// candidateCount returns the number of candidates that are drawn for a request.
func (b *Balancer) candidateCount() int {
	if b.usesHealthChecks() {
		return healthCheckCandidates
	}
	return randomCandidates
}

// drawEndpoint draws an index into the pool according to endpointWeights, or returns -1 if all weights are 0.
// It draws at random, or by weighted rendezvous hashing of the affinity key if endpoints do less work for
// keys that they have seen. Over all keys, endpoints are still drawn in proportion to their weights, but a
// given key selects the same endpoints at every node.
func (b *Balancer) drawEndpoint(key uint64, pool []*endpointState) int {
	if key == 0 {
		return b.random.weightedIndex(b.endpointWeights[:len(pool)])
	}
	best, lowestScore := -1, math.Inf(1)
	for i, endpoint := range pool {
		u := float64(hash64(key^endpoint.rank)>>11+1) / (1 << 53) // in (0, 1], where -ln u is finite
		weight := b.endpointWeights[i]
		if weight > 0 && 1-u < lowestScore*weight { // -ln u is at least 1-u: saves most logarithms
			if score := -math.Log(u) / weight; score < lowestScore {
				best, lowestScore = i, score
			}
		}
	}
	return best
}

// leastLoaded returns the candidate that uses the smallest part of its limit, among those that may get the
// request and are expected to answer in time, or nil if there is none. With health checks, a candidate must
// also have a fresh report and free capacity.
func (b *Balancer) leastLoaded(request *openRequest, candidates []*endpointState) (best *endpointState) {
	lowest := math.Inf(1)
	for _, endpoint := range candidates {
		load := b.inFlightShare(endpoint) / b.effectiveLimit(endpoint)
		usable := !b.usesHealthChecks() || b.hasFreshReport(endpoint) && b.freeCapacity(endpoint) > 0
		if usable && load < lowest && b.mayAttempt(request, endpoint) && b.expectedInTime(request, endpoint) {
			best, lowest = endpoint, load
		}
	}
	return best
}

// expectedInTime reports whether the answer of an endpoint is predicted to be in time, that is, by the
// latency objective or, if late answers have a value, by the deadline. An idle endpoint is accepted now and
// then although its answer is predicted to be late: the prediction may be wrong, and only answers correct it.
func (b *Balancer) expectedInTime(request *openRequest, endpoint *endpointState) bool {
	class := &b.config.Classes[request.class]
	latest := request.objectiveAt
	if class.LateValue > 0 {
		latest = request.deadline
	}
	prediction := b.predictLatency(request, endpoint)
	latency := prediction.latency * b.slownessFactor(endpoint)
	timeLeft := float64(latest - b.now)
	if latency == 0 || latency*latencyMargin <= timeLeft {
		return true
	}
	if prediction.inFlight != 0 {
		return false
	}
	mayExplore := class.Idempotency != NonIdempotent && b.now-b.lastExpectedLateAttemptAt > b.controlPeriod
	return latency <= timeLeft || mayExplore
}
