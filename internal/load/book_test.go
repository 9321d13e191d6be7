package load

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// The same verdict on every run: cases are drawn from one seed. Others: go test -args -rapid.seed N.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func scene(t testing.TB, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

const oneTry = "seconds = 10.0\nwarm_up_s = 0.0\nclients.retries = 0\n"
const threeTries = "seconds = 10.0\nwarm_up_s = 0.0\n[clients]\nretries = 2\nbackoff_ms = 100.0\nbackoff_jitter = 0.0\nheed = 0.0\n"

func newTestBook(t testing.TB, text string) (*book, *[]second) {
	var closed []second
	b := newBook(scene(t, text), 1, time.Millisecond, func(s *second) error { closed = append(closed, *s); return nil })
	return b, &closed
}

// A repeat that succeeds makes one served call, whose time runs from when the first try was due.
func TestRepeatsAreFolded(t *testing.T) {
	b, _ := newTestBook(t, threeTries)
	e := b.arrive(workload.Call{At: 1_000_000})
	b.send(e, 1_000_000, 1_000_100)
	wait, again := b.answer(e, workload.Rejected, 1_050_000, 0)
	if !again || wait != 100_000 {
		t.Fatalf("again %v after %d µs", again, wait)
	}
	b.send(e, 1_150_000, 1_150_000)
	if _, again := b.answer(e, workload.Served, 1_400_000, 0); again {
		t.Fatal("a call that was served is repeated")
	}
	if b.due != 1 || b.sent != 2 || b.repeats != 1 || b.by != [outcomes]int64{Served: 1} || b.open != 0 {
		t.Errorf("due %d, sent %d, repeats %d, %v, open %d", b.due, b.sent, b.repeats, b.by, b.open)
	}
	if got := b.all.Max(); got < 399_000 || got > 401_000 {
		t.Errorf("took %d µs, want 400,000 from the first try's moment", got)
	}
	if err := b.balance(); err != nil {
		t.Error(err)
	}
	if _, again := b.answer(e, workload.Failed, 1_500_000, 0); again || b.by[Failed] != 0 {
		t.Error("a late answer of a try changes how the call ended")
	}
}

func TestLateIsNotServed(t *testing.T) {
	b, _ := newTestBook(t, oneTry)
	for i, took := range []int64{599_000, 601_000} { // the class's aim is 600 ms
		e := b.arrive(workload.Call{Number: uint64(i)})
		b.send(e, 0, 0)
		b.answer(e, workload.Served, took, 0)
	}
	if b.by[Served] != 1 || b.by[Late] != 1 || b.worth != 1 || b.asked != 2 {
		t.Errorf("%v, worth %g of %g", b.by, b.worth, b.asked)
	}
}

// Whatever answers come, in whatever order: every call that was due ends with one outcome, seconds are closed once and
// in order, and what is kept does not grow with the length of the run.
func TestBooksBalance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b, closed := newTestBook(t, threeTries)
		type out struct {
			e  *entry
			at int64
		}
		var flying []out
		now := int64(0)
		for i := range rapid.IntRange(1, 200).Draw(rt, "calls") {
			now += rapid.Int64Range(0, 400_000).Draw(rt, "gap")
			e := b.arrive(workload.Call{Number: uint64(i), At: now, Class: i % 3, Tenant: i % 2})
			b.send(e, now, now+rapid.Int64Range(0, 5000).Draw(rt, "lag"))
			flying = append(flying, out{e, now})
			for len(flying) > rapid.IntRange(0, 10).Draw(rt, "open") {
				k := rapid.IntRange(0, len(flying)-1).Draw(rt, "which")
				e := flying[k].e
				how := workload.Answer(rapid.IntRange(0, int(workload.Unreachable)).Draw(rt, "how"))
				if wait, again := b.answer(e, how, now, 0); again {
					b.send(e, now+wait, now+wait)
				} else {
					flying = append(flying[:k], flying[k+1:]...)
				}
			}
			if len(b.window) > 40 {
				rt.Fatalf("%d seconds kept", len(b.window))
			}
		}
		for _, o := range flying {
			for again := true; again; {
				if _, again = b.answer(o.e, workload.Timeout, now+20_000_000, 0); again {
					b.send(o.e, now, now)
				}
			}
		}
		b.sweep(math.MaxInt64, true)
		if err := b.balance(); err != nil {
			rt.Fatal(err)
		}
		due := int64(0)
		for i, s := range *closed {
			due += s.due
			if i > 0 && s.start < (*closed)[i-1].start {
				rt.Errorf("second %d closed after %d", s.start, (*closed)[i-1].start)
			}
			if s.due != s.ended {
				rt.Errorf("second %d closed with %d of %d ended", s.start, s.ended, s.due)
			}
		}
		if due != b.due {
			rt.Errorf("seconds hold %d calls of %d", due, b.due)
		}
	})
}

// The balance has to be able to fail.
func TestBalanceSeesALostCall(t *testing.T) {
	b, _ := newTestBook(t, oneTry)
	b.arrive(workload.Call{})
	if b.balance() == nil {
		t.Error("a call that never ended is not missed")
	}
}

// A second whose schedule was not kept is seen even where the run as a whole kept it.
func TestOneShortSecondInvalidates(t *testing.T) {
	b, _ := newTestBook(t, oneTry)
	for n := range int64(20_000) {
		at := n * 500
		e := b.arrive(workload.Call{Number: uint64(n), At: at})
		lag := int64(10)
		if at >= 3_000_000 && at < 3_010_000 { // 20 of the 2,000 in one second: 0.1% of all
			lag = 50_000
		}
		b.send(e, at, at+lag)
		b.answer(e, workload.Served, at+lag+100, 0)
	}
	b.sweep(math.MaxInt64, true)
	res := &Result{Lag: LagReport{BoundMs: 1}}
	r := &runner{plan: Plan{Scenario: scene(t, oneTry)}, book: b}
	res.fill(r, time.Second, 10*time.Second)
	if res.Valid || b.shortest != 1 || b.firstShort != 3 || len(res.Invalid) < 2 || !strings.Contains(res.Invalid[0], "in 1 seconds, the first at 3 s") {
		t.Errorf("valid %v, %d short seconds: %v", res.Valid, b.shortest, res.Invalid)
	}
	if res.Lag.P99 > 1 {
		t.Errorf("lag p99 %.3f ms: the whole run was to look well", res.Lag.P99)
	}
}

func TestWhyARunDoesNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *runner)
		cpu    time.Duration
		says   string
	}{
		"processor":   {func(*runner) {}, time.Hour, "CPU: the generator used"},
		"connections": {func(r *runner) { r.atBound = 7; r.plan.Conns = 3 }, 0, "connections: 7 tries waited at the bound of 3"},
		"descriptors": {func(r *runner) { r.noFiles = 2 }, 0, "descriptors: 2 connections"},
		"others":      {func(*runner) {}, 0, "cause not seen"},
	} {
		b, _ := newTestBook(t, oneTry)
		e := b.arrive(workload.Call{})
		b.send(e, 0, 3_000_000)
		b.answer(e, workload.Served, 3_000_100, 0)
		r := &runner{plan: Plan{Scenario: scene(t, oneTry)}, book: b}
		c.change(r)
		res := &Result{Lag: LagReport{BoundMs: 1}}
		res.fill(r, c.cpu, time.Second)
		if res.Valid || !strings.Contains(strings.Join(res.Invalid, "\n"), c.says) {
			t.Errorf("%s: valid %v: %q", name, res.Valid, res.Invalid)
		}
	}
}

// Find against targets whose limit is known: steep, noisy, beyond the generator, and none.
func TestFind(t *testing.T) {
	s := Search{Objective: Objective{P99: 50 * time.Millisecond, MaxRejectedShare: 0.01}, From: 100, To: 100000, Close: 0.05, Confirmations: 3}
	calls := 0
	target := func(limit, generator float64, noise int) func(context.Context, float64) (*Result, error) {
		calls = 0
		return func(_ context.Context, perS float64) (*Result, error) {
			calls++
			r := &Result{Valid: perS <= generator, Calls: 1000, Outcomes: map[string]int64{"served": 1000}, Latency: Latency{P99: 10}}
			if !r.Valid {
				r.Invalid = []string{"CPU"}
			}
			if perS > limit || noise > 0 && calls%noise == 0 {
				r.Outcomes["served"], r.Outcomes["refused"] = 900, 100
			}
			return r, nil
		}
	}
	for name, c := range map[string]struct {
		limit, generator float64
		noise            int
		low, high        float64 // within which the answer must lie
		says             string
	}{
		"a steep limit":             {7300, 1e9, 0, 6900, 7700, ""},
		"one run in nine is unwell": {7300, 1e9, 9, 5000, 8000, ""},
		"the generator is short":    {1e9, 5000, 0, 3000, 5000, "generator did not keep its schedule: CPU"},
		"no limit":                  {1e9, 1e9, 0, 100000, 100000, "highest asked for, was carried"},
		"not even the first":        {50, 1e9, 0, 0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := Find(t.Context(), s, target(c.limit, c.generator, c.noise))
			if err != nil {
				t.Fatal(err)
			}
			if f.Low < c.low || f.Low > max(c.high, c.low) || c.says != "" && !strings.Contains(f.Limit, c.says) || calls > 60 {
				t.Errorf("low %.0f (%s), high %.0f (%s), %q after %d runs", f.Low, f.LowConfidence, f.High, f.HighOut, f.Limit, calls)
			}
			if c.noise == 0 && c.low > 0 && c.limit < 1e9 && (f.LowConfidence != "3 of 3 runs" || f.HighOut != "3 of 3 runs" || f.High/f.Low > 1.051) {
				t.Errorf("low %s, high %s", f.LowConfidence, f.HighOut)
			}
		})
	}
	broken := errors.New("broken")
	if _, err := Find(t.Context(), s, func(context.Context, float64) (*Result, error) { return nil, broken }); !errors.Is(err, broken) {
		t.Errorf("%v", err)
	}
}

func TestCompareLeavesOutWhatDoesNotCount(t *testing.T) {
	round := 0
	got, err := Compare(t.Context(), []Contender{{Name: "a", Addr: "1"}, {Name: "b", Addr: "2"}}, 3,
		func(_ context.Context, addr string) (*Result, error) {
			round++
			r := &Result{Valid: round != 3, Calls: 100, Outcomes: map[string]int64{"served": 90}, Latency: Latency{P99: 10, P50: 1}}
			if addr == "2" {
				r.Latency.P99 = 20
			}
			return r, nil
		})
	if err != nil {
		t.Fatal(err)
	}
	if got[0].Invalid != 1 || got[1].Invalid != 0 || got[1].P99 != (Spread{20, 20, 20}) || math.Abs(got[0].NotServed.Median-0.1) > 1e-9 {
		t.Errorf("%+v", got)
	}
	if s := spreadOf([]float64{4, 1, 3, 2}); s != (Spread{2.5, 1, 4}) {
		t.Errorf("%+v", s)
	}
	if cpu, err := processCPU(1 << 30); err == nil {
		t.Errorf("a process that is not there used %v", cpu)
	}
}

func TestHistogramLogCanBeRead(t *testing.T) {
	var out bytes.Buffer
	l := NewIntervalLog(&out)
	if err := l.begin(time.Unix(1000, 0)); err != nil {
		t.Fatal(err)
	}
	for i := range int64(3) {
		s := &second{start: i, latency: newHist()}
		_ = s.latency.RecordValue(1000 * (i + 1))
		if err := l.interval(s); err != nil {
			t.Fatal(err)
		}
	}
	text := out.String()
	if !strings.HasPrefix(text, "#[Histogram log format version 1.3]") || strings.Count(text, "HISTF") != 3 {
		t.Errorf("%s", text)
	}
	if !strings.Contains(text, "\n1002.000000,1.000000,0.003") {
		t.Errorf("no interval at the third second:\n%s", text)
	}
}
