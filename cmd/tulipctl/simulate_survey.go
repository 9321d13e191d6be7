package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/experiment"
)

func surveyCommand() *cli.Command {
	return &cli.Command{
		Name:   "survey",
		Usage:  "run random deployments within the protocol's limits; exit 1 if the decision module fails one",
		Action: surveyDeployments,
		Flags: []cli.Flag{
			seedFlag(),
			&cli.IntFlag{Name: "draws", Value: 300, Usage: "number `N` of deployments, with consecutive seeds from --seed"},
			&cli.FloatFlag{Name: "margin", Value: 0.02, Usage: "by how much less value the module may serve than " + experiment.Baseline},
			jsonFlag,
		},
	}
}

func surveyDeployments(ctx context.Context, cmd *cli.Command) error {
	draws, margin := cmd.Int("draws"), cmd.Float("margin")
	if draws < 1 || margin < 0 {
		return fmt.Errorf("survey: --draws must be above 0, and --margin must not be negative")
	}
	seeds := make([]uint64, draws)
	for i := range seeds {
		seeds[i] = cmd.Uint64("seed") + uint64(i)
	}
	all, err := experiment.Survey(ctx, seeds, margin, newProgressBar(cmd.Root().ErrWriter, "survey"))
	if err != nil {
		return err
	}
	var failed []experiment.SurveyResult
	for _, d := range all {
		if d.Fault != "" {
			failed = append(failed, d)
		}
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, all); err != nil {
			return err
		}
	} else {
		t := newTable(cmd)
		writef(t, "seed\tmodule\t%s\tfails by\tsettings needed to fail\n", experiment.Baseline)
		for _, d := range failed {
			writef(t, "%d\t%.3f\t%.3f\t%s %v\t%s\n",
				d.Seed, d.Module, d.Baseline, d.Fault, d.Broken, strings.Join(d.RaisedSettings, "; "))
		}
		if err := t.Flush(); err != nil {
			return err
		}
		writef(cmd.Root().Writer, "%d draws, %d failed\n", draws, len(failed))
	}
	if len(failed) > 0 {
		return negativeAnswer("%d of %d deployments fail", len(failed), draws)
	}
	return nil
}
