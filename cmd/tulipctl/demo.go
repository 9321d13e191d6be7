package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/fake"
	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/scenario"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:   "demo",
		Usage:  "run a fake cluster and a node under a surge of 20 s with a draining backend; prints a table and draws a plot",
		Action: runDemo,
		Flags: []cli.Flag{
			programFlag(),
			&cli.StringFlag{Name: "out", Value: "demo", Usage: "directory `DIR` for logs and the plot"},
			&cli.FloatFlag{Name: "seconds", Value: 20, Usage: "length `X` of the run"},
			maxLagFlag(),
		},
	}
}

// demoScenario is a scenario in which the load surges beyond the capacity of the fleet, and a backend drains during
// the surge.
const demoScenario = `
name = "demo"
seconds = 20.0
warm_up_s = 1.0
[fleet]
boxes = 4
[nodes]
count = 1
[load]
level = 0.5
shape = "surge"
peak = 2.2
from_s = 6.0
till_s = 14.0
[[fault]]
kind = "drain"
boxes = [1]
at_ms = 9000
for_ms = 4000
`

// demoSeed is the random seed of the scenario and of the calls of the demo.
const demoSeed = 1

// demoEvents is the name of the file to which the events of the backends are logged.
const demoEvents = "world.jsonl"

func runDemo(ctx context.Context, cmd *cli.Command) (err error) {
	programPath, err := nodeProgramPath(cmd)
	if err != nil {
		return err
	}
	sc, err := parseDemoScenario(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	dir, out := cmd.String("out"), cmd.Root().Writer
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	eventsFile := filepath.Join(dir, demoEvents)
	events, err := os.Create(eventsFile)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, events.Close()) }()
	cluster, err := startCluster(ctx, sc, demoSeed, nil, programPath, dir, events)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.close()) }()
	if err := cluster.awaitReady(ctx, sc.Nodes.Count); err != nil {
		return err
	}
	writef(out, "%d backends at %d sites, %d node, and %.0f s of calls: a surge from 6 to 14 s, and a backend that drains at 9 s\n\n",
		sc.Fleet.Backends, len(sc.Fleet.Sites), sc.Nodes.Count, sc.Seconds)
	plotFile := filepath.Join(dir, "latency.svg")
	result, err := runDemoLoad(ctx, cmd, sc, cluster.fake, plotFile)
	if err != nil {
		return err
	}
	report := cluster.fake.Report()
	writef(out, "\nat the backends: %d requests came, %d ran, %d ran twice though they must not, %d came after the drain\n",
		report.Arrived, report.Executions, report.DuplicateRuns, report.AfterDrain)
	writef(out, "plot: %s; backends' events: %s\n", plotFile, eventsFile)
	if report.DuplicateRuns+report.AfterDrain > 0 {
		return negativeAnswer("rules were broken")
	}
	return validityError(result)
}

// parseDemoScenario returns the scenario of the demo. If seconds is above 0, it replaces the length of the scenario.
func parseDemoScenario(seconds float64) (*scenario.Scenario, error) {
	sc, err := scenario.Parse("demo", []byte(demoScenario))
	if err != nil {
		return nil, err
	}
	if seconds > 0 {
		sc.Seconds, sc.WarmUp = seconds, min(sc.WarmUp, seconds/4)
	}
	if err := sc.Check(); err != nil {
		return nil, fmt.Errorf("--%w", err)
	}
	return sc, nil
}

// runDemoLoad sends the calls of the scenario to the frontends of the cluster, prints the result and plots it to
// plotFile.
func runDemoLoad(
	ctx context.Context, cmd *cli.Command, sc *scenario.Scenario, cluster *fake.Cluster, plotFile string,
) (*load.Result, error) {
	var targets []string
	for site := range sc.Fleet.Sites {
		targets = append(targets, cluster.Frontend(site))
	}
	faults := emulator.Faults(sc, demoSeed)
	live := emulator.NewLive(sc, demoSeed, discardEffects{})
	result, err := load.Run(ctx, load.Plan{
		Scenario: sc,
		Seed:     demoSeed,
		Targets:  targets,
		Capacity: live.Capacity(),
		Faults:   faults,
		MaxLag:   cmd.Duration("lag"),
	})
	if err != nil {
		return nil, err
	}
	if err := printLoadResult(cmd, result); err != nil {
		return nil, err
	}
	return result, plots.Load(plotFile, result, faults)
}
