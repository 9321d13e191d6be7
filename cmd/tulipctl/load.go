package main

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/scenario"
)

// loadCommand returns the sub-commands of the load generator.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "call a running target by a schedule that does not wait for answers",
		Commands: []*cli.Command{
			runLoadCommand(),
			findRateCommand(),
			compareTargetsCommand(),
			verifyLoadCommand(),
			recordTraceCommand(),
			nullServerCommand(),
			proxyCommand(),
		},
	}
}

// loadFlags returns the flags that readLoadPlan reads, followed by the flags own of one sub-command.
func loadFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "target", Required: true, Usage: "`ADDRESS` on loopback, repeatable: one for each site in turn"},
		seedFlag(),
		&cli.IntFlag{Name: "conns", Value: load.DefaultMaxConns, Usage: "at most `N` connections"},
		maxLagFlag(),
		&cli.FloatFlag{Name: "seconds", Usage: "length `X`, instead of the scenario's"},
		jsonFlag,
	}, own...)
}

func rateFlag() cli.Flag {
	return &cli.FloatFlag{Name: "per-s", Usage: "rate of `X` calls per second, instead of the scenario's"}
}

func runLoadCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run a scenario's clients; exit 3 if the schedule was not kept",
		Arguments: fileArguments(),
		ArgsUsage: "SCENARIO",
		Action:    runLoad,
		Flags: loadFlags(
			rateFlag(),
			&cli.StringFlag{Name: "hgrm", Usage: "`FILE` for percentiles in .hgrm form"},
			&cli.StringFlag{Name: "hlog", Usage: "`FILE` for a histogram per second in HdrHistogram's log form"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` for a plot of latency over time"},
			&cli.StringFlag{Name: "record", Usage: "`FILE` for a trace of the calls, gzipped if it ends in .gz"},
		),
	}
}

// readLoadPlan reads the scenario that the argument names, applies the flags of loadFlags and --per-s, and returns the
// plan of a run.
func readLoadPlan(cmd *cli.Command) (load.Plan, error) {
	name, err := fileArgument(cmd)
	if err != nil {
		return load.Plan{}, err
	}
	sc, err := scenario.Read(name)
	if err != nil {
		return load.Plan{}, err
	}
	if rate := cmd.Float("per-s"); rate > 0 {
		sc.Load.PerS = rate
	}
	if seconds := cmd.Float("seconds"); seconds > 0 {
		sc.Seconds, sc.WarmUp = seconds, min(sc.WarmUp, seconds/4)
	}
	if err := sc.Check(); err != nil {
		return load.Plan{}, fmt.Errorf("%s: %w", name, err)
	}
	seed := cmd.Uint64("seed")
	live := emulator.NewLive(sc, seed, discardEffects{})
	return load.Plan{
		Scenario: sc,
		Seed:     seed,
		Targets:  cmd.StringSlice("target"),
		MaxConns: cmd.Int("conns"),
		MaxLag:   cmd.Duration("lag"),
		Capacity: live.Capacity(),
		Faults:   emulator.Faults(sc, seed),
	}, nil
}

// createOutputFile creates the named file and returns a writer to it, which compresses with gzip if the name ends in
// .gz. The function done flushes the writer and closes the file.
func createOutputFile(name string) (w io.Writer, done func() error, err error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	if strings.HasSuffix(name, ".gz") {
		z := gzip.NewWriter(f)
		return z, func() error { return errors.Join(z.Close(), f.Close()) }, nil
	}
	return f, f.Close, nil
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	plan, err := readLoadPlan(cmd)
	if err != nil {
		return err
	}
	var closers []func() error
	open := func(flag string) (io.Writer, error) {
		if cmd.String(flag) == "" {
			return nil, nil
		}
		w, done, err := createOutputFile(cmd.String(flag))
		if err != nil {
			return nil, fmt.Errorf("--%s: %w", flag, err)
		}
		closers = append(closers, done)
		return w, nil
	}
	hlog, err := open("hlog")
	if err != nil {
		return err
	}
	if hlog != nil {
		plan.Intervals = load.NewIntervalLog(hlog)
	}
	if plan.TraceWriter, err = open("record"); err != nil {
		return err
	}
	if bar := newProgressBar(cmd.Root().ErrWriter, "load"); bar != nil {
		all := int(plan.Scenario.Seconds)
		plan.OnSecond = func(s load.Second) { bar(min(int(s.Start)+1, all), all) }
	}
	res, err := load.Run(ctx, plan)
	for _, done := range closers {
		err = errors.Join(err, done())
	}
	if err != nil {
		return err
	}
	if name := cmd.String("hgrm"); name != "" {
		w, done, err := createOutputFile(name)
		if err != nil {
			return err
		}
		if err := errors.Join(res.WriteHgrm(w), done()); err != nil {
			return err
		}
	}
	if name := cmd.String("plot"); name != "" {
		if err := plots.Load(name, res, plan.Faults); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, res)
	} else {
		err = printLoadResult(cmd, res)
	}
	return errors.Join(err, validityError(res))
}

// validityError returns an error with the exit status exitInvalid for the first result that is not valid, and nil if
// all are valid.
func validityError(results ...*load.Result) error {
	for _, r := range results {
		if !r.Valid {
			return &exitError{exitInvalid, fmt.Errorf("INVALID: %s", strings.Join(r.Invalid, "; "))}
		}
	}
	return nil
}

// printLoadResult prints the totals of a run and a table of outcomes and latencies by class and tenant.
func printLoadResult(cmd *cli.Command, r *load.Result) error {
	out := cmd.Root().Writer
	if !r.Valid {
		writef(out, "INVALID: %s\n", strings.Join(r.Invalid, "; "))
	}
	writef(out, "%s, seed %d: %d calls in %.1f s (%.0f/s), %d requests of which %d retries, value served in time %.3f\n",
		r.Scenario, r.Seed, r.Calls, r.Seconds, r.PerS, r.Sent, r.Retries, r.ServedValue)
	writef(out, "lag p50 %.3f ms, p99 %.3f ms, max %.3f ms; at most %d connections; %.1f µs of processor time per request\n\n", r.Lag.P50,
		r.Lag.P99, r.Lag.Max, r.PeakConns, r.CPUPerAttempt)
	t := newTable(cmd)
	writeln(t, "\t"+strings.Join(load.OutcomeNames[:], "\t")+"\tmean ms\tp50\tp90\tp99\tp99.9\tmax")
	row := func(name string, by map[string]int64, l load.Latency) {
		write(t, name)
		for _, o := range load.OutcomeNames {
			writef(t, "\t%d", by[o])
		}
		writef(t, "\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	row("all", r.Outcomes, r.Latency)
	for _, p := range append(r.Classes, r.Tenants...) {
		row(p.Name, p.Outcomes, p.Latency)
	}
	return t.Flush()
}

// discardEffects ignores the initial endpoint list of an emulated fleet. It serves to read the capacity of a fleet
// whose emulation is never advanced, so no other method of emulator.Effects is called.
type discardEffects struct{ emulator.Effects }

// Listed ignores an entry of the initial endpoint list.
func (discardEffects) Listed(emulator.EndpointEntry) {}
