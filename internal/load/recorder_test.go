package load

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// TestMain sets a fixed seed for rapid, so that all runs check the same cases. To check others, run
// go test -args -rapid.seed N.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func parse(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	sc, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

const noRetries = "seconds = 10.0\nwarm_up_s = 0.0\nclients.retries = 0\n"

const twoRetries = `seconds = 10.0
warm_up_s = 0.0
[clients]
retries = 2
backoff_ms = 100.0
backoff_jitter = 0.0
heed = 0.0
`

// newTestRecorder returns a recorder with a lag bound of 1 ms, and the slice to which it appends closed intervals.
func newTestRecorder(tb testing.TB, text string) (*recorder, *[]interval) {
	tb.Helper()
	var closed []interval
	rec := newRecorder(parse(tb, text), 1, time.Millisecond, func(i *interval) error {
		closed = append(closed, *i)
		return nil
	})
	return rec, &closed
}

// A call that is served by a retry must count as one served call, and its latency must include the first attempt and
// the backoff: it is measured from when the first attempt was due.
func TestRetriesCountAsOneCall(t *testing.T) {
	rec, _ := newTestRecorder(t, twoRetries)
	call := rec.recordDue(workload.Call{Due: 1_000_000})
	rec.recordSend(call, 1_000_000, 1_000_100)
	wait, retry := rec.recordAnswer(call, workload.Rejected, 1_050_000, 0)
	if !retry || wait != 100_000 {
		t.Fatalf("retry %v after %d µs", retry, wait)
	}
	rec.recordSend(call, 1_150_000, 1_150_000)
	if _, retry := rec.recordAnswer(call, workload.Served, 1_400_000, 0); retry {
		t.Fatal("a served call is retried")
	}
	if rec.due != 1 || rec.sent != 2 || rec.retries != 1 || rec.outcomes != (outcomeCounts{Served: 1}) || rec.inFlight != 0 {
		t.Errorf("due %d, sent %d, retries %d, %v, in flight %d", rec.due, rec.sent, rec.retries, rec.outcomes, rec.inFlight)
	}
	if got := rec.latency.Max(); got < 399_000 || got > 401_000 {
		t.Errorf("took %d µs, want 400,000 from when the first attempt was due", got)
	}
	if err := rec.checkBalance(); err != nil {
		t.Error(err)
	}
	if _, retry := rec.recordAnswer(call, workload.Failed, 1_500_000, 0); retry || rec.outcomes[Failed] != 0 {
		t.Error("an answer after the end of a call changes its outcome")
	}
}

func TestServedAfterLatencyObjectiveIsLate(t *testing.T) {
	rec, _ := newTestRecorder(t, noRetries)
	for i, took := range []int64{599_000, 601_000} { // the class's latency objective is 600 ms
		call := rec.recordDue(workload.Call{Number: uint64(i)})
		rec.recordSend(call, 0, 0)
		rec.recordAnswer(call, workload.Served, took, 0)
	}
	if rec.outcomes[Served] != 1 || rec.outcomes[Late] != 1 || rec.servedValue != 1 || rec.possibleValue != 2 {
		t.Errorf("%v, value %g of %g", rec.outcomes, rec.servedValue, rec.possibleValue)
	}
}

// For any answers in any order, every call that was due must end with exactly one outcome, intervals must be closed
// once and in order, and the number of retained intervals must not grow with the length of the run.
func TestEveryCallEndsWithOneOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rec, closed := newTestRecorder(t, twoRetries)
		var inFlight []*callState
		now := int64(0)
		for i := range rapid.IntRange(1, 200).Draw(rt, "calls") {
			now += rapid.Int64Range(0, 400_000).Draw(rt, "gap")
			call := rec.recordDue(workload.Call{Number: uint64(i), Due: now, Class: i % 3, Tenant: i % 2})
			rec.recordSend(call, now, now+rapid.Int64Range(0, 5000).Draw(rt, "lag"))
			inFlight = append(inFlight, call)
			for len(inFlight) > rapid.IntRange(0, 10).Draw(rt, "open") {
				k := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "which")
				answer := workload.Answer(rapid.IntRange(0, int(workload.Unreachable)).Draw(rt, "how"))
				if wait, retry := rec.recordAnswer(inFlight[k], answer, now, 0); retry {
					rec.recordSend(inFlight[k], now+wait, now+wait)
				} else {
					inFlight = append(inFlight[:k], inFlight[k+1:]...)
				}
			}
			if len(rec.intervals) > 40 {
				rt.Fatalf("%d intervals retained", len(rec.intervals))
			}
		}
		for _, call := range inFlight {
			for retry := true; retry; {
				if _, retry = rec.recordAnswer(call, workload.Timeout, now+20_000_000, 0); retry {
					rec.recordSend(call, now, now)
				}
			}
		}
		rec.closeAll()
		if err := rec.checkBalance(); err != nil {
			rt.Fatal(err)
		}
		due := int64(0)
		for i, interval := range *closed {
			due += interval.due
			if i > 0 && interval.start < (*closed)[i-1].start {
				rt.Errorf("second %d closed after %d", interval.start, (*closed)[i-1].start)
			}
			if interval.due != interval.ended {
				rt.Errorf("second %d closed with %d of %d ended", interval.start, interval.ended, interval.due)
			}
		}
		if due != rec.due {
			rt.Errorf("intervals hold %d calls of %d", due, rec.due)
		}
	})
}

// checkBalance must return an error for a call that never ends, or it would not detect calls lost by the recorder.
func TestCheckBalanceReportsALostCall(t *testing.T) {
	rec, _ := newTestRecorder(t, noRetries)
	rec.recordDue(workload.Call{})
	if rec.checkBalance() == nil {
		t.Error("a call that never ended is not reported")
	}
}
