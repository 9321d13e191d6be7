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
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/scenario"
)

func clusterCommand() *cli.Command {
	return &cli.Command{
		Name:     "cluster",
		Usage:    "run fake backends, discovery and frontends with real nodes, on loopback",
		Commands: []*cli.Command{runClusterCommand()},
	}
}

func runClusterCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "serve a scenario's backends, discovery and frontends until interrupted",
		ArgsUsage: "SCENARIO",
		Arguments: []cli.Argument{&cli.StringArg{Name: "file", UsageText: "SCENARIO"}},
		Action:    runCluster,
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringSliceFlag{Name: "node", Usage: "`ADDRESS` of a node behind the frontends, repeatable; default: nodes are started"},
			programFlag(),
			&cli.StringFlag{Name: "dir", Usage: "directory `DIR` for the nodes' configurations and logs; default: a new one"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`ADDRESS` of the endpoint that starts and ends faults"},
			&cli.StringFlag{Name: "log", Usage: "`FILE` for the backends' events as JSON lines"},
			&cli.DurationFlag{Name: "for", Usage: "`TIME` until the end; default: until interrupted"},
		},
	}
}

func programFlag() cli.Flag {
	return &cli.StringFlag{Name: "program", Usage: "path `PROGRAM` of the node; default: tulipglade in the directory of this program"}
}

func maxLagFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  "lag",
		Value: load.DefaultMaxLag,
		Usage: "the run is invalid if requests are sent later than `TIME` after they are due, at p99",
	}
}

// nodeProgramPath returns the path of the tulipglade binary: the value of --program, or else the file tulipglade in
// the directory of the running tulipctl binary.
func nodeProgramPath(cmd *cli.Command) (string, error) {
	if path := cmd.String("program"); path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "tulipglade")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("--program: no tulipglade binary in the directory of tulipctl (build both with go build -o bin/ ./cmd/...): %w", err)
	}
	return path, nil
}

// nodesReadyTimeout is the time within which the frontends must have started to use all nodes.
const nodesReadyTimeout = 30 * time.Second

// runningCluster is a fake cluster together with the node processes that were started for it.
type runningCluster struct {
	fake      *fake.Cluster
	processes *fake.Processes // nil if the nodes were already running
	ready     chan int        // receives the number of each node that the frontends start to use
}

// startCluster starts the fake cluster of a scenario. If nodes lists no addresses of running nodes, it also starts the
// nodes.
func startCluster(
	ctx context.Context, sc *scenario.Scenario, seed uint64, nodes []string, programPath, dir string, log io.Writer,
) (*runningCluster, error) {
	startNodes := len(nodes) == 0
	if startNodes {
		var err error
		if nodes, err = loopback.FreeAddresses(loopback.Host, sc.Nodes.Count); err != nil {
			return nil, err
		}
	} else if len(nodes) != sc.Nodes.Count {
		return nil, fmt.Errorf("--node: %d addresses, but nodes.count of the scenario is %d", len(nodes), sc.Nodes.Count)
	}
	c := &runningCluster{ready: make(chan int, len(nodes))}
	notifyReady := func(node int) {
		select {
		case c.ready <- node:
		default: // the channel is full after restarts of nodes, which awaitReady does not wait for
		}
	}
	var err error
	c.fake, err = fake.Start(ctx, sc, fake.Options{Seed: seed, Log: log, Nodes: nodes, OnReady: notifyReady})
	if err != nil {
		return nil, err
	}
	if startNodes {
		if c.processes, err = c.fake.StartNodes(programPath, dir, fake.DefaultLimits); err != nil {
			return nil, errors.Join(err, c.fake.Close())
		}
	}
	return c, nil
}

// close stops the nodes that startCluster started, then the fake cluster.
func (c *runningCluster) close() error {
	if c.processes == nil {
		return c.fake.Close()
	}
	return errors.Join(c.processes.Stop(), c.fake.Close())
}

// awaitReady waits until the frontends use all nodes, and returns an error after nodesReadyTimeout.
func (c *runningCluster) awaitReady(ctx context.Context, nodeCount int) error {
	timeout := time.After(nodesReadyTimeout)
	for range nodeCount {
		select {
		case <-c.ready:
		case <-timeout:
			return fmt.Errorf("not all nodes were ready within %.0f s; see their logs", nodesReadyTimeout.Seconds())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func runCluster(ctx context.Context, cmd *cli.Command) (err error) {
	sc, err := scenarioArgument(cmd)
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
	programPath, dir, err := nodeProgramAndDir(cmd)
	if err != nil {
		return err
	}
	cluster, err := startCluster(ctx, sc, cmd.Uint64("seed"), cmd.StringSlice("node"), programPath, dir, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.close()) }()
	control, err := cluster.fake.ServeControl(cmd.String("control"))
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	printAddresses(out, sc, cluster.fake, dir)
	writef(out, "control at http://%s\n", control)
	if length := cmd.Duration("for"); length > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, length)
		defer stop()
	}
	<-ctx.Done()
	report := cluster.fake.Report()
	writef(out, "%.1f s: %d requests came to the backends, %d ran, %d ran twice though they must not, %d came after a drain, %d unreadable\n",
		report.Seconds, report.Arrived, report.Executions, report.DuplicateRuns, report.AfterDrain, report.Unreadable)
	if report.DuplicateRuns+report.AfterDrain > 0 {
		return negativeAnswer("rules were broken; see the log")
	}
	return nil
}

// nodeProgramAndDir returns the path of the tulipglade binary and the directory for the configurations and logs of the
// nodes to start. If --node names running nodes, programPath is empty and dir is the value of --dir.
func nodeProgramAndDir(cmd *cli.Command) (programPath, dir string, err error) {
	dir = cmd.String("dir")
	if len(cmd.StringSlice("node")) > 0 {
		return "", dir, nil
	}
	if programPath, err = nodeProgramPath(cmd); err != nil {
		return "", "", err
	}
	if dir == "" {
		dir, err = os.MkdirTemp("", "tulipctl-cluster-")
	}
	return programPath, dir, err
}

// printAddresses prints the addresses of the frontends and of discovery, and the directory of the nodes' files.
func printAddresses(out io.Writer, sc *scenario.Scenario, cluster *fake.Cluster, dir string) {
	for site, name := range sc.Fleet.Sites {
		writef(out, "frontend of %s at %s\n", name, cluster.Frontend(site))
	}
	for node := range sc.Nodes.Count {
		writef(out, "discovery for node %d at %s\n", node, cluster.Discovery(node))
	}
	if dir != "" {
		writef(out, "nodes' configurations and logs in %s\n", dir)
	}
}
