package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/processtest"
	"tulipglade/internal/simulation/experiment"
)

// scheduleRun is what schedules between processes have shown, together.
type scheduleRun struct {
	processtest.Findings
	Schedules int    `json:"schedules"`
	Idle      int    `json:"idle"`
	First     uint64 `json:"first,omitempty"` // that broke something
}

func testProcesses(ctx context.Context, cmd *cli.Command) error {
	n, without, err := scheduleFlags(cmd, map[string]processtest.Without{"": {}, "guard": {Guard: true}, "fence": {Fence: true}, "sync": {Sync: true}})
	if err != nil {
		return err
	}
	atOnce := cmd.Int("at-once")
	if atOnce < 1 {
		return errors.New("processes: --at-once must be above 0")
	}
	const most = int64(time.Minute / time.Millisecond)
	all := scheduleRun{}
	show, done := progress(cmd.Root().ErrWriter, "processes"), 0
	var failed error
	err = processtest.Schedules(ctx, cmd.Uint64("seed"), n, atOnce, without, func(seed uint64, f processtest.Findings, err error) {
		all.Schedules++
		for i := range f.Broken {
			f.Broken[i] = fmt.Sprintf("schedule %d: %s", seed, f.Broken[i])
		}
		all.Add(f)
		if errors.Is(err, processtest.ErrIdle) {
			all.Idle++
		} else if err != nil {
			failed = errors.Join(failed, fmt.Errorf("schedule %d: %w", seed, err))
		}
		if (err != nil || len(f.Broken) > 0) && (all.First == 0 || seed < all.First) {
			all.First = seed
		}
		if done++; show != nil {
			show(done, n)
		}
	})
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, all); err != nil {
			return err
		}
	} else {
		t := table(cmd)
		fmt.Fprintf(t, "schedules\t%d\ngrants\t%d\nleaders\t%d\nacts let in\t%d\nacts refused by their token\t%d\nNOBODY ACTS AFTER THE FAULTS\t%d\n",
			all.Schedules, all.Grants, all.Leaders, all.Acts, all.Rejected, all.Idle)
		for _, kind := range slices.Sorted(maps.Keys(all.Faults)) {
			fmt.Fprintf(t, "%s\t%d\n", kind, all.Faults[kind])
		}
		for _, h := range []struct {
			what string
			of   []time.Duration
		}{{"from a holder's kill, stop or cut to the next one's first act", all.Gaps}, {"from a leader's kill, stop or cut to another's lead", all.LeaderTimes}} {
			took := hdrhistogram.New(1, most, 3)
			for _, d := range h.of {
				if err := took.RecordValue(d.Milliseconds()); err != nil {
					return err
				}
			}
			if len(h.of) > 0 {
				fmt.Fprintf(t, "%s, ms\tp50 %d, p99 %d, max %d, of %d\n", h.what, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max(), len(h.of))
			}
		}
		if err := t.Flush(); err != nil {
			return err
		}
		for _, b := range all.Broken {
			fmt.Fprintln(cmd.Root().Writer, b)
		}
	}
	if cmd.Bool("shrink") && all.First > 0 {
		least := experiment.DDMin(processtest.Faults(all.First), func(list []faultinject.Fault) bool {
			fails, err := processtest.Fails(ctx, all.First, without, list, 3)
			failed = errors.Join(failed, err)
			return fails && failed == nil
		})
		if failed != nil {
			return failed
		}
		fmt.Fprintf(cmd.Root().Writer, "schedule %d needs of its faults:\n", all.First)
		for _, f := range least {
			fmt.Fprintln(cmd.Root().Writer, f)
		}
	}
	if len(all.Broken)+all.Idle > 0 {
		return negativeAnswer("what must hold is broken %d times, first by schedule %d", len(all.Broken)+all.Idle, all.First)
	}
	return nil
}

func measureAgents(ctx context.Context, cmd *cli.Command) error {
	elections, holders := cmd.Int("elections"), cmd.Int("holders")
	if elections < 1 || holders < 1 || cmd.Duration("length") < time.Second {
		return errors.New("agents: --elections and --holders must be above 0, --length 1s at least")
	}
	var all []processtest.Measured
	for _, n := range cmd.IntSlice("members") {
		if n < 1 || n > 9 {
			return fmt.Errorf("agents: --members: %d is not within 1 and 9", n)
		}
		m, err := processtest.Measure(ctx, n, elections, holders, cmd.Duration("length"))
		if err != nil {
			return err
		}
		all = append(all, m)
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, all)
	}
	t := table(cmd)
	fmt.Fprintln(t, "agents\telections, ms\tgrants/s\tgrant, ms\tidle: cpu, MB, messages/s\tholders\theld: cpu, MB, messages/s\tall have had one lease")
	for _, m := range all {
		e, l := m.Elections, m.Latency
		fmt.Fprintf(t, "%d\tp50 %d, p99 %d, max %d\t%.0f\tp50 %.1f, p99 %.1f\t%.1f%%, %.0f, %.0f\t%d\t%.1f%%, %.0f, %.0f\t%.1f s\n", m.Agents, e.ValueAtQuantile(50),
			e.ValueAtQuantile(99), e.Max(), m.GrantsPS, float64(l.ValueAtQuantile(50))/1000, float64(l.ValueAtQuantile(99))/1000, 100*m.Idle.CPU, m.Idle.Memory,
			m.Idle.Pieces, m.Holders, 100*m.Holding.CPU, m.Holding.Memory, m.Holding.Pieces, m.Rush.Seconds())
	}
	return t.Flush()
}
