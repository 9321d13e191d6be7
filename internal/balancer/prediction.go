package balancer

// Latency prediction, which requires that endpoints report how many requests they hold and how many of these
// wait. It is computed from the work of a class, the work of a request relative to that, and the slowness of
// an endpoint. docs/design.md describes what it is used for.

import "math"

const (
	// workGain is the least weight of one answer in the work of a class, and its weight in the mean over
	// classes.
	workGain = 0.05

	// initialWorkSamples is the number of answers that the first estimate of the work of a class, which is a
	// quarter of the latency objective, counts as.
	initialWorkSamples = 4

	// slownessGain is the weight of one answer in the slowness of an endpoint.
	slownessGain = 0.2

	// slownessDecay is the part of its distance from 1 that the slowness of an endpoint loses in each control
	// period without attempts in flight.
	slownessDecay = 0.05

	// maxSlownessRatio is the largest multiple of the current slowness that one answer counts as, since a
	// single answer may be an exception.
	maxSlownessRatio = 4

	// minWorkRatio keeps the logarithms of relative work finite.
	minWorkRatio = 1e-3
)

// latencyPrediction is the prediction for an attempt at the time when it was sent.
type latencyPrediction struct {
	latency      float64 // for an endpoint of usual speed; 0: no prediction
	inFlight     float64 // number of requests that the endpoint held
	expectedLate bool    // the predicted answer was later than the latency objective
}

// workEstimate is the estimated time that a request of a class takes on an endpoint that has nothing else to
// do.
type workEstimate struct {
	mean    float64
	samples float64 // number of answers from which the mean was learned
}

// learn updates the estimate with an answer whose latency was the given multiple of the prediction.
func (w *workEstimate) learn(ratio float64) {
	w.samples++
	w.mean *= 1 + max(workGain, 1/(w.samples+initialWorkSamples))*(ratio-1)
}

// predictLatency predicts the latency of a request if it is sent to an endpoint now. The predicted latency
// holds for an endpoint of usual speed; slownessFactor returns the factor for this endpoint. It is 0 if the
// endpoint reports too little.
func (b *Balancer) predictLatency(request *openRequest, endpoint *endpointState) latencyPrediction {
	if endpoint.cores == 0 || !b.usesHealthChecks() {
		return latencyPrediction{}
	}
	inFlight := b.totalInFlight(endpoint)
	waiting := max(inFlight+1-endpoint.cores, 0) / endpoint.cores * b.meanWork
	work := request.relativeWork * b.classes[request.class].work.mean
	return latencyPrediction{latency: work + waiting, inFlight: inFlight}
}

// slownessFactor returns the time that an endpoint takes as a multiple of what is usual, including the effect
// of its warm-up.
func (b *Balancer) slownessFactor(endpoint *endpointState) float64 {
	return endpoint.slowness / math.Sqrt(b.warmUpFraction(endpoint))
}

// expectedWork returns the time that a request is expected to take on an endpoint that has nothing else to
// do, or the mean latency of its class, which includes the time in queues, if endpoints report too little.
// The mean of the class counts as at most half of the latency objective: only answers can lower it, so it
// must not keep out all requests.
func (b *Balancer) expectedWork(request *openRequest) float64 {
	class, half := &b.classes[request.class], float64(b.config.Classes[request.class].LatencyObjective)/2
	if class.work.samples > 0 {
		return request.relativeWork * min(class.work.mean, half)
	}
	return min(class.latency.mean, half)
}

// recordLatency learns from the latency of an attempt that was answered, or that was not answered within that
// time.
func (b *Balancer) recordLatency(request *openRequest, ended *attempt, latency float64, answered bool) {
	predicted := &ended.predicted
	// A latency of 0 means that the upload was not complete: the client took the time.
	if predicted.latency == 0 || latency <= 0 {
		return
	}
	if predicted.expectedLate && answered && b.now <= request.objectiveAt {
		// The prediction was wrong, so the next such attempt may follow at once.
		b.lastExpectedLateAttemptAt = 0
	}
	endpoint, class := ended.endpoint, &b.classes[request.class]
	ratio := latency * math.Sqrt(b.warmUpFraction(endpoint)) / predicted.latency
	ratio = min(ratio, maxSlownessRatio*endpoint.slowness)
	if !answered && ratio < endpoint.slowness {
		return
	}
	if predicted.inFlight < endpoint.cores { // a core was free, so all of the latency was work
		work := max(ratio*request.relativeWork/endpoint.slowness, minWorkRatio)
		class.hints.learn(request.logHintRatio, work)
	}
	class.work.learn(ratio / endpoint.slowness)
	b.meanWork += workGain * (request.relativeWork*class.work.mean - b.meanWork)
	endpoint.slowness += slownessGain * (ratio - endpoint.slowness)
}

// normalizeSlowness gradually moves the slowness that all endpoints have in common into the work of the
// classes. The slowness of endpoints without attempts in flight decays towards 1, the usual slowness.
func (b *Balancer) normalizeSlowness() {
	if len(b.subset) == 0 {
		return
	}
	sum := 0.0
	for _, endpoint := range b.subset {
		if endpoint.inFlight.count == 0 {
			endpoint.slowness += slownessDecay * (1 - endpoint.slowness)
		}
		sum += math.Log(endpoint.slowness)
	}
	common := math.Exp(periodSmoothing * sum / float64(len(b.subset)))
	for _, endpoint := range b.subset {
		endpoint.slowness /= common
	}
	for i := range b.classes {
		b.classes[i].work.mean *= common
	}
	b.meanWork *= common
}
