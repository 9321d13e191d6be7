// Package failoversim plays internal/failover in virtual time: zones that are lost, degraded and return, nodes that report what they see
// and take up plans, agents that lead the failover and are stopped, cut off and replaced, and a network that loses, delays and repeats
// messages. Traffic is a fluid: what a zone receives beyond its capacity is lost. Everything is drawn from a seed.
package failoversim

import (
	"context"

	"tulipglade/internal/simulation/stats"
)

// Ablation names a mechanism that is left out, to show that the checks find its absence.
type Ablation struct {
	Token bool // nodes take up plans in any order
	Rate  bool // plans move traffic to its target at once
	Fade  bool // a plan that is too old has no effect at once
	Plans bool // nobody makes plans: nodes choose by themselves
}

// Outcome is what one schedule, or many together, have shown. Values are fractions of the value that an optimal plan would have served.
type Outcome struct {
	Schedules             int     `json:"schedules"`
	Events                int     `json:"events"` // zones that were lost, degraded or returned
	Plans                 int     `json:"plans"`  // that failover leaders made
	Leaders               int     `json:"directors"`
	Rejected              int     `json:"refused"`   // plans that nodes did not take up, as they had newer ones
	PlanRegressions       int     `json:"backwards"` // plans that were taken up after newer ones
	GrowthViolations      int     `json:"jumps"`     // plans by which a zone's traffic was to grow faster than allowed
	AbruptFades           int     `json:"cliffs"`    // choices of nodes that changed by a tenth within a step without a new plan
	ServedValue           float64 `json:"worth"`     // from 10 s after an event to the next event
	OverallValue          float64 `json:"whole"`     // over all the time
	ValueWithoutAgents    float64 `json:"alone"`     // from when all agents have died and their last plan has no effect any more
	AllAgentsDied         int     `json:"died"`      // schedules in which all agents die
	CrossZoneShare        float64 `json:"crossing"`  // the part of all traffic that was sent to other zones, in the times of ServedValue
	OptimalCrossZoneShare float64 `json:"needed"`    // the part that the optimal plan sends to other zones then
	Reversals             int     `json:"turns"`     // changes of direction of that part, by a twentieth of all traffic or more
	FirstViolation        int64   `json:"first,omitempty"`
}

// Violations is how often an invariant was broken.
func (o Outcome) Violations() int { return o.PlanRegressions + o.GrowthViolations + o.AbruptFades }

// RunSchedules plays the schedules of consecutive seeds on all cores. Fractions are means.
func RunSchedules(ctx context.Context, first uint64, schedules int, without Ablation) (sum Outcome, err error) {
	all, err := stats.Play(ctx, schedules, func(i int) Outcome { return RunSchedule(first+uint64(i), without) })
	if err != nil {
		return sum, err
	}
	alone := 0.0
	for i, outcome := range all {
		if outcome.AllAgentsDied > 0 {
			alone += outcome.ValueWithoutAgents
		}
		if outcome.Violations() > 0 && sum.Violations() == 0 {
			sum.FirstViolation = int64(first) + int64(i)
		}
		stats.Add(&sum, outcome, 1/float64(schedules))
	}
	sum.ValueWithoutAgents = alone / max(float64(sum.AllAgentsDied), 1) // the mean of those schedules only
	return sum, nil
}
