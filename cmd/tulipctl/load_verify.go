package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/load"
)

func verifyLoadCommand() *cli.Command {
	return &cli.Command{
		Name:   "verify",
		Usage:  "compare the generator's figures with fakes of known delays; exit 1 beyond the bound",
		Action: verifyLoad,
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "per-s", Value: 1000, Usage: "rate of `X` calls per second"},
			&cli.FloatFlag{Name: "seconds", Value: 10, Usage: "length `X` of each run"},
			&cli.DurationFlag{Name: "bound", Value: time.Millisecond, Usage: "largest error `TIME`"},
			jsonFlag,
		},
	}
}

func verifyLoad(ctx context.Context, cmd *cli.Command) error {
	checks, runs, err := load.Verify(ctx, cmd.Float("per-s"), cmd.Float("seconds"), cmd.Duration("bound"))
	if err != nil {
		return err
	}
	beyond := 0
	t := newTable(cmd)
	writeln(t, "figure\treported ms\tknown ms\terror ms\t")
	for _, c := range checks {
		verdict := ""
		if !c.Passed {
			verdict = "BEYOND"
			beyond++
		}
		writef(t, "%s\t%.3f\t%.3f\t%+.3f\t%s\n", c.Name, c.Got, c.Want, c.Got-c.Want, verdict)
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, checks)
	} else {
		err = t.Flush()
	}
	if err != nil {
		return err
	}
	if err := validityError(runs...); err != nil {
		return err
	}
	if beyond > 0 {
		return negativeAnswer("%d of %d figures are off by more than %v", beyond, len(checks), cmd.Duration("bound"))
	}
	return nil
}
