package failover

import "slices"

// flows are amounts of work by zone where it enters, then by class, then by destination zone.
type flows [][][]float64

func (p *Planner) newFlows() flows {
	f := make(flows, len(p.topology.Zones))
	for zone := range f {
		f[zone] = make([][]float64, len(p.weights))
		for class := range f[zone] {
			f[zone][class] = make([]float64, len(p.topology.Zones))
		}
	}
	return f
}

// usableCapacity returns a zone's capacity without the headroom.
func (p *Planner) usableCapacity(totals Totals, zone int) float64 {
	return totals.Capacity[zone] * (1 - p.rules.Headroom)
}

// placement is the state of a distribution of work over zones that is in progress.
type placement struct {
	placed   flows
	unplaced [][]float64 // by zone where it enters, then by class
	free     []float64   // unused capacity by zone
}

// Target returns the distribution of work that plans approach, without regard to earlier plans: the placed work by
// zone where it enters, then by class, then by destination zone, and the unplaced work that no zone has capacity for,
// by zone where it enters, then by class.
func (p *Planner) Target(totals Totals) (placed [][][]float64, unplaced [][]float64) {
	return p.target(totals)
}

// target distributes work in the order of decreasing class weight. It first places all classes that fit into the
// combined capacity of all zones, and then the next class, which fits only in part. Work of the classes below that is
// not placed.
func (p *Planner) target(totals Totals) (flows, [][]float64) {
	zones := len(p.topology.Zones)
	state := &placement{placed: p.newFlows(), unplaced: make([][]float64, zones), free: make([]float64, zones)}
	remaining := 0.0
	for zone := range state.free {
		state.free[zone] = p.usableCapacity(totals, zone)
		remaining += state.free[zone]
		state.unplaced[zone] = slices.Clone(totals.Demand[zone])
	}
	fitting := 0 // number of classes that fit completely
	for _, class := range p.classOrder {
		for zone := range state.free {
			remaining -= totals.Demand[zone][class]
		}
		if remaining < 0 {
			break
		}
		fitting++
	}
	p.place(p.classOrder[:fitting], state)
	p.place(p.classOrder[fitting:min(fitting+1, len(p.classOrder))], state)
	return state.placed, state.unplaced
}

// place assigns work of these classes to its own zone as far as possible, and offers the rest to other zones, the
// nearest first.
func (p *Planner) place(classes []int, state *placement) {
	for zone := range state.free {
		for _, class := range classes {
			state.assign(edge{zone, zone}, class, min(state.unplaced[zone][class], state.free[zone]))
		}
	}
	for _, ring := range p.edgesByDistance {
		for _, class := range classes {
			for state.offer(ring, class) > negligible { // work that one zone had no room for is offered to the others
			}
		}
	}
}

// assign places an amount of unplaced work of a class along a route, and reduces the free capacity of its destination.
func (w *placement) assign(route edge, class int, amount float64) {
	w.placed[route.from][class][route.to] += amount
	w.unplaced[route.from][class] = max(w.unplaced[route.from][class]-amount, 0)
	w.free[route.to] = max(w.free[route.to]-amount, 0)
}

// offer offers unplaced work of a class to the zones that a ring of edges of equal distance leads to, in proportion to
// their free capacity, and returns the amount that was placed.
func (w *placement) offer(ring []edge, class int) (moved float64) {
	zones := len(w.free)
	reachable := make([]float64, zones) // free capacity at the ends of the ring's edges, by zone where work enters
	offers := make([]float64, len(ring))
	offered := make([]float64, zones) // sum of offers by destination zone
	for _, e := range ring {
		reachable[e.from] += w.free[e.to]
	}
	for i, e := range ring {
		if reachable[e.from] > negligible && w.unplaced[e.from][class] > negligible {
			offers[i] = w.unplaced[e.from][class] * w.free[e.to] / reachable[e.from]
			offered[e.to] += offers[i]
		}
	}
	free := slices.Clone(w.free)
	for i, e := range ring {
		if offers[i] > 0 {
			amount := offers[i] * min(1, free[e.to]/offered[e.to])
			w.assign(e, class, amount)
			moved += amount
		}
	}
	return moved
}
