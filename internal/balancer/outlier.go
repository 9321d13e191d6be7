package balancer

// Outlier detection: endpoints that fail or do not answer are ejected, which means that they get no requests
// for some time.

import (
	"math"
	"slices"
)

const (
	// silenceFactor is the multiple of the longest mean latency among the classes after which an endpoint
	// without an answer gets no more requests.
	silenceFactor = 1.5

	// ejectionFailures is the number of consecutive failures after which an endpoint is ejected.
	ejectionFailures = 3

	// errorRateGain is the weight of one answer in the error rate of an endpoint.
	errorRateGain = 0.2

	// ejectionErrorRate is the error rate above which an endpoint is ejected. About three errors in a row
	// exceed it, one error does not.
	ejectionErrorRate = 0.45

	// suspectErrorRate is the error rate from which on an endpoint gets no requests that can't be retried.
	suspectErrorRate = 0.1

	// typicalErrorRateFactor is the multiple of the median error rate by which both of these error rates are
	// raised: an endpoint is no outlier because of errors that all endpoints have.
	typicalErrorRateFactor = 2

	// maxBackoffExponent is how often the duration of an ejection, and the backoff of calls to discovery, are
	// doubled at most.
	maxBackoffExponent = 5
)

// outlierState is what is known of the failures of an endpoint.
type outlierState struct {
	consecutiveFailures int
	errorRate           float64 // moving mean of the fraction of answers that were errors
	ejections           int     // number of ejections since the error rate was last below suspectErrorRate
	ejectedUntil        Time
}

func (o *outlierState) ejected(now Time) bool { return now < o.ejectedUntil }

func (o *outlierState) recordError() { o.errorRate += errorRateGain * (1 - o.errorRate) }

func (o *outlierState) recordSuccess() {
	o.consecutiveFailures = 0
	o.errorRate -= errorRateGain * o.errorRate
	if o.errorRate < suspectErrorRate {
		o.ejections = 0
	}
}

// available reports whether an endpoint may get requests: it is ready, not ejected and not silent. An
// endpoint is silent if it has attempts in flight and has not answered for so long that its process must have
// stopped.
func (b *Balancer) available(endpoint *endpointState) bool {
	if endpoint.Phase != PhaseReady || endpoint.outlier.ejected(b.now) {
		return false
	}
	return endpoint.inFlight.count == 0 || b.now-endpoint.lastAnswerAt < b.maxSilence
}

// anyAvailable reports whether any endpoint of the subset is available.
func (b *Balancer) anyAvailable() bool { return slices.ContainsFunc(b.subset, b.available) }

// reliable reports whether an endpoint is available and has a low error rate. Non-idempotent requests are
// sent only to such endpoints, if there are any, because an error loses such a request for good. Other
// requests show whether a failing endpoint has recovered.
func (b *Balancer) reliable(endpoint *endpointState) bool {
	return b.available(endpoint) &&
		endpoint.outlier.errorRate < suspectErrorRate+typicalErrorRateFactor*b.medianErrorRate
}

// recordError records an error response or a broken connection, and ejects the endpoint if its error rate is
// too high.
func (b *Balancer) recordError(endpoint *endpointState) {
	endpoint.lastAnswerAt = b.now
	endpoint.outlier.recordError()
	if endpoint.outlier.errorRate > ejectionErrorRate+typicalErrorRateFactor*b.medianErrorRate {
		b.ejectEndpoint(endpoint)
	}
}

// recordSuccess records a response without an error.
func (b *Balancer) recordSuccess(endpoint *endpointState, class int, latency float64) {
	endpoint.lastAnswerAt = b.now
	endpoint.outlier.recordSuccess()
	b.classes[class].latency.recordAnswer(latency)
	b.warmAnswers += math.Floor(b.warmUpFraction(endpoint)) // 1 for a warm endpoint, else 0
}

// recordRejection records a response that states that the endpoint is full or draining. The endpoint rejects
// at once, and would reject the next request at once too, so several rejections in a row eject it.
func (b *Balancer) recordRejection(endpoint *endpointState) {
	endpoint.lastAnswerAt = b.now
	b.recordFailure(endpoint)
}

// recordNoAnswer records an attempt that had no answer. All such attempts count as failures, but only a
// failed connect can eject the endpoint: a late answer is a sign of load.
func (b *Balancer) recordNoAnswer(endpoint *endpointState, class int, latency float64, outcome Outcome) {
	b.classes[class].latency.recordUnanswered(latency)
	if outcome == OutcomeConnectFailed {
		b.recordFailure(endpoint)
	} else {
		endpoint.outlier.consecutiveFailures++
	}
}

// recordFailure counts a failure and ejects the endpoint after ejectionFailures in a row.
func (b *Balancer) recordFailure(endpoint *endpointState) {
	endpoint.outlier.consecutiveFailures++
	if endpoint.outlier.consecutiveFailures >= ejectionFailures {
		b.ejectEndpoint(endpoint)
	}
}

// ejectEndpoint stops sending requests to an endpoint for some time. The time doubles with each ejection
// until the error rate of the endpoint is low again. It is randomized, so that the nodes do not all return to
// the endpoint at the same moment.
func (b *Balancer) ejectEndpoint(endpoint *endpointState) {
	outlier := &endpoint.outlier
	if outlier.ejected(b.now) {
		return
	}
	duration := float64(b.controlPeriod) * math.Exp2(float64(min(outlier.ejections, maxBackoffExponent)))
	outlier.ejectedUntil = b.now + Span(duration*(0.75+b.random.uniform()/2))
	outlier.ejections++
	b.logf("endpoint ejected endpoint=%x consecutive_failures=%d error_rate=%.2f",
		uint64(endpoint.ID), outlier.consecutiveFailures, outlier.errorRate)
}

// computeMedianErrorRate returns the median of the error rates of the endpoints in use.
func (b *Balancer) computeMedianErrorRate() float64 {
	if len(b.subset) == 0 {
		return 0
	}
	rates := make([]float64, 0, len(b.subset))
	for _, endpoint := range b.subset {
		rates = append(rates, endpoint.outlier.errorRate)
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}
