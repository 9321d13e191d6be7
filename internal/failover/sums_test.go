package failover

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func tell(c *Collector, node string, seq uint64, zone int, demand float64, can ...float64) bool {
	return c.Add(Digest{Node: node, Incarnation: 1, Sequence: seq, Zone: zone, Demand: []float64{demand, demand}, Capacity: can}, 0)
}

// What many nodes tell adds up; one that lies by far moves the sums by its part at most; one that has gone counts for nothing.
func TestSums(t *testing.T) {
	c := NewCollector(2, 2)
	for i := range 10 {
		if !tell(c, fmt.Sprint("n", i), 1, i%2, 10, 100, 200) {
			t.Fatal("refused")
		}
	}
	s := c.Totals(0)
	if s.Demand[0][0] != 50 || s.Demand[1][1] != 50 || s.Capacity[0] != 100 || s.Capacity[1] != 200 {
		t.Errorf("%+v", s)
	}
	tell(c, "n0", 2, 0, 1000, 1e9, 0) // a hundred times what it has, and nonsense of the zones
	s = c.Totals(0)
	if s.Demand[0][0] != 80 || s.Capacity[0] != 100 || s.Capacity[1] != 200 {
		t.Errorf("with one that lies: %+v", s)
	}
	for i := range 5 { // those of zone 1 see nothing of zone 0 any more
		tell(c, fmt.Sprint("n", 2*i+1), 2, 1, 10, -1, 200)
	}
	if s = c.Totals(0); s.Capacity[0] != 100 {
		t.Errorf("seen by half: %+v", s)
	}
	c.Add(Digest{Node: "n1", Incarnation: 2, Sequence: 1, Zone: 1, Demand: []float64{10, 10}, Capacity: []float64{-1, 200}}, stale+2)
	s = c.Totals(stale + 1)
	if s.Demand[0][0] != 0 || s.Demand[1][0] != 10 || s.Capacity[0] != 0 || s.Capacity[1] != 200 || len(c.nodes) != 1 {
		t.Errorf("after the others have gone: %+v", s)
	}
}

func TestDigestsThatAreNotTaken(t *testing.T) {
	c := NewCollector(1, 1)
	good := Digest{Node: "a", Incarnation: 2, Sequence: 5, Demand: []float64{1}, Capacity: []float64{1}}
	if !c.Add(good, 0) {
		t.Fatal("refused")
	}
	for name, change := range map[string]func(*Digest){
		"the same again":     func(d *Digest) {},
		"an older one":       func(d *Digest) { d.Sequence = 4 },
		"of an earlier life": func(d *Digest) { d.Incarnation, d.Sequence = 1, 9 },
		"no name":            func(d *Digest) { d.Node, d.Sequence = "", 6 },
		"no such zone":       func(d *Digest) { d.Zone, d.Sequence = 1, 6 },
		"a class too many":   func(d *Digest) { d.Demand, d.Sequence = []float64{1, 1}, 6 },
		"below nothing":      func(d *Digest) { d.Demand, d.Sequence = []float64{-1}, 6 },
		"no number":          func(d *Digest) { d.Capacity, d.Sequence = []float64{math.NaN()}, 6 },
		"without end":        func(d *Digest) { d.Demand, d.Sequence = []float64{math.Inf(1)}, 6 },
	} {
		d := good
		if change(&d); c.Add(d, 0) {
			t.Error(name)
		}
	}
	for i := range 2 * MaxNodes {
		d := good
		d.Node = fmt.Sprint(i)
		c.Add(d, 0)
	}
	if len(c.nodes) > MaxNodes {
		t.Errorf("%d nodes", len(c.nodes))
	}
}

// Noise is what all zones show all the time, not what happens to one.
func TestNoise(t *testing.T) {
	c := NewCollector(3, 2)
	play := func(from, to int, third float64) (s Totals) {
		for i := from; i < to; i++ {
			now := time.Duration(i) * time.Second / 2
			for z := range 3 {
				d := 100 * (1 + 0.03*float64(i%2*2-1))
				if z == 2 {
					d *= third
				}
				c.Add(Digest{Node: fmt.Sprint(z), Sequence: uint64(i + 1), Zone: z, Demand: []float64{d, 0}, Capacity: []float64{1, 1, 1}}, now)
			}
			s = c.Totals(now)
		}
		return s
	}
	if s := play(0, 60, 1); s.Noise < 0.02 || s.Noise > 0.04 {
		t.Errorf("3%% up and down are a noise of %.3f", s.Noise)
	}
	if s := play(60, 70, 5); s.Noise > 0.04 {
		t.Errorf("five times as much at one zone is a noise of %.3f", s.Noise)
	}
}
