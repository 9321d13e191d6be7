package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/fake"
	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/scenario"
)

func clusterCommand() *cli.Command {
	return &cli.Command{Name: "cluster", Usage: "fake backends, discovery and frontend round real nodes, on loopback", Commands: []*cli.Command{
		{Name: "run", Usage: "serve a scenario's boxes, discovery and front until interrupted", ArgsUsage: "SCENARIO", Action: runCluster,
			Arguments: []cli.Argument{&cli.StringArg{Name: "file", UsageText: "SCENARIO"}},
			Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1},
				&cli.StringSliceFlag{Name: "node", Usage: "`ADDRESS` of each node behind the front; none: the program starts them"},
				&cli.StringFlag{Name: "program", Usage: "the node's `PROGRAM`; default: tulipglade beside this one"},
				&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for nodes' configurations and logs; default: a new one"},
				&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`ADDRESS` at which faults are ordered"},
				&cli.StringFlag{Name: "log", Usage: "what truly happened, as JSON lines, to `FILE`"},
				&cli.DurationFlag{Name: "for", Usage: "end after `TIME`"}}},
	}}
}

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "a fake cluster, a node and a 20 s surge with a drain in it; ends with a table and a picture", Action: demo,
		Flags: []cli.Flag{&cli.StringFlag{Name: "program", Usage: "the node's `PROGRAM`; default: tulipglade beside this one"},
			&cli.StringFlag{Name: "out", Value: "demo", Usage: "`FOLDER` for logs, the table and the picture"},
			&cli.FloatFlag{Name: "seconds", Value: 20},
			&cli.DurationFlag{Name: "lag", Value: load.DefaultLag, Usage: "the run does not count if tries go out later than `TIME` at p99"}}}
}

// program is the node's program: as told, or beside this one.
func program(cmd *cli.Command) (string, error) {
	if p := cmd.String("program"); p != "" {
		return p, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	p := filepath.Join(filepath.Dir(self), "tulipglade")
	if _, err := os.Stat(p); err != nil {
		return "", fmt.Errorf("--program: no node's program beside this one (go build -o bin/ ./cmd/...): %w", err)
	}
	return p, nil
}

// runningCluster is a world with its nodes.
type runningCluster struct {
	w     *fake.Cluster
	procs *fake.Processes
	ready chan int
	done  func() error
}

// startCluster serves a scenario, and starts its nodes where none are named.
func startCluster(ctx context.Context, sc *scenario.Scenario, seed uint64, nodes []string, prog, dir string, log io.Writer) (*runningCluster, error) {
	own := len(nodes) == 0
	if own {
		var err error
		if nodes, err = fake.FreeAddrs(sc.Nodes.Count); err != nil {
			return nil, err
		}
	} else if len(nodes) != sc.Nodes.Count {
		return nil, fmt.Errorf("--node: %d addresses, but nodes.count is %d", len(nodes), sc.Nodes.Count)
	}
	f := &runningCluster{ready: make(chan int, len(nodes))}
	var err error
	f.w, err = fake.Start(ctx, sc, fake.Options{Seed: seed, Log: log, Nodes: nodes, Ready: func(n int) {
		select {
		case f.ready <- n:
		default: // a node that comes back: nobody waits for it
		}
	}})
	if err != nil {
		return nil, err
	}
	f.done = f.w.Close
	if own {
		if f.procs, err = f.w.StartNodes(prog, dir, fake.DefaultLimits); err != nil {
			return nil, errors.Join(err, f.w.Close())
		}
		f.done = func() error { return errors.Join(f.procs.Stop(), f.w.Close()) }
	}
	return f, nil
}

// await waits until the front has taken in all nodes.
func (f *runningCluster) await(ctx context.Context, n int) error {
	late := time.After(30 * time.Second)
	for range n {
		select {
		case <-f.ready:
		case <-late:
			return errors.New("not all nodes were ready within 30 s; see their logs")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func runCluster(ctx context.Context, cmd *cli.Command) (err error) {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(name)
	if err != nil {
		return err
	}
	var log io.Writer
	if file := cmd.String("log"); file != "" {
		out, err := os.Create(file)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, out.Close()) }()
		log = out
	}
	prog, dir := "", cmd.String("dir")
	if len(cmd.StringSlice("node")) == 0 {
		if prog, err = program(cmd); err != nil {
			return err
		}
		if dir == "" {
			if dir, err = os.MkdirTemp("", "tulipctl-world-"); err != nil {
				return err
			}
		}
	}
	f, err := startCluster(ctx, sc, cmd.Uint64("seed"), cmd.StringSlice("node"), prog, dir, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.done()) }()
	control, err := f.w.Control(cmd.String("control"))
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	for site, s := range sc.Fleet.Sites {
		fmt.Fprintf(out, "front of %s at %s\n", s, f.w.Frontend(site))
	}
	for n := range sc.Nodes.Count {
		fmt.Fprintf(out, "discovery for node %d at %s\n", n, f.w.Discovery(n))
	}
	if dir != "" {
		fmt.Fprintf(out, "nodes' configurations and logs in %s\n", dir)
	}
	fmt.Fprintf(out, "control at http://%s\n", control)
	if d := cmd.Duration("for"); d > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d)
		defer stop()
	}
	<-ctx.Done()
	r := f.w.Report()
	fmt.Fprintf(out, "%.1f s: %d requests came to boxes, %d ran, %d ran twice though they must not, %d came after a drain, %d unreadable\n",
		r.Seconds, r.Arrived, r.Executions, r.DuplicateRuns, r.AfterDrain, r.Unreadable)
	if r.DuplicateRuns+r.AfterDrain > 0 {
		return negativeAnswer("rules were broken; see the log")
	}
	return nil
}

// demoScenario is what a newcomer sees first: a surge to more than the fleet can do, and a drain in the midst of it.
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

func demo(ctx context.Context, cmd *cli.Command) (err error) {
	prog, err := program(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Parse("demo", []byte(demoScenario))
	if err != nil {
		return err
	}
	if s := cmd.Float("seconds"); s > 0 {
		sc.Seconds, sc.WarmUp = s, min(sc.WarmUp, s/4)
	}
	if err := sc.Check(); err != nil {
		return fmt.Errorf("--%w", err)
	}
	dir, out := cmd.String("out"), cmd.Root().Writer
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "world.jsonl"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	f, err := startCluster(ctx, sc, 1, nil, prog, dir, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.done()) }()
	if err := f.await(ctx, sc.Nodes.Count); err != nil {
		return err
	}
	fmt.Fprintf(out, "a world of %d boxes at %d sites, %d node, and %.0f s of clients: a surge from 6 to 14 s, and a box that drains at 9 s\n\n",
		sc.Fleet.Backends, len(sc.Fleet.Sites), sc.Nodes.Count, sc.Seconds)
	var targets []string
	for site := range sc.Fleet.Sites {
		targets = append(targets, f.w.Frontend(site))
	}
	faults := emulator.Faults(sc, 1)
	live := emulator.NewLive(sc, 1, discardEffects{})
	res, err := load.Run(ctx, load.Plan{Scenario: sc, Seed: 1, Targets: targets, Capacity: live.Capacity(), Faults: faults,
		Lag: cmd.Duration("lag")})
	if err != nil {
		return err
	}
	if err := printLoadResult(cmd, res); err != nil {
		return err
	}
	picture := filepath.Join(dir, "latency.svg")
	if err := plots.Load(picture, res, faults); err != nil {
		return err
	}
	r := f.w.Report()
	fmt.Fprintf(out, "\nat the boxes: %d requests came, %d ran, %d ran twice though they must not, %d came after the drain\n", r.Arrived, r.Executions,
		r.DuplicateRuns, r.AfterDrain)
	fmt.Fprintf(out, "the picture: %s; what truly happened: %s\n", picture, filepath.Join(dir, "world.jsonl"))
	if r.DuplicateRuns+r.AfterDrain > 0 {
		return negativeAnswer("rules were broken")
	}
	return validityError(res)
}
