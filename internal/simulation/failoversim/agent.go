package failoversim

import (
	"errors"
	"time"

	"tulipglade/internal/failover"
	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
)

const (
	leaderLease     = "director"
	leaderTicks     = 4
	learningTime    = 2 * time.Second // time after the start during which agents only collect digests
	cutProbability  = 0.01            // of being cut off, in each cycle of an agent
	stopProbability = 0.02            // of being stopped, in each cycle of a leader
	shortestOutage  = 2 * time.Second // time for which an agent is cut off or stopped
	longestOutage   = 8 * time.Second
	growthTolerance = 1e-6 // allowed for rounding
)

// agent is a simulated agent, which makes plans while it holds the lease of the failover leader.
type agent struct {
	schedule     *schedule
	name         string
	collector    *failover.Collector
	planner      *failover.Planner
	token        fencing.Token // 0 while the agent does not hold the lease
	stoppedUntil time.Duration
	cutUntil     time.Duration
	previousPlan *failover.Plan // plan that the planner continues
	previousAt   time.Duration
}

// runWhenResumed calls a function in the agent's process: now, or as soon as the process is no longer stopped.
func (a *agent) runWhenResumed(f func()) {
	s := a.schedule
	if s.now < a.stoppedUntil {
		s.callAfter(a.stoppedUntil-s.now, func() { a.runWhenResumed(f) })
		return
	}
	f()
}

// runCycle acquires or renews the lease, and publishes a plan if the agent holds it. It schedules itself for the next
// cycle.
func (a *agent) runCycle() {
	s := a.schedule
	s.callAfter(reportInterval, func() { a.runWhenResumed(a.runCycle) })
	if s.now < a.cutUntil {
		return // an agent that cannot renew the lease must not plan
	}
	if s.random.Float64() < cutProbability {
		a.cutUntil = s.now + s.drawOutage()
	}
	if !a.keepLease() {
		return
	}
	totals := a.collector.Totals(s.now)
	if s.now < learningTime {
		return
	}
	if s.random.Float64() < stopProbability { // stopped between the check of the lease and the plan
		a.stoppedUntil = s.now + s.drawOutage()
	}
	a.runWhenResumed(func() { a.publish(totals) })
}

func (s *schedule) drawOutage() time.Duration {
	return eventqueue.UniformDuration(s.random, shortestOutage, longestOutage)
}

// keepLease renews the lease, or acquires it and has the planner continue the latest plan. It reports whether the agent
// holds the lease.
func (a *agent) keepLease() bool {
	s := a.schedule
	command := lease.Command{Kind: lease.Renew, Name: leaderLease, Token: a.token, Ticks: leaderTicks}
	if a.token == 0 {
		command = lease.Command{Kind: lease.Acquire, Name: leaderLease, Holder: a.name, RequestID: uint64(s.now), Ticks: leaderTicks}
	}
	grant, err := s.leases.Apply(command)
	if err != nil {
		a.token = 0
		return false
	}
	if a.token != 0 {
		return true
	}
	s.outcome.Leaders++
	a.token = grant.Token
	if s.latestPlan != nil {
		a.previousPlan, a.previousAt = s.latestPlan, s.now-reportInterval
		a.planner.Adopt(a.previousPlan, a.previousAt)
	}
	return true
}

// publish makes a plan and sends it to all nodes. It makes none if no zone has capacity.
func (a *agent) publish(totals failover.Totals) {
	s := a.schedule
	plan, err := a.planner.Step(s.now, a.token, totals)
	if errors.Is(err, failover.ErrNoCapacity) {
		return
	}
	if err != nil {
		panic(err)
	}
	s.outcome.Plans++
	if plan.IsNewerThan(s.latestPlan) {
		s.latestPlan = plan
	}
	if a.previousPlan != nil {
		s.checkGrowth(a.previousPlan, plan, totals, s.now-a.previousAt)
	}
	a.previousPlan, a.previousAt = plan, s.now
	for _, n := range s.nodes {
		s.send(func() { n.applyPlan(plan) })
	}
}

// checkGrowth counts the zones whose planned traffic grows faster between two plans than the rules allow.
func (s *schedule) checkGrowth(previous, plan *failover.Plan, totals failover.Totals, interval time.Duration) {
	for to := range plan.Rows {
		growth, returning := 0.0, 0.0
		for from := range plan.Rows {
			for class := range priorityWeights {
				demand := totals.Demand[from][class]
				growth += (plan.Rows[from][class].Shares[to] - previous.Rows[from][class].Shares[to]) * demand
				// A zone's own traffic may return at once, since the zones that served it may have lost their capacity.
				if from == to {
					returning += demand * (1 - previous.Rows[from][class].Shares[from])
				}
			}
		}
		allowed := failover.DefaultRules.MaxGrowthRate*interval.Seconds()*totals.Capacity[to] + growthTolerance
		if growth-returning > allowed {
			s.outcome.GrowthViolations++
		}
	}
}
