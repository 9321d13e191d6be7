// Package leasesim plays internal/lease in virtual time: a group whose leaders come and go, holders whose clocks are wrong and whose
// processes are stopped, a network that loses, delays and repeats messages, and the target that the holders act on. Everything is drawn
// from a seed, so a schedule that breaks an invariant can be repeated.
package leasesim

import (
	"context"
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/stats"
)

// Ablation names a safety mechanism that is left out, to show that the checks find its absence.
type Ablation struct {
	Guard       bool // holders act whenever they believe that they hold the lease
	Fence       bool // the target admits every action
	Clock       bool // the duration of a grant is counted from its response, not from the request
	ReleaseWait bool // holders release a lease while an action may still be on its way
	Sync        bool // members' disks lose their last writes when the process dies
}

// Faults are the kinds of faults of one schedule.
type Faults struct {
	Stops   bool // holders are stopped, also between check and action
	Kills   bool // holders die, and start again without any state
	Clocks  bool // holders' clocks differ by far more than the terms allow
	Network bool // losses, repeats and long delays between holders and group
	Late    bool // the same between holders and target
	Leaders bool // leaders die; the group goes on from a snapshot
	// Of a group of members:
	Down    bool // members die, one or all, also during a write
	Cuts    bool // links between members are cut: all of one member, one direction, all but a bridge, or repeatedly
	Lossy   bool // messages between members are lost, repeated and delayed
	Paused  bool // members are stopped
	Changes bool // members are replaced
}

// Outcome is what one schedule, or many together, have shown.
type Outcome struct {
	Schedules            int   `json:"schedules"`
	Actions              int   `json:"acts"`     // actions that the target admitted
	StaleRejections      int   `json:"old"`      // actions rejected for their token
	Busy                 int   `json:"busy"`     // actions rejected as an earlier one was in progress
	Withheld             int   `json:"withheld"` // actions that holders did not start, as their lease was uncertain
	Grants               int   `json:"grants"`
	Leaders              int   `json:"leaders"`
	Kills                int   `json:"kills"`     // of holders with a grant
	Overlaps             int   `json:"overlaps"`  // of two actions on one slot under different tokens
	TokenRegressions     int   `json:"backwards"` // actions admitted under an older token than one before
	Idle                 int   `json:"idle"`      // schedules after whose faults no holder acted
	UnexpectedRejections int   `json:"unneeded"`  // actions rejected for their token in schedules where the guard alone must be enough
	DuplicateGrants      int   `json:"twice"`     // tokens that were granted to two requests
	Disagreements        int   `json:"split"`     // members that disagree, or could not go on
	Faults               int   `json:"faults"`    // among members
	Changes              int   `json:"changes"`   // completed replacements of members of which the removed member was notified
	FirstViolation       int64 `json:"first,omitempty"`
}

// Violations is how often an invariant was broken.
func (o Outcome) Violations() int {
	return o.Overlaps + o.TokenRegressions + o.Idle + o.UnexpectedRejections + o.DuplicateGrants + o.Disagreements
}

// Gaps are the times that leases and the group were without a holder or a leader.
type Gaps struct {
	All            []time.Duration // from a holder's death to the next holder's first action on the slot
	Undisturbed    []time.Duration // the same, of schedules without any other fault and with one slot
	LeaderElection []time.Duration // from a leading member's death to the next leader
}

// Takeovers are histograms of gaps, in ms.
type Takeovers struct{ All, Undisturbed, LeaderElection *hdrhistogram.Histogram }

const histogramDigits = 3

// RunSchedules plays the schedules of consecutive seeds on all cores.
func RunSchedules(ctx context.Context, first uint64, schedules int, without Ablation, members int) (sum Outcome, takeovers Takeovers, err error) {
	type scheduleResult struct {
		outcome Outcome
		gaps    Gaps
	}
	all, err := stats.Play(ctx, schedules, func(i int) (result scheduleResult) {
		result.outcome, result.gaps = RunSchedule(first+uint64(i), without, members)
		return result
	})
	if err != nil {
		return sum, takeovers, err
	}
	takeovers = Takeovers{All: newHistogram(), Undisturbed: newHistogram(), LeaderElection: newHistogram()}
	for i, result := range all {
		err = errors.Join(err, record(takeovers.All, result.gaps.All), record(takeovers.Undisturbed, result.gaps.Undisturbed), record(takeovers.LeaderElection, result.gaps.LeaderElection))
		if result.outcome.Violations() > 0 && sum.Violations() == 0 {
			sum.FirstViolation = int64(first) + int64(i)
		}
		stats.Add(&sum, result.outcome, 0)
	}
	return sum, takeovers, err
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, scheduleLength.Milliseconds(), histogramDigits)
}

func record(histogram *hdrhistogram.Histogram, gaps []time.Duration) (err error) {
	for _, gap := range gaps {
		err = errors.Join(err, histogram.RecordValue(gap.Milliseconds()))
	}
	return err
}
