package failover

import (
	"math"
	"slices"
	"time"
)

// Digest is what one node tells of itself, again and again.
type Digest struct {
	Node        string    `json:"node"`
	Incarnation uint64    `json:"life"` // larger for a process that was started later
	Sequence    uint64    `json:"seq"`
	Zone        int       `json:"zone"`   // where its requests enter
	Demand      []float64 `json:"demand"` // by class: core-seconds per second of what came in
	Capacity    []float64 `json:"can"`    // by zone: core-seconds per second that its boxes can do, as this node has learned; below 0: it does not know
}

// Bounds of what a Collector keeps and believes.
const (
	// MaxNodes is how many nodes a Collector keeps.
	MaxNodes = 4096
	// timesMost is how many times the median node of its zone a node counts for at most. A front that is uneven gives one node twice the
	// mean; what is beyond that is more likely wrong than true, and is felt at that node only.
	timesMost = 4
	// stale is after how long without a digest a node counts for nothing: six of those that it sends each half second.
	stale = 3 * time.Second
	// Each sum counts for a tenth in the measured noise: it is that of the last 5 s.
	noiseShare = 0.1
)

// Collector adds up digests. Its size is bounded, and so is what one node can do to the sums.
type Collector struct {
	zones, classes int
	nodes          map[string]heard
	mean, vary     []float64 // by zone, of demand
}

type heard struct {
	Digest
	at time.Duration
}

// NewCollector returns one that has heard of nobody.
func NewCollector(zones, classes int) *Collector {
	return &Collector{zones: zones, classes: classes, nodes: map[string]heard{}, mean: make([]float64, zones), vary: make([]float64, zones)}
}

// Add takes in a digest. One that makes no sense, or is not newer than what that node has told, changes nothing.
func (c *Collector) Add(d Digest, now time.Duration) bool {
	sane := func(list []float64, n int) bool {
		return len(list) == n && !slices.ContainsFunc(list, func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) })
	}
	was, known := c.nodes[d.Node]
	switch {
	case d.Node == "" || d.Zone < 0 || d.Zone >= c.zones || !sane(d.Demand, c.classes) || !sane(d.Capacity, c.zones):
		return false
	case slices.ContainsFunc(d.Demand, func(x float64) bool { return x < 0 }):
		return false
	case known && (d.Incarnation < was.Incarnation || d.Incarnation == was.Incarnation && d.Sequence <= was.Sequence):
		return false
	case !known && len(c.nodes) >= MaxNodes:
		return false
	}
	d.Demand, d.Capacity = slices.Clone(d.Demand), slices.Clone(d.Capacity)
	c.nodes[d.Node] = heard{d, now}
	return true
}

// Totals are what all nodes together have told of late. A zone that no node can see can do nothing, as far as is known: so nothing is planned
// into it.
func (c *Collector) Totals(now time.Duration) Totals {
	s := Totals{Capacity: make([]float64, c.zones), Demand: make([][]float64, c.zones)}
	for name, n := range c.nodes {
		if now-n.at > stale {
			delete(c.nodes, name)
		}
	}
	for z := range c.zones {
		var can []float64
		for _, n := range c.nodes {
			if n.Capacity[z] >= 0 {
				can = append(can, n.Capacity[z])
			}
		}
		s.Capacity[z] = median(can)
		s.Demand[z] = make([]float64, c.classes)
		for class := range c.classes {
			var told []float64
			for _, n := range c.nodes {
				if n.Zone == z {
					told = append(told, n.Demand[class])
				}
			}
			most := math.Inf(1)
			if len(told) > 2 { // of two, nobody can tell which is wrong
				most = timesMost * median(told)
			}
			slices.Sort(told) // so that the sum does not depend on the order of a map
			for _, x := range told {
				s.Demand[z][class] += min(x, most)
			}
		}
	}
	s.Noise = c.noise(s)
	return s
}

// noise is how much demand varies, the middle one of all zones: an event at one of them is none.
func (c *Collector) noise(s Totals) float64 {
	var all []float64
	for z, demand := range s.Demand {
		d := 0.0
		for _, x := range demand {
			d += x
		}
		if c.mean[z] == 0 {
			c.mean[z] = d
		}
		off := d - c.mean[z]
		c.mean[z] += noiseShare * off
		c.vary[z] += noiseShare * (off*off - c.vary[z])
		if c.mean[z] > 0 {
			all = append(all, math.Sqrt(c.vary[z])/c.mean[z])
		}
	}
	return median(all)
}

// median is the middle one; of an even number the lower, so that one that is out of all proportion is never it unless it is alone.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
