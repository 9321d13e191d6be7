package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Station is a row of boxes fed by Poisson arrivals, without clients, nodes or network: what queueing theory has exact
// results for. The boxes are those of the world, so what is found out here holds for them.
type Station struct {
	Backends      int
	Cores         int
	Slots         float64 // for each core; 1: first come, first served; many: processor sharing
	QueueCapacity float64 // for each core, to wait in
	Rho           float64 // arrivals times mean work, over what the cores can do
	Dist          string  // exp, lognormal or constant
	CV            float64
	Choices       int   // boxes drawn for a job, of which it goes to the one that holds least
	Warm          int64 // jobs before counting begins
	Jobs          int64 // jobs counted
	Seed          uint64
}

// Stationary is what a Station shows. Times are in units of the mean work.
type Stationary struct {
	Wait    float64   // mean time until work begins, of jobs that were taken (first come, first served)
	Sojourn float64   // mean time until a job is done
	Lost    float64   // share turned away
	Tail    []float64 // share of boxes that hold at least so many jobs, as arrivals see it
	Events  uint64
}

const stationWork = 100 * eventqueue.Millisecond

type station struct {
	Station
	w       *Simulation
	src     eventqueue.Source
	rand    eventqueue.Stream
	node    *Node
	gap     float64
	seen    int64
	counted int64
	lost    int64
	done    int64
	sojourn float64
	work    float64
	holding []int64 // boxes that hold so many, now
	sum     []float64
	free    []*attempt
	sigma   float64
}

// Run plays the station.
func (s Station) Run() Stationary {
	sc := scenario.Default()
	sc.Fleet.Backends, sc.Fleet.Sites, sc.Fleet.Affinity.Gain, sc.Fleet.Overdrive.PerCore = s.Backends, []string{"x"}, 0, 0
	sc.Fleet.Conns, sc.Net = scenario.Connections{}, scenario.Net{}
	sc.Fleet.Kinds = []scenario.Kind{{Share: 1, Cores: s.Cores, Speed: scenario.Range{1, 1}, Slots: s.Slots, Queue: s.QueueCapacity,
		SlowStartInitial: scenario.Range{1, 1}, SlowStartDuration: scenario.Range{0, 0}}}
	w := &Simulation{sc: &sc, seed: s.Seed, cut: []int{0}, judge: invariant.New(invariant.Config{}, origin), ledgers: map[int]*ledger{}}
	w.rec = newRecorder(w)
	w.sim.Run(origin)
	for i := range s.Backends {
		w.boxes = append(w.boxes, w.newBox(i, balancer.EndpointID(i+1), "box"))
	}
	st := &station{Station: s, w: w, src: eventqueue.NewSource(sourceCrowd), rand: eventqueue.NewStream(s.Seed, "arrivals"),
		node: w.newNode(0, "node"), holding: make([]int64, 1, 64), sum: make([]float64, 64),
		sigma: math.Sqrt(math.Log1p(s.CV * s.CV))}
	st.gap = float64(stationWork) / (s.Rho * float64(s.Cores*s.Backends))
	st.holding[0] = int64(s.Backends)
	w.sim.After(&st.src, 0, eventqueue.Event{To: st, Kind: clientNext})
	for st.seen < s.Warm+s.Jobs || st.done+st.lost < st.counted {
		if !w.sim.Step(math.MaxInt64) {
			break
		}
	}
	out := Stationary{Lost: float64(st.lost) / float64(st.counted), Events: w.sim.Done()}
	out.Sojourn = st.sojourn / float64(st.done) / float64(stationWork)
	out.Wait = out.Sojourn - st.work/float64(st.done)/float64(stationWork)
	for k := range st.sum {
		out.Tail = append(out.Tail, st.sum[k]/float64(st.counted)/float64(s.Backends))
	}
	return out
}

// Handle takes arrivals, and the ends of jobs.
func (st *station) Handle(now eventqueue.Time, e eventqueue.Event) {
	if e.P != nil {
		st.ended(now, e.P.(*attempt), balancer.Outcome(e.A))
		return
	}
	if st.seen == st.Warm+st.Jobs {
		return // the last counted job has come: what is left is played out without new ones
	}
	st.seen++
	st.arrive(now)
	st.w.sim.After(&st.src, eventqueue.Span(math.Round(st.gap*st.rand.ExpFloat64())), eventqueue.Event{To: st, Kind: clientNext})
}

func (st *station) arrive(now eventqueue.Time) {
	counts := st.seen > st.Warm
	if counts {
		st.counted++
		above := int64(st.Backends)
		for k := 0; k < len(st.holding) && k < len(st.sum) && above > 0; k++ {
			st.sum[k] += float64(above)
			above -= st.holding[k]
		}
	}
	b := st.w.boxes[st.rand.IntN(len(st.w.boxes))]
	for range st.Choices - 1 {
		if o := st.w.boxes[st.rand.IntN(len(st.w.boxes))]; o.InFlight() < b.InFlight() {
			b = o
		}
	}
	var a *attempt
	if n := len(st.free); n > 0 {
		a, st.free = st.free[n-1], st.free[:n-1]
	} else {
		a = &attempt{req: &request{node: st.node, to: st, call: &call{}}}
	}
	a.box, a.life, a.sent, a.ran, a.state = b, b.life, now, false, travelling
	a.req.call.counted, a.req.call.runs = counts, 0
	a.work = float64(stationWork)
	switch st.Dist {
	case "exp":
		a.work *= st.rand.ExpFloat64()
	case "lognormal":
		a.work *= workload.Lognormal(st.sigma, st.rand.NormFloat64())
	}
	b.coming++
	before := b.InFlight()
	b.arrive(now, a)
	if b.InFlight() > before {
		st.moved(before, before+1)
	}
}

func (st *station) moved(from, to int) {
	for len(st.holding) <= max(from, to) {
		st.holding = append(st.holding, 0)
	}
	st.holding[from]--
	st.holding[to]++
}

func (st *station) ended(now eventqueue.Time, a *attempt, out balancer.Outcome) {
	counts := a.req.call.counted
	switch {
	case out == balancer.OutcomeOK:
		held := a.box.InFlight()
		st.moved(held+1, held)
		if counts {
			st.done++
			st.sojourn += float64(now - a.sent)
			st.work += a.work
		}
	case counts:
		st.lost++
	}
	st.free = append(st.free, a)
}
