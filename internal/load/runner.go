package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/workload"
)

const (
	// eventQueueLength is how many events of connections can wait for the scheduler.
	eventQueueLength = 1 << 14
	// maxSleep is the longest time for which the scheduler does not look for events.
	maxSleep = 500 * time.Microsecond
	// cancellationCheckInterval is the number of steps between two looks at the context.
	cancellationCheckInterval = 256
)

// attempt is one sending of a call.
type attempt struct {
	state    *callState
	due      int64
	deadline int64
	conn     *connection // nil: not sent
	ended    bool
	resent   bool // on another connection, as the first one had been closed
	target   int
	traceID  string
}

// runner is the state of the scheduler: one goroutine, on a thread of its own, sends and records. The goroutines of
// connections only take the time and post what has come, so that a burst of responses does not delay the schedule.
type runner struct {
	plan      Plan
	startedAt time.Time
	classes   []balancer.Class
	events    chan event
	done      chan struct{} // closed as the run ends: no more events are taken
	nonce     uint64        // makes the IDs of this run unlike those of others
	wg        sync.WaitGroup

	recorder *recorder
	timers   timerQueue

	open             map[*connection]bool
	idle             [][]*connection // by target
	waiting          [][]*attempt    // by target: for a connection
	connCount        int             // open or being dialed
	peakConns        int
	waitedAtBound    int64 // attempts that had to wait for a connection
	descriptorErrors int64 // dials that failed for want of descriptors or ports
}

func newRunner(p Plan, onInterval func(*interval) error) *runner {
	return &runner{
		plan:     p,
		classes:  p.Scenario.Config(0, make([]float64, len(p.Scenario.Tenants))).Classes,
		events:   make(chan event, eventQueueLength),
		done:     make(chan struct{}),
		nonce:    uint64(time.Now().UnixNano()),
		recorder: newRecorder(p.Scenario, p.Seed, p.MaxLag, onInterval),
		open:     map[*connection]bool{},
		idle:     make([][]*connection, len(p.Targets)),
		waiting:  make([][]*attempt, len(p.Targets)),
	}
}

// run plays the schedule and closes all connections.
func (r *runner) run(ctx context.Context, schedule *workload.Schedule) error {
	r.startedAt = time.Now()
	if r.plan.Intervals != nil {
		if err := r.plan.Intervals.begin(r.startedAt); err != nil {
			return err
		}
	}
	defer r.close()
	return r.runSchedule(ctx, schedule)
}

// now is the time since the start in µs.
func (r *runner) now() int64 { return time.Since(r.startedAt).Microseconds() }

// callSource is a schedule with its next call taken from it.
type callSource struct {
	schedule *workload.Schedule
	next     workload.Call
	more     bool // next holds a call
}

// advance takes the next call from the schedule.
func (s *callSource) advance() error {
	call, err := s.schedule.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	s.next = call
	s.more = err == nil
	return nil
}

// runSchedule sends each call at its moment, and handles timers and events in between, until all calls have ended.
func (r *runner) runSchedule(ctx context.Context, schedule *workload.Schedule) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	source := &callSource{schedule: schedule}
	if err := source.advance(); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if n%cancellationCheckInterval == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		worked, err := r.step(source)
		if err != nil {
			return err
		}
		if worked {
			continue
		}
		if !source.more && r.recorder.inFlight == 0 {
			return nil
		}
		r.sleep(source)
	}
}

// step does the one thing that comes next, and reports whether there was any. What is due goes before events: the
// schedule must be kept. Timeouts go last: what was not received by then has timed out.
func (r *runner) step(source *callSource) (worked bool, err error) {
	now := r.now()
	if source.more && source.next.Due <= now {
		return true, r.startNext(source)
	}
	if first, ok := r.timers.first(); ok && first.retry != nil && first.at <= now {
		r.timers.removeFirst()
		r.startAttempt(first.retry, first.at)
		return true, nil
	}
	select {
	case e := <-r.events:
		e.apply(r)
		return true, nil
	default:
	}
	return r.fireTimer(r.now()), nil
}

// startNext starts the call that is due.
func (r *runner) startNext(source *callSource) error {
	call := source.next
	if r.plan.TraceWriter != nil {
		_, err := fmt.Fprintln(r.plan.TraceWriter, call.Due, call.Class, call.Tenant, call.Site, call.Key)
		if err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	r.startAttempt(r.recorder.recordDue(call), call.Due)
	return source.advance()
}

// fireTimer handles the next timer if it is due, and reports whether it was.
func (r *runner) fireTimer(now int64) bool {
	first, ok := r.timers.first()
	if !ok || first.at > now {
		return false
	}
	r.timers.removeFirst()
	if first.retry != nil {
		r.startAttempt(first.retry, first.at)
		return true
	}
	if a := first.timeout; !a.ended {
		r.endAttempt(a, workload.Timeout, now, 0)
		if a.conn != nil {
			r.closeConn(a.conn)
		}
	}
	return true
}

// sleep waits for what is due next, and for no longer than maxSleep.
func (r *runner) sleep(source *callSource) {
	wake := int64(math.MaxInt64)
	if first, ok := r.timers.first(); ok {
		wake = first.at
	}
	if source.more {
		wake = min(wake, source.next.Due)
	}
	wake = min(wake, r.now()+maxSleep.Microseconds())
	SleepUntil(r.startedAt.Add(time.Duration(wake) * time.Microsecond))
}

// startAttempt makes an attempt of a call that is due.
func (r *runner) startAttempt(state *callState, due int64) {
	a := &attempt{
		state:    state,
		due:      due,
		deadline: due + r.recorder.retry.Timeout(&state.call, due-state.call.Due),
		target:   state.call.Site % len(r.plan.Targets),
		traceID:  r.traceID(state),
	}
	r.timers.add(timer{at: a.deadline, timeout: a})
	r.assignConn(a)
}

// endAttempt ends an attempt: the call ends with it, or a retry is set.
func (r *runner) endAttempt(a *attempt, answer workload.Answer, now, retryAfter int64) {
	a.ended = true
	if a.state.attempts == 0 { // it never got a connection: it counts as sent when it was given up
		r.recorder.recordSend(a.state, a.due, now)
	}
	if wait, retry := r.recorder.recordAnswer(a.state, answer, now, retryAfter); retry {
		r.timers.add(timer{at: now + wait, retry: a.state})
	}
}
