package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/load"
)

func compareTargetsCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "run the same schedule against several targets in turn, each NAME=ADDRESS or NAME=ADDRESS,PID",
		Arguments: fileArguments(),
		ArgsUsage: "SCENARIO",
		Action:    compareTargets,
		Flags:     loadFlags(rateFlag(), &cli.IntFlag{Name: "rounds", Value: 5, Usage: "`N` runs of each target"}),
	}
}

func compareTargets(ctx context.Context, cmd *cli.Command) error {
	plan, err := readLoadPlan(cmd)
	if err != nil {
		return err
	}
	var contenders []load.Contender
	for _, text := range cmd.StringSlice("target") { // commas separate values, so NAME=ADDRESS,PID is split in two
		if pid, err := strconv.Atoi(text); err == nil && len(contenders) > 0 {
			contenders[len(contenders)-1].Pid = pid
			continue
		}
		name, addr, ok := strings.Cut(text, "=")
		if !ok {
			return fmt.Errorf("compare: --target: %q is not NAME=ADDRESS", text)
		}
		contenders = append(contenders, load.Contender{Name: name, Addr: addr})
	}
	all, err := load.Compare(ctx, contenders, cmd.Int("rounds"), func(ctx context.Context, addr string) (*load.Result, error) {
		p := plan
		p.Targets = []string{addr}
		return load.Run(ctx, p)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := newTable(cmd)
	formatSpread := func(s load.Spread, digits int) string {
		return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Median, digits, s.Min, digits, s.Max)
	}
	writeln(t, "target\tµs CPU per call\tratio\tp50 ms\tp99 ms\tratio\tnot served\tpeak MB\tinvalid rounds")
	invalid := 0
	for _, s := range all {
		writef(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%d\n", s.Name, formatSpread(s.CPUPerCall, 1), formatSpread(s.CPURatio, 2), formatSpread(s.P50, 2), formatSpread(s.P99, 2),
			formatSpread(s.P99Ratio, 2), formatSpread(s.NotServed, 4), s.PeakMB, s.Invalid)
		invalid += s.Invalid
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if invalid > 0 {
		return &exitError{exitInvalid, fmt.Errorf("%d rounds are invalid: the load generator did not keep its schedule", invalid)}
	}
	return nil
}
