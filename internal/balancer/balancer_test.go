package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"tulipglade/internal/safety"
)

// fakeNode is a fake: it keeps what the module asked for and moves time by hand.
type fakeNode struct {
	test         *testing.T
	balancer     *Balancer
	now          Time
	log          []string // every action, in order
	attempts     map[RequestID][]EndpointID
	finalAnswers map[RequestID]string
	timers       []fakeTimer
	logLines     int
	watchCalls   int
	healthChecks []EndpointID

	attemptSeen  map[RequestID]bool
	firstWatchAt Time
}

type fakeTimer struct {
	expiresAt Time
	id        TimerID
}

func (f *fakeNode) record(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}
func (f *fakeNode) SendAttempt(id RequestID, endpoint EndpointID, _ Span) {
	if f.finalAnswers[id] != "" {
		f.test.Errorf("Try for %d after its final answer", id)
	}
	f.attempts[id] = append(f.attempts[id], endpoint)
	f.record("try %d %d", id, endpoint)
}
func (f *fakeNode) CancelAttempt(id RequestID, n int) { f.record("cancel %d %d", id, n) }
func (f *fakeNode) recordFinal(id RequestID, how string) {
	if f.finalAnswers[id] != "" {
		f.test.Errorf("second final answer for %d", id)
	}
	f.finalAnswers[id] = how
	f.record("%s %d", how, id)
}
func (f *fakeNode) Reject(id RequestID, _ Span) { f.recordFinal(id, "decline") }
func (f *fakeNode) Fail(id RequestID)           { f.recordFinal(id, "fail") }
func (f *fakeNode) CheckHealth(endpoint EndpointID) {
	f.healthChecks = append(f.healthChecks, endpoint)
}
func (f *fakeNode) SetTimer(t TimerID, delay Span) {
	f.timers = append(f.timers, fakeTimer{f.now + max(delay, 1), t})
}
func (f *fakeNode) WatchEndpoints(bool) {
	if f.watchCalls++; f.watchCalls == 1 {
		f.firstWatchAt = f.now
	}
}
func (f *fakeNode) PollEndpoints() {}
func (f *fakeNode) Log(s string)   { f.logLines++; f.record("log %s", s) }

// advance moves time on by d, firing timers in order.
func (f *fakeNode) advance(duration Span) {
	until := f.now + duration
	for {
		next := -1
		for i, expired := range f.timers {
			if expired.expiresAt <= until && (next < 0 || expired.expiresAt < f.timers[next].expiresAt) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		expired := f.timers[next]
		f.timers = append(f.timers[:next], f.timers[next+1:]...)
		f.now = max(f.now, expired.expiresAt)
		f.balancer.HandleTimer(f.now, expired.id)
	}
	f.now = until
}

func (f *fakeNode) request(id RequestID, class, tenant int) {
	f.balancer.HandleRequest(f.now, Request{ID: id, Class: class, Tenant: tenant, Deadline: f.now + f.balancer.config.Classes[class].Deadline})
}

func (f *fakeNode) complete(id RequestID, n int, outcome Outcome) {
	f.balancer.HandleAttemptResult(f.now, AttemptResult{ID: id, Attempt: n, Endpoint: f.attempts[id][n], Outcome: outcome, Latency: ms, RequestDone: outcome == OutcomeOK})
	if outcome == OutcomeOK && f.finalAnswers[id] == "" {
		f.finalAnswers[id] = "served"
	}
}

const ms = 1000

func testConfig() Config {
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

func startNode(t *testing.T, cfg Config, hosts ...Endpoint) *fakeNode {
	t.Helper()
	return startNodeWithSeed(t, 7, cfg, hosts...)
}

func startNodeWithSeed(t *testing.T, seed uint64, cfg Config, hosts ...Endpoint) *fakeNode {
	t.Helper()
	node := &fakeNode{test: t, now: 1e9, attempts: map[RequestID][]EndpointID{}, finalAnswers: map[RequestID]string{}, attemptSeen: map[RequestID]bool{}}
	b, err := New(cfg, seed, node)
	if err != nil {
		t.Fatal(err)
	}
	node.balancer = b
	b.HandleEndpoints(node.now, ListCached, hosts)
	node.advance(ms)
	return node
}

func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Phase: PhaseReady, Zone: i % 2, Cell: i % 3, Weight: 1})
	}
	return list
}

func wantFinal(t *testing.T, node *fakeNode, id RequestID, how string) {
	t.Helper()
	if node.finalAnswers[id] != how {
		t.Errorf("request %d: final answer %q, want %q", id, node.finalAnswers[id], how)
	}
}

// ---- rule 1: one final answer, in time ----

func TestEveryRequestHasFinalAnswerByDeadline(t *testing.T) {
	for class := range testConfig().Classes {
		for _, n := range []int{0, 3} { // no host at all, and hosts that never answer
			node := startNode(t, testConfig(), testEndpoints(n)...)
			for id := RequestID(1); id <= 100; id++ {
				node.request(id, class, 0)
			}
			node.advance(node.balancer.config.Classes[class].Deadline)
			for id := RequestID(1); id <= 100; id++ {
				if node.finalAnswers[id] == "" {
					t.Fatalf("class %d, %d hosts: request %d has no answer at its deadline", class, n, id)
				}
			}
		}
	}
}

func TestNothingFollowsFinalAnswer(t *testing.T) {
	// Each interleaving of outcome, timers, the client leaving and a late outcome; the fake fails the test on
	// a second answer or a Try after it.
	for _, first := range []Outcome{OutcomeOK, OutcomeServerError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent} {
		for _, order := range []string{"outcome-gone", "gone-outcome", "timer-outcome", "outcome-timer", "outcome-outcome"} {
			for class := range testConfig().Classes {
				node := startNode(t, testConfig(), testEndpoints(4)...)
				node.request(1, class, 0)
				for _, step := range strings.Split(order, "-") {
					switch step {
					case "outcome":
						node.complete(1, len(node.attempts[1])-1, first)
					case "gone":
						node.balancer.HandleCancellation(node.now, 1)
						if node.finalAnswers[1] == "" {
							node.finalAnswers[1] = "gone"
						}
					case "timer":
						node.advance(900 * ms)
					}
				}
				node.advance(1000 * ms)
				if node.finalAnswers[1] == "" {
					t.Errorf("%s after outcome %d, class %d: no final answer", order, first, class)
				}
			}
		}
	}
}

func TestQueuedRequestIsRejectedBeforeLatencyObjective(t *testing.T) {
	node := startNode(t, testConfig())
	node.request(1, 0, 0)
	node.advance(140 * ms)
	wantFinal(t, node, 1, "")
	node.advance(11 * ms) // the class's mean latency is 50 ms and the aim 200
	wantFinal(t, node, 1, "decline")
}

func TestUnsentRequestIsRejectedAtHalfItsTimeInOverload(t *testing.T) {
	// Guards: newer requests go first in an overload, and older ones were held to shortly before their aim all the same: their
	// clients learned late that they had to try again (zone+vast: a price of 0.014, and tries that found no more time).
	for _, over := range []bool{false, true} {
		node := startNode(t, testConfig())
		node.balancer.overloadMode = over
		node.balancer.HandleRequest(node.now, Request{ID: 1, Class: 0, Deadline: node.now + 220*ms}) // aim 200 ms, mean 50
		node.advance(105 * ms)
		wantFinal(t, node, 1, "")
		node.advance(20 * ms) // within a beat
		wantFinal(t, node, 1, map[bool]string{false: "", true: "decline"}[over])
	}
}

func TestRequestWithShortDeadlineIsRejectedInTime(t *testing.T) {
	node := startNode(t, testConfig())
	node.balancer.HandleRequest(node.now, Request{ID: 1, Class: 5, Deadline: node.now + 20*ms})
	node.advance(20 * ms)
	wantFinal(t, node, 1, "decline")
}

func TestAttemptPastObjectiveStaysInFlight(t *testing.T) {
	// Guards: attempts cancelled at the aim left the books while hosts worked on them. With eighty gateways hosts jammed
	// at what each held to be little, and a third of all attempts needed a new connection.
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.request(1, 0, 0)
	node.advance(200 * ms)
	wantFinal(t, node, 1, "decline")
	endpoint := node.balancer.endpointsByID[node.attempts[1][0]]
	if slices.Contains(node.log, "cancel 1 0") || endpoint.inFlight.count != 1 {
		t.Errorf("%d at the host, log %v; want 1 and no cancel", endpoint.inFlight.count, node.log)
	}
	limit := endpoint.limit
	node.balancer.HandleAttemptResult(node.now, AttemptResult{ID: 1, Endpoint: endpoint.ID, Outcome: OutcomeOK, Latency: 200 * ms, RequestDone: true})
	if endpoint.inFlight.count != 0 || endpoint.limit >= limit || len(node.balancer.requests) != 0 {
		t.Errorf("%d at the host after its end, limit %g of %g, %d requests", endpoint.inFlight.count, endpoint.limit, limit, len(node.balancer.requests))
	}
}

func TestFinalAnswerAndAttemptAreGuarded(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	request := node.balancer.requests[1]
	node.balancer.HandleCancellation(node.now, 1)
	node.finalAnswers[1] = "gone"
	node.balancer.rejectOrFail(request) // a second answer fails the test in the fake
	if node.balancer.sendAttempt(request, node.balancer.endpoints[0]) {
		t.Error("Try for a request that is over")
	}
	node.request(2, 0, 0)
	request = node.balancer.requests[2]
	request.attemptsInFlight = 0
	other := node.balancer.endpoints[0]
	if other.ID == node.attempts[2][0] {
		other = node.balancer.endpoints[1]
	}
	if !node.balancer.mayAttempt(request, other) {
		t.Fatal("the other host is not allowed")
	}
	request.attempts = append(request.attempts, request.attempts[0], request.attempts[0], request.attempts[0])
	if node.balancer.mayAttempt(request, other) {
		t.Error("a fifth attempt of four is allowed")
	}
}

func TestStartedResponseHasNoDeadline(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	node.balancer.HandleResponseStart(node.now, 1)
	node.advance(2000 * ms)
	wantFinal(t, node, 1, "")
	node.complete(1, 0, OutcomeOK)
	if len(node.balancer.requests) != 0 {
		t.Error("the request is still kept")
	}
}

// ---- rule 2: no effect twice ----

func TestRetryByOutcomeAndIdempotency(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeServerError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent} {
		proven := outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent
		for class, c := range testConfig().Classes {
			node := startNode(t, testConfig(), testEndpoints(6)...)
			node.request(1, class, 0)
			node.complete(1, 0, outcome)
			retried := len(node.attempts[1]) > 1
			if c.Idempotency == NonIdempotent && retried != proven {
				t.Errorf("once after %d: tried again %v, want %v", outcome, retried, proven)
			}
			if c.Idempotency == Idempotent && !retried {
				t.Errorf("repeatable after %d: not tried again", outcome)
			}
			node.advance(c.Deadline)
			harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll
			if !harmless && node.finalAnswers[1] == "decline" && (retried || !proven) {
				t.Errorf("class %d after %d: refused though it may have run", class, outcome)
			}
		}
	}
}

func TestRetryStaysInKeyScope(t *testing.T) {
	for range 40 {
		for _, class := range []int{3, 4} {
			list := testEndpoints(6)
			node := startNode(t, testConfig(), list...)
			node.request(1, class, 0)
			node.complete(1, 0, OutcomeReset)
			if len(node.attempts[1]) < 2 {
				t.Fatal("not tried again")
			}
			first, second := list[node.attempts[1][0]-1], list[node.attempts[1][1]-1]
			if class == 3 && first.Zone != second.Zone || class == 4 && first.Cell != second.Cell {
				t.Fatalf("class %d went from %+v to %+v", class, first, second)
			}
		}
	}
}

func TestRetryMayLeaveKeyScopeWhenAttemptNeverRan(t *testing.T) {
	list := testEndpoints(2) // two zones of one host
	node := startNode(t, testConfig(), list...)
	node.request(1, 3, 0)
	node.complete(1, 0, OutcomeConnectFailed)
	if len(node.attempts[1]) != 2 || node.attempts[1][0] == node.attempts[1][1] {
		t.Errorf("tries %v, want one on each host", node.attempts[1])
	}
}

func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(6)...)
	node.request(1, 2, 0)
	node.advance(99 * ms)
	node.complete(1, 0, OutcomeReset)
	if len(node.attempts[1]) != 1 {
		t.Error("sent again at the end of the window")
	}
	wantFinal(t, node, 1, "decline") // the group is all hosts
}

func TestIdempotencyWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(6)...)
	node.request(1, 2, 0)
	node.advance(90 * ms)
	node.complete(1, 0, OutcomeRejected) // never ran: starts no window
	node.advance(90 * ms)
	node.complete(1, 1, OutcomeReset)
	if len(node.attempts[1]) != 3 {
		t.Errorf("%d tries, want 3", len(node.attempts[1]))
	}
}

func TestAttemptsAreLimitedByMaxAttempts(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(8)...)
	node.request(1, 1, 0)
	for i := 0; i < len(node.attempts[1]); i++ {
		node.complete(1, i, OutcomeRejected)
	}
	if len(node.attempts[1]) != 4 {
		t.Errorf("%d tries, want MaxAttempts", len(node.attempts[1]))
	}
	wantFinal(t, node, 1, "decline")
}

func TestDrainingRemovedAndOmittedEndpointsGetNothing(t *testing.T) {
	for _, change := range []string{"draining", "gone", "left off"} {
		list := testEndpoints(3)
		node := startNode(t, testConfig(), list...)
		switch change {
		case "draining", "gone":
			list[0].Phase = PhaseDraining
			if change == "gone" {
				list[0].Phase = PhaseRemoved
			}
			node.balancer.HandleEndpoints(node.now, ListDelta, list[:1])
		case "left off":
			node.balancer.HandleEndpoints(node.now, ListFull, list[1:])
		}
		for id := RequestID(1); id <= 60; id++ {
			node.request(id, 0, 0)
			for _, endpoint := range node.attempts[id] {
				if endpoint == 1 {
					t.Fatalf("%s: host 1 got a request", change)
				}
			}
			node.advance(10 * ms)
			if len(node.attempts[id]) > 0 {
				node.complete(id, 0, OutcomeOK)
			}
		}
		list[0].Phase, list[0].StartedAt = PhaseReady, 5 // it comes back, started long ago
		node.balancer.HandleEndpoints(node.now, ListDelta, list[:1])
		back := false
		for id := RequestID(101); id <= 160; id++ {
			node.request(id, 0, 0)
			for _, endpoint := range node.attempts[id] {
				back = back || endpoint == 1
			}
			node.advance(10 * ms)
			if len(node.attempts[id]) > 0 {
				node.complete(id, 0, OutcomeOK)
			}
		}
		if !back {
			t.Errorf("%s: the host came back and got nothing", change)
		}
	}
}

func TestDrainingEndpointIsNotUsedAsLastResort(t *testing.T) {
	node := startNode(t, testConfig(), Endpoint{ID: 1, Phase: PhaseDraining})
	node.request(1, 0, 0)
	node.advance(1000 * ms)
	if len(node.attempts[1]) != 0 {
		t.Error("with nothing else left a draining host was used")
	}
}

// ---- rule 4: cold hosts ----

// sendAndCount drives quick answers and counts what each host got in the window after cold ones came.
func sendAndCount(node *fakeNode, from RequestID) map[EndpointID]int {
	sent := map[EndpointID]int{}
	for id := from; id < from+2000; id++ { // a request each millisecond: two windows
		node.request(id, 0, 0)
		for i := 0; i < len(node.attempts[id]); i++ {
			if id < from+2000 {
				sent[node.attempts[id][i]]++
			}
		}
		node.advance(ms)
		if len(node.attempts[id]) > 0 && node.finalAnswers[id] == "" {
			node.complete(id, 0, OutcomeOK)
		}
	}
	return sent
}

func TestWarmingEndpointStaysWithinOverloadBudget(t *testing.T) {
	for _, change := range []string{"restarted", "new"} {
		list := testEndpoints(4)
		node := startNode(t, testConfig(), list...)
		warm := sendAndCount(node, 1)
		warming := list[:1]
		if change == "new" {
			warming = []Endpoint{{ID: 99, Phase: PhaseReady}}
		}
		warming[0].StartedAt = node.now
		node.balancer.HandleEndpoints(node.now, ListDelta, warming)
		got := sendAndCount(node, 10001)[warming[0].ID]
		for from := RequestID(20001); got == 0 && from < 50000; from += 10000 { // it is seldom drawn at first
			got = sendAndCount(node, from)[warming[0].ID]
		}
		// In a window of 2 s, at most the multiple of what the host can do by the window's end.
		most := 3 * (0.1 + 0.9*2/20) * float64(warm[2])
		if got == 0 || float64(got) > most {
			t.Errorf("%s: cold host got %d, warm ones got %d before; want some and at most %.0f", change, got, warm[2], most)
		}
	}
}

func TestWarmingFleetGetsFewRequests(t *testing.T) {
	list := testEndpoints(4)
	for i := range list {
		list[i].StartedAt = 1e9
	}
	node := startNode(t, testConfig(), list...)
	for endpoint, n := range sendAndCount(node, 1) {
		if n > 20 { // nothing is known: a few in two seconds
			t.Errorf("host %d got %d", endpoint, n)
		}
	}
	if len(node.attempts) == 0 {
		t.Error("nothing was tried at all")
	}
}

func TestMayStartAttemptChecksCurrentState(t *testing.T) {
	// Guards: between the decision for an attempt and its first byte lies the time of a connection, in which its host may begin to drain, the
	// window for repeats end, its client leave; it was sent all the same.
	keyed := Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: IdempotentByKey, IdempotencyWindow: 1000 * ms}
	for name, c := range map[string]struct {
		class Class
		ran   bool // an attempt before it may have run
		since func(node *fakeNode)
		want  bool
	}{
		"nothing": {keyed, false, func(*fakeNode) {}, true},
		"its host drains": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: node.attempts[1][0], Phase: PhaseDraining}})
		}, false},
		"its host is gone": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: node.attempts[1][0], Phase: PhaseRemoved}})
		}, false},
		"its host left off": {keyed, false, func(node *fakeNode) {
			node.balancer.HandleEndpoints(node.now, ListFull, []Endpoint{{ID: 99, Phase: PhaseReady}})
		}, false},
		"its client left":            {keyed, false, func(node *fakeNode) { node.balancer.HandleCancellation(node.now, 1) }, false},
		"its deadline":               {keyed, false, func(node *fakeNode) { node.now += 5000 * ms }, false},
		"the window, none ran":       {keyed, false, func(node *fakeNode) { node.now += 1200 * ms }, true},
		"within the window":          {keyed, true, func(node *fakeNode) { node.now += 100 * ms }, true},
		"the window":                 {keyed, true, func(node *fakeNode) { node.now += 1200 * ms }, false},
		"a first one that runs once": {Class{LatencyObjective: 200 * ms, Deadline: 5000 * ms, Idempotency: NonIdempotent}, false, func(*fakeNode) {}, true},
	} {
		cfg := testConfig()
		cfg.Classes = []Class{c.class}
		node := startNode(t, cfg, testEndpoints(3)...)
		node.request(1, 0, 0)
		if c.ran {
			node.complete(1, 0, OutcomeReset)
		}
		if n := len(node.attempts[1]); n == 0 || c.ran && n != 2 {
			t.Fatalf("%s: %d attempts", name, n)
		}
		c.since(node)
		if got := node.balancer.MayStartAttempt(node.now, 1, len(node.attempts[1])-1); (got == safety.Allowed) != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if startNode(t, testConfig(), testEndpoints(1)...).balancer.MayStartAttempt(0, 7, 0) == safety.Allowed {
		t.Error("an attempt that never was")
	}
}

// ---- discovery ----

func TestDiscoveryIsCalledUntilItAnswers(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	node := startNode(t, cfg, testEndpoints(2)...)
	if node.watchCalls != 1 {
		t.Fatalf("asked %d times at start", node.watchCalls)
	}
	node.advance(cfg.PollInterval / 2)
	if node.watchCalls < 2 {
		t.Error("a call without any answer was not repeated")
	}
	before := node.watchCalls
	for range 5 {
		node.balancer.HandleEndpoints(node.now, ListFailed, nil)
		node.advance(cfg.PollInterval / 2)
	}
	if n := node.watchCalls - before; n < 5 || n > 15 {
		t.Errorf("%d calls for 5 failures", n)
	}
	node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	before = node.watchCalls
	node.advance(10 * cfg.PollInterval)
	if node.watchCalls != before {
		t.Error("asked again while subscribed")
	}
	node.balancer.HandleEndpoints(node.now, ListFailed, nil) // the subscription dropped
	node.advance(cfg.PollInterval / 4)
	if node.watchCalls == before {
		t.Error("a dropped subscription was not renewed")
	}
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("the old list is no longer used after a failure")
	}
}

func TestTimedOutWatchIsReopenedAtOnce(t *testing.T) {
	// Guards: one of 279 gateways whose watch had fallen silent called again after up to 17 s, as all spread their calls
	// over the time that discovery needs for all; hosts that drained got requests meanwhile (join+mass, 664 in one day).
	for _, peers := range []int{3, 300, 1024} {
		cfg := testConfig()
		cfg.PollDiscovery, cfg.PeerCount = true, peers
		for seed := range uint64(20) {
			node := startNodeWithSeed(t, seed, cfg, testEndpoints(2)...)
			node.advance(cfg.PollInterval)
			node.balancer.HandleEndpoints(node.now, ListDelta, nil)
			before := node.watchCalls
			node.balancer.HandleEndpoints(node.now, ListTimeout, nil)
			if node.advance(700 * ms); node.watchCalls != before+1 {
				t.Fatalf("%d gateways: %d calls within 0.7 s of a silence", peers, node.watchCalls-before)
			}
			for range 20 { // it is out of reach, and nobody knows when it is back: a call that is not answered is given up after 3.2 s
				before = node.watchCalls
				node.balancer.HandleEndpoints(node.now, ListTimeout, nil)
				if node.advance(700 * ms); node.watchCalls != before+1 {
					t.Fatalf("%d gateways: %d calls within 0.7 s of another silence", peers, node.watchCalls-before)
				}
				node.advance(3200 * ms)
			}
		}
	}
}

func TestNextCallComesWithinNotificationDeadline(t *testing.T) {
	// Guards: the pause after a failure doubled up to 32 times what 300 gateways need to call in turn, ten minutes, so that hosts which
	// began to drain after discovery was back got requests for as long. What it has counts as told 6 s after it can be reached.
	for _, c := range []struct {
		kind   ListKind
		peers  int
		within Span // of the failure, so that 6 s also hold the call that failed, if nothing was heard, and the answer to the next
	}{{ListFailed, 1, 3100 * ms}, {ListFailed, 6, 3100 * ms}, {ListFailed, 30, 3100 * ms}, {ListFailed, 350, 3100 * ms},
		{ListFailed, 1024, 3100 * ms}, {ListTimeout, 350, 700 * ms}, {ListOverloaded, 6, 3100 * ms}, {ListOverloaded, 20, 3100 * ms}} {
		cfg := testConfig()
		cfg.PollDiscovery, cfg.PeerCount = true, c.peers
		for seed := range uint64(10) {
			node := startNodeWithSeed(t, seed, cfg, testEndpoints(2)...)
			node.advance(cfg.PollInterval)
			for k := range 12 {
				before := node.watchCalls
				node.balancer.HandleEndpoints(node.now, c.kind, nil)
				if node.advance(c.within); node.watchCalls == before {
					t.Fatalf("kind %d, %d gateways: no call within %d ms of failure %d", c.kind, c.peers, c.within/ms, k+1)
				}
			}
		}
	}
}

func TestPushedListIsNotPolled(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.advance(60000 * ms)
	if node.watchCalls != 0 {
		t.Errorf("asked %d times", node.watchCalls)
	}
}

// ---- the mechanism ----

func configWithQuotas(shares ...float64) Config {
	cfg := testConfig()
	for _, s := range shares {
		cfg.Tenants = append(cfg.Tenants, Tenant{QuotaFraction: s})
	}
	return cfg
}

func TestFirstListAssignsSlotsAtOnce(t *testing.T) {
	// Guards: nothing was placed until the first control period had passed.
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("not placed right after the first list")
	}
}

func TestFirstListGivesInitialLimits(t *testing.T) {
	// Guards: hosts of the first list took the mean of limits not yet set, and all but one stayed unused.
	node := startNode(t, testConfig(), testEndpoints(5)...)
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.limit != initialLimit {
			t.Errorf("host %d starts at %g", endpoint.ID, endpoint.limit)
		}
	}
}

func TestQuotaEquations(t *testing.T) {
	node := startNode(t, configWithQuotas(0.5, 0.5), testEndpoints(2)...)
	balancer := node.balancer
	balancer.capacity, balancer.overloadMode = 10, true
	dt := float64(balancer.controlPeriod)
	balancer.tenants[0].quota.slotTime, balancer.tenants[1].quota.slotTime = 4*dt, 1*dt // U = 0.4 and 0.1
	balancer.modeTime = [2]float64{}
	balancer.endPeriod(dt, 2)
	// Eq. 2 with nothing in flight: U_q = U/2. Eq. 1: 2P - 1.5U.
	for i, want := range []float64{0.4, 0.85} {
		if got := balancer.tenants[i].quota.predicted; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("tenant %d: U_PR %g, want %g", i, got, want)
		}
	}
	// Eq. 3: a second period of equal length weighs one half.
	balancer.overloadMode = true
	balancer.endPeriod(dt, 2)
	if got := balancer.tenants[0].quota.utilization[1]; got != 0.2 {
		t.Errorf("U after an idle period %g, want 0.2", got)
	}
	balancer.overloadMode = false
	balancer.tenants[0].quota.slotTime = 3 * dt
	balancer.endPeriod(dt, 2)
	if balancer.tenants[0].quota.utilization[0] != 0.3 || balancer.tenants[0].quota.utilization[1] != 0.2 {
		t.Errorf("U by mode %v, want 0.3 and 0.2", balancer.tenants[0].quota.utilization)
	}
}

func TestPredictedQuotaIsClamped(t *testing.T) {
	node := startNode(t, configWithQuotas(0.9, 0.1), testEndpoints(2)...)
	node.balancer.capacity = 10
	node.balancer.tenants[1].quota.slotTime = 10 * float64(node.balancer.controlPeriod)
	node.balancer.endPeriod(float64(node.balancer.controlPeriod), 2)
	if w := node.balancer.tenants[1].quota.predicted; w != 0 {
		t.Errorf("a tenant far over its share is predicted %g", w)
	}
	if w := node.balancer.tenants[0].quota.predicted; w < 0 || w > 1 {
		t.Errorf("prediction %g out of range", w)
	}
}

func TestSlotsFollowLimitsWithLeastChange(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	balancer := node.balancer
	balancer.endpoints[0].limit = 18
	balancer.capacity = 36
	row := func() [4]float64 {
		return [4]float64{balancer.endpoints[0].slots[0], balancer.endpoints[1].slots[0], balancer.endpoints[2].slots[0], balancer.endpoints[3].slots[0]}
	}
	for range 9 {
		balancer.assignSlots(0, 24)
	}
	for i, want := range []float64{12, 4, 4, 4} {
		if got := row()[i]; got < want-1 || got > want+1 {
			t.Errorf("slots %v, want in line with the limits", row())
		}
	}
	before := row()
	balancer.endpoints[1].limit = 6.5 // less than a slot out of line: nothing moves
	balancer.assignSlots(0, 24)
	if row() != before {
		t.Errorf("slots moved from %v to %v", before, row())
	}
	balancer.endpoints[1].limit = 9 // more than that: its entry alone moves
	balancer.assignSlots(0, 24)
	for i, n := range row() {
		if (n != before[i]) != (i == 1) {
			t.Errorf("slots moved from %v to %v", before, row())
		}
	}
}

func TestTenantOverQuotaWaitsFirst(t *testing.T) {
	for seed := range 30 {
		node := startNode(t, configWithQuotas(0.5, 0.5), testEndpoints(2)...)
		node.balancer.random.state = uint64(seed)
		for id := RequestID(1); id <= 40; id++ { // tenant 0 fills every slot and waits
			node.request(id, 0, 0)
		}
		first := RequestID(1)
		for len(node.attempts[first]) == 0 {
			first++
		}
		node.request(100, 0, 1)
		if len(node.attempts[100]) != 0 {
			t.Fatal("no slot should have been free")
		}
		node.complete(first, 0, OutcomeOK)
		if len(node.attempts[100]) != 1 {
			t.Fatal("the freed slot did not go to the tenant below its share")
		}
	}
}

func TestQueuedRequestsMeanOverload(t *testing.T) {
	// Guards: with reports of idle hosts the mode stayed underload while most requests were refused.
	node := startNode(t, testConfig(), testEndpoints(2)...)
	for _, endpoint := range node.balancer.endpoints {
		node.balancer.recordReport(endpoint, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.3})
	}
	for id := RequestID(1); id <= 40; id++ {
		node.request(id, 2, 0)
	}
	node.balancer.runControl()
	if !node.balancer.overloadDetected() {
		t.Error("requests are held, and it is not overload")
	}
	node = startNode(t, testConfig(), testEndpoints(2)...)
	for _, endpoint := range node.balancer.endpoints {
		node.balancer.recordReport(endpoint, &LoadReport{Outstanding: -1, Backlog: -1, Utilization: 0.97})
	}
	if !node.balancer.overloadDetected() {
		t.Error("reports of busy hosts are not overload")
	}
	node.now += 10 * node.balancer.controlPeriod
	node.balancer.now = node.now
	if node.balancer.overloadDetected() {
		t.Error("reports that froze long ago are still believed")
	}
}

func TestIdleSlotsAreLent(t *testing.T) {
	node := startNode(t, configWithQuotas(0.1, 0.9), testEndpoints(2)...)
	for id := RequestID(1); id <= 12; id++ {
		node.request(id, 0, 0)
	}
	if float64(node.balancer.tenants[0].inFlight.count) <= node.balancer.tenants[0].quota.slots {
		t.Errorf("%d in flight over %g slots: nothing lent", node.balancer.tenants[0].inFlight.count, node.balancer.tenants[0].quota.slots)
	}
}

func TestInFlightIsLimited(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(3)...)
	for id := RequestID(1); id <= 500; id++ {
		node.request(id, 0, 0)
	}
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.inFlight.count > initialLimit {
			t.Errorf("host %d has %d in flight", endpoint.ID, endpoint.inFlight.count)
		}
	}
}

func TestManyNodesShareAnEndpoint(t *testing.T) {
	// Guards: with at least one request a host and gateway, sixteen gateways overfilled every host.
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(40)...)
	for id := RequestID(1); id <= 200; id++ {
		node.request(id, 0, 0)
	}
	if n := node.balancer.tenants[0].inFlight.count; n > 5 {
		t.Errorf("%d in flight, want a tenth of the hosts at most", n)
	}
}

func TestRetryPastObjectiveIsRejectedFirst(t *testing.T) {
	// Guards: in an overload half the hosts' work went to clients' repeats whose aim had long gone by.
	node := startNode(t, testConfig(), testEndpoints(3)...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, Deadline: node.now + 300*ms}) // this is how long these clients wait
	node.balancer.overloadMode = true
	node.balancer.HandleRequest(node.now, Request{ID: 2, Deadline: node.now + 300*ms})
	node.balancer.HandleRequest(node.now, Request{ID: 3, Deadline: node.now + 200*ms}) // of 500 ms in all 300 are gone, and the aim was 200
	if len(node.attempts[2]) != 1 {
		t.Error("a first try was not placed")
	}
	wantFinal(t, node, 3, "decline")
	node.balancer.overloadMode = false
	node.balancer.HandleRequest(node.now, Request{ID: 4, Deadline: node.now + 200*ms})
	if len(node.attempts[4]) != 1 {
		t.Error("a repeat was not placed although there is room")
	}
	node.balancer.overloadMode = true // class 5 pays for late answers
	node.balancer.HandleRequest(node.now, Request{ID: 5, Class: 5, Deadline: node.now + 300*ms})
	node.balancer.HandleRequest(node.now, Request{ID: 6, Class: 5, Deadline: node.now + 200*ms})
	if len(node.attempts[6]) != 1 {
		t.Error("a repeat that is still worth something was not placed")
	}
}

func TestUsualWaitIsTheMostFrequent(t *testing.T) {
	// Guards: a client's last try waits longer than its first; taking the longest for usual made first tries
	// look like repeats, and a median drifted with the repeats of a jam.
	waits := &waitHistogram{}
	for i := range 60 {
		waits.observe(318*ms, 450*ms)
		if at, usual := waits.observe(318*ms, 450*ms); at != usual {
			t.Fatal("a first try is unusual")
		}
		for _, wait := range []Span{385 + Span(i), 140 + Span(i)} {
			if at, usual := waits.observe(wait*ms, 450*ms); i > 10 && at >= usual-1 && at <= usual+1 {
				t.Fatalf("a repeat that waits %d ms is usual", wait)
			}
		}
	}
}

func TestManyNodesRaiseALimitInSmallSteps(t *testing.T) {
	// Guards: sixteen gateways each took full steps up and jammed every host (incidents ifaf628, id09d36).
	cfg := testConfig()
	cfg.PeerCount = 60
	node := startNode(t, cfg, testEndpoints(2)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	endpoint.inFlight.mean = 1 // in use
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: 0})
	if rise := endpoint.limit - before; rise <= 0 || rise > 0.11*before {
		t.Errorf("limit rose by %g from %g in one step of one of sixty gateways", rise, before)
	}
}

func TestLimitFollowsLoadReports(t *testing.T) {
	// Guards: with few answers a host and gateway, how long each took said little; after a zone was lost some hosts were
	// at a tenth of what they can do and others jammed, and requests were refused.
	for _, c := range []struct {
		name            string
		report          LoadReport
		took            Span
		least, greatest float64
	}{
		{"idle, a long answer", LoadReport{-1, 0, 0.3}, 190 * ms, initialLimit + 0.1, 2 * initialLimit},
		{"full, a short answer", LoadReport{-1, 0, 1}, ms, 0, 0.97 * initialLimit},
		{"a queue", LoadReport{-1, 3, 0.95}, ms, 0, 0.97 * initialLimit},
		{"tells nothing, a long answer", LoadReport{-1, -1, -1}, 190 * ms, 0, 0.97 * initialLimit},
	} {
		node := startNode(t, testConfig(), testEndpoints(4)...)
		endpoint := node.balancer.endpoints[0]
		endpoint.inFlight.mean = initialLimit // in use
		for range 3 {
			node.balancer.recordReport(endpoint, &c.report)
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: c.took})
		}
		if endpoint.limit < c.least || endpoint.limit > c.greatest {
			t.Errorf("%s: limit %g after three answers, want %g to %g", c.name, endpoint.limit, c.least, c.greatest)
		}
	}
}

func TestLimitsStayPerEndpointWhenFleetShrinks(t *testing.T) {
	// Guards: as a zone went, each host was of half as many gateways again, and each held on to what it had learned for
	// itself: all together sent half as much again to hosts that were full.
	cfg := testConfig()
	cfg.PeerCount = 60
	list := testEndpoints(30)
	for i := range list {
		list[i].Weight = float64(1 + i%2)
	}
	balancer := startNode(t, cfg, list...).balancer
	sum := func() (sum float64) { // of all gateways, at an average host
		for _, endpoint := range balancer.subset {
			sum += balancer.effectiveLimit(endpoint) / balancer.relativeWeight(endpoint) * balancer.nodesPerEndpoint / float64(len(balancer.subset))
		}
		return sum
	}
	for _, endpoint := range balancer.endpoints {
		if want := initialLimit * endpoint.Weight / 1.5; math.Abs(endpoint.limit-want) > 1e-9 {
			t.Fatalf("host of weight %g starts at %g, want %g", endpoint.Weight, endpoint.limit, want)
		}
	}
	before, sharers := sum(), balancer.nodesPerEndpoint
	balancer.HandleEndpoints(balancer.now, ListFull, list[:20])
	if got := sum(); balancer.nodesPerEndpoint < 1.4*sharers || math.Abs(got-before) > 0.01*before {
		t.Errorf("%g gateways a host, then %g; all together %g at a host, then %g", sharers, balancer.nodesPerEndpoint, before, got)
	}
}

func TestDispatchFollowsPriorityPerLatency(t *testing.T) {
	// Guards: with two thirds of the fleet left each class was served alike, though a fifth of the work brings half of the
	// worth. A class of little worth goes on being served, too.
	cfg := testConfig()
	cfg.Classes[1] = cfg.Classes[0]
	cfg.Classes[1].PriorityWeight = 5
	node := startNode(t, cfg, testEndpoints(2)...)
	served := [2]int{}
	for id := RequestID(1); id <= 4000; id += 2 { // far more than two hosts take
		for class := range 2 {
			node.request(id+RequestID(class), class, 0)
		}
		node.advance(5 * ms)
		for old := max(id, 41) - 40; old < id+2; old++ {
			if len(node.attempts[old]) == 1 && node.finalAnswers[old] == "" {
				served[(old-1)%2]++
				node.complete(old, 0, OutcomeOK)
				break
			}
		}
	}
	if served[0] < 50 || served[1] < 3*served[0] {
		t.Errorf("%d served of worth 1, %d of worth 5; want some, and 3 times as many at least", served[0], served[1])
	}
}

func TestWarmingEndpointHasCapacityForItsCores(t *testing.T) {
	// Guards: limits shrank with a host's warmth. But a cold host has all its cores, only slower ones: with 36 of 60 hosts new,
	// half of the requests were refused while these reported a utilization of 0.2. Its budget is coldRoom's matter.
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{{ID: 9, Phase: PhaseReady, Weight: 1, StartedAt: node.now}})
	warming, warm := node.balancer.endpointsByID[9], node.balancer.endpointsByID[1]
	if part := node.balancer.effectiveLimit(warming) / node.balancer.effectiveLimit(warm); node.balancer.warmUpFraction(warming) > 0.11 || part < 0.25 || part > 0.5 {
		t.Errorf("a host at %.2f of its capacity may hold %.2f of what a warm one may", node.balancer.warmUpFraction(warming), part)
	}
}

func TestAffinityKeySelectsSameEndpointsAtEveryNode(t *testing.T) {
	// Guards: hosts spare a third to two thirds of the work for a key that they have lately met, and keys went anywhere.
	cfg := testConfig()
	cfg.KeyAffinity = true
	list := testEndpoints(6)
	first := map[uint64]EndpointID{}
	sent := map[EndpointID]float64{}
	const keys = 3000
	for i := range 2 { // two gateways, of different seeds
		node := startNodeWithSeed(t, uint64(i+1), cfg, list...)
		for _, endpoint := range node.balancer.endpoints {
			for j := range endpoint.slots {
				endpoint.slots[j] = float64(1 + endpoint.ID%2) // odd ones have twice the slots
			}
		}
		for key := uint64(1); key <= keys; key++ {
			candidates := node.balancer.selectCandidates(&openRequest{affinityKey: key, deadline: node.now + 900*ms, maxAttempts: 1}, false)
			if len(candidates) != 2 || candidates[0] == candidates[1] {
				t.Fatalf("key %d: %d drawn", key, len(candidates))
			}
			if id := candidates[0].ID; i == 0 {
				first[key] = id
				sent[id]++
			} else if first[key] != id {
				t.Fatalf("key %d meets host %d at one gateway and %d at the other", key, first[key], id)
			}
		}
	}
	for _, endpoint := range list {
		want := keys * float64(1+endpoint.ID%2) / 9
		if n := sent[endpoint.ID]; math.Abs(n-want) > want/5 {
			t.Errorf("host %d is met by %g keys, its slots are for %.0f", endpoint.ID, n, want)
		}
	}
	cfg.KeyAffinity = false
	node := startNode(t, cfg, list...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, AffinityKey: 7, Deadline: node.now + 900*ms})
	if node.balancer.requests[1].affinityKey != 0 {
		t.Error("a key counts where hosts do not spare work for it")
	}
}

func TestExtremeWeightsAreBounded(t *testing.T) {
	// Guards: a list with one weight of 1e300 would have left all other hosts no room at all, and a number below 0 no place.
	for _, weight := range []float64{1e300, 1.7e308, -5, 0} {
		list := testEndpoints(4)
		list[0].Weight, list[1].Weight = weight, weight
		cfg := testConfig()
		cfg.PeerIndex = -7
		node := startNode(t, cfg, list...)
		for _, endpoint := range node.balancer.endpoints {
			if endpoint.limit < initialLimit/4 || endpoint.limit > initialLimit*4 {
				t.Errorf("weight %g: host %d may hold %g", weight, endpoint.ID, endpoint.limit)
			}
		}
	}
}

func TestRejectingEndpointIsEjected(t *testing.T) {
	// Guards: a host that drains or is full turns requests away at once, and was sent the next at once: 300 a second from
	// gateways that had not heard of the drain (herd), each of them a connection or an attempt less for its request.
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range ejectionFailures {
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeRejected, Latency: ms})
	}
	if node.balancer.available(endpoint) {
		t.Fatal("still used")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(endpoint) {
		t.Error("never tried again")
	}
}

// ---- host health ----

func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	for range ejectionFailures {
		node.balancer.recordOutcome(node.balancer.endpoints[0], 0, AttemptResult{Outcome: OutcomeConnectFailed})
	}
	if node.balancer.available(node.balancer.endpoints[0]) {
		t.Fatal("still used")
	}
	node.advance(2 * node.balancer.controlPeriod)
	if !node.balancer.available(node.balancer.endpoints[0]) {
		t.Error("never tried again")
	}
	for _, endpoint := range node.balancer.endpoints {
		for range 10 {
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeConnectFailed})
		}
	}
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 1 {
		t.Error("with every host failing nothing is tried any more")
	}
}

func TestErrorRateEjectsEndpoint(t *testing.T) {
	// Guards: an error counted as an answer. A host that fails at once, and not every time, never failed three times
	// in a row, looked fast and idle, and drew requests to it; its short times made all others look congested.
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint, c := node.balancer.endpoints[0], node.balancer.classes[0]
	limit, serverError := endpoint.limit, AttemptResult{Outcome: OutcomeServerError, Latency: 1}
	for range 4 {
		node.balancer.recordOutcome(endpoint, 0, serverError)
		node.balancer.recordOutcome(endpoint, 0, serverError)
		endpoint.outlier.consecutiveFailures = 0 // as an answer in time would, which moves the limit besides
		endpoint.outlier.errorRate -= errorRateGain * endpoint.outlier.errorRate
	}
	if node.balancer.available(endpoint) {
		t.Error("still used, with two of three answers errors")
	}
	if endpoint.limit != limit || node.balancer.classes[0] != c {
		t.Errorf("errors taught a limit (%g, was %g) or latencies", endpoint.limit, limit)
	}
	first := endpoint.outlier.ejectedUntil - node.now
	node.advance(2 * first)
	if node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeReset}); endpoint.outlier.ejectedUntil-node.now < first {
		t.Error("back with an error, it is left alone no longer than the first time")
	}
	odd := node.balancer.endpoints[1]
	for i := range 200 {
		outcome := OutcomeOK
		if i%20 == 0 {
			outcome = OutcomeServerError
		}
		if node.balancer.recordOutcome(odd, 0, AttemptResult{Outcome: outcome, Latency: ms}); !node.balancer.available(odd) {
			t.Fatal("judged out by an odd error")
		}
	}
}

func TestErrorsCommonToAllEjectNone(t *testing.T) {
	// Guards: with connections to all hosts breaking now and then, healthy hosts were judged out in turn, and for want
	// of room a tenth of the requests was refused.
	node := startNode(t, testConfig(), testEndpoints(4)...)
	for i := range 50 {
		for _, endpoint := range node.balancer.endpoints {
			outcome := OutcomeOK
			if i%5 < 2 {
				outcome = OutcomeReset
			}
			if node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: outcome, Latency: ms}); i > 10 && !node.balancer.available(endpoint) {
				t.Fatalf("host %d is out with an error share of %.2f, where %.2f is usual", endpoint.ID, endpoint.outlier.errorRate, node.balancer.medianErrorRate)
			}
			endpoint.outlier.ejectedUntil = min(endpoint.outlier.ejectedUntil, node.now) // what happened before the first control does not count here
		}
		node.balancer.updateSubset()
	}
}

func TestNonIdempotentRequestsAvoidSuspects(t *testing.T) {
	// Guards: requests that must run once found out that a host fails, and each error lost one for good.
	node := startNode(t, testConfig(), testEndpoints(3)...)
	suspect := node.balancer.endpoints[0]
	node.balancer.recordOutcome(suspect, 0, AttemptResult{Outcome: OutcomeServerError})
	for id := RequestID(1); id < 200; id += 2 {
		node.request(id, 1, 0)
		node.request(id+1, 0, 0)
		node.complete(id, 0, OutcomeOK)
		node.complete(id+1, 0, OutcomeOK)
		if node.attempts[id][0] == suspect.ID && suspect.outlier.errorRate >= suspectErrorRate {
			t.Fatal("a request that must run once went to a host that had just failed")
		}
		suspect.outlier.errorRate = max(suspect.outlier.errorRate, 2*suspectErrorRate)
	}
	sent := 0
	for id, attempts := range node.attempts {
		if attempts[0] == suspect.ID && id%2 == 0 {
			sent++
		}
	}
	if sent == 0 {
		t.Error("nothing finds out whether the host is well again")
	}
	for _, endpoint := range node.balancer.endpoints {
		endpoint.outlier.errorRate = 2 * suspectErrorRate
	}
	if node.request(1000, 1, 0); len(node.attempts[1000]) != 1 {
		t.Error("with every host suspect nothing is tried any more")
	}
}

func TestLateAnswersKeepMinimumLimit(t *testing.T) {
	// Guards: work that takes long by chance drew limits below one request a host, and with half of the hosts draining
	// or cold a fifth of all requests was refused while no host had anything waiting.
	cfg := testConfig()
	cfg.PeerCount = 3
	node := startNode(t, cfg, testEndpoints(4)...)
	for range 500 {
		for _, endpoint := range node.balancer.endpoints {
			node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeOK, Latency: 500 * ms})
		}
	}
	for _, endpoint := range node.balancer.endpoints {
		if endpoint.limit < minLimit-0.01 || endpoint.limit > minLimit+0.01 {
			t.Errorf("limits of all gateways together: %g, want %g", endpoint.limit, minLimit)
		}
	}
}

func TestTimeoutsAloneDoNotEject(t *testing.T) {
	// Guards: late attempts at hosts that answered others all the while judged them out, and the rest jammed.
	node := startNode(t, testConfig(), testEndpoints(4)...)
	endpoint := node.balancer.endpoints[0]
	for range 10 {
		endpoint.lastAnswerAt = node.now
		node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeTimeout, Latency: 500 * ms})
	}
	if !node.balancer.available(endpoint) {
		t.Error("judged out while answering")
	}
}

func TestCanceledAttemptCountsAsLate(t *testing.T) {
	// Guards: when requests end at their aim, limits that learn from survivors alone never fall.
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 199 * ms})
	if endpoint.limit >= before {
		t.Errorf("limit %g after an attempt cut at the aim, was %g", endpoint.limit, before)
	}
}

func TestEarlyCancellationDoesNotLowerLimit(t *testing.T) {
	// Guards: requests released shortly before their aim were cut after little time, and counted as late they
	// drew the limits of idle hosts to nothing (incident ifec65b).
	node := startNode(t, testConfig(), testEndpoints(1)...)
	endpoint := node.balancer.endpoints[0]
	before := endpoint.limit
	node.balancer.classes[0].latency.mean = 10 * ms
	node.balancer.recordOutcome(endpoint, 0, AttemptResult{Outcome: OutcomeCanceled, Latency: 30 * ms})
	if endpoint.limit != before {
		t.Errorf("limit %g after an attempt cut early, was %g", endpoint.limit, before)
	}
}

func TestSilentEndpointGetsNothingNew(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	node.balancer.endpoints[0].inFlight.count, node.balancer.endpoints[0].lastAnswerAt = 1, node.now
	node.balancer.runControl()
	for i := range node.balancer.classes {
		node.balancer.classes[i].latency.mean = 40 * ms
	}
	node.balancer.lastControlAt = node.now - node.balancer.controlPeriod
	node.balancer.runControl()
	node.advance(60 * ms) // one and a half means
	for id := RequestID(1); id <= 6; id++ {
		node.request(id, 0, 0)
		if len(node.attempts[id]) > 0 && node.attempts[id][0] == 1 {
			t.Fatal("a silent host got a request")
		}
	}
	if len(node.attempts) == 0 {
		t.Error("the other host got nothing either")
	}
}

// ---- logs, settings, sameness ----

func TestReplacedEndpointsLeaveNoState(t *testing.T) {
	// Guards: a long day replaces every host many times over. What the module keeps is what is there now, and its log
	// does not fall silent for good.
	node := startNode(t, testConfig(), testEndpoints(4)...)
	id := RequestID(0)
	for i := range 300 {
		removed, fresh := Endpoint{ID: node.balancer.endpoints[0].ID}, Endpoint{ID: EndpointID(1000 + i), Phase: PhaseReady, Weight: 1}
		node.balancer.HandleEndpoints(node.now, ListDelta, []Endpoint{removed, fresh})
		for range 8 {
			id++
			node.request(id, int(id%3), 0)
			node.complete(id, 0, OutcomeOK)
		}
		node.balancer.logf("line")
		node.advance(node.balancer.controlPeriod)
	}
	if len(node.balancer.endpoints) != 4 || len(node.balancer.endpointsByID) != 4 || len(node.balancer.requests) != 0 || len(node.balancer.subset) > 4 {
		t.Errorf("%d hosts, %d by id, %d in use, %d requests", len(node.balancer.endpoints), len(node.balancer.endpointsByID), len(node.balancer.subset), len(node.balancer.requests))
	}
	if node.logLines < 250 {
		t.Errorf("%d of 300 lines", node.logLines)
	}
}

func TestLogIsBounded(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	for range 500 {
		node.balancer.HandleEndpoints(node.now, ListFailed, nil)
		node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	}
	if node.logLines == 0 || node.logLines > maxLogBurst {
		t.Errorf("%d lines, want some and at most %d", node.logLines, maxLogBurst)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	if _, err := New(Config{}, 1, nil); err == nil {
		t.Error("no classes: no error")
	}
	if _, err := New(Config{Classes: []Class{{LatencyObjective: 5}}}, 1, nil); err == nil {
		t.Error("no deadline: no error")
	}
}

func TestMinimalConfig(t *testing.T) {
	// No tenants, no cold rules, no limits, an aim past the deadline, a tenant not in the settings.
	cfg := Config{Classes: []Class{{LatencyObjective: 900 * ms, Deadline: 100 * ms}}}
	node := startNode(t, cfg, testEndpoints(1)...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, Tenant: 9, Deadline: node.now + 100*ms})
	if len(node.attempts[1]) != 1 {
		t.Error("not placed")
	}
	node.advance(100 * ms)
	if node.finalAnswers[1] == "" {
		t.Error("not answered")
	}
}

// playScript plays a fixed day and returns the actions.
func playScript(t *testing.T, others ...*fakeNode) []string {
	node := startNode(t, configWithQuotas(0.6, 0.4), testEndpoints(5)...)
	all := append(others, node)
	for i := range 3000 {
		for _, x := range all {
			id := RequestID(i + 1)
			x.request(id, i%5, i%2)
			if j := RequestID(i - 10); i > 10 && len(x.attempts[j]) > 0 && x.finalAnswers[j] == "" {
				x.complete(j, len(x.attempts[j])-1, []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeRejected, OutcomeServerError, OutcomeOK, OutcomeReset}[i%7])
			}
			x.advance(3 * ms)
		}
	}
	return node.log
}

func TestSameEventsGiveSameCommands(t *testing.T) {
	alone := playScript(t)
	among := playScript(t, startNode(t, testConfig(), testEndpoints(3)...), startNode(t, configWithQuotas(0.2, 0.8), testEndpoints(7)...))
	if len(alone) < 2500 || strings.Join(alone, "\n") != strings.Join(among, "\n") {
		t.Errorf("%d actions alone, %d among others, or not the same", len(alone), len(among))
	}
}

func TestOpenRequestsKeepRulesAcrossReconfigure(t *testing.T) {
	// Guards: after new settings, an open request that may have run goes out again as its class's new rules allow, or its
	// attempts are counted by the new number.
	cfg := testConfig()
	node := startNode(t, cfg, testEndpoints(6)...)
	node.request(1, 1, 0) // once
	node.request(2, 0, 0) // repeatable
	next := testConfig()
	next.MaxAttempts = 1
	next.Classes = append(next.Classes, Class{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: Idempotent})
	learned := node.balancer.classes[0].latency.mean
	if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5, 1}, []int{0}); err != nil {
		t.Fatal(err)
	}
	node.complete(1, 0, OutcomeReset)
	wantFinal(t, node, 1, "fail")
	node.complete(2, 0, OutcomeReset)
	node.advance(ms)
	if len(node.attempts[2]) != 2 {
		t.Errorf("%d attempts by the rules it came under, want a second", len(node.attempts[2]))
	}
	node.request(3, 6, 0) // what was once may be repeated now, but only 1 attempt is left
	node.complete(3, 0, OutcomeReset)
	wantFinal(t, node, 3, "decline")
	if node.balancer.classes[0].latency.mean != learned {
		t.Errorf("the mean latency of a class that stayed went from %v to %v", learned, node.balancer.classes[0].latency.mean)
	}
	next.Classes[0].Deadline = 0
	if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5, 6}, []int{0}); err == nil || node.balancer.config.Classes[0].Deadline == 0 {
		t.Errorf("unsound settings: %v, deadline %d", err, node.balancer.config.Classes[0].Deadline)
	}
}

func TestQueuedRequestsSurviveTenantChanges(t *testing.T) {
	// Guards: a tenant that comes finds no room for its counts at the hosts known, one that goes takes those along whose
	// requests are held.
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaFraction: 0.5}, {QuotaFraction: 0.5}}
	node := startNode(t, cfg, testEndpoints(2)...)
	for id := RequestID(1); id <= 60; id++ {
		node.request(id, 0, int(id)%2)
	}
	queued := len(node.balancer.tenants[1].queue)
	if queued == 0 {
		t.Fatal("nothing is held")
	}
	cfg.Tenants = []Tenant{{QuotaFraction: 0.5}, {}, {QuotaFraction: 0.5}}
	if err := node.balancer.Reconfigure(node.now, cfg, []int{0, 1, 2, 3, 4, 5}, []int{0, 1, -1}); err != nil {
		t.Fatal(err)
	}
	for id := RequestID(61); id <= 70; id++ {
		node.request(id, 0, 2)
	}
	node.advance(2000 * ms)
	for id := RequestID(1); id <= 70; id++ {
		if node.finalAnswers[id] == "" && len(node.attempts[id]) == 0 {
			t.Errorf("request %d, held as the tenants changed, has no answer and no attempt", id)
		}
	}
}

func TestLearnedStateMovesToNextProcess(t *testing.T) {
	// Guards: a process that takes the place of another begins with nothing learned, or both spend the whole budget of a
	// cold host; and what makes no sense spoils nothing.
	cfg := testConfig()
	list := testEndpoints(4)
	list[3].StartedAt = 1e9 - 1000*ms
	node := startNode(t, cfg, list...)
	for id := RequestID(1); id < 200; id++ {
		node.request(id, 0, 0)
		node.complete(id, 0, OutcomeOK)
		node.advance(5 * ms)
	}
	node.balancer.endpointsByID[1].outlier.errorRate, node.balancer.endpointsByID[1].limit = 0.3, 17
	before := node.balancer.endpointsByID[4].slowStart.count
	learned := node.balancer.ExportState(node.now)
	if now := node.balancer.endpointsByID[4].slowStart.count; now != before/2 || learned.Endpoints[4].Tokens != before/2 {
		t.Errorf("of %v tokens one has %v and the other %v", before, now, learned.Endpoints[4].Tokens)
	}
	next := startNodeWithSeed(t, 8, cfg, list...)
	next.balancer.ImportState(next.now, learned)
	if endpoint := next.balancer.endpointsByID[1]; endpoint.outlier.errorRate != 0.3 || endpoint.limit != 17 || next.balancer.classes[0].latency.mean != node.balancer.classes[0].latency.mean || next.balancer.answerRate != node.balancer.answerRate {
		t.Errorf("bad %v, limit %v, mean %v, rate %v", endpoint.outlier.errorRate, endpoint.limit, next.balancer.classes[0].latency.mean, next.balancer.answerRate)
	}
	alone := startNodeWithSeed(t, 9, cfg, list...)
	alone.balancer.ImportState(alone.now, learned)
	next.balancer.SetProcessCount(2)
	alone.advance(500 * ms)
	next.now = alone.now
	for _, node := range []*fakeNode{alone, next} {
		node.balancer.now = node.now
		node.balancer.hasSlowStartToken(node.balancer.endpointsByID[4])
	}
	if a, b := alone.balancer.endpointsByID[4].slowStart.count-before/2, next.balancer.endpointsByID[4].slowStart.count-before/2; a <= 0 || math.Abs(b/a-0.5) > 0.01 {
		t.Errorf("one process has earned %v, one of two %v", a, b)
	}
	odd := learned
	odd.Endpoints = map[uint64]LearnedEndpoint{1: {Limit: math.NaN(), ErrorShare: 7}, 2: {Limit: -1}, 9: {Limit: 5}}
	odd.Classes, odd.AnswerRate = []LearnedClass{{0, 0}}, math.Inf(1)
	third := startNodeWithSeed(t, 10, cfg, list...)
	limit := third.balancer.endpointsByID[1].limit
	third.balancer.ImportState(third.now, odd)
	if third.balancer.endpointsByID[1].limit != limit || third.balancer.endpointsByID[2].limit <= 0 || third.balancer.answerRate != 0 {
		t.Errorf("limits %v and %v, rate %v", third.balancer.endpointsByID[1].limit, third.balancer.endpointsByID[2].limit, third.balancer.answerRate)
	}
}

// A tenant that gets the number of one that has gone takes over nothing of it: neither its slots at hosts, nor what it used or asked for.
func TestNewTenantInheritsNothing(t *testing.T) {
	cfg := configWithQuotas(0.9, 0.1)
	node := startNode(t, cfg, testEndpoints(3)...)
	for id := RequestID(1); id <= 60; id++ {
		node.request(id, 0, 0)
		if len(node.attempts[id]) == 1 {
			node.advance(20 * ms)
			node.complete(id, 0, OutcomeOK)
		}
		node.advance(10 * ms)
	}
	node.advance(5000 * ms)
	if node.balancer.endpoints[0].slots[0] == 0 || node.balancer.tenants[0].quota.utilization[0] == 0 {
		t.Fatal("nothing was learned")
	}
	per := node.balancer.endpoints[0].inFlightByTenant[0]
	next := configWithQuotas(0.5, 0.5)
	if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 0}); err != nil {
		t.Fatal(err)
	}
	if u := node.balancer.tenants[0].quota.utilization; u != [2]float64{} {
		t.Errorf("the new tenant has used %v", u)
	}
	for _, endpoint := range node.balancer.endpoints {
		want := 0.0 // as for one of whom nothing is known
		if node.balancer.available(endpoint) {
			want = node.balancer.tenants[0].quota.slots * node.balancer.effectiveLimit(endpoint) / max(node.balancer.capacity, node.balancer.effectiveLimit(endpoint))
		}
		if math.Abs(endpoint.slots[0]-want) > 1e-9 || endpoint.inFlightByTenant[0] != 0 || endpoint.inFlightByTenant[1] != per {
			t.Errorf("host %d: slots %v, want %v for the new tenant; in flight %v", endpoint.ID, endpoint.slots, want, endpoint.inFlightByTenant)
		}
	}
	// An entry of the slot matrix moves only when well out of line: one that is nearly right for another tenant would stay.
	endpoint := node.balancer.endpoints[0]
	for range 2 { // the second time the parts are as they were
		endpoint.slots[0] *= 1.2
		if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 1}); err != nil {
			t.Fatal(err)
		}
	}
	if want := node.balancer.tenants[0].quota.slots * node.balancer.effectiveLimit(endpoint) / max(node.balancer.capacity, node.balancer.effectiveLimit(endpoint)); math.Abs(endpoint.slots[0]-want) > 1e-9 {
		t.Errorf("slots %v, want %v for the new tenant", endpoint.slots, want)
	}
}

// A client that leaves while its request is held: nothing is tried for it, whatever room there is later.
func TestCanceledQueuedRequestIsNeverSent(t *testing.T) {
	node := startNode(t, testConfig())
	node.request(1, 0, 0)
	if len(node.attempts[1]) != 0 || !node.balancer.anyQueued() {
		t.Fatal("not held")
	}
	node.balancer.HandleCancellation(node.now, 1)
	node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	node.advance(400 * ms)
	if len(node.attempts[1]) != 0 {
		t.Errorf("tried %d times", len(node.attempts[1]))
	}
}
