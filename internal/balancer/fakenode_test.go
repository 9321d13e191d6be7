package balancer

import (
	"fmt"
	"testing"
)

// fakeNode is a node without sockets: it records the commands of its balancer, and time moves only when a
// test advances it.
type fakeNode struct {
	test         *testing.T
	balancer     *Balancer
	now          Time
	log          []string // every command, in order
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
		f.test.Errorf("attempt for %d after its final answer", id)
	}
	f.attempts[id] = append(f.attempts[id], endpoint)
	f.record("attempt %d %d", id, endpoint)
}

func (f *fakeNode) CancelAttempt(id RequestID, attempt int) { f.record("cancel %d %d", id, attempt) }

func (f *fakeNode) recordFinalAnswer(id RequestID, answer string) {
	if f.finalAnswers[id] != "" {
		f.test.Errorf("second final answer for %d", id)
	}
	f.finalAnswers[id] = answer
	f.record("%s %d", answer, id)
}

func (f *fakeNode) Reject(id RequestID, _ Span) { f.recordFinalAnswer(id, "reject") }

func (f *fakeNode) Fail(id RequestID) { f.recordFinalAnswer(id, "fail") }

func (f *fakeNode) CheckHealth(endpoint EndpointID) {
	f.healthChecks = append(f.healthChecks, endpoint)
}

func (f *fakeNode) SetTimer(id TimerID, delay Span) {
	f.timers = append(f.timers, fakeTimer{f.now + max(delay, 1), id})
}

func (f *fakeNode) WatchEndpoints(bool) {
	if f.watchCalls++; f.watchCalls == 1 {
		f.firstWatchAt = f.now
	}
}

func (f *fakeNode) PollEndpoints() {}

func (f *fakeNode) Log(text string) { f.logLines++; f.record("log %s", text) }

// advance moves time on by a duration and fires the timers of that time in order.
func (f *fakeNode) advance(duration Span) {
	until := f.now + duration
	for {
		next := -1
		for i, timer := range f.timers {
			if timer.expiresAt <= until && (next < 0 || timer.expiresAt < f.timers[next].expiresAt) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		timer := f.timers[next]
		f.timers = append(f.timers[:next], f.timers[next+1:]...)
		f.now = max(f.now, timer.expiresAt)
		f.balancer.HandleTimer(f.now, timer.id)
	}
	f.now = until
}

func (f *fakeNode) request(id RequestID, class, tenant int) {
	deadline := f.now + f.balancer.config.Classes[class].Deadline
	f.balancer.HandleRequest(f.now, Request{ID: id, Class: class, Tenant: tenant, Deadline: deadline})
}

func (f *fakeNode) complete(id RequestID, attempt int, outcome Outcome) {
	f.balancer.HandleAttemptResult(f.now, AttemptResult{
		ID:          id,
		Attempt:     attempt,
		Endpoint:    f.attempts[id][attempt],
		Outcome:     outcome,
		Latency:     ms,
		RequestDone: outcome == OutcomeOK,
	})
	if outcome == OutcomeOK && f.finalAnswers[id] == "" {
		f.finalAnswers[id] = "served"
	}
}

const ms = 1000

// keyedClass is a class of requests with idempotency keys.
func keyedClass(scope KeyScope) Class {
	return Class{
		LatencyObjective:  400 * ms,
		Deadline:          900 * ms,
		Idempotency:       IdempotentByKey,
		KeyScope:          scope,
		IdempotencyWindow: 100 * ms,
	}
}

// testConfig has a class for each kind of idempotency.
func testConfig() Config {
	return Config{PeerCount: 1, MaxAttempts: 4, AllowCancel: true, TickInterval: ms, PollInterval: 10000 * ms,
		Classes: []Class{
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: Idempotent},
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: NonIdempotent, IdempotencyWindow: 5000 * ms},
			keyedClass(ScopeAll),
			keyedClass(ScopeZone),
			keyedClass(ScopeCell),
			{LatencyObjective: 200 * ms, Deadline: 500 * ms, Idempotency: NonIdempotent, LateValue: 0.3},
		},
		SlowStartInitial: 0.1, SlowStartDuration: 20000 * ms, OverloadFactor: 3, OverloadWindow: 2000 * ms}
}

func startNode(t *testing.T, cfg Config, endpoints ...Endpoint) *fakeNode {
	t.Helper()
	return startNodeWithSeed(t, 7, cfg, endpoints...)
}

func startNodeWithSeed(t *testing.T, seed uint64, cfg Config, endpoints ...Endpoint) *fakeNode {
	t.Helper()
	node := &fakeNode{
		test:         t,
		now:          1e9,
		attempts:     map[RequestID][]EndpointID{},
		finalAnswers: map[RequestID]string{},
		attemptSeen:  map[RequestID]bool{},
	}
	b, err := New(cfg, seed, node)
	if err != nil {
		t.Fatal(err)
	}
	node.balancer = b
	b.HandleEndpoints(node.now, ListCached, endpoints)
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

func wantFinal(t *testing.T, node *fakeNode, id RequestID, want string) {
	t.Helper()
	if node.finalAnswers[id] != want {
		t.Errorf("request %d: final answer %q, want %q", id, node.finalAnswers[id], want)
	}
}
