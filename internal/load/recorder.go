// Package load is an open-loop load generator: it sends calls to running targets by a schedule that does not wait for
// responses, and measures latency from the time at which each call was due. If the generator could not keep its
// schedule, it reports why and marks the figures as invalid.
package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Outcome is the final result of a call, after its retries.
type Outcome uint8

// The possible outcomes. Late means that the call was served, but later than the class's latency objective.
const (
	Served Outcome = iota
	Late
	Rejected
	Failed
	Timeout
	Unreachable
	outcomeCount
)

// OutcomeNames are the names of the outcomes in results, by Outcome.
var OutcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "timed-out", "unreachable"}

// answered reports whether the call was served, on time or late. Only the latencies of such calls are summarized.
func (o Outcome) answered() bool { return o == Served || o == Late }

// outcomeOf returns the outcome of a call whose last attempt had this answer. It does not distinguish Late from Served.
func outcomeOf(answer workload.Answer) Outcome {
	return [...]Outcome{
		workload.Served:      Served,
		workload.Rejected:    Rejected,
		workload.Failed:      Failed,
		workload.Timeout:     Timeout,
		workload.Unreachable: Unreachable,
	}[answer]
}

// outcomeCounts holds the number of calls by outcome.
type outcomeCounts [outcomeCount]int64

const (
	maxLatencyMicros = int64(100 * time.Second / time.Microsecond)
	histogramDigits  = 3
	microsPerMilli   = 1000
	microsPerSecond  = 1e6
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// recordLatency records a time in µs, limited to the range of the histogram. RecordValue has no error other than that
// of a value out of range, so its error is ignored.
func recordLatency(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(max(micros, 1), maxLatencyMicros))
}

// callState is one call, with the number of its attempts and whether it has ended.
type callState struct {
	call     workload.Call
	attempts int
	ended    bool
}

// interval holds the figures of the calls that were due within one second.
type interval struct {
	start    int64 // s since the start of the run
	due      int64
	onTime   int64 // number of calls whose first attempt was sent on time
	ended    int64
	outcomes outcomeCounts
	latency  *hdrhistogram.Histogram // of served and late calls
}

// group holds the figures of a class or a tenant.
type group struct {
	outcomes outcomeCounts
	latency  *hdrhistogram.Histogram
}

// recorder counts the calls, attempts and outcomes of a run. It does no I/O and reads no clock; all times are µs since
// the start. Each call that was due ends with exactly one outcome. The memory of a recorder is bounded by the calls in
// flight and the intervals of a few seconds.
type recorder struct {
	scenario  *scenario.Scenario
	retry     *workload.RetryPolicy
	lateSend  int64 // lag in µs beyond which a send counts as late
	warmUp    int64
	onClose   func(*interval) error // called once for each interval when it is closed, in order
	closeErr  error                 // the first error of onClose
	intervals []*interval           // intervals that are not closed, the oldest first

	due      int64
	sent     int64
	retries  int64
	inFlight int64

	// Figures of the calls that were due after the warm-up.
	counted       int64
	outcomes      outcomeCounts
	classes       []group
	tenants       []group
	latency       *hdrhistogram.Histogram // of served and late calls
	byOutcome     [outcomeCount]*hdrhistogram.Histogram
	servedValue   float64
	possibleValue float64

	lag               *hdrhistogram.Histogram
	lateIntervals     int // number of intervals in which too many calls were sent late
	firstLateInterval int64
}

// A send is late if its lag exceeds both lateSendFactor times the plan's bound and minLateSend.
const (
	lateSendFactor = 10
	minLateSend    = 10_000 // µs
)

func newRecorder(sc *scenario.Scenario, seed uint64, lagBound time.Duration, onClose func(*interval) error) *recorder {
	r := &recorder{
		scenario: sc,
		retry:    workload.NewRetryPolicy(sc, seed),
		lateSend: max(lateSendFactor*lagBound.Microseconds(), minLateSend),
		warmUp:   int64(sc.WarmUp * microsPerSecond),
		onClose:  onClose,
		latency:  newHistogram(),
		lag:      newHistogram(),
	}
	for i := range r.byOutcome {
		r.byOutcome[i] = newHistogram()
	}
	for range sc.Classes {
		r.classes = append(r.classes, group{latency: newHistogram()})
	}
	for range sc.Tenants {
		r.tenants = append(r.tenants, group{latency: newHistogram()})
	}
	return r
}

// intervalOf returns the interval in which a call was due.
func (r *recorder) intervalOf(due int64) *interval {
	start := due / microsPerSecond
	for i := len(r.intervals) - 1; i >= 0; i-- {
		if r.intervals[i].start == start {
			return r.intervals[i]
		}
	}
	added := &interval{start: start, latency: newHistogram()}
	r.intervals = append(r.intervals, added)
	return added
}

// closeEnded closes the oldest intervals, as long as their second is over and all their calls have ended.
func (r *recorder) closeEnded(now int64) {
	for len(r.intervals) > 0 {
		oldest := r.intervals[0]
		if now < (oldest.start+1)*microsPerSecond || oldest.ended < oldest.due {
			return
		}
		r.closeOldest()
	}
}

// closeAll closes all remaining intervals at the end of the run.
func (r *recorder) closeAll() {
	for len(r.intervals) > 0 {
		r.closeOldest()
	}
}

func (r *recorder) closeOldest() {
	oldest := r.intervals[0]
	r.intervals = r.intervals[1:]
	if missed := oldest.due - oldest.onTime; missed > max(1, oldest.due/1000) {
		if r.lateIntervals == 0 {
			r.firstLateInterval = oldest.start
		}
		r.lateIntervals++
	}
	if err := r.onClose(oldest); err != nil && r.closeErr == nil {
		r.closeErr = err
	}
}

// recordDue counts a call that is due, and returns its state.
func (r *recorder) recordDue(call workload.Call) *callState {
	r.due++
	r.inFlight++
	r.intervalOf(call.Due).due++
	if call.Due >= r.warmUp {
		r.counted++
		r.possibleValue += r.scenario.Classes[call.Class].PriorityWeight
	}
	return &callState{call: call}
}

// recordSend counts an attempt that was due at one time and is sent at now, and records the lag between them.
func (r *recorder) recordSend(state *callState, due, now int64) {
	lag := max(now-due, 0)
	recordLatency(r.lag, lag)
	r.sent++
	state.attempts++
	if state.attempts > 1 {
		r.retries++
		return
	}
	interval := r.intervalOf(state.call.Due)
	if lag <= r.lateSend {
		interval.onTime++
	}
}

// recordAnswer records the answer to an attempt. It reports whether the client retries, and how long it waits before
// that; if the client does not retry, the call has ended.
func (r *recorder) recordAnswer(state *callState, answer workload.Answer, now, retryAfter int64) (wait int64, retry bool) {
	if state.ended {
		return 0, false
	}
	wait, retry = r.retry.Next(&state.call, answer, state.attempts, now-state.call.Due, retryAfter)
	if retry {
		return wait, true
	}
	r.recordEnd(state, answer, now)
	return 0, false
}

// recordEnd ends a call, and counts its outcome.
func (r *recorder) recordEnd(state *callState, answer workload.Answer, now int64) {
	call := &state.call
	class := &r.scenario.Classes[call.Class]
	took := max(now-call.Due, 1)
	outcome := outcomeOf(answer)
	if outcome == Served && took > int64(class.LatencyObjective*microsPerMilli) {
		outcome = Late
	}
	state.ended = true
	r.inFlight--
	interval := r.intervalOf(call.Due)
	interval.ended++
	interval.outcomes[outcome]++
	if outcome.answered() {
		recordLatency(interval.latency, took)
	}
	r.closeEnded(now)
	if call.Due < r.warmUp {
		return
	}
	r.outcomes[outcome]++
	recordLatency(r.byOutcome[outcome], took)
	for _, g := range []*group{&r.classes[call.Class], &r.tenants[call.Tenant]} {
		g.outcomes[outcome]++
		if outcome.answered() {
			recordLatency(g.latency, took)
		}
	}
	if outcome.answered() {
		recordLatency(r.latency, took)
	}
	switch outcome {
	case Served:
		r.servedValue += class.PriorityWeight
	case Late:
		r.servedValue += class.PriorityWeight * class.LateValue
	}
}

// checkBalance returns an error if, at the end of the run, any call has not ended with exactly one outcome.
func (r *recorder) checkBalance() error {
	ended := int64(0)
	for _, count := range r.outcomes {
		ended += count
	}
	if r.inFlight != 0 || ended != r.counted {
		return fmt.Errorf("calls and outcomes do not balance: %d calls due after the warm-up, %d ended, %d in flight",
			r.counted, ended, r.inFlight)
	}
	return nil
}
