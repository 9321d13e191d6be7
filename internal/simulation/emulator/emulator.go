// Package emulator is what the lab plays: clients, a front, nodes with a policy each, boxes, the network and discovery,
// as components of a discrete-event simulation. The same scenario, seed and policy give the same run to the last bit.
package emulator

import (
	"cmp"
	"fmt"
	"math"
	"runtime/debug"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// origin is the clock at the start: a start time of 0 means long ago, so the run must lie well after it.
const origin eventqueue.Time = 1000 * eventqueue.Second

// Ids of sources: events of one instant are handled in this order of kinds, and by number within one.
const (
	sourceFault = iota << 20
	sourceDiscovery
	sourceBackend
	sourceNode
	sourceClients
)

// What short streams are for.
const (
	drawRequest = iota + 8 // below that: package clients
	drawWork
	drawOutcome
	drawReset
)

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	// Log, if set, takes the policies' lines: µs since the start, node, text.
	Log func(at eventqueue.Time, node int, text string)

	scenario          *scenario.Scenario
	seed              uint64
	newPolicy         policy.Maker
	onExecution       func(*attempt)    // hears of every run as it begins, if it is set
	creationOrder     func(n int) []int // the order in which components are created
	events            eventqueue.Sim
	arrivalsEnd       eventqueue.Time // of arrivals
	classes           []balancer.Class
	backends          []*Backend // by place: the one that has the address now
	backendsByID      map[balancer.EndpointID]*Backend
	lastBackendID     balancer.EndpointID
	nodes             []*Node
	discovery         *discovery
	clients           *clientPopulation
	idempotencyStores map[int]*idempotencyStore
	checker           *invariant.Checker
	recorder          *recorder
	initialRevision   int // version of the list at the start
	capacity          float64
	meanWork          float64 // µs
	quotas            []float64
	partitions        []int // by site: faults that cut it off
	peerMessageLoss   float64

	faults       []faultinject.Fault
	activeFaults map[int]bool
	faultSource  eventqueue.Source
	lostAttempts []*attempt
}

// Option changes how a world is built.
type Option func(*Simulation)

// Shuffled creates the components in the order that perm gives. Nothing may depend on it.
func Shuffled(perm func(n int) []int) Option {
	return func(simulation *Simulation) { simulation.creationOrder = perm }
}

// WithFaults plays these faults, settled before, in place of the scenario's own.
func WithFaults(list []faultinject.Fault) Option { return func(w *Simulation) { w.faults = list } }

// New builds the world of a scenario, which has been checked. The error names what the scenario asks for and cannot be
// had, such as a trace file or a policy's settings.
func New(sc *scenario.Scenario, seed uint64, maker policy.Maker, opts ...Option) (*Simulation, error) {
	w := &Simulation{scenario: sc, seed: seed, newPolicy: maker, backendsByID: map[balancer.EndpointID]*Backend{}, idempotencyStores: map[int]*idempotencyStore{},
		partitions: make([]int, len(sc.Fleet.Sites)), activeFaults: map[int]bool{}, faultSource: eventqueue.NewSource(sourceFault),
		classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes, faults: Faults(sc, seed),
		creationOrder: func(n int) []int {
			order := make([]int, n)
			for i := range order {
				order[i] = i
			}
			return order
		}}
	for _, o := range opts {
		o(w)
	}
	w.events.Run(origin)
	w.arrivalsEnd = origin + eventqueue.Span(sc.Seconds*1e6)
	w.checker = invariant.New(invariant.Config{Classes: w.classes, AnswerGrace: fromMilliseconds(sc.Rules.AnswerGrace),
		DrainGrace: fromMilliseconds(sc.Rules.DrainGrace), OverloadFactor: sc.Rules.OverloadFactor, OverloadWindow: fromMilliseconds(sc.Rules.OverloadWindow),
		AllowHedging: sc.Rules.AllowHedging}, origin)
	w.meanWork = workload.MeanWork(sc)
	w.recorder = newRecorder(w)
	w.backends, w.nodes = make([]*Backend, sc.Fleet.Backends), make([]*Node, sc.Nodes.Count)
	for _, place := range w.creationOrder(len(w.backends)) {
		w.backends[place] = w.newBackend(place, balancer.EndpointID(place+1), fmt.Sprint("box ", place))
	}
	w.lastBackendID = balancer.EndpointID(len(w.backends))
	w.discovery = &discovery{simulation: w, source: eventqueue.NewSource(sourceDiscovery), random: eventqueue.NewStream(seed, "discovery"), busyUntil: origin}
	for _, b := range w.backends {
		w.backendsByID[b.id] = b
		w.capacity += b.nominalCapacity()
		w.discovery.changes = append(w.discovery.changes, listChange{w.endpointOf(b, balancer.PhaseReady), origin})
	}
	w.initialRevision = w.discovery.revision()
	share := 0.0
	for _, t := range sc.Tenants {
		share += t.Share
	}
	for _, t := range sc.Tenants {
		w.quotas = append(w.quotas, t.Share/share*sc.Goal.Quota*w.capacity/w.meanWork*1e6)
	}
	for _, i := range w.creationOrder(len(w.nodes)) {
		w.nodes[i] = w.newNode(i, fmt.Sprint("node ", i))
		w.nodes[i].cachedRevision = w.initialRevision
	}
	var err error
	if w.clients, err = w.newClients(); err != nil {
		return nil, err
	}
	w.scheduleFaults()
	for _, i := range w.creationOrder(len(w.nodes)) {
		if w.nodes[i].stoppingFaults > 0 {
			continue
		}
		if err := w.nodes[i].startProcess(origin); err != nil {
			return nil, err
		}
	}
	if every := fromMilliseconds(sc.Fleet.Report.Every); every > 0 {
		for _, i := range w.creationOrder(len(w.backends)) {
			b := w.backends[i]
			w.events.After(&b.source, eventqueue.Span(b.random.Float64()*float64(every)), eventqueue.Event{To: b, Kind: backendReportMeasured})
		}
	}
	return w, nil
}

func (s *Simulation) endpointOf(b *Backend, phase balancer.Phase) balancer.Endpoint {
	return balancer.Endpoint{ID: b.id, Phase: phase, Zone: b.site, Cell: b.rack, Weight: math.Round(b.nominalCapacity()*100) / 100,
		StartedAt: b.incarnation.startedAt}
}

// backendKindAt spreads the kinds over the places in proportion to their shares, mixed, and alike for all seeds.
func (s *Simulation) backendKindAt(place int) *scenario.Kind {
	kinds, sum := s.scenario.Fleet.Kinds, 0.0
	for i := range kinds {
		sum += kinds[i].Share
	}
	_, x := math.Modf(float64(place+1) * 0.6180339887498949) // the golden ratio leaves no pattern
	for i := range kinds {
		if x -= kinds[i].Share / sum; x < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

func (s *Simulation) idempotencyStoreOf(rack int) *idempotencyStore {
	if s.idempotencyStores[rack] == nil {
		s.idempotencyStores[rack] = &idempotencyStore{simulation: s, executions: map[uint64]*keyedExecution{}}
	}
	return s.idempotencyStores[rack]
}

// partitioned tells whether the link between two sites is cut.
func (s *Simulation) partitioned(a, b int) bool {
	return a != b && (s.partitions[a] > 0 || s.partitions[b] > 0)
}

// delay is one way between two sites.
func (s *Simulation) delay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := s.scenario.Net.Same
	if a != b {
		ms = s.scenario.Net.Cross
	}
	return s.jitter(r, ms)
}

func (s *Simulation) clientDelay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := s.scenario.Net.Client
	if a != b {
		ms += s.scenario.Net.Cross
	}
	return s.jitter(r, ms)
}

func (s *Simulation) jitter(r *eventqueue.Stream, ms float64) eventqueue.Span {
	if s.scenario.Net.Jitter > 0 {
		ms *= 1 + s.scenario.Net.Jitter*(r.ExpFloat64()-1)
	}
	return fromMilliseconds(max(ms, 0))
}

// selectNode chooses the node that a client's try comes in at: one of its site that the front believes alive, else one of
// any site, else any.
func (s *Simulation) selectNode(site int, nodeDraw, extraDraw float64) *Node {
	sites, extraTotal := len(s.scenario.Fleet.Sites), 0.0
	for _, n := range s.nodes {
		extraTotal += n.extraTraffic
	}
	if extraTotal > 0 && extraDraw < extraTotal {
		extraDraw = extraDraw / extraTotal * extraTotal
		for _, n := range s.nodes {
			if extraDraw -= n.extraTraffic; extraDraw < 0 && n.believedUp {
				return n
			}
		}
	}
	siteNodes := (len(s.nodes) - site + sites - 1) / sites // nodes site, site+sites, ...
	for i := range siteNodes {
		if n := s.nodes[site+(int(nodeDraw*float64(siteNodes))+i)%siteNodes*sites]; n.believedUp {
			return n
		}
	}
	start := int(nodeDraw * float64(len(s.nodes)))
	for i := range s.nodes {
		if n := s.nodes[(start+i)%len(s.nodes)]; n.believedUp {
			return n
		}
	}
	return s.nodes[start]
}

// Run plays to the end and past it until all calls have ended, and returns the figures.
func (s *Simulation) Run() (res *Result, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			res, err = nil, fmt.Errorf("at %.6f s: panic: %v\n%s", float64(s.events.Now()-origin)/1e6, panicked, debug.Stack())
		}
	}()
	longest := eventqueue.Span(0)
	for _, c := range s.classes {
		longest = max(longest, c.Deadline)
	}
	s.events.Run(s.arrivalsEnd + longest + eventqueue.Second)
	s.checker.Close(s.events.Now())
	return s.recorder.result(), nil
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
