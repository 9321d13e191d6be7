package failover

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// linearProgram is the planning problem as a linear program over exact totals. Its variables are the flows, then the
// unplaced work of each zone and class, then the unused capacity of each zone.
type linearProgram struct {
	topology Topology
	weights  []float64
}

// flow returns the index of the variable for the work of a class that goes from one zone to another.
func (l linearProgram) flow(zone, class, to int) int {
	return (zone*len(l.weights)+class)*len(l.topology.Zones) + to
}

// solve returns the values of the variables in an optimal solution.
func (l linearProgram) solve(t *testing.T, totals Totals) []float64 {
	t.Helper()
	zones, classes := len(l.topology.Zones), len(l.weights)
	flowCount := zones * classes * zones
	constraints := zones*classes + zones
	variables := flowCount + constraints
	cost := make([]float64, variables)
	matrix := mat.NewDense(constraints, variables, nil)
	bounds := make([]float64, constraints)
	for zone := range zones {
		for class := range classes {
			demandRow := zone*classes + class
			bounds[demandRow] = totals.Demand[zone][class]
			for to := range zones {
				cost[l.flow(zone, class, to)] = l.topology.Cost[zone][to] - 1000*l.weights[class]
				matrix.Set(demandRow, l.flow(zone, class, to), 1)
				matrix.Set(zones*classes+to, l.flow(zone, class, to), 1)
			}
			matrix.Set(demandRow, flowCount+demandRow, 1)
		}
		capacityRow := zones*classes + zone
		bounds[capacityRow] = totals.Capacity[zone] * (1 - DefaultRules.Headroom)
		matrix.Set(capacityRow, flowCount+capacityRow, 1)
	}
	_, solution, err := lp.Simplex(cost, matrix, bounds, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return solution
}

// TestTargetIsCloseToLinearProgram checks that the target serves as much work, by weight, as the optimum of the linear
// program, and that its traffic between zones costs little more.
func TestTargetIsCloseToLinearProgram(t *testing.T) {
	topology, weights := Grid(3, 3), []float64{5, 3, 1}
	zones, classes := len(topology.Zones), len(weights)
	planner, err := NewPlanner(topology, weights, DefaultRules)
	if err != nil {
		t.Fatal(err)
	}
	program := linearProgram{topology, weights}
	random := rand.New(rand.NewPCG(1, 2))
	var costRatios []float64
	for range 60 { // more cases were run once: docs/failover-design.md
		totals := Totals{Noise: 0.02}
		for range zones {
			totals.Capacity = append(totals.Capacity, []float64{0, 30, 100, 100, 100}[random.IntN(5)])
			totals.Demand = append(totals.Demand, []float64{40 * random.Float64(), 40 * random.Float64(), 40 * random.Float64()})
		}
		placed, unplaced := planner.target(totals)
		optimum := program.solve(t, totals)
		served, bestServed, cost, bestCost := 0.0, 0.0, 0.0, 0.0
		for zone := range zones {
			for class := range classes {
				served += weights[class] * (totals.Demand[zone][class] - unplaced[zone][class])
				for to := range zones {
					best := optimum[program.flow(zone, class, to)]
					bestServed += weights[class] * best
					cost += topology.Cost[zone][to] * placed[zone][class][to]
					bestCost += topology.Cost[zone][to] * best
				}
			}
		}
		if served < bestServed*(1-1e-6) {
			t.Fatalf("%+v: the target serves %.3f by weight, the optimum %.3f", totals, served, bestServed)
		}
		if bestCost > 1 {
			costRatios = append(costRatios, cost/bestCost)
		}
	}
	slices.Sort(costRatios)
	count := len(costRatios)
	median, percentile90 := costRatios[count/2], costRatios[count*9/10]
	t.Logf("cost of forwarding relative to the optimum: median %.3f, 90th percentile %.3f, maximum %.3f", median, percentile90, costRatios[count-1])
	if count < 40 || median > 1.02 || percentile90 > 1.15 {
		t.Errorf("%d cases, at the 90th percentile the cost is %.3f times that of the optimum", count, percentile90)
	}
}
