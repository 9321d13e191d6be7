package balancer

// Adaptive concurrency limits: how many requests an endpoint may hold of all nodes together, learned from
// load reports, or from latency where an endpoint reports none.

import "math"

const (
	minLimit               = 4.5  // so few do not congest an endpoint
	initialLimit           = 6    // of an endpoint of which nothing is known
	targetUtilization      = 0.95 // reported utilization that limits are steered for
	limitGain              = 0.10 // change of a limit for one answer that is a whole target early or late
	failedAttemptWeight    = 3    // answers for which an attempt counts that was rejected or given up
	maxLatencyRatio        = 3    // times the target that such an attempt, or a later answer, counts as
	limitInUseFraction     = 0.70 // a limit rises only while this part of it is in use
	latencyTargetExponent  = 0.25 // position of the target from baseline to objective, on a log scale
	limitObjectiveFraction = 0.7  // of the objective: a limit is what an endpoint completes in that time
)

// loadSignal is what one attempt says of an endpoint's load.
type loadSignal struct {
	excess   float64 // above 0 the limit falls, below 0 it may rise
	reported bool    // by the endpoint's own report, not by the latency of one answer
}

// recordOutcome learns from the end of an attempt: the endpoint's health, its class's latency, the endpoint's
// limit.
func (b *Balancer) recordOutcome(endpoint *endpointState, class int, result AttemptResult) {
	latency, target := float64(result.Latency), b.latencyTarget(endpoint, class)
	switch result.Outcome {
	case OutcomeServerError, OutcomeReset: // the latency of an error says nothing of work or load
		b.recordError(endpoint)
		return
	case OutcomeOK:
		b.recordSuccess(endpoint, class, latency)
	case OutcomeRejected:
		b.recordRejection(endpoint)
		latency = maxLatencyRatio * target // as late as can be
	case OutcomeConnectFailed, OutcomeTimeout, OutcomeCanceled:
		if result.Outcome != OutcomeConnectFailed && latency < target { // it was not late yet
			return
		}
		b.recordNoAnswer(endpoint, class, latency, result.Outcome)
		latency = maxLatencyRatio * target // it would have taken longer still
	default:
		return
	}
	b.updateLimits(endpoint, b.loadSignal(endpoint, result.Outcome, latency, target))
}

// latencyTarget is the latency that limits are steered for. A standing queue slows an endpoint for all and
// may overload it, so the target lies between the uncongested latency and the objective.
func (b *Balancer) latencyTarget(endpoint *endpointState, class int) float64 {
	baseline := b.classes[class].latency.baseline
	objective := float64(b.config.Classes[class].LatencyObjective)
	return baseline * math.Pow(objective/baseline, latencyTargetExponent) / b.warmUpFraction(endpoint)
}

// loadSignal prefers the endpoint's own report, which covers all its work, to the latency of one answer.
func (b *Balancer) loadSignal(
	endpoint *endpointState, outcome Outcome, latency, target float64,
) loadSignal {
	reported := &endpoint.reported
	fresh := b.now-reported.changedAt < reportFreshPeriods*b.controlPeriod
	if outcome == OutcomeOK && reported.Utilization >= 0 && fresh {
		utilization := (reported.Utilization - targetUtilization) / (1 - targetUtilization)
		backlog := min(max(reported.Backlog, 0), 1)
		return loadSignal{excess: min(max(utilization, -1), 1) + backlog, reported: true}
	}
	excess := min(latency/target, maxLatencyRatio) - 1
	if outcome != OutcomeOK {
		excess *= failedAttemptWeight
	}
	return loadSignal{excess: excess}
}

// updateLimits changes the limit of an endpoint after an attempt. While each endpoint gives this node few
// answers, a signal that is derived from latency changes the limits of the other endpoints as well, with a
// weight that falls to 0 as the answer rate rises. A load report changes only the limit of its own endpoint.
func (b *Balancer) updateLimits(endpoint *endpointState, signal loadSignal) {
	b.adjustLimit(endpoint, signal.excess, 1)
	for _, other := range b.subset {
		weight := 1 - b.answerRate*float64(b.controlPeriod)/minPeriodSamples
		if !signal.reported && other != endpoint && weight > 0 {
			b.adjustLimit(other, signal.excess, weight)
		}
	}
}

// adjustLimit changes a limit by one answer, or by a part of one that came from another endpoint. It changes
// the capacity too: the next control period, which sums up the limits, may be far away.
func (b *Balancer) adjustLimit(endpoint *endpointState, excess, weight float64) {
	before := b.effectiveLimit(endpoint)
	switch {
	case endpoint.cores > 0 && b.usesHealthChecks():
		endpoint.limit = b.predictedLimit(endpoint)
	case excess > 0:
		cut := weight * limitGain * excess * endpoint.limit / 2
		endpoint.limit = max(minLimit*b.relativeWeight(endpoint), endpoint.limit-cut)
	case b.limitInUse(endpoint, weight):
		// All nodes that use the endpoint raise it together, so each one's step is small.
		endpoint.limit -= weight * limitGain * min(b.nodesPerEndpoint, initialLimit) * excess
	}
	b.capacity += b.effectiveLimit(endpoint) - before
}

// predictedLimit is what an endpoint that reports its load completes within objectiveFillFraction of the
// objective.
func (b *Balancer) predictedLimit(endpoint *endpointState) float64 {
	work := b.meanWork * b.slownessFactor(endpoint)
	completed := endpoint.cores * b.meanObjective * limitObjectiveFraction / work
	return max(endpoint.cores+1, completed)
}

// limitInUse tells whether so much of a limit is in use that it may rise. For a part of an answer from
// another endpoint, that must hold for the whole subset too.
func (b *Balancer) limitInUse(endpoint *endpointState, weight float64) bool {
	used := max(b.inFlightShare(endpoint), endpoint.inFlight.mean)
	return used >= limitInUseFraction*b.effectiveLimit(endpoint) &&
		(weight == 1 || b.inFlight.mean+1 >= limitInUseFraction*b.capacity)
}

// effectiveLimit is what an endpoint may hold of this node's requests now. A warming endpoint has all its
// cores, but they are slow: a limit in proportion to its warm-up leaves most of them idle, and the whole
// limit may make answers late. So it shrinks with the square root.
func (b *Balancer) effectiveLimit(endpoint *endpointState) float64 {
	return endpoint.limit / b.nodesPerEndpoint * math.Sqrt(b.warmUpFraction(endpoint))
}

// freeCapacity is what is left of an endpoint's limit: all of it if a health check will show its load, and
// nothing if no whole request fits and the fraction of one has been used.
func (b *Balancer) freeCapacity(endpoint *endpointState) float64 {
	used := b.inFlightShare(endpoint)
	limit := b.effectiveLimit(endpoint)
	fresh := b.hasFreshReport(endpoint)
	switch {
	case b.usesHealthChecks() && !fresh:
		return limit
	case fresh || b.belowLimit(&endpoint.inFlight, limit):
		return limit - used
	}
	return 0
}

// updateCapacity sums what the subset can hold and returns how many of its endpoints are warm.
func (b *Balancer) updateCapacity() (warmEndpoints float64) {
	limits, weights := 0.0, 0.0
	b.capacity = 0
	for _, endpoint := range b.subset {
		newlyListed := endpoint.limit == 0 // its limit depends on the others' and is not set yet
		if !b.available(endpoint) || newlyListed {
			continue
		}
		b.capacity += b.effectiveLimit(endpoint)
		warm := math.Floor(b.warmUpFraction(endpoint)) // 1 or 0
		warmEndpoints += warm
		limits += warm * endpoint.limit
		weights += warm * b.relativeWeight(endpoint)
	}
	b.typicalLimit = initialLimit
	if warmEndpoints > 0 {
		b.typicalLimit = limits / weights
	}
	return warmEndpoints
}
