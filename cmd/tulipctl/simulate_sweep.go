package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/experiment"
	"tulipglade/internal/simulation/plots"
)

func sweepCommand() *cli.Command {
	return &cli.Command{
		Name:      "sweep",
		Usage:     "run a grid of scenarios on all cores; an interrupted sweep resumes",
		Arguments: fileArguments(),
		ArgsUsage: "FILE",
		Action:    runSweep,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the results as JSON lines"},
			&cli.StringFlag{Name: "csv", Usage: "`FILE` for the results as CSV"},
			jsonFlag,
		},
	}
}

func compareResultsCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare results paired by seed; each is FILE or FILE@POLICY",
		ArgsUsage: "A B",
		Arguments: []cli.Argument{&cli.StringArg{Name: "a"}, &cli.StringArg{Name: "b"}},
		Action:    compareResults,
		Flags: []cli.Flag{
			jsonFlag,
			&cli.StringSliceFlag{
				Name:  "metric",
				Value: []string{"score"},
				Usage: "`NAME` of a metric, repeatable, of: " + strings.Join(experiment.MetricNames(), ", "),
			},
		},
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw a metric of a sweep against a field that it varies",
		Arguments: fileArguments(),
		ArgsUsage: "RESULTS",
		Action:    plotSweep,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "field", Required: true, Usage: "dotted `PATH` of the scenario's field"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the plot, .svg or .png"},
			&cli.StringFlag{Name: "metric", Value: "worth", Usage: "`NAME` of the metric"},
		},
	}
}

func runSweep(ctx context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	sweep, err := experiment.LoadSweep(name)
	if err != nil {
		return err
	}
	cells, hash, err := sweep.Cells(filepath.Dir(name))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	rows, err := experiment.RunAll(ctx, cells, hash, cmd.String("out"), newProgressBar(cmd.Root().ErrWriter, name))
	if err != nil {
		return err
	}
	if file := cmd.String("csv"); file != "" {
		var encoded bytes.Buffer
		if err := experiment.WriteCSV(&encoded, rows); err != nil {
			return err
		}
		if err := os.WriteFile(file, encoded.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, rows)
	}
	return printSweep(cmd, rows)
}

// printSweep prints a table with the mean of each metric over the seeds, one row for each cell of the grid.
func printSweep(cmd *cli.Command, rows []experiment.Row) error {
	metrics := []string{"score", "worth", "worst_window", "waste", "cross_site", "p99_ms", "rules_broken"}
	t := newTable(cmd)
	write(t, "policy")
	for _, v := range rows[0].Set {
		write(t, "\t", v.Field)
	}
	writeln(t, "\truns\t"+strings.Join(metrics, "\t"))
	for len(rows) > 0 {
		count := countSameCell(rows)
		write(t, rows[0].Policy)
		for _, v := range rows[0].Set {
			write(t, "\t", v.Value)
		}
		writef(t, "\t%d", count)
		for _, metric := range metrics {
			sum := 0.0
			for _, row := range rows[:count] {
				sum += experiment.Metrics[metric](row.Result)
			}
			writef(t, "\t%.3f", sum/float64(count))
		}
		writeln(t)
		rows = rows[count:]
	}
	return t.Flush()
}

// countSameCell returns the number of leading rows that belong to the same cell, that is, differ only in their seeds.
func countSameCell(rows []experiment.Row) int {
	first, count := rows[0], 0
	for count < len(rows) && rows[count].Policy == first.Policy && fmt.Sprint(rows[count].Set) == fmt.Sprint(first.Set) {
		count++
	}
	return count
}

// readRows reads the results that an argument of the form FILE or FILE@POLICY selects. Without a policy, all results
// in the file must be of the same policy.
func readRows(arg string) ([]experiment.Row, error) {
	file, policyName, selected := strings.Cut(arg, "@")
	rows, err := experiment.ReadRows(file)
	if err != nil {
		return nil, err
	}
	if selected {
		rows = experiment.OfPolicy(rows, policyName)
		if len(rows) == 0 {
			return nil, fmt.Errorf("%s: the file holds no run of policy %q", file, policyName)
		}
		return rows, nil
	}
	for _, r := range rows {
		if r.Policy != rows[0].Policy {
			return nil, fmt.Errorf("%s: holds runs of several policies: say which, as %s@%s", file, file, r.Policy)
		}
	}
	return rows, nil
}

func compareResults(_ context.Context, cmd *cli.Command) error {
	if cmd.StringArg("a") == "" || cmd.StringArg("b") == "" {
		return fmt.Errorf("compare: the two arguments A and B, files of results, are required")
	}
	a, err := readRows(cmd.StringArg("a"))
	if err != nil {
		return err
	}
	b, err := readRows(cmd.StringArg("b"))
	if err != nil {
		return err
	}
	var all []experiment.Comparison
	for _, metric := range cmd.StringSlice("metric") {
		c, err := experiment.Compare(a, b, metric)
		if err != nil {
			return err
		}
		all = append(all, c)
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := newTable(cmd)
	writeln(t, "metric\tpairs\tA\tB\tA - B\t95% interval\tA above\tA below\tsignificant")
	for _, c := range all {
		significant := "no"
		if c.Significant() {
			significant = "yes"
		}
		writef(t, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d\t%d\t%s\n", c.Metric, c.Pairs, c.A, c.B, c.Diff, c.Low, c.High,
			c.Higher, c.Lower, significant)
	}
	return t.Flush()
}

func plotSweep(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	rows, err := experiment.ReadRows(name)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return fmt.Errorf("%s: the file holds no runs", name)
	}
	return plots.Against(cmd.String("out"), rows, cmd.String("field"), cmd.String("metric"))
}
