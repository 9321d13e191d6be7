// Package emulator simulates a fleet in virtual time: clients, a frontend, nodes with a policy each, backends, the network
// and discovery are components of a discrete-event simulation. The same scenario, seed and policy give the same run to the
// last bit.
package emulator

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// origin is the clock at the start of a run. It lies well after 0, which as a start time means long before the run.
const origin eventqueue.Time = 1000 * eventqueue.Second

// IDs of event sources: events of one instant are handled in this order, and by number within a kind of source.
const (
	sourceFault = iota << 20
	sourceDiscovery
	sourceBackend
	sourceNode
	sourceClients
)

// Purposes of eventqueue.Draws.
const (
	drawRequest = iota + 8 // package workload has those below
	drawWork
	drawOutcome
	drawReset
)

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	// Log, if set, receives the policies' log lines: µs since the start, node, text.
	Log func(at eventqueue.Time, node int, text string)

	scenario          *scenario.Scenario
	seed              uint64
	newPolicy         policy.Maker
	onExecution       func(*attempt)    // called at the start of each execution, if set
	creationOrder     func(n int) []int // the order in which components are created
	events            eventqueue.Sim
	arrivalsEnd       eventqueue.Time
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
	initialRevision   int // of the endpoint list at the start
	capacity          float64
	meanWork          float64 // µs
	quotas            []float64
	partitions        []int // by site: active faults that cut it off
	peerMessageLoss   float64

	faults       []faultinject.Fault
	activeFaults map[int]bool
	faultSource  eventqueue.Source
	lostAttempts []*attempt
}

// Option changes how a simulation is built.
type Option func(*Simulation)

// Shuffled creates the components in the order that perm gives. Nothing may depend on it.
func Shuffled(perm func(n int) []int) Option {
	return func(simulation *Simulation) { simulation.creationOrder = perm }
}

// WithFaults plays these faults, with all defaults applied, instead of the scenario's own.
func WithFaults(faults []faultinject.Fault) Option {
	return func(simulation *Simulation) { simulation.faults = faults }
}

// Run plays until all calls have ended, and returns the figures. A panic is returned as an error with the virtual time.
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

// sortBy sorts a list by a key of its elements.
func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
