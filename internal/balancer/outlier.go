package balancer

// Outlier detection: endpoints that fail or give no answer, and their ejection.

import (
	"math"
	"slices"
)

const (
	silenceFactor          = 1.5  // mean latencies without an answer after which an endpoint gets nothing new
	ejectionFailures       = 3    // consecutive failures that eject an endpoint
	errorRateGain          = 0.2  // weight of one answer in an endpoint's error rate
	ejectionErrorRate      = 0.45 // ejects an endpoint: about three errors in a row, not one
	suspectErrorRate       = 0.1  // above it, an endpoint gets nothing that can't be retried
	typicalErrorRateFactor = 2    // median error rates by which both are raised: what all have is no outlier
	maxBackoffExponent     = 5    // of an ejection's time, and of the backoff of calls to discovery
)

// outlierState is what is known of an endpoint's failures.
type outlierState struct {
	consecutiveFailures int
	errorRate           float64 // part of its answers that were errors, a moving mean
	ejections           int     // since its error rate was last low
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

// available tells whether an endpoint may get requests: it is ready, not ejected, and not without an answer
// for as long as only a stopped process would be.
func (b *Balancer) available(endpoint *endpointState) bool {
	if endpoint.Phase != PhaseReady || endpoint.outlier.ejected(b.now) {
		return false
	}
	return endpoint.inFlight.count == 0 || b.now-endpoint.lastAnswerAt < b.maxSilence
}

func (b *Balancer) anyAvailable() bool { return slices.ContainsFunc(b.subset, b.available) }

// reliable tells whether an endpoint is available and has lately answered without errors. Requests that must
// run once go there alone: an error loses one for good, while others show whether the endpoint has recovered.
func (b *Balancer) reliable(endpoint *endpointState) bool {
	return b.available(endpoint) &&
		endpoint.outlier.errorRate < suspectErrorRate+typicalErrorRateFactor*b.medianErrorRate
}

// recordError takes an error response or a broken connection.
func (b *Balancer) recordError(endpoint *endpointState) {
	endpoint.lastAnswerAt = b.now
	endpoint.outlier.recordError()
	if endpoint.outlier.errorRate > ejectionErrorRate+typicalErrorRateFactor*b.medianErrorRate {
		b.ejectEndpoint(endpoint)
	}
}

// recordSuccess takes a response without error.
func (b *Balancer) recordSuccess(endpoint *endpointState, class int, latency float64) {
	endpoint.lastAnswerAt = b.now
	endpoint.outlier.recordSuccess()
	b.classes[class].latency.recordAnswer(latency)
	b.warmAnswers += math.Floor(b.warmUpFraction(endpoint)) // 1 for a warm endpoint, else 0
}

// recordRejection takes a response that says that the endpoint is full or draining. It came at once, so the
// next request would be rejected at once too: several in a row eject.
func (b *Balancer) recordRejection(endpoint *endpointState) {
	endpoint.lastAnswerAt = b.now
	b.recordFailure(endpoint)
}

// recordNoAnswer takes an attempt without an answer. Only failed connects eject: a late answer is a
// sign of load.
func (b *Balancer) recordNoAnswer(endpoint *endpointState, class int, latency float64, outcome Outcome) {
	b.classes[class].latency.recordUnanswered(latency)
	if outcome == OutcomeConnectFailed {
		b.recordFailure(endpoint)
	} else {
		endpoint.outlier.consecutiveFailures++
	}
}

func (b *Balancer) recordFailure(endpoint *endpointState) {
	endpoint.outlier.consecutiveFailures++
	if endpoint.outlier.consecutiveFailures >= ejectionFailures {
		b.ejectEndpoint(endpoint)
	}
}

// ejectEndpoint sends nothing to an endpoint for some time, twice as long each time until its errors cease.
// The time varies, so that the nodes do not return to it together.
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

// computeMedianErrorRate is the error rate that is usual among the endpoints in use.
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
