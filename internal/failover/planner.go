// Package failover plans, for a whole fleet, which share of each zone's requests is served in which zone. It has no
// I/O: its input is the totals of the nodes' digests and the current time, its output is plans.
// docs/failover-design.md explains the design.
package failover

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"tulipglade/internal/fencing"
)

// Totals are the capacity and demand of the fleet at one time. Work is in core-seconds per second.
type Totals struct {
	Capacity []float64   // by zone: work that its backends can serve now, including those that are warming up
	Demand   [][]float64 // by zone where requests enter, then by class
	Noise    float64     // relative standard deviation of demand without an event
}

// Rules limit how a Planner changes plans, and how long a plan has effect.
type Rules struct {
	Headroom      float64       // fraction of a zone's capacity that is kept free of other zones' requests
	MaxGrowthRate float64       // fraction of a zone's capacity by which the work planned for it may grow in a second
	NoiseBand     float64       // a row is changed if it differs from the target by more than this multiple of the noise
	ValidFor      time.Duration // time after its receipt during which a plan has full weight
	FadeOver      time.Duration // time over which the weight of a plan then falls to 0
}

// DefaultRules are the rules that apply unless others are given. The headroom of a tenth covers load that a zone has
// not learned of yet and the noise of its load. With a growth of a quarter of its capacity per second, a zone that
// takes over half of another zone's work has 2 s to show that it can serve it.
var DefaultRules = Rules{Headroom: 0.1, MaxGrowthRate: 0.25, NoiseBand: 2, ValidFor: 3 * time.Second, FadeOver: 10 * time.Second}

// negligible is an amount of work that is not forwarded: amounts below it may be mere rounding errors.
const negligible = 1e-9

var (
	// ErrNoCapacity is returned by Planner.Step for totals in which no zone has capacity. They mean that no digests
	// have arrived, so the last plan is better than any plan that could be made from them.
	ErrNoCapacity = errors.New("no zone is known to have any capacity")

	errInvalidTotals = errors.New("invalid totals: wrong number of zones or classes, or an amount that is negative or not finite")
)

// Planner makes plans, each of which continues the one before.
type Planner struct {
	topology        Topology
	weights         []float64 // by class: priority weight of a core-second
	rules           Rules
	classOrder      []int    // classes by decreasing weight
	edgesByDistance [][]edge // groups of edges of equal distance, the nearest first
	last            *Plan
	lastStep        time.Duration // time of the last plan
}

// NewPlanner returns a Planner that has no plan to continue. Weights are the priority weights of a core-second, by
// class.
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

// groupEdgesByDistance returns all edges between different zones, grouped by distance, the nearest first.
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

// Adopt makes the Planner continue from the plan of an earlier failover leader, so that a change of leader does not
// undo the decisions of that plan at once.
func (p *Planner) Adopt(plan *Plan, now time.Duration) {
	p.last = plan
	p.lastStep = now
}

// Step makes the next plan. The first plan is the target itself, since there is no earlier plan to start from.
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
			wanted[zone][class][zone] += unplaced[zone][class] // stays in its own zone, which rejects it
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

// checkTotals returns an error unless totals have the dimensions of the topology and only finite, non-negative amounts.
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
