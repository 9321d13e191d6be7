package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/experiment"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/scenario"
)

func scenariosCommand() *cli.Command {
	return &cli.Command{
		Name:   "scenarios",
		Usage:  "list the built-in scenarios",
		Action: listScenarios,
		Flags:  []cli.Flag{jsonFlag},
	}
}

func showScenarioCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print a scenario with all defaults as TOML",
		Arguments: fileArguments(),
		ArgsUsage: "FILE",
		Action:    showScenario,
	}
}

func runScenarioCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run a scenario; exit 1 if an invariant is violated",
		Arguments: fileArguments(),
		ArgsUsage: "FILE",
		Action:    runScenario,
		Flags: []cli.Flag{
			seedFlag(),
			policyFlag(),
			jsonFlag,
			&cli.StringFlag{Name: "plots", Usage: "directory `DIR` for plots; default: none are drawn"},
			&cli.StringFlag{Name: "format", Value: "svg", Usage: "`FORMAT` of the plots: svg or png"},
			&cli.BoolFlag{Name: "log", Usage: "print the policies' log lines to standard error"},
		},
	}
}

func listScenarios(_ context.Context, cmd *cli.Command) error {
	type entry struct {
		Name  string `json:"name"`
		About string `json:"about"`
	}
	var entries []entry
	for _, name := range scenario.BuiltIn() {
		sc, err := scenario.Read(name)
		if err != nil {
			return err
		}
		entries = append(entries, entry{name, sc.About})
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, entries)
	}
	t := newTable(cmd)
	for _, e := range entries {
		writef(t, "%s\t%s\n", e.Name, e.About)
	}
	return t.Flush()
}

func showScenario(_ context.Context, cmd *cli.Command) error {
	sc, err := scenarioArgument(cmd)
	if err != nil {
		return err
	}
	text, err := sc.Text()
	if err != nil {
		return err
	}
	_, err = cmd.Root().Writer.Write(text)
	return err
}

func runScenario(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	names, err := selectedPolicies(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(name)
	if err != nil {
		return err
	}
	var results []*emulator.Result
	violations := 0
	withLog := func(simulation *emulator.Simulation) {
		if cmd.Bool("log") {
			simulation.Log = func(at int64, node int, text string) {
				writef(cmd.Root().ErrWriter, "%.6f node %d: %s\n", float64(at)/1e6, node, text)
			}
		}
	}
	for _, policyName := range names {
		result, err := experiment.Run(sc, policyName, cmd.Uint64("seed"), withLog)
		if err != nil {
			return err
		}
		results = append(results, result)
		violations += len(result.Broken)
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, results)
	} else {
		err = printResults(cmd, results)
	}
	if err != nil {
		return err
	}
	if dir := cmd.String("plots"); dir != "" {
		if err := drawResults(filepath.Join(dir, sc.Name), cmd.String("format"), results); err != nil {
			return err
		}
	}
	if violations > 0 {
		return negativeAnswer("%s: rules were broken; see above", sc.Name)
	}
	return nil
}

// drawResults writes the plots of service and of latency to the files base-service.FORMAT and base-latency.FORMAT.
func drawResults(base, format string, results []*emulator.Result) error {
	if err := os.MkdirAll(filepath.Dir(base), 0o755); err != nil {
		return err
	}
	if err := plots.Service(base+"-service."+format, results); err != nil {
		return err
	}
	return plots.Latency(base+"-latency."+format, results)
}

// maxPrintedViolations is the maximum number of violations that are printed for each policy.
const maxPrintedViolations = 3

// printResults prints the faults of the scenario, a table with one row for each policy, and the first violations.
func printResults(cmd *cli.Command, results []*emulator.Result) error {
	out := cmd.Root().Writer
	r := results[0]
	writef(out, "%s, seed %d: %d calls, fleet capacity %.0f calls/s\n", r.Scenario, r.Seed, r.Calls, r.Capacity)
	for _, f := range r.Faults {
		writef(out, "  %v\n", f)
	}
	t := newTable(cmd)
	writeln(t, "\npolicy\tscore\tworth\tworst 10 s\tworst class\tworst tenant\tlast 10 s\tserved\tlate\trefused\tfailed\ttimed out\tleft"+
		"\tattempts/try\tcross-site\twaste\tp50 ms\tp99 ms\trules broken")
	for _, r := range results {
		o := r.Outcomes
		writef(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%v\n", r.Policy, r.Score,
			r.ServedValue, r.WorstWindow, r.WorstClass, r.WorstTenant, r.ServiceAfterEnd, o["served"], o["late"], o["refused"], o["failed"],
			o["timed-out"], o["left"], r.AttemptsPerRequest, r.CrossSite, r.Waste, experiment.Metrics["p50_ms"](r),
			experiment.Metrics["p99_ms"](r), formatViolationCounts(r))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
			writef(out, "\n%s broke %v\n", r.Policy, violation)
		}
	}
	return nil
}

// formatViolationCounts returns the number of violations of each broken rule as text, or "none".
func formatViolationCounts(r *emulator.Result) string {
	if len(r.Broken) == 0 {
		return "none"
	}
	var counts []string
	for rule, count := range r.Broken {
		counts = append(counts, fmt.Sprintf("%s %d", rule, count))
	}
	slices.Sort(counts)
	return strings.Join(counts, ", ")
}
