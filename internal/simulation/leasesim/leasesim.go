// Package leasesim simulates internal/lease in virtual time: a group whose leaders change, holders whose clocks are
// wrong and whose processes are stopped, a network that loses, delays and repeats messages, and the target that the
// holders act on. All random choices are drawn from a seed, so that a schedule that breaks an invariant can be
// repeated.
package leasesim

import (
	"context"
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/stats"
)

// Ablation selects the safety mechanisms that a schedule leaves out, to show that the checks detect their absence.
type Ablation struct {
	Guard       bool // holders act whenever they believe that they hold the lease
	Fence       bool // the target admits every action
	Clock       bool // holders count the duration of a grant from the response instead of the request
	ReleaseWait bool // holders release a lease while an action may still be in progress
	Sync        bool // members' disks lose their last writes when the process dies
}

// Faults are the kinds of faults that occur in one schedule.
type Faults struct {
	Stops   bool // holders are stopped, also between check and action
	Kills   bool // holders die, and start again without any state
	Clocks  bool // holders' clocks differ by far more than the terms allow
	Network bool // losses, repeats and long delays between holders and group
	Late    bool // losses, repeats and long delays between holders and target
	Leaders bool // leaders die; the next one starts from a snapshot
	// Faults of a group of members:
	Down    bool // one member dies, or all do, also during a write
	Cuts    bool // links between members are cut: all of one member, one direction, all but a bridge, or repeatedly
	Lossy   bool // messages between members are lost, repeated and delayed
	Paused  bool // members are stopped
	Changes bool // members are replaced
}

// Outcome is the result of one schedule, or the sum over many.
type Outcome struct {
	Schedules            int   `json:"schedules"`
	Actions              int   `json:"acts"`     // actions that the target admitted
	StaleRejections      int   `json:"old"`      // actions rejected for a stale token
	Busy                 int   `json:"busy"`     // actions rejected as an earlier one was in progress
	Withheld             int   `json:"withheld"` // actions that holders did not start, as their lease was uncertain
	Grants               int   `json:"grants"`
	Leaders              int   `json:"leaders"`
	Kills                int   `json:"kills"`           // deaths of holders with a grant
	Overlaps             int   `json:"overlaps"`        // pairs of actions in progress on one slot under different tokens
	TokenRegressions     int   `json:"backwards"`       // actions admitted after one with a newer token
	Idle                 int   `json:"idle"`            // schedules in which no holder acted after the faults
	UnexpectedRejections int   `json:"unneeded"`        // actions rejected where the guard alone must be enough
	DuplicateGrants      int   `json:"twice"`           // tokens that were granted to two requests
	Disagreements        int   `json:"split"`           // members whose states disagree, and runs that raft aborted
	Faults               int   `json:"faults"`          // faults injected among members
	Changes              int   `json:"changes"`         // replacements of members that the removed member learned of
	FirstViolation       int64 `json:"first,omitempty"` // seed of the first schedule with a violation
}

// Violations returns the number of times that an invariant was broken.
func (o Outcome) Violations() int {
	return o.Overlaps + o.TokenRegressions + o.Idle + o.UnexpectedRejections + o.DuplicateGrants + o.Disagreements
}

// Gaps are the durations for which a lease had no holder or the group had no leader.
type Gaps struct {
	All            []time.Duration // from a holder's death to the next holder's first action on the slot
	Undisturbed    []time.Duration // those of All in schedules with one slot and no other fault
	LeaderElection []time.Duration // from a leading member's death to the next leader
}

// Takeovers are histograms of the fields of Gaps, in ms.
type Takeovers struct{ All, Undisturbed, LeaderElection *hdrhistogram.Histogram }

const histogramDigits = 3

// RunSchedules runs the schedules of consecutive seeds on all cores, and returns the sum of their outcomes and the
// histograms of their gaps.
func RunSchedules(ctx context.Context, first uint64, schedules int, without Ablation, members int) (sum Outcome, takeovers Takeovers, err error) {
	type scheduleResult struct {
		outcome Outcome
		gaps    Gaps
	}
	all, err := stats.RunParallel(ctx, schedules, func(i int) (result scheduleResult) {
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
