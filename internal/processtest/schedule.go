package processtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/agent"
	"tulipglade/internal/faultinject"
)

// All faults of a schedule start within scheduledFaultTime. After their end, a holder must act within recoveryTimeout:
// elections, the duration of a lease and the pauses of a holder take 4 s on an idle machine.
const (
	scheduledFaultTime = 6 * time.Second
	scheduledFaults    = 8
	recoveryTimeout    = 30 * time.Second

	shortestFaultMs = 300
	longestFaultMs  = 2500
	faultStream     = 0x419 // selects the random stream of a seed that faults are drawn from
)

// ErrIdle is returned for a schedule if no holder acts after the faults have ended.
var ErrIdle = errors.New("no holder acts after the faults")

// drawFaults draws count faults, which start within length, from the seed of the options.
func drawFaults(options Options, length time.Duration, count int) []faultinject.Fault {
	random := rand.New(rand.NewPCG(options.Seed, faultStream))
	faults := faultinject.RandomFaults{Count: count, MinMs: shortestFaultMs, MaxMs: longestFaultMs}
	scope := faultinject.Scope{Processes: options.Agents + options.Holders}
	return faults.Draw(scope, length.Milliseconds(), random)
}

// scheduleStep starts or ends a fault at a time after the start of the schedule.
type scheduleStep struct {
	at  time.Duration
	run func()
}

// scheduleSteps returns the starts and ends of the faults of a plan, sorted by time.
func (h *Harness) scheduleSteps(plan []faultinject.Fault) []scheduleStep {
	var steps []scheduleStep
	for _, fault := range plan {
		var end func()
		start := scheduleStep{time.Duration(fault.Start) * time.Millisecond, func() { end = h.StartFault(fault) }}
		finish := scheduleStep{time.Duration(fault.End()) * time.Millisecond, func() { end() }}
		steps = append(steps, start, finish)
	}
	slices.SortStableFunc(steps, func(a, b scheduleStep) int { return int(a.at - b.at) })
	return steps
}

// RunFaults starts and ends the faults of a plan at their times, and then heals all processes. It returns ErrIdle if no
// holder acts within the recovery timeout after that.
func (h *Harness) RunFaults(ctx context.Context, plan []faultinject.Fault, recovery time.Duration) error {
	start := time.Now()
	for _, step := range h.scheduleSteps(plan) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(step.at))):
		}
		step.run()
	}
	if err := h.Heal(); err != nil {
		return err
	}
	h.log.add(Event{At: agent.Clock(), Process: harnessName, Kind: EventHealed})
	ctx, cancel := context.WithTimeout(ctx, recovery)
	defer cancel()
	_, _, err := h.Await(ctx, h.LogEnd(), func(event Event) bool { return event.Kind == EventActionStarted })
	if err != nil {
		return errors.Join(ErrIdle, err)
	}
	return nil
}

// RunSchedules runs the schedules of consecutive seeds, up to the given number in parallel. It calls report after each
// schedule, one call at a time.
func RunSchedules(
	ctx context.Context,
	firstSeed uint64,
	count, parallel int,
	without DisabledParts,
	report func(seed uint64, findings Findings, err error),
) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	var mu sync.Mutex
	for i := range count {
		seed := firstSeed + uint64(i)
		group.Go(func() error {
			findings, err := RunSchedule(ctx, seed, without)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			mu.Lock()
			defer mu.Unlock()
			report(seed, findings, err)
			return nil
		})
	}
	return group.Wait()
}

// RunSchedule runs the schedule of a seed, with 3 agents, or 5 for every third seed, and 3 holders.
func RunSchedule(ctx context.Context, seed uint64, without DisabledParts) (Findings, error) {
	return runFaultPlan(ctx, seed, without, ScheduleFaults(seed))
}

// ScheduleFaults returns the faults of the schedule of a seed.
func ScheduleFaults(seed uint64) []faultinject.Fault {
	return drawFaults(scheduleOptions(seed, DisabledParts{}), scheduledFaultTime, scheduledFaults)
}

// ReproducesFailure reports whether a plan breaks an invariant, or leaves the group idle, in one of several attempts.
// The attempts differ because the timing of the processes is not drawn from the seed.
func ReproducesFailure(ctx context.Context, seed uint64, without DisabledParts, plan []faultinject.Fault, attempts int) (bool, error) {
	for range attempts {
		findings, err := runFaultPlan(ctx, seed, without, plan)
		if err != nil && !errors.Is(err, ErrIdle) {
			return false, err
		}
		if err != nil || len(findings.Violations) > 0 {
			return true, nil
		}
	}
	return false, nil
}

func scheduleOptions(seed uint64, without DisabledParts) Options {
	options := Options{Agents: 3, Holders: 3, Seed: seed, Disabled: without}
	if seed%3 == 0 {
		options.Agents = 5
	}
	return options
}

func runFaultPlan(ctx context.Context, seed uint64, without DisabledParts, plan []faultinject.Fault) (Findings, error) {
	h, err := Start(scheduleOptions(seed, without))
	if err != nil {
		return Findings{}, err
	}
	defer h.Stop()
	err = h.RunFaults(ctx, plan, recoveryTimeout)
	return Check(h.Log()), err
}
