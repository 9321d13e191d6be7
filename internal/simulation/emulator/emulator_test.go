package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// The same verdict on every run: cases are drawn from one seed. Others: go test -args -rapid.seed N -rapid.checks 1000.
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

// drawScenario draws a scenario of every part, small enough for hundreds of runs.
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

// The same scenario and seed give the same bytes, also where the components are created in another order.
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

// A call ends once, work is neither lost nor made, and connections are given back: over random worlds.
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
			rt.Errorf("the judge still remembers %d requests", simulation.checker.InFlight())
		}
		for _, b := range simulation.backends {
			heldByNodes := 0
			for _, n := range simulation.nodes {
				if p := n.pools[b]; p != nil && p.incarnation == b.incarnation {
					heldByNodes += len(p.idleSince)
				}
				for _, request := range n.requests {
					for _, a := range request.attempts {
						if a.holdsConnection && a.incarnation == b.incarnation && a.backend == b {
							heldByNodes++
						}
					}
				}
			}
			if b.incarnation.connections != heldByNodes {
				rt.Errorf("box %d counts %d connections, nodes hold %d", b.id, b.incarnation.connections, heldByNodes)
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

// What a further component draws must not change what the others draw: with one box more that gets no work, all calls
// come at the same moments with the same work.
func TestExtraComponentsDoNotChangeTheSchedule(t *testing.T) {
	a := play(t, parseScenario(t, "seconds = 5.0\nload.per_s = 100.0"), findPolicy(t, "random"), 3)
	b := play(t, parseScenario(t, "seconds = 5.0\nload.per_s = 100.0\nfleet.boxes = 13\nnodes.count = 4"), findPolicy(t, "random"), 3)
	if fmt.Sprint(a.Series.Calls) != fmt.Sprint(b.Series.Calls) {
		t.Errorf("calls a second: %v and %v", a.Series.Calls, b.Series.Calls)
	}
}

// A retry storm must be able to stay up after its trigger has gone, or the model is too kind.
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
			t.Errorf("seed %d: without the trigger random serves %.2f: the load alone is too much", seed, r.ServedValue)
		}
	}
}

// broken wraps a sound policy to break one rule.
type broken struct {
	policy.Policy
	balancer.Commands
	env              policy.Env
	violation        string
	listCount        int
	initialEndpoints []balancer.EndpointID // as first told, whatever came later
	warmingEndpoint  balancer.EndpointID
	classes          map[balancer.RequestID]int
}

func brokenPolicy(violation string) policy.Maker {
	return func(e policy.Env) (policy.Policy, error) {
		b := &broken{Commands: e.Actions, env: e, violation: violation, classes: map[balancer.RequestID]int{}}
		e.Actions = b
		m, err := policy.Find("least-outstanding")
		if err != nil {
			return nil, err
		}
		b.Policy, err = m(e)
		return b, err
	}
}

func (b *broken) HandleEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Endpoint) {
	for _, endpoint := range list {
		if b.listCount < 1 {
			b.initialEndpoints = append(b.initialEndpoints, endpoint.ID)
		}
		if endpoint.StartedAt > 0 && endpoint.Phase == balancer.PhaseReady {
			b.warmingEndpoint = endpoint.ID
		}
	}
	b.listCount++
	b.Policy.HandleEndpoints(now, kind, list)
}

func (b *broken) HandleRequest(now balancer.Time, request balancer.Request) {
	b.classes[request.ID] = request.Class
	switch {
	case b.violation == "forgets some" && request.ID%50 == 0:
		return
	case b.violation == "sends two at once" && request.ID%50 == 0:
		b.Commands.SendAttempt(request.ID, b.initialEndpoints[0], 0)
		b.Commands.SendAttempt(request.ID, b.initialEndpoints[1], 0)
		return
	}
	b.Policy.HandleRequest(now, request)
}

func (b *broken) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	switch {
	case b.violation == "ignores drains":
		endpoint = b.initialEndpoints[int(id)%len(b.initialEndpoints)]
	case b.violation == "floods a cold box" && b.warmingEndpoint != 0:
		endpoint = b.warmingEndpoint
	}
	b.Commands.SendAttempt(id, endpoint, timeout)
}

func (b *broken) Fail(id balancer.RequestID) {
	switch b.violation {
	case "repeats what must run once":
		if b.env.Config.Classes[b.classes[id]].Idempotency == balancer.NonIdempotent {
			b.Commands.SendAttempt(id, b.initialEndpoints[int(id)%len(b.initialEndpoints)], 0)
		}
	case "refuses what may have run":
		b.Commands.Reject(id, 0)
		return
	}
	b.Commands.Fail(id)
}

func (b *broken) Reject(id balancer.RequestID, retryIn balancer.Span) {
	b.Commands.Reject(id, retryIn)
	if b.violation == "answers twice" {
		b.Commands.Fail(id)
	}
}

// The judge has to be able to fail: each way of breaking a rule is caught under that rule's name, with the request's
// history, and the same policy unbroken is not.
func TestCheckerDetectsEachBrokenPolicy(t *testing.T) {
	sc := parseScenario(t, `
seconds = 12.0
[load]
level = 0.8
[[fault]]
kind = "drain"
boxes = [1, 4]
at_ms = 2000
[[fault]]
kind = "kill"
boxes = [2]
at_ms = 2000
for_ms = 1500
[[fault]]
kind = "fast-errors"
boxes = [0, 3, 7]
at_ms = 4000
for_ms = 6000
[[fault]]
kind = "slow"
boxes = [5, 6, 8, 9, 10, 11]
at_ms = 5000
size = 9.0
`)
	for violation, rule := range map[string]invariant.Rule{
		"":                           "",
		"answers twice":              invariant.OneAnswer,
		"forgets some":               invariant.OneAnswer,
		"repeats what must run once": invariant.NoDuplicateRun,
		"refuses what may have run":  invariant.NoDuplicateRun,
		"sends two at once":          invariant.NoDuplicateRun,
		"ignores drains":             invariant.NoSendToDrained,
		"floods a cold box":          invariant.NoSlowStartOverload,
	} {
		t.Run(violation, func(t *testing.T) {
			r := play(t, sc, brokenPolicy(violation), 1)
			if rule == "" {
				if len(r.Broken) > 0 {
					t.Fatalf("the policy unbroken is said to break %v: %v", r.Broken, r.Violations[0])
				}
				return
			}
			if r.Broken[string(rule)] == 0 {
				t.Fatalf("not caught under %s: %v", rule, r.Broken)
			}
			if r.Score != 0 {
				t.Errorf("score %.3f with a broken rule", r.Score)
			}
			for _, v := range r.Violations {
				if v.Rule == rule && rule != invariant.NoSlowStartOverload && (len(v.History) == 0 || !strings.Contains(v.History[0], "taken")) {
					t.Errorf("without its history: %v", v)
				}
			}
		})
	}
}

// One fault at a time, and what can be seen of it from outside.
func TestEachFaultHasItsEffect(t *testing.T) {
	base := "seconds = 12.0\nwarm_up_s = 0.0\nload.level = 0.5\n"
	calm := play(t, parseScenario(t, base), findPolicy(t, "random"), 1)
	for name, c := range map[string]struct {
		fault string
		bites func(r *Result) bool
	}{
		"fast-errors": {"size = 1.0\nshare = 0.3", func(r *Result) bool { return r.Outcomes["failed"] > 20*(calm.Outcomes["failed"]+1)/10 }},
		"slow":        {"size = 5.0\nshare = 0.5", func(r *Result) bool { return r.ServedValue < calm.ServedValue-0.05 }},
		"freeze":      {"share = 0.3", func(r *Result) bool { return r.Outcomes["timed-out"] > 2*calm.Outcomes["timed-out"] }},
		"kill":        {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"replace":     {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"drain":       {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest }},
		"rolling":     {"", func(r *Result) bool { return r.Dials > calm.Dials }},
		"resets":      {"size = 0.5\nshare = 1.0", func(r *Result) bool { return r.Outcomes["failed"] > 20 && r.Waste > calm.Waste+0.1 }},
		"garbage":     {"size = 0.5\nshare = 1.0", func(r *Result) bool { return r.Outcomes["failed"] > 20 && r.Waste > calm.Waste+0.1 }},
		"interim":     {"size = 1.0\nshare = 1.0", func(r *Result) bool { return r.ServedValue == calm.ServedValue }}, // of no consequence to a sound node
		"site-lost": {"site = 'west'\nwith_nodes = true", func(r *Result) bool {
			return r.Outcomes["failed"]+r.Outcomes["refused"] > calm.Outcomes["failed"]+calm.Outcomes["refused"]+10
		}},
		"site-silent":    {"site = 'west'", func(r *Result) bool { return r.Outcomes["timed-out"] > 2*calm.Outcomes["timed-out"] }},
		"site-cut":       {"site = 'west'", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"list-down":      {"", func(r *Result) bool { return r.DiscoveryCalls > calm.DiscoveryCalls }},
		"node-kill":      {"nodes = [0]", func(r *Result) bool { return r.RequestsPerCall > calm.RequestsPerCall }},
		"surge":          {"size = 3.0", func(r *Result) bool { return r.Calls > calm.Calls*3/2 }},
		"datagrams-lost": {"size = 1.0", func(r *Result) bool { return true }}, // below
		"hot-node":       {"size = 0.9\nnodes = [1]", func(r *Result) bool { return true }},
		"clock-off":      {"size = 5000.0\nnodes = [1]", func(r *Result) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			r := play(t, parseScenario(t, base+"[[fault]]\nkind = '"+name+"'\nat_ms = 3000\nfor_ms = 6000\n"+c.fault), findPolicy(t, "random"), 1)
			if !c.bites(r) {
				t.Errorf("not seen: outcomes %v (calm %v), attempts %.3f (%.3f), worth %.3f (%.3f)", r.Outcomes, calm.Outcomes,
					r.AttemptsPerRequest, calm.AttemptsPerRequest, r.ServedValue, calm.ServedValue)
			}
		})
	}
	t.Run("clock-off is seen by the node", func(t *testing.T) {
		sc := parseScenario(t, base+"[[fault]]\nkind = 'clock-off'\nnodes = [1]\nsize = 5000.0")
		simulation, err := New(sc, 1, findPolicy(t, "random"))
		if err != nil {
			t.Fatal(err)
		}
		if got := simulation.nodes[1].localTime(0) - simulation.nodes[0].localTime(0); got != 5_000_000 {
			t.Errorf("node 1 is off by %d µs", got)
		}
	})
	t.Run("datagrams are lost", func(t *testing.T) {
		got := map[float64]int{}
		for _, loss := range []float64{0, 1} {
			sc := parseScenario(t, base+fmt.Sprintf("net.peer_loss = %.1f", loss))
			simulation, err := New(sc, 1, func(e policy.Env) (policy.Policy, error) {
				p, err := findPolicy(t, "least-shared")(e)
				return &peerMessageCounter{p, &got, loss}, err
			})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := simulation.Run(); err != nil {
				t.Fatal(err)
			}
		}
		if got[0] == 0 || got[1] != 0 {
			t.Errorf("%d arrived without loss, %d with all lost", got[0], got[1])
		}
	})
	t.Run("a hot node takes its share", func(t *testing.T) {
		sc := parseScenario(t, base+"[[fault]]\nkind = 'hot-node'\nnodes = [1]\nsize = 0.9")
		simulation, err := New(sc, 1, findPolicy(t, "random"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := simulation.Run(); err != nil {
			t.Fatal(err)
		}
		if a, b := simulation.nodes[1].decisions, simulation.nodes[0].decisions+simulation.nodes[2].decisions; a < 5*b {
			t.Errorf("the hot node decided %d times, the others %d", a, b)
		}
	})
}

type peerMessageCounter struct {
	policy.Policy
	received *map[float64]int
	loss     float64
}

func (c *peerMessageCounter) HandlePeerMessage(now balancer.Time, from int, data []byte) {
	(*c.received)[c.loss]++
	c.Policy.HandlePeerMessage(now, from, data)
}

// The module keeps every rule on random worlds with any faults. A failing seed is a bug report: shrink it.
func TestModuleKeepsInvariantsOnRandomScenarios(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		r := play(t, sc, findPolicy(t, policy.Module), rapid.Uint64().Draw(rt, "seed"))
		if len(r.Broken) > 0 {
			rt.Errorf("broken: %v\n%v", r.Broken, r.Violations[0])
		}
	})
}

// Eighty nodes before sixty boxes, the start of the shipped days: what is harmless for one node and not for all. In full these are
// lab scenarios; docs/large-fleets.md has their figures.
func TestLargeFleetsStayWithinBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		calls  int64 // to discovery: one for each start of a node, and few more; by calls close together it was half as many again
		dials  int64 // where attempts were cancelled at their aim, half as many again were needed
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
			t.Logf("worth %.3f, %d calls to discovery, %d dials", r.ServedValue, r.DiscoveryCalls, r.Dials)
			if len(r.Broken) > 0 || r.DiscoveryCalls > c.calls || r.Dials > c.dials || r.ServedValue < c.served {
				t.Errorf("broken %v; worth %.3f, %d calls to discovery, %d dials; want at least %.2f, at most %d and %d",
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
