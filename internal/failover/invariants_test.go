package failover

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tolerance is the rounding error that the checks allow.
const tolerance = 1e-6

func drawTotals(t *rapid.T, zones, classes int) Totals {
	totals := Totals{Noise: rapid.Float64Range(0, 0.1).Draw(t, "noise")}
	for range zones {
		totals.Capacity = append(totals.Capacity, rapid.SampledFrom([]float64{0, 1, 50, 100, 100, 100}).Draw(t, "capacity"))
		var demands []float64
		for range classes {
			demands = append(demands, rapid.Float64Range(0, 60).Draw(t, "demand"))
		}
		totals.Demand = append(totals.Demand, demands)
	}
	return totals
}

// TestPlansKeepInvariantsForAnyTotals checks for any sequence of totals that plans are valid and within MaxPlanSize,
// that no zone is sent more forwarded work than it has usable capacity for beside its own work, that the work planned
// for a zone grows no faster than allowed, and that the target prefers near zones.
func TestPlansKeepInvariantsForAnyTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topology := Grid(rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones"))
		zones, weights := len(topology.Zones), []float64{3, 1}
		planner, err := NewPlanner(topology, weights, DefaultRules)
		if err != nil {
			t.Fatal(err)
		}
		current := NewCurrentPlan(DefaultRules, zones, len(weights))
		now := time.Duration(0)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			interval := time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond
			now += interval
			totals := drawTotals(t, zones, len(weights))
			placed, _ := planner.target(totals)
			last := planner.last
			plan, err := planner.Step(now, 1, totals)
			if slices.Max(totals.Capacity) == 0 {
				if !errors.Is(err, ErrNoCapacity) || planner.last != last {
					t.Fatal("totals without any capacity:", err)
				}
				now -= interval // the next step continues from the same plan
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := current.Update(plan, now); err != nil {
				t.Fatal(err)
			}
			if raw, err := json.Marshal(plan); err != nil || len(raw) > MaxPlanSize(zones, len(weights)) {
				t.Fatalf("%v: a plan of %d bytes, want at most %d", err, len(raw), MaxPlanSize(zones, len(weights)))
			}
			for zone := range zones {
				checkZone(t, zone, totals, placed, plan, last, interval)
			}
			checkNearestFirst(t, planner, totals, placed)
		}
	})
}

// checkZone checks that a plan forwards no more work to a zone than it has capacity for, and that the zone's work
// grows no faster than allowed. Last is the plan before, or nil.
func checkZone(t *rapid.T, zone int, totals Totals, placed flows, plan, last *Plan, interval time.Duration) {
	t.Helper()
	own, forwarded, after, before := 0.0, 0.0, 0.0, 0.0
	for from := range totals.Demand {
		for class, demand := range totals.Demand[from] {
			work := plan.Rows[from][class].Shares[zone] * demand
			if from == zone {
				own += min(work, placed[from][class][from])
			} else {
				forwarded += work
			}
			after += work
			if last != nil {
				before += last.Rows[from][class].Shares[zone] * demand
			}
		}
	}
	usable := totals.Capacity[zone] * (1 - DefaultRules.Headroom)
	if forwarded > max(usable-own, 0)+tolerance {
		t.Fatalf("zone %d: %.3f are forwarded to it beside %.3f of its own work, but its usable capacity is %.3f", zone, forwarded, own, usable)
	}
	if last == nil {
		return
	}
	// Work returns at once to the zone where it entered if the zone that served it no longer has capacity for it. This
	// is not limited as growth.
	returned := 0.0
	for class, demand := range totals.Demand[zone] {
		returned += demand * (1 - last.Rows[zone][class].Shares[zone])
	}
	allowed := DefaultRules.MaxGrowthRate * interval.Seconds() * totals.Capacity[zone]
	if after > before+allowed+returned+tolerance {
		t.Fatalf("zone %d grows from %.3f to %.3f in %v", zone, before, after, interval)
	}
}

// checkNearestFirst checks that the target forwards nothing over an edge while a nearer zone has free capacity.
func checkNearestFirst(t *rapid.T, planner *Planner, totals Totals, placed flows) {
	t.Helper()
	free := make([]float64, len(placed))
	for to := range placed {
		free[to] = totals.Capacity[to] * (1 - DefaultRules.Headroom)
		for zone := range placed {
			for class := range placed[zone] {
				free[to] -= placed[zone][class][to]
			}
		}
	}
	for class := range planner.weights {
		for ring, edges := range planner.edgesByDistance {
			for _, e := range edges {
				work := placed[e.from][class][e.to]
				if work < tolerance {
					continue
				}
				if free[e.from] > tolerance {
					t.Fatalf("zone %d has %.3f free, and forwards %.3f to %d", e.from, free[e.from], work, e.to)
				}
				for _, nearer := range slices.Concat(planner.edgesByDistance[:ring]...) {
					if nearer.from == e.from && free[nearer.to] > tolerance {
						t.Fatalf("zone %d forwards %.3f to %d, and the nearer %d has %.3f free", e.from, work, e.to, nearer.to, free[nearer.to])
					}
				}
			}
		}
	}
}
