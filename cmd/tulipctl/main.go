// Command tulipctl is the operators' and developers' tool of tulipglade.
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

// Exit statuses.
const (
	exitSuccess  = 0
	exitNegative = 1 // the command ran, and the answer is no
	exitUsage    = 2 // the command could not start: an argument or a file is wrong
	exitInvalid  = 3 // the measurement is not valid
)

// exitError is an error with the exit status of a command that ran. Other errors exit with exitUsage.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// negativeAnswer returns the error of a command whose answer is no.
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

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "tulipctl",
		Usage:          "simulate, load-test and operate tulipglade nodes",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the exit status is returned below
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

// parseScheduleFlags reads --schedules and --without of a command that runs schedules. The parts that can be left out are given
// by name; the empty name stands for none.
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
