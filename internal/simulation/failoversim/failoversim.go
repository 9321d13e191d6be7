// Package failoversim simulates internal/failover in virtual time: zones that are lost, degraded and restored, nodes
// that send digests and apply plans, agents that lead the failover and are stopped, cut off and replaced, and a
// network that loses, delays and repeats messages. Traffic is modelled as a fluid: the part that exceeds a zone's
// capacity is lost. All random choices are drawn from a seed, so that a schedule can be repeated.
package failoversim

import (
	"context"

	"tulipglade/internal/simulation/stats"
)

// Ablation selects the mechanism that a schedule leaves out, to show that the checks detect its absence.
type Ablation struct {
	Token bool // nodes apply plans in any order
	Rate  bool // plans move all traffic to its target at once
	Fade  bool // a plan that is too old loses its whole weight at once
	Plans bool // no agent makes plans: nodes choose zones by themselves
}

// Outcome is the result of one schedule, or the sum over many. Values are fractions of the value that an optimal plan
// would have served.
type Outcome struct {
	Schedules             int     `json:"schedules"`
	Events                int     `json:"events"`          // losses, degradations and returns of zones
	Plans                 int     `json:"plans"`           // plans that failover leaders made
	Leaders               int     `json:"directors"`       // times that an agent acquired the lease of the failover leader
	Rejected              int     `json:"refused"`         // plans that nodes rejected, since they had newer ones
	PlanRegressions       int     `json:"backwards"`       // plans that nodes applied after newer ones
	GrowthViolations      int     `json:"jumps"`           // zones whose traffic a plan increased faster than allowed
	AbruptFades           int     `json:"cliffs"`          // steps in which a fading plan moved a share by over 0.05
	ServedValue           float64 `json:"worth"`           // value served from 10 s after an event to the next event
	OverallValue          float64 `json:"whole"`           // value served from 5 s on until the agents die
	ValueWithoutAgents    float64 `json:"alone"`           // value served after the last plan of dead agents faded
	AllAgentsDied         int     `json:"died"`            // schedules in which all agents died
	CrossZoneShare        float64 `json:"crossing"`        // share sent to other zones, in the times of ServedValue
	OptimalCrossZoneShare float64 `json:"needed"`          // share that the optimal plan sends there in these times
	Reversals             int     `json:"turns"`           // changes of direction of CrossZoneShare, by over 0.05
	FirstViolation        int64   `json:"first,omitempty"` // seed of the first schedule with a violation
}

// Violations returns the number of times that an invariant was broken.
func (o Outcome) Violations() int { return o.PlanRegressions + o.GrowthViolations + o.AbruptFades }

// RunSchedules runs the schedules of consecutive seeds on all cores, and returns the sum of their outcomes. Fractions
// are means over the schedules.
func RunSchedules(ctx context.Context, first uint64, schedules int, without Ablation) (sum Outcome, err error) {
	all, err := stats.RunParallel(ctx, schedules, func(i int) Outcome { return RunSchedule(first+uint64(i), without) })
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
	sum.ValueWithoutAgents = alone / max(float64(sum.AllAgentsDied), 1) // mean over the schedules in which all agents died
	return sum, nil
}
