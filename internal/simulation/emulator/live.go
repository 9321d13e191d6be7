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
	simulation        *Simulation
	effects           Effects
	nodes             []*Node
	publishedRevision int
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
	Any     any
	Ran     bool // it has begun to run
	Report  balancer.LoadReport
	attempt *attempt
}

// liveAttemptEnds hears the ends of attempts in place of a node.
type liveAttemptEnds struct{ live *LiveBackends }

func (e liveAttemptEnds) Handle(_ eventqueue.Time, ev eventqueue.Event) {
	a := ev.P.(*attempt)
	if !a.awaited {
		return
	}
	a.awaited = false
	e.live.effects.Answered(Pending{Any: a.liveContext, Ran: a.started, Report: a.report, attempt: a}, balancer.Outcome(ev.A))
}

// liveFaults hears the scenario's faults begin and end.
type liveFaults struct{ live *LiveBackends }

func (f liveFaults) Handle(now eventqueue.Time, ev eventqueue.Event) {
	if ev.Kind == faultStart {
		f.live.startFault(now, int(ev.A))
	} else {
		f.live.endFault(now, int(ev.A))
	}
}

// NewLive returns the boxes of a checked scenario.
func NewLive(sc *scenario.Scenario, seed uint64, out Effects) *LiveBackends {
	own := *sc
	own.Net.Same, own.Net.Cross, own.Net.Jitter = 0, 0, 0 // sockets have delays of their own
	simulation := &Simulation{scenario: &own, seed: seed, backendsByID: map[balancer.EndpointID]*Backend{}, idempotencyStores: map[int]*idempotencyStore{}, activeFaults: map[int]bool{},
		partitions: make([]int, len(sc.Fleet.Sites)), faultSource: eventqueue.NewSource(sourceFault), faults: Faults(sc, seed),
		classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes, meanWork: workload.MeanWork(sc),
		checker: invariant.New(invariant.Config{}, origin)}
	simulation.events.Run(origin)
	simulation.recorder = newRecorder(simulation)
	simulation.discovery = &discovery{simulation: simulation, source: eventqueue.NewSource(sourceDiscovery), random: eventqueue.NewStream(seed, "discovery")}
	l := &LiveBackends{simulation: simulation, effects: out}
	simulation.onExecution = func(a *attempt) { out.Ran(a.liveContext) }
	for place := range sc.Fleet.Backends {
		b := simulation.newBackend(place, balancer.EndpointID(place+1), "box")
		simulation.backends, simulation.backendsByID[b.id] = append(simulation.backends, b), b
		simulation.capacity += b.nominalCapacity()
		simulation.discovery.changes = append(simulation.discovery.changes, listChange{simulation.endpointOf(b, balancer.PhaseReady), origin})
		if every := fromMilliseconds(sc.Fleet.Report.Every); every > 0 {
			simulation.events.After(&b.source, eventqueue.Span(b.random.Float64()*float64(every)), eventqueue.Event{To: b, Kind: backendReportMeasured})
		}
	}
	simulation.lastBackendID = balancer.EndpointID(len(simulation.backends))
	for i := range sc.Nodes.Count {
		l.nodes = append(l.nodes, &Node{simulation: simulation, index: i, site: sc.Site(i)})
	}
	l.publishChanges()
	for i, f := range simulation.faults {
		l.scheduleFault(i, f)
	}
	return l
}

func (l *LiveBackends) scheduleFault(i int, f faultinject.Fault) {
	simulation := l.simulation
	simulation.events.At(&simulation.faultSource, origin+f.Start*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultStart, A: int64(i)})
	if f.Duration > 0 {
		simulation.events.At(&simulation.faultSource, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultEnd, A: int64(i)})
	}
}

// concernsNodesOnly are the faults that the boxes have no part in: those of nodes, of discovery, and of how answers are worded.
func concernsNodesOnly(k faultinject.Kind) bool {
	switch k {
	case faultinject.Garbage, faultinject.Interim, faultinject.NodeKill, faultinject.ClockOff, faultinject.DatagramsLost, faultinject.HotNode, faultinject.Surge, faultinject.ListDown:
		return true
	}
	return false
}

func (l *LiveBackends) startFault(now eventqueue.Time, i int) {
	f := l.simulation.faults[i]
	if !concernsNodesOnly(f.Kind) {
		l.simulation.startFault(now, i)
	}
	l.effects.Began(f)
	l.publishChanges()
}

func (l *LiveBackends) endFault(now eventqueue.Time, i int) {
	f := l.simulation.faults[i]
	if !concernsNodesOnly(f.Kind) {
		l.simulation.endFault(now, i)
	}
	l.effects.Ended(f)
	l.publishChanges()
}

// Begin starts a fault now, whatever its own times say; it lasts for its own length, or until End. What is left open
// in it is settled by the seed. It returns the fault's number.
func (l *LiveBackends) Begin(f faultinject.Fault) (int, faultinject.Fault) {
	name := func(i int) string { return l.simulation.scenario.Fleet.Sites[l.simulation.scenario.Site(i)] }
	f = f.ApplyDefaults(l.simulation.scenario.Scope(name, name), eventqueue.NewStream(l.simulation.seed, "order "+string(f.Kind)))
	f.Start = (l.simulation.events.Now() - origin) / eventqueue.Millisecond
	i := len(l.simulation.faults)
	l.simulation.faults = append(l.simulation.faults, f)
	l.startFault(l.simulation.events.Now(), i)
	if f.Duration > 0 {
		l.simulation.events.At(&l.simulation.faultSource, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: liveFaults{l}, Kind: faultEnd, A: int64(i)})
	}
	return i, f
}

// End ends the fault of that number, and tells whether it was on.
func (l *LiveBackends) End(i int) bool {
	if i < 0 || i >= len(l.simulation.faults) || !l.simulation.activeFaults[i] && !concernsNodesOnly(l.simulation.faults[i].Kind) {
		return false
	}
	l.endFault(l.simulation.events.Now(), i)
	return true
}

// Advance plays up to now, and returns when the next thing is due; never, if nothing is.
func (l *LiveBackends) Advance(now eventqueue.Time) (next eventqueue.Time) {
	l.simulation.events.Run(origin + now)
	l.publishChanges()
	if at, ok := l.simulation.events.Next(); ok {
		return at - origin
	}
	return math.MaxInt64
}

// publishChanges passes on what discovery has learned.
func (l *LiveBackends) publishChanges() {
	for ; l.publishedRevision < l.simulation.discovery.revision(); l.publishedRevision++ {
		h := l.simulation.discovery.changes[l.publishedRevision].endpoint
		started := h.StartedAt - origin
		if h.StartedAt == 0 {
			started = -1
		}
		l.effects.Listed(EndpointEntry{Backend: int(h.ID), Place: l.simulation.backendsByID[h.ID].place, Site: h.Zone, Rack: h.Cell, Weight: h.Weight, Phase: h.Phase,
			Started: started})
	}
}

// Up tells whether the process at that address runs, and whether its machine has vanished.
func (l *LiveBackends) Up(place int) (running, unreachable bool) {
	return l.simulation.backends[place].running, l.simulation.backends[place].unreachable
}

// Partitioned tells whether the link between a node and a box's address is cut.
func (l *LiveBackends) Partitioned(node, place int) bool {
	return l.simulation.partitioned(l.simulation.scenario.Site(node), l.simulation.scenario.Site(place))
}

// Incarnation changes whenever the process at that address does.
func (l *LiveBackends) Incarnation(place int) any { return l.simulation.backends[place].incarnation }

// Capacity is what the fleet can do, in µs of work for each µs.
func (l *LiveBackends) Capacity() float64 { return l.simulation.capacity }

// Executions counts what has begun to run.
func (l *LiveBackends) Executions() int64 { return l.simulation.recorder.executions }

// Arrive hands an attempt to the box at its address.
func (l *LiveBackends) Arrive(now eventqueue.Time, incoming Attempt) Pending {
	w := l.simulation
	w.events.Run(origin + now)
	b := w.backends[incoming.Place]
	id := xxhash.Sum64String(incoming.ID)
	c := &call{Call: workload.Call{Number: xxhash.Sum64String(incoming.Repeat), Class: incoming.Class, Key: incoming.Key}, idempotency: w.classes[incoming.Class].Idempotency}
	r := &request{id: balancer.RequestID(id >> 8), call: c, node: l.nodes[incoming.Node], replyTo: liveAttemptEnds{l}, deadline: math.MaxInt64}
	if incoming.Timeout > 0 {
		r.deadline = w.events.Now() + incoming.Timeout
	}
	a := &attempt{request: r, backend: b, incarnation: b.incarnation, sentAt: w.events.Now(), awaited: true, newConnection: incoming.Fresh, liveContext: incoming.Pending}
	a.work = workload.DrawWork(w.scenario, w.seed, c.Number, incoming.Class)
	if noise := w.scenario.Classes[incoming.Class].Noise; noise > 0 {
		d := eventqueue.NewDraws(w.seed, id, drawWork)
		a.work *= workload.Lognormal(noise, d.Norm())
	}
	b.inTransit++
	b.receiveAttempt(w.events.Now(), a)
	return Pending{Any: incoming.Pending, attempt: a}
}

// Probe is what the box at an address tells of itself when it is asked.
func (l *LiveBackends) Probe(now eventqueue.Time, place int) balancer.LoadReport {
	l.simulation.events.Run(origin + now)
	return l.simulation.loadReportOf(l.simulation.backends[place])
}

// Abandon is a node that has given an attempt up: its connection is closed.
func (l *LiveBackends) Abandon(p Pending) {
	p.attempt.awaited = false
	b := p.attempt.backend
	b.Handle(l.simulation.events.Now(), eventqueue.Event{To: b, Kind: backendCancellation, P: p.attempt})
}

// Connected counts connections to an address, for the box's cap.
func (l *LiveBackends) Connected(place, delta int) {
	l.simulation.backends[place].incarnation.connections += delta
}
