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
	plan, err := loadPlan(cmd)
	if err != nil {
		return err
	}
	s := load.SearchOptions{
		Objective:     load.Objective{P99: cmd.Duration("p99"), MaxRejectedShare: cmd.Float("rejected")},
		MinRate:       cmd.Float("from"),
		MaxRate:       cmd.Float("to"),
		Tolerance:     cmd.Float("close"),
		Confirmations: cmd.Int("confirmations"),
	}
	if s.MinRate <= 0 || s.MaxRate < s.MinRate || s.Tolerance <= 0 || s.Confirmations < 1 {
		return fmt.Errorf("find: --from, --to, --close and --confirmations must be above 0, and --to not below --from")
	}
	found, err := load.FindMaxRate(ctx, s, func(ctx context.Context, perS float64) (*load.Result, error) {
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
	t := table(cmd)
	writeln(t, "calls/s\tp99 ms\tnot served\twithin bounds")
	for _, st := range found.Steps {
		invalid := map[bool]string{true: " INVALID"}[st.Invalid != ""]
		writef(t, "%.0f\t%.1f\t%.4f\t%v%s\n", st.PerS, st.P99, st.RejectedShare, st.WithinBounds, invalid)
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
		return negativeAnswer("not even %.0f calls/s keeps p99 within %v and %.1f%% not served", s.MinRate, s.P99, 100*s.MaxRejectedShare)
	case found.High == 0:
		writef(out, "at least %.0f calls/s (within bounds in %s)\n", found.Low, found.LowConfidence)
	default:
		writef(out, "%.0f calls/s (within bounds in %s); not %.0f (beyond them in %s)\n", found.Low, found.LowConfidence, found.High, found.HighConfidence)
	}
	return nil
}
