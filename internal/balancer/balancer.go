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
	floorShare     = 0.10      // of all slots, spread evenly over tenants: the paper's minimum
	horizon        = 2.0       // T_e/t_p: how hard Eq. 1 corrects what was missed
	overEnter      = 0.92      // mean reported utilization at which overload begins
	overLeave      = 0.80      // and below which it may end
	reportFresh    = 3         // control periods after which an unchanged report tells nothing
	limitLeast     = 4.5       // of all gateways together: so few do not congest a host
	busyFull       = 0.95      // reported utilization that limits steer for
	cutWorth       = 3         // times an answer an attempt counts that was turned away or given up
	limitGain      = 0.10      // change of a host's limit for one answer a whole target early or late
	limitFirst     = 6         // of all gateways together for a host of which nothing is known
	targetPart     = 0.25      // of the way, in ratio, from uncongested latency to the aim
	inUse          = 0.70      // a limit rises only while this much of it is in use
	latencyGain    = 0.05      // weight of one answer in a class's mean latency
	baseDrift      = 1.01      // rise per control period of the latency held to be uncongested
	smoothing      = 0.3       // weight of the last period in means over periods
	enough         = 8         // answers in a period that make a mean
	sure           = 1.2       // times what is foreseen an answer may take
	fill           = 0.7       // of the aim, a host's limit is what it is done with in that time
	probeDraws     = 3         // hosts probed for a request, where that is cheap
	golden         = 0.618034  // of the ring of hosts from one gateway to the next: any run is even
	probeWorth     = 0.01      // of a request's worth may go into that
	coldPart       = 0.5       // of the cold budget is used, the rest is for chance and for unequal gateways
	coldBurst      = 0.25      // of the cold window a turn at a cold host stays open
	silentMeans    = 1.5       // mean latencies without an answer after which a host gets nothing new
	ejectAfter     = 3         // failures in a row that judge a host out
	badGain        = 0.2       // weight of one answer in the share of a host's answers that were errors
	badOut         = 0.45      // of them judge it out: about three in a row, but not the odd one
	badSuspect     = 0.1       // and with more than this, it gets nothing that could not be repeated
	badUsual       = 2         // times what is usual among hosts comes on top: it is no host's fault
	askFirst       = 0.5       // of the longest silence may pass before the first call to discovery
	askFirstLeased = 1.0 / 12  // of ToldWithin, the same where nothing is sent before the answer
	askEach        = 1.0 / 160 // of it goes by for each other gateway, so that their calls are spread
	askLatest      = 0.5       // of ToldWithin goes by at most until the call after one that failed
	askAnew        = 0.1       // and after one that was not answered at all
	ejectMost      = 5         // doublings of the time out
)

// ---- events ----

// HandleTimer is a timer that has come due.
func (b *Balancer) HandleTimer(now Time, t TimerID) {
	b.now = now
	r := b.reqs[RequestID(t/wakeKinds)]
	switch kind := t % wakeKinds; {
	case kind == wakeControl:
		b.act.SetTimer(wakeControl, Span(float64(b.period)*(0.9+b.random()/5))) // gateways fall out of step
		b.logged = max(b.logged-1, 0)
		b.control()
		b.release()
	case kind == wakeAsk:
		if !b.watching && now >= b.askAt {
			b.act.WatchEndpoints(true)
			b.askAgain(float64(b.cfg.PollInterval) / 2)
		}
	case r == nil || r.started:
	case kind == wakeEnd || r.held && now >= b.lastStart(r):
		b.end(r)
	default:
		if kind == wakeHeld && r.held { // a slot's part may have come due without an event
			b.await(r)
		}
		b.release()
	}
}

// HandleRequest is a client's request: held, and released at once where slots allow.
func (b *Balancer) HandleRequest(now Time, a Request) {
	b.now = now
	c := &b.cfg.Classes[a.Class]
	r := &request{id: a.ID, class: a.Class, tenant: a.Tenant % len(b.tenants), deadline: a.Deadline,
		most: b.cfg.MaxAttempts, hint: b.classes[a.Class].distance(a.CostHint)}
	r.size = math.Exp(r.hint * b.classes[a.Class].belief())
	if b.cfg.KeyAffinity {
		r.key = a.AffinityKey
	}
	r.aimAt, r.halfAt = min(b.began(a)+c.LatencyObjective, r.deadline), now+(a.Deadline-now)/2 // from the first try on
	b.reqs[r.id] = r
	b.tenants[r.tenant].arrived++
	end := r.deadline
	if c.LateValue == 0 && b.cfg.AllowCancel && r.aimAt > now {
		// An answer past the aim is worth nothing: spare the host the work.
		end = r.aimAt - min(b.cfg.TickInterval, (r.aimAt-now)/8) - Span(b.way)
	}
	b.act.SetTimer(TimerID(r.id)*wakeKinds+wakeEnd, max(end-now, 0))
	b.hold(r, false)
	if b.over && r.aimAt <= now || b.classes[a.Class].answers > 0 && b.lastStart(r) <= now {
		b.end(r) // what would be late anyway is refused first
	}
	b.release()
}

// HandleAttemptResult is the end of one attempt.
func (b *Balancer) HandleAttemptResult(now Time, s AttemptResult) {
	b.now = now
	r := b.reqs[s.ID]
	if r == nil || s.Attempt >= len(r.tries) || !r.tries[s.Attempt].open {
		return
	}
	a := &r.tries[s.Attempt]
	a.open, a.ran = false, s.Outcome != OutcomeRejected && s.Outcome != OutcomeConnectFailed && s.Outcome != OutcomeNotSent
	b.book(r, a.host, -1, s)
	if s.Outcome == OutcomeOK || s.Outcome == OutcomeTimeout {
		b.noteAnswer(r, a, float64(s.Latency), s.Outcome == OutcomeOK)
	}
	b.learn(a.host, r.class, s)
	if s.RequestDone {
		b.finish(r)
	} else if !r.done && r.open == 0 {
		b.again(r)
	}
	b.forget(r)
	b.release()
}

// ---- control: Eq. 1-3 and the slot matrix ----

// control runs every T_d, at mode flips and when the list changes.
func (b *Balancer) control() {
	b.ease()
	warm := b.regroup()
	if b.deaf() && len(b.group) > 0 { // are they answered again?
		b.act.CheckHealth(b.group[int(b.random()*float64(len(b.group)))].ID)
	}
	if dt := float64(b.now - b.controlAt); dt >= float64(b.period)/2 || b.overloaded() != b.over && dt > 0 {
		b.controlAt = b.now
		b.predict(dt, warm)
	}
	within := b.within()
	for i := range b.tenants {
		t := &b.tenants[i]
		t.slots = b.capacity * (floorShare/float64(len(b.tenants)) + (1-floorShare)*t.want/b.wanted)
		if b.over && t.demand <= t.share { // who asks for no more than its share comes before what was lent
			t.slots = max(t.slots, b.capacity*t.share/within)
		}
		b.spread(i, t.slots)
	}
}

// predict works out U_PR, each tenant's part of the slots.
func (b *Balancer) predict(dt, warm float64) {
	if warm > 0 {
		b.rate += smoothing * (b.answers/warm/dt - b.rate)
	}
	b.answers = 0
	b.silence = 0
	for i := range b.classes {
		b.silence = min(max(b.silence, Span(silentMeans*b.classes[i].mean)), b.period/2)
		// The lowest mean of a period is taken as uncongested; it may drift up, as work itself may.
		if c := &b.classes[i]; c.n >= enough {
			c.base = min(c.sum/c.n, c.base*baseDrift)
			c.sum, c.n = 0, 0
		}
	}
	arrived, served := b.sums()
	sum := 0.0
	b.busy += smoothing * (served/dt - b.busy)
	m := b.mode()
	b.modeTime[m] += dt
	alpha := dt / b.modeTime[m] // Eq. 3: last period over all time in this mode, 1 at first
	for i := range b.tenants {
		t := &b.tenants[i]
		if arrived > 0 {
			t.demand += smoothing * (t.arrived/arrived - t.demand)
		}
		used := min(t.served/dt/max(b.capacity, 1e-9), 1)
		t.used[m] = alpha*used + (1-alpha)*t.used[m]
		queued := max(0.5, float64(t.out.n)/float64(max(b.out.n, 1))) * t.used[m] // Eq. 2
		target := t.share                                                         // P^o: the shares alone
		if !b.over {
			target = (t.share + t.demand) / 2 // P^u: what is free follows demand
		}
		t.want = min(max(horizon*target-(horizon-1)*(t.used[m]+queued), 0), 1) // Eq. 1
		sum += t.want
		t.served, t.arrived = 0, 0
	}
	b.wanted = max(sum, 1)
	if b.overloaded() != b.over {
		b.over = !b.over
		b.log("mode: overload %v, slots %.0f", b.over, b.capacity)
	}
}

// overloaded reads the mode off the reports, where they are fresh, and off the gateway's own held requests.
func (b *Balancer) overloaded() bool {
	level := map[bool]float64{false: overEnter, true: overLeave}[b.over]
	return b.holding() || b.utilization(reportFresh*b.period) > level
}

// regroup is subsetting: of the hosts, in an order common to all gateways, as many as its traffic needs from
// a place of its own on. Where all gateways use all hosts, connections fill the hosts and nobody sees a host
// twice. Where each draws its subset by chance, some hosts are of many and some of few.
func (b *Balancer) regroup() (warm float64) {
	need := 2*b.draws() - 2 + int(b.busy)
	if need > b.size || need < b.size/2 {
		b.size = need
	}
	b.group = b.group[:0]
	ready := b.ready()
	at := int(math.Mod(float64(b.cfg.PeerIndex)*golden, 1) * float64(len(ready)))
	for _, out := range []bool{false, true} { // those judged out only fill up
		for i := range ready {
			if h := ready[(at+i)%len(ready)]; len(b.group) < b.size && out == (b.now < h.outTill) {
				b.group = append(b.group, h)
			}
		}
	}
	b.usualBad = b.medianBad()
	b.sharers = max(1, float64(b.cfg.PeerCount)*float64(len(b.group))/float64(max(len(ready), 1)))
	return b.tally()
}

// spread gives tenant j its slots, real numbers, in line with limits; an entry moves when well out of line.
func (b *Balancer) spread(j int, slots float64) {
	for _, h := range b.group {
		part := slots * b.limitOf(h) / max(b.capacity, b.limitOf(h))
		if !b.fit(h) {
			h.slots[j] = 0
		} else if math.Abs(part-h.slots[j]) > min(1, part/2) {
			h.slots[j] = part
		}
	}
}

// ---- placement ----

// pick draws hosts in proportion to the tenant's slots, or to the room lent; with no host fit, of all in use.
func (b *Balancer) pick(r *request, lent bool) (drawn []*host) {
	from := b.group
	if mayHaveRun(r.tries) != nil && b.cfg.Classes[r.class].Idempotency == IdempotentByKey { // its group of hosts
		from = b.hosts
	}
	fit := b.anyFit()
	sure := b.cfg.Classes[r.class].Idempotency == NonIdempotent && slices.ContainsFunc(from, b.trusted)
	weights := b.weights[:len(from)]
	for i, h := range from {
		weights[i] = 0
		if fit && !b.fit(h) || sure && !b.trusted(h) || !b.allowed(r, h) {
			continue
		} else if lent {
			weights[i] = max(b.room(h), 0)
		} else if float64(h.per[r.tenant]) < h.slots[r.tenant] && float64(h.out.n) < max(b.limitOf(h), 1) {
			weights[i] = h.slots[r.tenant] // what was lent does not stand in the way of whose share it is
		}
	}
	for i := b.drawFor(r.key, from); i >= 0 && len(drawn) < b.draws(); i = b.drawFor(r.key, from) {
		drawn = append(drawn, from[i])
		weights[i] = 0
	}
	return drawn
}

// best is the host least used for its limit of those drawn, nil where none has room.
func (b *Balancer) best(r *request, drawn []*host) (best *host) {
	least := math.Inf(1)
	for _, h := range drawn {
		load, told := b.used(h)/b.limitOf(h), !b.probing() || b.fresh(h) && b.room(h) > 0
		if told && load < least && b.allowed(r, h) && b.inTime(r, h) {
			best, least = h, load
		}
	}
	return best
}

// inTime tells whether an answer is foreseen before it is too late. A host that holds nothing is tried now
// and then even if it would be late: what is foreseen may be wrong, and only answers mend it.
func (b *Balancer) inTime(r *request, h *host) bool {
	c, f, till := &b.cfg.Classes[r.class], b.foresee(r, h), r.aimAt
	if c.LateValue > 0 {
		till = r.deadline
	}
	took, left := f.took*b.slowness(h), float64(till-b.now)
	return took == 0 || took*sure <= left ||
		f.held == 0 && (took <= left || c.Idempotency != NonIdempotent && b.now-b.triedAt > b.period)
}

// room is what is left of a host's limit: all where a probe will tell, none where its fraction is spent.
func (b *Balancer) room(h *host) float64 {
	n := b.used(h)
	switch {
	case b.probing() && !b.fresh(h):
		return b.limitOf(h)
	case b.fresh(h) || b.under(&h.out, b.limitOf(h)):
		return b.limitOf(h) - n
	}
	return 0
}

// probing tells whether to ask hosts what they hold before placing: where that is cheap and they tell.
func (b *Balancer) probing() bool {
	return b.cfg.AllowHealthChecks && b.cfg.HealthCheckCost*probeDraws <= probeWorth && !b.mute && !b.deaf()
}

// deaf tells that no probe has been answered for a while, though some were sent: then nobody waits for any.
func (b *Balancer) deaf() bool {
	return b.cfg.AllowHealthChecks && b.askedAt > 0 && b.now-b.askedAt > b.period
}

// draws is how many hosts are drawn for a request.
func (b *Balancer) draws() int {
	if b.probing() {
		return probeDraws
	}
	return 2
}

// HandleHealthCheck is the end of a probe.
func (b *Balancer) HandleHealthCheck(now Time, id EndpointID, out Outcome, took Span, rep *LoadReport) {
	b.now = now
	if h := b.byID[id]; h != nil && out == OutcomeOK {
		b.observe(h, rep)
		b.mute, b.askedAt = rep == nil || rep.Outstanding < 0, 0
		b.probeTook += smoothing * (float64(took) - b.probeTook)
		b.release()
	}
}

// ---- holding and release ----

func (b *Balancer) await(r *request) {
	b.act.SetTimer(TimerID(r.id)*wakeKinds+wakeHeld, max(0, min(b.lastStart(r)-b.now, b.beat(r))))
}

// beat is how often a held request is looked at where nothing else happens.
func (b *Balancer) beat(r *request) Span {
	return max(Span(b.classes[r.class].mean/4), 2*b.cfg.TickInterval)
}

// lastStart is when a held request is refused, as it would be late: a refusal before the aim costs less.
func (b *Balancer) lastStart(r *request) Time {
	till, tick := r.aimAt, min(2*b.cfg.TickInterval, b.cfg.Classes[r.class].LatencyObjective/4)
	if len(r.tries) > 0 && b.cfg.Classes[r.class].LateValue > 0 {
		till = r.deadline
	}
	last := till - max(Span(b.need(r)), tick)
	if b.over && len(r.tries) == 0 { // newer ones go first: the sooner its client hears, the more it has left
		last = min(last, r.halfAt)
	}
	return last
}

// release places held requests: first of tenants below their slots, drawn by slots, then of the others into
// room that nobody claims. So a tenant over its share waits first, and is refused first.
func (b *Balancer) release() {
	for _, lent := range []bool{false, true} {
		clear(b.blocked)
		for i := 0; i >= 0; {
			for j := range b.tenants {
				t := &b.tenants[j]
				b.turns[j] = 0
				free := b.under(&t.out, t.slots)
				if lent { // where hosts are probed, that tells
					free = b.probing() || b.under(&b.out, b.capacity)
				}
				if !b.blocked[j] && free && t.waiting() {
					b.turns[j] = t.slots
				}
			}
			if i = b.draw(b.turns); i >= 0 {
				b.blocked[i] = !b.place(i, lent)
			}
		}
	}
}

// under tells whether one more fits into so many slots. The fraction of a slot is spent over time: while the
// mean in flight is below it. Rounded up, the sum would grow with the number of gateways.
func (b *Balancer) under(m *meter, slots float64) bool {
	return float64(m.n+1) <= slots || float64(m.n) < slots && m.add(b.now, 0, slots, b.horizon(slots)) < slots
}

// place sends one held request of a tenant. Its class is drawn by what one is worth for the time it takes: in
// an overload the most is served so, and none is left out.
func (b *Balancer) place(i int, lent bool) bool {
	clear(b.gains)
	for _, r := range b.tenants[i].held {
		if !r.done && r.held {
			b.gains[r.class] = b.cfg.Classes[r.class].PriorityWeight / b.classes[r.class].mean
		}
	}
	for c := b.draw(b.gains); c >= 0; c = b.draw(b.gains) {
		if b.gains[c] = 0; b.placeOf(&b.tenants[i], c, lent) {
			return true
		}
	}
	return false
}

// placeOf does so for a class. A request tied to a group of hosts does not hold up those behind it.
func (b *Balancer) placeOf(t *tenantState, class int, lent bool) bool {
	for k := range t.held {
		if b.over { // newest first: the oldest would be answered too late
			k = len(t.held) - 1 - k
		}
		r := t.held[k]
		if r.done || !r.held || r.class != class || b.now < r.askTill && !b.heard(r) {
			continue
		}
		if r.drawn == nil {
			if r.drawn = b.pick(r, lent); b.probing() && len(r.drawn) > 0 {
				b.ask(r)
				continue
			}
		}
		h := b.best(r, r.drawn)
		r.drawn, r.askTill = nil, 0
		if b.send(r, h) {
			r.held = false
			t.held = append(t.held[:k], t.held[k+1:]...)
			return true
		}
		if b.probing() {
			r.askTill = b.now + b.beat(r) // all full: ask anew, but not at once
		} else if len(r.tries) == 0 {
			return false
		}
	}
	return false
}

// ask probes the hosts drawn for a request, which waits for the slowest but not for ever.
func (b *Balancer) ask(r *request) {
	b.askedAt = cmp.Or(b.askedAt, b.now)
	r.asked, r.askTill = b.now, b.now+max(Span(4*b.probeTook), 2*b.cfg.TickInterval)
	for _, h := range r.drawn {
		b.act.CheckHealth(h.ID)
	}
	b.act.SetTimer(TimerID(r.id)*wakeKinds+wakeAsked, r.askTill-b.now)
}

// ---- attempts and rules ----

// allowed tells whether a request may have one more attempt, at a host. Every Try passes it.
func (b *Balancer) allowed(r *request, h *host) bool {
	n := len(r.tries)
	justFailed := n > 0 && r.tries[n-1].host == h && len(b.hosts) > 1
	if justFailed || (safety.Attempt{Made: n, Max: r.most, InFlight: r.open}).Check() != safety.Allowed {
		return false
	}
	return b.maySend(r, h, r.tries) == safety.Allowed && b.coldRoom(h)
}

// maySend asks the one place that decides whether an attempt may be sent, given the attempts before it.
func (b *Balancer) maySend(r *request, h *host, before []attempt) safety.Reason {
	return safety.Send{
		Now:         b.now,
		Deadline:    r.deadline,
		RequestDone: r.done || r.started,
		ListCurrent: b.lease.Valid(b.now),
		Rules:       b.rules(r),
		Prior:       mayHaveRun(before),
		Backend:     safety.Backend{InService: h.Phase == PhaseReady, Zone: h.Zone, Cell: h.Cell},
	}.Check()
}

// rules are those of a request's class. Of the window for repeats, some is kept for the way to the host.
func (b *Balancer) rules(r *request) safety.Rules {
	c := &b.cfg.Classes[r.class]
	return safety.Rules{Idempotency: c.Idempotency, KeyScope: c.KeyScope, Window: c.IdempotencyWindow, Margin: 2 * b.cfg.TickInterval}
}

// mayRepeat tells whether there is any place where a request may be sent once more without its effect
// happening twice.
func (b *Balancer) mayRepeat(r *request) bool {
	return safety.MayRetry(b.now, b.rules(r), mayHaveRun(r.tries), nil) == safety.Allowed
}

// MayStartAttempt tells whether an attempt that has waited for its connection may begin, and if not, why: much may
// have changed.
func (b *Balancer) MayStartAttempt(now Time, id RequestID, attempt int) safety.Reason {
	b.now = now
	r := b.reqs[id]
	if r == nil || attempt >= len(r.tries) {
		return safety.RequestDone
	}
	return b.maySend(r, r.tries[attempt].host, r.tries[:attempt])
}

// mayDecline tells whether a refusal, which promises that a repeat does no harm, would be true.
func (b *Balancer) mayDecline(r *request) bool {
	return safety.MayReject(b.rules(r), mayHaveRun(r.tries)) == safety.Allowed
}

// send is the only way to Try.
func (b *Balancer) send(r *request, h *host) bool {
	if h == nil || !b.allowed(r, h) {
		return false
	}
	if h.out.n == 0 { // from here on it owes an answer
		h.answered = b.now
	}
	f := b.foresee(r, h)
	if f.late = f.took*b.slowness(h) > float64(r.aimAt-b.now); f.late {
		b.triedAt = b.now
	}
	r.tries = append(r.tries, attempt{h, h.Zone, h.Cell, b.now, true, true, f})
	b.book(r, h, 1, AttemptResult{})
	h.tokens--
	if h.report.Outstanding >= 0 {
		h.report.Outstanding++
	}
	b.act.SendAttempt(r.id, h.ID, 0)
	return true
}

// end is the only way to a final answer of our own.
func (b *Balancer) end(r *request) {
	switch {
	case r.done:
		return
	case b.mayDecline(r):
		b.act.Reject(r.id, b.cfg.MaxRetryAfter)
	default:
		b.act.Fail(r.id)
	}
	b.finish(r)
}

// finish closes a request. Attempts still out are of no more use, but end by themselves: given up, they would
// leave our books while the host still works on them, and the next would need a new connection.
func (b *Balancer) finish(r *request) {
	r.done, r.held = true, false
	b.forget(r)
}

// HandleCancellation is a client that left, or a request whose time ran out: nothing more is owed for it.
func (b *Balancer) HandleCancellation(now Time, id RequestID) {
	b.now = now
	r := b.reqs[id]
	if r == nil {
		return
	}
	b.finish(r)
	for i := range r.tries {
		if r.tries[i].open && b.cfg.AllowCancel {
			b.act.CancelAttempt(id, i)
		}
	}
	b.release()
}

// again decides on a failed request: held for another attempt where one is allowed and can still be in time.
func (b *Balancer) again(r *request) {
	if r.started || len(r.tries) >= r.most || b.now >= b.lastStart(r) || !b.mayRepeat(r) {
		b.end(r)
	} else {
		b.hold(r, true)
	}
}

// ---- host health and capacity ----

// fit tells whether a host is thought able: listed, not judged out, and not silent as frozen hosts are.
func (b *Balancer) fit(h *host) bool {
	return h.Phase == PhaseReady && b.now >= h.outTill && (h.out.n == 0 || b.now-h.answered < b.silence)
}

// trusted tells whether a host is fit and has lately answered without errors. What must run once goes there
// alone: an error costs it for good, while others find out whether the host is well again.
func (b *Balancer) trusted(h *host) bool { return b.fit(h) && h.bad < badSuspect+badUsual*b.usualBad }

// coldRoom keeps a cold host from being pushed over. Each gateway has turns, at a part of the stated multiple
// of what the host can do, measured by what a warm one answers to this gateway. One not used in time is lost:
// hundreds of gateways would save them up, and spend them in one moment. So all together keep the budget.
func (b *Balancer) coldRoom(h *host) bool {
	warmth := b.warmth(h)
	if warmth == 1 || b.cfg.OverloadFactor <= 0 || b.cfg.OverloadWindow <= 0 {
		return true
	}
	rate := b.coldRate(h, warmth)
	h.tokens, h.tokensAt = h.tokens+rate*float64(b.now-h.tokensAt), b.now
	h.tokens -= max(math.Ceil(h.tokens-1-rate*coldBurst*float64(b.cfg.OverloadWindow)), 0)
	return h.tokens >= 1
}

// learn takes one outcome into the host's limit and health and the class's latency.
func (b *Balancer) learn(h *host, class int, s AttemptResult) {
	c := &b.classes[class]
	took := float64(s.Latency)
	target := c.base * math.Pow(float64(b.cfg.Classes[class].LatencyObjective)/c.base, targetPart) / b.warmth(h)
	switch s.Outcome {
	case OutcomeServerError, OutcomeReset: // how soon it came says nothing of work done: latency and limits learn nothing
		h.answered = b.now
		if h.bad += badGain * (1 - h.bad); h.bad > badOut+badUsual*b.usualBad {
			b.eject(h)
		}
		return
	case OutcomeOK:
		h.fails, h.answered = 0, b.now
		if h.bad -= badGain * h.bad; h.bad < badSuspect {
			h.outs = 0
		}
		c.sum += took
		c.n++
		c.mean += latencyGain * (took - c.mean)
		b.answers += math.Floor(b.warmth(h))
	case OutcomeRejected:
		h.answered, took = b.now, 3*target    // turned away: as late as can be
		if h.fails++; h.fails >= ejectAfter { // it came at once, so the next would follow at once
			b.eject(h)
		}
	case OutcomeConnectFailed, OutcomeTimeout, OutcomeCanceled:
		cut := s.Outcome == OutcomeCanceled || s.Outcome == OutcomeTimeout
		if cut && took < target { // cut short before it was late, it proves nothing
			return
		}
		c.mean += latencyGain * (max(took, c.mean) - c.mean)
		if h.fails++; !cut && h.fails >= ejectAfter { // lateness is load
			b.eject(h)
		}
		took = 3 * target // it would have taken longer still
	default:
		return
	}
	// A standing queue slows a host for all and may choke it: latency is kept between uncongested and aim.
	excess := min(took/target, 3) - 1
	u := h.report.Utilization
	told := s.Outcome == OutcomeOK && u >= 0 && b.now-h.reportAt < reportFresh*b.period
	if told { // what the host says of all its work tells more than how long one answer took
		excess = min(max((u-busyFull)/(1-busyFull), -1), 1) + min(max(h.report.Backlog, 0), 1)
	} else if s.Outcome != OutcomeOK {
		excess *= cutWorth
	}
	// With few answers a host, they speak for the others too: what is learned is pooled.
	b.move(h, excess, 1)
	for _, o := range b.group {
		if pool := 1 - b.rate*float64(b.period)/enough; !told && o != h && pool > 0 {
			b.move(o, excess, pool)
		}
	}
}

// eject leaves a host alone, for twice as long each time until it has done well.
func (b *Balancer) eject(h *host) {
	if b.now < h.outTill {
		return
	}
	away := float64(b.period) * math.Exp2(float64(min(h.outs, ejectMost)))
	h.outTill = b.now + Span(away*(0.75+b.random()/2))
	h.outs++
	b.log("host %x: out after %d failures, errors %.2f", uint64(h.ID), h.fails, h.bad)
}

// move changes a host's limit by one answer, or by a part of one that came from another host.
func (b *Balancer) move(h *host, excess, part float64) {
	before := b.limitOf(h)
	// The next period, which sums them up, may be far away.
	defer func() { b.capacity += b.limitOf(h) - before }()
	if h.cores > 0 && b.probing() { // what it holds is told, and what it may hold is foreseen
		h.limit = max(h.cores+1, h.cores*b.aim*fill/(b.work*b.slowness(h)))
	} else if excess > 0 {
		h.limit = max(limitLeast*b.part(h), h.limit-part*limitGain*excess*h.limit/2)
	} else if n := b.used(h); max(n, h.out.mean) >= inUse*b.limitOf(h) &&
		(part == 1 || b.out.mean+1 >= inUse*b.capacity) {
		h.limit -= part * limitGain * min(b.sharers, limitFirst) * excess // many gateways raise it together
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
	if !b.begun {
		b.begun, b.controlAt, b.watching = true, now, !b.cfg.PollDiscovery
		b.busy = limitFirst * float64(len(list)) / float64(max(b.cfg.PeerCount, 1))
		b.lease = staleness.New(now, b.cfg.ListLease)
		b.act.SetTimer(wakeControl, b.period)
		b.act.SetTimer(wakeAsk, Span(b.random()*b.firstCallWithin()))
	}
	b.noteEvidence(kind, asOf)
	switch kind {
	case ListFailed, ListTimeout, ListOverloaded:
		b.watching = false
		b.log("discovery: lost")
		told := float64(NotificationDeadline)
		busy := max(askLatest*told, b.askSpread()) // sooner, all would stand in line for nothing
		if b.lease.Bounded() {
			busy = askLatest * told // later, the list would be too old to send by
		}
		most := map[ListKind]float64{ListFailed: askLatest * told, ListTimeout: askAnew * told,
			ListOverloaded: busy}[kind]
		b.askAgain(min(max(float64(b.period)/4, b.askSpread())*math.Exp2(float64(b.askFails)), most))
		b.askFails = min(b.askFails+1, ejectMost)
		b.release() // what waited for word of the list
		return
	case ListDelta, ListFull:
		b.watching, b.askFails = true, 0
	}
	fresh := b.merge(kind, list)
	b.regroup()
	for _, h := range fresh {
		// Taken to be like the others. Its first turn is at a time of our own: hundreds hear of it together.
		h.limit, h.fails, h.outTill, h.bad, h.outs = b.typical*b.part(h), 0, 0, 0, 0
		h.slow, h.cores = 1, 0
		h.rank = mix(cmp.Or(h.StableKey, uint64(h.ID)))
		h.tokens, h.tokensAt, h.answered = b.phase(h), b.now, b.now
	}
	b.sort()
	b.control()
	b.release()
}

// noteEvidence takes in what a call to discovery says of the age of the list. A list from a configuration
// says nothing of it.
func (b *Balancer) noteEvidence(kind ListKind, asOf Time) {
	switch kind {
	case ListDelta, ListFull:
		b.lease.Record(staleness.Answered, asOf)
	case ListFailed, ListOverloaded:
		b.lease.Record(staleness.Rejected, asOf)
	case ListTimeout:
		b.lease.Record(staleness.NoAnswer, asOf)
	}
}

// firstCallWithin is the time over which gateways that start together spread their first calls to discovery.
// Where nothing is sent before the answer, it is short.
func (b *Balancer) firstCallWithin() float64 {
	within := min(b.askSpread(), askFirst*float64(b.cfg.PollInterval))
	if b.lease.Bounded() {
		within = min(within, askFirstLeased*float64(NotificationDeadline))
	}
	return within
}

// ExpireListAt ends the lease of the list at a time at the latest, as after a move of discovery: what
// was heard before says nothing of the list there.
func (b *Balancer) ExpireListAt(now, at Time) {
	b.now = now
	b.lease.Shorten(at)
}

// ListCurrent tells whether requests are sent by the list, and until when that is known to hold.
func (b *Balancer) ListCurrent(now Time) (current bool, until Time) {
	return b.lease.Valid(now), b.lease.Until()
}

// askAgain sets the next call to discovery, at a chance moment so that gateways do not call together.
func (b *Balancer) askAgain(after float64) {
	b.askAt = b.now + b.cfg.TickInterval + Span(after*(0.25+0.75*b.random()))
	b.act.SetTimer(wakeAsk, b.askAt-b.now)
}
