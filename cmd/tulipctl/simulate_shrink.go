package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/experiment"
	"tulipglade/internal/simulation/scenario"
)

func shrinkCommand() *cli.Command {
	return &cli.Command{
		Name:      "shrink",
		Usage:     "reduce a case that violates an invariant to the fewest faults and calls",
		Arguments: fileArguments(),
		ArgsUsage: "FILE",
		Action:    shrinkScenario,
		Flags: []cli.Flag{
			seedFlag(),
			policyFlag(),
			&cli.IntFlag{Name: "runs", Value: 2000, Usage: "at most `N` runs"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the reduced scenario; default: standard output"},
		},
	}
}

func shrinkScenario(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	names, err := selectedPolicies(cmd)
	if err != nil {
		return err
	}
	if len(names) != 1 {
		return fmt.Errorf("shrink: --policy: one policy at a time, not %d", len(names))
	}
	sc, err := scenario.Read(name)
	if err != nil {
		return err
	}
	s, err := experiment.Shrink(sc, names[0], cmd.Uint64("seed"), cmd.Int("runs"))
	if errors.Is(err, experiment.ErrNoViolation) {
		return negativeAnswer("%s, policy %s, seed %d: %w", sc.Name, names[0], cmd.Uint64("seed"), err)
	}
	if err != nil {
		return err
	}
	text, err := s.Scenario.Text()
	if err != nil {
		return err
	}
	if out := cmd.String("out"); out != "" {
		if err := os.WriteFile(out, text, 0o644); err != nil {
			return err
		}
	} else if _, err := cmd.Root().Writer.Write(text); err != nil {
		return err
	}
	writef(cmd.Root().ErrWriter, "%s still broken after %d runs: faults %d to %d, calls %d to %d, seconds %.1f to %.1f\n%v\n",
		s.Rule, s.Runs, s.Faults[0], s.Faults[1], s.Calls[0], s.Calls[1], s.Seconds[0], s.Seconds[1], s.Violation)
	return nil
}
