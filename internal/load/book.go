// Package load calls a running target by a schedule that does not wait for answers, and tells what came of it from
// the moment at which each call was due. Where it could not keep its own schedule it says so: its figures then count
// for nothing.
package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Outcome is how a call ended, its repeats included.
type Outcome uint8

// The outcomes. Late is served after the class's aim.
const (
	Served Outcome = iota
	Late
	Rejected
	Failed
	Timeout
	Unreachable
	outcomes
)

// OutcomeNames are the outcomes' names, in order.
var OutcomeNames = [outcomes]string{"served", "late", "refused", "failed", "timed-out", "unreachable"}

const (
	histMax    = int64(100 * time.Second / time.Microsecond)
	histDigits = 3
)

// entry is one call and how far it has got.
type entry struct {
	call  workload.Call
	tries int
	done  bool
}

// second is what was due within one second.
type second struct {
	start   int64 // s
	due     int64
	onTime  int64
	ended   int64
	by      [outcomes]int64
	latency *hdrhistogram.Histogram // of served and late
}

// book keeps the accounts of a run. It does no I/O and reads no clock; all times are µs since the start. Each call that
// was due ends with exactly one outcome. Its memory is bounded by what is open and a few seconds.
type book struct {
	sc     *scenario.Scenario
	retry  *workload.Retry
	bound  int64 // µs of lag
	late   int64 // µs of lag beyond which a send does not count as in time
	warmUp int64

	due, sent, repeats, open int64
	counted                  int64 // due after the warm-up
	by                       [outcomes]int64
	classes                  []group
	tenants                  []group
	all                      *hdrhistogram.Histogram
	byOutcome                [outcomes]*hdrhistogram.Histogram
	lag                      *hdrhistogram.Histogram
	window                   []*second // of which calls may still be open, the oldest first
	closed                   func(*second) error
	err                      error
	worth, asked             float64
	shortest                 int // seconds whose schedule was not kept
	firstShort               int64
	longest                  int64
}

// group is a class or a tenant.
type group struct {
	by      [outcomes]int64
	latency *hdrhistogram.Histogram
}

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func newBook(sc *scenario.Scenario, seed uint64, bound time.Duration, closed func(*second) error) *book {
	b := &book{sc: sc, retry: workload.NewRetry(sc, seed), bound: bound.Microseconds(), all: newHist(), lag: newHist(), closed: closed,
		warmUp: int64(sc.WarmUp * 1e6)}
	b.late = max(10*b.bound, 10_000)
	for i := range b.byOutcome {
		b.byOutcome[i] = newHist()
	}
	for _, c := range sc.Classes {
		b.classes = append(b.classes, group{latency: newHist()})
		b.longest = max(b.longest, int64(c.Deadline*1000))
	}
	for range sc.Tenants {
		b.tenants = append(b.tenants, group{latency: newHist()})
	}
	return b
}

// second finds the account of the second in which a call was due; those so old that nothing of them can be open are
// closed on the way.
func (b *book) second(us int64) *second {
	s := us / 1e6
	for i := len(b.window) - 1; i >= 0; i-- {
		if b.window[i].start == s {
			return b.window[i]
		}
	}
	x := &second{start: s, latency: newHist()}
	b.window = append(b.window, x)
	return x
}

// sweep closes the seconds that are complete.
func (b *book) sweep(now int64, all bool) {
	for len(b.window) > 0 {
		w := b.window[0]
		if !all && (now < (w.start+1)*1e6 || w.ended < w.due) {
			return
		}
		if missed := w.due - w.onTime; missed > max(1, w.due/1000) {
			if b.shortest == 0 {
				b.firstShort = w.start
			}
			b.shortest++
		}
		if err := b.closed(w); err != nil && b.err == nil {
			b.err = err
		}
		b.window = b.window[1:]
	}
}

// arrive is a call whose moment has come.
func (b *book) arrive(c workload.Call) *entry {
	b.due++
	b.open++
	b.second(c.At).due++
	if c.At >= b.warmUp {
		b.counted++
		b.asked += b.sc.Classes[c.Class].PriorityWeight
	}
	return &entry{call: c}
}

// send is a try on its way, due at a moment and begun at another.
func (b *book) send(e *entry, due, now int64) {
	lag := max(now-due, 0)
	b.sent++
	if e.tries++; e.tries > 1 {
		b.repeats++
	}
	// What is longer than the histogram can hold keeps its bound.
	_ = b.lag.RecordValue(min(max(lag, 1), histMax))
	if s := b.second(e.call.At); e.tries == 1 && lag <= b.late {
		s.onTime++
	}
}

// answer is the end of a try. It tells whether the client tries again, and after how long; if not, the call has ended.
func (b *book) answer(e *entry, how workload.Answer, now, retryIn int64) (wait int64, again bool) {
	if e.done {
		return 0, false
	}
	if wait, again = b.retry.Next(&e.call, how, e.tries, now-e.call.At, retryIn); again {
		return wait, true
	}
	out := [...]Outcome{workload.Served: Served, workload.Rejected: Rejected, workload.Failed: Failed, workload.Timeout: Timeout,
		workload.Unreachable: Unreachable}[how]
	took := max(now-e.call.At, 1)
	class := &b.sc.Classes[e.call.Class]
	if out == Served && took > int64(class.LatencyObjective*1000) {
		out = Late
	}
	e.done = true
	b.open--
	s := b.second(e.call.At)
	s.ended++
	s.by[out]++
	if out <= Late {
		_ = s.latency.RecordValue(min(took, histMax))
	}
	b.sweep(now, false)
	if e.call.At < b.warmUp {
		return 0, false
	}
	b.by[out]++
	_ = b.byOutcome[out].RecordValue(min(took, histMax))
	for _, g := range []*group{&b.classes[e.call.Class], &b.tenants[e.call.Tenant]} {
		g.by[out]++
		if out <= Late {
			_ = g.latency.RecordValue(min(took, histMax))
		}
	}
	if out <= Late {
		_ = b.all.RecordValue(min(took, histMax))
	}
	switch out {
	case Served:
		b.worth += class.PriorityWeight
	case Late:
		b.worth += class.PriorityWeight * class.LateValue
	}
	return 0, false
}

// balance tells what is wrong with the accounts at the end, if anything is.
func (b *book) balance() error {
	ended := int64(0)
	for _, n := range b.by {
		ended += n
	}
	if b.open != 0 || ended != b.counted {
		return fmt.Errorf("accounts: %d calls due after the warm-up, %d ended, %d open", b.counted, ended, b.open)
	}
	return nil
}
