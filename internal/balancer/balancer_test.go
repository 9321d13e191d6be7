package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"tulipglade/internal/safety"
)

// gateway is a fake: it keeps what the module asked for and moves time by hand.
type gateway struct {
	t      *testing.T
	b      *Balancer
	now    Time
	log    []string // every action, in order
	tries  map[RequestID][]EndpointID
	final  map[RequestID]string
	wakes  []wake
	lines  int
	asked  int
	probes []EndpointID

	seenTry  map[RequestID]bool
	firstAsk Time
}

type wake struct {
	at    Time
	token TimerID
}

func (g *gateway) note(f string, a ...any) { g.log = append(g.log, fmt.Sprintf(f, a...)) }
func (g *gateway) SendAttempt(id RequestID, h EndpointID, _ Span) {
	if g.final[id] != "" {
		g.t.Errorf("Try for %d after its final answer", id)
	}
	g.tries[id] = append(g.tries[id], h)
	g.note("try %d %d", id, h)
}
func (g *gateway) CancelAttempt(id RequestID, n int) { g.note("cancel %d %d", id, n) }
func (g *gateway) finish(id RequestID, how string) {
	if g.final[id] != "" {
		g.t.Errorf("second final answer for %d", id)
	}
	g.final[id] = how
	g.note("%s %d", how, id)
}
func (g *gateway) Reject(id RequestID, _ Span) { g.finish(id, "decline") }
func (g *gateway) Fail(id RequestID)           { g.finish(id, "fail") }
func (g *gateway) CheckHealth(h EndpointID)    { g.probes = append(g.probes, h) }
func (g *gateway) SetTimer(t TimerID, d Span)  { g.wakes = append(g.wakes, wake{g.now + max(d, 1), t}) }
func (g *gateway) WatchEndpoints(bool) {
	if g.asked++; g.asked == 1 {
		g.firstAsk = g.now
	}
}
func (g *gateway) PollEndpoints() {}
func (g *gateway) Log(s string)   { g.lines++; g.note("log %s", s) }

// run moves time on by d, firing timers in order.
func (g *gateway) run(d Span) {
	till := g.now + d
	for {
		next := -1
		for i, w := range g.wakes {
			if w.at <= till && (next < 0 || w.at < g.wakes[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		w := g.wakes[next]
		g.wakes = append(g.wakes[:next], g.wakes[next+1:]...)
		g.now = max(g.now, w.at)
		g.b.HandleTimer(g.now, w.token)
	}
	g.now = till
}

func (g *gateway) request(id RequestID, class, tenant int) {
	g.b.HandleRequest(g.now, Request{ID: id, Class: class, Tenant: tenant, Deadline: g.now + g.b.cfg.Classes[class].Deadline})
}

func (g *gateway) settle(id RequestID, n int, out Outcome) {
	g.b.HandleAttemptResult(g.now, AttemptResult{ID: id, Attempt: n, Endpoint: g.tries[id][n], Outcome: out, Latency: ms, RequestDone: out == OutcomeOK})
	if out == OutcomeOK && g.final[id] == "" {
		g.final[id] = "served"
	}
}

const ms = 1000

func settings() Config {
	return Config{PeerCount: 1, MaxAttempts: 4, AllowCancel: true, TickInterval: ms, PollInterval: 10000 * ms,
		Classes: []Class{
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: Idempotent},
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: NonIdempotent, IdempotencyWindow: 5000 * ms},
			{LatencyObjective: 400 * ms, Deadline: 900 * ms, Idempotency: IdempotentByKey, KeyScope: ScopeAll, IdempotencyWindow: 100 * ms},
			{LatencyObjective: 400 * ms, Deadline: 900 * ms, Idempotency: IdempotentByKey, KeyScope: ScopeZone, IdempotencyWindow: 100 * ms},
			{LatencyObjective: 400 * ms, Deadline: 900 * ms, Idempotency: IdempotentByKey, KeyScope: ScopeCell, IdempotencyWindow: 100 * ms},
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: NonIdempotent, LateValue: 0.3},
		},
		SlowStartInitial: 0.1, SlowStartDuration: 20000 * ms, OverloadFactor: 3, OverloadWindow: 2000 * ms}
}

func start(t *testing.T, cfg Config, hosts ...Endpoint) *gateway {
	t.Helper()
	return startSeed(t, 7, cfg, hosts...)
}

func startSeed(t *testing.T, seed uint64, cfg Config, hosts ...Endpoint) *gateway {
	t.Helper()
	g := &gateway{t: t, now: 1e9, tries: map[RequestID][]EndpointID{}, final: map[RequestID]string{}, seenTry: map[RequestID]bool{}}
	b, err := New(cfg, seed, g)
	if err != nil {
		t.Fatal(err)
	}
	g.b = b
	b.HandleEndpoints(g.now, ListCached, hosts)
	g.run(ms)
	return g
}

func hosts(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: EndpointID(i + 1), Phase: PhaseReady, Zone: i % 2, Cell: i % 3, Weight: 1})
	}
	return out
}

func wantFinal(t *testing.T, g *gateway, id RequestID, how string) {
	t.Helper()
	if g.final[id] != how {
		t.Errorf("request %d: final answer %q, want %q", id, g.final[id], how)
	}
}

// ---- rule 1: one final answer, in time ----

func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	for class := range settings().Classes {
		for _, n := range []int{0, 3} { // no host at all, and hosts that never answer
			g := start(t, settings(), hosts(n)...)
			for id := RequestID(1); id <= 100; id++ {
				g.request(id, class, 0)
			}
			g.run(g.b.cfg.Classes[class].Deadline)
			for id := RequestID(1); id <= 100; id++ {
				if g.final[id] == "" {
					t.Fatalf("class %d, %d hosts: request %d has no answer at its deadline", class, n, id)
				}
			}
		}
	}
}

func TestNothingFollowsTheEnd(t *testing.T) {
	// Each interleaving of outcome, timers, the client leaving and a late outcome; the fake fails the test on
	// a second answer or a Try after it.
	for _, first := range []Outcome{OutcomeOK, OutcomeServerError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent} {
		for _, order := range []string{"outcome-gone", "gone-outcome", "timer-outcome", "outcome-timer", "outcome-outcome"} {
			for class := range settings().Classes {
				g := start(t, settings(), hosts(4)...)
				g.request(1, class, 0)
				for _, step := range strings.Split(order, "-") {
					switch step {
					case "outcome":
						g.settle(1, len(g.tries[1])-1, first)
					case "gone":
						g.b.HandleCancellation(g.now, 1)
						if g.final[1] == "" {
							g.final[1] = "gone"
						}
					case "timer":
						g.run(900 * ms)
					}
				}
				g.run(1000 * ms)
				if g.final[1] == "" {
					t.Errorf("%s after outcome %d, class %d: no final answer", order, first, class)
				}
			}
		}
	}
}

func TestHeldIsRefusedBeforeItsAim(t *testing.T) {
	g := start(t, settings())
	g.request(1, 0, 0)
	g.run(140 * ms)
	wantFinal(t, g, 1, "")
	g.run(11 * ms) // the class's mean latency is 50 ms and the aim 200
	wantFinal(t, g, 1, "decline")
}

func TestWhatIsUnsentIsRefusedByHalfItsTimeInAnOverload(t *testing.T) {
	// Guards: newer requests go first in an overload, and older ones were held to shortly before their aim all the same: their
	// clients learned late that they had to try again (zone+vast: a price of 0.014, and tries that found no more time).
	for _, over := range []bool{false, true} {
		g := start(t, settings())
		g.b.over = over
		g.b.HandleRequest(g.now, Request{ID: 1, Class: 0, Deadline: g.now + 220*ms}) // aim 200 ms, mean 50
		g.run(105 * ms)
		wantFinal(t, g, 1, "")
		g.run(20 * ms) // within a beat
		wantFinal(t, g, 1, map[bool]string{false: "", true: "decline"}[over])
	}
}

func TestClientInAHurryIsAnsweredFirst(t *testing.T) {
	g := start(t, settings())
	g.b.HandleRequest(g.now, Request{ID: 1, Class: 5, Deadline: g.now + 20*ms})
	g.run(20 * ms)
	wantFinal(t, g, 1, "decline")
}

func TestWorkPastAWorthlessAimStaysInTheBooks(t *testing.T) {
	// Guards: attempts cancelled at the aim left the books while hosts worked on them. With eighty gateways hosts jammed
	// at what each held to be little, and a third of all attempts needed a new connection.
	g := start(t, settings(), hosts(2)...)
	g.request(1, 0, 0)
	g.run(200 * ms)
	wantFinal(t, g, 1, "decline")
	h := g.b.byID[g.tries[1][0]]
	if slices.Contains(g.log, "cancel 1 0") || h.out.n != 1 {
		t.Errorf("%d at the host, log %v; want 1 and no cancel", h.out.n, g.log)
	}
	limit := h.limit
	g.b.HandleAttemptResult(g.now, AttemptResult{ID: 1, Endpoint: h.ID, Outcome: OutcomeOK, Latency: 200 * ms, RequestDone: true})
	if h.out.n != 0 || h.limit >= limit || len(g.b.reqs) != 0 {
		t.Errorf("%d at the host after its end, limit %g of %g, %d requests", h.out.n, h.limit, limit, len(g.b.reqs))
	}
}

func TestEndAndTryPassTheirGuards(t *testing.T) {
	g := start(t, settings(), hosts(3)...)
	g.request(1, 0, 0)
	r := g.b.reqs[1]
	g.b.HandleCancellation(g.now, 1)
	g.final[1] = "gone"
	g.b.end(r) // a second answer fails the test in the fake
	if g.b.send(r, g.b.hosts[0]) {
		t.Error("Try for a request that is over")
	}
	g.request(2, 0, 0)
	r = g.b.reqs[2]
	r.open = 0
	other := g.b.hosts[0]
	if other.ID == g.tries[2][0] {
		other = g.b.hosts[1]
	}
	if !g.b.allowed(r, other) {
		t.Fatal("the other host is not allowed")
	}
	r.tries = append(r.tries, r.tries[0], r.tries[0], r.tries[0])
	if g.b.allowed(r, other) {
		t.Error("a fifth attempt of four is allowed")
	}
}

func TestStreamHasNoDeadline(t *testing.T) {
	g := start(t, settings(), hosts(3)...)
	g.request(1, 0, 0)
	g.b.HandleResponseStart(g.now, 1)
	g.run(2000 * ms)
	wantFinal(t, g, 1, "")
	g.settle(1, 0, OutcomeOK)
	if len(g.b.reqs) != 0 {
		t.Error("the request is still kept")
	}
}

// ---- rule 2: no effect twice ----

func TestRepeatsByOutcome(t *testing.T) {
	for _, out := range []Outcome{OutcomeServerError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent} {
		proven := out == OutcomeRejected || out == OutcomeConnectFailed || out == OutcomeNotSent
		for class, c := range settings().Classes {
			g := start(t, settings(), hosts(6)...)
			g.request(1, class, 0)
			g.settle(1, 0, out)
			again := len(g.tries[1]) > 1
			if c.Idempotency == NonIdempotent && again != proven {
				t.Errorf("once after %d: tried again %v, want %v", out, again, proven)
			}
			if c.Idempotency == Idempotent && !again {
				t.Errorf("repeatable after %d: not tried again", out)
			}
			g.run(c.Deadline)
			harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll
			if !harmless && g.final[1] == "decline" && (again || !proven) {
				t.Errorf("class %d after %d: refused though it may have run", class, out)
			}
		}
	}
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	for range 40 {
		for _, class := range []int{3, 4} {
			list := hosts(6)
			g := start(t, settings(), list...)
			g.request(1, class, 0)
			g.settle(1, 0, OutcomeReset)
			if len(g.tries[1]) < 2 {
				t.Fatal("not tried again")
			}
			a, b := list[g.tries[1][0]-1], list[g.tries[1][1]-1]
			if class == 3 && a.Zone != b.Zone || class == 4 && a.Cell != b.Cell {
				t.Fatalf("class %d went from %+v to %+v", class, a, b)
			}
		}
	}
}

func TestKeyedMayLeaveItsGroupWhenItNeverRan(t *testing.T) {
	list := hosts(2) // two zones of one host
	g := start(t, settings(), list...)
	g.request(1, 3, 0)
	g.settle(1, 0, OutcomeConnectFailed)
	if len(g.tries[1]) != 2 || g.tries[1][0] == g.tries[1][1] {
		t.Errorf("tries %v, want one on each host", g.tries[1])
	}
}

func TestKeyedStopsWithItsWindow(t *testing.T) {
	g := start(t, settings(), hosts(6)...)
	g.request(1, 2, 0)
	g.run(99 * ms)
	g.settle(1, 0, OutcomeReset)
	if len(g.tries[1]) != 1 {
		t.Error("sent again at the end of the window")
	}
	wantFinal(t, g, 1, "decline") // the group is all hosts
}

func TestWindowRunsFromTheFirstThatMayHaveRun(t *testing.T) {
	g := start(t, settings(), hosts(6)...)
	g.request(1, 2, 0)
	g.run(90 * ms)
	g.settle(1, 0, OutcomeRejected) // never ran: starts no window
	g.run(90 * ms)
	g.settle(1, 1, OutcomeReset)
	if len(g.tries[1]) != 3 {
		t.Errorf("%d tries, want 3", len(g.tries[1]))
	}
}

func TestAttemptsAreCounted(t *testing.T) {
	g := start(t, settings(), hosts(8)...)
	g.request(1, 1, 0)
	for i := 0; i < len(g.tries[1]); i++ {
		g.settle(1, i, OutcomeRejected)
	}
	if len(g.tries[1]) != 4 {
		t.Errorf("%d tries, want MaxAttempts", len(g.tries[1]))
	}
	wantFinal(t, g, 1, "decline")
}

func TestDrainingGoneAndLeftOffHostsGetNothing(t *testing.T) {
	for _, how := range []string{"draining", "gone", "left off"} {
		list := hosts(3)
		g := start(t, settings(), list...)
		switch how {
		case "draining", "gone":
			list[0].Phase = PhaseDraining
			if how == "gone" {
				list[0].Phase = PhaseRemoved
			}
			g.b.HandleEndpoints(g.now, ListDelta, list[:1])
		case "left off":
			g.b.HandleEndpoints(g.now, ListFull, list[1:])
		}
		for id := RequestID(1); id <= 60; id++ {
			g.request(id, 0, 0)
			for _, h := range g.tries[id] {
				if h == 1 {
					t.Fatalf("%s: host 1 got a request", how)
				}
			}
			g.run(10 * ms)
			if len(g.tries[id]) > 0 {
				g.settle(id, 0, OutcomeOK)
			}
		}
		list[0].Phase, list[0].StartedAt = PhaseReady, 5 // it comes back, started long ago
		g.b.HandleEndpoints(g.now, ListDelta, list[:1])
		back := false
		for id := RequestID(101); id <= 160; id++ {
			g.request(id, 0, 0)
			for _, h := range g.tries[id] {
				back = back || h == 1
			}
			g.run(10 * ms)
			if len(g.tries[id]) > 0 {
				g.settle(id, 0, OutcomeOK)
			}
		}
		if !back {
			t.Errorf("%s: the host came back and got nothing", how)
		}
	}
}

func TestADrainingHostIsNoLastResort(t *testing.T) {
	g := start(t, settings(), Endpoint{ID: 1, Phase: PhaseDraining})
	g.request(1, 0, 0)
	g.run(1000 * ms)
	if len(g.tries[1]) != 0 {
		t.Error("with nothing else left a draining host was used")
	}
}

// ---- rule 4: cold hosts ----

// coldSent drives quick answers and counts what each host got in the window after cold ones came.
func coldSent(g *gateway, from RequestID) map[EndpointID]int {
	sent := map[EndpointID]int{}
	for id := from; id < from+2000; id++ { // a request each millisecond: two windows
		g.request(id, 0, 0)
		for i := 0; i < len(g.tries[id]); i++ {
			if id < from+2000 {
				sent[g.tries[id][i]]++
			}
		}
		g.run(ms)
		if len(g.tries[id]) > 0 && g.final[id] == "" {
			g.settle(id, 0, OutcomeOK)
		}
	}
	return sent
}

func TestColdHostsAreNotPushedOver(t *testing.T) {
	for _, how := range []string{"restarted", "new"} {
		list := hosts(4)
		g := start(t, settings(), list...)
		warm := coldSent(g, 1)
		cold := list[:1]
		if how == "new" {
			cold = []Endpoint{{ID: 99, Phase: PhaseReady}}
		}
		cold[0].StartedAt = g.now
		g.b.HandleEndpoints(g.now, ListDelta, cold)
		got := coldSent(g, 10001)[cold[0].ID]
		for from := RequestID(20001); got == 0 && from < 50000; from += 10000 { // it is seldom drawn at first
			got = coldSent(g, from)[cold[0].ID]
		}
		// In a window of 2 s, at most the multiple of what the host can do by the window's end.
		most := 3 * (0.1 + 0.9*2/20) * float64(warm[2])
		if got == 0 || float64(got) > most {
			t.Errorf("%s: cold host got %d, warm ones got %d before; want some and at most %.0f", how, got, warm[2], most)
		}
	}
}

func TestAWholeColdFleetIsUsedSparingly(t *testing.T) {
	list := hosts(4)
	for i := range list {
		list[i].StartedAt = 1e9
	}
	g := start(t, settings(), list...)
	for h, n := range coldSent(g, 1) {
		if n > 20 { // nothing is known: a few in two seconds
			t.Errorf("host %d got %d", h, n)
		}
	}
	if len(g.tries) == 0 {
		t.Error("nothing was tried at all")
	}
}

func TestAttemptThatWaitedIsLookedAtAgain(t *testing.T) {
	// Guards: between the decision for an attempt and its first byte lies the time of a connection, in which its host may begin to drain, the
	// window for repeats end, its client leave; it was sent all the same.
	keyed := Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: IdempotentByKey, IdempotencyWindow: 1000 * ms}
	for name, c := range map[string]struct {
		class Class
		ran   bool // an attempt before it may have run
		since func(g *gateway)
		want  bool
	}{
		"nothing": {keyed, false, func(*gateway) {}, true},
		"its host drains": {keyed, false, func(g *gateway) {
			g.b.HandleEndpoints(g.now, ListDelta, []Endpoint{{ID: g.tries[1][0], Phase: PhaseDraining}})
		}, false},
		"its host is gone": {keyed, false, func(g *gateway) {
			g.b.HandleEndpoints(g.now, ListDelta, []Endpoint{{ID: g.tries[1][0], Phase: PhaseRemoved}})
		}, false},
		"its host left off":          {keyed, false, func(g *gateway) { g.b.HandleEndpoints(g.now, ListFull, []Endpoint{{ID: 99, Phase: PhaseReady}}) }, false},
		"its client left":            {keyed, false, func(g *gateway) { g.b.HandleCancellation(g.now, 1) }, false},
		"its deadline":               {keyed, false, func(g *gateway) { g.now += 5000 * ms }, false},
		"the window, none ran":       {keyed, false, func(g *gateway) { g.now += 1200 * ms }, true},
		"within the window":          {keyed, true, func(g *gateway) { g.now += 100 * ms }, true},
		"the window":                 {keyed, true, func(g *gateway) { g.now += 1200 * ms }, false},
		"a first one that runs once": {Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: NonIdempotent}, false, func(*gateway) {}, true},
	} {
		cfg := settings()
		cfg.Classes = []Class{c.class}
		g := start(t, cfg, hosts(3)...)
		g.request(1, 0, 0)
		if c.ran {
			g.settle(1, 0, OutcomeReset)
		}
		if n := len(g.tries[1]); n == 0 || c.ran && n != 2 {
			t.Fatalf("%s: %d attempts", name, n)
		}
		c.since(g)
		if got := g.b.MayStartAttempt(g.now, 1, len(g.tries[1])-1); (got == safety.Allowed) != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if start(t, settings(), hosts(1)...).b.MayStartAttempt(0, 7, 0) == safety.Allowed {
		t.Error("an attempt that never was")
	}
}

// ---- discovery ----

func TestDiscoveryIsAskedUntilItAnswers(t *testing.T) {
	cfg := settings()
	cfg.PollDiscovery = true
	g := start(t, cfg, hosts(2)...)
	if g.asked != 1 {
		t.Fatalf("asked %d times at start", g.asked)
	}
	g.run(cfg.PollInterval / 2)
	if g.asked < 2 {
		t.Error("a call without any answer was not repeated")
	}
	before := g.asked
	for range 5 {
		g.b.HandleEndpoints(g.now, ListFailed, nil)
		g.run(cfg.PollInterval / 2)
	}
	if n := g.asked - before; n < 5 || n > 15 {
		t.Errorf("%d calls for 5 failures", n)
	}
	g.b.HandleEndpoints(g.now, ListFull, hosts(2))
	before = g.asked
	g.run(10 * cfg.PollInterval)
	if g.asked != before {
		t.Error("asked again while subscribed")
	}
	g.b.HandleEndpoints(g.now, ListFailed, nil) // the subscription dropped
	g.run(cfg.PollInterval / 4)
	if g.asked == before {
		t.Error("a dropped subscription was not renewed")
	}
	g.request(1, 0, 0)
	if len(g.tries[1]) != 1 {
		t.Error("the old list is no longer used after a failure")
	}
}

func TestSilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	// Guards: one of 279 gateways whose watch had fallen silent called again after up to 17 s, as all spread their calls
	// over the time that discovery needs for all; hosts that drained got requests meanwhile (join+mass, 664 in one day).
	for _, peers := range []int{3, 300, 1024} {
		cfg := settings()
		cfg.PollDiscovery, cfg.PeerCount = true, peers
		for seed := range uint64(20) {
			g := startSeed(t, seed, cfg, hosts(2)...)
			g.run(cfg.PollInterval)
			g.b.HandleEndpoints(g.now, ListDelta, nil)
			before := g.asked
			g.b.HandleEndpoints(g.now, ListTimeout, nil)
			if g.run(700 * ms); g.asked != before+1 {
				t.Fatalf("%d gateways: %d calls within 0.7 s of a silence", peers, g.asked-before)
			}
			for range 20 { // it is out of reach, and nobody knows when it is back: a call that is not answered is given up after 3.2 s
				before = g.asked
				g.b.HandleEndpoints(g.now, ListTimeout, nil)
				if g.run(700 * ms); g.asked != before+1 {
					t.Fatalf("%d gateways: %d calls within 0.7 s of another silence", peers, g.asked-before)
				}
				g.run(3200 * ms)
			}
		}
	}
}

func TestNextCallComesInTimeToBeTold(t *testing.T) {
	// Guards: the pause after a failure doubled up to 32 times what 300 gateways need to call in turn, ten minutes, so that hosts which
	// began to drain after discovery was back got requests for as long. What it has counts as told 6 s after it can be reached.
	for _, c := range []struct {
		kind   ListKind
		peers  int
		within Span // of the failure, so that 6 s also hold the call that failed, if nothing was heard, and the answer to the next
	}{{ListFailed, 1, 3100 * ms}, {ListFailed, 6, 3100 * ms}, {ListFailed, 30, 3100 * ms}, {ListFailed, 350, 3100 * ms},
		{ListFailed, 1024, 3100 * ms}, {ListTimeout, 350, 700 * ms}, {ListOverloaded, 6, 3100 * ms}, {ListOverloaded, 20, 3100 * ms}} {
		cfg := settings()
		cfg.PollDiscovery, cfg.PeerCount = true, c.peers
		for seed := range uint64(10) {
			g := startSeed(t, seed, cfg, hosts(2)...)
			g.run(cfg.PollInterval)
			for k := range 12 {
				before := g.asked
				g.b.HandleEndpoints(g.now, c.kind, nil)
				if g.run(c.within); g.asked == before {
					t.Fatalf("kind %d, %d gateways: no call within %d ms of failure %d", c.kind, c.peers, c.within/ms, k+1)
				}
			}
		}
	}
}

func TestPushedDiscoveryIsNotAsked(t *testing.T) {
	g := start(t, settings(), hosts(2)...)
	g.run(60000 * ms)
	if g.asked != 0 {
		t.Errorf("asked %d times", g.asked)
	}
}

// ---- the mechanism ----

func tenants(shares ...float64) Config {
	cfg := settings()
	for _, s := range shares {
		cfg.Tenants = append(cfg.Tenants, Tenant{QuotaFraction: s})
	}
	return cfg
}

func TestFirstListGivesSlotsAtOnce(t *testing.T) {
	// Guards: nothing was placed until the first control period had passed.
	g := start(t, settings(), hosts(3)...)
	g.request(1, 0, 0)
	if len(g.tries[1]) != 1 {
		t.Error("not placed right after the first list")
	}
}

func TestFirstListStartsAllHostsAlike(t *testing.T) {
	// Guards: hosts of the first list took the mean of limits not yet set, and all but one stayed unused.
	g := start(t, settings(), hosts(5)...)
	for _, h := range g.b.hosts {
		if h.limit != limitFirst {
			t.Errorf("host %d starts at %g", h.ID, h.limit)
		}
	}
}

func TestEquations(t *testing.T) {
	g := start(t, tenants(0.5, 0.5), hosts(2)...)
	b := g.b
	b.capacity, b.over = 10, true
	dt := float64(b.period)
	b.tenants[0].served, b.tenants[1].served = 4*dt, 1*dt // U = 0.4 and 0.1
	b.modeTime = [2]float64{}
	b.predict(dt, 2)
	// Eq. 2 with nothing in flight: U_q = U/2. Eq. 1: 2P - 1.5U.
	for i, want := range []float64{0.4, 0.85} {
		if got := b.tenants[i].want; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("tenant %d: U_PR %g, want %g", i, got, want)
		}
	}
	// Eq. 3: a second period of equal length weighs one half.
	b.over = true
	b.predict(dt, 2)
	if got := b.tenants[0].used[1]; got != 0.2 {
		t.Errorf("U after an idle period %g, want 0.2", got)
	}
	b.over = false
	b.tenants[0].served = 3 * dt
	b.predict(dt, 2)
	if b.tenants[0].used[0] != 0.3 || b.tenants[0].used[1] != 0.2 {
		t.Errorf("U by mode %v, want 0.3 and 0.2", b.tenants[0].used)
	}
}

func TestClampKeepsPredictionInRange(t *testing.T) {
	g := start(t, tenants(0.9, 0.1), hosts(2)...)
	g.b.capacity = 10
	g.b.tenants[1].served = 10 * float64(g.b.period)
	g.b.predict(float64(g.b.period), 2)
	if w := g.b.tenants[1].want; w != 0 {
		t.Errorf("a tenant far over its share is predicted %g", w)
	}
	if w := g.b.tenants[0].want; w < 0 || w > 1 {
		t.Errorf("prediction %g out of range", w)
	}
}

func TestMatrixFollowsLimitsAndMovesLittle(t *testing.T) {
	g := start(t, settings(), hosts(4)...)
	b := g.b
	b.hosts[0].limit = 18
	b.capacity = 36
	row := func() [4]float64 {
		return [4]float64{b.hosts[0].slots[0], b.hosts[1].slots[0], b.hosts[2].slots[0], b.hosts[3].slots[0]}
	}
	for range 9 {
		b.spread(0, 24)
	}
	for i, want := range []float64{12, 4, 4, 4} {
		if got := row()[i]; got < want-1 || got > want+1 {
			t.Errorf("slots %v, want in line with the limits", row())
		}
	}
	before := row()
	b.hosts[1].limit = 6.5 // less than a slot out of line: nothing moves
	b.spread(0, 24)
	if row() != before {
		t.Errorf("slots moved from %v to %v", before, row())
	}
	b.hosts[1].limit = 9 // more than that: its entry alone moves
	b.spread(0, 24)
	for i, n := range row() {
		if (n != before[i]) != (i == 1) {
			t.Errorf("slots moved from %v to %v", before, row())
		}
	}
}

func TestOverShareTenantWaitsFirst(t *testing.T) {
	for seed := range 30 {
		g := start(t, tenants(0.5, 0.5), hosts(2)...)
		g.b.seed = uint64(seed)
		for id := RequestID(1); id <= 40; id++ { // tenant 0 fills every slot and waits
			g.request(id, 0, 0)
		}
		first := RequestID(1)
		for len(g.tries[first]) == 0 {
			first++
		}
		g.request(100, 0, 1)
		if len(g.tries[100]) != 0 {
			t.Fatal("no slot should have been free")
		}
		g.settle(first, 0, OutcomeOK)
		if len(g.tries[100]) != 1 {
			t.Fatal("the freed slot did not go to the tenant below its share")
		}
	}
}

func TestHeldRequestsMeanOverload(t *testing.T) {
	// Guards: with reports of idle hosts the mode stayed underload while most requests were refused.
	g := start(t, settings(), hosts(2)...)
	for _, h := range g.b.hosts {
		g.b.observe(h, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.3})
	}
	for id := RequestID(1); id <= 40; id++ {
		g.request(id, 2, 0)
	}
	g.b.control()
	if !g.b.overloaded() {
		t.Error("requests are held, and it is not overload")
	}
	g = start(t, settings(), hosts(2)...)
	for _, h := range g.b.hosts {
		g.b.observe(h, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.97})
	}
	if !g.b.overloaded() {
		t.Error("reports of busy hosts are not overload")
	}
	g.now += 10 * g.b.period
	g.b.now = g.now
	if g.b.overloaded() {
		t.Error("reports that froze long ago are still believed")
	}
}

func TestIdleSlotsAreLent(t *testing.T) {
	g := start(t, tenants(0.1, 0.9), hosts(2)...)
	for id := RequestID(1); id <= 12; id++ {
		g.request(id, 0, 0)
	}
	if float64(g.b.tenants[0].out.n) <= g.b.tenants[0].slots {
		t.Errorf("%d in flight over %g slots: nothing lent", g.b.tenants[0].out.n, g.b.tenants[0].slots)
	}
}

func TestInflightIsCapped(t *testing.T) {
	g := start(t, settings(), hosts(3)...)
	for id := RequestID(1); id <= 500; id++ {
		g.request(id, 0, 0)
	}
	for _, h := range g.b.hosts {
		if h.out.n > limitFirst {
			t.Errorf("host %d has %d in flight", h.ID, h.out.n)
		}
	}
}

func TestManyGatewaysShareAHost(t *testing.T) {
	// Guards: with at least one request a host and gateway, sixteen gateways overfilled every host.
	cfg := settings()
	cfg.PeerCount = 60
	g := start(t, cfg, hosts(40)...)
	for id := RequestID(1); id <= 200; id++ {
		g.request(id, 0, 0)
	}
	if n := g.b.tenants[0].out.n; n > 5 {
		t.Errorf("%d in flight, want a tenth of the hosts at most", n)
	}
}

func TestRepeatPastItsAimIsRefusedFirst(t *testing.T) {
	// Guards: in an overload half the hosts' work went to clients' repeats whose aim had long gone by.
	g := start(t, settings(), hosts(3)...)
	g.b.HandleRequest(g.now, Request{ID: 1, Deadline: g.now + 300*ms}) // this is how long these clients wait
	g.b.over = true
	g.b.HandleRequest(g.now, Request{ID: 2, Deadline: g.now + 300*ms})
	g.b.HandleRequest(g.now, Request{ID: 3, Deadline: g.now + 200*ms}) // of 500 ms in all 300 are gone, and the aim was 200
	if len(g.tries[2]) != 1 {
		t.Error("a first try was not placed")
	}
	wantFinal(t, g, 3, "decline")
	g.b.over = false
	g.b.HandleRequest(g.now, Request{ID: 4, Deadline: g.now + 200*ms})
	if len(g.tries[4]) != 1 {
		t.Error("a repeat was not placed although there is room")
	}
	g.b.over = true // class 5 pays for late answers
	g.b.HandleRequest(g.now, Request{ID: 5, Class: 5, Deadline: g.now + 300*ms})
	g.b.HandleRequest(g.now, Request{ID: 6, Class: 5, Deadline: g.now + 200*ms})
	if len(g.tries[6]) != 1 {
		t.Error("a repeat that is still worth something was not placed")
	}
}

func TestUsualPatienceIsTheCommonest(t *testing.T) {
	// Guards: a client's last try waits longer than its first; taking the longest for usual made first tries
	// look like repeats, and a median drifted with the repeats of a jam.
	c := &classState{}
	for i := range 60 {
		c.commonest(318*ms, 450*ms)
		if at, usual := c.commonest(318*ms, 450*ms); at != usual {
			t.Fatal("a first try is unusual")
		}
		for _, wait := range []Span{385 + Span(i), 140 + Span(i)} {
			if at, usual := c.commonest(wait*ms, 450*ms); i > 10 && at >= usual-1 && at <= usual+1 {
				t.Fatalf("a repeat that waits %d ms is usual", wait)
			}
		}
	}
}

func TestManyGatewaysRaiseAHostGently(t *testing.T) {
	// Guards: sixteen gateways each took full steps up and jammed every host (incidents ifaf628, id09d36).
	cfg := settings()
	cfg.PeerCount = 60
	g := start(t, cfg, hosts(2)...)
	h := g.b.hosts[0]
	before := h.limit
	h.out.mean = 1 // in use
	g.b.learn(h, 0, AttemptResult{Outcome: OutcomeOK, Latency: 0})
	if rise := h.limit - before; rise <= 0 || rise > 0.11*before {
		t.Errorf("limit rose by %g from %g in one step of one of sixty gateways", rise, before)
	}
}

func TestLimitsFollowWhatHostsReport(t *testing.T) {
	// Guards: with few answers a host and gateway, how long each took said little; after a zone was lost some hosts were
	// at a tenth of what they can do and others jammed, and requests were refused.
	for _, c := range []struct {
		name            string
		report          LoadReport
		took            Span
		least, greatest float64
	}{
		{"idle, a long answer", LoadReport{-1, 0, 0.3}, 190 * ms, limitFirst + 0.1, 2 * limitFirst},
		{"full, a short answer", LoadReport{-1, 0, 1}, ms, 0, 0.97 * limitFirst},
		{"a queue", LoadReport{-1, 3, 0.95}, ms, 0, 0.97 * limitFirst},
		{"tells nothing, a long answer", LoadReport{-1, -1, -1}, 190 * ms, 0, 0.97 * limitFirst},
	} {
		g := start(t, settings(), hosts(4)...)
		h := g.b.hosts[0]
		h.out.mean = limitFirst // in use
		for range 3 {
			g.b.observe(h, &c.report)
			g.b.learn(h, 0, AttemptResult{Outcome: OutcomeOK, Latency: c.took})
		}
		if h.limit < c.least || h.limit > c.greatest {
			t.Errorf("%s: limit %g after three answers, want %g to %g", c.name, h.limit, c.least, c.greatest)
		}
	}
}

func TestLimitsBelongToTheHost(t *testing.T) {
	// Guards: as a zone went, each host was of half as many gateways again, and each held on to what it had learned for
	// itself: all together sent half as much again to hosts that were full.
	cfg := settings()
	cfg.PeerCount = 60
	list := hosts(30)
	for i := range list {
		list[i].Weight = float64(1 + i%2)
	}
	b := start(t, cfg, list...).b
	sum := func() (sum float64) { // of all gateways, at an average host
		for _, h := range b.group {
			sum += b.limitOf(h) / b.part(h) * b.sharers / float64(len(b.group))
		}
		return sum
	}
	for _, h := range b.hosts {
		if want := limitFirst * h.Weight / 1.5; math.Abs(h.limit-want) > 1e-9 {
			t.Fatalf("host of weight %g starts at %g, want %g", h.Weight, h.limit, want)
		}
	}
	before, sharers := sum(), b.sharers
	b.HandleEndpoints(b.now, ListFull, list[:20])
	if got := sum(); b.sharers < 1.4*sharers || math.Abs(got-before) > 0.01*before {
		t.Errorf("%g gateways a host, then %g; all together %g at a host, then %g", sharers, b.sharers, before, got)
	}
}

func TestHeldRequestsLeaveByWorthForTheirTime(t *testing.T) {
	// Guards: with two thirds of the fleet left each class was served alike, though a fifth of the work brings half of the
	// worth. A class of little worth goes on being served, too.
	cfg := settings()
	cfg.Classes[1] = cfg.Classes[0]
	cfg.Classes[1].PriorityWeight = 5
	g := start(t, cfg, hosts(2)...)
	served := [2]int{}
	for id := RequestID(1); id <= 4000; id += 2 { // far more than two hosts take
		for class := range 2 {
			g.request(id+RequestID(class), class, 0)
		}
		g.run(5 * ms)
		for old := max(id, 41) - 40; old < id+2; old++ {
			if len(g.tries[old]) == 1 && g.final[old] == "" {
				served[(old-1)%2]++
				g.settle(old, 0, OutcomeOK)
				break
			}
		}
	}
	if served[0] < 50 || served[1] < 3*served[0] {
		t.Errorf("%d served of worth 1, %d of worth 5; want some, and 3 times as many at least", served[0], served[1])
	}
}

func TestColdHostHasRoomForItsCores(t *testing.T) {
	// Guards: limits shrank with a host's warmth. But a cold host has all its cores, only slower ones: with 36 of 60 hosts new,
	// half of the requests were refused while these reported a utilization of 0.2. Its budget is coldRoom's matter.
	g := start(t, settings(), hosts(2)...)
	g.b.HandleEndpoints(g.now, ListDelta, []Endpoint{{ID: 9, Phase: PhaseReady, Weight: 1, StartedAt: g.now}})
	cold, warm := g.b.byID[9], g.b.byID[1]
	if part := g.b.limitOf(cold) / g.b.limitOf(warm); g.b.warmth(cold) > 0.11 || part < 0.25 || part > 0.5 {
		t.Errorf("a host at %.2f of its capacity may hold %.2f of what a warm one may", g.b.warmth(cold), part)
	}
}

func TestAKeyMeetsTheSameHosts(t *testing.T) {
	// Guards: hosts spare a third to two thirds of the work for a key that they have lately met, and keys went anywhere.
	cfg := settings()
	cfg.KeyAffinity = true
	list := hosts(6)
	first := map[uint64]EndpointID{}
	sent := map[EndpointID]float64{}
	const keys = 3000
	for i := range 2 { // two gateways, of different seeds
		g := startSeed(t, uint64(i+1), cfg, list...)
		for _, h := range g.b.hosts {
			for j := range h.slots {
				h.slots[j] = float64(1 + h.ID%2) // odd ones have twice the slots
			}
		}
		for key := uint64(1); key <= keys; key++ {
			drawn := g.b.pick(&request{key: key, deadline: g.now + 900*ms, most: 1}, false)
			if len(drawn) != 2 || drawn[0] == drawn[1] {
				t.Fatalf("key %d: %d drawn", key, len(drawn))
			}
			if id := drawn[0].ID; i == 0 {
				first[key] = id
				sent[id]++
			} else if first[key] != id {
				t.Fatalf("key %d meets host %d at one gateway and %d at the other", key, first[key], id)
			}
		}
	}
	for _, h := range list {
		want := keys * float64(1+h.ID%2) / 9
		if n := sent[h.ID]; math.Abs(n-want) > want/5 {
			t.Errorf("host %d is met by %g keys, its slots are for %.0f", h.ID, n, want)
		}
	}
	cfg.KeyAffinity = false
	g := start(t, cfg, list...)
	g.b.HandleRequest(g.now, Request{ID: 1, AffinityKey: 7, Deadline: g.now + 900*ms})
	if g.b.reqs[1].key != 0 {
		t.Error("a key counts where hosts do not spare work for it")
	}
}

func TestSenselessWeightsLeaveOthersTheirRoom(t *testing.T) {
	// Guards: a list with one weight of 1e300 would have left all other hosts no room at all, and a number below 0 no place.
	for _, weight := range []float64{1e300, 1.7e308, -5, 0} {
		list := hosts(4)
		list[0].Weight, list[1].Weight = weight, weight
		cfg := settings()
		cfg.PeerIndex = -7
		g := start(t, cfg, list...)
		for _, h := range g.b.hosts {
			if h.limit < limitFirst/4 || h.limit > limitFirst*4 {
				t.Errorf("weight %g: host %d may hold %g", weight, h.ID, h.limit)
			}
		}
	}
}

func TestHostThatTurnsAwayIsLeftAlone(t *testing.T) {
	// Guards: a host that drains or is full turns requests away at once, and was sent the next at once: 300 a second from
	// gateways that had not heard of the drain (herd), each of them a connection or an attempt less for its request.
	g := start(t, settings(), hosts(4)...)
	h := g.b.hosts[0]
	for range ejectAfter {
		g.b.learn(h, 0, AttemptResult{Outcome: OutcomeRejected, Latency: ms})
	}
	if g.b.fit(h) {
		t.Fatal("still used")
	}
	g.run(2 * g.b.period)
	if !g.b.fit(h) {
		t.Error("never tried again")
	}
}

// ---- host health ----

func TestFailingHostIsJudgedOutAndComesBack(t *testing.T) {
	g := start(t, settings(), hosts(4)...)
	for range ejectAfter {
		g.b.learn(g.b.hosts[0], 0, AttemptResult{Outcome: OutcomeConnectFailed})
	}
	if g.b.fit(g.b.hosts[0]) {
		t.Fatal("still used")
	}
	g.run(2 * g.b.period)
	if !g.b.fit(g.b.hosts[0]) {
		t.Error("never tried again")
	}
	for _, h := range g.b.hosts {
		for range 10 {
			g.b.learn(h, 0, AttemptResult{Outcome: OutcomeConnectFailed})
		}
	}
	g.request(1, 0, 0)
	if len(g.tries[1]) != 1 {
		t.Error("with every host failing nothing is tried any more")
	}
}

func TestErrorsJudgeAHostOut(t *testing.T) {
	// Guards: an error counted as an answer. A host that fails at once, and not every time, never failed three times
	// in a row, looked fast and idle, and drew requests to it; its short times made all others look congested.
	g := start(t, settings(), hosts(4)...)
	h, c := g.b.hosts[0], g.b.classes[0]
	limit, bad := h.limit, AttemptResult{Outcome: OutcomeServerError, Latency: 1}
	for range 4 {
		g.b.learn(h, 0, bad)
		g.b.learn(h, 0, bad)
		h.fails = 0 // as an answer in time would, which moves the limit besides
		h.bad -= badGain * h.bad
	}
	if g.b.fit(h) {
		t.Error("still used, with two of three answers errors")
	}
	if h.limit != limit || g.b.classes[0] != c {
		t.Errorf("errors taught a limit (%g, was %g) or latencies", h.limit, limit)
	}
	first := h.outTill - g.now
	g.run(2 * first)
	if g.b.learn(h, 0, AttemptResult{Outcome: OutcomeReset}); h.outTill-g.now < first {
		t.Error("back with an error, it is left alone no longer than the first time")
	}
	odd := g.b.hosts[1]
	for i := range 200 {
		out := OutcomeOK
		if i%20 == 0 {
			out = OutcomeServerError
		}
		if g.b.learn(odd, 0, AttemptResult{Outcome: out, Latency: ms}); !g.b.fit(odd) {
			t.Fatal("judged out by an odd error")
		}
	}
}

func TestWhatAilsAllIsNoHostsFault(t *testing.T) {
	// Guards: with connections to all hosts breaking now and then, healthy hosts were judged out in turn, and for want
	// of room a tenth of the requests was refused.
	g := start(t, settings(), hosts(4)...)
	for i := range 50 {
		for _, h := range g.b.hosts {
			out := OutcomeOK
			if i%5 < 2 {
				out = OutcomeReset
			}
			if g.b.learn(h, 0, AttemptResult{Outcome: out, Latency: ms}); i > 10 && !g.b.fit(h) {
				t.Fatalf("host %d is out with an error share of %.2f, where %.2f is usual", h.ID, h.bad, g.b.usualBad)
			}
			h.outTill = min(h.outTill, g.now) // what happened before the first control does not count here
		}
		g.b.regroup()
	}
}

func TestOnceKeepsAwayFromSuspects(t *testing.T) {
	// Guards: requests that must run once found out that a host fails, and each error lost one for good.
	g := start(t, settings(), hosts(3)...)
	suspect := g.b.hosts[0]
	g.b.learn(suspect, 0, AttemptResult{Outcome: OutcomeServerError})
	for id := RequestID(1); id < 200; id += 2 {
		g.request(id, 1, 0)
		g.request(id+1, 0, 0)
		g.settle(id, 0, OutcomeOK)
		g.settle(id+1, 0, OutcomeOK)
		if g.tries[id][0] == suspect.ID && suspect.bad >= badSuspect {
			t.Fatal("a request that must run once went to a host that had just failed")
		}
		suspect.bad = max(suspect.bad, 2*badSuspect)
	}
	sent := 0
	for id, tries := range g.tries {
		if tries[0] == suspect.ID && id%2 == 0 {
			sent++
		}
	}
	if sent == 0 {
		t.Error("nothing finds out whether the host is well again")
	}
	for _, h := range g.b.hosts {
		h.bad = 2 * badSuspect
	}
	if g.request(1000, 1, 0); len(g.tries[1000]) != 1 {
		t.Error("with every host suspect nothing is tried any more")
	}
}

func TestLateAnswersLeaveAHostItsLeast(t *testing.T) {
	// Guards: work that takes long by chance drew limits below one request a host, and with half of the hosts draining
	// or cold a fifth of all requests was refused while no host had anything waiting.
	cfg := settings()
	cfg.PeerCount = 3
	g := start(t, cfg, hosts(4)...)
	for range 500 {
		for _, h := range g.b.hosts {
			g.b.learn(h, 0, AttemptResult{Outcome: OutcomeOK, Latency: 500 * ms})
		}
	}
	for _, h := range g.b.hosts {
		if h.limit < limitLeast-0.01 || h.limit > limitLeast+0.01 {
			t.Errorf("limits of all gateways together: %g, want %g", h.limit, limitLeast)
		}
	}
}

func TestLoadedHostIsNotJudgedOut(t *testing.T) {
	// Guards: late attempts at hosts that answered others all the while judged them out, and the rest jammed.
	g := start(t, settings(), hosts(4)...)
	h := g.b.hosts[0]
	for range 10 {
		h.answered = g.now
		g.b.learn(h, 0, AttemptResult{Outcome: OutcomeTimeout, Latency: 500 * ms})
	}
	if !g.b.fit(h) {
		t.Error("judged out while answering")
	}
}

func TestCutShortCountsAsLate(t *testing.T) {
	// Guards: when requests end at their aim, limits that learn from survivors alone never fall.
	g := start(t, settings(), hosts(1)...)
	h := g.b.hosts[0]
	before := h.limit
	g.b.learn(h, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 199 * ms})
	if h.limit >= before {
		t.Errorf("limit %g after an attempt cut at the aim, was %g", h.limit, before)
	}
}

func TestCutBeforeLateProvesNothing(t *testing.T) {
	// Guards: requests released shortly before their aim were cut after little time, and counted as late they
	// drew the limits of idle hosts to nothing (incident ifec65b).
	g := start(t, settings(), hosts(1)...)
	h := g.b.hosts[0]
	before := h.limit
	g.b.classes[0].mean = 10 * ms
	g.b.learn(h, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 30 * ms})
	if h.limit != before {
		t.Errorf("limit %g after an attempt cut early, was %g", h.limit, before)
	}
}

func TestSilentHostGetsNothingNew(t *testing.T) {
	g := start(t, settings(), hosts(2)...)
	g.b.hosts[0].out.n, g.b.hosts[0].answered = 1, g.now
	g.b.control()
	for i := range g.b.classes {
		g.b.classes[i].mean = 40 * ms
	}
	g.b.controlAt = g.now - g.b.period
	g.b.control()
	g.run(60 * ms) // one and a half means
	for id := RequestID(1); id <= 6; id++ {
		g.request(id, 0, 0)
		if len(g.tries[id]) > 0 && g.tries[id][0] == 1 {
			t.Fatal("a silent host got a request")
		}
	}
	if len(g.tries) == 0 {
		t.Error("the other host got nothing either")
	}
}

// ---- logs, settings, sameness ----

func TestLongDayLeavesNothing(t *testing.T) {
	// Guards: a long day replaces every host many times over. What the module keeps is what is there now, and its log
	// does not fall silent for good.
	g := start(t, settings(), hosts(4)...)
	id := RequestID(0)
	for i := range 300 {
		gone, fresh := Endpoint{ID: g.b.hosts[0].ID}, Endpoint{ID: EndpointID(1000 + i), Phase: PhaseReady, Weight: 1}
		g.b.HandleEndpoints(g.now, ListDelta, []Endpoint{gone, fresh})
		for range 8 {
			id++
			g.request(id, int(id%3), 0)
			g.settle(id, 0, OutcomeOK)
		}
		g.b.log("line")
		g.run(g.b.period)
	}
	if len(g.b.hosts) != 4 || len(g.b.byID) != 4 || len(g.b.reqs) != 0 || len(g.b.group) > 4 {
		t.Errorf("%d hosts, %d by id, %d in use, %d requests", len(g.b.hosts), len(g.b.byID), len(g.b.group), len(g.b.reqs))
	}
	if g.lines < 250 {
		t.Errorf("%d of 300 lines", g.lines)
	}
}

func TestLogIsBounded(t *testing.T) {
	g := start(t, settings(), hosts(2)...)
	for range 500 {
		g.b.HandleEndpoints(g.now, ListFailed, nil)
		g.b.HandleEndpoints(g.now, ListFull, hosts(2))
	}
	if g.lines == 0 || g.lines > logLines {
		t.Errorf("%d lines, want some and at most %d", g.lines, logLines)
	}
}

func TestSettingsWithoutSoundDefault(t *testing.T) {
	if _, err := New(Config{}, 1, nil); err == nil {
		t.Error("no classes: no error")
	}
	if _, err := New(Config{Classes: []Class{{LatencyObjective: 5}}}, 1, nil); err == nil {
		t.Error("no deadline: no error")
	}
}

func TestBareSettings(t *testing.T) {
	// No tenants, no cold rules, no limits, an aim past the deadline, a tenant not in the settings.
	cfg := Config{Classes: []Class{{LatencyObjective: 900 * ms, Deadline: 100 * ms}}}
	g := start(t, cfg, hosts(1)...)
	g.b.HandleRequest(g.now, Request{ID: 1, Tenant: 9, Deadline: g.now + 100*ms})
	if len(g.tries[1]) != 1 {
		t.Error("not placed")
	}
	g.run(100 * ms)
	if g.final[1] == "" {
		t.Error("not answered")
	}
}

// script plays a fixed day and returns the actions.
func script(t *testing.T, others ...*gateway) []string {
	g := start(t, tenants(0.6, 0.4), hosts(5)...)
	all := append(others, g)
	for i := range 3000 {
		for _, x := range all {
			id := RequestID(i + 1)
			x.request(id, i%5, i%2)
			if j := RequestID(i - 10); i > 10 && len(x.tries[j]) > 0 && x.final[j] == "" {
				x.settle(j, len(x.tries[j])-1, []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeRejected, OutcomeServerError, OutcomeOK, OutcomeReset}[i%7])
			}
			x.run(3 * ms)
		}
	}
	return g.log
}

func TestSameEventsGiveSameActions(t *testing.T) {
	alone := script(t)
	among := script(t, start(t, settings(), hosts(3)...), start(t, tenants(0.2, 0.8), hosts(7)...))
	if len(alone) < 2500 || strings.Join(alone, "\n") != strings.Join(among, "\n") {
		t.Errorf("%d actions alone, %d among others, or not the same", len(alone), len(among))
	}
}

func TestOpenRequestsKeepTheirRules(t *testing.T) {
	// Guards: after new settings, an open request that may have run goes out again as its class's new rules allow, or its
	// attempts are counted by the new number.
	cfg := settings()
	g := start(t, cfg, hosts(6)...)
	g.request(1, 1, 0) // once
	g.request(2, 0, 0) // repeatable
	next := settings()
	next.MaxAttempts = 1
	next.Classes = append(next.Classes, Class{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: Idempotent})
	learned := g.b.classes[0].mean
	if err := g.b.Reconfigure(g.now, next, []int{0, 1, 2, 3, 4, 5, 1}, []int{0}); err != nil {
		t.Fatal(err)
	}
	g.settle(1, 0, OutcomeReset)
	wantFinal(t, g, 1, "fail")
	g.settle(2, 0, OutcomeReset)
	g.run(ms)
	if len(g.tries[2]) != 2 {
		t.Errorf("%d attempts by the rules it came under, want a second", len(g.tries[2]))
	}
	g.request(3, 6, 0) // what was once may be repeated now, but only 1 attempt is left
	g.settle(3, 0, OutcomeReset)
	wantFinal(t, g, 3, "decline")
	if g.b.classes[0].mean != learned {
		t.Errorf("the mean latency of a class that stayed went from %v to %v", learned, g.b.classes[0].mean)
	}
	next.Classes[0].Deadline = 0
	if err := g.b.Reconfigure(g.now, next, []int{0, 1, 2, 3, 4, 5, 6}, []int{0}); err == nil || g.b.cfg.Classes[0].Deadline == 0 {
		t.Errorf("unsound settings: %v, deadline %d", err, g.b.cfg.Classes[0].Deadline)
	}
}

func TestTenantsComeAndGo(t *testing.T) {
	// Guards: a tenant that comes finds no room for its counts at the hosts known, one that goes takes those along whose
	// requests are held.
	cfg := settings()
	cfg.Tenants = []Tenant{{QuotaFraction: 0.5}, {QuotaFraction: 0.5}}
	g := start(t, cfg, hosts(2)...)
	for id := RequestID(1); id <= 60; id++ {
		g.request(id, 0, int(id)%2)
	}
	held := len(g.b.tenants[1].held)
	if held == 0 {
		t.Fatal("nothing is held")
	}
	cfg.Tenants = []Tenant{{QuotaFraction: 0.5}, {}, {QuotaFraction: 0.5}}
	if err := g.b.Reconfigure(g.now, cfg, []int{0, 1, 2, 3, 4, 5}, []int{0, 1, -1}); err != nil {
		t.Fatal(err)
	}
	for id := RequestID(61); id <= 70; id++ {
		g.request(id, 0, 2)
	}
	g.run(2000 * ms)
	for id := RequestID(1); id <= 70; id++ {
		if g.final[id] == "" && len(g.tries[id]) == 0 {
			t.Errorf("request %d, held as the tenants changed, has no answer and no attempt", id)
		}
	}
}

func TestAnotherProcessTakesOver(t *testing.T) {
	// Guards: a process that takes the place of another begins with nothing learned, or both spend the whole budget of a
	// cold host; and what makes no sense spoils nothing.
	cfg := settings()
	list := hosts(4)
	list[3].StartedAt = 1e9 - 1000*ms
	g := start(t, cfg, list...)
	for id := RequestID(1); id < 200; id++ {
		g.request(id, 0, 0)
		g.settle(id, 0, OutcomeOK)
		g.run(5 * ms)
	}
	g.b.byID[1].bad, g.b.byID[1].limit = 0.3, 17
	before := g.b.byID[4].tokens
	m := g.b.ExportState(g.now)
	if now := g.b.byID[4].tokens; now != before/2 || m.Endpoints[4].Tokens != before/2 {
		t.Errorf("of %v tokens one has %v and the other %v", before, now, m.Endpoints[4].Tokens)
	}
	next := startSeed(t, 8, cfg, list...)
	next.b.ImportState(next.now, m)
	if h := next.b.byID[1]; h.bad != 0.3 || h.limit != 17 || next.b.classes[0].mean != g.b.classes[0].mean || next.b.rate != g.b.rate {
		t.Errorf("bad %v, limit %v, mean %v, rate %v", h.bad, h.limit, next.b.classes[0].mean, next.b.rate)
	}
	alone := startSeed(t, 9, cfg, list...)
	alone.b.ImportState(alone.now, m)
	next.b.SetProcessCount(2)
	alone.run(500 * ms)
	next.now = alone.now
	for _, g := range []*gateway{alone, next} {
		g.b.now = g.now
		g.b.coldRoom(g.b.byID[4])
	}
	if a, b := alone.b.byID[4].tokens-before/2, next.b.byID[4].tokens-before/2; a <= 0 || math.Abs(b/a-0.5) > 0.01 {
		t.Errorf("one process has earned %v, one of two %v", a, b)
	}
	odd := m
	odd.Endpoints = map[uint64]LearnedEndpoint{1: {Limit: math.NaN(), ErrorShare: 7}, 2: {Limit: -1}, 9: {Limit: 5}}
	odd.Classes, odd.AnswerRate = []LearnedClass{{0, 0}}, math.Inf(1)
	third := startSeed(t, 10, cfg, list...)
	limit := third.b.byID[1].limit
	third.b.ImportState(third.now, odd)
	if third.b.byID[1].limit != limit || third.b.byID[2].limit <= 0 || third.b.rate != 0 {
		t.Errorf("limits %v and %v, rate %v", third.b.byID[1].limit, third.b.byID[2].limit, third.b.rate)
	}
}

// A tenant that gets the number of one that has gone takes over nothing of it: neither its slots at hosts, nor what it used or asked for.
func TestRetunedTenantTakesOverNothing(t *testing.T) {
	cfg := tenants(0.9, 0.1)
	g := start(t, cfg, hosts(3)...)
	for id := RequestID(1); id <= 60; id++ {
		g.request(id, 0, 0)
		if len(g.tries[id]) == 1 {
			g.run(20 * ms)
			g.settle(id, 0, OutcomeOK)
		}
		g.run(10 * ms)
	}
	g.run(5000 * ms)
	if g.b.hosts[0].slots[0] == 0 || g.b.tenants[0].used[0] == 0 {
		t.Fatal("nothing was learned")
	}
	per := g.b.hosts[0].per[0]
	next := tenants(0.5, 0.5)
	if err := g.b.Reconfigure(g.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 0}); err != nil {
		t.Fatal(err)
	}
	if u := g.b.tenants[0].used; u != [2]float64{} {
		t.Errorf("the new tenant has used %v", u)
	}
	for _, h := range g.b.hosts {
		want := 0.0 // as for one of whom nothing is known
		if g.b.fit(h) {
			want = g.b.tenants[0].slots * g.b.limitOf(h) / max(g.b.capacity, g.b.limitOf(h))
		}
		if math.Abs(h.slots[0]-want) > 1e-9 || h.per[0] != 0 || h.per[1] != per {
			t.Errorf("host %d: slots %v, want %v for the new tenant; in flight %v", h.ID, h.slots, want, h.per)
		}
	}
	// An entry of the slot matrix moves only when well out of line: one that is nearly right for another tenant would stay.
	h := g.b.hosts[0]
	for range 2 { // the second time the parts are as they were
		h.slots[0] *= 1.2
		if err := g.b.Reconfigure(g.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 1}); err != nil {
			t.Fatal(err)
		}
	}
	if want := g.b.tenants[0].slots * g.b.limitOf(h) / max(g.b.capacity, g.b.limitOf(h)); math.Abs(h.slots[0]-want) > 1e-9 {
		t.Errorf("slots %v, want %v for the new tenant", h.slots, want)
	}
}

// A client that leaves while its request is held: nothing is tried for it, whatever room there is later.
func TestHeldRequestOfWhoLeftIsNeverTried(t *testing.T) {
	g := start(t, settings())
	g.request(1, 0, 0)
	if len(g.tries[1]) != 0 || !g.b.holding() {
		t.Fatal("not held")
	}
	g.b.HandleCancellation(g.now, 1)
	g.b.HandleEndpoints(g.now, ListFull, hosts(2))
	g.run(400 * ms)
	if len(g.tries[1]) != 0 {
		t.Errorf("tried %d times", len(g.tries[1]))
	}
}
