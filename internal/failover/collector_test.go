package failover

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// addDigest adds a digest with two classes of equal demand, received at time 0, and reports whether it was accepted.
func addDigest(c *Collector, node string, sequence uint64, zone int, demand float64, capacity ...float64) bool {
	digest := Digest{
		Node:        node,
		Incarnation: 1,
		Sequence:    sequence,
		Zone:        zone,
		Demand:      []float64{demand, demand},
		Capacity:    capacity,
	}
	return c.Add(digest, 0)
}

// TestTotalsOfDigests checks that the demand of all nodes is added up, that a node whose digest is far too high has
// only a bounded effect on the totals, and that a node that no longer sends digests has none.
func TestTotalsOfDigests(t *testing.T) {
	collector := NewCollector(2, 2)
	for i := range 10 {
		if !addDigest(collector, fmt.Sprint("n", i), 1, i%2, 10, 100, 200) {
			t.Fatal("rejected")
		}
	}
	totals := collector.Totals(0)
	if totals.Demand[0][0] != 50 || totals.Demand[1][1] != 50 || totals.Capacity[0] != 100 || totals.Capacity[1] != 200 {
		t.Errorf("totals of valid digests: %+v", totals)
	}
	addDigest(collector, "n0", 2, 0, 1000, 1e9, 0) // 100 times its real demand, and wrong capacities
	totals = collector.Totals(0)
	if totals.Demand[0][0] != 80 || totals.Capacity[0] != 100 || totals.Capacity[1] != 200 {
		t.Errorf("with a wrong digest: %+v", totals)
	}
	for i := range 5 { // the nodes of zone 1 no longer know the capacity of zone 0
		addDigest(collector, fmt.Sprint("n", 2*i+1), 2, 1, 10, -1, 200)
	}
	if totals = collector.Totals(0); totals.Capacity[0] != 100 {
		t.Errorf("with a capacity known by half of the nodes: %+v", totals)
	}
	restarted := Digest{Node: "n1", Incarnation: 2, Sequence: 1, Zone: 1, Demand: []float64{10, 10}, Capacity: []float64{-1, 200}}
	collector.Add(restarted, digestLifetime+2)
	totals = collector.Totals(digestLifetime + 1)
	isRestartedAlone := totals.Demand[0][0] == 0 && totals.Demand[1][0] == 10 && totals.Capacity[0] == 0 && totals.Capacity[1] == 200
	if !isRestartedAlone || len(collector.nodes) != 1 {
		t.Errorf("after the other digests have expired: %+v", totals)
	}
}

func TestInvalidDigestsAreRejected(t *testing.T) {
	collector := NewCollector(1, 1)
	good := Digest{Node: "a", Incarnation: 2, Sequence: 5, Demand: []float64{1}, Capacity: []float64{1}}
	if !collector.Add(good, 0) {
		t.Fatal("rejected")
	}
	for name, change := range map[string]func(*Digest){
		"repeated":            func(*Digest) {},
		"older sequence":      func(d *Digest) { d.Sequence = 4 },
		"earlier incarnation": func(d *Digest) { d.Incarnation, d.Sequence = 1, 9 },
		"no node name":        func(d *Digest) { d.Node, d.Sequence = "", 6 },
		"no such zone":        func(d *Digest) { d.Zone, d.Sequence = 1, 6 },
		"too many classes":    func(d *Digest) { d.Demand, d.Sequence = []float64{1, 1}, 6 },
		"negative demand":     func(d *Digest) { d.Demand, d.Sequence = []float64{-1}, 6 },
		"not a number":        func(d *Digest) { d.Capacity, d.Sequence = []float64{math.NaN()}, 6 },
		"infinite":            func(d *Digest) { d.Demand, d.Sequence = []float64{math.Inf(1)}, 6 },
	} {
		d := good
		if change(&d); collector.Add(d, 0) {
			t.Error(name)
		}
	}
	for i := range 2 * MaxNodes {
		d := good
		d.Node = fmt.Sprint(i)
		collector.Add(d, 0)
	}
	if len(collector.nodes) > MaxNodes {
		t.Errorf("the collector holds %d nodes, more than MaxNodes", len(collector.nodes))
	}
}

// TestNoiseIsThatOfAllZones checks that the measured noise is the variation that all zones have, and that a sudden
// change of demand in a single zone, which is an event, does not raise it.
func TestNoiseIsThatOfAllZones(t *testing.T) {
	collector := NewCollector(3, 2)
	addDigests := func(from, to int, zone2Factor float64) (totals Totals) {
		for i := from; i < to; i++ {
			now := time.Duration(i) * time.Second / 2
			for zone := range 3 {
				demand := 100 * (1 + 0.03*float64(i%2*2-1))
				if zone == 2 {
					demand *= zone2Factor
				}
				digest := Digest{
					Node:     fmt.Sprint(zone),
					Sequence: uint64(i + 1),
					Zone:     zone,
					Demand:   []float64{demand, 0},
					Capacity: []float64{1, 1, 1},
				}
				collector.Add(digest, now)
			}
			totals = collector.Totals(now)
		}
		return totals
	}
	if totals := addDigests(0, 60, 1); totals.Noise < 0.02 || totals.Noise > 0.04 {
		t.Errorf("a variation of 3%% is measured as %.3f", totals.Noise)
	}
	if totals := addDigests(60, 70, 5); totals.Noise > 0.04 {
		t.Errorf("five times the demand at one zone is measured as a noise of %.3f", totals.Noise)
	}
}
