package balancer

// Latency by class, and what clients' deadlines show of the time that a request has already taken.

const (
	latencyGain      = 0.05 // weight of one answer in a class's mean latency
	baselineDrift    = 1.01 // rise per control period of the latency that is held to be uncongested
	minPeriodSamples = 8    // answers in a control period that make a mean
	networkDelayGain = 0.05 // weight of one request in the mean delay from clients
)

// timeoutBuckets is the number of steps of a class's deadline in which clients' times to wait are counted.
const timeoutBuckets = 20

// classState is what was learned of a class.
type classState struct {
	latency        classLatency
	clientTimeouts timeoutHistogram
	work           workEstimate
	hints          hintRegression
}

// classLatency is the latency of a class's answers.
type classLatency struct {
	baseline    float64 // uncongested
	mean        float64
	periodSum   float64 // of the answers in this control period
	periodCount float64
}

func (l *classLatency) recordAnswer(latency float64) {
	l.periodSum += latency
	l.periodCount++
	l.mean += latencyGain * (latency - l.mean)
}

// recordUnanswered takes an attempt that had no answer for so long: it can only raise the mean.
func (l *classLatency) recordUnanswered(latency float64) {
	l.mean += latencyGain * (max(latency, l.mean) - l.mean)
}

// endPeriod updates the baseline. The lowest mean of a period is taken as uncongested; it may drift up, as
// the work itself may.
func (l *classLatency) endPeriod() {
	if l.periodCount >= minPeriodSamples {
		l.baseline = min(l.periodSum/l.periodCount, l.baseline*baselineDrift)
		l.periodSum, l.periodCount = 0, 0
	}
}

// updateLatencies ends a control period of the classes. An endpoint counts as silent after a multiple of the
// longest mean latency.
func (b *Balancer) updateLatencies() {
	b.maxSilence = 0
	for i := range b.classes {
		latency := &b.classes[i].latency
		b.maxSilence = min(max(b.maxSilence, Span(silenceFactor*latency.mean)), b.controlPeriod/2)
		latency.endPeriod()
	}
}

// updateAnswerRate measures what a warm endpoint answers to this node.
func (b *Balancer) updateAnswerRate(elapsed, warmEndpoints float64) {
	if warmEndpoints > 0 {
		b.answerRate += periodSmoothing * (b.warmAnswers/warmEndpoints/elapsed - b.answerRate)
	}
	b.warmAnswers = 0
}

// timeoutHistogram counts requests by how long their clients wait, in parts of the class's deadline.
type timeoutHistogram [timeoutBuckets]int

// observe counts a request and returns its bucket and the most frequent one. That stays the one of first
// attempts, even if an overload brings many retries.
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
// from the time that is left until the request's deadline.
func (b *Balancer) estimateFirstAttemptAt(incoming Request) Time {
	class, timeLeft := &b.config.Classes[incoming.Class], incoming.Deadline-b.now
	bucket, usual := b.classes[incoming.Class].clientTimeouts.observe(timeLeft, class.Deadline)
	if incoming.IsRetry && bucket >= usual {
		// Each attempt of a client has its own timeout, or ends with the whole request, which is not sooner
		// here. So the first one was sent between these two times.
		return b.now - max(class.Deadline-timeLeft, 0)/2
	}
	if incoming.IsRetry || b.looksLikeRetry(class, bucket, usual) {
		return min(b.now, incoming.Deadline-class.Deadline)
	}
	if b.config.ClientsMarkRetries && bucket == timeoutBuckets-1 {
		// It is a first attempt, whose client waits as long as any may: what is missing was spent on the way.
		b.networkDelay += networkDelayGain * (float64(class.Deadline-timeLeft) - b.networkDelay)
	}
	return b.now - Span(b.networkDelay)
}

// looksLikeRetry tells whether a request that is not marked seems to be a retry: clients wait equally long
// for their first attempts, but not for retries. Where late answers have a value, the distinction does not
// matter.
func (b *Balancer) looksLikeRetry(class *Class, bucket, usual int) bool {
	unusual := bucket < usual-1 || bucket > usual+1
	return !b.config.ClientsMarkRetries && class.LateValue == 0 && unusual
}
