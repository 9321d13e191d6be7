package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Plan is one run.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64
	// Targets are where clients connect, by site; where there are fewer than sites, sites share them in turn.
	Targets []string
	// MaxConns bounds the connections, all targets together.
	MaxConns int
	// MaxLag bounds the p99 of the time from when an attempt was due to its sending; beyond it the run is invalid.
	MaxLag time.Duration
	// Capacity is what the fleet behind the target can do, in µs of work for each µs, where the load is a level of it.
	Capacity float64
	Faults   []faultinject.Fault // of which the surges are the clients'
	// OnSecond is called with every second once all its calls have ended.
	OnSecond func(Second)
	// Intervals receives the HDR histogram of each second, if it is set.
	Intervals *IntervalLog
	// TraceWriter receives every call as it falls due, as a line of a trace, if it is set.
	TraceWriter io.Writer
}

// DefaultMaxConns and DefaultMaxLag are used where a Plan leaves them 0.
const (
	DefaultMaxConns = 4096
	DefaultMaxLag   = time.Millisecond
)

// spareDescriptors are those that a run needs beside its connections.
const spareDescriptors = 64

var errNoTarget = errors.New("target: none is given")

func (p *Plan) applyDefaults() {
	if p.MaxConns == 0 {
		p.MaxConns = DefaultMaxConns
	}
	if p.MaxLag == 0 {
		p.MaxLag = DefaultMaxLag
	}
}

func (p *Plan) check() error {
	for _, target := range p.Targets {
		if err := loopback.Check(target); err != nil {
			return fmt.Errorf("target %w", err)
		}
	}
	if len(p.Targets) == 0 {
		return errNoTarget
	}
	return nil
}

// Run plays the plan to its end: until every call that was due has ended, or ctx does.
func Run(ctx context.Context, p Plan) (*Result, error) {
	p.applyDefaults()
	if err := p.check(); err != nil {
		return nil, err
	}
	schedule, err := workload.NewSchedule(p.Scenario, p.Seed, p.Capacity, p.Faults)
	if err != nil {
		return nil, err
	}
	result := newResult(&p)
	r := newRunner(p, func(i *interval) error { return result.addInterval(i, &p) })
	cpuBefore, err := processorTime()
	if err != nil {
		return nil, err
	}
	// With one processor of the runtime, readers would wait while the scheduler sleeps in the kernel: on one core,
	// 14,000 a second went out 1.5 ms late at p99, and 20,000 went out 0.2 ms late with two.
	if processors := runtime.GOMAXPROCS(0); processors < 2 {
		runtime.GOMAXPROCS(2)
		defer runtime.GOMAXPROCS(processors)
	}
	growDescriptorTable(2*p.MaxConns + spareDescriptors)
	if err := r.run(ctx, schedule); err != nil {
		return nil, err
	}
	cpuAfter, err := processorTime()
	if err != nil {
		return nil, err
	}
	r.recorder.closeAll()
	if r.recorder.closeErr != nil {
		return nil, r.recorder.closeErr
	}
	if err := r.recorder.checkBalance(); err != nil {
		return nil, err
	}
	result.computeFigures(r, cpuAfter-cpuBefore, time.Since(r.startedAt))
	return result, nil
}

// growDescriptorTable makes the system's table of descriptors large enough for so many at once, while nothing is due. It
// grows by doubling, and each time all threads of the process wait some 10 ms for it: measured as lag at the 128th and
// the 256th connection.
func growDescriptorTable(count int) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return // it grows during the run, then
	}
	fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, int(min(uint64(count), limit.Cur-1)))
	if err != nil {
		return
	}
	_ = unix.Close(fd) // the descriptor has served its purpose
}

// processorTime is what this process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
