package failoversim

import (
	"math"
	"time"

	"tulipglade/internal/failover"
)

const (
	startUpTime    = 5 * time.Second // which is not accounted
	noCapacityLoad = 10.0            // the load that nodes see of a zone without capacity
	minReversal    = 0.05            // a smaller change is no change of direction
)

// comparison sums up the value that was achieved and the value of the optimal plan.
type comparison struct{ achieved, optimal float64 }

func (c *comparison) add(achieved, optimal float64) {
	c.achieved += achieved
	c.optimal += optimal
}

// fraction returns the achieved part of the optimal value; 1 if there is none.
func (c *comparison) fraction() float64 {
	if c.optimal == 0 {
		return 1
	}
	return c.achieved / c.optimal
}

// account sums up what was served, and where.
type account struct {
	settled       comparison // from some time after an event to the next
	overall       comparison
	withoutAgents comparison // after the death of all agents
	crossZone     comparison // traffic sent to other zones, while settled
	totalTraffic  float64    // all of it, while settled

	extremeShare float64 // of the crossing part since its last change of direction
	falling      bool
}

func (a *account) addTo(outcome *Outcome) {
	outcome.ServedValue = a.settled.fraction()
	outcome.OverallValue = a.overall.fraction()
	outcome.ValueWithoutAgents = a.withoutAgents.fraction()
	outcome.CrossZoneShare = a.crossZone.achieved / max(a.totalTraffic, 1)
	outcome.OptimalCrossZoneShare = a.crossZone.optimal / max(a.totalTraffic, 1)
}

// recordDirection reports whether the crossing part changes its direction with a new value.
func (a *account) recordDirection(share float64) bool {
	if a.falling == (share <= a.extremeShare) {
		a.extremeShare = share
		return false
	}
	if math.Abs(share-a.extremeShare) <= minReversal {
		return false
	}
	a.extremeShare = share
	a.falling = !a.falling
	return true
}

// traffic is what nodes send in one step.
type traffic struct {
	load      [][]float64 // by zone and class
	crossZone float64     // between zones
	total     float64
}

// measure accounts for one step. It is called again and again.
func (s *schedule) measure() {
	s.callAfter(step, s.measure)
	sent := s.nodesTraffic()
	served := s.serve(sent)
	optimal, needed := s.optimum()
	if s.now < startUpTime {
		return
	}
	settled := s.now-s.lastEvent > settleTime
	if s.now > s.agentsDieAt {
		lastPlanFaded := s.now > s.agentsDieAt+s.rules.ValidFor+s.rules.FadeOver
		if lastPlanFaded && settled {
			s.account.withoutAgents.add(served, optimal)
		}
		return
	}
	s.account.overall.add(served, optimal)
	if settled {
		s.account.settled.add(served, optimal)
		s.account.crossZone.add(sent.crossZone, needed)
		s.account.totalTraffic += sent.total
	}
	if s.account.recordDirection(sent.crossZone / sent.total) {
		s.outcome.Reversals++
	}
}

// nodesTraffic returns what all nodes send in this step.
func (s *schedule) nodesTraffic() traffic {
	sent := traffic{load: make([][]float64, len(s.zones))}
	for z := range sent.load {
		sent.load[z] = make([]float64, len(priorityWeights))
	}
	demand := s.demand()
	for _, n := range s.nodes {
		for class, shares := range n.routingShares() {
			own := demand[n.zone][class] / nodesPerZone
			sent.total += own
			for z, share := range shares {
				sent.load[z][class] += share * own
				if z != n.zone {
					sent.crossZone += share * own
				}
			}
		}
	}
	return sent
}

// serve returns the value that the zones serve, and lets the nodes know the zones' load later. A zone sheds load by priority weight.
func (s *schedule) serve(sent traffic) (value float64) {
	for z, load := range sent.load {
		capacity := s.capacity(z)
		remaining := capacity
		for class, x := range load {
			value += priorityWeights[class] * min(x, remaining)
			remaining = max(remaining-x, 0)
		}
		relative := noCapacityLoad
		if capacity > 0 {
			relative = (load[0] + load[1]) / capacity
		}
		for _, n := range s.nodes {
			s.callAfter(loadDelay, func() { n.load[z] = relative })
		}
	}
	return value
}

// optimum returns the value that an optimal plan would serve, and the traffic that it needs to send to other zones.
func (s *schedule) optimum() (value, crossZone float64) {
	totals := failover.Totals{Demand: s.demand(), Capacity: make([]float64, len(s.zones))}
	for z := range totals.Capacity {
		totals.Capacity[z] = s.capacity(z)
	}
	target, unplaced := s.optimal.Target(totals)
	for from := range target {
		for class := range target[from] {
			value += priorityWeights[class] * (totals.Demand[from][class] - unplaced[from][class])
			for to, x := range target[from][class] {
				if to != from {
					crossZone += x
				}
			}
		}
	}
	return value, crossZone
}
