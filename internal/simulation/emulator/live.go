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

// LiveBackends is a scenario's backends and their discovery, without clients and nodes, for fake backends that serve on
// sockets in real time. It has no clock of its own: the caller passes the time since the start to Advance, and learns what
// has happened through Effects. It is not safe for concurrent use.
type LiveBackends struct {
	simulation        *Simulation
	effects           Effects
	nodes             []*Node
	publishedRevision int
}

// Effects receives what happens to LiveBackends. It is called from within Advance and the other methods, and must not call
// them.
type Effects interface {
	// Ran is called at the start of each execution, whether or not its answer is still awaited.
	Ran(pending any)
	// Answered is called when an attempt ends at its backend. For OutcomeReset the connection has to be broken.
	Answered(p Pending, out balancer.Outcome)
	// Listed is called with each change of the endpoint list, as discovery learns of it.
	Listed(line EndpointEntry)
	// Began and Ended are called for faults; those of backends have taken effect by then.
	Began(f faultinject.Fault)
	Ended(f faultinject.Fault)
}

// EndpointEntry is a backend's entry of the endpoint list. Started counts from the start of the run; below 0: long before.
type EndpointEntry struct {
	Backend, AddressIndex int // the backend's number, and the index of its address
	Site, Rack            int
	Weight                float64
	Phase                 balancer.Phase
	StartedAt             eventqueue.Time
}

// Attempt is a complete request that has arrived at a backend's address.
type Attempt struct {
	AddressIndex   int
	Node           int    // that sent it
	ID             string // the request's ID
	IdempotencyKey string // identifies repeats: the idempotency key, or the request's ID without one
	Class          int
	Key            uint64
	Timeout        eventqueue.Span // how long the node will wait; 0: unknown
	NewConnection  bool            // the first on its connection
	Pending        any             // passed back with the answer
}

// Pending is an attempt that a backend has received.
type Pending struct {
	Context any
	Started bool // its execution has started
	Report  balancer.LoadReport
	attempt *attempt
}

// liveAttemptEnds receives the outcomes of attempts in place of a node.
type liveAttemptEnds struct{ live *LiveBackends }

// Handle passes an outcome on, unless the attempt was abandoned.
func (e liveAttemptEnds) Handle(_ eventqueue.Time, event eventqueue.Event) {
	a := event.Payload.(*attempt)
	if !a.awaited {
		return
	}
	a.awaited = false
	pending := Pending{Context: a.liveContext, Started: a.started, Report: a.report, attempt: a}
	e.live.effects.Answered(pending, balancer.Outcome(event.Argument))
}

// NewLive returns the backends of a scenario that has passed Check.
func NewLive(sc *scenario.Scenario, seed uint64, effects Effects) *LiveBackends {
	withoutDelays := *sc
	withoutDelays.Net.Same, withoutDelays.Net.Cross, withoutDelays.Net.Jitter = 0, 0, 0 // sockets have delays of their own
	s := newSimulation(&withoutDelays, seed)
	s.checker = invariant.New(invariant.Config{}, origin)
	s.events.Run(origin)
	s.recorder = newRecorder(s)
	s.discovery = s.newDiscovery()
	s.onExecution = func(a *attempt) { effects.Ran(a.liveContext) }
	for place := range sc.Fleet.Backends {
		b := s.newBackend(place, balancer.EndpointID(place+1), "box")
		s.backends = append(s.backends, b)
		s.register(b)
		b.scheduleFirstReport()
	}
	s.lastBackendID = balancer.EndpointID(len(s.backends))
	l := &LiveBackends{simulation: s, effects: effects}
	for i := range sc.Nodes.Count {
		l.nodes = append(l.nodes, &Node{simulation: s, index: i, site: sc.Site(i)})
	}
	l.publishChanges()
	for i, f := range s.faults {
		l.scheduleFault(i, f)
	}
	return l
}

// Advance plays up to now, and returns when the next event is due: math.MaxInt64 if there is none.
func (l *LiveBackends) Advance(now eventqueue.Time) (next eventqueue.Time) {
	l.simulation.events.Run(origin + now)
	l.publishChanges()
	if at, ok := l.simulation.events.Next(); ok {
		return at - origin
	}
	return math.MaxInt64
}

// publishChanges passes on the changes of the endpoint list since the last call.
func (l *LiveBackends) publishChanges() {
	for ; l.publishedRevision < l.simulation.discovery.revision(); l.publishedRevision++ {
		endpoint := l.simulation.discovery.changes[l.publishedRevision].endpoint
		started := endpoint.StartedAt - origin
		if endpoint.StartedAt == 0 {
			started = -1
		}
		l.effects.Listed(EndpointEntry{
			Backend:      int(endpoint.ID),
			AddressIndex: l.simulation.backendsByID[endpoint.ID].place,
			Site:         endpoint.Zone,
			Rack:         endpoint.Cell,
			Weight:       endpoint.Weight,
			Phase:        endpoint.Phase,
			StartedAt:    started,
		})
	}
}

// Up reports whether the process at that address runs, and whether its machine is unreachable.
func (l *LiveBackends) Up(place int) (running, unreachable bool) {
	return l.simulation.backends[place].running, l.simulation.backends[place].unreachable
}

// Partitioned reports whether the link between a node and a backend's address is cut.
func (l *LiveBackends) Partitioned(node, place int) bool {
	return l.simulation.partitioned(l.simulation.scenario.Site(node), l.simulation.scenario.Site(place))
}

// Incarnation identifies the process at that address: the values of two processes differ.
func (l *LiveBackends) Incarnation(place int) any { return l.simulation.backends[place].incarnation }

// Capacity is the fleet's nominal capacity, in µs of work per µs.
func (l *LiveBackends) Capacity() float64 { return l.simulation.capacity }

// Executions counts the executions that have started.
func (l *LiveBackends) Executions() int64 { return l.simulation.recorder.executions }

// Arrive hands an attempt to the backend at its address.
func (l *LiveBackends) Arrive(now eventqueue.Time, incoming Attempt) Pending {
	s := l.simulation
	s.events.Run(origin + now)
	b := s.backends[incoming.AddressIndex]
	id := xxhash.Sum64String(incoming.ID)
	c := &call{
		Call:        workload.Call{Number: xxhash.Sum64String(incoming.IdempotencyKey), Class: incoming.Class, Key: incoming.Key},
		idempotency: s.classes[incoming.Class].Idempotency,
	}
	r := &request{
		id:       balancer.RequestID(id >> 8), // drawSeed shifts it back
		call:     c,
		node:     l.nodes[incoming.Node],
		replyTo:  liveAttemptEnds{l},
		deadline: math.MaxInt64,
	}
	if incoming.Timeout > 0 {
		r.deadline = s.events.Now() + incoming.Timeout
	}
	a := &attempt{
		request:       r,
		backend:       b,
		incarnation:   b.incarnation,
		sentAt:        s.events.Now(),
		work:          workload.DrawWork(s.scenario, s.seed, c.Number, incoming.Class),
		awaited:       true,
		newConnection: incoming.NewConnection,
		liveContext:   incoming.Pending,
	}
	if noise := s.scenario.Classes[incoming.Class].Noise; noise > 0 {
		draws := eventqueue.NewDraws(s.seed, id, drawWork)
		a.work *= workload.Lognormal(noise, draws.Norm())
	}
	b.inTransit++
	b.receiveAttempt(s.events.Now(), a)
	return Pending{Context: incoming.Pending, attempt: a}
}

// CheckHealth is the answer of the backend at an address to a health check.
func (l *LiveBackends) CheckHealth(now eventqueue.Time, place int) balancer.LoadReport {
	l.simulation.events.Run(origin + now)
	return l.simulation.loadReportOf(l.simulation.backends[place])
}

// Abandon cancels an attempt whose connection the node has closed.
func (l *LiveBackends) Abandon(p Pending) {
	p.attempt.awaited = false
	b := p.attempt.backend
	b.Handle(l.simulation.events.Now(), eventqueue.Event{Target: b, Kind: backendCancellation, Payload: p.attempt})
}

// AddConnections adds to the number of connections to an address, which the backend limits.
func (l *LiveBackends) AddConnections(place, delta int) {
	l.simulation.backends[place].incarnation.connections += delta
}
