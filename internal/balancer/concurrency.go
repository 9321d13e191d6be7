package balancer

// Adaptive concurrency limits: how many requests of all nodes together an endpoint may hold. A limit is
// learned from the load reports of the endpoint, or from latency if the endpoint reports no load.

import "math"

const (
	minLimit     = 4.5 // so few requests do not congest an endpoint of mean weight
	initialLimit = 6   // for an endpoint of mean weight, until warm endpoints have limits to start from

	// targetUtilization is the reported utilization towards which limits are steered.
	targetUtilization = 0.95

	// limitGain is the change of a limit for one unit of excess, which is an answer that is one whole latency
	// target late or early. A limit falls by half of this fraction, and rises by this number of requests for
	// each node that uses the endpoint, up to initialLimit nodes.
	limitGain = 0.10

	// failedAttemptWeight is the number of answers that one rejected or unanswered attempt counts as.
	failedAttemptWeight = 3

	// maxLatencyRatio bounds the latency of an answer as a multiple of the latency target. An attempt that
	// was rejected or not answered counts as an answer with this latency.
	maxLatencyRatio = 3

	// limitInUseFraction is the fraction of a limit that must be in use for the limit to rise.
	limitInUseFraction = 0.70

	// latencyTargetExponent is the position of the latency target between the baseline latency (0) and the
	// latency objective (1), on a logarithmic scale.
	latencyTargetExponent = 0.25

	// limitObjectiveFraction is a fraction of the latency objective. A predicted limit is the number of
	// requests that an endpoint completes in that time.
	limitObjectiveFraction = 0.7
)

// loadSignal is what one attempt shows of the load of an endpoint.
type loadSignal struct {
	excess   float64 // load beyond the target: above 0 the limit falls, below 0 it may rise
	reported bool    // the source is the endpoint's own load report, not the latency of one answer
}

// recordOutcome learns from the end of an attempt. It updates the health and the limit of the endpoint and
// the latency of the request's class.
func (b *Balancer) recordOutcome(endpoint *endpointState, class int, result AttemptResult) {
	latency, target := float64(result.Latency), b.latencyTarget(endpoint, class)
	switch result.Outcome {
	case OutcomeServerError, OutcomeReset: // the latency of an error shows neither work nor load
		b.recordError(endpoint)
		return
	case OutcomeOK:
		b.recordSuccess(endpoint, class, latency)
	case OutcomeRejected:
		b.recordRejection(endpoint)
		latency = maxLatencyRatio * target // counts as late as any answer can
	case OutcomeConnectFailed, OutcomeTimeout, OutcomeCanceled:
		if result.Outcome != OutcomeConnectFailed && latency < target { // it ended before it was late
			return
		}
		b.recordNoAnswer(endpoint, class, latency, result.Outcome)
		latency = maxLatencyRatio * target // an answer would have taken even longer
	default:
		return
	}
	b.updateLimits(endpoint, b.loadSignal(endpoint, result.Outcome, latency, target))
}

// latencyTarget returns the latency towards which the limit of an endpoint is steered. A standing queue
// delays every request to the endpoint and may overload it, so the target lies between the uncongested
// latency and the latency objective. It is longer for an endpoint that is warming up.
func (b *Balancer) latencyTarget(endpoint *endpointState, class int) float64 {
	baseline := b.classes[class].latency.baseline
	objective := float64(b.config.Classes[class].LatencyObjective)
	return baseline * math.Pow(objective/baseline, latencyTargetExponent) / b.warmUpFraction(endpoint)
}

// loadSignal returns what an attempt that has ended shows of the load of its endpoint. If the attempt was
// answered, a recent load report takes precedence over the latency of this one answer, because the report
// covers all the work of the endpoint.
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

// updateLimits changes limits after an attempt to an endpoint. While each endpoint gives this node few
// answers, the latency of an answer also changes the limits of the other endpoints in the subset, with a
// weight that falls to 0 as the answer rate rises. A signal from a load report changes only the limit of the
// endpoint that reported it.
func (b *Balancer) updateLimits(endpoint *endpointState, signal loadSignal) {
	b.adjustLimit(endpoint, signal.excess, 1)
	for _, other := range b.subset {
		weight := 1 - b.answerRate*float64(b.controlPeriod)/minPeriodSamples
		if !signal.reported && other != endpoint && weight > 0 {
			b.adjustLimit(other, signal.excess, weight)
		}
	}
}

// adjustLimit changes the limit of an endpoint for one answer. The weight is 1 for an answer of this
// endpoint, and at most 1 for an answer of another endpoint. The capacity changes along with the limit,
// because the next control period, which recomputes the sum of the limits, may be far away.
func (b *Balancer) adjustLimit(endpoint *endpointState, excess, weight float64) {
	before := b.effectiveLimit(endpoint)
	switch {
	case endpoint.cores > 0 && b.usesHealthChecks():
		endpoint.limit = b.predictedLimit(endpoint)
	case excess > 0:
		cut := weight * limitGain * excess * endpoint.limit / 2
		endpoint.limit = max(minLimit*b.relativeWeight(endpoint), endpoint.limit-cut)
	case b.limitInUse(endpoint, weight):
		// All nodes that use the endpoint raise its limit together, so the step of each node is small.
		endpoint.limit -= weight * limitGain * min(b.nodesPerEndpoint, initialLimit) * excess
	}
	b.capacity += b.effectiveLimit(endpoint) - before
}

// predictedLimit returns the number of requests that an endpoint that reports its load is predicted to
// complete within limitObjectiveFraction of the latency objective. It is at least one more than the endpoint
// has cores.
func (b *Balancer) predictedLimit(endpoint *endpointState) float64 {
	work := b.meanWork * b.slownessFactor(endpoint)
	completed := endpoint.cores * b.meanObjective * limitObjectiveFraction / work
	return max(endpoint.cores+1, completed)
}

// limitInUse reports whether so much of an endpoint's limit is in use that the limit may rise. For an answer
// of another endpoint, which has a weight below 1, the same fraction of the subset's capacity must be in use
// too.
func (b *Balancer) limitInUse(endpoint *endpointState, weight float64) bool {
	used := max(b.inFlightShare(endpoint), endpoint.inFlight.mean)
	return used >= limitInUseFraction*b.effectiveLimit(endpoint) &&
		(weight == 1 || b.inFlight.mean+1 >= limitInUseFraction*b.capacity)
}

// effectiveLimit returns how many requests of this node an endpoint may hold now. A warming endpoint has all
// its cores, but they are slow: a limit in proportion to its warm-up fraction would leave most of them idle,
// and its whole limit could make answers late. The limit is therefore multiplied by the square root of that
// fraction.
func (b *Balancer) effectiveLimit(endpoint *endpointState) float64 {
	return endpoint.limit / b.nodesPerEndpoint * math.Sqrt(b.warmUpFraction(endpoint))
}

// freeCapacity returns the unused part of an endpoint's effective limit. It returns the whole limit if the
// load of the endpoint is not known until a health check shows it. It returns 0 if no whole request fits
// below the limit and the fraction of a request has already been used.
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

// updateCapacity recomputes the capacity of the subset and the typical limit of its warm endpoints. It
// returns the number of warm endpoints.
func (b *Balancer) updateCapacity() (warmEndpoints float64) {
	limits, weights := 0.0, 0.0
	b.capacity = 0
	for _, endpoint := range b.subset {
		newlyListed := endpoint.limit == 0 // its limit is derived from the others' and not set yet
		if !b.available(endpoint) || newlyListed {
			continue
		}
		b.capacity += b.effectiveLimit(endpoint)
		warm := math.Floor(b.warmUpFraction(endpoint)) // 1 for a warm endpoint, else 0
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
