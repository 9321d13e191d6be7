package workload

import (
	"errors"
	"fmt"
	"io"
	"math"
	"testing"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/scenario"
)

func parse(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	sc, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

func allCalls(tb testing.TB, sc *scenario.Scenario, faults ...faultinject.Fault) []Call {
	tb.Helper()
	schedule, err := NewSchedule(sc, 1, 40, faults)
	if err != nil {
		tb.Fatal(err)
	}
	var calls []Call
	for {
		call, err := schedule.Next()
		if errors.Is(err, io.EOF) {
			return calls
		}
		if err != nil {
			tb.Fatal(err)
		}
		if last := len(calls) - 1; last >= 0 && (call.Due < calls[last].Due || call.Number != calls[last].Number+1) {
			tb.Fatalf("%+v after %+v", call, calls[last])
		}
		calls = append(calls, call)
	}
}

// count returns the number of calls due between two times, in seconds since the start; until is excluded.
func count(calls []Call, from, until float64) (n int) {
	for _, c := range calls {
		if at := float64(c.Due) / 1e6; at >= from && at < until {
			n++
		}
	}
	return n
}

func TestLoadShapesHaveExpectedRates(t *testing.T) {
	const head = "seconds = 100.0\n[load]\nper_s = 200.0\n"
	for name, c := range map[string]struct {
		text  string
		parts map[[2]float64]float64 // expected number of calls, by the start and end of a period in seconds
	}{
		"steady": {"shape = 'steady'", map[[2]float64]float64{{0, 50}: 10000, {50, 100}: 10000}},
		"ramp":   {"shape = 'ramp'\npeak = 3.0", map[[2]float64]float64{{0, 50}: 15000, {50, 100}: 25000}},
		"steps":  {"shape = 'steps'\npeak = 3.0\nwave_s = 50.0", map[[2]float64]float64{{0, 50}: 10000, {50, 100}: 30000}},
		"surge": {
			"shape = 'surge'\npeak = 4.0\nfrom_s = 20.0\ntill_s = 40.0",
			map[[2]float64]float64{{0, 20}: 4000, {20, 40}: 16000, {40, 100}: 12000},
		},
		"wave": {
			"shape = 'wave'\nswing = 0.5\nwave_s = 100.0",
			map[[2]float64]float64{{0, 50}: 10000 + 200*0.5*100/math.Pi, {50, 100}: 10000 - 200*0.5*100/math.Pi},
		},
	} {
		t.Run(name, func(t *testing.T) {
			calls := allCalls(t, parse(t, head+c.text))
			for part, want := range c.parts {
				if got := float64(count(calls, part[0], part[1])); math.Abs(got-want) > 4*math.Sqrt(want) {
					t.Errorf("%v: %.0f calls, want about %.0f", part, got, want)
				}
			}
		})
	}
}

// The gaps of a constant load must be even at any rate, also if they are longer than rateInterval, so that the search
// for the next arrival spans several intervals.
func TestConstantLoadHasEvenGaps(t *testing.T) {
	for _, perS := range []float64{0.5, 7, 1000, 30000} {
		calls := allCalls(t, parse(t, fmt.Sprintf("seconds = 20.0\nload.shape = 'constant'\nload.per_s = %.1f", perS)))
		if want := int(20 * perS); len(calls) < want-1 || len(calls) > want {
			t.Errorf("%g a second: %d calls in 20 s", perS, len(calls))
		}
		for i := 1; i < len(calls); i++ {
			if gap := float64(calls[i].Due - calls[i-1].Due); math.Abs(gap-1e6/perS) > 1.5 {
				t.Fatalf("%g a second: a gap of %.0f µs", perS, gap)
			}
		}
	}
}

func TestSurgeMultipliesOneTenant(t *testing.T) {
	surge := faultinject.Fault{Kind: faultinject.Surge, Start: 20000, Duration: 20000, Size: 5, Tenant: "small"}
	calls := allCalls(t, parse(t, "seconds = 60.0\nload.per_s = 500.0"), surge)
	var byPeriod [3][3]float64 // number of calls by period of 20 s and tenant
	for _, c := range calls {
		byPeriod[c.Due/20e6][c.Tenant]++
	}
	for i, share := range []float64{0.55, 0.29, 0.16} {
		want := 10000 * share
		if i == 2 {
			want *= 5
		}
		if got := byPeriod[1][i]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("tenant %d during the surge: %.0f calls, want about %.0f", i, got, want)
		}
		if got := byPeriod[2][i]; math.Abs(got-10000*share) > 4*math.Sqrt(10000*share) {
			t.Errorf("tenant %d after the surge: %.0f calls, want about %.0f", i, got, 10000*share)
		}
	}
	silence := faultinject.Fault{Kind: faultinject.Surge, Start: 3000, Duration: 3000, Size: 0}
	silent := allCalls(t, parse(t, "seconds = 9.0\nload.per_s = 500.0"), silence)
	if count(silent, 3.02, 6) != 0 || count(silent, 6.02, 9) < 1200 {
		t.Errorf("%d calls during a surge of size 0, %d after it", count(silent, 3.02, 6), count(silent, 6.02, 9))
	}
}

func TestCallsHaveExpectedMixAndWork(t *testing.T) {
	sc := parse(t, "seconds = 100.0\nload.per_s = 1000.0")
	calls := allCalls(t, sc)
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
