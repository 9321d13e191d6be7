package main

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/fake"
	"tulipglade/internal/load"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/plots"
	"tulipglade/internal/simulation/scenario"
)

func loadCommand() *cli.Command {
	target := &cli.StringSliceFlag{Name: "target", Required: true, Usage: "`ADDRESS` on loopback, one for each site in turn"}
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N` of the schedule"}
	conns := &cli.IntFlag{Name: "conns", Value: load.DefaultConns, Usage: "at most `N` connections"}
	lag := &cli.DurationFlag{Name: "lag", Value: load.DefaultLag, Usage: "the run does not count if tries go out later than `TIME` at p99"}
	perS := &cli.FloatFlag{Name: "per-s", Usage: "calls a second, in place of the scenario's"}
	seconds := &cli.FloatFlag{Name: "seconds", Usage: "length, in place of the scenario's"}
	file := []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
	return &cli.Command{Name: "load", Usage: "call a running target by a schedule that does not wait for answers", Commands: []*cli.Command{
		{Name: "run", Usage: "run a scenario's clients; exit 3 if the schedule was not kept", Arguments: file, ArgsUsage: "SCENARIO",
			Action: runLoad, Flags: []cli.Flag{target, seed, conns, lag, perS, seconds, jsonFlag,
				&cli.StringFlag{Name: "hgrm", Usage: "percentiles in .hgrm form to `FILE`"},
				&cli.StringFlag{Name: "hlog", Usage: "a histogram a second in HdrHistogram's log form to `FILE`"},
				&cli.StringFlag{Name: "plot", Usage: "latency over time, drawn to `FILE`"},
				&cli.StringFlag{Name: "record", Usage: "the calls as a trace to `FILE`, gzipped if it ends in .gz"}}},
		{Name: "find", Usage: "find the highest rate at which p99 and the share not served stay within bounds", Arguments: file,
			ArgsUsage: "SCENARIO", Action: findRate, Flags: []cli.Flag{target, seed, conns, lag, seconds, jsonFlag,
				&cli.FloatFlag{Name: "from", Value: 100, Usage: "first rate"}, &cli.FloatFlag{Name: "to", Value: 100000, Usage: "last rate"},
				&cli.DurationFlag{Name: "p99", Value: 50 * time.Millisecond}, &cli.FloatFlag{Name: "rejected", Value: 0.01},
				&cli.FloatFlag{Name: "close", Value: 0.05, Usage: "how near the ends of the bracket must be, as a ratio"},
				&cli.IntFlag{Name: "confirmations", Value: 3, Usage: "runs at each end"}}},
		{Name: "compare", Usage: "the same schedule against several targets in turn, each NAME=ADDRESS or NAME=ADDRESS,PID", ArgsUsage: "SCENARIO",
			Arguments: file, Action: compareTargets, Flags: []cli.Flag{target, seed, conns, lag, perS, seconds, jsonFlag,
				&cli.IntFlag{Name: "rounds", Value: 5}}},
		{Name: "verify", Usage: "hold the generator against stand-ins with known delays; exit 1 beyond the bound", Action: verifyLoad,
			Flags: []cli.Flag{&cli.FloatFlag{Name: "per-s", Value: 1000}, &cli.FloatFlag{Name: "seconds", Value: 10},
				&cli.DurationFlag{Name: "bound", Value: time.Millisecond}, jsonFlag}},
		{Name: "record", Usage: "make a trace of a world's event log", Arguments: file, ArgsUsage: "LOG", Action: recordTrace,
			Flags: []cli.Flag{&cli.StringFlag{Name: "scenario", Required: true}, &cli.StringFlag{Name: "out", Required: true}}},
		{Name: "null", Usage: "a box that answers at once, until interrupted", Action: serveNull,
			Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"}}},
		{Name: "proxy", Usage: "the yardstick: Go's own reverse proxy over boxes chosen at random, until interrupted", Action: serveProxy,
			Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"}, &cli.StringSliceFlag{Name: "backend", Required: true}}},
	}}
}

// loadPlan reads the scenario named and what the flags change in it.
func loadPlan(cmd *cli.Command) (load.Plan, error) {
	name, err := fileArgument(cmd)
	if err != nil {
		return load.Plan{}, err
	}
	sc, err := scenario.Read(name)
	if err != nil {
		return load.Plan{}, err
	}
	if x := cmd.Float("per-s"); x > 0 {
		sc.Load.PerS = x
	}
	if x := cmd.Float("seconds"); x > 0 {
		sc.Seconds, sc.WarmUp = x, min(sc.WarmUp, x/4)
	}
	if err := sc.Check(); err != nil {
		return load.Plan{}, fmt.Errorf("%s: %w", name, err)
	}
	seed := cmd.Uint64("seed")
	live := emulator.NewLive(sc, seed, discardEffects{})
	return load.Plan{Scenario: sc, Seed: seed, Targets: cmd.StringSlice("target"), Conns: cmd.Int("conns"), Lag: cmd.Duration("lag"),
		Capacity: live.Capacity(), Faults: emulator.Faults(sc, seed)}, nil
}

// create opens a file to be written, gzipped if its name says so; done closes it.
func create(name string) (w io.Writer, done func() error, err error) {
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
	plan, err := loadPlan(cmd)
	if err != nil {
		return err
	}
	var closers []func() error
	open := func(flag string) (io.Writer, error) {
		if cmd.String(flag) == "" {
			return nil, nil
		}
		w, done, err := create(cmd.String(flag))
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
	if plan.Record, err = open("record"); err != nil {
		return err
	}
	if bar := progress(cmd.Root().ErrWriter, "load"); bar != nil {
		all := int(plan.Scenario.Seconds)
		plan.Each = func(s load.Second) { bar(min(int(s.At)+1, all), all) }
	}
	res, err := load.Run(ctx, plan)
	for _, done := range closers {
		err = errors.Join(err, done())
	}
	if err != nil {
		return err
	}
	if name := cmd.String("hgrm"); name != "" {
		w, done, err := create(name)
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

// validityError is the exit status of a run that does not count.
func validityError(results ...*load.Result) error {
	for _, r := range results {
		if !r.Valid {
			return &exitError{exitInvalid, fmt.Errorf("INVALID: %s", strings.Join(r.Invalid, "; "))}
		}
	}
	return nil
}

func printLoadResult(cmd *cli.Command, r *load.Result) error {
	out := cmd.Root().Writer
	if !r.Valid {
		fmt.Fprintf(out, "INVALID: %s\n", strings.Join(r.Invalid, "; "))
	}
	fmt.Fprintf(out, "%s, seed %d: %d calls in %.1f s (%.0f/s), %d tries of which %d repeats, worth in time %.3f\n", r.Scenario, r.Seed,
		r.Calls, r.Seconds, r.PerS, r.Sent, r.Repeats, r.ServedValue)
	fmt.Fprintf(out, "lag p50 %.3f ms, p99 %.3f ms, max %.3f ms; at most %d connections; %.1f µs of processor time a try\n\n", r.Lag.P50,
		r.Lag.P99, r.Lag.Max, r.Conns, r.CPU)
	t := table(cmd)
	fmt.Fprintln(t, "\t"+strings.Join(load.OutcomeNames[:], "\t")+"\tmean ms\tp50\tp90\tp99\tp99.9\tmax")
	row := func(name string, by map[string]int64, l load.Latency) {
		fmt.Fprint(t, name)
		for _, o := range load.OutcomeNames {
			fmt.Fprintf(t, "\t%d", by[o])
		}
		fmt.Fprintf(t, "\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	row("all", r.Outcomes, r.Latency)
	for _, p := range append(r.Classes, r.Tenants...) {
		row(p.Name, p.Outcomes, p.Latency)
	}
	return t.Flush()
}

func findRate(ctx context.Context, cmd *cli.Command) error {
	plan, err := loadPlan(cmd)
	if err != nil {
		return err
	}
	s := load.Search{Objective: load.Objective{P99: cmd.Duration("p99"), MaxRejectedShare: cmd.Float("rejected")}, From: cmd.Float("from"), To: cmd.Float("to"),
		Close: cmd.Float("close"), Confirmations: cmd.Int("confirmations")}
	if s.From <= 0 || s.To < s.From || s.Close <= 0 || s.Confirmations < 1 {
		return fmt.Errorf("find: --from, --to, --close and --sure must be above 0, and --to not below --from")
	}
	found, err := load.Find(ctx, s, func(ctx context.Context, perS float64) (*load.Result, error) {
		sc := *plan.Scenario
		sc.Load.PerS, sc.Load.Shape = perS, "steady"
		p := plan
		p.Scenario = &sc
		return load.Run(ctx, p)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, found)
	}
	t := table(cmd)
	fmt.Fprintln(t, "calls/s\tp99 ms\tnot served\tkept")
	for _, st := range found.Steps {
		fmt.Fprintf(t, "%.0f\t%.1f\t%.4f\t%v%s\n", st.PerS, st.P99, st.RejectedShare, st.WithinBounds, map[bool]string{true: " INVALID"}[st.Invalid != ""])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	out := cmd.Root().Writer
	if found.Limit != "" {
		fmt.Fprintln(out, found.Limit)
	}
	switch {
	case found.Low == 0:
		return negativeAnswer("not even %.0f calls/s keeps p99 within %v and %.1f%% not served", s.From, s.P99, 100*s.MaxRejectedShare)
	case found.High == 0:
		fmt.Fprintf(out, "at least %.0f calls/s (kept in %s)\n", found.Low, found.LowConfidence)
	default:
		fmt.Fprintf(out, "%.0f calls/s (kept in %s); not %.0f (not kept in %s)\n", found.Low, found.LowConfidence, found.High, found.HighOut)
	}
	return nil
}

func compareTargets(ctx context.Context, cmd *cli.Command) error {
	plan, err := loadPlan(cmd)
	if err != nil {
		return err
	}
	var who []load.Contender
	for _, text := range cmd.StringSlice("target") { // a comma parts flags, so NAME=ADDRESS,PID comes as two
		if pid, err := strconv.Atoi(text); err == nil && len(who) > 0 {
			who[len(who)-1].Pid = pid
			continue
		}
		name, addr, ok := strings.Cut(text, "=")
		if !ok {
			return fmt.Errorf("compare: --target: %q is not NAME=ADDRESS", text)
		}
		who = append(who, load.Contender{Name: name, Addr: addr})
	}
	all, err := load.Compare(ctx, who, cmd.Int("rounds"), func(ctx context.Context, addr string) (*load.Result, error) {
		p := plan
		p.Targets = []string{addr}
		return load.Run(ctx, p)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := table(cmd)
	sp := func(s load.Spread, digits int) string {
		return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Median, digits, s.Min, digits, s.Max)
	}
	fmt.Fprintln(t, "target\tµs CPU a call\tratio\tp50 ms\tp99 ms\tratio\tnot served\tpeak MB\tinvalid rounds")
	invalid := 0
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%d\n", s.Name, sp(s.CPU, 1), sp(s.CPURatio, 2), sp(s.P50, 2), sp(s.P99, 2),
			sp(s.P99Ratio, 2), sp(s.NotServed, 4), s.PeakMB, s.Invalid)
		invalid += s.Invalid
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if invalid > 0 {
		return &exitError{exitInvalid, fmt.Errorf("%d rounds did not count: the generator did not keep its schedule", invalid)}
	}
	return nil
}

func verifyLoad(ctx context.Context, cmd *cli.Command) error {
	checks, runs, err := load.Verify(ctx, cmd.Float("per-s"), cmd.Float("seconds"), cmd.Duration("bound"))
	if err != nil {
		return err
	}
	beyond := 0
	t := table(cmd)
	fmt.Fprintln(t, "figure\treported ms\tknown ms\terror ms\t")
	for _, c := range checks {
		mark := ""
		if !c.OK {
			mark, beyond = "BEYOND", beyond+1
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%s\n", c.Name, c.Got, c.Want, c.Got-c.Want, mark)
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, checks)
	} else {
		err = t.Flush()
	}
	if err != nil {
		return err
	}
	if err := validityError(runs...); err != nil {
		return err
	}
	if beyond > 0 {
		return negativeAnswer("%d of %d figures lie more than %v off", beyond, len(checks), cmd.Duration("bound"))
	}
	return nil
}

func recordTrace(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(cmd.String("scenario"))
	if err != nil {
		return err
	}
	in, err := os.Open(name)
	if err != nil {
		return err
	}
	defer in.Close()
	w, done, err := create(cmd.String("out"))
	if err != nil {
		return err
	}
	n, err := fake.Trace(in, w, sc)
	if err := errors.Join(err, done()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d calls\n", n)
	return nil
}

func serveNull(ctx context.Context, cmd *cli.Command) error {
	n, err := fake.StartNull(cmd.String("listen"), nil, nil)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, n.Addr())
	<-ctx.Done()
	n.Close()
	return nil
}

func serveProxy(ctx context.Context, cmd *cli.Command) error {
	listen := cmd.String("listen")
	var boxes []*url.URL
	for _, a := range append(cmd.StringSlice("backend"), listen) {
		if err := loopback.Check(a); err != nil {
			return err
		}
		boxes = append(boxes, &url.URL{Scheme: "http", Host: a})
	}
	boxes = boxes[:len(boxes)-1]
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost, transport.MaxIdleConns = 1024, 4096
	proxy := &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(boxes[rand.IntN(len(boxes))]) }}
	ln, err := fake.Listen(listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, ln.Addr())
	srv := &http.Server{Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// discardEffects hears nothing: it is for reading figures off a fleet that is not played.
type discardEffects struct{ emulator.Effects }

func (discardEffects) Listed(emulator.EndpointEntry) {}
