package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/failoversim"
)

func simulateFailoverCommand() *cli.Command {
	return &cli.Command{
		Name:   "failover",
		Usage:  "simulate failover between zones; exit 1 if an invariant is violated",
		Action: simulateFailover,
		Flags: []cli.Flag{
			seedFlag(),
			schedulesFlag(5000),
			&cli.StringFlag{Name: "without", Usage: "leave out a safeguard, `PART`: token, rate, fade or plans"},
			jsonFlag,
		},
	}
}

func simulateFailover(ctx context.Context, cmd *cli.Command) error {
	schedules, without, err := parseScheduleFlags(cmd, map[string]failoversim.Ablation{
		"":      {},
		"token": {Token: true},
		"rate":  {Rate: true},
		"fade":  {Fade: true},
		"plans": {Plans: true},
	})
	if err != nil {
		return err
	}
	outcome, err := failoversim.RunSchedules(ctx, cmd.Uint64("seed"), schedules, without)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, outcome)
	} else {
		t := newTable(cmd)
		printCounters(t, []counter{
			{"schedules", outcome.Schedules},
			{"events", outcome.Events},
			{"plans", outcome.Plans},
			{"failover leaders", outcome.Leaders},
			{"schedules in which all failover leaders stop", outcome.AllAgentsDied},
			{"plans rejected because a newer one was in effect", outcome.Rejected},
			{"changes of direction", outcome.Reversals},
			{"PLANS APPLIED AFTER NEWER ONES", outcome.PlanRegressions},
			{"ZONES THAT GREW FASTER THAN ALLOWED", outcome.GrowthViolations},
			{"PLANS THAT EXPIRED WITHOUT A FADE", outcome.AbruptFades},
		})
		writef(t, "value served, of the optimum's, from 10 s after each event\t%.4f\n", outcome.ServedValue)
		writef(t, "the same over the whole time\t%.4f\n", outcome.OverallValue)
		writef(t, "the same when all failover leaders have stopped\t%.4f\n", outcome.ValueWithoutAgents)
		writef(t, "traffic between zones from 10 s after each event, and the optimum's\t%.4f, %.4f\n", outcome.CrossZoneShare, outcome.OptimalCrossZoneShare)
		err = t.Flush()
	}
	if err != nil {
		return err
	}
	return violationError(outcome.Violations(), outcome.FirstViolation)
}
