// Command tulipglade is a load-balancing node: clients on one side, backends on the other, and the decision
// module between them.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/daemon"
)

// hangups is there from the first moment that a program has: a platform that changes the configuration sends SIGHUP to all processes,
// also to one that it has just started.
var hangups = daemon.NotifyReload()

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tulipglade:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	config := &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "configuration `FILE`",
		Sources: cli.EnvVars("GW_CONFIG"), Required: true}
	return &cli.Command{
		Name:  "tulipglade",
		Usage: "a load-balancing node for HTTP/1.1",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a node until SIGTERM", Flags: []cli.Flag{config}, Action: serve},
			{Name: "check", Usage: "validate a configuration and exit", Flags: []cli.Flag{config}, Action: check},
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	load := func() (*daemon.Config, error) { return daemon.Load(cmd.String("config"), os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	out := daemon.NewLogWriter(os.Stderr)
	defer out.Flush(time.Second)
	return daemon.Serve(ctx, c, load, hangups, slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: logLevel()})))
}

func check(_ context.Context, cmd *cli.Command) error {
	c, err := daemon.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "ok: %d classes, %d tenants, %d backends known\n",
		len(c.Node.Classes), len(c.Node.Tenants), len(c.Endpoints.Targets))
	return nil
}

func version(_ context.Context, cmd *cli.Command) error {
	v, revision := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "tulipglade %s%s\n", v, revision)
	return nil
}

// logLevel is that of TULIPGLADE_LOG, such as "debug", which has a line written for each step of each request; "info" without it.
func logLevel() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("TULIPGLADE_LOG"))) != nil {
		return slog.LevelInfo
	}
	return level
}
