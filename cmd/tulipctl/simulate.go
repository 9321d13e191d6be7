package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/experiment"
	"tulipglade/internal/simulation/leasesim"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

func simulateCommand() *cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N`: the same scenario, policy and seed give the same run"}
	policies := &cli.StringSliceFlag{Name: "policy", Value: []string{policy.Module},
		Usage: "`NAME`, repeated or with commas; all for every one of: " + strings.Join(policy.Names(), ", ")}
	file := []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
	return &cli.Command{
		Name:  "simulate",
		Usage: "try designs on an emulated fleet, in virtual time",
		Commands: []*cli.Command{
			{Name: "scenarios", Usage: "list the scenarios that come with the program", Action: listScenarios, Flags: []cli.Flag{jsonFlag}},
			{Name: "show", Usage: "print a scenario whole, defaults included, as TOML", Arguments: file, ArgsUsage: "FILE", Action: showScenario},
			{Name: "run", Usage: "play a scenario; exit 1 if a rule is broken", Arguments: file, ArgsUsage: "FILE", Action: runScenario,
				Flags: []cli.Flag{seed, policies, jsonFlag, &cli.StringFlag{Name: "plots", Usage: "draw into `FOLDER`"},
					&cli.StringFlag{Name: "format", Value: "svg", Usage: "of plots: svg or png"},
					&cli.BoolFlag{Name: "log", Usage: "print what the policies log"}}},
			{Name: "sweep", Usage: "play a grid of scenarios on all cores; goes on where it was cut short", Arguments: file,
				ArgsUsage: "FILE", Action: runSweep, Flags: []cli.Flag{
					&cli.StringFlag{Name: "out", Required: true, Usage: "results as JSON lines, in `FILE`"},
					&cli.StringFlag{Name: "csv", Usage: "and as a table, in `FILE`"}, jsonFlag}},
			{Name: "compare", Usage: "compare results paired by seed; each is FILE or FILE@POLICY", ArgsUsage: "A B", Action: compareResults,
				Arguments: []cli.Argument{&cli.StringArg{Name: "a"}, &cli.StringArg{Name: "b"}},
				Flags: []cli.Flag{jsonFlag, &cli.StringSliceFlag{Name: "metric", Value: []string{"score"},
					Usage: "`NAME`, of: " + strings.Join(experiment.MetricNames(), ", ")}}},
			{Name: "shrink", Usage: "reduce a case that breaks a rule to the fewest faults and calls", Arguments: file, ArgsUsage: "FILE",
				Action: shrinkScenario, Flags: []cli.Flag{seed, policies, &cli.IntFlag{Name: "runs", Value: 2000, Usage: "at most `N` runs"},
					&cli.StringFlag{Name: "out", Usage: "write the reduced scenario to `FILE` instead of standard output"}}},
			{Name: "survey", Usage: "play deployments drawn over all that the protocol allows; exit 1 if the module fails one", Action: surveyDeployments,
				Flags: []cli.Flag{seed, &cli.IntFlag{Name: "draws", Value: 300, Usage: "`N` deployments, of seeds that count up from --seed"},
					&cli.FloatFlag{Name: "margin", Value: 0.02, Usage: "of the worth by which the module may serve less than " + experiment.Baseline},
					jsonFlag}},
			{Name: "leases", Usage: "play leases under faults between processes, in virtual time; exit 1 if what must hold does not",
				Action: simulateLeases, Flags: []cli.Flag{seed, &cli.IntFlag{Name: "schedules", Value: 10000, Usage: "`N`, of seeds that count up from --seed"},
					&cli.StringFlag{Name: "without", Usage: "leave out `PART`, to see what it is there for: guard, fence, clock, free or sync"},
					&cli.IntFlag{Name: "members", Usage: "with a group of `N` members, each with a disk and a network between; 0: leaders that share one state"},
					jsonFlag}},
			{Name: "failover", Usage: "play failover between zones, in virtual time; exit 1 if what must hold does not", Action: simulateFailover,
				Flags: []cli.Flag{seed, &cli.IntFlag{Name: "schedules", Value: 5000, Usage: "`N`, of seeds that count up from --seed"},
					&cli.StringFlag{Name: "without", Usage: "leave out `PART`, to see what it is there for: token, rate, fade or plans"}, jsonFlag}},
			{Name: "processes", Usage: "play leases under faults between real processes; exit 1 if what must hold does not", Action: testProcesses,
				Flags: []cli.Flag{seed, &cli.IntFlag{Name: "schedules", Value: 200, Usage: "`N`, of seeds that count up from --seed"},
					&cli.IntFlag{Name: "at-once", Value: 4, Usage: "`N` schedules, of 7 to 9 processes each"},
					&cli.StringFlag{Name: "without", Usage: "leave out `PART`, to see what it is there for: guard, fence or sync"},
					&cli.BoolFlag{Name: "shrink", Usage: "the first schedule that breaks something to the fewest faults, with three tries each"}, jsonFlag}},
			{Name: "agents", Usage: "measure groups of agents: elections, grants, what they cost", Action: measureAgents, Flags: []cli.Flag{
				&cli.IntSliceFlag{Name: "members", Value: []int{3, 5, 7}, Usage: "`N` of each group"},
				&cli.IntFlag{Name: "elections", Value: 200, Usage: "`N`: the leader is killed as often"},
				&cli.IntFlag{Name: "holders", Value: 300, Usage: "`N` that hold a lease each, and then ask for one at once"},
				&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "`TIME` of each measurement"}, jsonFlag}},
			{Name: "verify", Usage: "hold the lab against queueing theory; exit 1 beyond the bound", Action: verifySimulation, Flags: []cli.Flag{
				&cli.FloatFlag{Name: "bound", Value: 0.02, Usage: "relative error `X`"},
				&cli.FloatFlag{Name: "effort", Value: 1, Usage: "times as many jobs; 1 takes minutes"}, jsonFlag}},
			{Name: "cost", Usage: "measure the processor time of a decision by hosts and nodes", Action: measureDecisionCost, Flags: []cli.Flag{
				policies, &cli.IntSliceFlag{Name: "endpoints", Value: []int{10, 100, 1000, 10000}},
				&cli.IntSliceFlag{Name: "nodes", Value: []int{3, 30, 300}},
				&cli.DurationFlag{Name: "each", Value: 3 * time.Second, Usage: "`TIME` for each"},
				&cli.StringFlag{Name: "plot", Usage: "draw to `FILE`"}, jsonFlag}},
			{Name: "plot", Usage: "draw a metric of a sweep against a field that it varies", Arguments: file, ArgsUsage: "RESULTS",
				Action: plotSweep, Flags: []cli.Flag{&cli.StringFlag{Name: "field", Required: true}, &cli.StringFlag{Name: "out", Required: true},
					&cli.StringFlag{Name: "metric", Value: "worth"}}},
		},
	}
}

func fileArgument(cmd *cli.Command) (string, error) {
	name := cmd.StringArg("file")
	if name == "" {
		return "", fmt.Errorf("%s: no %s is named", cmd.Name, cmd.ArgsUsage)
	}
	if cmd.Args().Present() {
		return "", fmt.Errorf("%s: %q is one argument too many", cmd.Name, cmd.Args().First())
	}
	return name, nil
}

func selectedPolicies(cmd *cli.Command) ([]string, error) {
	names := cmd.StringSlice("policy")
	if slices.Equal(names, []string{"all"}) {
		return policy.Names(), nil
	}
	for _, n := range names {
		if _, err := policy.Find(n); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func table(cmd *cli.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
}

func listScenarios(_ context.Context, cmd *cli.Command) error {
	type line struct {
		Name  string `json:"name"`
		About string `json:"about"`
	}
	var all []line
	for _, n := range scenario.BuiltIn() {
		sc, err := scenario.Read(n)
		if err != nil {
			return err
		}
		all = append(all, line{n, sc.About})
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := table(cmd)
	for _, l := range all {
		fmt.Fprintf(t, "%s\t%s\n", l.Name, l.About)
	}
	return t.Flush()
}

func showScenario(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(name)
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
	broken := 0
	logged := func(w *emulator.Simulation) {
		if cmd.Bool("log") {
			w.Log = func(at int64, node int, text string) {
				fmt.Fprintf(cmd.Root().ErrWriter, "%.6f node %d: %s\n", float64(at)/1e6, node, text)
			}
		}
	}
	for _, p := range names {
		r, err := experiment.Run(sc, p, cmd.Uint64("seed"), logged)
		if err != nil {
			return err
		}
		results = append(results, r)
		broken += len(r.Broken)
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
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		base := filepath.Join(dir, sc.Name)
		if err := plots.Service(base+"-service."+cmd.String("format"), results); err != nil {
			return err
		}
		if err := plots.Latency(base+"-latency."+cmd.String("format"), results); err != nil {
			return err
		}
	}
	if broken > 0 {
		return negativeAnswer("%s: rules were broken; see above", sc.Name)
	}
	return nil
}

func printResults(cmd *cli.Command, results []*emulator.Result) error {
	out := cmd.Root().Writer
	r := results[0]
	fmt.Fprintf(out, "%s, seed %d: %d calls, fleet capacity %.0f calls/s\n", r.Scenario, r.Seed, r.Calls, r.Capacity)
	for _, f := range r.Faults {
		fmt.Fprintf(out, "  %v\n", f)
	}
	t := table(cmd)
	fmt.Fprintln(t, "\npolicy\tscore\tworth\tworst 10 s\tworst class\tworst tenant\tlast 10 s\tserved\tlate\trefused\tfailed\ttimed out\tleft"+
		"\tattempts/try\tcross-site\twaste\tp50 ms\tp99 ms\trules broken")
	for _, r := range results {
		o := r.Outcomes
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%v\n", r.Policy, r.Score,
			r.ServedValue, r.WorstWindow, r.WorstClass, r.WorstTenant, r.ServiceAfterEnd, o["served"], o["late"], o["refused"], o["failed"],
			o["timed-out"], o["left"], r.AttemptsPerRequest, r.CrossSite, r.Waste, experiment.Metrics["p50_ms"](r),
			experiment.Metrics["p99_ms"](r), brokenText(r))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for i, v := range r.Violations {
			if i < 3 {
				fmt.Fprintf(out, "\n%s broke %v\n", r.Policy, v)
			}
		}
	}
	return nil
}

func brokenText(r *emulator.Result) string {
	if len(r.Broken) == 0 {
		return "none"
	}
	var parts []string
	for rule, n := range r.Broken {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func runSweep(ctx context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	s, err := experiment.LoadSweep(name)
	if err != nil {
		return err
	}
	cells, hash, err := s.Cells(filepath.Dir(name))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	rows, err := experiment.RunAll(ctx, cells, hash, cmd.String("out"), progress(cmd.Root().ErrWriter, name))
	if err != nil {
		return err
	}
	if file := cmd.String("csv"); file != "" {
		var buf bytes.Buffer
		if err := experiment.WriteCSV(&buf, rows); err != nil {
			return err
		}
		if err := os.WriteFile(file, buf.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, rows)
	}
	return printSweep(cmd, rows)
}

// printSweep prints means over the seeds.
func printSweep(cmd *cli.Command, rows []experiment.Row) error {
	metrics := []string{"score", "worth", "worst_window", "waste", "cross_site", "p99_ms", "rules_broken"}
	t := table(cmd)
	fmt.Fprint(t, "policy")
	for _, v := range rows[0].Set {
		fmt.Fprint(t, "\t", v.Field)
	}
	fmt.Fprintln(t, "\truns\t"+strings.Join(metrics, "\t"))
	for i := 0; i < len(rows); {
		same, sums := i, make([]float64, len(metrics))
		for ; same < len(rows) && rows[same].Policy == rows[i].Policy && fmt.Sprint(rows[same].Set) == fmt.Sprint(rows[i].Set); same++ {
			for k, m := range metrics {
				sums[k] += experiment.Metrics[m](rows[same].Result)
			}
		}
		fmt.Fprint(t, rows[i].Policy)
		for _, v := range rows[i].Set {
			fmt.Fprint(t, "\t", v.Value)
		}
		fmt.Fprintf(t, "\t%d", same-i)
		for _, x := range sums {
			fmt.Fprintf(t, "\t%.3f", x/float64(same-i))
		}
		fmt.Fprintln(t)
		i = same
	}
	return t.Flush()
}

func readRows(arg string) ([]experiment.Row, error) {
	file, pol, one := strings.Cut(arg, "@")
	rows, err := experiment.ReadRows(file)
	if err != nil {
		return nil, err
	}
	if one {
		if rows = experiment.OfPolicy(rows, pol); len(rows) == 0 {
			return nil, fmt.Errorf("%s: no run of policy %q", file, pol)
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
		return fmt.Errorf("compare: two files of results are needed, A and B")
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
	for _, m := range cmd.StringSlice("metric") {
		c, err := experiment.Compare(a, b, m)
		if err != nil {
			return err
		}
		all = append(all, c)
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := table(cmd)
	fmt.Fprintln(t, "metric\tpairs\tA\tB\tA - B\t95% interval\tA above\tA below\tdifference shown")
	for _, c := range all {
		shown := "no"
		if c.Significant() {
			shown = "yes"
		}
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d\t%d\t%s\n", c.Metric, c.Pairs, c.A, c.B, c.Diff, c.Low, c.High,
			c.Higher, c.Lower, shown)
	}
	return t.Flush()
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
	if err == experiment.ErrNoViolation {
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
	fmt.Fprintf(cmd.Root().ErrWriter, "%s still broken after %d runs: faults %d to %d, calls %d to %d, seconds %.1f to %.1f\n%v\n", s.Rule,
		s.Runs, s.Faults[0], s.Faults[1], s.Calls[0], s.Calls[1], s.Seconds[0], s.Seconds[1], s.Violation)
	return nil
}

func surveyDeployments(ctx context.Context, cmd *cli.Command) error {
	draws, margin := cmd.Int("draws"), cmd.Float("margin")
	if draws < 1 || margin < 0 {
		return fmt.Errorf("survey: --draws must be above 0 and --margin not below")
	}
	seeds := make([]uint64, draws)
	for i := range seeds {
		seeds[i] = cmd.Uint64("seed") + uint64(i)
	}
	all, err := experiment.Survey(ctx, seeds, margin, progress(cmd.Root().ErrWriter, "survey"))
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
		t := table(cmd)
		fmt.Fprintf(t, "seed\tmodule\t%s\tfails by\tsettings that it takes\n", experiment.Baseline)
		for _, d := range failed {
			fmt.Fprintf(t, "%d\t%.3f\t%.3f\t%s %v\t%s\n", d.Seed, d.Module, d.Baseline, d.Fault, d.Broken, strings.Join(d.RaisedSettings, "; "))
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "%d draws, %d failed\n", draws, len(failed))
	}
	if len(failed) > 0 {
		return negativeAnswer("%d of %d deployments fail", len(failed), draws)
	}
	return nil
}

func simulateLeases(ctx context.Context, cmd *cli.Command) error {
	n, without, err := scheduleFlags(cmd, map[string]leasesim.Without{"": {}, "guard": {Guard: true}, "fence": {Fence: true}, "clock": {Clock: true}, "free": {Free: true},
		"sync": {Sync: true}})
	if err != nil {
		return err
	}
	members := cmd.Int("members")
	if members < 0 || members > 9 || members == 0 && without.Sync {
		return fmt.Errorf("leases: --members: %d: 1 to 9, or 0 for none; a disk only members have", members)
	}
	o, took, err := leasesim.Many(ctx, cmd.Uint64("seed"), n, without, members)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, o); err != nil {
			return err
		}
	} else {
		t := table(cmd)
		for _, l := range []struct {
			what string
			n    int
		}{{"schedules", o.Schedules}, {"grants", o.Grants}, {"leaders", o.Leaders}, {"holders killed", o.Kills}, {"acts let in", o.Acts},
			{"acts withheld by holders in doubt", o.Withheld},
			{"acts refused by their token", o.Old}, {"acts refused while an earlier one went on", o.Busy}, {"OVERLAPS", o.Overlaps},
			{"OLDER AFTER NEWER", o.Backwards}, {"REFUSED WHERE THE GUARD MUST DO", o.Unneeded},
			{"faults among members", o.Faults}, {"changes of members", o.Changes}, {"TOKENS GIVEN TWICE", o.DuplicateGrants}, {"MEMBERS THAT DISAGREE", o.Split},
			{"NOBODY ACTS AFTER THE FAULTS", o.Idle}} {
			fmt.Fprintf(t, "%s\t%d\n", l.what, l.n)
		}
		for _, h := range []struct {
			what string
			of   *hdrhistogram.Histogram
		}{{"from a holder's death to the next one's first act", took.All}, {"the same with nothing else wrong", took.Well},
			{"from a leading member's death to the next one's lead", took.Lead}} {
			if h.of.TotalCount() == 0 {
				continue
			}
			fmt.Fprintf(t, "%s, ms\tp50 %d, p99 %d, max %d, of %d\n", h.what, h.of.ValueAtQuantile(50), h.of.ValueAtQuantile(99), h.of.Max(),
				h.of.TotalCount())
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if o.Broken() > 0 {
		return negativeAnswer("what must hold is broken %d times, first by schedule %d", o.Broken(), o.First)
	}
	return nil
}

func verifySimulation(ctx context.Context, cmd *cli.Command) error {
	if cmd.Float("bound") <= 0 || cmd.Float("effort") <= 0 {
		return fmt.Errorf("verify: --bound and --effort must be above 0")
	}
	checks, err := experiment.Verify(ctx, cmd.Float("effort"), cmd.Float("bound"), progress(cmd.Root().ErrWriter, "verify"))
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
		t := table(cmd)
		fmt.Fprintln(t, "figure\tmodel\ttheory\terror\t")
		for _, c := range checks {
			mark := ""
			if !c.OK {
				mark = "BEYOND"
			}
			fmt.Fprintf(t, "%s\t%.5f\t%.5f\t%+.2f%%\t%s\n", c.Name, c.Model, c.Theory, 100*c.Error, mark)
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

func measureDecisionCost(ctx context.Context, cmd *cli.Command) error {
	names, err := selectedPolicies(cmd)
	if err != nil {
		return err
	}
	var all []experiment.Cost
	for _, p := range names {
		for _, nodes := range cmd.IntSlice("nodes") {
			for _, hosts := range cmd.IntSlice("endpoints") {
				if err := ctx.Err(); err != nil {
					return err
				}
				c, err := experiment.Measure(p, hosts, nodes, cmd.Duration("each"))
				if err != nil {
					return err
				}
				all = append(all, c)
			}
		}
	}
	if file := cmd.String("plot"); file != "" {
		if err := plots.Costs(file, all); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := table(cmd)
	fmt.Fprintln(t, "policy\thosts\tnodes\trequests/s of the node\tµs a request\tµs a whole list\tcores for it")
	for _, c := range all {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.2f\t%.0f\t%.3f\n", c.Policy, c.Endpoints, c.Nodes, c.RequestsPerSecond, c.MicrosPerRequest, c.MicrosPerList, c.RequestsPerSecond*c.MicrosPerRequest/1e6)
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
		return fmt.Errorf("%s: holds no runs", name)
	}
	return plots.Against(cmd.String("out"), rows, cmd.String("field"), cmd.String("metric"))
}
