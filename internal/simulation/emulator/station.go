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
	Backends             int
	Cores                int
	Slots                float64 // for each core; 1: first come, first served; many: processor sharing
	QueueCapacity        float64 // for each core, to wait in
	Utilization          float64 // arrivals times mean work, over what the cores can do
	WorkDistribution     string  // exp, lognormal or constant
	VariationCoefficient float64
	Choices              int   // boxes drawn for a job, of which it goes to the one that holds least
	WarmUpJobs           int64 // jobs before counting begins
	Jobs                 int64 // jobs counted
	Seed                 uint64
}

// StationResult is what a Station shows. Times are in units of the mean work.
type StationResult struct {
	Wait    float64   // mean time until work begins, of jobs that were taken (first come, first served)
	Sojourn float64   // mean time until a job is done
	Lost    float64   // share turned away
	Tail    []float64 // share of boxes that hold at least so many jobs, as arrivals see it
	Events  uint64
}

const stationMeanWork = 100 * eventqueue.Millisecond

type station struct {
	Station
	simulation       *Simulation
	source           eventqueue.Source
	random           eventqueue.Stream
	node             *Node
	meanInterarrival float64
	arrivals         int64
	countedJobs      int64
	rejected         int64
	completed        int64
	sojournSum       float64
	workSum          float64
	backendsHolding  []int64 // boxes that hold so many, now
	tailSums         []float64
	freeAttempts     []*attempt
	sigma            float64
}

// Run plays the station.
func (s Station) Run() StationResult {
	sc := scenario.Default()
	sc.Fleet.Backends, sc.Fleet.Sites, sc.Fleet.Affinity.Gain, sc.Fleet.Overdrive.PerCore = s.Backends, []string{"x"}, 0, 0
	sc.Fleet.Conns, sc.Net = scenario.Connections{}, scenario.Net{}
	sc.Fleet.Kinds = []scenario.Kind{{Share: 1, Cores: s.Cores, Speed: scenario.Range{1, 1}, Slots: s.Slots, Queue: s.QueueCapacity,
		SlowStartInitial: scenario.Range{1, 1}, SlowStartDuration: scenario.Range{0, 0}}}
	simulation := &Simulation{scenario: &sc, seed: s.Seed, partitions: []int{0}, checker: invariant.New(invariant.Config{}, origin), idempotencyStores: map[int]*idempotencyStore{}}
	simulation.recorder = newRecorder(simulation)
	simulation.events.Run(origin)
	for i := range s.Backends {
		simulation.backends = append(simulation.backends, simulation.newBackend(i, balancer.EndpointID(i+1), "box"))
	}
	st := &station{Station: s, simulation: simulation, source: eventqueue.NewSource(sourceClients), random: eventqueue.NewStream(s.Seed, "arrivals"),
		node: simulation.newNode(0, "node"), backendsHolding: make([]int64, 1, 64), tailSums: make([]float64, 64),
		sigma: math.Sqrt(math.Log1p(s.VariationCoefficient * s.VariationCoefficient))}
	st.meanInterarrival = float64(stationMeanWork) / (s.Utilization * float64(s.Cores*s.Backends))
	st.backendsHolding[0] = int64(s.Backends)
	simulation.events.After(&st.source, 0, eventqueue.Event{To: st, Kind: clientCallDue})
	for st.arrivals < s.WarmUpJobs+s.Jobs || st.completed+st.rejected < st.countedJobs {
		if !simulation.events.Step(math.MaxInt64) {
			break
		}
	}
	out := StationResult{Lost: float64(st.rejected) / float64(st.countedJobs), Events: simulation.events.Done()}
	out.Sojourn = st.sojournSum / float64(st.completed) / float64(stationMeanWork)
	out.Wait = out.Sojourn - st.workSum/float64(st.completed)/float64(stationMeanWork)
	for k := range st.tailSums {
		out.Tail = append(out.Tail, st.tailSums[k]/float64(st.countedJobs)/float64(s.Backends))
	}
	return out
}

// Handle takes arrivals, and the ends of jobs.
func (s *station) Handle(now eventqueue.Time, e eventqueue.Event) {
	if e.P != nil {
		s.handleAttemptEnd(now, e.P.(*attempt), balancer.Outcome(e.A))
		return
	}
	if s.arrivals == s.WarmUpJobs+s.Jobs {
		return // the last counted job has come: what is left is played out without new ones
	}
	s.arrivals++
	s.startJob(now)
	s.simulation.events.After(&s.source, eventqueue.Span(math.Round(s.meanInterarrival*s.random.ExpFloat64())), eventqueue.Event{To: s, Kind: clientCallDue})
}

func (s *station) startJob(now eventqueue.Time) {
	measured := s.arrivals > s.WarmUpJobs
	if measured {
		s.countedJobs++
		above := int64(s.Backends)
		for k := 0; k < len(s.backendsHolding) && k < len(s.tailSums) && above > 0; k++ {
			s.tailSums[k] += float64(above)
			above -= s.backendsHolding[k]
		}
	}
	b := s.simulation.backends[s.random.IntN(len(s.simulation.backends))]
	for range s.Choices - 1 {
		if other := s.simulation.backends[s.random.IntN(len(s.simulation.backends))]; other.InFlight() < b.InFlight() {
			b = other
		}
	}
	var a *attempt
	if n := len(s.freeAttempts); n > 0 {
		a, s.freeAttempts = s.freeAttempts[n-1], s.freeAttempts[:n-1]
	} else {
		a = &attempt{request: &request{node: s.node, replyTo: s, call: &call{}}}
	}
	a.backend, a.incarnation, a.sentAt, a.started, a.state = b, b.incarnation, now, false, attemptInTransit
	a.request.call.measured, a.request.call.executions = measured, 0
	a.work = float64(stationMeanWork)
	switch s.WorkDistribution {
	case "exp":
		a.work *= s.random.ExpFloat64()
	case "lognormal":
		a.work *= workload.Lognormal(s.sigma, s.random.NormFloat64())
	}
	b.inTransit++
	before := b.InFlight()
	b.receiveAttempt(now, a)
	if b.InFlight() > before {
		s.moveBackend(before, before+1)
	}
}

func (s *station) moveBackend(from, to int) {
	for len(s.backendsHolding) <= max(from, to) {
		s.backendsHolding = append(s.backendsHolding, 0)
	}
	s.backendsHolding[from]--
	s.backendsHolding[to]++
}

func (s *station) handleAttemptEnd(now eventqueue.Time, a *attempt, out balancer.Outcome) {
	counts := a.request.call.measured
	switch {
	case out == balancer.OutcomeOK:
		inFlight := a.backend.InFlight()
		s.moveBackend(inFlight+1, inFlight)
		if counts {
			s.completed++
			s.sojournSum += float64(now - a.sentAt)
			s.workSum += a.work
		}
	case counts:
		s.rejected++
	}
	s.freeAttempts = append(s.freeAttempts, a)
}
