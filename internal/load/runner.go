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
	// eventQueueLength is the number of events of connections that can wait for the scheduler.
	eventQueueLength = 1 << 14
	// maxSleep is the longest time for which the scheduler sleeps without checking for events.
	maxSleep = 500 * time.Microsecond
	// cancellationCheckInterval is the number of steps between two checks whether the context is canceled.
	cancellationCheckInterval = 256
)

// attempt is the first attempt of a call, or one of its retries.
type attempt struct {
	state    *callState
	due      int64
	deadline int64
	conn     *connection // the connection that it was sent on; nil: it has not been sent
	ended    bool
	resent   bool // sent again on a new connection, as the first one had been closed
	target   int
	traceID  string
}

// runner is the state of the scheduler: one goroutine, on an operating system thread of its own, sends attempts and
// records answers. The goroutines of connections only read the clock and post events, so that a burst of responses does
// not delay the schedule.
type runner struct {
	plan      Plan
	startedAt time.Time
	classes   []balancer.Class
	events    chan event
	done      chan struct{} // closed when the run ends; no events are accepted after that
	nonce     uint64        // makes the IDs of this run differ from those of other runs
	wg        sync.WaitGroup

	recorder *recorder
	timers   timerQueue

	open             map[*connection]bool
	idle             [][]*connection // idle connections by target
	waiting          [][]*attempt    // attempts that wait for a connection, by target
	connCount        int             // number of connections that are open or being dialed
	peakConns        int
	waitedAtBound    int64 // attempts that had to wait for a connection
	descriptorErrors int64 // dials that failed for lack of descriptors or local ports
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

// run runs the schedule, and then closes all connections.
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

// now returns the time since the start in µs.
func (r *runner) now() int64 { return time.Since(r.startedAt).Microseconds() }

// callSource is a schedule with a lookahead of one call.
type callSource struct {
	schedule *workload.Schedule
	next     workload.Call
	more     bool // next is valid: the schedule has not ended
}

// advance reads the next call from the schedule.
func (s *callSource) advance() error {
	call, err := s.schedule.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	s.next = call
	s.more = err == nil
	return nil
}

// runSchedule sends each call when it is due, and handles timers and events in between, until all calls have ended.
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

// step performs at most one action, and reports whether it performed one. Calls and retries that are due come first, so
// that the schedule is kept, and then events. Timeouts come last, so that a response that has already been received is
// not counted as timed out.
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

// startNext writes the next call to the trace, if one is written, and starts it.
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

// fireTimer fires the next timer if it is due, and reports whether it was due.
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

// sleep waits until the next call or timer is due, but no longer than maxSleep.
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

// startAttempt creates the next attempt of a call, sets its timeout and assigns it to a connection.
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

// endAttempt ends an attempt with an answer. It schedules a retry if the client retries; otherwise the call has ended.
func (r *runner) endAttempt(a *attempt, answer workload.Answer, now, retryAfter int64) {
	a.ended = true
	if a.state.attempts == 0 { // it never had a connection: it counts as sent at the time at which it is given up
		r.recorder.recordSend(a.state, a.due, now)
	}
	if wait, retry := r.recorder.recordAnswer(a.state, answer, now, retryAfter); retry {
		r.timers.add(timer{at: now + wait, retry: a.state})
	}
}
