// Command tulipctl is the command-line tool with which operators and developers simulate, load-test and operate
// tulipglade nodes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
	"tulipglade/internal/deadlineexec"
	"tulipglade/internal/processtest"
)

// Exit statuses of tulipctl.
const (
	exitSuccess  = 0
	exitNegative = 1 // the command ran, and a check failed or the requested result was not reached
	exitUsage    = 2 // the command could not run, usually because an argument or a file is wrong
	exitInvalid  = 3 // the load generator did not keep its schedule, so the measurement is not valid
)

// exitError is an error that determines the exit status of tulipctl. For all other errors, the exit status is
// exitUsage.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// negativeAnswer returns a formatted error with the exit status exitNegative.
func negativeAnswer(format string, args ...any) error {
	return &exitError{exitNegative, fmt.Errorf(format, args...)}
}

func main() {
	deadlineexec.RunSupervisor(agent.Clock)
	processtest.RunRole()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run executes the command line args and returns the exit status. Errors are printed to stderr.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "tulipctl",
		Usage:          "simulate, load-test and operate tulipglade nodes",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // run returns the exit status
		Commands: []*cli.Command{
			agentsCommand(),
			demoCommand(),
			simulateCommand(),
			leaseCommand(),
			loadCommand(),
			rolloutCommand(),
			clusterCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return fmt.Errorf("there is no command %q; see tulipctl --help", name)
			}
			return cli.ShowAppHelp(cmd)
		},
	}
	err := root.Run(ctx, translateLegacyNames(args))
	if err == nil {
		return exitSuccess
	}
	writeln(stderr, "tulipctl:", strings.TrimSpace(err.Error()))
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

// parseScheduleFlags returns the values of --schedules and --without of a command that runs fault schedules. The map
// parts has an entry for each safeguard that --without can disable, by its name; the entry with the empty name
// disables none.
func parseScheduleFlags[T any](cmd *cli.Command, parts map[string]T) (schedules int, without T, err error) {
	schedules = cmd.Int("schedules")
	if schedules < 1 {
		return 0, without, fmt.Errorf("%s: --schedules must be above 0", cmd.Name)
	}
	without, ok := parts[cmd.String("without")]
	if !ok {
		return 0, without, fmt.Errorf("%s: --without: %q is none of %s", cmd.Name, cmd.String("without"),
			strings.TrimPrefix(strings.Join(slices.Sorted(maps.Keys(parts)), ", "), ", "))
	}
	return schedules, without, nil
}
