package workload

import (
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/scenario"
)

func scene(t testing.TB, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func all(t testing.TB, sc *scenario.Scenario, list ...faultinject.Fault) []Call {
	t.Helper()
	s, err := NewSchedule(sc, 1, 40, list)
	if err != nil {
		t.Fatal(err)
	}
	var calls []Call
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return calls
		}
		if err != nil {
			t.Fatal(err)
		}
		if len(calls) > 0 && (c.At < calls[len(calls)-1].At || c.Number != calls[len(calls)-1].Number+1) {
			t.Fatalf("%+v after %+v", c, calls[len(calls)-1])
		}
		calls = append(calls, c)
	}
}

// count is how many calls are due within so many seconds.
func count(calls []Call, from, till float64) (n int) {
	for _, c := range calls {
		if at := float64(c.At) / 1e6; at >= from && at < till {
			n++
		}
	}
	return n
}

func TestShapes(t *testing.T) {
	const head = "seconds = 100.0\n[load]\nper_s = 200.0\n"
	for name, c := range map[string]struct {
		text  string
		parts map[[2]float64]float64 // expected calls in these seconds
	}{
		"steady": {"shape = 'steady'", map[[2]float64]float64{{0, 50}: 10000, {50, 100}: 10000}},
		"ramp":   {"shape = 'ramp'\npeak = 3.0", map[[2]float64]float64{{0, 50}: 15000, {50, 100}: 25000}},
		"steps":  {"shape = 'steps'\npeak = 3.0\nwave_s = 50.0", map[[2]float64]float64{{0, 50}: 10000, {50, 100}: 30000}},
		"surge":  {"shape = 'surge'\npeak = 4.0\nfrom_s = 20.0\ntill_s = 40.0", map[[2]float64]float64{{0, 20}: 4000, {20, 40}: 16000, {40, 100}: 12000}},
		"wave":   {"shape = 'wave'\nswing = 0.5\nwave_s = 100.0", map[[2]float64]float64{{0, 50}: 10000 + 200*0.5*100/math.Pi, {50, 100}: 10000 - 200*0.5*100/math.Pi}},
	} {
		t.Run(name, func(t *testing.T) {
			calls := all(t, scene(t, head+c.text))
			for part, want := range c.parts {
				if got := float64(count(calls, part[0], part[1])); math.Abs(got-want) > 4*math.Sqrt(want) {
					t.Errorf("%v: %.0f calls, want about %.0f", part, got, want)
				}
			}
		})
	}
}

// Even gaps stay even at any rate, also where they are longer than the slices in which the rate is looked at.
func TestConstantIsEven(t *testing.T) {
	for _, perS := range []float64{0.5, 7, 1000, 30000} {
		calls := all(t, scene(t, fmt.Sprintf("seconds = 20.0\nload.shape = 'constant'\nload.per_s = %.1f", perS)))
		if want := int(20 * perS); len(calls) < want-1 || len(calls) > want {
			t.Errorf("%g a second: %d calls in 20 s", perS, len(calls))
		}
		for i := 1; i < len(calls); i++ {
			if gap := float64(calls[i].At - calls[i-1].At); math.Abs(gap-1e6/perS) > 1.5 {
				t.Fatalf("%g a second: a gap of %.0f µs", perS, gap)
			}
		}
	}
}

func TestSurgeOfOneTenant(t *testing.T) {
	calls := all(t, scene(t, "seconds = 60.0\nload.per_s = 500.0"), faultinject.Fault{Kind: faultinject.Surge, Start: 20000, Duration: 20000, Size: 5, Tenant: "small"})
	var by [3][3]float64
	for _, c := range calls {
		by[c.At/20e6][c.Tenant]++
	}
	for i, share := range []float64{0.55, 0.29, 0.16} {
		want := 10000 * share
		if i == 2 {
			want *= 5
		}
		if got := by[1][i]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("tenant %d during the surge: %.0f calls, want about %.0f", i, got, want)
		}
		if got := by[2][i]; math.Abs(got-10000*share) > 4*math.Sqrt(10000*share) {
			t.Errorf("tenant %d after the surge: %.0f calls, want about %.0f", i, got, 10000*share)
		}
	}
	silent := all(t, scene(t, "seconds = 9.0\nload.per_s = 500.0"), faultinject.Fault{Kind: faultinject.Surge, Start: 3000, Duration: 3000, Size: 0})
	if count(silent, 3.02, 6) != 0 || count(silent, 6.02, 9) < 1200 {
		t.Errorf("%d calls while there are none, %d after", count(silent, 3.02, 6), count(silent, 6.02, 9))
	}
}

func TestMixesAndWork(t *testing.T) {
	sc := scene(t, "seconds = 100.0\nload.per_s = 1000.0")
	calls := all(t, sc)
	n, work, keys := float64(len(calls)), make([]float64, 3), map[uint64]float64{}
	classes, sites := make([]float64, 3), make([]float64, 3)
	for _, c := range calls {
		classes[c.Class]++
		sites[c.Site]++
		work[c.Class] += c.Work / 1000
		keys[c.Key]++
	}
	for i, c := range sc.Classes {
		if math.Abs(classes[i]/n-c.Share) > 0.01 || math.Abs(work[i]/classes[i]/c.Work-1) > 0.03 {
			t.Errorf("class %d: share %.3f, mean work %.1f ms", i, classes[i]/n, work[i]/classes[i])
		}
	}
	if math.Abs(sites[0]/n-1.3/3) > 0.01 || math.Abs(sites[2]/n-0.7/3) > 0.01 {
		t.Errorf("sites %v", sites)
	}
	if len(keys) < 295 || keys[0] > 0 || math.Abs(keys[1]/keys[2]-math.Pow(2, 0.8)) > 0.2 {
		t.Errorf("%d keys, the first %.0f times and the second %.0f", len(keys), keys[1], keys[2])
	}
}

func trace(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	f, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	var w io.WriteCloser = f
	if strings.HasSuffix(name, ".gz") {
		w = gzip.NewWriter(f)
	}
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(w.Close(), f.Sync()); err != nil && w != io.WriteCloser(f) {
		t.Fatal(err)
	}
	return file
}

func TestTrace(t *testing.T) {
	const text = "# µs class tenant site key\n0 0 0 0 7\n\n1500 1 2 1 0\n1500 2 1 2 9\n9000000 0 0 0 1\n"
	for _, name := range []string{"t.txt", "t.txt.gz"} {
		sc := scene(t, "seconds = 5.0\n[load]\nshape = 'trace'\ntrace = '"+trace(t, name, text)+"'")
		calls := all(t, sc)
		if len(calls) != 3 || calls[1].At != 1500 || calls[2].Key != 9 || calls[1].Class != 1 || calls[1].Tenant != 2 ||
			calls[2].Site != 2 || calls[0].Work <= 0 {
			t.Errorf("%s: %+v", name, calls)
		}
	}
	fast := all(t, scene(t, "seconds = 5.0\n[load]\nshape = 'trace'\ntrace_speed = 3.0\ntrace = '"+trace(t, "t", text)+"'"))
	if len(fast) != 4 || fast[1].At != 500 || fast[3].At != 3000000 {
		t.Errorf("three times as fast: %+v", fast)
	}
	for in, says := range map[string]string{
		"0 0 0 0":              ":1: key: ",
		"0 0 x 0 1":            ":1: tenant: ",
		"0 0 0 0 1\n1 3 0 0 1": ":2: class: there is no number 3 among 3",
		"0 0 0 9 1":            ":1: site: there is no number 9",
		"5 0 0 0 1\n4 0 0 0 1": ":2: µs: 4 is before",
		"-5 0 0 0 1":           ":1: µs: -5 is before",
	} {
		file := trace(t, "bad", in)
		s, err := NewSchedule(scene(t, "[load]\nshape = 'trace'\ntrace = '"+file+"'"), 1, 40, nil)
		for err == nil {
			_, err = s.Next()
		}
		if !strings.HasPrefix(err.Error(), file+says) {
			t.Errorf("%q: %v, want %q", in, err, says)
		}
	}
	if _, err := NewSchedule(scene(t, "[load]\nshape = 'trace'\ntrace = 'nowhere'"), 1, 40, nil); err == nil ||
		!strings.HasPrefix(err.Error(), "load.trace: ") {
		t.Errorf("a file that is not there: %v", err)
	}
}

func TestWhoTriesAgain(t *testing.T) {
	base := "seconds = 10.0\n[clients]\nretries = 2\nbackoff_ms = 100.0\nbackoff_jitter = 0.0\nheed = 1.0\nmax_retry_after_ms = 900.0\n"
	const read, once, rack, ms = 0, 1, 2, 1000
	for name, c := range map[string]struct {
		more                string
		class               int
		how                 Answer
		tries               int
		since, advice, wait int64 // ms; wait below 0: it does not
	}{
		"served":                            {"", read, Served, 1, 10, 0, -1},
		"a read that failed":                {"", read, Failed, 1, 10, 0, 100},
		"a read that timed out, again":      {"", read, Timeout, 2, 10, 0, 200},
		"no try left":                       {"", read, Failed, 3, 10, 0, -1},
		"no time left":                      {"", read, Failed, 1, 1400, 0, -1},
		"just time left":                    {"", read, Failed, 1, 1399, 0, 100},
		"once, refused":                     {"", once, Rejected, 1, 10, 0, 100},
		"once, no node reached":             {"", once, Unreachable, 1, 10, 0, 100},
		"once, failed":                      {"", once, Failed, 1, 10, 0, -1},
		"once, timed out":                   {"", once, Timeout, 1, 10, 0, -1},
		"by key within a rack, failed":      {"", rack, Failed, 1, 10, 0, -1},
		"by key within a rack, refused":     {"", rack, Rejected, 1, 10, 0, 100},
		"advice is heeded":                  {"", read, Rejected, 1, 10, 700, 700},
		"advice shorter than the back-off":  {"", read, Rejected, 1, 10, 50, 100},
		"advice up to the longest":          {"", once, Rejected, 1, 10, 5000, 900},
		"advice that leaves no time":        {"", read, Rejected, 1, 700, 900, -1},
		"advice is not heeded by all":       {"heed = 0.0", read, Rejected, 1, 10, 700, 100},
		"naive clients repeat what may run": {"retry_any = true", once, Timeout, 1, 10, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			text := base
			if k, _, ok := strings.Cut(c.more, " "); ok && strings.Contains(base, k+" ") {
				text = strings.Replace(base, k+" = 1.0", c.more, 1)
			} else {
				text += c.more
			}
			wait, again := NewRetry(scene(t, text), 1).Next(&Call{Class: c.class}, c.how, c.tries, c.since*ms, c.advice*ms)
			if again != (c.wait >= 0) || again && wait != c.wait*ms {
				t.Errorf("again %v after %d µs, want %d ms", again, wait, c.wait)
			}
		})
	}
	r := NewRetry(scene(t, base), 1)
	if p := r.Timeout(&Call{Class: read}, 0); p != 900*ms {
		t.Errorf("a first try is given %d µs", p)
	}
	if p := r.Timeout(&Call{Class: read}, 1000*ms); p != 500*ms {
		t.Errorf("a late try is given %d µs", p)
	}
}
