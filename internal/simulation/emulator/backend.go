package emulator

import (
	"container/heap"
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// What a box's events mean.
const (
	boxArrive  = iota // P: the attempt
	boxDone           // A: the turn that it was set in
	boxCancel         // P: the attempt
	boxTick           // while it warms up
	boxRefresh        // of its load report
	boxPublish        // the report becomes visible
	boxCrowded        // A: since when it has been so; too many may have waited too long
	boxRested         // A: since when; it may have been idle long enough
)

const warmStep = 50 * eventqueue.Millisecond // between two steps of a cold box's capacity

// Where an attempt is.
const (
	travelling = iota
	joined     // a repeat by key that waits for the first run
	waiting
	running
	over
)

type attempt struct {
	req     *request
	no      int
	box     *Backend
	life    *boxLife // of the box as the connection was made
	sent    eventqueue.Time
	work    float64 // µs on one core of speed 1
	due     float64 // the box's attained service at which it is done
	state   uint8
	open    bool // the node waits for it
	fresh   bool // on a new connection
	conn    bool // it holds a connection
	ran     bool
	lost    bool // its request or answer was lost in a cut
	report  balancer.LoadReport
	pending any // of a Live
}

// boxLife is one process of a box; a restart begins another.
type boxLife struct {
	started eventqueue.Time // 0: long ago
	conns   int
}

// Backend is an app box: cores that its running requests share, slots, and a bounded waiting room. Requests in work all
// get the same part of the cores, at most one core each, so one number (attained) tells how far each has come:
// processor sharing, and with one slot a core the plain queue of so many servers.
type Backend struct {
	w      *Simulation
	src    eventqueue.Source
	rand   eventqueue.Stream
	id     balancer.EndpointID
	place  int // its address: what replaces it has the same
	site   int
	rack   int
	kind   *scenario.Kind
	ledger *ledger

	speed, coldFrom float64
	coldFor         eventqueue.Span
	slots, room     int

	life     *boxLife
	up       bool // the process runs
	silent   bool // the machine has vanished
	retired  bool // replaced for good
	draining bool
	frozen   bool
	slow     float64
	errors   float64
	resets   float64
	garbage  float64

	attained float64
	rate     float64 // of attained, per µs
	at       eventqueue.Time
	turn     int64
	heap     jobs
	queue    []*attempt // with those that were dropped
	queued   int        // without
	coming   int        // attempts on their way

	crowdedSince, restedSince eventqueue.Time // 0: not so
	overdriven                bool
	overdrivenAt              eventqueue.Time

	keys          []metKey
	busy          float64 // core time used since the last refresh of the report
	busyAt        eventqueue.Time
	next, visible balancer.LoadReport
}

type metKey struct {
	key uint64
	at  eventqueue.Time
}

// jobs is a heap of running attempts by due.
type jobs []*attempt

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].due < j[b].due }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(*attempt)) }
func (j *jobs) Pop() any {
	old := *j
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*j = old[:len(old)-1]
	return x
}

var unknown = balancer.LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}

func (w *Simulation) newBox(place int, id balancer.EndpointID, name string) *Backend {
	b := &Backend{w: w, src: eventqueue.NewSource(sourceBox | uint32(id)), rand: eventqueue.NewStream(w.seed, name), id: id, place: place,
		site: w.sc.Site(place), life: &boxLife{}, up: true, slow: 1, at: w.sim.Now(), visible: unknown}
	sites := len(w.sc.Fleet.Sites)
	b.rack = place/sites/w.sc.Fleet.Rack*sites + b.site // no two sites have a rack of the same number
	b.ledger = w.ledgerOf(b.rack)
	b.kind = w.kindOf(place)
	b.speed = between(b.kind.Speed, b.rand.Float64())
	b.coldFrom = between(b.kind.SlowStartInitial, b.rand.Float64())
	b.coldFor = us(between(b.kind.SlowStartDuration, b.rand.Float64()))
	b.slots = max(1, int(math.Round(b.kind.Slots*float64(b.kind.Cores))))
	b.room = int(math.Round(b.kind.Queue * float64(b.kind.Cores)))
	return b
}

func between(r scenario.Range, x float64) float64 { return r[0] + (r[1]-r[0])*x }

func us(ms float64) eventqueue.Span { return eventqueue.Span(math.Round(ms * 1000)) }

// full is what the box does when warm and well, in µs of work for each µs.
func (b *Backend) full() float64 { return b.speed * float64(b.kind.Cores) }

// warmth is the share of its capacity that the box has by now.
func (b *Backend) warmth(now eventqueue.Time) float64 {
	if age := now - b.life.started; b.life.started > 0 && age < b.coldFor {
		return b.coldFrom + (1-b.coldFrom)*float64(age)/float64(b.coldFor)
	}
	return 1
}

// capacity is what the box can do at the moment, in µs of work for each µs.
func (b *Backend) capacity(now eventqueue.Time) float64 {
	c := b.full() * b.warmth(now) / b.slow
	if held := float64(len(b.heap)+b.queued) / float64(b.kind.Cores); held > b.kind.CrowdFrom {
		c /= 1 + b.kind.Crowd*(held-b.kind.CrowdFrom)
	}
	if b.overdriven {
		c /= b.w.sc.Fleet.Overdrive.Slower
	}
	if b.frozen || !b.up {
		return 0
	}
	return c
}

// Wait is the time in µs that a request of ordinary work would take if it were sent now, by what the box holds and
// what is on its way to it.
func (b *Backend) Wait() float64 {
	now, work := b.w.sim.Now(), 0.0
	b.advance(now)
	for _, a := range b.heap {
		work += a.due - b.attained
	}
	work += float64(b.queued+b.coming) * b.w.meanWork
	capacity := max(b.capacity(now), 1e-9)
	return max((work+b.w.meanWork)/capacity, b.w.meanWork*float64(b.kind.Cores)/capacity)
}

// InFlight counts what is in work and waits.
func (b *Backend) InFlight() int { return len(b.heap) + b.queued }

// advance brings attained up to now.
func (b *Backend) advance(now eventqueue.Time) {
	if d := float64(now - b.at); d > 0 {
		b.attained += b.rate * d
		b.busy += d * float64(min(len(b.heap), b.kind.Cores))
		b.at = now
	}
}

// reset works out the rate anew and sets the next completion.
func (b *Backend) reset(now eventqueue.Time) {
	n := len(b.heap)
	if n == 0 {
		b.rate = 0
		b.turn++
		return
	}
	rate := b.capacity(now) / float64(max(n, b.kind.Cores))
	b.rate = rate
	b.turn++
	if rate > 0 {
		left := math.Ceil((b.heap[0].due - b.attained) / rate)
		b.w.sim.After(&b.src, eventqueue.Span(min(left, 1e15)), eventqueue.Event{To: b, Kind: boxDone, A: b.turn})
	}
}

// Handle takes the box's events.
func (b *Backend) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case boxArrive:
		b.arrive(now, e.P.(*attempt))
	case boxDone:
		if e.A == b.turn {
			b.complete(now)
		}
	case boxCancel:
		if a := e.P.(*attempt); a.state == waiting && b.kind.CancelQueued && a.life == b.life {
			b.drop(a)
			b.promote(now)
		}
	case boxTick:
		if e.P == b.life {
			b.advance(now)
			b.reset(now)
			if b.warmth(now) < 1 {
				b.w.sim.After(&b.src, warmStep, eventqueue.Event{To: b, Kind: boxTick, P: b.life})
			} else {
				b.w.judge.Warm(b.id)
			}
		}
	case boxRefresh:
		b.refresh(now)
	case boxPublish:
		b.visible = b.next
	case boxCrowded:
		if b.crowdedSince == e.A && e.A > 0 && !b.overdriven {
			b.overdriven, b.overdrivenAt = true, now
			b.w.rec.overdriven++
			b.w.sim.After(&b.src, us(b.w.sc.Fleet.Overdrive.Most), eventqueue.Event{To: b, Kind: boxRested, A: -now})
			b.change(now)
		}
	case boxRested:
		if b.overdriven && (e.A > 0 && b.restedSince == e.A || e.A < 0 && b.overdrivenAt == -e.A) {
			b.overdriven, b.crowdedSince = false, 0
			b.change(now)
		}
	}
}

// change follows whatever alters what the box holds or can do.
func (b *Backend) change(now eventqueue.Time) {
	b.reset(now)
	o := &b.w.sc.Fleet.Overdrive
	if o.PerCore <= 0 {
		return
	}
	cores := float64(b.kind.Cores)
	if float64(b.queued) <= o.PerCore*cores {
		b.crowdedSince = 0
	} else if b.crowdedSince == 0 {
		b.crowdedSince = now
		b.w.sim.After(&b.src, us(o.Over), eventqueue.Event{To: b, Kind: boxCrowded, A: now})
	}
	if !b.overdriven || float64(b.InFlight()) > o.Below*cores {
		b.restedSince = 0
	} else if b.restedSince == 0 {
		b.restedSince = now
		b.w.sim.After(&b.src, us(o.Rest), eventqueue.Event{To: b, Kind: boxRested, A: now})
	}
}

// arrive is an attempt whose last byte has come.
func (b *Backend) arrive(now eventqueue.Time, a *attempt) {
	b.coming--
	if b.silent {
		a.lose(b.w)
		return
	}
	if !b.up || a.life != b.life {
		a.reply(now, balancer.OutcomeReset) // the process that had accepted the connection is gone
		return
	}
	c := &b.w.sc.Fleet.Conns
	if a.fresh {
		a.work += c.Work
	}
	if b.warmth(now) < 1 {
		b.w.judge.AttemptReached(now, a.req.node.index, b.id, b.life.started, a.work, b.capacity(now))
	}
	d := eventqueue.NewDraws(b.w.seed, uint64(a.req.id)<<8|uint64(a.no), drawOutcome)
	switch {
	case a.fresh && c.PerCore > 0 && float64(b.life.conns) > c.PerCore*float64(b.kind.Cores),
		b.draining, len(b.heap) >= b.slots && b.queued >= b.room:
		a.reply(now, balancer.OutcomeRejected)
		return
	case d.Float64() < max(b.errors, b.kind.Errors):
		a.reply(now, balancer.OutcomeServerError)
		return
	}
	if a.req.call.effect == balancer.IdempotentByKey && b.kind.KeyedDrop && b.ledger.repeat(now, a) {
		return
	}
	b.accept(now, a)
}

func (b *Backend) accept(now eventqueue.Time, a *attempt) {
	b.advance(now)
	if len(b.heap) < b.slots {
		b.begin(now, a)
	} else {
		a.state = waiting
		b.queue = append(b.queue, a)
		b.queued++
	}
	b.change(now)
}

// begin is the moment from which a request has run.
func (b *Backend) begin(now eventqueue.Time, a *attempt) {
	a.state, a.ran = running, true
	a.req.call.runs++
	if a.req.call.runs > 1 && a.req.call.effect == balancer.NonIdempotent {
		b.w.rec.secondRuns++
	}
	if b.w.sc.Fleet.Affinity.Gain > 0 && b.meet(now, a.req.call.Key) {
		a.work *= 1 - b.w.sc.Fleet.Affinity.Gain
	}
	b.w.rec.executions++
	if b.w.ran != nil {
		b.w.ran(a)
	}
	a.due = b.attained + a.work
	heap.Push(&b.heap, a)
}

// meet tells whether the box has lately met the key, and remembers it.
func (b *Backend) meet(now eventqueue.Time, key uint64) bool {
	if key == 0 {
		return false
	}
	f := &b.w.sc.Fleet.Affinity
	most := max(1, int(f.KeysPerCore*float64(b.kind.Cores)))
	oldest := -1
	for i := range b.keys {
		if b.keys[i].key == key {
			known := now-b.keys[i].at < us(f.Millis)
			b.keys[i].at = now
			return known
		}
		if oldest < 0 || b.keys[i].at < b.keys[oldest].at {
			oldest = i
		}
	}
	if len(b.keys) < most {
		b.keys = append(b.keys, metKey{key, now})
	} else {
		b.keys[oldest] = metKey{key, now}
	}
	return false
}

func (b *Backend) complete(now eventqueue.Time) {
	b.advance(now)
	const crumb = 1e-6 // of a µs of work: what rounding may leave
	for len(b.heap) > 0 && b.heap[0].due <= b.attained+crumb {
		a := heap.Pop(&b.heap).(*attempt)
		a.state = over
		b.w.rec.work(a)
		out := balancer.OutcomeOK
		if b.resets > 0 || b.garbage > 0 || b.w.sc.Net.Reset > 0 {
			d := eventqueue.NewDraws(b.w.seed, uint64(a.req.id)<<8|uint64(a.no), drawReset)
			if d.Float64() < max(b.resets, b.w.sc.Net.Reset) {
				out = balancer.OutcomeReset
			} else if d.Float64() < b.garbage { // what a node makes of an answer that it cannot read
				out = balancer.OutcomeServerError
			}
		}
		a.reply(now, out)
		if a.req.call.effect == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.ledger.finished(now, a)
		}
	}
	b.promote(now)
}

// promote lets those who wait into free slots.
func (b *Backend) promote(now eventqueue.Time) {
	b.advance(now)
	for len(b.heap) < b.slots && len(b.queue) > 0 {
		a := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		if a.state != waiting {
			continue
		}
		b.queued--
		if b.kind.DropExpired && now >= a.req.deadline {
			b.never(now, a, balancer.OutcomeRejected)
			continue
		}
		b.begin(now, a)
	}
	b.change(now)
}

// drop takes an attempt that waits out of the queue, where its place stays until its turn.
func (b *Backend) drop(a *attempt) {
	b.queued--
	b.never(b.w.sim.Now(), a, 0)
}

// never is the end of an attempt that did not run and will not; repeats that waited for it take its place.
func (b *Backend) never(now eventqueue.Time, a *attempt, out balancer.Outcome) {
	a.state = over
	if out != 0 {
		a.reply(now, out)
	}
	if a.req.call.effect == balancer.IdempotentByKey && b.kind.KeyedDrop {
		b.ledger.dropped(now, a)
	}
}

// die ends the process: what it held is gone, and connections are reset unless the machine has vanished with it.
func (b *Backend) die(now eventqueue.Time, silent bool) {
	if !b.up {
		b.silent = b.silent || silent
		return
	}
	b.advance(now)
	b.up, b.silent, b.draining = false, silent, false
	held := append([]*attempt(b.heap), b.queue...)
	b.heap, b.queue, b.queued = nil, nil, 0
	b.keys = nil
	b.overdriven, b.crowdedSince, b.restedSince = false, 0, 0
	b.change(now)
	b.w.judge.Warm(b.id)
	for _, a := range held {
		if a.state != running && a.state != waiting {
			continue
		}
		if a.state == running {
			b.w.rec.lostWork(a, b.attained)
		}
		a.state = over
		if silent {
			a.lose(b.w)
		} else {
			a.reply(now, balancer.OutcomeReset)
		}
		if a.req.call.effect == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.ledger.died(now, a)
		}
	}
}

// start begins a new process, cold.
func (b *Backend) start(now eventqueue.Time) {
	b.life = &boxLife{started: now}
	b.up, b.silent, b.draining = true, false, false
	b.at, b.busyAt, b.busy = now, now, 0
	b.visible = unknown
	b.w.sim.After(&b.src, warmStep, eventqueue.Event{To: b, Kind: boxTick, P: b.life})
	b.change(now)
}

// refresh measures the load report, which becomes visible some time later.
func (b *Backend) refresh(now eventqueue.Time) {
	r := &b.w.sc.Fleet.Report
	b.advance(now)
	noise := func(x float64) float64 { return max(0, x*(1+r.Noise*b.rand.NormFloat64())) }
	b.next = unknown
	if d := float64(now - b.busyAt); d > 0 {
		b.next.Utilization = min(noise(b.busy/d/float64(b.kind.Cores)), 1)
		b.next.Backlog = math.Round(noise(float64(b.queued)))
		if r.Includes("held") {
			b.next.Outstanding = math.Round(noise(float64(b.InFlight())))
		}
		b.next = r.LoadReport(b.next)
	}
	b.busy, b.busyAt = 0, now
	b.w.sim.After(&b.src, us(r.Delay), eventqueue.Event{To: b, Kind: boxPublish})
	b.w.sim.After(&b.src, eventqueue.Span(float64(us(r.Every))*(0.9+0.2*b.rand.Float64())), eventqueue.Event{To: b, Kind: boxRefresh})
}

// reply sends an answer or a reset back to the node.
func (a *attempt) reply(now eventqueue.Time, out balancer.Outcome) {
	a.state = over
	n, b := a.req.node, a.box
	if b.w.parted(n.site, b.site) {
		a.lose(b.w)
		return
	}
	if a.report = unknown; b.w.sc.Fleet.Report.By == "answers" {
		a.report = b.visible
	}
	b.w.sim.After(&b.src, b.w.delay(&b.rand, b.site, n.site), eventqueue.Event{To: a.req.to, Kind: nodeReply, P: a, A: int64(out)})
}

// lose is a request or an answer that a cut has swallowed: nothing is heard until the link is back.
func (a *attempt) lose(w *Simulation) {
	a.lost = true
	if a.open {
		w.swallowed = append(w.swallowed, a)
	}
}

// ledger is the memory of keys that the boxes of a rack share: a repeat within the window does not run again.
type ledger struct {
	w       *Simulation
	runs    map[uint64]*keyedRun
	inOrder []*keyedRun
}

type keyedRun struct {
	key     uint64 // of the call
	at      eventqueue.Time
	window  eventqueue.Span
	first   *attempt // nil: it has run
	waiters []*attempt
}

// repeat tells whether the attempt repeats one that the rack knows; if not, it is the first from now on.
func (l *ledger) repeat(now eventqueue.Time, a *attempt) bool {
	for len(l.inOrder) > 0 && now-l.inOrder[0].at > l.inOrder[0].window {
		if r := l.inOrder[0]; l.runs[r.key] == r && r.first == nil {
			delete(l.runs, r.key)
		}
		l.inOrder[0] = nil
		l.inOrder = l.inOrder[1:]
	}
	key, window := a.req.call.Number, l.w.classes[a.req.call.Class].IdempotencyWindow
	if r := l.runs[key]; r != nil && now-r.at <= window {
		if r.first == nil {
			a.reply(now, balancer.OutcomeOK)
		} else {
			a.state = joined
			r.waiters = append(r.waiters, a)
		}
		return true
	}
	r := &keyedRun{key: key, at: now, window: window, first: a}
	l.runs[key] = r
	l.inOrder = append(l.inOrder, r)
	return false
}

func (l *ledger) finished(now eventqueue.Time, a *attempt) {
	if r := l.runs[a.req.call.Number]; r != nil && r.first == a {
		r.first = nil
		for _, x := range r.waiters {
			if x.box.up && x.life == x.box.life {
				x.reply(now, balancer.OutcomeOK)
			} else {
				x.reply(now, balancer.OutcomeReset)
			}
		}
		r.waiters = nil
	}
}

// died is a first run that was lost halfway: a later repeat runs anew, those that wait for it are reset.
func (l *ledger) died(now eventqueue.Time, a *attempt) {
	if r := l.runs[a.req.call.Number]; r != nil && r.first == a {
		delete(l.runs, r.key)
		for _, x := range r.waiters {
			x.reply(now, balancer.OutcomeReset)
		}
	}
}

// dropped is a first that never ran: a repeat that waited for it runs in its place.
func (l *ledger) dropped(now eventqueue.Time, a *attempt) {
	r := l.runs[a.req.call.Number]
	if r == nil || r.first != a {
		return
	}
	delete(l.runs, r.key)
	for _, x := range r.waiters {
		if !x.box.up || x.life != x.box.life {
			x.reply(now, balancer.OutcomeReset)
		} else if !l.repeat(now, x) {
			x.box.accept(now, x)
		}
	}
}
