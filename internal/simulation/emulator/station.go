package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Station is a row of backends with Poisson arrivals, without clients, nodes or network: a system with exact results in
// queueing theory. Its backends are those of a Simulation, so that a comparison with theory verifies these.
type Station struct {
	Backends             int
	Cores                int
	Slots                float64 // per core; 1: first come, first served; many: processor sharing
	QueueCapacity        float64 // per core
	Utilization          float64 // offered work over the capacity of all cores
	WorkDistribution     string  // exp, lognormal or constant
	VariationCoefficient float64 // of the lognormal distribution
	Choices              int     // backends drawn for a job, which goes to the one with the fewest in flight
	WarmUpJobs           int64   // jobs before counting begins
	Jobs                 int64   // jobs counted
	Seed                 uint64
}

// StationResult holds the figures of a Station. Times are in units of the mean work.
type StationResult struct {
	Wait    float64   // mean time until an accepted job starts (first come, first served)
	Sojourn float64   // mean time until an accepted job is done
	Lost    float64   // fraction of jobs rejected
	Tail    []float64 // fraction of backends with at least so many jobs, as arrivals find it
	Events  uint64
}

const (
	stationMeanWork = 100 * eventqueue.Millisecond
	maxStationTail  = 64 // entries of StationResult.Tail
)

// station is a Station in play.
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
	backendsHolding  []int64 // number of backends with so many jobs
	tailSums         []float64
	freeAttempts     []*attempt // reused
	sigma            float64    // of the logarithm of the lognormal distribution
}

// Run plays the station until all counted jobs have ended.
func (s Station) Run() StationResult {
	st := s.start()
	for st.arrivals < s.WarmUpJobs+s.Jobs || st.completed+st.rejected < st.countedJobs {
		if !st.simulation.events.Step(math.MaxInt64) {
			break
		}
	}
	return st.result()
}

// start builds the station and schedules its first arrival.
func (s Station) start() *station {
	sc := s.scenario()
	simulation := &Simulation{
		scenario:          sc,
		seed:              s.Seed,
		partitions:        []int{0},
		checker:           invariant.New(invariant.Config{}, origin),
		idempotencyStores: map[int]*idempotencyStore{},
	}
	simulation.recorder = newRecorder(simulation)
	simulation.events.Run(origin)
	for i := range s.Backends {
		simulation.backends = append(simulation.backends, simulation.newBackend(i, balancer.EndpointID(i+1), "box"))
	}
	st := &station{
		Station:          s,
		simulation:       simulation,
		source:           eventqueue.NewSource(sourceClients),
		random:           eventqueue.NewStream(s.Seed, "arrivals"),
		node:             simulation.newNode(0, "node"),
		meanInterarrival: float64(stationMeanWork) / (s.Utilization * float64(s.Cores*s.Backends)),
		backendsHolding:  make([]int64, 1, maxStationTail),
		tailSums:         make([]float64, maxStationTail),
		sigma:            math.Sqrt(math.Log1p(s.VariationCoefficient * s.VariationCoefficient)),
	}
	st.backendsHolding[0] = int64(s.Backends)
	simulation.events.ScheduleAfter(&st.source, 0, eventqueue.Event{Target: st, Kind: clientCallDue})
	return st
}

// scenario returns a fleet of equal backends without anything that queueing theory does not model.
func (s Station) scenario() *scenario.Scenario {
	sc := scenario.Default()
	sc.Fleet.Backends = s.Backends
	sc.Fleet.Sites = []string{"x"}
	sc.Fleet.Affinity.Gain = 0
	sc.Fleet.Overdrive.PerCore = 0
	sc.Fleet.Conns = scenario.Connections{}
	sc.Net = scenario.Net{}
	sc.Fleet.Kinds = []scenario.Kind{{
		Share:             1,
		Cores:             s.Cores,
		Speed:             scenario.Range{1, 1},
		Slots:             s.Slots,
		Queue:             s.QueueCapacity,
		SlowStartInitial:  scenario.Range{1, 1},
		SlowStartDuration: scenario.Range{0, 0},
	}}
	return &sc
}

func (s *station) result() StationResult {
	completed, counted := float64(s.completed), float64(s.countedJobs)
	result := StationResult{Lost: float64(s.rejected) / counted, Events: s.simulation.events.HandledEvents()}
	result.Sojourn = s.sojournSum / completed / float64(stationMeanWork)
	result.Wait = result.Sojourn - s.workSum/completed/float64(stationMeanWork)
	for _, sum := range s.tailSums {
		result.Tail = append(result.Tail, sum/counted/float64(s.Backends))
	}
	return result
}

// Handle processes arrivals, and the ends of jobs.
func (s *station) Handle(now eventqueue.Time, e eventqueue.Event) {
	if e.Payload != nil {
		s.handleAttemptEnd(now, e.Payload.(*attempt), balancer.Outcome(e.Argument))
		return
	}
	if s.arrivals == s.WarmUpJobs+s.Jobs {
		return // all counted jobs have arrived; those in flight are played to their end
	}
	s.arrivals++
	measured := s.arrivals > s.WarmUpJobs
	if measured {
		s.countedJobs++
		s.countTail()
	}
	s.startJob(now, s.selectBackend(), measured)
	interarrival := eventqueue.Span(math.Round(s.meanInterarrival * s.random.ExpFloat64()))
	s.simulation.events.ScheduleAfter(&s.source, interarrival, eventqueue.Event{Target: s, Kind: clientCallDue})
}

// countTail adds how many backends have at least so many jobs.
func (s *station) countTail() {
	atLeast := int64(s.Backends)
	for jobs := 0; jobs < len(s.backendsHolding) && jobs < len(s.tailSums) && atLeast > 0; jobs++ {
		s.tailSums[jobs] += float64(atLeast)
		atLeast -= s.backendsHolding[jobs]
	}
}

// selectBackend draws as many backends as there are Choices, and returns the one with the fewest in flight.
func (s *station) selectBackend() *Backend {
	backends := s.simulation.backends
	selected := backends[s.random.IntN(len(backends))]
	for range s.Choices - 1 {
		other := backends[s.random.IntN(len(backends))]
		if other.InFlight() < selected.InFlight() {
			selected = other
		}
	}
	return selected
}

func (s *station) startJob(now eventqueue.Time, b *Backend, measured bool) {
	a := s.newAttempt()
	a.backend, a.incarnation = b, b.incarnation
	a.sentAt, a.started, a.state = now, false, attemptInTransit
	a.request.call.measured, a.request.call.executions = measured, 0
	a.work = s.drawWork()
	b.inTransit++
	before := b.InFlight()
	b.receiveAttempt(now, a)
	if b.InFlight() > before {
		s.recordJobCount(before, before+1)
	}
}

// newAttempt returns an attempt that has ended, or a new one.
func (s *station) newAttempt() *attempt {
	last := len(s.freeAttempts) - 1
	if last < 0 {
		return &attempt{request: &request{node: s.node, replyTo: s, call: &call{}}}
	}
	a := s.freeAttempts[last]
	s.freeAttempts = s.freeAttempts[:last]
	return a
}

func (s *station) drawWork() float64 {
	work := float64(stationMeanWork)
	switch s.WorkDistribution {
	case "exp":
		work *= s.random.ExpFloat64()
	case "lognormal":
		work *= workload.Lognormal(s.sigma, s.random.NormFloat64())
	}
	return work
}

// recordJobCount records that the number of jobs of one backend has changed.
func (s *station) recordJobCount(from, to int) {
	for len(s.backendsHolding) <= max(from, to) {
		s.backendsHolding = append(s.backendsHolding, 0)
	}
	s.backendsHolding[from]--
	s.backendsHolding[to]++
}

func (s *station) handleAttemptEnd(now eventqueue.Time, a *attempt, outcome balancer.Outcome) {
	measured := a.request.call.measured
	switch {
	case outcome == balancer.OutcomeOK:
		inFlight := a.backend.InFlight()
		s.recordJobCount(inFlight+1, inFlight)
		if measured {
			s.completed++
			s.sojournSum += float64(now - a.sentAt)
			s.workSum += a.work
		}
	case measured:
		s.rejected++
	}
	s.freeAttempts = append(s.freeAttempts, a)
}
