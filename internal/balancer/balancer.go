package balancer

// Every decision of tulipglade is in this file; its interface (types, events, actions) is in api.go.
// The mechanism follows Katsalis et al.; docs/design.md says what was kept and where it departs.

import (
	"cmp"
	"math"
	"slices"

	"tulipglade/internal/safety"
	"tulipglade/internal/staleness"
)

// What neither settings nor traffic tell. None has a unit of time or work: those derive from the aims.
const (
	minQuotaFraction          = 0.10      // of all slots, spread evenly over tenants: the paper's minimum
	correctionHorizon         = 2.0       // T_e/t_p: how hard Eq. 1 corrects what was missed
	overloadEnterUtilization  = 0.92      // mean reported utilization at which overload begins
	overloadExitUtilization   = 0.80      // and below which it may end
	reportFreshPeriods        = 3         // control periods after which an unchanged report tells nothing
	minLimit                  = 4.5       // of all gateways together: so few do not congest a host
	targetUtilization         = 0.95      // reported utilization that limits steer for
	failedAttemptWeight       = 3         // times an answer an attempt counts that was turned away or given up
	limitGain                 = 0.10      // change of a host's limit for one answer a whole target early or late
	initialLimit              = 6         // of all gateways together for a host of which nothing is known
	latencyTargetExponent     = 0.25      // of the way, in ratio, from uncongested latency to the aim
	limitInUseFraction        = 0.70      // a limit rises only while this much of it is in use
	latencyGain               = 0.05      // weight of one answer in a class's mean latency
	baselineDrift             = 1.01      // rise per control period of the latency held to be uncongested
	periodSmoothing           = 0.3       // weight of the last period in means over periods
	minPeriodSamples          = 8         // answers in a period that make a mean
	latencyMargin             = 1.2       // times what is foreseen an answer may take
	objectiveFillFraction     = 0.7       // of the aim, a host's limit is what it is done with in that time
	healthCheckCandidates     = 3         // hosts probed for a request, where that is cheap
	goldenRatio               = 0.618034  // of the ring of hosts from one gateway to the next: any run is even
	maxHealthCheckCost        = 0.01      // of a request's worth may go into that
	slowStartBudgetFraction   = 0.5       // of the cold budget is used, the rest is for chance and for unequal gateways
	slowStartBurstFraction    = 0.25      // of the cold window a turn at a cold host stays open
	silenceFactor             = 1.5       // mean latencies without an answer after which a host gets nothing new
	ejectionFailures          = 3         // failures in a row that judge a host out
	errorRateGain             = 0.2       // weight of one answer in the share of a host's answers that were errors
	ejectionErrorRate         = 0.45      // of them judge it out: about three in a row, but not the odd one
	suspectErrorRate          = 0.1       // and with more than this, it gets nothing that could not be repeated
	typicalErrorRateFactor    = 2         // times what is usual among hosts comes on top: it is no host's fault
	firstPollFraction         = 0.5       // of the longest silence may pass before the first call to discovery
	firstLeasedPollFraction   = 1.0 / 12  // of ToldWithin, the same where nothing is sent before the answer
	pollSpacingFraction       = 1.0 / 160 // of it goes by for each other gateway, so that their calls are spread
	maxBackoffFraction        = 0.5       // of ToldWithin goes by at most until the call after one that failed
	maxTimeoutBackoffFraction = 0.1       // and after one that was not answered at all
	maxDoublings              = 5         // doublings of the time out
)

// ---- events ----

// HandleTimer is a timer that has come due.
func (b *Balancer) HandleTimer(now Time, t TimerID) {
	b.now = now
	r := b.requests[RequestID(t/timerKinds)]
	switch kind := t % timerKinds; {
	case kind == timerControl:
		b.commands.SetTimer(timerControl, Span(float64(b.controlPeriod)*(0.9+b.random()/5))) // gateways fall out of step
		b.logLines = max(b.logLines-1, 0)
		b.runControl()
		b.dispatch()
	case kind == timerPoll:
		if !b.watching && now >= b.nextPollAt {
			b.commands.WatchEndpoints(true)
			b.schedulePoll(float64(b.config.PollInterval) / 2)
		}
	case r == nil || r.responseStarted:
	case kind == timerDeadline || r.queued && now >= b.latestStart(r):
		b.rejectOrFail(r)
	default:
		if kind == timerQueue && r.queued { // a slot's part may have come due without an event
			b.setQueueTimer(r)
		}
		b.dispatch()
	}
}

// HandleRequest is a client's request: held, and released at once where slots allow.
func (b *Balancer) HandleRequest(now Time, a Request) {
	b.now = now
	c := &b.config.Classes[a.Class]
	r := &request{id: a.ID, class: a.Class, tenant: a.Tenant % len(b.tenants), deadline: a.Deadline,
		maxAttempts: b.config.MaxAttempts, hintDistance: b.classes[a.Class].observeHint(a.CostHint)}
	r.relativeWork = math.Exp(r.hintDistance * b.classes[a.Class].hintSlope())
	if b.config.KeyAffinity {
		r.affinityKey = a.AffinityKey
	}
	r.objectiveAt, r.halfTimeAt = min(b.firstAttemptAt(a)+c.LatencyObjective, r.deadline), now+(a.Deadline-now)/2 // from the first try on
	b.requests[r.id] = r
	b.tenants[r.tenant].arrivals++
	end := r.deadline
	if c.LateValue == 0 && b.config.AllowCancel && r.objectiveAt > now {
		// An answer past the aim is worth nothing: spare the host the work.
		end = r.objectiveAt - min(b.config.TickInterval, (r.objectiveAt-now)/8) - Span(b.networkDelay)
	}
	b.commands.SetTimer(TimerID(r.id)*timerKinds+timerDeadline, max(end-now, 0))
	b.enqueue(r, false)
	if b.overloadMode && r.objectiveAt <= now || b.classes[a.Class].workSamples > 0 && b.latestStart(r) <= now {
		b.rejectOrFail(r) // what would be late anyway is refused first
	}
	b.dispatch()
}

// HandleAttemptResult is the end of one attempt.
func (b *Balancer) HandleAttemptResult(now Time, s AttemptResult) {
	b.now = now
	r := b.requests[s.ID]
	if r == nil || s.Attempt >= len(r.attempts) || !r.attempts[s.Attempt].inFlight {
		return
	}
	a := &r.attempts[s.Attempt]
	a.inFlight, a.mayHaveRun = false, s.Outcome != OutcomeRejected && s.Outcome != OutcomeConnectFailed && s.Outcome != OutcomeNotSent
	b.accountAttempt(r, a.endpoint, -1, s)
	if s.Outcome == OutcomeOK || s.Outcome == OutcomeTimeout {
		b.recordLatency(r, a, float64(s.Latency), s.Outcome == OutcomeOK)
	}
	b.recordOutcome(a.endpoint, r.class, s)
	if s.RequestDone {
		b.closeRequest(r)
	} else if !r.done && r.attemptsInFlight == 0 {
		b.retryOrEnd(r)
	}
	b.forgetIfComplete(r)
	b.dispatch()
}

// ---- control: Eq. 1-3 and the slot matrix ----

// runControl runs every T_d, at mode flips and when the list changes.
func (b *Balancer) runControl() {
	b.normalizeSlowness()
	warm := b.updateSubset()
	if b.healthChecksUnanswered() && len(b.subset) > 0 { // are they answered again?
		b.commands.CheckHealth(b.subset[int(b.random()*float64(len(b.subset)))].ID)
	}
	if dt := float64(b.now - b.lastControlAt); dt >= float64(b.controlPeriod)/2 || b.overloadDetected() != b.overloadMode && dt > 0 {
		b.lastControlAt = b.now
		b.predictQuotas(dt, warm)
	}
	within := b.satisfiedQuotas()
	for i := range b.tenants {
		t := &b.tenants[i]
		t.slots = b.capacity * (minQuotaFraction/float64(len(b.tenants)) + (1-minQuotaFraction)*t.predicted/b.predictedTotal)
		if b.overloadMode && t.demand <= t.share { // who asks for no more than its share comes before what was lent
			t.slots = max(t.slots, b.capacity*t.share/within)
		}
		b.assignSlots(i, t.slots)
	}
}

// predictQuotas works out U_PR, each tenant's part of the slots.
func (b *Balancer) predictQuotas(dt, warm float64) {
	if warm > 0 {
		b.answerRate += periodSmoothing * (b.warmAnswers/warm/dt - b.answerRate)
	}
	b.warmAnswers = 0
	b.maxSilence = 0
	for i := range b.classes {
		b.maxSilence = min(max(b.maxSilence, Span(silenceFactor*b.classes[i].mean)), b.controlPeriod/2)
		// The lowest mean of a period is taken as uncongested; it may drift up, as work itself may.
		if c := &b.classes[i]; c.periodCount >= minPeriodSamples {
			c.baseline = min(c.periodSum/c.periodCount, c.baseline*baselineDrift)
			c.periodSum, c.periodCount = 0, 0
		}
	}
	arrived, served := b.periodTotals()
	sum := 0.0
	b.meanInFlight += periodSmoothing * (served/dt - b.meanInFlight)
	m := b.modeIndex()
	b.modeTime[m] += dt
	alpha := dt / b.modeTime[m] // Eq. 3: last period over all time in this mode, 1 at first
	for i := range b.tenants {
		t := &b.tenants[i]
		if arrived > 0 {
			t.demand += periodSmoothing * (t.arrivals/arrived - t.demand)
		}
		used := min(t.slotTime/dt/max(b.capacity, 1e-9), 1)
		t.utilization[m] = alpha*used + (1-alpha)*t.utilization[m]
		queued := max(0.5, float64(t.inFlight.count)/float64(max(b.inFlight.count, 1))) * t.utilization[m] // Eq. 2
		target := t.share                                                                                  // P^o: the shares alone
		if !b.overloadMode {
			target = (t.share + t.demand) / 2 // P^u: what is free follows demand
		}
		t.predicted = min(max(correctionHorizon*target-(correctionHorizon-1)*(t.utilization[m]+queued), 0), 1) // Eq. 1
		sum += t.predicted
		t.slotTime, t.arrivals = 0, 0
	}
	b.predictedTotal = max(sum, 1)
	if b.overloadDetected() != b.overloadMode {
		b.overloadMode = !b.overloadMode
		b.logf("mode: overload %v, slots %.0f", b.overloadMode, b.capacity)
	}
}

// overloadDetected reads the mode off the reports, where they are fresh, and off the gateway's own held requests.
func (b *Balancer) overloadDetected() bool {
	level := map[bool]float64{false: overloadEnterUtilization, true: overloadExitUtilization}[b.overloadMode]
	return b.anyQueued() || b.meanUtilization(reportFreshPeriods*b.controlPeriod) > level
}

// updateSubset is subsetting: of the hosts, in an order common to all gateways, as many as its traffic needs from
// a place of its own on. Where all gateways use all hosts, connections fill the hosts and nobody sees a host
// twice. Where each draws its subset by chance, some hosts are of many and some of few.
func (b *Balancer) updateSubset() (warm float64) {
	need := 2*b.candidateCount() - 2 + int(b.meanInFlight)
	if need > b.subsetSize || need < b.subsetSize/2 {
		b.subsetSize = need
	}
	b.subset = b.subset[:0]
	ready := b.readyEndpoints()
	at := int(math.Mod(float64(b.config.PeerIndex)*goldenRatio, 1) * float64(len(ready)))
	for _, out := range []bool{false, true} { // those judged out only fill up
		for i := range ready {
			if h := ready[(at+i)%len(ready)]; len(b.subset) < b.subsetSize && out == (b.now < h.ejectedUntil) {
				b.subset = append(b.subset, h)
			}
		}
	}
	b.medianErrorRate = b.computeMedianErrorRate()
	b.nodesPerEndpoint = max(1, float64(b.config.PeerCount)*float64(len(b.subset))/float64(max(len(ready), 1)))
	return b.updateCapacity()
}

// assignSlots gives tenant j its slots, real numbers, in line with limits; an entry moves when well out of line.
func (b *Balancer) assignSlots(j int, slots float64) {
	for _, h := range b.subset {
		part := slots * b.effectiveLimit(h) / max(b.capacity, b.effectiveLimit(h))
		if !b.available(h) {
			h.slots[j] = 0
		} else if math.Abs(part-h.slots[j]) > min(1, part/2) {
			h.slots[j] = part
		}
	}
}

// ---- placement ----

// selectCandidates draws hosts in proportion to the tenant's slots, or to the room lent; with no host fit, of all in use.
func (b *Balancer) selectCandidates(r *request, lent bool) (drawn []*endpointState) {
	from := b.subset
	if firstThatMayHaveRun(r.attempts) != nil && b.config.Classes[r.class].Idempotency == IdempotentByKey { // its group of hosts
		from = b.endpoints
	}
	fit := b.anyAvailable()
	sure := b.config.Classes[r.class].Idempotency == NonIdempotent && slices.ContainsFunc(from, b.trusted)
	weights := b.endpointWeights[:len(from)]
	for i, h := range from {
		weights[i] = 0
		if fit && !b.available(h) || sure && !b.trusted(h) || !b.mayAttempt(r, h) {
			continue
		} else if lent {
			weights[i] = max(b.freeCapacity(h), 0)
		} else if float64(h.inFlightByTenant[r.tenant]) < h.slots[r.tenant] && float64(h.inFlight.count) < max(b.effectiveLimit(h), 1) {
			weights[i] = h.slots[r.tenant] // what was lent does not stand in the way of whose share it is
		}
	}
	for i := b.drawEndpoint(r.affinityKey, from); i >= 0 && len(drawn) < b.candidateCount(); i = b.drawEndpoint(r.affinityKey, from) {
		drawn = append(drawn, from[i])
		weights[i] = 0
	}
	return drawn
}

// leastLoaded is the host least used for its limit of those drawn, nil where none has room.
func (b *Balancer) leastLoaded(r *request, drawn []*endpointState) (best *endpointState) {
	least := math.Inf(1)
	for _, h := range drawn {
		load, told := b.inFlightShare(h)/b.effectiveLimit(h), !b.checksHealth() || b.hasFreshReport(h) && b.freeCapacity(h) > 0
		if told && load < least && b.mayAttempt(r, h) && b.meetsDeadline(r, h) {
			best, least = h, load
		}
	}
	return best
}

// meetsDeadline tells whether an answer is foreseen before it is too late. A host that holds nothing is tried now
// and then even if it would be late: what is foreseen may be wrong, and only answers mend it.
func (b *Balancer) meetsDeadline(r *request, h *endpointState) bool {
	c, f, till := &b.config.Classes[r.class], b.predictLatency(r, h), r.objectiveAt
	if c.LateValue > 0 {
		till = r.deadline
	}
	took, left := f.latency*b.slownessFactor(h), float64(till-b.now)
	return took == 0 || took*latencyMargin <= left ||
		f.inFlight == 0 && (took <= left || c.Idempotency != NonIdempotent && b.now-b.lastLateAttemptAt > b.controlPeriod)
}

// freeCapacity is what is left of a host's limit: all where a probe will tell, none where its fraction is spent.
func (b *Balancer) freeCapacity(h *endpointState) float64 {
	n := b.inFlightShare(h)
	switch {
	case b.checksHealth() && !b.hasFreshReport(h):
		return b.effectiveLimit(h)
	case b.hasFreshReport(h) || b.belowLimit(&h.inFlight, b.effectiveLimit(h)):
		return b.effectiveLimit(h) - n
	}
	return 0
}

// checksHealth tells whether to ask hosts what they hold before placing: where that is cheap and they tell.
func (b *Balancer) checksHealth() bool {
	return b.config.AllowHealthChecks && b.config.HealthCheckCost*healthCheckCandidates <= maxHealthCheckCost && !b.reportsUnusable && !b.healthChecksUnanswered()
}

// healthChecksUnanswered tells that no probe has been answered for a while, though some were sent: then nobody waits for any.
func (b *Balancer) healthChecksUnanswered() bool {
	return b.config.AllowHealthChecks && b.unansweredSince > 0 && b.now-b.unansweredSince > b.controlPeriod
}

// candidateCount is how many hosts are drawn for a request.
func (b *Balancer) candidateCount() int {
	if b.checksHealth() {
		return healthCheckCandidates
	}
	return 2
}

// HandleHealthCheck is the end of a probe.
func (b *Balancer) HandleHealthCheck(now Time, id EndpointID, out Outcome, took Span, rep *LoadReport) {
	b.now = now
	if h := b.endpointsByID[id]; h != nil && out == OutcomeOK {
		b.recordReport(h, rep)
		b.reportsUnusable, b.unansweredSince = rep == nil || rep.Outstanding < 0, 0
		b.meanHealthCheckLatency += periodSmoothing * (float64(took) - b.meanHealthCheckLatency)
		b.dispatch()
	}
}

// ---- holding and release ----

func (b *Balancer) setQueueTimer(r *request) {
	b.commands.SetTimer(TimerID(r.id)*timerKinds+timerQueue, max(0, min(b.latestStart(r)-b.now, b.queueInterval(r))))
}

// queueInterval is how often a held request is looked at where nothing else happens.
func (b *Balancer) queueInterval(r *request) Span {
	return max(Span(b.classes[r.class].mean/4), 2*b.config.TickInterval)
}

// latestStart is when a held request is refused, as it would be late: a refusal before the aim costs less.
func (b *Balancer) latestStart(r *request) Time {
	till, tick := r.objectiveAt, min(2*b.config.TickInterval, b.config.Classes[r.class].LatencyObjective/4)
	if len(r.attempts) > 0 && b.config.Classes[r.class].LateValue > 0 {
		till = r.deadline
	}
	last := till - max(Span(b.expectedWork(r)), tick)
	if b.overloadMode && len(r.attempts) == 0 { // newer ones go first: the sooner its client hears, the more it has left
		last = min(last, r.halfTimeAt)
	}
	return last
}

// dispatch places held requests: first of tenants below their slots, drawn by slots, then of the others into
// room that nobody claims. So a tenant over its share waits first, and is refused first.
func (b *Balancer) dispatch() {
	for _, lent := range []bool{false, true} {
		clear(b.blockedTenants)
		for i := 0; i >= 0; {
			for j := range b.tenants {
				t := &b.tenants[j]
				b.tenantWeights[j] = 0
				free := b.belowLimit(&t.inFlight, t.slots)
				if lent { // where hosts are probed, that tells
					free = b.checksHealth() || b.belowLimit(&b.inFlight, b.capacity)
				}
				if !b.blockedTenants[j] && free && t.hasQueued() {
					b.tenantWeights[j] = t.slots
				}
			}
			if i = b.drawWeighted(b.tenantWeights); i >= 0 {
				b.blockedTenants[i] = !b.dispatchTenant(i, lent)
			}
		}
	}
}

// belowLimit tells whether one more fits into so many slots. The fraction of a slot is spent over time: while the
// mean in flight is below it. Rounded up, the sum would grow with the number of gateways.
func (b *Balancer) belowLimit(m *inFlightMeter, slots float64) bool {
	return float64(m.count+1) <= slots || float64(m.count) < slots && m.add(b.now, 0, slots, b.averagingTime(slots)) < slots
}

// dispatchTenant sends one held request of a tenant. Its class is drawn by what one is worth for the time it takes: in
// an overload the most is served so, and none is left out.
func (b *Balancer) dispatchTenant(i int, lent bool) bool {
	clear(b.classWeights)
	for _, r := range b.tenants[i].queue {
		if !r.done && r.queued {
			b.classWeights[r.class] = b.config.Classes[r.class].PriorityWeight / b.classes[r.class].mean
		}
	}
	for c := b.drawWeighted(b.classWeights); c >= 0; c = b.drawWeighted(b.classWeights) {
		if b.classWeights[c] = 0; b.dispatchClass(&b.tenants[i], c, lent) {
			return true
		}
	}
	return false
}

// dispatchClass does so for a class. A request tied to a group of hosts does not hold up those behind it.
func (b *Balancer) dispatchClass(t *tenantState, class int, lent bool) bool {
	for k := range t.queue {
		if b.overloadMode { // newest first: the oldest would be answered too late
			k = len(t.queue) - 1 - k
		}
		r := t.queue[k]
		if r.done || !r.queued || r.class != class || b.now < r.waitUntil && !b.candidatesChecked(r) {
			continue
		}
		if r.candidates == nil {
			if r.candidates = b.selectCandidates(r, lent); b.checksHealth() && len(r.candidates) > 0 {
				b.checkCandidates(r)
				continue
			}
		}
		h := b.leastLoaded(r, r.candidates)
		r.candidates, r.waitUntil = nil, 0
		if b.sendAttempt(r, h) {
			r.queued = false
			t.queue = append(t.queue[:k], t.queue[k+1:]...)
			return true
		}
		if b.checksHealth() {
			r.waitUntil = b.now + b.queueInterval(r) // all full: ask anew, but not at once
		} else if len(r.attempts) == 0 {
			return false
		}
	}
	return false
}

// checkCandidates probes the hosts drawn for a request, which waits for the slowest but not for ever.
func (b *Balancer) checkCandidates(r *request) {
	b.unansweredSince = cmp.Or(b.unansweredSince, b.now)
	r.checkedAt, r.waitUntil = b.now, b.now+max(Span(4*b.meanHealthCheckLatency), 2*b.config.TickInterval)
	for _, h := range r.candidates {
		b.commands.CheckHealth(h.ID)
	}
	b.commands.SetTimer(TimerID(r.id)*timerKinds+timerHealthCheck, r.waitUntil-b.now)
}

// ---- attempts and rules ----

// mayAttempt tells whether a request may have one more attempt, at a host. Every Try passes it.
func (b *Balancer) mayAttempt(r *request, h *endpointState) bool {
	n := len(r.attempts)
	justFailed := n > 0 && r.attempts[n-1].endpoint == h && len(b.endpoints) > 1
	if justFailed || (safety.Attempt{Made: n, Max: r.maxAttempts, InFlight: r.attemptsInFlight}).Check() != safety.Allowed {
		return false
	}
	return b.maySend(r, h, r.attempts) == safety.Allowed && b.hasSlowStartToken(h)
}

// maySend asks the one place that decides whether an attempt may be sent, given the attempts before it.
func (b *Balancer) maySend(r *request, h *endpointState, before []attempt) safety.Reason {
	return safety.Send{
		Now:         b.now,
		Deadline:    r.deadline,
		RequestDone: r.done || r.responseStarted,
		ListCurrent: b.listLease.Valid(b.now),
		Rules:       b.safetyRules(r),
		Prior:       firstThatMayHaveRun(before),
		Backend:     safety.Backend{InService: h.Phase == PhaseReady, Zone: h.Zone, Cell: h.Cell},
	}.Check()
}

// safetyRules are those of a request's class. Of the window for repeats, some is kept for the way to the host.
func (b *Balancer) safetyRules(r *request) safety.Rules {
	c := &b.config.Classes[r.class]
	return safety.Rules{Idempotency: c.Idempotency, KeyScope: c.KeyScope, Window: c.IdempotencyWindow, Margin: 2 * b.config.TickInterval}
}

// mayRetry tells whether there is any place where a request may be sent once more without its effect
// happening twice.
func (b *Balancer) mayRetry(r *request) bool {
	return safety.MayRetry(b.now, b.safetyRules(r), firstThatMayHaveRun(r.attempts), nil) == safety.Allowed
}

// MayStartAttempt tells whether an attempt that has waited for its connection may begin, and if not, why: much may
// have changed.
func (b *Balancer) MayStartAttempt(now Time, id RequestID, attempt int) safety.Reason {
	b.now = now
	r := b.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return safety.RequestDone
	}
	return b.maySend(r, r.attempts[attempt].endpoint, r.attempts[:attempt])
}

// mayReject tells whether a refusal, which promises that a repeat does no harm, would be true.
func (b *Balancer) mayReject(r *request) bool {
	return safety.MayReject(b.safetyRules(r), firstThatMayHaveRun(r.attempts)) == safety.Allowed
}

// sendAttempt is the only way to Try.
func (b *Balancer) sendAttempt(r *request, h *endpointState) bool {
	if h == nil || !b.mayAttempt(r, h) {
		return false
	}
	if h.inFlight.count == 0 { // from here on it owes an answer
		h.lastAnswerAt = b.now
	}
	f := b.predictLatency(r, h)
	if f.expectedLate = f.latency*b.slownessFactor(h) > float64(r.objectiveAt-b.now); f.expectedLate {
		b.lastLateAttemptAt = b.now
	}
	r.attempts = append(r.attempts, attempt{h, h.Zone, h.Cell, b.now, true, true, f})
	b.accountAttempt(r, h, 1, AttemptResult{})
	h.slowStartTokens--
	if h.report.Outstanding >= 0 {
		h.report.Outstanding++
	}
	b.commands.SendAttempt(r.id, h.ID, 0)
	return true
}

// rejectOrFail is the only way to a final answer of our own.
func (b *Balancer) rejectOrFail(r *request) {
	switch {
	case r.done:
		return
	case b.mayReject(r):
		b.commands.Reject(r.id, b.config.MaxRetryAfter)
	default:
		b.commands.Fail(r.id)
	}
	b.closeRequest(r)
}

// closeRequest closes a request. Attempts still out are of no more use, but end by themselves: given up, they would
// leave our books while the host still works on them, and the next would need a new connection.
func (b *Balancer) closeRequest(r *request) {
	r.done, r.queued = true, false
	b.forgetIfComplete(r)
}

// HandleCancellation is a client that left, or a request whose time ran out: nothing more is owed for it.
func (b *Balancer) HandleCancellation(now Time, id RequestID) {
	b.now = now
	r := b.requests[id]
	if r == nil {
		return
	}
	b.closeRequest(r)
	for i := range r.attempts {
		if r.attempts[i].inFlight && b.config.AllowCancel {
			b.commands.CancelAttempt(id, i)
		}
	}
	b.dispatch()
}

// retryOrEnd decides on a failed request: held for another attempt where one is allowed and can still be in time.
func (b *Balancer) retryOrEnd(r *request) {
	if r.responseStarted || len(r.attempts) >= r.maxAttempts || b.now >= b.latestStart(r) || !b.mayRetry(r) {
		b.rejectOrFail(r)
	} else {
		b.enqueue(r, true)
	}
}

// ---- host health and capacity ----

// available tells whether a host is thought able: listed, not judged out, and not silent as frozen hosts are.
func (b *Balancer) available(h *endpointState) bool {
	return h.Phase == PhaseReady && b.now >= h.ejectedUntil && (h.inFlight.count == 0 || b.now-h.lastAnswerAt < b.maxSilence)
}

// trusted tells whether a host is fit and has lately answered without errors. What must run once goes there
// alone: an error costs it for good, while others find out whether the host is well again.
func (b *Balancer) trusted(h *endpointState) bool {
	return b.available(h) && h.errorRate < suspectErrorRate+typicalErrorRateFactor*b.medianErrorRate
}

// hasSlowStartToken keeps a cold host from being pushed over. Each gateway has turns, at a part of the stated multiple
// of what the host can do, measured by what a warm one answers to this gateway. One not used in time is lost:
// hundreds of gateways would save them up, and spend them in one moment. So all together keep the budget.
func (b *Balancer) hasSlowStartToken(h *endpointState) bool {
	warmth := b.warmUpFraction(h)
	if warmth == 1 || b.config.OverloadFactor <= 0 || b.config.OverloadWindow <= 0 {
		return true
	}
	rate := b.slowStartRate(h, warmth)
	h.slowStartTokens, h.tokensUpdatedAt = h.slowStartTokens+rate*float64(b.now-h.tokensUpdatedAt), b.now
	h.slowStartTokens -= max(math.Ceil(h.slowStartTokens-1-rate*slowStartBurstFraction*float64(b.config.OverloadWindow)), 0)
	return h.slowStartTokens >= 1
}

// recordOutcome takes one outcome into the host's limit and health and the class's latency.
func (b *Balancer) recordOutcome(h *endpointState, class int, s AttemptResult) {
	c := &b.classes[class]
	took := float64(s.Latency)
	target := c.baseline * math.Pow(float64(b.config.Classes[class].LatencyObjective)/c.baseline, latencyTargetExponent) / b.warmUpFraction(h)
	switch s.Outcome {
	case OutcomeServerError, OutcomeReset: // how soon it came says nothing of work done: latency and limits learn nothing
		h.lastAnswerAt = b.now
		if h.errorRate += errorRateGain * (1 - h.errorRate); h.errorRate > ejectionErrorRate+typicalErrorRateFactor*b.medianErrorRate {
			b.ejectEndpoint(h)
		}
		return
	case OutcomeOK:
		h.consecutiveFailures, h.lastAnswerAt = 0, b.now
		if h.errorRate -= errorRateGain * h.errorRate; h.errorRate < suspectErrorRate {
			h.ejections = 0
		}
		c.periodSum += took
		c.periodCount++
		c.mean += latencyGain * (took - c.mean)
		b.warmAnswers += math.Floor(b.warmUpFraction(h))
	case OutcomeRejected:
		h.lastAnswerAt, took = b.now, 3*target                                  // turned away: as late as can be
		if h.consecutiveFailures++; h.consecutiveFailures >= ejectionFailures { // it came at once, so the next would follow at once
			b.ejectEndpoint(h)
		}
	case OutcomeConnectFailed, OutcomeTimeout, OutcomeCanceled:
		cut := s.Outcome == OutcomeCanceled || s.Outcome == OutcomeTimeout
		if cut && took < target { // cut short before it was late, it proves nothing
			return
		}
		c.mean += latencyGain * (max(took, c.mean) - c.mean)
		if h.consecutiveFailures++; !cut && h.consecutiveFailures >= ejectionFailures { // lateness is load
			b.ejectEndpoint(h)
		}
		took = 3 * target // it would have taken longer still
	default:
		return
	}
	// A standing queue slows a host for all and may choke it: latency is kept between uncongested and aim.
	excess := min(took/target, 3) - 1
	u := h.report.Utilization
	told := s.Outcome == OutcomeOK && u >= 0 && b.now-h.reportChangedAt < reportFreshPeriods*b.controlPeriod
	if told { // what the host says of all its work tells more than how long one answer took
		excess = min(max((u-targetUtilization)/(1-targetUtilization), -1), 1) + min(max(h.report.Backlog, 0), 1)
	} else if s.Outcome != OutcomeOK {
		excess *= failedAttemptWeight
	}
	// With few answers a host, they speak for the others too: what is learned is pooled.
	b.adjustLimit(h, excess, 1)
	for _, o := range b.subset {
		if pool := 1 - b.answerRate*float64(b.controlPeriod)/minPeriodSamples; !told && o != h && pool > 0 {
			b.adjustLimit(o, excess, pool)
		}
	}
}

// ejectEndpoint leaves a host alone, for twice as long each time until it has done well.
func (b *Balancer) ejectEndpoint(h *endpointState) {
	if b.now < h.ejectedUntil {
		return
	}
	away := float64(b.controlPeriod) * math.Exp2(float64(min(h.ejections, maxDoublings)))
	h.ejectedUntil = b.now + Span(away*(0.75+b.random()/2))
	h.ejections++
	b.logf("host %x: out after %d failures, errors %.2f", uint64(h.ID), h.consecutiveFailures, h.errorRate)
}

// adjustLimit changes a host's limit by one answer, or by a part of one that came from another host.
func (b *Balancer) adjustLimit(h *endpointState, excess, part float64) {
	before := b.effectiveLimit(h)
	// The next period, which sums them up, may be far away.
	defer func() { b.capacity += b.effectiveLimit(h) - before }()
	if h.cores > 0 && b.checksHealth() { // what it holds is told, and what it may hold is foreseen
		h.limit = max(h.cores+1, h.cores*b.meanObjective*objectiveFillFraction/(b.meanWork*b.slownessFactor(h)))
	} else if excess > 0 {
		h.limit = max(minLimit*b.relativeWeight(h), h.limit-part*limitGain*excess*h.limit/2)
	} else if n := b.inFlightShare(h); max(n, h.inFlight.mean) >= limitInUseFraction*b.effectiveLimit(h) &&
		(part == 1 || b.inFlight.mean+1 >= limitInUseFraction*b.capacity) {
		h.limit -= part * limitGain * min(b.nodesPerEndpoint, initialLimit) * excess // many gateways raise it together
	}
}

// ---- discovery ----

// HandleEndpoints is news about the list of hosts that holds as of now.
func (b *Balancer) HandleEndpoints(now Time, kind ListKind, list []Endpoint) {
	b.HandleEndpointsAsOf(now, now, kind, list)
}

// HandleEndpointsAsOf is news about the list of hosts, or a call that has failed. It was current, or nothing newer
// could be had, at asOf.
func (b *Balancer) HandleEndpointsAsOf(now, asOf Time, kind ListKind, list []Endpoint) {
	b.now = now
	if !b.started {
		b.started, b.lastControlAt, b.watching = true, now, !b.config.PollDiscovery
		b.meanInFlight = initialLimit * float64(len(list)) / float64(max(b.config.PeerCount, 1))
		b.listLease = staleness.New(now, b.config.ListLease)
		b.commands.SetTimer(timerControl, b.controlPeriod)
		b.commands.SetTimer(timerPoll, Span(b.random()*b.firstPollSpread()))
	}
	b.recordListEvidence(kind, asOf)
	switch kind {
	case ListFailed, ListTimeout, ListOverloaded:
		b.watching = false
		b.logf("discovery: lost")
		told := float64(NotificationDeadline)
		busy := max(maxBackoffFraction*told, b.pollSpread()) // sooner, all would stand in line for nothing
		if b.listLease.Bounded() {
			busy = maxBackoffFraction * told // later, the list would be too old to send by
		}
		most := map[ListKind]float64{ListFailed: maxBackoffFraction * told, ListTimeout: maxTimeoutBackoffFraction * told,
			ListOverloaded: busy}[kind]
		b.schedulePoll(min(max(float64(b.controlPeriod)/4, b.pollSpread())*math.Exp2(float64(b.pollFailures)), most))
		b.pollFailures = min(b.pollFailures+1, maxDoublings)
		b.dispatch() // what waited for word of the list
		return
	case ListDelta, ListFull:
		b.watching, b.pollFailures = true, 0
	}
	fresh := b.mergeEndpoints(kind, list)
	b.updateSubset()
	for _, h := range fresh {
		// Taken to be like the others. Its first turn is at a time of our own: hundreds hear of it together.
		h.limit, h.consecutiveFailures, h.ejectedUntil, h.errorRate, h.ejections = b.typicalLimit*b.relativeWeight(h), 0, 0, 0, 0
		h.slowness, h.cores = 1, 0
		h.rank = hash64(cmp.Or(h.StableKey, uint64(h.ID)))
		h.slowStartTokens, h.tokensUpdatedAt, h.lastAnswerAt = b.firstSlowStartTokens(h), b.now, b.now
	}
	b.sortEndpoints()
	b.runControl()
	b.dispatch()
}

// recordListEvidence takes in what a call to discovery says of the age of the list. A list from a configuration
// says nothing of it.
func (b *Balancer) recordListEvidence(kind ListKind, asOf Time) {
	switch kind {
	case ListDelta, ListFull:
		b.listLease.Record(staleness.Answered, asOf)
	case ListFailed, ListOverloaded:
		b.listLease.Record(staleness.Rejected, asOf)
	case ListTimeout:
		b.listLease.Record(staleness.NoAnswer, asOf)
	}
}

// firstPollSpread is the time over which gateways that start together spread their first calls to discovery.
// Where nothing is sent before the answer, it is short.
func (b *Balancer) firstPollSpread() float64 {
	within := min(b.pollSpread(), firstPollFraction*float64(b.config.PollInterval))
	if b.listLease.Bounded() {
		within = min(within, firstLeasedPollFraction*float64(NotificationDeadline))
	}
	return within
}

// ExpireListAt ends the lease of the list at a time at the latest, as after a move of discovery: what
// was heard before says nothing of the list there.
func (b *Balancer) ExpireListAt(now, at Time) {
	b.now = now
	b.listLease.Shorten(at)
}

// ListCurrent tells whether requests are sent by the list, and until when that is known to hold.
func (b *Balancer) ListCurrent(now Time) (current bool, until Time) {
	return b.listLease.Valid(now), b.listLease.Until()
}

// schedulePoll sets the next call to discovery, at a chance moment so that gateways do not call together.
func (b *Balancer) schedulePoll(after float64) {
	b.nextPollAt = b.now + b.config.TickInterval + Span(after*(0.25+0.75*b.random()))
	b.commands.SetTimer(timerPoll, b.nextPollAt-b.now)
}
