package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/experiment"
)

func verifySimulationCommand() *cli.Command {
	return &cli.Command{
		Name:   "verify",
		Usage:  "compare the emulator with queueing theory; exit 1 beyond the bound",
		Action: verifySimulation,
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "bound", Value: 0.02, Usage: "largest relative error `X`"},
			&cli.FloatFlag{Name: "effort", Value: 1, Usage: "factor `X` on the number of jobs; 1 takes minutes"},
			jsonFlag,
		},
	}
}

func verifySimulation(ctx context.Context, cmd *cli.Command) error {
	if cmd.Float("bound") <= 0 || cmd.Float("effort") <= 0 {
		return fmt.Errorf("verify: --bound and --effort must be above 0")
	}
	checks, err := experiment.Verify(ctx, cmd.Float("effort"), cmd.Float("bound"), newProgressBar(cmd.Root().ErrWriter, "verify"))
	if err != nil {
		return err
	}
	beyond := 0
	for _, c := range checks {
		if !c.OK {
			beyond++
		}
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, checks); err != nil {
			return err
		}
	} else {
		t := newTable(cmd)
		writeln(t, "figure\tmodel\ttheory\terror\t")
		for _, c := range checks {
			verdict := ""
			if !c.OK {
				verdict = "BEYOND"
			}
			writef(t, "%s\t%.5f\t%.5f\t%+.2f%%\t%s\n", c.Name, c.Model, c.Theory, 100*c.Error, verdict)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if beyond > 0 {
		return negativeAnswer("%d of %d figures lie beyond %.1f%%", beyond, len(checks), 100*cmd.Float("bound"))
	}
	return nil
}
