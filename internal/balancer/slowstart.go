package balancer

// Slow start: an endpoint that was started a short time ago has part of its capacity, and becomes overloaded
// if it is sent more than a multiple of that within a window. Tokens keep all nodes together below it.

import "math"

const (
	slowStartBudgetFraction = 0.5  // of the budget is used; the rest is for chance and for uneven nodes
	slowStartBurstFraction  = 0.25 // of the window: a token that is not used within this time is lost
	minAnswersPerPeriod     = 2    // to all nodes: the least that a warm endpoint is assumed to give
)

// slowStartTokens are the attempts that this node may send to a warming endpoint: the whole ones now, and the
// fraction is how far the next one has come.
type slowStartTokens struct {
	count     float64
	updatedAt Time
}

// refill adds the tokens of the time that has passed. One that was not used within maxAge is lost: hundreds
// of nodes would save them up and spend them in one moment.
func (t *slowStartTokens) refill(now Time, rate, maxAge float64) {
	t.count, t.updatedAt = t.count+rate*float64(now-t.updatedAt), now
	t.count -= max(math.Ceil(t.count-1-rate*maxAge), 0)
}

// warmUpFraction is the least part of its capacity that an endpoint has now.
func (b *Balancer) warmUpFraction(endpoint *endpointState) float64 {
	age, duration := b.now-endpoint.StartedAt, b.config.SlowStartDuration
	if endpoint.StartedAt <= 0 || duration <= 0 || age >= duration {
		return 1
	}
	initial := b.config.SlowStartInitial
	return initial + (1-initial)*float64(max(age, 0))/float64(duration)
}

// hasSlowStartToken tells whether an attempt may be sent to an endpoint without overloading it as it warms
// up.
func (b *Balancer) hasSlowStartToken(endpoint *endpointState) bool {
	warmUp := b.warmUpFraction(endpoint)
	if warmUp == 1 || b.config.OverloadFactor <= 0 || b.config.OverloadWindow <= 0 {
		return true
	}
	rate := b.slowStartRate(endpoint, warmUp)
	maxAge := slowStartBurstFraction * float64(b.config.OverloadWindow)
	endpoint.slowStart.refill(b.now, rate, maxAge)
	return endpoint.slowStart.count >= 1
}

// slowStartRate is how many attempts per microsecond a warming endpoint may get of this process: a part of
// the stated multiple of its capacity, measured by what a warm endpoint answers to this node.
func (b *Balancer) slowStartRate(endpoint *endpointState, warmUp float64) float64 {
	warmRate := max(b.answerRate, minAnswersPerPeriod/float64(b.controlPeriod)/b.nodesPerEndpoint)
	weight := min(b.relativeWeight(endpoint), 1)
	return warmRate * warmUp * b.config.OverloadFactor * slowStartBudgetFraction * weight / b.processCount
}

// initialSlowStartTokens returns the fraction of a token that this node has for an endpoint that it sees for
// the first time. The tokens of all nodes follow one schedule on the clock that all machines share. The
// schedule begins when the endpoint starts, at a point that depends on the endpoint. The nodes are spread
// evenly over it by a step that is independent of the step that spreads their subsets. A node that restarts
// therefore has no more tokens than it would have had without the restart.
func (b *Balancer) initialSlowStartTokens(endpoint *endpointState) float64 {
	endpointOffset := unitInterval(hash64(endpoint.rank ^ hash64(uint64(endpoint.StartedAt))))
	nodeOffset := float64(b.config.PeerIndex) * math.Sqrt2
	age := float64(max(b.now-endpoint.StartedAt, 0))
	earned := b.slowStartRate(endpoint, b.warmUpFraction(endpoint)) * age
	return math.Mod(endpointOffset+nodeOffset+earned, 1)
}
