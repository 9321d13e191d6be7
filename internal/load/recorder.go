// Package load is an open-loop load generator: it calls a running target by a schedule that does not wait for responses,
// and measures latency from the moment at which each call was due. Where it could not keep its own schedule it reports
// that, and its figures are invalid.
package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Outcome is how a call ended, its retries included.
type Outcome uint8

// The outcomes. Late is served after the class's latency objective.
const (
	Served Outcome = iota
	Late
	Rejected
	Failed
	Timeout
	Unreachable
	outcomeCount
)

// OutcomeNames are the outcomes' names in results, in order.
var OutcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "timed-out", "unreachable"}

// answered reports whether a call was served, late or not: its latency counts.
func (o Outcome) answered() bool { return o == Served || o == Late }

// outcomeOf is the outcome of a call that ended with this answer, as long as it is not late.
func outcomeOf(answer workload.Answer) Outcome {
	return [...]Outcome{
		workload.Served:      Served,
		workload.Rejected:    Rejected,
		workload.Failed:      Failed,
		workload.Timeout:     Timeout,
		workload.Unreachable: Unreachable,
	}[answer]
}

// outcomeCounts are numbers of calls by outcome.
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

// recordLatency records a time in µs. What is longer than the histogram can hold is recorded as its bound, so the only
// error, that of a value out of range, cannot come.
func recordLatency(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(max(micros, 1), maxLatencyMicros))
}

// callState is one call and its progress.
type callState struct {
	call     workload.Call
	attempts int
	ended    bool
}

// interval is what was due within one second.
type interval struct {
	start    int64 // s
	due      int64
	onTime   int64 // whose first attempt was sent in time
	ended    int64
	outcomes outcomeCounts
	latency  *hdrhistogram.Histogram // of served and late calls
}

// group is a class or a tenant.
type group struct {
	outcomes outcomeCounts
	latency  *hdrhistogram.Histogram
}

// recorder counts what becomes of the calls of a run. It does no I/O and reads no clock; all times are µs since the start.
// Each call that was due ends with exactly one outcome. Its memory is bounded by the calls in flight and a few seconds.
type recorder struct {
	scenario  *scenario.Scenario
	retry     *workload.RetryPolicy
	lateSend  int64 // lag in µs beyond which a send does not count as in time
	warmUp    int64
	onClose   func(*interval) error // called once for each interval, in order
	closeErr  error                 // the first error of onClose
	intervals []*interval           // with calls that may still be in flight, the oldest first

	due      int64
	sent     int64
	retries  int64
	inFlight int64

	// Of the calls that were due after the warm-up.
	counted       int64
	outcomes      outcomeCounts
	classes       []group
	tenants       []group
	latency       *hdrhistogram.Histogram // of served and late calls
	byOutcome     [outcomeCount]*hdrhistogram.Histogram
	servedValue   float64
	possibleValue float64

	lag               *hdrhistogram.Histogram
	lateIntervals     int // whose schedule was not kept
	firstLateInterval int64
}

// A send is late beyond ten times the bound of the lag, and at least minLateSend.
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

// closeEnded closes the intervals that are over and of which all calls have ended.
func (r *recorder) closeEnded(now int64) {
	for len(r.intervals) > 0 {
		oldest := r.intervals[0]
		if now < (oldest.start+1)*microsPerSecond || oldest.ended < oldest.due {
			return
		}
		r.closeOldest()
	}
}

// closeAll closes all intervals, at the end of the run.
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

// recordDue counts a call whose moment has come.
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

// recordSend counts an attempt that was due at one moment and is sent at another.
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

// recordAnswer counts the end of an attempt. It reports whether the client retries, and after how long; if not, the call
// has ended.
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

// recordEnd counts the outcome of a call.
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

// checkBalance returns an error if a call has not ended with exactly one outcome, at the end of the run.
func (r *recorder) checkBalance() error {
	ended := int64(0)
	for _, count := range r.outcomes {
		ended += count
	}
	if r.inFlight != 0 || ended != r.counted {
		return fmt.Errorf("accounts: %d calls due after the warm-up, %d ended, %d open", r.counted, ended, r.inFlight)
	}
	return nil
}
