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

// logLevelVariable names the level of the log, such as "debug", which has a line written for each step of each request.
const logLevelVariable = "TULIPGLADE_LOG"

// logFlushTimeout bounds the wait for the last lines of the log.
const logFlushTimeout = time.Second

// reloadSignals is set before main runs: a platform that changes the configuration sends SIGHUP to all processes, also to
// one that it has just started.
var reloadSignals = daemon.NotifyReload()

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tulipglade:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
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
	loadConfig := func() (*daemon.Config, error) { return daemon.Load(cmd.String("config"), os.Getenv) }
	config, err := loadConfig()
	if err != nil {
		return err
	}
	writer := daemon.NewLogWriter(os.Stderr)
	defer writer.Flush(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: logLevel()}))
	return daemon.Serve(ctx, config, loadConfig, reloadSignals, log)
}

func check(_ context.Context, cmd *cli.Command) error {
	config, err := daemon.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "ok: %d classes, %d tenants, %d backends known\n",
		len(config.Node.Classes), len(config.Node.Tenants), len(config.Endpoints.Targets))
	return err
}

func version(_ context.Context, cmd *cli.Command) error {
	moduleVersion, revision := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		moduleVersion = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "tulipglade %s%s\n", moduleVersion, revision)
	return err
}

// logLevel returns the level in the environment, or "info" where there is none.
func logLevel() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv(logLevelVariable))) != nil {
		return slog.LevelInfo
	}
	return level
}
