package failoversim

import (
	"math"
	"time"

	"tulipglade/internal/failover"
)

const (
	startUpTime    = 5 * time.Second // time after the start that is not measured
	noCapacityLoad = 10.0            // relative load that nodes learn for a zone without capacity
	minReversal    = 0.05            // a smaller change of the share does not count as a reversal
)

// comparison sums up achieved values and those of the optimal plan.
type comparison struct{ achieved, optimal float64 }

func (c *comparison) add(achieved, optimal float64) {
	c.achieved += achieved
	c.optimal += optimal
}

// fraction returns the achieved fraction of the optimal value, or 1 if the optimal value is 0.
func (c *comparison) fraction() float64 {
	if c.optimal == 0 {
		return 1
	}
	return c.achieved / c.optimal
}

// account sums up the value that was served and the traffic between zones over a schedule.
type account struct {
	settled       comparison // value served from settleTime after an event to the next event
	overall       comparison // value served until the agents die
	withoutAgents comparison // value served after the death of all agents, once their last plan has faded
	crossZone     comparison // traffic sent to other zones, while settled
	totalTraffic  float64    // all traffic, while settled

	extremeShare float64 // highest or lowest share of cross-zone traffic since its last reversal
	falling      bool    // the share was last falling
}

func (a *account) addTo(outcome *Outcome) {
	outcome.ServedValue = a.settled.fraction()
	outcome.OverallValue = a.overall.fraction()
	outcome.ValueWithoutAgents = a.withoutAgents.fraction()
	outcome.CrossZoneShare = a.crossZone.achieved / max(a.totalTraffic, 1)
	outcome.OptimalCrossZoneShare = a.crossZone.optimal / max(a.totalTraffic, 1)
}

// recordDirection records a new value of the share of cross-zone traffic, and reports whether the share has reversed
// its direction.
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

// traffic is the traffic that nodes send in one step.
type traffic struct {
	load      [][]float64 // by zone and class
	crossZone float64     // part that goes to another zone than it entered at
	total     float64
}

// measure accounts for one step, and schedules itself for the next one.
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

// nodesTraffic returns the traffic that all nodes send in this step.
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

// serve returns the value that the zones serve in this step, and schedules the nodes to learn the zones' load after
// loadDelay. An overloaded zone serves the classes with the highest priority weight first.
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

// optimum returns the value that an optimal plan would serve in this step, and the traffic that this plan sends to
// other zones.
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
