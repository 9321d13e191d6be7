package balancer

// Slow start: an endpoint that was started recently has only part of its capacity. It becomes overloaded if
// it is sent more than a multiple of that capacity within a window. Tokens keep all nodes together below this
// budget.

import "math"

const (
	// slowStartBudgetFraction is the fraction of the budget that is used. The rest allows for random
	// variation and for an uneven distribution over the nodes.
	slowStartBudgetFraction = 0.5

	// slowStartBurstFraction is the fraction of the overload window after which an unused token expires.
	slowStartBurstFraction = 0.25

	// minAnswersPerPeriod is the least number of answers to all nodes that a warm endpoint is assumed to give
	// in a control period.
	minAnswersPerPeriod = 2
)

// slowStartTokens counts the attempts that this node may send to a warming endpoint. Each whole token allows
// an attempt now; the fraction shows how much of the next token has accrued.
type slowStartTokens struct {
	count     float64
	updatedAt Time
}

// refill adds the tokens that have accrued since the last call. A token that is not used within maxAge
// expires: otherwise hundreds of nodes would save up tokens and spend them at the same moment.
func (t *slowStartTokens) refill(now Time, rate, maxAge float64) {
	t.count, t.updatedAt = t.count+rate*float64(now-t.updatedAt), now
	t.count -= max(math.Ceil(t.count-1-rate*maxAge), 0)
}

// warmUpFraction returns the least fraction of its capacity that an endpoint has now. It is 1 for a warm
// endpoint.
func (b *Balancer) warmUpFraction(endpoint *endpointState) float64 {
	age, duration := b.now-endpoint.StartedAt, b.config.SlowStartDuration
	if endpoint.StartedAt <= 0 || duration <= 0 || age >= duration {
		return 1
	}
	initial := b.config.SlowStartInitial
	return initial + (1-initial)*float64(max(age, 0))/float64(duration)
}

// hasSlowStartToken reports whether an attempt may be sent to an endpoint without the risk of overloading it
// while it warms up.
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

// slowStartRate returns how many attempts per microsecond this process may send to a warming endpoint. This
// is a part of the configured multiple of the endpoint's capacity, which is measured by the rate at which a
// warm endpoint answers this node.
func (b *Balancer) slowStartRate(endpoint *endpointState, warmUp float64) float64 {
	warmRate := max(b.answerRate, minAnswersPerPeriod/float64(b.controlPeriod)/b.nodesPerEndpoint)
	weight := min(b.relativeWeight(endpoint), 1)
	return warmRate * warmUp * b.config.OverloadFactor * slowStartBudgetFraction * weight / b.processCount
}

// initialSlowStartTokens returns the fraction of a token that this node has for an endpoint that it sees for
// the first time. The tokens of all nodes follow one schedule on the clock that all machines share. The
// schedule begins when the endpoint starts, with an offset that depends on the endpoint. The nodes are spread
// evenly over the schedule by a step that is independent of the step that spreads their subsets. A node that
// restarts has no more tokens than it would have had without the restart.
func (b *Balancer) initialSlowStartTokens(endpoint *endpointState) float64 {
	endpointOffset := unitInterval(hash64(endpoint.rank ^ hash64(uint64(endpoint.StartedAt))))
	nodeOffset := float64(b.config.PeerIndex) * math.Sqrt2
	age := float64(max(b.now-endpoint.StartedAt, 0))
	earned := b.slowStartRate(endpoint, b.warmUpFraction(endpoint)) * age
	return math.Mod(endpointOffset+nodeOffset+earned, 1)
}
