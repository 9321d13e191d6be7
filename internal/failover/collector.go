package failover

import (
	"math"
	"slices"
	"time"
)

// Digest is what a node periodically reports of itself.
type Digest struct {
	Node        string    `json:"node"`
	Incarnation uint64    `json:"life"` // larger for a process that was started later
	Sequence    uint64    `json:"seq"`
	Zone        int       `json:"zone"`   // where its requests enter
	Demand      []float64 `json:"demand"` // by class: core-seconds per second of the requests that came in
	Capacity    []float64 `json:"can"`    // by zone: core-seconds per second that its backends can do, as learned; below 0: unknown
}

// MaxNodes is how many nodes' digests a Collector holds.
const MaxNodes = 4096

const (
	// outlierFactor is how many times the median node of its zone a node counts for at most. A load balancer that is uneven gives one node
	// twice the mean; what is beyond that is more likely wrong than true, and only that node sees it.
	outlierFactor = 4
	// minOutlierNodes is from how many nodes on outliers are limited: of two, it is unknown which one is wrong.
	minOutlierNodes = 3
	// digestLifetime is for how long a digest counts: six of those that a node sends each half second.
	digestLifetime = 3 * time.Second
	// noiseSmoothing is the weight of the newest totals in the measured noise, which is that of the last 5 s.
	noiseSmoothing = 0.1
)

// Collector adds up digests. Its memory is bounded, and so is the effect of one node.
type Collector struct {
	zones, classes int
	nodes          map[string]receivedDigest
	demandMean     []float64 // by zone
	demandVariance []float64 // by zone
}

type receivedDigest struct {
	Digest
	receivedAt time.Duration
}

// NewCollector returns a Collector without digests.
func NewCollector(zones, classes int) *Collector {
	return &Collector{
		zones:          zones,
		classes:        classes,
		nodes:          map[string]receivedDigest{},
		demandMean:     make([]float64, zones),
		demandVariance: make([]float64, zones),
	}
}

// Add replaces the digest of a node, and reports whether it did: not by an invalid digest, nor by one that is not newer.
func (c *Collector) Add(digest Digest, now time.Duration) bool {
	if !c.isValid(digest) {
		return false
	}
	last, known := c.nodes[digest.Node]
	if known && !digest.isNewerThan(last.Digest) || !known && len(c.nodes) >= MaxNodes {
		return false
	}
	digest.Demand = slices.Clone(digest.Demand)
	digest.Capacity = slices.Clone(digest.Capacity)
	c.nodes[digest.Node] = receivedDigest{digest, now}
	return true
}

// isValid reports whether a digest has the right dimensions, and only amounts that are possible.
func (c *Collector) isValid(digest Digest) bool {
	return digest.Node != "" &&
		digest.Zone >= 0 && digest.Zone < c.zones &&
		len(digest.Demand) == c.classes &&
		len(digest.Capacity) == c.zones &&
		!slices.ContainsFunc(digest.Demand, func(demand float64) bool { return !isFiniteAmount(demand) }) &&
		!slices.ContainsFunc(digest.Capacity, func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) })
}

func (d Digest) isNewerThan(other Digest) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	return d.Sequence > other.Sequence
}

// Totals returns what all recent digests add up to. A zone whose capacity no node knows counts as having none, so that nothing is planned
// for it.
func (c *Collector) Totals(now time.Duration) Totals {
	for name, digest := range c.nodes {
		if now-digest.receivedAt > digestLifetime {
			delete(c.nodes, name)
		}
	}
	totals := Totals{Capacity: make([]float64, c.zones), Demand: make([][]float64, c.zones)}
	for zone := range c.zones {
		totals.Capacity[zone] = c.zoneCapacity(zone)
		totals.Demand[zone] = make([]float64, c.classes)
		for class := range c.classes {
			totals.Demand[zone][class] = c.zoneDemand(zone, class)
		}
	}
	totals.Noise = c.updateNoise(totals)
	return totals
}

// zoneCapacity returns the median of what the nodes know of a zone.
func (c *Collector) zoneCapacity(zone int) float64 {
	var known []float64
	for _, digest := range c.nodes {
		if digest.Capacity[zone] >= 0 {
			known = append(known, digest.Capacity[zone])
		}
	}
	return median(known)
}

// zoneDemand returns the sum over a zone's nodes, with outliers limited.
func (c *Collector) zoneDemand(zone, class int) float64 {
	var demands []float64
	for _, digest := range c.nodes {
		if digest.Zone == zone {
			demands = append(demands, digest.Demand[class])
		}
	}
	limit := math.Inf(1)
	if len(demands) >= minOutlierNodes {
		limit = outlierFactor * median(demands)
	}
	slices.Sort(demands) // so that rounding does not depend on the order of a map
	sum := 0.0
	for _, demand := range demands {
		sum += min(demand, limit)
	}
	return sum
}

// updateNoise returns how much demand varies, as the median of all zones: an event at one zone is no noise.
func (c *Collector) updateNoise(totals Totals) float64 {
	var relative []float64
	for zone, demands := range totals.Demand {
		sum := 0.0
		for _, demand := range demands {
			sum += demand
		}
		if c.demandMean[zone] == 0 {
			c.demandMean[zone] = sum
		}
		deviation := sum - c.demandMean[zone]
		c.demandMean[zone] += noiseSmoothing * deviation
		c.demandVariance[zone] += noiseSmoothing * (deviation*deviation - c.demandVariance[zone])
		if c.demandMean[zone] > 0 {
			relative = append(relative, math.Sqrt(c.demandVariance[zone])/c.demandMean[zone])
		}
	}
	return median(relative)
}

// median returns the middle value; of an even number of them the lower, so that an extreme value is never the median unless it is alone.
// It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
