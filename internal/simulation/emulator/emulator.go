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
	sourceBox
	sourceNode
	sourceCrowd
)

// What short streams are for.
const (
	drawTry = iota + 8 // below that: package clients
	drawWork
	drawOutcome
	drawReset
)

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	// Log, if set, takes the policies' lines: µs since the start, node, text.
	Log func(at eventqueue.Time, node int, text string)

	sc       *scenario.Scenario
	seed     uint64
	make     policy.Maker
	ran      func(*attempt)    // hears of every run as it begins, if it is set
	perm     func(n int) []int // the order in which components are created
	sim      eventqueue.Sim
	end      eventqueue.Time // of arrivals
	classes  []balancer.Class
	boxes    []*Backend // by place: the one that has the address now
	byID     map[balancer.EndpointID]*Backend
	lastID   balancer.EndpointID
	nodes    []*Node
	disc     *discovery
	crowd    *crowd
	ledgers  map[int]*ledger
	judge    *invariant.Checker
	rec      *recorder
	first    int // version of the list at the start
	capacity float64
	meanWork float64 // µs
	quota    []float64
	cut      []int // by site: faults that cut it off
	peerLoss float64

	faults    []faultinject.Fault
	active    map[int]bool
	faultSrc  eventqueue.Source
	swallowed []*attempt
}

// Option changes how a world is built.
type Option func(*Simulation)

// Shuffled creates the components in the order that perm gives. Nothing may depend on it.
func Shuffled(perm func(n int) []int) Option { return func(w *Simulation) { w.perm = perm } }

// WithFaults plays these faults, settled before, in place of the scenario's own.
func WithFaults(list []faultinject.Fault) Option { return func(w *Simulation) { w.faults = list } }

// New builds the world of a scenario, which has been checked. The error names what the scenario asks for and cannot be
// had, such as a trace file or a policy's settings.
func New(sc *scenario.Scenario, seed uint64, maker policy.Maker, opts ...Option) (*Simulation, error) {
	w := &Simulation{sc: sc, seed: seed, make: maker, byID: map[balancer.EndpointID]*Backend{}, ledgers: map[int]*ledger{},
		cut: make([]int, len(sc.Fleet.Sites)), active: map[int]bool{}, faultSrc: eventqueue.NewSource(sourceFault),
		classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes, faults: Faults(sc, seed),
		perm: func(n int) []int {
			order := make([]int, n)
			for i := range order {
				order[i] = i
			}
			return order
		}}
	for _, o := range opts {
		o(w)
	}
	w.sim.Run(origin)
	w.end = origin + eventqueue.Span(sc.Seconds*1e6)
	w.judge = invariant.New(invariant.Config{Classes: w.classes, AnswerGrace: us(sc.Rules.AnswerGrace),
		DrainGrace: us(sc.Rules.DrainGrace), OverloadFactor: sc.Rules.OverloadFactor, OverloadWindow: us(sc.Rules.OverloadWindow),
		AllowHedging: sc.Rules.AllowHedging}, origin)
	w.meanWork = workload.MeanWork(sc)
	w.rec = newRecorder(w)
	w.boxes, w.nodes = make([]*Backend, sc.Fleet.Backends), make([]*Node, sc.Nodes.Count)
	for _, place := range w.perm(len(w.boxes)) {
		w.boxes[place] = w.newBox(place, balancer.EndpointID(place+1), fmt.Sprint("box ", place))
	}
	w.lastID = balancer.EndpointID(len(w.boxes))
	w.disc = &discovery{w: w, src: eventqueue.NewSource(sourceDiscovery), rand: eventqueue.NewStream(seed, "discovery"), free: origin}
	for _, b := range w.boxes {
		w.byID[b.id] = b
		w.capacity += b.full()
		w.disc.log = append(w.disc.log, change{w.line(b, balancer.PhaseReady), origin})
	}
	w.first = w.disc.version()
	share := 0.0
	for _, t := range sc.Tenants {
		share += t.Share
	}
	for _, t := range sc.Tenants {
		w.quota = append(w.quota, t.Share/share*sc.Goal.Quota*w.capacity/w.meanWork*1e6)
	}
	for _, i := range w.perm(len(w.nodes)) {
		w.nodes[i] = w.newNode(i, fmt.Sprint("node ", i))
		w.nodes[i].cached = w.first
	}
	var err error
	if w.crowd, err = w.newCrowd(); err != nil {
		return nil, err
	}
	w.scheduleFaults()
	for _, i := range w.perm(len(w.nodes)) {
		if w.nodes[i].down > 0 {
			continue
		}
		if err := w.nodes[i].start(origin); err != nil {
			return nil, err
		}
	}
	if every := us(sc.Fleet.Report.Every); every > 0 {
		for _, i := range w.perm(len(w.boxes)) {
			b := w.boxes[i]
			w.sim.After(&b.src, eventqueue.Span(b.rand.Float64()*float64(every)), eventqueue.Event{To: b, Kind: boxRefresh})
		}
	}
	return w, nil
}

func (w *Simulation) line(b *Backend, phase balancer.Phase) balancer.Endpoint {
	return balancer.Endpoint{ID: b.id, Phase: phase, Zone: b.site, Cell: b.rack, Weight: math.Round(b.full()*100) / 100,
		StartedAt: b.life.started}
}

// kindOf spreads the kinds over the places in proportion to their shares, mixed, and alike for all seeds.
func (w *Simulation) kindOf(place int) *scenario.Kind {
	kinds, sum := w.sc.Fleet.Kinds, 0.0
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

func (w *Simulation) ledgerOf(rack int) *ledger {
	if w.ledgers[rack] == nil {
		w.ledgers[rack] = &ledger{w: w, runs: map[uint64]*keyedRun{}}
	}
	return w.ledgers[rack]
}

// parted tells whether the link between two sites is cut.
func (w *Simulation) parted(a, b int) bool { return a != b && (w.cut[a] > 0 || w.cut[b] > 0) }

// delay is one way between two sites.
func (w *Simulation) delay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := w.sc.Net.Same
	if a != b {
		ms = w.sc.Net.Cross
	}
	return w.jitter(r, ms)
}

func (w *Simulation) clientDelay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := w.sc.Net.Client
	if a != b {
		ms += w.sc.Net.Cross
	}
	return w.jitter(r, ms)
}

func (w *Simulation) jitter(r *eventqueue.Stream, ms float64) eventqueue.Span {
	if w.sc.Net.Jitter > 0 {
		ms *= 1 + w.sc.Net.Jitter*(r.ExpFloat64()-1)
	}
	return us(max(ms, 0))
}

// front chooses the node that a client's try comes in at: one of its site that the front believes alive, else one of
// any site, else any.
func (w *Simulation) front(site int, x, y float64) *Node {
	sites, hot := len(w.sc.Fleet.Sites), 0.0
	for _, n := range w.nodes {
		hot += n.hot
	}
	if hot > 0 && y < hot {
		y = y / hot * hot
		for _, n := range w.nodes {
			if y -= n.hot; y < 0 && n.believed {
				return n
			}
		}
	}
	own := (len(w.nodes) - site + sites - 1) / sites // nodes site, site+sites, ...
	for i := range own {
		if n := w.nodes[site+(int(x*float64(own))+i)%own*sites]; n.believed {
			return n
		}
	}
	start := int(x * float64(len(w.nodes)))
	for i := range w.nodes {
		if n := w.nodes[(start+i)%len(w.nodes)]; n.believed {
			return n
		}
	}
	return w.nodes[start]
}

// Run plays to the end and past it until all calls have ended, and returns the figures.
func (w *Simulation) Run() (res *Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			res, err = nil, fmt.Errorf("at %.6f s: panic: %v\n%s", float64(w.sim.Now()-origin)/1e6, p, debug.Stack())
		}
	}()
	longest := eventqueue.Span(0)
	for _, c := range w.classes {
		longest = max(longest, c.Deadline)
	}
	w.sim.Run(w.end + longest + eventqueue.Second)
	w.judge.Close(w.sim.Now())
	return w.rec.result(), nil
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
