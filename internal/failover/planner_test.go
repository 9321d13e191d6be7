package failover

import (
	"math"
	"strings"
	"testing"
	"time"
)

// uniformTotals returns totals of zones with the same capacity and the same demand, split equally between two classes.
func uniformTotals(zones int, capacity, demand float64) Totals {
	totals := Totals{Noise: 0.02}
	for range zones {
		totals.Capacity = append(totals.Capacity, capacity)
		totals.Demand = append(totals.Demand, []float64{demand / 2, demand / 2})
	}
	return totals
}

// plannerRun calls the planner's Step each half second of simulated time.
type plannerRun struct {
	t       *testing.T
	planner *Planner
	now     time.Duration
	totals  Totals
}

func newPlannerRun(t *testing.T, topology Topology, totals Totals) *plannerRun {
	t.Helper()
	planner, err := NewPlanner(topology, []float64{3, 1}, DefaultRules)
	if err != nil {
		t.Fatal(err)
	}
	return &plannerRun{t: t, planner: planner, totals: totals}
}

// step makes count plans, and returns the last one.
func (r *plannerRun) step(count int) (plan *Plan) {
	r.t.Helper()
	for range count {
		r.now += 500 * time.Millisecond
		next, err := r.planner.Step(r.now, 1, r.totals)
		if err != nil {
			r.t.Fatal(err)
		}
		plan = next
	}
	return plan
}

// forwardedFromZone0 returns the shares of a class that a plan forwards from zone 0 to the other two zones of its
// region, and to zones of other regions.
func forwardedFromZone0(plan *Plan, class int) (withinRegion, toOthers float64) {
	for to, share := range plan.Rows[0][class].Shares {
		if to > 0 && to < 3 {
			withinRegion += share
		} else if to >= 3 {
			toOthers += share
		}
	}
	return withinRegion, toOthers
}

// TestLostZoneIsReplaced checks the loss of a zone at a load of 60%: within 3 s its work goes to the other zones of its
// region. When these lack capacity, work goes to other regions, that of the class with the lower weight first.
func TestLostZoneIsReplaced(t *testing.T) {
	run := newPlannerRun(t, Grid(3, 3), uniformTotals(9, 100, 60))
	if region, others := forwardedFromZone0(run.step(1), 0); region+others > 0 {
		t.Errorf("without an event %.2f and %.2f are forwarded", region, others)
	}
	run.totals.Capacity[0] = 0
	plan := run.step(6) // 3 s
	served := 0.0
	for class := range 2 {
		region, others := forwardedFromZone0(plan, class)
		served += (region + others) / 2
	}
	if served < 0.99 {
		t.Errorf("3 s after the loss %.2f of the work are forwarded: %s", served, plan.Rows[0][1].Reason)
	}
	// All 60 units of work fit into the region, which has a free usable capacity of 2 x 30.
	if region, others := forwardedFromZone0(plan, 0); region < 0.99 || others > 0.01 {
		t.Errorf("within the region %.2f, to others %.2f", region, others)
	}
	run.totals.Capacity[1] = 60 // this removes the 30 units of free capacity that zone 1 had
	plan = run.step(8)
	if _, high := forwardedFromZone0(plan, 0); high > 0.01 {
		t.Errorf("of the class with the highest weight %.2f leave the region", high)
	}
	if _, low := forwardedFromZone0(plan, 1); low < 0.5 {
		t.Errorf("of the class with the lowest weight only %.2f leave the region", low)
	}
}

// TestRecoveredZoneGetsItsWorkBack checks that, while a lost zone warms up, its work returns steadily, without any
// step in which more is forwarded again, and that nothing is forwarded in the end.
func TestRecoveredZoneGetsItsWorkBack(t *testing.T) {
	run := newPlannerRun(t, Grid(3, 3), uniformTotals(9, 100, 60))
	run.step(1)
	run.totals.Capacity[0] = 0
	run.step(6)
	run.totals.Capacity[1] = 60
	run.step(8)
	reversals, last := 0, 1.0
	for capacity := 0.0; capacity <= 100; capacity += 10 {
		run.totals.Capacity[0] = min(capacity, 100)
		plan := run.step(1)
		forwarded := 1 - plan.Rows[0][0].Shares[0]/2 - plan.Rows[0][1].Shares[0]/2
		if forwarded > last+1e-9 {
			reversals++
		}
		last = forwarded
	}
	run.totals.Capacity[1] = 100
	plan := run.step(10)
	if region, others := forwardedFromZone0(plan, 1); region+others > 1e-6 || reversals > 0 {
		t.Errorf("%.3f and %.3f are still forwarded, %d reversals", region, others, reversals)
	}
	for zone, rows := range plan.Rows {
		for class, row := range rows {
			if row.Shares[zone] < 1-1e-6 || !strings.HasPrefix(row.Reason, "at home") {
				t.Errorf("zone %d, class %d: %v", zone, class, row)
			}
		}
	}
}

// TestNoiseBandAndGrowthRateTakeEffect checks that the noise band suppresses most changes that only follow noise, and
// that the limit of growth spreads the move of work after the loss of a zone, which is one jump without it.
func TestNoiseBandAndGrowthRateTakeEffect(t *testing.T) {
	runTotals := func(rules Rules) (changes int, jump float64) {
		planner, err := NewPlanner(Grid(1, 3), []float64{3, 1}, rules)
		if err != nil {
			t.Fatal(err)
		}
		totals := uniformTotals(3, 100, 80)
		totals.Noise = 0.04     // noise of a row whose class receives the capacity that others leave
		totals.Capacity[0] = 60 // some work must always be forwarded
		last, _ := planner.Step(0, 1, totals)
		for i := range 20 {
			for zone := range totals.Demand {
				for class := range totals.Demand[zone] {
					totals.Demand[zone][class] = 40 * (1 + 0.02*float64((i+zone+class)%3-1))
				}
			}
			plan, err := planner.Step(time.Duration(i+1)*500*time.Millisecond, 1, totals)
			if err != nil {
				t.Fatal(err)
			}
			for zone := range plan.Rows {
				for class := range plan.Rows[zone] {
					if math.Abs(plan.Rows[zone][class].Shares[zone]-last.Rows[zone][class].Shares[zone]) > 1e-4 {
						changes++
					}
				}
			}
			last = plan
		}
		totals.Capacity[0] = 0
		totals.Demand[1], totals.Demand[2] = []float64{10, 10}, []float64{10, 10}
		plan, err := planner.Step(10500*time.Millisecond, 1, totals)
		if err != nil {
			t.Fatal(err)
		}
		for class := range 2 {
			jump += last.Rows[0][class].Shares[0] - plan.Rows[0][class].Shares[0]
		}
		return changes, jump
	}
	changesWithBand, limitedJump := runTotals(DefaultRules)
	changedRules := DefaultRules
	changedRules.NoiseBand = 0
	changesWithoutBand, _ := runTotals(changedRules)
	changedRules = DefaultRules
	changedRules.MaxGrowthRate = 1e9
	_, jump := runTotals(changedRules)
	if changesWithBand*2 >= changesWithoutBand || limitedJump >= jump*0.9 {
		t.Errorf("%d changes, without the noise band %d; a jump of %.2f, without the limit of growth %.2f",
			changesWithBand, changesWithoutBand, limitedJump, jump)
	}
}

func BenchmarkStep(b *testing.B) {
	planner, err := NewPlanner(Grid(3, 3), []float64{3, 2, 1}, DefaultRules)
	if err != nil {
		b.Fatal(err)
	}
	totals := Totals{Noise: 0.02}
	for zone := range 9 {
		totals.Capacity = append(totals.Capacity, 3000*float64(1+zone%3))
		totals.Demand = append(totals.Demand, []float64{1000, 1500, 2000})
	}
	for i := 0; b.Loop(); i++ {
		totals.Capacity[i%9] = float64(i % 4000)
		if _, err := planner.Step(time.Duration(i)*500*time.Millisecond, 1, totals); err != nil {
			b.Fatal(err)
		}
	}
}

// TestSameRegionIsPreferredWhateverTheCost checks that work goes to a zone of the same region even if a zone of another
// region has a lower cost.
func TestSameRegionIsPreferredWhateverTheCost(t *testing.T) {
	topology := Topology{
		Zones: []Zone{{"a", "x"}, {"b", "x"}, {"c", "y"}},
		Cost:  [][]float64{{0, 9, 1}, {9, 0, 1}, {1, 1, 0}},
	}
	planner, err := NewPlanner(topology, []float64{1}, DefaultRules)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := planner.Step(0, 1, Totals{Capacity: []float64{0, 100, 100}, Demand: [][]float64{{50}, {0}, {0}}})
	if err != nil || plan.Rows[0][0].Shares[1] != 1 {
		t.Error(plan, err)
	}
}
