package emulator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// LiveBackends is a scenario's boxes and what discovery knows of them, without clients and nodes: for stand-ins that serve them
// on sockets in real time. It has no clock of its own. Whoever drives it calls Advance with the time since the start,
// and hears what happens meanwhile through Effects. It is not safe for concurrent use.
type LiveBackends struct {
	w      *Simulation
	out    Effects
	nodes  []*Node
	listed int
}

// Effects is who hears of what a Live does. Calls come from within Advance and the other methods, and must not call
// back.
type Effects interface {
	// Ran is an attempt that begins to run, whether or not anybody still waits for it.
	Ran(pending any)
	// Answered is the end of an attempt at its box; Reset is a connection to be broken.
	Answered(p Pending, out balancer.Outcome)
	// Listed is a line of the list, as discovery learns of it.
	Listed(line EndpointEntry)
	// Began and Ended are faults; those that hit only boxes have been played by then.
	Began(f faultinject.Fault)
	Ended(f faultinject.Fault)
}

// EndpointEntry is what discovery tells of a box. Its start counts from the start of the run; below 0: long before.
type EndpointEntry struct {
	Backend, Place int // the number of its process's machine, and the address that it has
	Site, Rack     int
	Weight         float64
	Phase          balancer.Phase
	Started        eventqueue.Time
}

// Attempt is a request that has come whole to a box's address.
type Attempt struct {
	Place   int
	Node    int    // who sent it
	ID      string // the request's id
	Repeat  string // by which repeats are known: the idempotency key, or the id
	Class   int
	Key     uint64
	Timeout eventqueue.Span // how long the node will wait; 0: not told
	Fresh   bool            // the first on its connection
	Pending any             // handed back with the answer
}

// Pending is an attempt that a box has taken in hand.
type Pending struct {
	Any    any
	Ran    bool // it has begun to run
	Report balancer.LoadReport
	a      *attempt
}

// liveEnd hears the ends of attempts in place of a node.
type liveEnd struct{ l *LiveBackends }

func (e liveEnd) Handle(_ eventqueue.Time, ev eventqueue.Event) {
	a := ev.P.(*attempt)
	if !a.open {
		return
	}
	a.open = false
	e.l.out.Answered(Pending{Any: a.pending, Ran: a.ran, Report: a.report, a: a}, balancer.Outcome(ev.A))
}

// liveFaults hears the scenario's faults begin and end.
type liveFaults struct{ l *LiveBackends }

func (f liveFaults) Handle(now eventqueue.Time, ev eventqueue.Event) {
	if ev.Kind == faultBegins {
		f.l.begin(now, int(ev.A))
	} else {
		f.l.finish(now, int(ev.A))
	}
}

// NewLive returns the boxes of a checked scenario.
func NewLive(sc *scenario.Scenario, seed uint64, out Effects) *LiveBackends {
	own := *sc
	own.Net.Same, own.Net.Cross, own.Net.Jitter = 0, 0, 0 // sockets have delays of their own
	w := &Simulation{sc: &own, seed: seed, byID: map[balancer.EndpointID]*Backend{}, ledgers: map[int]*ledger{}, active: map[int]bool{},
		cut: make([]int, len(sc.Fleet.Sites)), faultSrc: eventqueue.NewSource(sourceFault), faults: Faults(sc, seed),
		classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes, meanWork: workload.MeanWork(sc),
		judge: invariant.New(invariant.Config{}, origin)}
	w.sim.Run(origin)
	w.rec = newRecorder(w)
	w.disc = &discovery{w: w, src: eventqueue.NewSource(sourceDiscovery), rand: eventqueue.NewStream(seed, "discovery")}
	l := &LiveBackends{w: w, out: out}
	w.ran = func(a *attempt) { out.Ran(a.pending) }
	for place := range sc.Fleet.Backends {
		b := w.newBox(place, balancer.EndpointID(place+1), "box")
		w.boxes, w.byID[b.id] = append(w.boxes, b), b
		w.capacity += b.full()
		w.disc.log = append(w.disc.log, change{w.line(b, balancer.PhaseReady), origin})
		if every := us(sc.Fleet.Report.Every); every > 0 {
			w.sim.After(&b.src, eventqueue.Span(b.rand.Float64()*float64(every)), eventqueue.Event{To: b, Kind: boxRefresh})
		}
	}
	w.lastID = balancer.EndpointID(len(w.boxes))
	for i := range sc.Nodes.Count {
		l.nodes = append(l.nodes, &Node{w: w, index: i, site: sc.Site(i)})
	}
	l.tell()
	for i, f := range w.faults {
		l.plan(i, f)
	}
	return l
}

func (l *LiveBackends) plan(i int, f faultinject.Fault) {
	w := l.w
	w.sim.At(&w.faultSrc, origin+f.Start*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultBegins, A: int64(i)})
	if f.Duration > 0 {
		w.sim.At(&w.faultSrc, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultEnds, A: int64(i)})
	}
}

// ofNodes are the faults that the boxes have no part in: those of nodes, of discovery, and of how answers are worded.
func ofNodes(k faultinject.Kind) bool {
	switch k {
	case faultinject.Garbage, faultinject.Interim, faultinject.NodeKill, faultinject.ClockOff, faultinject.DatagramsLost, faultinject.HotNode, faultinject.Surge, faultinject.ListDown:
		return true
	}
	return false
}

func (l *LiveBackends) begin(now eventqueue.Time, i int) {
	f := l.w.faults[i]
	if !ofNodes(f.Kind) {
		l.w.begin(now, i)
	}
	l.out.Began(f)
	l.tell()
}

func (l *LiveBackends) finish(now eventqueue.Time, i int) {
	f := l.w.faults[i]
	if !ofNodes(f.Kind) {
		l.w.finish(now, i)
	}
	l.out.Ended(f)
	l.tell()
}

// Begin starts a fault now, whatever its own times say; it lasts for its own length, or until End. What is left open
// in it is settled by the seed. It returns the fault's number.
func (l *LiveBackends) Begin(f faultinject.Fault) (int, faultinject.Fault) {
	name := func(i int) string { return l.w.sc.Fleet.Sites[l.w.sc.Site(i)] }
	f = f.ApplyDefaults(l.w.sc.Scope(name, name), eventqueue.NewStream(l.w.seed, "order "+string(f.Kind)))
	f.Start = (l.w.sim.Now() - origin) / eventqueue.Millisecond
	i := len(l.w.faults)
	l.w.faults = append(l.w.faults, f)
	l.begin(l.w.sim.Now(), i)
	if f.Duration > 0 {
		l.w.sim.At(&l.w.faultSrc, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultEnds, A: int64(i)})
	}
	return i, f
}

// End ends the fault of that number, and tells whether it was on.
func (l *LiveBackends) End(i int) bool {
	if i < 0 || i >= len(l.w.faults) || !l.w.active[i] && !ofNodes(l.w.faults[i].Kind) {
		return false
	}
	l.finish(l.w.sim.Now(), i)
	return true
}

// Advance plays up to now, and returns when the next thing is due; never, if nothing is.
func (l *LiveBackends) Advance(now eventqueue.Time) (next eventqueue.Time) {
	l.w.sim.Run(origin + now)
	l.tell()
	if at, ok := l.w.sim.Next(); ok {
		return at - origin
	}
	return math.MaxInt64
}

// tell passes on what discovery has learned.
func (l *LiveBackends) tell() {
	for ; l.listed < l.w.disc.version(); l.listed++ {
		h := l.w.disc.log[l.listed].host
		started := h.StartedAt - origin
		if h.StartedAt == 0 {
			started = -1
		}
		l.out.Listed(EndpointEntry{Backend: int(h.ID), Place: l.w.byID[h.ID].place, Site: h.Zone, Rack: h.Cell, Weight: h.Weight, Phase: h.Phase,
			Started: started})
	}
}

// Up tells whether the process at that address runs, and whether its machine has vanished.
func (l *LiveBackends) Up(place int) (up, silent bool) {
	return l.w.boxes[place].up, l.w.boxes[place].silent
}

// Partitioned tells whether the link between a node and a box's address is cut.
func (l *LiveBackends) Partitioned(node, place int) bool {
	return l.w.parted(l.w.sc.Site(node), l.w.sc.Site(place))
}

// Incarnation changes whenever the process at that address does.
func (l *LiveBackends) Incarnation(place int) any { return l.w.boxes[place].life }

// Capacity is what the fleet can do, in µs of work for each µs.
func (l *LiveBackends) Capacity() float64 { return l.w.capacity }

// Executions counts what has begun to run.
func (l *LiveBackends) Executions() int64 { return l.w.rec.executions }

// Arrive hands an attempt to the box at its address.
func (l *LiveBackends) Arrive(now eventqueue.Time, in Attempt) Pending {
	w := l.w
	w.sim.Run(origin + now)
	b := w.boxes[in.Place]
	id := xxhash.Sum64String(in.ID)
	c := &call{Call: workload.Call{Number: xxhash.Sum64String(in.Repeat), Class: in.Class, Key: in.Key}, effect: w.classes[in.Class].Idempotency}
	r := &request{id: balancer.RequestID(id >> 8), call: c, node: l.nodes[in.Node], to: liveEnd{l}, deadline: math.MaxInt64}
	if in.Timeout > 0 {
		r.deadline = w.sim.Now() + in.Timeout
	}
	a := &attempt{req: r, box: b, life: b.life, sent: w.sim.Now(), open: true, fresh: in.Fresh, pending: in.Pending}
	a.work = workload.DrawWork(w.sc, w.seed, c.Number, in.Class)
	if noise := w.sc.Classes[in.Class].Noise; noise > 0 {
		d := eventqueue.NewDraws(w.seed, id, drawWork)
		a.work *= workload.Lognormal(noise, d.Norm())
	}
	b.coming++
	b.arrive(w.sim.Now(), a)
	return Pending{Any: in.Pending, a: a}
}

// Probe is what the box at an address tells of itself when it is asked.
func (l *LiveBackends) Probe(now eventqueue.Time, place int) balancer.LoadReport {
	l.w.sim.Run(origin + now)
	return l.w.probed(l.w.boxes[place])
}

// Abandon is a node that has given an attempt up: its connection is closed.
func (l *LiveBackends) Abandon(p Pending) {
	p.a.open = false
	b := p.a.box
	b.Handle(l.w.sim.Now(), eventqueue.Event{To: b, Kind: boxCancel, P: p.a})
}

// Connected counts connections to an address, for the box's cap.
func (l *LiveBackends) Connected(place, n int) { l.w.boxes[place].life.conns += n }
