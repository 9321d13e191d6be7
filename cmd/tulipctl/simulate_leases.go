package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/leasesim"
)

func simulateLeasesCommand() *cli.Command {
	return &cli.Command{
		Name:   "leases",
		Usage:  "simulate leases under faults between processes; exit 1 if an invariant is violated",
		Action: simulateLeases,
		Flags: []cli.Flag{
			seedFlag(),
			schedulesFlag(10000),
			&cli.StringFlag{Name: "without", Usage: "leave out a safeguard, `PART`: guard, fence, clock, free or sync"},
			&cli.IntFlag{Name: "members", Usage: "number `N` of group members with a disk each; 0: leaders that share one state"},
			jsonFlag,
		},
	}
}

// maxMembers is the largest number of members in a group of agents that tulipctl simulates or measures.
const maxMembers = 9

func simulateLeases(ctx context.Context, cmd *cli.Command) error {
	schedules, without, err := parseScheduleFlags(cmd, map[string]leasesim.Ablation{
		"":      {},
		"guard": {Guard: true},
		"fence": {Fence: true},
		"clock": {Clock: true},
		"free":  {ReleaseWait: true},
		"sync":  {Sync: true},
	})
	if err != nil {
		return err
	}
	members := cmd.Int("members")
	if members < 0 || members > maxMembers || members == 0 && without.Sync {
		return fmt.Errorf("leases: --members: %d must be 0 to %d, and above 0 with --without sync, since only members have disks", members, maxMembers)
	}
	outcome, latencies, err := leasesim.RunSchedules(ctx, cmd.Uint64("seed"), schedules, without, members)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, outcome)
	} else {
		t := newTable(cmd)
		printCounters(t, []counter{
			{"schedules", outcome.Schedules},
			{"grants", outcome.Grants},
			{"leaders", outcome.Leaders},
			{"holders killed", outcome.Kills},
			{"actions admitted", outcome.Actions},
			{"actions withheld by uncertain holders", outcome.Withheld},
			{"actions rejected by their fencing token", outcome.StaleRejections},
			{"actions rejected because an earlier one was running", outcome.Busy},
			{"OVERLAPS", outcome.Overlaps},
			{"OLDER AFTER NEWER", outcome.TokenRegressions},
			{"REJECTED ALTHOUGH THE GUARD SUFFICES", outcome.UnexpectedRejections},
			{"faults among members", outcome.Faults},
			{"membership changes", outcome.Changes},
			{"TOKENS GRANTED TWICE", outcome.DuplicateGrants},
			{"MEMBERS THAT DISAGREE", outcome.Disagreements},
			{"NO ACTIONS AFTER THE FAULTS", outcome.Idle},
		})
		printQuantiles(t, "from a holder's end to its successor's first action", latencies.All)
		printQuantiles(t, "the same without other faults", latencies.Undisturbed)
		printQuantiles(t, "from a leading member's end to the next leader", latencies.LeaderElection)
		err = t.Flush()
	}
	if err != nil {
		return err
	}
	return violationError(outcome.Violations(), outcome.FirstViolation)
}
