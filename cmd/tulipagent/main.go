// Command tulipagent is one member of the group that decides on leases for a fleet: 3, 5 or 7 of them, on as many machines.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/failover"
	"tulipglade/internal/lease"
	"tulipglade/internal/tomlfile"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tulipagent:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

func command() *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Aliases: []string{"d"}, Usage: "the member's `FOLDER`", Required: true}
	name := &cli.StringFlag{Name: "group", Value: "tulipglade", Usage: "`NAME` of the group"}
	id := &cli.Uint64Flag{Name: "id", Usage: "the member's `NUMBER`, above those of all members there ever were", Required: true}
	return &cli.Command{
		Name:  "tulipagent",
		Usage: "a member of the group that decides on leases for a fleet",
		Commands: []*cli.Command{
			{Name: "init", Usage: "make the folder of one of a new group's first members: the same members and terms for each of them",
				Flags: []cli.Flag{dir, name, id,
					&cli.StringSliceFlag{Name: "member", Usage: "`ID=ADDRESS` of each first member", Required: true},
					&cli.DurationFlag{Name: "interval", Value: 200 * time.Millisecond, Usage: "`TIME` between two ticks, by which leases are counted"},
					&cli.FloatFlag{Name: "drift", Value: 0.01, Usage: "`SHARE` by which clocks may be fast or slow"}}, Action: initialize},
			{Name: "join", Usage: "make the folder of a member that is added to a group",
				Flags: []cli.Flag{dir, name, id, &cli.StringFlag{Name: "address", Usage: "its `ADDRESS`", Required: true}}, Action: join},
			{Name: "serve", Usage: "run the member until SIGTERM", Flags: []cli.Flag{dir,
				&cli.StringFlag{Name: "topology", Usage: "take part in failover by plans, with the zones and classes of `FILE`"}}, Action: serve},
			{Name: "check", Usage: "tell what a stopped member's folder holds, or what is wrong with it", Flags: []cli.Flag{dir}, Action: check},
		},
	}
}

func initialize(_ context.Context, cmd *cli.Command) error {
	members := map[uint64]string{}
	for _, m := range cmd.StringSlice("member") {
		number, address, ok := strings.Cut(m, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || id == 0 || members[id] != "" {
			return fmt.Errorf("--member: %q is not ID=ADDRESS with an id of its own", m)
		}
		if err := agent.CheckAddress(address); err != nil {
			return fmt.Errorf("--member: %w", err)
		}
		members[id] = address
	}
	id, terms := cmd.Uint64("id"), lease.Terms{Interval: cmd.Duration("interval"), Drift: cmd.Float("drift")}
	switch {
	case members[id] == "":
		return fmt.Errorf("--id: %d is none of the members", id)
	case terms.Interval < agent.TickInterval:
		return fmt.Errorf("--interval: %v is below %v", terms.Interval, agent.TickInterval)
	case terms.Drift < 0 || terms.Drift > 0.2:
		return fmt.Errorf("--drift: %g is not within 0 and 0.2", terms.Drift)
	}
	kept, err := consensus.Bootstrap(members, terms)
	if err != nil {
		return err
	}
	return agent.Create(cmd.String("dir"), agent.Identity{Group: cmd.String("group"), ID: id, Address: members[id]}, kept)
}

func join(_ context.Context, cmd *cli.Command) error {
	address := cmd.String("address")
	if err := agent.CheckAddress(address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	if cmd.Uint64("id") == 0 {
		return errors.New("--id: it must be above 0")
	}
	return agent.Create(cmd.String("dir"), agent.Identity{Group: cmd.String("group"), ID: cmd.Uint64("id"), Address: address}, consensus.EmptyState())
}

func serve(ctx context.Context, cmd *cli.Command) error {
	o := agent.Options{Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}
	if file := cmd.String("topology"); file != "" {
		plans, err := topology(file)
		if err != nil {
			return err
		}
		o.Failover = plans
	}
	return agent.Serve(ctx, cmd.String("dir"), o)
}

// topology reads the zones, the prices between them, and the classes.
func topology(file string) (*agent.FailoverOptions, error) {
	var in struct {
		Zone  []failover.Zone `toml:"zone"`
		Price [][]float64     `toml:"price"`
		Class []struct {
			Name  string  `toml:"name"`
			Worth float64 `toml:"worth"` // of a core-second
		} `toml:"class"`
	}
	if err := tomlfile.Load(file, &in); err != nil {
		return nil, fmt.Errorf("--topology: %w", err)
	}
	p := &agent.FailoverOptions{Topology: failover.Topology{Zones: in.Zone, Cost: in.Price}, Rules: failover.DefaultRules}
	for _, c := range in.Class {
		p.PriorityWeights = append(p.PriorityWeights, c.Worth)
	}
	if len(in.Zone) == 0 || len(in.Class) == 0 {
		return nil, fmt.Errorf("--topology: %s: it has no zones, or no classes", file)
	}
	if err := p.Topology.Check(); err != nil {
		return nil, fmt.Errorf("--topology: %s: price: %w", file, err)
	}
	return p, nil
}

func check(_ context.Context, cmd *cli.Command) error {
	disk, kept, err := agent.Open(cmd.String("dir"))
	if err != nil {
		return err
	}
	defer disk.Close()
	fmt.Fprintf(cmd.Root().Writer, "ok: member %d of %s at %s, term %d, snapshot to %d, %d entries after it\n", disk.Identity.ID, disk.Identity.Group,
		disk.Identity.Address, kept.HardState.GetTerm(), kept.Snapshot.GetMetadata().GetIndex(), len(kept.Entries))
	return nil
}
