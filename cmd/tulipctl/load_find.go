package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/load"
)

func findRateCommand() *cli.Command {
	return &cli.Command{
		Name:      "find",
		Usage:     "find the highest rate at which p99 and the fraction of calls not served stay within bounds",
		Arguments: fileArguments(),
		ArgsUsage: "SCENARIO",
		Action:    findRate,
		Flags: loadFlags(
			&cli.FloatFlag{Name: "from", Value: 100, Usage: "lowest rate `X`"},
			&cli.FloatFlag{Name: "to", Value: 100000, Usage: "highest rate `X`"},
			&cli.DurationFlag{Name: "p99", Value: 50 * time.Millisecond, Usage: "bound `TIME` of p99"},
			&cli.FloatFlag{Name: "rejected", Value: 0.01, Usage: "bound `X` of the fraction not served"},
			&cli.FloatFlag{Name: "close", Value: 0.05, Usage: "relative width `X` of the bracket at which the search ends"},
			&cli.IntFlag{Name: "confirmations", Value: 3, Usage: "`N` runs at each end of the bracket"},
		),
	}
}

func findRate(ctx context.Context, cmd *cli.Command) error {
	plan, err := readLoadPlan(cmd)
	if err != nil {
		return err
	}
	options := load.SearchOptions{
		Objective:     load.Objective{P99: cmd.Duration("p99"), MaxRejectedShare: cmd.Float("rejected")},
		MinRate:       cmd.Float("from"),
		MaxRate:       cmd.Float("to"),
		Tolerance:     cmd.Float("close"),
		Confirmations: cmd.Int("confirmations"),
	}
	if options.MinRate <= 0 || options.MaxRate < options.MinRate || options.Tolerance <= 0 || options.Confirmations < 1 {
		return fmt.Errorf("find: --from, --to, --close and --confirmations must be above 0, and --to not below --from")
	}
	found, err := load.FindMaxRate(ctx, options, func(ctx context.Context, perS float64) (*load.Result, error) {
		sc := *plan.Scenario
		sc.Load.PerS, sc.Load.Shape = perS, "steady"
		p := plan
		p.Scenario = &sc
		return load.Run(ctx, p)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, found)
	}
	t := newTable(cmd)
	writeln(t, "calls/s\tp99 ms\tnot served\twithin bounds")
	for _, step := range found.Steps {
		invalid := map[bool]string{true: " INVALID"}[step.Invalid != ""]
		writef(t, "%.0f\t%.1f\t%.4f\t%v%s\n", step.PerS, step.P99, step.RejectedShare, step.WithinBounds, invalid)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	out := cmd.Root().Writer
	if found.Limit != "" {
		writeln(out, found.Limit)
	}
	switch {
	case found.Low == 0:
		return negativeAnswer("not even %.0f calls/s keeps p99 within %v and %.1f%% not served", options.MinRate, options.P99, 100*options.MaxRejectedShare)
	case found.High == 0:
		writef(out, "at least %.0f calls/s (within bounds in %s)\n", found.Low, found.LowConfidence)
	default:
		writef(out, "%.0f calls/s (within bounds in %s); not %.0f (beyond them in %s)\n", found.Low, found.LowConfidence, found.High, found.HighConfidence)
	}
	return nil
}
