package balancer

import (
	"fmt"
	"testing"
)

// fakeNode is a node without sockets. It records the commands of its balancer, and its clock moves only when a test
// advances it.
type fakeNode struct {
	test         *testing.T
	balancer     *Balancer
	now          Time
	log          []string // every command, in order
	attempts     map[RequestID][]EndpointID
	finalAnswers map[RequestID]string // "reject", "fail", "served" or "canceled"
	timers       []fakeTimer
	logLines     int
	watchCalls   int
	healthChecks []EndpointID

	attemptSeen  map[RequestID]bool // requests whose attempt saturate has counted
	firstWatchAt Time
}

// fakeTimer is a timer that the balancer has set.
type fakeTimer struct {
	expiresAt Time
	id        TimerID
}

func (f *fakeNode) record(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

func (f *fakeNode) SendAttempt(id RequestID, endpoint EndpointID, _ Span) {
	if f.finalAnswers[id] != "" {
		f.test.Errorf("attempt for request %d after its final answer", id)
	}
	f.attempts[id] = append(f.attempts[id], endpoint)
	f.record("attempt %d %d", id, endpoint)
}

func (f *fakeNode) CancelAttempt(id RequestID, attempt int) { f.record("cancel %d %d", id, attempt) }

func (f *fakeNode) recordFinalAnswer(id RequestID, answer string) {
	if f.finalAnswers[id] != "" {
		f.test.Errorf("second final answer for request %d", id)
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

// advance moves the clock forward by a duration and fires the timers that expire meanwhile in order.
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

// request delivers a new request with the deadline of its class.
func (f *fakeNode) request(id RequestID, class, tenant int) {
	deadline := f.now + f.balancer.config.Classes[class].Deadline
	f.balancer.HandleRequest(f.now, Request{ID: id, Class: class, Tenant: tenant, Deadline: deadline})
}

// complete delivers the result of an attempt. An attempt with OutcomeOK is the final answer of its request.
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

// keyedClass returns a class of requests with idempotency keys of a scope.
func keyedClass(scope KeyScope) Class {
	return Class{
		LatencyObjective:  400 * ms,
		Deadline:          900 * ms,
		Idempotency:       IdempotentByKey,
		KeyScope:          scope,
		IdempotencyWindow: 100 * ms,
	}
}

// testConfig returns a configuration with a class for each idempotency and key scope, and one class in which late
// answers have a value.
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

// startNode starts a node whose endpoint list is cached, so that it sends requests without an answer of discovery.
func startNode(t *testing.T, cfg Config, endpoints ...Endpoint) *fakeNode {
	t.Helper()
	return startNodeWithSeed(t, 7, cfg, endpoints...)
}

// startNodeWithSeed is startNode with a seed for the random decisions.
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

// testEndpoints returns n ready endpoints, spread over two zones and three cells.
func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Phase: PhaseReady, Zone: i % 2, Cell: i % 3, Weight: 1})
	}
	return list
}

// wantFinal checks the final answer of a request; an empty want stands for none.
func wantFinal(t *testing.T, node *fakeNode, id RequestID, want string) {
	t.Helper()
	if node.finalAnswers[id] != want {
		t.Errorf("request %d: final answer %q, want %q", id, node.finalAnswers[id], want)
	}
}
