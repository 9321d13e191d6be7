package balancer

// What is known of how long an answer will take, where hosts tell how many requests they hold and how many of these wait.
// No decision is made here; docs/design.md says what this is for.

import "math"

const (
	sizeGain   = 0.05 // weight of one answer in a class's work and mean hint
	slowGain   = 0.2  // and in how slow its host is
	slowDrift  = 0.05 // of the way back to usual, per control period in which a host had nothing of ours
	hintPrior  = 3    // weight of the first belief in hints, a half, in squares of their logarithms
	hintMemory = 60   // squares after which what was learned of hints counts half
	firstWork  = 4    // answers that the first idea of a class's work, a quarter of its aim, is worth
	oddAnswer  = 4    // times what was foreseen an answer counts at most: one odd request is no slow host
)

// foresight is what was thought of an attempt as it was sent.
type foresight struct {
	took float64 // until its answer, on a host of usual speed; 0: not known
	held float64 // what its host held
	late bool    // it was sent all the same, to learn
}

// distance is how far a client's hint is from what is usual in its class, as a logarithm.
func (c *classState) distance(hint Span) float64 {
	if hint <= 0 {
		return 0
	}
	h := math.Log(float64(hint))
	if c.hint == 0 {
		c.hint = h
	}
	c.hint += sizeGain * min(max(h-c.hint, -1), 1)
	return h - c.hint
}

// belief is how much of a hint's distance from the usual turns out to be work, by logarithms: the slope of a regression.
func (c *classState) belief() float64 {
	return min(max((c.hintXY+hintPrior/2)/(c.hintXX+hintPrior), 0), 1)
}

// noteHint learns that from an answer that waited for nothing: the request was so far from the usual hint, and took so many
// times the usual work.
func (c *classState) noteHint(distance, work float64) {
	c.hintXX += distance * distance
	c.hintXY += distance * math.Log(work)
	if c.hintXX > hintMemory {
		c.hintXX, c.hintXY = c.hintXX/2, c.hintXY/2
	}
}

// began is when the first try of a request came, as far as can be told.
func (b *Balancer) began(a Request) Time {
	set, left := &b.cfg.Classes[a.Class], a.Deadline-b.now
	at, usual := b.classes[a.Class].commonest(left, set.Deadline)
	switch {
	case a.IsRetry && at >= usual:
		// Each try is given up after a time of its own, or with the whole request, which is not sooner here: in between.
		return b.now - max(set.Deadline-left, 0)/2
	case a.IsRetry, !b.cfg.ClientsMarkRetries && set.LateValue == 0 && (at < usual-1 || at > usual+1): // first tries wait alike, repeats do not
		return min(b.now, a.Deadline-set.Deadline)
	case b.cfg.ClientsMarkRetries && at == len(b.classes[a.Class].patience)-1: // a first try, whose client waits as long as any may
		b.way += sizeGain * (float64(set.Deadline-left) - b.way)
	}
	return b.now - Span(b.way)
}

// noteCores learns from a report how many requests a host works on at once.
func (h *host) noteCores(rep *LoadReport) {
	if rep.Outstanding >= 0 && rep.Backlog >= 0 {
		h.cores = max(h.cores, 1, math.Round(rep.Outstanding-rep.Backlog))
	}
}

// fresh tells whether a report says more than our own part of what a host holds.
func (b *Balancer) fresh(h *host) bool {
	return h.report.Outstanding >= 0 && b.now-h.heardAt <= 2*b.cfg.TickInterval
}

// used is our part of what a host holds, by a fresh report or else our own attempts.
func (b *Balancer) used(h *host) float64 {
	if b.fresh(h) {
		return h.report.Outstanding / b.sharers
	}
	return float64(h.out.n)
}

// holds is how many requests a host holds of all gateways, as far as is known.
func (b *Balancer) holds(h *host) float64 { return b.used(h) * b.sharers }

// foresee is how long an answer would take if the request went to a host now: took 0 where hosts tell too little. It is for a
// host of usual speed; slowness is the factor for this one.
func (b *Balancer) foresee(r *request, h *host) foresight {
	if h.cores == 0 || !b.probing() {
		return foresight{}
	}
	held := b.holds(h)
	return foresight{took: r.size*b.classes[r.class].work + max(held+1-h.cores, 0)/h.cores*b.work, held: held}
}

func (b *Balancer) slowness(h *host) float64 { return h.slow / math.Sqrt(b.warmth(h)) }

// need is the time that a request takes on a host that has nothing else to do, or the mean of its class with the time in queues
// where hosts tell too little. It is half of the aim at most: only answers bring it down, so it must not keep all requests out.
func (b *Balancer) need(r *request) float64 {
	c, half := &b.classes[r.class], float64(b.cfg.Classes[r.class].LatencyObjective)/2
	if c.answers > 0 {
		return r.size * min(c.work, half)
	}
	return min(c.mean, half)
}

// noteAnswer learns from an answer, or from one that did not come in so long.
func (b *Balancer) noteAnswer(r *request, a *attempt, took float64, came bool) {
	h, f, size, c := a.host, a.foreseen, r.size, &b.classes[r.class]
	if f.took == 0 || took <= 0 { // nothing was foreseen, or the time was its client's: a body that was coming in
		return
	}
	if f.late && came && b.now <= r.aimAt {
		b.triedAt = 0 // what was foreseen is wrong: the next may follow at once
	}
	ratio := min(took*math.Sqrt(b.warmth(h))/f.took, oddAnswer*h.slow)
	if !came && ratio < h.slow {
		return
	}
	c.answers++
	if f.held < h.cores {
		c.noteHint(r.hint, max(ratio*size/h.slow, 1e-3))
	}
	c.work *= 1 + max(sizeGain, 1/(c.answers+firstWork))*(ratio/h.slow-1)
	b.work += sizeGain * (size*c.work - b.work)
	h.slow += slowGain * (ratio - h.slow)
}

// ease has what is common to all hosts go into the classes' work, and forgets slowly what a host was like that had nothing
// of ours.
func (b *Balancer) ease() {
	sum, n := 0.0, 0.0
	for _, h := range b.group {
		if h.out.n == 0 {
			h.slow += slowDrift * (1 - h.slow)
		}
		sum, n = sum+math.Log(h.slow), n+1
	}
	if n == 0 {
		return
	}
	by := math.Exp(smoothing * sum / n)
	for _, h := range b.group {
		h.slow /= by
	}
	for i := range b.classes {
		b.classes[i].work *= by
	}
	b.work *= by
}
