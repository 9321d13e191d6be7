package balancer

// Latency by class, and what the deadlines of clients show of the time that a request has already taken.

const (
	latencyGain      = 0.05 // weight of one answer in the mean latency of a class
	baselineDrift    = 1.01 // largest factor by which the uncongested latency rises per control period
	minPeriodSamples = 8    // answers in a control period from which a mean is computed
	networkDelayGain = 0.05 // weight of one request in the mean network delay from clients
)

// timeoutBuckets is the number of equal parts of a class's deadline by which the timeouts of clients are
// counted.
const timeoutBuckets = 20

// classState is what has been learned about a class of requests.
type classState struct {
	latency        classLatency
	clientTimeouts timeoutHistogram
	work           workEstimate
	hints          hintRegression
}

// classLatency is the latency of the answers to requests of a class.
type classLatency struct {
	baseline    float64 // estimate of the latency without congestion
	mean        float64 // moving mean
	periodSum   float64 // sum over the answers in this control period
	periodCount float64 // number of these answers
}

// recordAnswer records the latency of an answer.
func (l *classLatency) recordAnswer(latency float64) {
	l.periodSum += latency
	l.periodCount++
	l.mean += latencyGain * (latency - l.mean)
}

// recordUnanswered records an attempt that had no answer within the given time. It can only raise the mean,
// because the answer would have taken longer.
func (l *classLatency) recordUnanswered(latency float64) {
	l.mean += latencyGain * (max(latency, l.mean) - l.mean)
}

// endPeriod updates the baseline at the end of a control period. The lowest mean of a period counts as the
// latency without congestion. The baseline may drift up, because the work itself may grow. A period with too
// few answers is continued in the next one.
func (l *classLatency) endPeriod() {
	if l.periodCount >= minPeriodSamples {
		l.baseline = min(l.periodSum/l.periodCount, l.baseline*baselineDrift)
		l.periodSum, l.periodCount = 0, 0
	}
}

// updateLatencies ends the control period of all classes. It also updates the time after which an endpoint
// without an answer counts as silent: a multiple of the longest mean latency, but at most half a control
// period.
func (b *Balancer) updateLatencies() {
	b.maxSilence = 0
	for i := range b.classes {
		latency := &b.classes[i].latency
		b.maxSilence = min(max(b.maxSilence, Span(silenceFactor*latency.mean)), b.controlPeriod/2)
		latency.endPeriod()
	}
}

// updateAnswerRate updates the rate at which a warm endpoint answers this node.
func (b *Balancer) updateAnswerRate(elapsed, warmEndpoints float64) {
	if warmEndpoints > 0 {
		b.answerRate += periodSmoothing * (b.warmAnswers/warmEndpoints/elapsed - b.answerRate)
	}
	b.warmAnswers = 0
}

// timeoutHistogram counts the requests of a class by the timeout of their clients, which is the time that is
// left until the deadline when a request arrives. Each bucket is an equal part of the class's deadline.
type timeoutHistogram [timeoutBuckets]int

// observe counts a request with the given timeout. It returns the bucket of this request and the bucket with
// the most requests, which remains that of first attempts even if an overload causes many retries.
func (h *timeoutHistogram) observe(timeout, deadline Span) (bucket, mostFrequent int) {
	bucket = int(max(0, min(timeout*timeoutBuckets/deadline, timeoutBuckets-1)))
	h[bucket]++
	for i, count := range h {
		if count > h[mostFrequent] {
			mostFrequent = i
		}
	}
	return bucket, mostFrequent
}

// estimateFirstAttemptAt returns the time at which the client sent its first attempt of a request, estimated
// from the time that is left until the deadline. It also updates the statistics of timeouts and of the
// network delay.
func (b *Balancer) estimateFirstAttemptAt(incoming Request) Time {
	class, timeLeft := &b.config.Classes[incoming.Class], incoming.Deadline-b.now
	bucket, usual := b.classes[incoming.Class].clientTimeouts.observe(timeLeft, class.Deadline)
	if incoming.IsRetry && bucket >= usual {
		// An attempt ends after a timeout of its own or together with the whole request, which here ends no
		// sooner than this attempt. The first attempt was therefore sent between the time that lies one class
		// deadline before the end of this attempt, and now. The middle of this interval is returned.
		return b.now - max(class.Deadline-timeLeft, 0)/2
	}
	if incoming.IsRetry || b.looksLikeRetry(class, bucket, usual) {
		return min(b.now, incoming.Deadline-class.Deadline)
	}
	if b.config.ClientsMarkRetries && bucket == timeoutBuckets-1 {
		// This is a first attempt whose client waits as long as the class allows. The missing time was spent
		// on the way to this node.
		b.networkDelay += networkDelayGain * (float64(class.Deadline-timeLeft) - b.networkDelay)
	}
	return b.now - Span(b.networkDelay)
}

// looksLikeRetry reports whether a request is probably a retry that is not marked as one: clients wait
// equally long for their first attempts, but not for retries. If late answers have a value, the distinction
// does not matter, and the request counts as a first attempt.
func (b *Balancer) looksLikeRetry(class *Class, bucket, usual int) bool {
	unusual := bucket < usual-1 || bucket > usual+1
	return !b.config.ClientsMarkRetries && class.LateValue == 0 && unusual
}
