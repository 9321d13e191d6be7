package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/processtest"
	"tulipglade/internal/simulation/experiment"
)

func processesCommand() *cli.Command {
	return &cli.Command{
		Name:   "processes",
		Usage:  "test leases under faults between real processes; exit 1 if an invariant is violated",
		Action: testProcesses,
		Flags: []cli.Flag{
			seedFlag(),
			schedulesFlag(200),
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "run `N` schedules at a time, of 7 to 9 processes each"},
			&cli.StringFlag{Name: "without", Usage: "leave out a safeguard, `PART`: guard, fence or sync"},
			&cli.BoolFlag{Name: "shrink", Usage: "reduce the first failing schedule to the fewest faults, with three attempts for each set"},
			jsonFlag,
		},
	}
}

const (
	// shrinkAttempts is the number of runs without a failure after which a set of faults counts as passing. A single
	// run is not enough because the timing of real processes varies.
	shrinkAttempts = 3
	// maxFailoverMillis is the highest takeover or election time that a histogram can record, in milliseconds.
	maxFailoverMillis = int64(time.Minute / time.Millisecond)
)

// processTestResult accumulates the findings of all schedules.
type processTestResult struct {
	processtest.Findings
	Schedules int    `json:"schedules"`
	Idle      int    `json:"idle"`
	First     uint64 `json:"first,omitempty"` // seed of the first schedule that failed
}

// addSchedule adds the findings of one schedule. It returns err with the seed of the schedule, except for
// processtest.ErrIdle, which is counted in Idle.
func (r *processTestResult) addSchedule(seed uint64, findings processtest.Findings, err error) error {
	r.Schedules++
	for i, violation := range findings.Violations {
		findings.Violations[i] = fmt.Sprintf("schedule %d: %s", seed, violation)
	}
	r.Add(findings)
	if (err != nil || len(findings.Violations) > 0) && (r.First == 0 || seed < r.First) {
		r.First = seed
	}
	if errors.Is(err, processtest.ErrIdle) {
		r.Idle++
		return nil
	}
	if err != nil {
		return fmt.Errorf("schedule %d: %w", seed, err)
	}
	return nil
}

// failureCount returns the number of violated invariants and of schedules with no action after the faults.
func (r *processTestResult) failureCount() int { return len(r.Violations) + r.Idle }

func testProcesses(ctx context.Context, cmd *cli.Command) error {
	schedules, without, err := parseScheduleFlags(cmd, map[string]processtest.DisabledParts{
		"":      {},
		"guard": {Guard: true},
		"fence": {Fence: true},
		"sync":  {Sync: true},
	})
	if err != nil {
		return err
	}
	result, err := runProcessSchedules(ctx, cmd, schedules, without)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, result)
	} else {
		err = printProcessTest(cmd, result)
	}
	if err != nil {
		return err
	}
	if cmd.Bool("shrink") && result.First > 0 {
		if err := shrinkSchedule(ctx, cmd.Root().Writer, result.First, without); err != nil {
			return err
		}
	}
	return violationError(result.failureCount(), int64(result.First))
}

// runProcessSchedules runs all schedules and accumulates their findings. Its error joins the errors of the schedules
// that could not be run.
func runProcessSchedules(ctx context.Context, cmd *cli.Command, schedules int, without processtest.DisabledParts) (*processTestResult, error) {
	parallel := cmd.Int("parallel")
	if parallel < 1 {
		return nil, errors.New("processes: --parallel must be above 0")
	}
	result := &processTestResult{}
	showProgress, done := newProgressBar(cmd.Root().ErrWriter, "processes"), 0
	var failed error
	collect := func(seed uint64, findings processtest.Findings, err error) {
		failed = errors.Join(failed, result.addSchedule(seed, findings, err))
		done++
		if showProgress != nil {
			showProgress(done, schedules)
		}
	}
	err := processtest.RunSchedules(ctx, cmd.Uint64("seed"), schedules, parallel, without, collect)
	return result, errors.Join(err, failed)
}

// printProcessTest prints the counts and times as a table, then the violations.
func printProcessTest(cmd *cli.Command, result *processTestResult) error {
	t := newTable(cmd)
	printCounters(t, []counter{
		{"schedules", result.Schedules},
		{"grants", result.Grants},
		{"leaders", result.Leaders},
		{"actions admitted", result.Actions},
		{"actions rejected by their fencing token", result.Rejected},
		{"NO ACTIONS AFTER THE FAULTS", result.Idle},
	})
	for _, kind := range slices.Sorted(maps.Keys(result.Faults)) {
		writef(t, "%s\t%d\n", kind, result.Faults[kind])
	}
	if err := printDurations(t, "from a holder's kill, stop or partition to its successor's first action", result.TakeoverTimes); err != nil {
		return err
	}
	if err := printDurations(t, "from a leader's kill, stop or partition to the next leader", result.ElectionTimes); err != nil {
		return err
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, violation := range result.Violations {
		writeln(cmd.Root().Writer, violation)
	}
	return nil
}

// printDurations prints the quantiles of durations as a row of the table t.
func printDurations(t io.Writer, name string, durations []time.Duration) error {
	histogram := hdrhistogram.New(1, maxFailoverMillis, 3)
	for _, duration := range durations {
		if err := histogram.RecordValue(duration.Milliseconds()); err != nil {
			return err
		}
	}
	printQuantiles(t, name, histogram)
	return nil
}

// shrinkSchedule reduces the faults of the schedule with the given seed while it still fails, and prints the remaining
// faults.
func shrinkSchedule(ctx context.Context, out io.Writer, seed uint64, without processtest.DisabledParts) error {
	var failed error
	needed := experiment.DDMin(processtest.ScheduleFaults(seed), func(faults []faultinject.Fault) bool {
		fails, err := processtest.ReproducesFailure(ctx, seed, without, faults, shrinkAttempts)
		failed = errors.Join(failed, err)
		return fails && failed == nil
	})
	if failed != nil {
		return failed
	}
	writef(out, "schedule %d still fails with only these faults:\n", seed)
	for _, fault := range needed {
		writeln(out, fault)
	}
	return nil
}
