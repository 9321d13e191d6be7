package failoversim

import (
	"math"
	"slices"
	"time"

	"tulipglade/internal/failover"
)

const (
	measurementError    = 0.03        // largest relative error of the values in digests
	fullLoad            = 0.95        // relative load from which a node without a plan avoids a zone
	abruptFadeThreshold = 0.05        // largest change of a share in one step that a fading plan may cause
	loadDelay           = time.Second // time until nodes learn the load of a zone
)

// node is a simulated node, which sends digests to the agents and applies their plans.
type node struct {
	schedule    *schedule
	zone        int
	name        string
	sequence    uint64
	currentPlan *failover.CurrentPlan
	newestPlan  *failover.Plan // newest plan that the node has applied
	load        []float64      // by zone: load relative to capacity, as last learned by the node

	// Shares and weight of the plan in the step before, by class.
	previousShares [][]float64
	previousWeight []float64
}

// report sends a digest to all agents that are not cut off, and schedules the next report.
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

// digest returns the demand and capacity that the node has measured, with measurement errors.
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

// applyPlan replaces the current plan by a newer one, and counts plans that are rejected or applied out of order.
func (n *node) applyPlan(plan *failover.Plan) {
	s := n.schedule
	if s.without.Token { // without a current plan the node accepts any
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

// localChoice returns the shares of a node without a plan: all traffic goes to its own zone unless that is full, else
// to the nearest zone that is not full.
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

// routingShares returns the shares of traffic that the node sends to each zone now, by class. They are a mean of the
// plan's shares and the local choice, weighted by the weight of the plan.
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

// checkFade counts an abrupt change of the node's shares that is caused by the plan's loss of weight since the step
// before. It occurs where the plan and the local choice differ.
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
