package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/experiment"
	"tulipglade/internal/simulation/plots"
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name:   "cost",
		Usage:  "measure the processor time of decisions by numbers of endpoints and nodes",
		Action: measureDecisionCost,
		Flags: []cli.Flag{
			policyFlag(),
			&cli.IntSliceFlag{Name: "endpoints", Value: []int{10, 100, 1000, 10000}, Usage: "number `N` of endpoints, repeatable"},
			&cli.IntSliceFlag{Name: "nodes", Value: []int{3, 30, 300}, Usage: "number `N` of nodes, repeatable"},
			&cli.DurationFlag{Name: "each", Value: 3 * time.Second, Usage: "`TIME` of each measurement"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` for a plot, .svg or .png"},
			jsonFlag,
		},
	}
}

func measureDecisionCost(ctx context.Context, cmd *cli.Command) error {
	names, err := selectedPolicies(cmd)
	if err != nil {
		return err
	}
	var all []experiment.Cost
	for _, policyName := range names {
		for _, nodes := range cmd.IntSlice("nodes") {
			for _, endpoints := range cmd.IntSlice("endpoints") {
				if err := ctx.Err(); err != nil {
					return err
				}
				c, err := experiment.Measure(policyName, endpoints, nodes, cmd.Duration("each"))
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
	t := newTable(cmd)
	writeln(t, "policy\tendpoints\tnodes\trequests/s of the node\tµs per request\tµs per complete list\tcores needed")
	for _, c := range all {
		writef(t, "%s\t%d\t%d\t%.1f\t%.2f\t%.0f\t%.3f\n",
			c.Policy, c.Endpoints, c.Nodes, c.RequestsPerSecond, c.MicrosPerRequest, c.MicrosPerList,
			c.RequestsPerSecond*c.MicrosPerRequest/1e6)
	}
	return t.Flush()
}
