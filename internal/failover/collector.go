package failover

import (
	"math"
	"slices"
	"time"
)

// Digest is the report that each node periodically sends to the agents: the demand it receives and the capacity it has
// learned.
type Digest struct {
	Node        string    `json:"node"`
	Incarnation uint64    `json:"life"` // larger for a process of the node that started later
	Sequence    uint64    `json:"seq"`
	Zone        int       `json:"zone"`   // zone of the node, where its requests enter
	Demand      []float64 `json:"demand"` // by class: core-seconds per second of the requests that the node received
	Capacity    []float64 `json:"can"`    // by zone: core-seconds per second, as learned; negative if unknown
}

// MaxNodes is the largest number of nodes whose digests a Collector holds.
const MaxNodes = 4096

const (
	// outlierFactor limits the demand that is counted for a node, as a multiple of the median of the nodes in its zone.
	// An uneven load balancer in front of the nodes may send one node twice the mean; far more than that is more likely
	// a wrong report than real demand, and no other node can confirm it.
	outlierFactor = 4
	// minOutlierNodes is the smallest number of nodes in a zone for which outliers are limited: if two nodes differ, it
	// is unknown which one is wrong.
	minOutlierNodes = 3
	// digestLifetime is how long a digest counts after it was received. Nodes send one each half second, so a node is
	// dropped after six missed digests.
	digestLifetime = 3 * time.Second
	// noiseSmoothing is the weight of the newest totals in the moving averages that measure noise. It makes them cover
	// about the last 5 s.
	noiseSmoothing = 0.1
)

// Collector adds up the digests of all nodes into Totals. Its memory is bounded, and so is the effect that a single
// node can have on the totals.
type Collector struct {
	zones, classes int
	nodes          map[string]receivedDigest
	demandMean     []float64 // moving average by zone, for the noise
	demandVariance []float64 // moving average by zone, for the noise
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

// Add stores a digest in place of the node's earlier one, and reports whether it did. It rejects a digest that is
// invalid or not newer than the stored one, and digests of further nodes when there are MaxNodes already.
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

// isValid reports whether a digest names its node, has the dimensions of this fleet, and holds only finite amounts,
// with no negative demand.
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

// Totals drops expired digests and returns the totals of the others. A zone whose capacity no node knows counts as
// having none, so that no work is planned for it.
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

// zoneCapacity returns the median of the capacities that nodes report for a zone, or 0 if no node knows it.
func (c *Collector) zoneCapacity(zone int) float64 {
	var known []float64
	for _, digest := range c.nodes {
		if digest.Capacity[zone] >= 0 {
			known = append(known, digest.Capacity[zone])
		}
	}
	return median(known)
}

// zoneDemand returns the sum of the demand of a zone's nodes for one class, with outliers limited.
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
	slices.Sort(demands) // so that the rounding of the sum does not depend on map order
	sum := 0.0
	for _, demand := range demands {
		sum += min(demand, limit)
	}
	return sum
}

// updateNoise adds new totals to the moving averages and returns the relative standard deviation of demand, as the
// median of all zones: a change of demand in a single zone is an event, not noise.
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

// median returns the middle value, or 0 if there are no values. For an even number of values it returns the lower of
// the two in the middle, so that the largest value is never the median unless it is the only one. It sorts the values
// in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
