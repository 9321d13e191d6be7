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

// Plan configures a run of the load generator.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64
	// Targets are the addresses to which the clients of each site connect. If there are fewer targets than sites, the
	// sites are assigned to them round robin.
	Targets []string
	// MaxConns bounds the number of connections to all targets together; 0: DefaultMaxConns.
	MaxConns int
	// MaxLag bounds the p99 of the lag, which is the time from when an attempt was due until it is sent. A run that
	// exceeds it is invalid. 0: DefaultMaxLag.
	MaxLag time.Duration
	// Capacity is the work in µs that the fleet behind the targets can do in each µs. It sets the rate if the scenario
	// states the load as a level of the capacity.
	Capacity float64
	Faults   []faultinject.Fault // only surges have an effect on the load
	// OnSecond is called with the figures of each second once all calls that were due in it have ended, if it is set.
	OnSecond func(Second)
	// Intervals receives the latency histogram of each second, if it is set.
	Intervals *IntervalLog
	// TraceWriter receives each call as a line of a trace when the call is due, if it is set.
	TraceWriter io.Writer
}

// DefaultMaxConns and DefaultMaxLag replace fields of a Plan that are 0.
const (
	DefaultMaxConns = 4096
	DefaultMaxLag   = time.Millisecond
)

// spareDescriptors is the number of descriptors that a run needs in addition to those of its connections.
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

// Run runs the plan until every call that was due has ended, or until ctx is canceled.
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
	// With GOMAXPROCS=1, the goroutines that read from connections would wait while the scheduler sleeps in the kernel.
	// On one core, 14,000 requests a second were sent 1.5 ms late at p99 with GOMAXPROCS=1, and 20,000 were sent 0.2 ms
	// late with GOMAXPROCS=2.
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

// growDescriptorTable makes the kernel's descriptor table of this process large enough for count descriptors, before
// any call is due. The kernel would otherwise double the table during the run, and all threads of the process wait some
// 10 ms each time: this was measured as lag at the 128th and the 256th connection.
func growDescriptorTable(count int) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return // the table then grows during the run
	}
	fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, int(min(uint64(count), limit.Cur-1)))
	if err != nil {
		return
	}
	_ = unix.Close(fd) // the table keeps its size
}

// processorTime returns the processor time that this process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
