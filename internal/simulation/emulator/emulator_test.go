package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// TestMain draws the cases of every run from one seed. For others: go test -args -rapid.seed N -rapid.checks 1000.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func parseScenario(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	sc, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

func play(tb testing.TB, sc *scenario.Scenario, maker policy.Maker, seed uint64, opts ...Option) *Result {
	tb.Helper()
	w, err := New(sc, seed, maker, opts...)
	if err != nil {
		tb.Fatal(err)
	}
	r, err := w.Run()
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

func findPolicy(tb testing.TB, name string) policy.Maker {
	tb.Helper()
	m, err := policy.Find(name)
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

func marshalResult(tb testing.TB, r *Result) string {
	tb.Helper()
	raw, err := json.Marshal(r)
	if err != nil {
		tb.Fatal(err)
	}
	return string(raw)
}

// drawScenario draws a scenario that varies every part and is small enough for hundreds of runs.
func drawScenario(t *rapid.T) *scenario.Scenario {
	sc := scenario.Default()
	sc.Seconds, sc.WarmUp = rapid.Float64Range(1, 6).Draw(t, "seconds"), 0
	sc.Fleet.Backends = rapid.IntRange(1, 9).Draw(t, "boxes")
	sc.Nodes.Count = rapid.IntRange(1, 5).Draw(t, "nodes")
	sc.Load.Level = rapid.Float64Range(0.1, 1.5).Draw(t, "level")
	sc.Load.Shape = rapid.SampledFrom([]string{"steady", "constant", "wave", "ramp"}).Draw(t, "shape")
	sc.Net.Jitter = rapid.Float64Range(0, 0.5).Draw(t, "jitter")
	sc.Net.Stale = rapid.Float64Range(0, 0.1).Draw(t, "stale")
	sc.Fleet.Report.IncludesInFlight = rapid.Bool().Draw(t, "held")
	sc.Rules.AllowHealthChecks = rapid.Bool().Draw(t, "probe")
	sc.RandomFaults = faultinject.RandomFaults{Count: rapid.IntRange(0, 6).Draw(t, "faults"), MinMs: 200, MaxMs: 3000}
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	return &sc
}

// The same scenario and seed give the same bytes, whatever the order in which the components are created.
func TestRunsAreDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		maker := findPolicy(t, rapid.SampledFrom(policy.Names()).Draw(rt, "policy"))
		r := rand.New(rand.NewPCG(seed, 9))
		first := marshalResult(t, play(t, sc, maker, seed))
		if repeated := marshalResult(t, play(t, sc, maker, seed)); repeated != first {
			rt.Fatalf("two runs differ:\n%.300s\n%.300s", first, repeated)
		}
		if shuffled := marshalResult(t, play(t, sc, maker, seed, Shuffled(r.Perm))); shuffled != first {
			rt.Fatalf("the order in which components are created matters:\n%.300s\n%.300s", first, shuffled)
		}
	})
}

// In random scenarios each call ends once, and all connections that backends count are those that nodes hold.
func TestCallsAndConnectionsAreConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		simulation, err := New(sc, rapid.Uint64().Draw(rt, "seed"), findPolicy(t, rapid.SampledFrom(policy.Names()).Draw(rt, "policy")))
		if err != nil {
			rt.Fatal(err)
		}
		r, err := simulation.Run()
		if err != nil {
			rt.Fatal(err)
		}
		ended := int64(0)
		for _, n := range r.Outcomes {
			ended += n
		}
		if ended != r.Calls {
			rt.Errorf("%d calls, %d ended: %v", r.Calls, ended, r.Outcomes)
		}
		if simulation.checker.InFlight() > 0 && len(simulation.lostAttempts) == 0 {
			rt.Errorf("the invariant checker still tracks %d requests", simulation.checker.InFlight())
		}
		for _, b := range simulation.backends {
			nodeConnections := 0
			for _, n := range simulation.nodes {
				if p := n.pools[b]; p != nil && p.incarnation == b.incarnation {
					nodeConnections += len(p.idleSince)
				}
				for _, request := range n.requests {
					for _, a := range request.attempts {
						if a.holdsConnection && a.incarnation == b.incarnation && a.backend == b {
							nodeConnections++
						}
					}
				}
			}
			if b.incarnation.connections != nodeConnections {
				rt.Errorf("backend %d counts %d connections, nodes hold %d", b.id, b.incarnation.connections, nodeConnections)
			}
		}
	})
}

func TestSeedChangesTheRun(t *testing.T) {
	sc := parseScenario(t, "seconds = 5.0")
	if m := findPolicy(t, "random"); marshalResult(t, play(t, sc, m, 1)) == marshalResult(t, play(t, sc, m, 2)) {
		t.Error("the seed does not matter")
	}
}

// The random draws of a component must not depend on other components: with more backends and nodes, calls arrive at the
// same times.
func TestExtraComponentsDoNotChangeTheSchedule(t *testing.T) {
	a := play(t, parseScenario(t, "seconds = 5.0\nload.per_s = 100.0"), findPolicy(t, "random"), 3)
	b := play(t, parseScenario(t, "seconds = 5.0\nload.per_s = 100.0\nfleet.boxes = 13\nnodes.count = 4"), findPolicy(t, "random"), 3)
	if fmt.Sprint(a.Series.Calls) != fmt.Sprint(b.Series.Calls) {
		t.Errorf("calls a second: %v and %v", a.Series.Calls, b.Series.Calls)
	}
}

// A retry storm must be able to outlast its trigger, or the model is too kind.
func TestRetryStormIsMetastableUnderNaivePolicy(t *testing.T) {
	sc, err := scenario.Read("retry-storm")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{1, 2} {
		if r := play(t, sc, findPolicy(t, "random"), seed); r.ServiceAfterEnd > 0.2 {
			t.Errorf("seed %d: random serves %.2f half a minute after the trigger: no metastable state", seed, r.ServiceAfterEnd)
		}
		calm := *sc
		calm.Faults = nil
		if r := play(t, &calm, findPolicy(t, "random"), seed); r.ServedValue < 0.8 {
			t.Errorf("seed %d: without the trigger random serves %.2f: the load alone is too high", seed, r.ServedValue)
		}
	}
}

// The first 15 s of the built-in scenarios with 80 nodes and 60 backends: behaviour that is harmless in one node and not in
// a large fleet. docs/large-fleets.md has the figures of the complete scenarios.
func TestLargeFleetsStayWithinBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		calls  int64 // to discovery: one per node start and a few more; synchronized polls needed half as many again
		dials  int64 // canceling attempts at the latency objective needed half as many again
		served float64
	}{
		{"herd", 145, 1400, 0.90},
		{"zone", 110, 1500, 0.78},
		{"join", 85, 1540, 0.82},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sc, err := scenario.Read(c.name)
			if err != nil {
				t.Fatal(err)
			}
			sc.Seconds = 15
			if err := sc.Check(); err != nil {
				t.Fatal(err)
			}
			r := play(t, sc, findPolicy(t, policy.Module), 1)
			t.Logf("served value %.3f, %d calls to discovery, %d dials", r.ServedValue, r.DiscoveryCalls, r.Dials)
			if len(r.Broken) > 0 || r.DiscoveryCalls > c.calls || r.Dials > c.dials || r.ServedValue < c.served {
				t.Errorf("violated %v; served value %.3f, %d calls to discovery, %d dials; want at least %.2f, at most %d and %d",
					r.Broken, r.ServedValue, r.DiscoveryCalls, r.Dials, c.served, c.calls, c.dials)
			}
		})
	}
}

func BenchmarkCalm(b *testing.B) {
	for _, name := range []string{"round-robin", policy.Module} {
		b.Run(name, func(b *testing.B) {
			sc, err := scenario.Read("calm")
			if err != nil {
				b.Fatal(err)
			}
			events := uint64(0)
			for b.Loop() {
				events += play(b, sc, findPolicy(b, name), 1).Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
