package emulator

import (
	"fmt"
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// New builds the simulation of a scenario that has passed Check. The error names what the scenario asks for and is not
// available, such as a trace file or a policy's settings.
func New(sc *scenario.Scenario, seed uint64, maker policy.Maker, opts ...Option) (*Simulation, error) {
	s := newSimulation(sc, seed)
	s.newPolicy = maker
	s.creationOrder = ascending
	for _, option := range opts {
		option(s)
	}
	s.events.Run(origin)
	s.arrivalsEnd = origin + eventqueue.Span(sc.Seconds*1e6)
	s.checker = invariant.New(invariant.Config{
		Classes:        s.classes,
		AnswerGrace:    fromMilliseconds(sc.Rules.AnswerGrace),
		DrainGrace:     fromMilliseconds(sc.Rules.DrainGrace),
		OverloadFactor: sc.Rules.OverloadFactor,
		OverloadWindow: fromMilliseconds(sc.Rules.OverloadWindow),
		AllowHedging:   sc.Rules.AllowHedging,
	}, origin)
	s.recorder = newRecorder(s)
	s.discovery = s.newDiscovery()
	s.discovery.busyUntil = origin
	s.createBackends()
	s.quotas = s.tenantQuotas()
	s.createNodes()
	var err error
	if s.clients, err = s.newClients(); err != nil {
		return nil, err
	}
	s.scheduleFaults()
	for _, i := range s.creationOrder(len(s.nodes)) {
		if s.nodes[i].stoppingFaults > 0 {
			continue
		}
		if err := s.nodes[i].startProcess(origin); err != nil {
			return nil, err
		}
	}
	for _, place := range s.creationOrder(len(s.backends)) {
		s.backends[place].scheduleFirstReport()
	}
	return s, nil
}

// newSimulation returns a simulation without components.
func newSimulation(sc *scenario.Scenario, seed uint64) *Simulation {
	return &Simulation{
		scenario:          sc,
		seed:              seed,
		classes:           sc.Config(0, make([]float64, len(sc.Tenants))).Classes,
		meanWork:          workload.MeanWork(sc),
		backendsByID:      map[balancer.EndpointID]*Backend{},
		idempotencyStores: map[int]*idempotencyStore{},
		partitions:        make([]int, len(sc.Fleet.Sites)),
		faults:            Faults(sc, seed),
		activeFaults:      map[int]bool{},
		faultSource:       eventqueue.NewSource(sourceFault),
	}
}

// ascending is the default order of creation.
func ascending(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

func (s *Simulation) newDiscovery() *discovery {
	return &discovery{
		simulation: s,
		source:     eventqueue.NewSource(sourceDiscovery),
		random:     eventqueue.NewStream(s.seed, "discovery"),
	}
}

// createBackends creates the backends, which discovery lists from the start.
func (s *Simulation) createBackends() {
	s.backends = make([]*Backend, s.scenario.Fleet.Backends)
	for _, place := range s.creationOrder(len(s.backends)) {
		s.backends[place] = s.newBackend(place, balancer.EndpointID(place+1), fmt.Sprint("box ", place))
	}
	s.lastBackendID = balancer.EndpointID(len(s.backends))
	for _, b := range s.backends {
		s.register(b)
	}
	s.initialRevision = s.discovery.revision()
}

// register adds a backend of the start to the fleet's capacity and to discovery's list.
func (s *Simulation) register(b *Backend) {
	s.backendsByID[b.id] = b
	s.capacity += b.nominalCapacity()
	s.discovery.changes = append(s.discovery.changes, listChange{s.endpointOf(b, balancer.PhaseReady), origin})
}

// tenantQuotas returns each tenant's part of the fleet's capacity, in calls per second.
func (s *Simulation) tenantQuotas() []float64 {
	shares := 0.0
	for _, tenant := range s.scenario.Tenants {
		shares += tenant.Share
	}
	var quotas []float64
	for _, tenant := range s.scenario.Tenants {
		quotas = append(quotas, tenant.Share/shares*s.scenario.Goal.Quota*s.capacity/s.meanWork*1e6)
	}
	return quotas
}

func (s *Simulation) createNodes() {
	s.nodes = make([]*Node, s.scenario.Nodes.Count)
	for _, i := range s.creationOrder(len(s.nodes)) {
		s.nodes[i] = s.newNode(i, fmt.Sprint("node ", i))
		s.nodes[i].cachedRevision = s.initialRevision
	}
}

// endpointOf returns a backend's entry of the endpoint list.
func (s *Simulation) endpointOf(b *Backend, phase balancer.Phase) balancer.Endpoint {
	return balancer.Endpoint{
		ID:        b.id,
		Phase:     phase,
		Zone:      b.site,
		Cell:      b.rack,
		Weight:    math.Round(b.nominalCapacity()*100) / 100,
		StartedAt: b.incarnation.startedAt,
	}
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

// idempotencyStoreOf returns the store that the backends of a rack share.
func (s *Simulation) idempotencyStoreOf(rack int) *idempotencyStore {
	if s.idempotencyStores[rack] == nil {
		s.idempotencyStores[rack] = &idempotencyStore{simulation: s, executions: map[uint64]*keyedExecution{}}
	}
	return s.idempotencyStores[rack]
}
