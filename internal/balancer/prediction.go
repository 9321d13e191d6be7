package balancer

// Prediction of latency, where endpoints report how many requests they hold and how many of these wait: the
// work of a class, the work of a request beside that, and the slowness of an endpoint. docs/design.md says
// what for.

import "math"

const (
	workGain           = 0.05 // weight of one answer in the work of a class, and in its mean over classes
	initialWorkSamples = 4    // answers that count as much as the first estimate, a quarter of the objective
	slownessGain       = 0.2  // weight of one answer in the slowness of an endpoint
	slownessDecay      = 0.05 // part of the way back to usual, per control period without attempts in flight
	maxSlownessRatio   = 4    // times the slowness that one answer counts at most: it may be an exception
	minWorkRatio       = 1e-3 // keeps logarithms finite
)

// latencyPrediction is what was predicted of an attempt as it was sent.
type latencyPrediction struct {
	latency      float64 // of an endpoint of usual speed; 0: not known
	inFlight     float64 // requests that the endpoint held
	expectedLate bool    // it was sent all the same, to learn
}

// workEstimate is the time that a request of a class takes on an endpoint that does nothing else.
type workEstimate struct {
	mean    float64
	samples float64 // answers from which it was learned
}

// learn takes an answer that took ratio times as long as was predicted.
func (w *workEstimate) learn(ratio float64) {
	w.samples++
	w.mean *= 1 + max(workGain, 1/(w.samples+initialWorkSamples))*(ratio-1)
}

// predictLatency predicts the latency of a request if it is sent to an endpoint now, or 0 if endpoints report
// too little. It holds for an endpoint of usual speed; slownessFactor is the factor for this one.
func (b *Balancer) predictLatency(request *openRequest, endpoint *endpointState) latencyPrediction {
	if endpoint.cores == 0 || !b.usesHealthChecks() {
		return latencyPrediction{}
	}
	inFlight := b.totalInFlight(endpoint)
	waiting := max(inFlight+1-endpoint.cores, 0) / endpoint.cores * b.meanWork
	work := request.relativeWork * b.classes[request.class].work.mean
	return latencyPrediction{latency: work + waiting, inFlight: inFlight}
}

// slownessFactor is how much longer an endpoint takes than is usual, with its warm-up.
func (b *Balancer) slownessFactor(endpoint *endpointState) float64 {
	return endpoint.slowness / math.Sqrt(b.warmUpFraction(endpoint))
}

// expectedWork is the time that a request takes on an endpoint that does nothing else, or the mean latency of
// its class with the time in queues, if endpoints report too little. It is half of the objective at most:
// only answers bring it down, so it must not keep all requests out.
func (b *Balancer) expectedWork(request *openRequest) float64 {
	class, half := &b.classes[request.class], float64(b.config.Classes[request.class].LatencyObjective)/2
	if class.work.samples > 0 {
		return request.relativeWork * min(class.work.mean, half)
	}
	return min(class.latency.mean, half)
}

// recordLatency learns from an attempt that was answered, or that was not answered in so long.
func (b *Balancer) recordLatency(request *openRequest, ended *attempt, latency float64, answered bool) {
	predicted := &ended.predicted
	if predicted.latency == 0 || latency <= 0 { // at 0 the upload was not complete: it was the client's time
		return
	}
	if predicted.expectedLate && answered && b.now <= request.objectiveAt {
		b.lastExpectedLateAttemptAt = 0 // the prediction is wrong: the next attempt may follow at once
	}
	endpoint, class := ended.endpoint, &b.classes[request.class]
	ratio := latency * math.Sqrt(b.warmUpFraction(endpoint)) / predicted.latency
	ratio = min(ratio, maxSlownessRatio*endpoint.slowness)
	if !answered && ratio < endpoint.slowness {
		return
	}
	if predicted.inFlight < endpoint.cores { // it waited for nothing, so its latency was work
		work := max(ratio*request.relativeWork/endpoint.slowness, minWorkRatio)
		class.hints.learn(request.logHintRatio, work)
	}
	class.work.learn(ratio / endpoint.slowness)
	b.meanWork += workGain * (request.relativeWork*class.work.mean - b.meanWork)
	endpoint.slowness += slownessGain * (ratio - endpoint.slowness)
}

// normalizeSlowness moves what is common to all endpoints into the work of the classes, and lets the slowness
// of endpoints without attempts decay.
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
