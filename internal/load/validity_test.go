package load

import (
	"strings"
	"testing"
	"time"

	"tulipglade/internal/workload"
)

// One second in which too many calls are sent late must make a run invalid, although the lag of the whole run is within
// its bound at p99.
func TestOneShortSecondInvalidatesRun(t *testing.T) {
	rec, _ := newTestRecorder(t, noRetries)
	for n := range int64(20_000) {
		at := n * 500
		call := rec.recordDue(workload.Call{Number: uint64(n), Due: at})
		lag := int64(10)
		if at >= 3_000_000 && at < 3_010_000 { // 20 of the 2,000 in one second: 0.1% of all
			lag = 50_000
		}
		rec.recordSend(call, at, at+lag)
		rec.recordAnswer(call, workload.Served, at+lag+100, 0)
	}
	rec.closeAll()
	res := &Result{Lag: LagReport{BoundMs: 1}}
	r := &runner{plan: Plan{Scenario: parse(t, noRetries)}, recorder: rec}
	res.computeFigures(r, time.Second, 10*time.Second)
	if res.Valid || rec.lateIntervals != 1 || rec.firstLateInterval != 3 || len(res.Invalid) < 2 ||
		!strings.Contains(res.Invalid[0], "in 1 seconds, the first at 3 s") {
		t.Errorf("valid %v, %d short seconds: %v", res.Valid, rec.lateIntervals, res.Invalid)
	}
	if res.Lag.P99 > 1 {
		t.Errorf("lag p99 %.3f ms: the run as a whole must be within the bound", res.Lag.P99)
	}
}

func TestInvalidRunNamesWhatTheGeneratorLacked(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *runner)
		cpu    time.Duration
		want   string
	}{
		"processor":   {func(*runner) {}, time.Hour, "CPU: the generator used"},
		"connections": {func(r *runner) { r.waitedAtBound, r.plan.MaxConns = 7, 3 }, 0, "connections: 7 requests waited at the bound of 3"},
		"descriptors": {func(r *runner) { r.descriptorErrors = 2 }, 0, "descriptors: 2 connections"},
		"others":      {func(*runner) {}, 0, "cause not seen"},
	} {
		rec, _ := newTestRecorder(t, noRetries)
		call := rec.recordDue(workload.Call{})
		rec.recordSend(call, 0, 3_000_000)
		rec.recordAnswer(call, workload.Served, 3_000_100, 0)
		r := &runner{plan: Plan{Scenario: parse(t, noRetries)}, recorder: rec}
		c.change(r)
		res := &Result{Lag: LagReport{BoundMs: 1}}
		res.computeFigures(r, c.cpu, time.Second)
		if res.Valid || !strings.Contains(strings.Join(res.Invalid, "\n"), c.want) {
			t.Errorf("%s: valid %v: %q", name, res.Valid, res.Invalid)
		}
	}
}
