// Command tulipctl is the operators' and developers' tool of tulipglade.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"tulipglade/internal/agent"
	"tulipglade/internal/deadlineexec"
	"tulipglade/internal/processtest"
)

// What the program exits with.
const (
	exitDone     = 0
	exitNo       = 1 // it was done, and the answer is no
	exitNotBegun = 2 // it could not start: an argument or a file is wrong
	exitInvalid  = 3 // it was measured, but the measurement does not count
)

// exitError is an error that carries the exit status of what was found, not of what could not be started.
type exitError struct {
	code int
	err  error
}

func (a *exitError) Error() string { return a.err.Error() }
func (a *exitError) Unwrap() error { return a.err }

func negativeAnswer(format string, args ...any) error {
	return &exitError{exitNo, fmt.Errorf(format, args...)}
}

func main() {
	deadlineexec.Role(agent.Clock)
	processtest.Role()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "tulipctl",
		Usage:          "try, load and manage tulipglade nodes",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the exit status is chosen below
		Commands:       []*cli.Command{agentsCommand(), demoCommand(), simulateCommand(), leaseCommand(), loadCommand(), rolloutCommand(), clusterCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return fmt.Errorf("there is no command %q; see tulipctl --help", name)
			}
			return cli.ShowAppHelp(cmd)
		},
	}
	err := root.Run(ctx, translateLegacyNames(args))
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(stderr, "tulipctl:", strings.TrimSpace(err.Error()))
	var a *exitError
	if errors.As(err, &a) {
		return a.code
	}
	return exitNotBegun
}

var jsonFlag = &cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// progress returns a function that shows how far a long command is: a bar on a terminal, else nothing.
func progress(w io.Writer, what string) func(done, all int) {
	f, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription(what),
				progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
		}
		_ = bar.Set(done) // a bar that cannot be drawn is no reason to stop
	}
}

// scheduleFlags reads --schedules and --without of a command that plays schedules; parts are by name, and "" is none left out.
func scheduleFlags[T any](cmd *cli.Command, parts map[string]T) (schedules int, without T, err error) {
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
