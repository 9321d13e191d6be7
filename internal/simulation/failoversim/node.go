package failoversim

import (
	"math"
	"slices"
	"time"

	"tulipglade/internal/failover"
)

const (
	measurementError    = 0.03 // of what nodes report, relative
	fullLoad            = 0.95 // from which a node without a plan avoids a zone
	abruptFadeThreshold = 0.05
	loadDelay           = time.Second // until nodes know the load of zones
)

// node is a node that reports to the agents and takes up their plans.
type node struct {
	schedule    *schedule
	zone        int
	name        string
	sequence    uint64
	currentPlan *failover.CurrentPlan
	newestPlan  *failover.Plan // that was taken up
	load        []float64      // of each zone relative to its capacity, as the node knows it

	// Of the step before, by class.
	previousShares [][]float64
	previousWeight []float64
}

// report sends a digest to all agents, again and again.
func (n *node) report() {
	s := n.schedule
	digest := n.digest()
	for _, a := range s.agents {
		if s.now >= a.cutUntil {
			s.send(func() {
				a.runWhenResumed(func() { a.collector.Add(digest, s.now) })
			})
		}
	}
	s.callAfter(reportInterval, n.report)
}

// digest returns what the node has measured, with errors.
func (n *node) digest() failover.Digest {
	s := n.schedule
	n.sequence++
	digest := failover.Digest{Node: n.name, Incarnation: 1, Sequence: n.sequence, Zone: n.zone, Capacity: make([]float64, len(s.zones))}
	for _, demand := range s.demand()[n.zone] {
		digest.Demand = append(digest.Demand, demand/nodesPerZone*s.measurementFactor())
	}
	for z := range digest.Capacity {
		digest.Capacity[z] = s.capacity(z) * s.measurementFactor()
	}
	return digest
}

func (s *schedule) measurementFactor() float64 {
	return 1 + measurementError*(2*s.random.Float64()-1)
}

// applyPlan takes up a plan if it is newer than the current one.
func (n *node) applyPlan(plan *failover.Plan) {
	s := n.schedule
	if s.without.Token { // the node forgets which plan it has
		n.currentPlan = s.newCurrentPlan()
	}
	if n.currentPlan.Update(plan, s.now) != nil {
		s.outcome.Rejected++
		return
	}
	if n.newestPlan != nil && !plan.IsNewerThan(n.newestPlan) {
		s.outcome.PlanRegressions++
		return
	}
	n.newestPlan = plan
}

// localChoice is the choice of a node without a plan: its own zone unless that is full, else the nearest one that is not.
func (n *node) localChoice() []float64 {
	cost := n.schedule.topology.Cost[n.zone]
	lowestCost, choice := math.Inf(1), n.zone
	for z, load := range n.load {
		if load < fullLoad && cost[z] < lowestCost {
			lowestCost, choice = cost[z], z
		}
	}
	shares := make([]float64, len(n.load))
	shares[choice] = 1
	return shares
}

// routingShares returns the shares of each class that the node sends to each zone now. It blends the plan with the local choice.
func (n *node) routingShares() [][]float64 {
	local := n.localChoice()
	choice := make([][]float64, len(priorityWeights))
	if n.previousShares == nil {
		n.previousShares = make([][]float64, len(choice))
		n.previousWeight = make([]float64, len(choice))
	}
	for class := range choice {
		shares, weight := n.currentPlan.Shares(n.schedule.now, n.zone, class)
		choice[class] = slices.Clone(local)
		if weight > 0 {
			for z := range local {
				choice[class][z] = weight*shares[z] + (1-weight)*local[z]
			}
		}
		n.checkFade(class, local, weight)
		n.previousShares[class], n.previousWeight[class] = shares, weight
	}
	return choice
}

// checkFade counts a choice that changes because the plan has lost much of its weight since the step before, where the plan and the local
// choice differ.
func (n *node) checkFade(class int, local []float64, weight float64) {
	previous := n.previousShares[class]
	if previous == nil {
		return
	}
	change := 0.0
	for z := range local {
		change = max(change, (n.previousWeight[class]-weight)*math.Abs(previous[z]-local[z]))
	}
	if change > abruptFadeThreshold {
		n.schedule.outcome.AbruptFades++
	}
}
