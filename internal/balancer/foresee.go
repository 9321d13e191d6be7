package balancer

// What is known of how long an answer will take, where hosts tell how many requests they hold and how many of these wait.
// No decision is made here; docs/design.md says what this is for.

import "math"

const (
	workGain           = 0.05 // weight of one answer in a class's work and mean hint
	slownessGain       = 0.2  // and in how slow its host is
	slownessDecay      = 0.05 // of the way back to usual, per control period in which a host had nothing of ours
	hintPriorWeight    = 3    // weight of the first belief in hints, a half, in squares of their logarithms
	maxHintSquares     = 60   // squares after which what was learned of hints counts half
	initialWorkSamples = 4    // answers that the first idea of a class's work, a quarter of its aim, is worth
	maxLatencyRatio    = 4    // times what was foreseen an answer counts at most: one odd request is no slow host
)

// latencyPrediction is what was thought of an attempt as it was sent.
type latencyPrediction struct {
	latency      float64 // until its answer, on a host of usual speed; 0: not known
	inFlight     float64 // what its host held
	expectedLate bool    // it was sent all the same, to learn
}

// observeHint is how far a client's hint is from what is usual in its class, as a logarithm.
func (c *classState) observeHint(hint Span) float64 {
	if hint <= 0 {
		return 0
	}
	h := math.Log(float64(hint))
	if c.hintMean == 0 {
		c.hintMean = h
	}
	c.hintMean += workGain * min(max(h-c.hintMean, -1), 1)
	return h - c.hintMean
}

// hintSlope is how much of a hint's distance from the usual turns out to be work, by logarithms: the slope of a regression.
func (c *classState) hintSlope() float64 {
	return min(max((c.hintProducts+hintPriorWeight/2)/(c.hintSquares+hintPriorWeight), 0), 1)
}

// recordHint learns that from an answer that waited for nothing: the request was so far from the usual hint, and took so many
// times the usual work.
func (c *classState) recordHint(distance, work float64) {
	c.hintSquares += distance * distance
	c.hintProducts += distance * math.Log(work)
	if c.hintSquares > maxHintSquares {
		c.hintSquares, c.hintProducts = c.hintSquares/2, c.hintProducts/2
	}
}

// firstAttemptAt is when the first try of a request came, as far as can be told.
func (b *Balancer) firstAttemptAt(a Request) Time {
	set, left := &b.config.Classes[a.Class], a.Deadline-b.now
	at, usual := b.classes[a.Class].observeWait(left, set.Deadline)
	switch {
	case a.IsRetry && at >= usual:
		// Each try is given up after a time of its own, or with the whole request, which is not sooner here: in between.
		return b.now - max(set.Deadline-left, 0)/2
	case a.IsRetry, !b.config.ClientsMarkRetries && set.LateValue == 0 && (at < usual-1 || at > usual+1): // first tries wait alike, repeats do not
		return min(b.now, a.Deadline-set.Deadline)
	case b.config.ClientsMarkRetries && at == len(b.classes[a.Class].waits)-1: // a first try, whose client waits as long as any may
		b.networkDelay += workGain * (float64(set.Deadline-left) - b.networkDelay)
	}
	return b.now - Span(b.networkDelay)
}

// learnCores learns from a report how many requests a host works on at once.
func (h *endpointState) learnCores(rep *LoadReport) {
	if rep.Outstanding >= 0 && rep.Backlog >= 0 {
		h.cores = max(h.cores, 1, math.Round(rep.Outstanding-rep.Backlog))
	}
}

// hasFreshReport tells whether a report says more than our own part of what a host holds.
func (b *Balancer) hasFreshReport(h *endpointState) bool {
	return h.report.Outstanding >= 0 && b.now-h.reportReceivedAt <= 2*b.config.TickInterval
}

// inFlightShare is our part of what a host holds, by a fresh report or else our own attempts.
func (b *Balancer) inFlightShare(h *endpointState) float64 {
	if b.hasFreshReport(h) {
		return h.report.Outstanding / b.nodesPerEndpoint
	}
	return float64(h.inFlight.count)
}

// totalInFlight is how many requests a host holds of all gateways, as far as is known.
func (b *Balancer) totalInFlight(h *endpointState) float64 {
	return b.inFlightShare(h) * b.nodesPerEndpoint
}

// predictLatency is how long an answer would take if the request went to a host now: took 0 where hosts tell too little. It is for a
// host of usual speed; slowness is the factor for this one.
func (b *Balancer) predictLatency(r *request, h *endpointState) latencyPrediction {
	if h.cores == 0 || !b.checksHealth() {
		return latencyPrediction{}
	}
	held := b.totalInFlight(h)
	return latencyPrediction{latency: r.relativeWork*b.classes[r.class].work + max(held+1-h.cores, 0)/h.cores*b.meanWork, inFlight: held}
}

func (b *Balancer) slownessFactor(h *endpointState) float64 {
	return h.slowness / math.Sqrt(b.warmUpFraction(h))
}

// expectedWork is the time that a request takes on a host that has nothing else to do, or the mean of its class with the time in queues
// where hosts tell too little. It is half of the aim at most: only answers bring it down, so it must not keep all requests out.
func (b *Balancer) expectedWork(r *request) float64 {
	c, half := &b.classes[r.class], float64(b.config.Classes[r.class].LatencyObjective)/2
	if c.workSamples > 0 {
		return r.relativeWork * min(c.work, half)
	}
	return min(c.mean, half)
}

// recordLatency learns from an answer, or from one that did not come in so long.
func (b *Balancer) recordLatency(r *request, a *attempt, took float64, came bool) {
	h, f, size, c := a.endpoint, a.predicted, r.relativeWork, &b.classes[r.class]
	if f.latency == 0 || took <= 0 { // nothing was foreseen, or the time was its client's: a body that was coming in
		return
	}
	if f.expectedLate && came && b.now <= r.objectiveAt {
		b.lastLateAttemptAt = 0 // what was foreseen is wrong: the next may follow at once
	}
	ratio := min(took*math.Sqrt(b.warmUpFraction(h))/f.latency, maxLatencyRatio*h.slowness)
	if !came && ratio < h.slowness {
		return
	}
	c.workSamples++
	if f.inFlight < h.cores {
		c.recordHint(r.hintDistance, max(ratio*size/h.slowness, 1e-3))
	}
	c.work *= 1 + max(workGain, 1/(c.workSamples+initialWorkSamples))*(ratio/h.slowness-1)
	b.meanWork += workGain * (size*c.work - b.meanWork)
	h.slowness += slownessGain * (ratio - h.slowness)
}

// normalizeSlowness has what is common to all hosts go into the classes' work, and forgets slowly what a host was like that had nothing
// of ours.
func (b *Balancer) normalizeSlowness() {
	sum, n := 0.0, 0.0
	for _, h := range b.subset {
		if h.inFlight.count == 0 {
			h.slowness += slownessDecay * (1 - h.slowness)
		}
		sum, n = sum+math.Log(h.slowness), n+1
	}
	if n == 0 {
		return
	}
	by := math.Exp(periodSmoothing * sum / n)
	for _, h := range b.subset {
		h.slowness /= by
	}
	for i := range b.classes {
		b.classes[i].work *= by
	}
	b.meanWork *= by
}
