// Command tulipagent is a member of the group of 3, 5 or 7 agents that agrees on leases for a fleet.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tulipagent:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

// Names of the flags.
const (
	flagDir      = "dir"
	flagGroup    = "group"
	flagID       = "id"
	flagMember   = "member"
	flagInterval = "interval"
	flagDrift    = "drift"
	flagAddress  = "address"
	flagTopology = "topology"
)

// command returns the root command of tulipagent with its sub-commands.
func command() *cli.Command {
	return &cli.Command{
		Name:     "tulipagent",
		Usage:    "a member of the group that agrees on leases for a fleet",
		Commands: []*cli.Command{initCommand(), joinCommand(), serveCommand(), checkCommand()},
	}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDir, Aliases: []string{"d"}, Usage: "the member's `FOLDER`", Required: true}
}

func groupFlag() cli.Flag {
	return &cli.StringFlag{Name: flagGroup, Value: "tulipglade", Usage: "`NAME` of the group"}
}

func idFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagID, Usage: "the member's `NUMBER`, above those of all members there ever were", Required: true}
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "create the folder of a first member of a new group, with the same members and terms for each of them",
		Flags: []cli.Flag{
			dirFlag(),
			groupFlag(),
			idFlag(),
			&cli.StringSliceFlag{Name: flagMember, Usage: "`ID=ADDRESS` of each first member", Required: true},
			&cli.DurationFlag{Name: flagInterval, Value: 200 * time.Millisecond, Usage: "`TIME` between two ticks, in which leases are measured"},
			&cli.FloatFlag{Name: flagDrift, Value: 0.01, Usage: "`FRACTION` by which clocks may be fast or slow"},
		},
		Action: initMember,
	}
}

func joinCommand() *cli.Command {
	return &cli.Command{
		Name:  "join",
		Usage: "create the folder of a member that is added to a group",
		Flags: []cli.Flag{
			dirFlag(),
			groupFlag(),
			idFlag(),
			&cli.StringFlag{Name: flagAddress, Usage: "its `ADDRESS`", Required: true},
		},
		Action: joinGroup,
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the member until SIGTERM",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringFlag{Name: flagTopology, Usage: "take part in failover, with the zones and classes of `FILE`"},
		},
		Action: serve,
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "print what a stopped member's folder contains, or what is wrong with it",
		Flags:  []cli.Flag{dirFlag()},
		Action: check,
	}
}

// serve runs the member until ctx ends or the member fails.
func serve(ctx context.Context, cmd *cli.Command) error {
	options := agent.Options{Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}
	if file := cmd.String(flagTopology); file != "" {
		failoverOptions, err := loadTopology(file)
		if err != nil {
			return err
		}
		options.Failover = failoverOptions
	}
	return agent.Serve(ctx, cmd.String(flagDir), options)
}
