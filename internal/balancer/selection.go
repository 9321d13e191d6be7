package balancer

// Endpoint selection: candidates drawn in proportion to slots, and the least loaded of them.

import (
	"math"
	"slices"
)

const (
	latencyMargin         = 1.2 // times the predicted latency an answer may take, by which it must be in time
	healthCheckCandidates = 3   // candidates for a request if health checks tell their load
	randomCandidates      = 2   // otherwise: the power of two choices
)

// selectCandidates draws endpoints in proportion to the tenant's slots on them, or to the capacity lent. If
// none is available, it draws from all in use.
func (b *Balancer) selectCandidates(request *openRequest, lent bool) (candidates []*endpointState) {
	idempotency := b.config.Classes[request.class].Idempotency
	pool := b.subset
	if idempotency == IdempotentByKey && firstThatMayHaveRun(request.attempts) != nil {
		pool = b.endpoints // its key's scope may lie outside the subset
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

// selectionWeight is the number of a tenant's slots on an endpoint, if one is free, or the capacity that can
// be lent.
func (b *Balancer) selectionWeight(endpoint *endpointState, tenant int, lent bool) float64 {
	if lent {
		return max(b.freeCapacity(endpoint), 0)
	}
	slotFree := float64(endpoint.inFlightByTenant[tenant]) < endpoint.slots[tenant]
	belowLimit := float64(endpoint.inFlight.count) < max(b.effectiveLimit(endpoint), 1)
	if !slotFree || !belowLimit {
		return 0
	}
	return endpoint.slots[tenant] // all of them, whatever part of the endpoint is lent to other tenants
}

func (b *Balancer) candidateCount() int {
	if b.usesHealthChecks() {
		return healthCheckCandidates
	}
	return randomCandidates
}

// drawEndpoint draws an index by endpointWeights: at random, or by weighted rendezvous hashing of a key if
// endpoints do less work for one that they have seen. Over all keys the endpoints are still drawn in
// proportion to their weights, but one key selects the same endpoints at every node.
func (b *Balancer) drawEndpoint(key uint64, pool []*endpointState) int {
	if key == 0 {
		return b.random.weightedIndex(b.endpointWeights[:len(pool)])
	}
	best, lowestScore := -1, math.Inf(1)
	for i, endpoint := range pool {
		u := float64(hash64(key^endpoint.rank)>>11+1) / (1 << 53) // in (0, 1], for the logarithm
		weight := b.endpointWeights[i]
		if weight > 0 && 1-u < lowestScore*weight { // -ln u is 1-u at least: that spares most logarithms
			if score := -math.Log(u) / weight; score < lowestScore {
				best, lowestScore = i, score
			}
		}
	}
	return best
}

// leastLoaded is the candidate that uses the least part of its limit, or nil if none has capacity.
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

// expectedInTime reports whether the predicted latency permits an attempt: the answer must be in time. An idle
// endpoint gets an attempt now and then although its answer is predicted to be late: the prediction may be
// wrong, and only answers correct it.
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
