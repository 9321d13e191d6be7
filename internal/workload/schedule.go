// Package workload defines how clients behave: at what times they call, with which class, tenant, site and key, and
// when they retry. It does no I/O except to read traces, and has no clock: the emulator runs it in virtual time and the
// load generator on sockets, so both send the same calls.
package workload

import (
	"errors"
	"fmt"
	"io"
	"math"
	"sort"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1e6
)

// Call is one request of a client. It is sent as a first attempt, which may be followed by retries.
type Call struct {
	Number uint64          // position in the schedule, from 0
	Due    eventqueue.Time // time at which the first attempt is to be sent, µs since the start
	Class  int
	Tenant int
	Site   int
	Key    uint64  // the object that the request concerns; 0: none
	Work   float64 // execution time in µs on one core of speed 1
}

// Schedule yields all calls of a run in the order in which they are due. The scenario, the seed, the capacity and the
// faults determine them in advance, and they do not depend on answers. Each call is drawn when Next is called, so a
// schedule stores none of them.
type Schedule struct {
	scenario     *scenario.Scenario
	seed         uint64
	random       eventqueue.Stream
	ratePerMicro float64 // calls per µs at level 1
	now          float64 // time of the latest arrival, µs since the start
	count        uint64  // calls returned by Next
	surges       []faultinject.Fault
	trace        *Trace // nil: arrivals are drawn at random

	// Cumulative shares by index; the last one is 1.
	classes []float64
	tenants []float64
	sites   []float64
	keys    []float64
}

// NewSchedule returns the schedule of a scenario. capacity is the work in µs that the fleet can do in each µs; it sets
// the rate if the scenario states the load as a level of it. The surges among the faults, whose defaults must have been
// filled in, are applied to the load.
func NewSchedule(sc *scenario.Scenario, seed uint64, capacity float64, faults []faultinject.Fault) (*Schedule, error) {
	s := &Schedule{
		scenario: sc,
		seed:     seed,
		random:   eventqueue.NewStream(seed, "arrivals"),
		classes:  cumulativeShares(classWeights(sc)),
		tenants:  cumulativeShares(tenantWeights(sc)),
		sites:    cumulativeShares(siteWeights(sc)),
		keys:     cumulativeShares(keyWeights(sc)),
	}
	for _, fault := range faults {
		if fault.Kind == faultinject.Surge {
			s.surges = append(s.surges, fault)
		}
	}
	s.ratePerMicro = sc.Load.PerS / microsPerSecond
	if sc.Load.PerS == 0 {
		s.ratePerMicro = sc.Load.Level * capacity / MeanWork(sc)
	}
	if sc.Load.Shape != shapeTrace {
		return s, nil
	}
	var err error
	s.trace, err = OpenTrace(sc.Load.Trace, len(sc.Classes), len(sc.Tenants), len(sc.Fleet.Sites))
	if err != nil {
		return nil, fmt.Errorf("load.trace: %w", err)
	}
	return s, nil
}

func classWeights(sc *scenario.Scenario) []float64 {
	var weights []float64
	for i := range sc.Classes {
		weights = append(weights, sc.Classes[i].Share)
	}
	return weights
}

func tenantWeights(sc *scenario.Scenario) []float64 {
	var weights []float64
	for _, tenant := range sc.Tenants {
		weights = append(weights, tenant.Share*tenant.Usage)
	}
	return weights
}

// siteWeights returns weights that decrease linearly from the first site to the last one, by the scenario's skew.
func siteWeights(sc *scenario.Scenario) []float64 {
	var weights []float64
	last := len(sc.Fleet.Sites) - 1
	for i := range sc.Fleet.Sites {
		tilt := 0.0
		if last > 0 {
			tilt = sc.Load.SiteSkew * (1 - 2*float64(i)/float64(last))
		}
		weights = append(weights, 1+tilt)
	}
	return weights
}

// keyWeights returns the weights of a Zipf distribution with the scenario's exponent.
func keyWeights(sc *scenario.Scenario) []float64 {
	var weights []float64
	for i := range sc.Load.Keys {
		weights = append(weights, math.Pow(float64(i+1), -sc.Load.Zipf))
	}
	return weights
}

// cumulativeShares returns the cumulative shares of weights.
func cumulativeShares(weights []float64) []float64 {
	sum := 0.0
	cumulative := make([]float64, len(weights))
	for i, weight := range weights {
		sum += weight
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

// pickIndex returns the index whose interval in the cumulative shares contains x, which must lie between 0 and 1.
func pickIndex(cumulative []float64, x float64) int {
	return min(sort.SearchFloat64s(cumulative, x), len(cumulative)-1)
}

// Next returns the next call, or io.EOF after the last.
func (s *Schedule) Next() (Call, error) {
	if s.trace != nil {
		return s.nextOfTrace()
	}
	if !s.advance() {
		return Call{}, io.EOF
	}
	call := Call{Number: s.count, Due: eventqueue.Time(s.now)}
	s.count++
	_, tenants := s.levelWithSurges(s.now)
	call.Class = pickIndex(s.classes, s.random.Float64())
	call.Tenant = pickIndex(tenants, s.random.Float64())
	call.Site = pickIndex(s.sites, s.random.Float64())
	if s.scenario.Load.Keys > 0 {
		call.Key = uint64(pickIndex(s.keys, s.random.Float64())) + 1
	}
	call.Work = DrawWork(s.scenario, s.seed, call.Number, call.Class)
	return call, nil
}

// nextOfTrace returns the next call of the trace, replayed at the scenario's speed. Its work is drawn like that of any
// other call.
func (s *Schedule) nextOfTrace() (Call, error) {
	call, err := s.trace.Next()
	if err != nil {
		return Call{}, err
	}
	call.Due = eventqueue.Time(float64(call.Due) / s.scenario.Load.Speed)
	if float64(call.Due) >= s.scenario.Seconds*microsPerSecond {
		return Call{}, errors.Join(io.EOF, s.trace.Close())
	}
	call.Number = s.count
	s.count++
	call.Work = DrawWork(s.scenario, s.seed, call.Number, call.Class)
	return call, nil
}

// advance moves now to the next arrival. It returns false if the run ends before that.
func (s *Schedule) advance() bool {
	// The next arrival occurs when the integral of the rate reaches needed: 1 for even gaps, and an exponentially
	// distributed number for a Poisson process.
	needed := 1.0
	if s.scenario.Load.Shape != shapeConstant {
		needed = s.random.ExpFloat64()
	}
	end := s.scenario.Seconds * microsPerSecond
	for {
		level, _ := s.levelWithSurges(s.now)
		step := min(rateInterval-math.Mod(s.now, rateInterval), end-s.now)
		rate := s.ratePerMicro * level
		if rate*step >= needed {
			s.now += needed / rate
			return true
		}
		needed -= rate * step
		s.now += step
		if s.now >= end {
			return false
		}
	}
}
