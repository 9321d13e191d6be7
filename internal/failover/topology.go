package failover

import (
	"cmp"
	"fmt"
	"math"
)

// Zone is a location where requests enter and backends run.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Topology lists the zones and the cost of traffic between them.
type Topology struct {
	Zones []Zone
	Cost  [][]float64 // by source, then by destination zone; any unit, the same for all
}

// Check returns an error unless there is a finite, non-negative cost from each zone to each zone.
func (t Topology) Check() error {
	if len(t.Cost) != len(t.Zones) {
		return fmt.Errorf("costs from %d zones, want %d", len(t.Cost), len(t.Zones))
	}
	for from, row := range t.Cost {
		if len(row) != len(t.Zones) {
			return fmt.Errorf("zone %s: costs to %d zones, want %d", t.Zones[from].Name, len(row), len(t.Zones))
		}
		for to, cost := range row {
			if !isFiniteAmount(cost) {
				return fmt.Errorf("from %s to %s: invalid cost %g", t.Zones[from].Name, t.Zones[to].Name, cost)
			}
		}
	}
	return nil
}

// isFiniteAmount reports whether an amount is neither negative nor NaN nor infinite.
func isFiniteAmount(amount float64) bool { return amount >= 0 && !math.IsInf(amount, 0) }

// Costs of the topologies that Grid returns.
const (
	gridCostWithinRegion   = 1
	gridCostBetweenRegions = 5
)

// Grid returns a topology of regions with zonesPerRegion zones each, for simulations and tests.
func Grid(regions, zonesPerRegion int) Topology {
	var t Topology
	for region := range regions {
		for zone := range zonesPerRegion {
			t.Zones = append(t.Zones, Zone{Name: fmt.Sprintf("r%dz%d", region, zone), Region: fmt.Sprintf("r%d", region)})
		}
	}
	for from := range t.Zones {
		row := make([]float64, len(t.Zones))
		for to := range t.Zones {
			switch {
			case from == to:
			case t.Zones[from].Region == t.Zones[to].Region:
				row[to] = gridCostWithinRegion
			default:
				row[to] = gridCostBetweenRegions
			}
		}
		t.Cost = append(t.Cost, row)
	}
	return t
}

// edge is a direction in which requests can go: from the zone where they enter to another zone, or to the same one when
// work is assigned.
type edge struct{ from, to int }

// compareEdges orders edges by distance: edges within a region come before all others, then cheaper ones come first.
func (t Topology) compareEdges(a, b edge) int {
	if aWithin, bWithin := t.isWithinRegion(a), t.isWithinRegion(b); aWithin != bWithin {
		if aWithin {
			return -1
		}
		return 1
	}
	return cmp.Compare(t.Cost[a.from][a.to], t.Cost[b.from][b.to])
}

func (t Topology) isWithinRegion(e edge) bool {
	return t.Zones[e.from].Region == t.Zones[e.to].Region
}
