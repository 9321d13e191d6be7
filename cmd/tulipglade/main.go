// Command tulipglade runs one node of the load balancer. The node accepts requests from clients, and its decision
// module chooses the backend that each request is forwarded to.
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

// logLevelVariable is the environment variable that sets the log level. At the level "debug", the node logs each step
// of each request.
const logLevelVariable = "TULIPGLADE_LOG"

// logFlushTimeout limits how long the program waits at its end until the last log lines are written.
const logFlushTimeout = time.Second

// reloadSignals delivers the SIGHUPs that ask for a reload of the configuration. The handler is installed before main
// runs, because a platform that changes the configuration sends SIGHUP to all processes, including those that it has
// just started, and an unhandled SIGHUP would end the process.
var reloadSignals = daemon.NotifyReload()

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tulipglade:", err)
		os.Exit(1)
	}
}

// newCommand returns the root command of the command line with its sub-commands.
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

// serve runs a node with the configuration file that the command line names, until a signal stops the node.
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

// check validates the configuration file and prints a summary of its contents.
func check(_ context.Context, cmd *cli.Command) error {
	config, err := daemon.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "ok: %d classes, %d tenants, %d backends known\n",
		len(config.Node.Classes), len(config.Node.Tenants), len(config.Endpoints.Targets))
	return err
}

// version prints the module version and, if the build recorded it, the revision of the source.
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

// logLevel returns the log level set in the environment, or "info" if it is unset or invalid.
func logLevel() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv(logLevelVariable))) != nil {
		return slog.LevelInfo
	}
	return level
}
