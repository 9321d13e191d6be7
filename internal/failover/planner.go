// Package failover plans which part of each zone's requests goes to which zone, for a whole fleet. It has no I/O: totals of the nodes'
// digests and a clock go in, plans come out. docs/failover-design.md explains the design.
package failover

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"tulipglade/internal/fencing"
)

// Totals are what is known of the fleet at a time. Work is in core-seconds per second.
type Totals struct {
	Capacity []float64   // by zone: what its backends can do now, warming up or not
	Demand   [][]float64 // by zone where requests enter, and class
	Noise    float64     // fraction by which demand varies without an event
}

// Rules limit what a Planner does.
type Rules struct {
	Headroom      float64       // fraction of a zone's capacity that is kept free of other zones' requests
	MaxGrowthRate float64       // fraction of a zone's capacity by which the work planned for it may grow in a second
	NoiseBand     float64       // a row is changed if it is off by more than this many times the noise
	ValidFor      time.Duration // for how long a plan has its full weight without a newer one
	FadeOver      time.Duration // over which its weight then falls to 0
}

// DefaultRules are the usual rules. A tenth of headroom is for what a zone does not know yet and for the noise of its load. A growth of a
// quarter per second gives a zone that takes over half of another's work 2 s to show that it can.
var DefaultRules = Rules{Headroom: 0.1, MaxGrowthRate: 0.25, NoiseBand: 2, ValidFor: 3 * time.Second, FadeOver: 10 * time.Second}

// negligible is work that is not worth forwarding: below it, rounding would decide.
const negligible = 1e-9

var (
	// ErrNoCapacity is returned for totals without any capacity. They mean that no digests have arrived, so the last plan is better than
	// any that could be made.
	ErrNoCapacity = errors.New("no zone is known to be able to do anything")

	errInvalidTotals = errors.New("invalid totals")
)

// Planner makes plans, each from the one before.
type Planner struct {
	topology        Topology
	weights         []float64 // by class: priority weight of a core-second
	rules           Rules
	classOrder      []int    // by falling weight
	edgesByDistance [][]edge // edges of equal distance, the nearest first
	last            *Plan
	lastStep        time.Duration // when the last plan was made
}

// NewPlanner returns a Planner without a plan. Weights are the classes' priority weights of a core-second.
func NewPlanner(topology Topology, weights []float64, rules Rules) (*Planner, error) {
	if err := topology.Check(); err != nil {
		return nil, err
	}
	p := &Planner{topology: topology, weights: weights, rules: rules, edgesByDistance: groupEdgesByDistance(topology)}
	for class := range weights {
		p.classOrder = append(p.classOrder, class)
	}
	slices.SortStableFunc(p.classOrder, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return p, nil
}

// groupEdgesByDistance groups all edges by distance.
func groupEdgesByDistance(topology Topology) [][]edge {
	var edges []edge
	for from := range topology.Zones {
		for to := range topology.Zones {
			if from != to {
				edges = append(edges, edge{from, to})
			}
		}
	}
	slices.SortStableFunc(edges, topology.compareEdges)
	var rings [][]edge
	for i, e := range edges {
		if i == 0 || topology.compareEdges(edges[i-1], e) != 0 {
			rings = append(rings, nil)
		}
		rings[len(rings)-1] = append(rings[len(rings)-1], e)
	}
	return rings
}

// Adopt makes the Planner continue from the plan of an earlier failover leader, so that its decisions are not undone at once.
func (p *Planner) Adopt(plan *Plan, now time.Duration) {
	p.last = plan
	p.lastStep = now
}

// Step makes the next plan. The first one is the target itself, since there is nothing to approach it from.
func (p *Planner) Step(now time.Duration, token fencing.Token, totals Totals) (*Plan, error) {
	if err := p.checkTotals(totals); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(totals.Capacity, func(capacity float64) bool { return capacity > 0 }) {
		return nil, ErrNoCapacity
	}
	placed, unplaced := p.target(totals)
	wanted := p.newFlows()
	for zone := range wanted {
		for class := range wanted[zone] {
			copy(wanted[zone][class], placed[zone][class])
			wanted[zone][class][zone] += unplaced[zone][class] // rejected at home
		}
	}
	planned := wanted
	revision := uint64(1)
	if p.last != nil {
		planned = p.approach(totals, placed, wanted, max(now-p.lastStep, 0).Seconds())
		revision = p.last.Revision + 1
	}
	next := &Plan{Token: token, Revision: revision, Rows: make([][]Row, len(p.topology.Zones))}
	for zone := range next.Rows {
		next.Rows[zone] = make([]Row, len(p.weights))
		for class := range next.Rows[zone] {
			next.Rows[zone][class] = newRow(zone, totals.Capacity[zone], planned[zone][class], wanted[zone][class], unplaced[zone][class])
		}
	}
	p.last = next
	p.lastStep = now
	return next, nil
}

// checkTotals checks that totals have the right dimensions, and only finite amounts.
func (p *Planner) checkTotals(totals Totals) error {
	if len(totals.Capacity) != len(p.topology.Zones) || len(totals.Demand) != len(p.topology.Zones) || !(totals.Noise >= 0) {
		return errInvalidTotals
	}
	for zone, capacity := range totals.Capacity {
		if !isFiniteAmount(capacity) || len(totals.Demand[zone]) != len(p.weights) {
			return errInvalidTotals
		}
		for _, demand := range totals.Demand[zone] {
			if !isFiniteAmount(demand) {
				return errInvalidTotals
			}
		}
	}
	return nil
}
