package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/processtest"
)

func measureAgentsCommand() *cli.Command {
	return &cli.Command{
		Name:   "agents",
		Usage:  "measure elections, grants and resource usage of groups of agents",
		Action: measureAgents,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "members", Value: []int{3, 5, 7}, Usage: "number `N` of members, repeatable"},
			&cli.IntFlag{Name: "elections", Value: 200, Usage: "number `N` of times that the leader is killed"},
			&cli.IntFlag{Name: "holders", Value: 300, Usage: "number `N` of processes that hold a lease each, then all request the same one"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "`TIME` of each measurement"},
			jsonFlag,
		},
	}
}

func measureAgents(ctx context.Context, cmd *cli.Command) error {
	elections, holders := cmd.Int("elections"), cmd.Int("holders")
	if elections < 1 || holders < 1 || cmd.Duration("length") < time.Second {
		return errors.New("agents: --elections and --holders must be above 0, --length 1s at least")
	}
	var all []processtest.Measurement
	for _, members := range cmd.IntSlice("members") {
		if members < 1 || members > maxMembers {
			return fmt.Errorf("agents: --members: %d is not within 1 and %d", members, maxMembers)
		}
		m, err := processtest.Measure(ctx, members, elections, holders, cmd.Duration("length"))
		if err != nil {
			return err
		}
		all = append(all, m)
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := newTable(cmd)
	writeln(t, "agents\telections, ms\tgrants/s\tgrant, ms\tidle: cpu, MB, messages/s\tholders"+
		"\twith leases held: cpu, MB, messages/s\tall got one lease within")
	for _, m := range all {
		election, latency := m.Elections, m.Latency
		writef(t, "%d\tp50 %d, p99 %d, max %d", m.Agents, election.ValueAtQuantile(50), election.ValueAtQuantile(99), election.Max())
		writef(t, "\t%.0f", m.GrantsPerSecond)
		writef(t, "\tp50 %.1f, p99 %.1f", float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000)
		writef(t, "\t%.1f%%, %.0f, %.0f", 100*m.Idle.CPU, m.Idle.Memory, m.Idle.Messages)
		writef(t, "\t%d", m.Holders)
		writef(t, "\t%.1f%%, %.0f, %.0f", 100*m.Holding.CPU, m.Holding.Memory, m.Holding.Messages)
		writef(t, "\t%.1f s\n", m.ContendedLeaseTime.Seconds())
	}
	return t.Flush()
}
