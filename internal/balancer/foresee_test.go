package balancer

import (
	"math"
	"testing"
)

// singleCoreFleet are hosts of one core that tell what they hold, behind a gateway that may probe them.
type singleCoreFleet struct {
	*fakeNode
	serviceTime  func(RequestID) Span        // that a request takes, alone
	queues       map[EndpointID][]queuedWork // first in, first out
	late         int
	served       int
	unresponsive bool // probes get no answer
	sentAt       map[RequestID]Time
}

type queuedWork struct {
	id     RequestID
	endsAt Time
}

func startSingleCoreFleet(t *testing.T, cfg Config, n int) *singleCoreFleet {
	cfg.AllowHealthChecks, cfg.HealthCheckCost = true, 0.001
	return &singleCoreFleet{fakeNode: startNode(t, cfg, testEndpoints(n)...), queues: map[EndpointID][]queuedWork{}, sentAt: map[RequestID]Time{},
		serviceTime: func(RequestID) Span { return 40 * ms }}
}

// report is what a host tells.
func (b *singleCoreFleet) report(h EndpointID) *LoadReport {
	n := float64(len(b.queues[h]))
	return &LoadReport{Outstanding: n, Backlog: max(n-1, 0), Utilization: min(n, 1)}
}

// step lets a millisecond go by: probes are answered, hosts begin and end work.
func (b *singleCoreFleet) step() {
	for _, h := range b.healthChecks {
		if !b.unresponsive {
			b.balancer.HandleHealthCheck(b.now, h, OutcomeOK, ms, b.report(h))
		}
	}
	b.healthChecks = b.healthChecks[:0]
	b.advance(ms)
	for id, tries := range b.attempts {
		if _, known := b.sentAt[id]; !known {
			h := tries[0]
			begin := b.now
			if q := b.queues[h]; len(q) > 0 {
				begin = q[len(q)-1].endsAt
			}
			b.sentAt[id] = b.now
			b.queues[h] = append(b.queues[h], queuedWork{id, begin + b.serviceTime(id)})
		}
	}
	for i := range EndpointID(20) {
		for h := i + 1; len(b.queues[h]) > 0 && b.queues[h][0].endsAt <= b.now; {
			id := b.queues[h][0].id
			b.queues[h] = b.queues[h][1:]
			done := b.finalAnswers[id] != ""
			if !done {
				b.served++
			} else {
				b.late++
			}
			b.balancer.HandleAttemptResult(b.now, AttemptResult{ID: id, Endpoint: h, Outcome: OutcomeOK, Latency: b.now - b.sentAt[id], RequestDone: true, Load: b.report(h)})
			if !done {
				b.finalAnswers[id] = "served"
			}
		}
	}
}

// sendRequests has a request come every so often for a time.
func (b *singleCoreFleet) sendRequests(first RequestID, n int, every Span) {
	for k := range n {
		b.request(first+RequestID(k), 0, 0)
		for range every / ms {
			b.step()
		}
	}
}

func singleClassConfig() Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1] // 200 ms
	return cfg
}

// Twice as many requests as hosts can serve: those that are sent are in time, and no host stands idle for that.
func TestEndpointsHoldWhatIsInTime(t *testing.T) {
	b := startSingleCoreFleet(t, singleClassConfig(), 4)
	b.sendRequests(1, 100, 5*ms) // they learn
	b.served, b.late = 0, 0
	b.sendRequests(1001, 400, 5*ms)
	if most := 2000 / 40 * 4; b.served < most*9/10 || b.late > most/20 {
		t.Errorf("%d in time and %d late of %d that were possible", b.served, b.late, most)
	}
}

// All hosts become so slow that nothing is in time, and recover: requests find that out, and few are spent on it.
func TestSlownessDecays(t *testing.T) {
	b := startSingleCoreFleet(t, singleClassConfig(), 4)
	b.sendRequests(1, 100, 15*ms)
	b.serviceTime = func(RequestID) Span { return 500 * ms }
	b.sendRequests(1001, 300, 15*ms)
	before := len(b.sentAt)
	b.sendRequests(2001, 100, 15*ms)
	if n := len(b.sentAt) - before; n == 0 || n > 6 {
		t.Errorf("%d requests sent in 1.5 s that could not be in time", n)
	}
	b.serviceTime = func(RequestID) Span { return 40 * ms }
	b.sendRequests(3001, 100, 15*ms)
	b.served = 0
	b.sendRequests(4001, 100, 15*ms)
	if b.served < 90 {
		t.Errorf("%d of 100 served after that", b.served)
	}
}

// A request whose hint says that it can't be in time is refused as it comes, where hints have turned out to be true. Where they
// say nothing of the work, they decide nothing.
func TestCostHintsCountByTheirAccuracy(t *testing.T) {
	for _, c := range []struct {
		name  string
		exact bool
		want  string
	}{{"exact", true, "decline"}, {"noise", false, "served"}} {
		t.Run(c.name, func(t *testing.T) {
			b := startSingleCoreFleet(t, singleClassConfig(), 4)
			hint := func(id RequestID) Span { return (10 + 60*(Span(id)%2)) * ms }
			b.serviceTime = func(id RequestID) Span { return 40 * ms }
			if c.exact {
				b.serviceTime = hint
			}
			ask := func(id RequestID, hint Span) {
				b.balancer.HandleRequest(b.now, Request{ID: id, Deadline: b.now + b.balancer.config.Classes[0].Deadline, CostHint: hint})
				for range 20 {
					b.step()
				}
			}
			for id := RequestID(1); id < 200; id++ {
				ask(id, hint(id))
			}
			ask(1000, 1000*ms)
			for range 100 {
				b.step()
			}
			wantFinal(t, b.fakeNode, 1000, c.want)
			if x := b.balancer.classes[0].hints.slope(); c.exact != (x > 0.7) || !c.exact != (x < 0.3) {
				t.Errorf("hints are believed by %.2f", x)
			}
		})
	}
}

// Probes that nobody answers keep no request waiting for long, and are taken up again once they are answered.
func TestUnansweredHealthChecksAreNotAwaited(t *testing.T) {
	b := startSingleCoreFleet(t, singleClassConfig(), 4)
	b.unresponsive = true
	b.sendRequests(1, 40, 20*ms)
	b.served = 0
	b.sendRequests(1001, 50, 20*ms)
	if b.served < 48 {
		t.Errorf("%d of 50 served without an answer to any probe", b.served)
	}
	b.unresponsive = false
	b.sendRequests(2001, 50, 20*ms)
	if !b.balancer.checksHealth() {
		t.Error("probes are answered, and not used")
	}
}

// A probe that is answered without a word of what the host holds is of no use, and none waits for another.
func TestHealthChecksWithoutLoadAreNotUsed(t *testing.T) {
	for name, rep := range map[string]*LoadReport{"no report": nil, "other fields": {-1, 2, 0.5}} {
		b := startSingleCoreFleet(t, singleClassConfig(), 4)
		b.unresponsive = true
		b.request(1, 0, 0)
		b.balancer.HandleHealthCheck(b.now, b.healthChecks[0], OutcomeOK, ms, rep)
		b.request(2, 0, 0)
		b.step()
		if b.balancer.checksHealth() || len(b.attempts[2]) != 1 {
			t.Errorf("%s: probing %v, attempts %v", name, b.balancer.checksHealth(), b.attempts[2])
		}
	}
}

// Where clients mark their repeats, those that are not marked are first tries, however long they wait; a marked one's aim runs
// from its first try, as far as its deadline tells.
func TestMarkedRetriesCountFromFirstAttempt(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ClientsMarkRetries = true
	g := startNode(t, cfg, testEndpoints(4)...)
	ask := func(id RequestID, left Span, repeat bool) Span {
		g.balancer.HandleRequest(g.now, Request{ID: id, Deadline: g.now + left, IsRetry: repeat})
		return g.balancer.requests[id].objectiveAt - g.now
	}
	for id := RequestID(1); id < 100; id++ { // most give a try 300 ms
		ask(id, 300*ms, false)
	}
	for id, c := range []struct {
		left   Span
		repeat bool
		want   Span
	}{{300 * ms, false, 200 * ms}, {490 * ms, false, 200 * ms}, // first tries
		{400 * ms, true, 150 * ms}, {300 * ms, true, 100 * ms}, // somewhere between now and 500 ms before its end
		{250 * ms, true, -50 * ms}, {100 * ms, true, -200 * ms}} { // ends with the whole request, which began 500 ms before
		if got := ask(RequestID(1000+id), c.left, c.repeat); math.Abs(float64(got-c.want)) > ms {
			t.Errorf("%d ms left, repeat %v: aim in %d µs, want %d", c.left/ms, c.repeat, got, c.want)
		}
	}
}

// A host of many cores is found to have them by what it works on at once.
func TestCoresAreLearnedFromReports(t *testing.T) {
	g := startNode(t, singleClassConfig(), testEndpoints(2)...)
	h := g.balancer.endpointsByID[1]
	for _, r := range []LoadReport{{3, 0, 0.2}, {9, 1, 0.9}, {4, 0, 0.3}} {
		g.balancer.recordReport(h, &r)
	}
	if h.cores != 8 {
		t.Errorf("%v cores, want 8", h.cores)
	}
	g.balancer.recordReport(g.balancer.endpointsByID[2], &LoadReport{5, -1, 0.5})
	if c := g.balancer.endpointsByID[2].cores; c != 0 {
		t.Errorf("%v cores where no queue is told", c)
	}
}

// Where repeats are marked, first tries tell how long requests are under way. That counts against their aims.
func TestNetworkDelayCountsAgainstObjective(t *testing.T) {
	for _, marked := range []bool{true, false} {
		cfg := singleClassConfig()
		cfg.ClientsMarkRetries = marked
		g := startNode(t, cfg) // no host: all is held
		for id := RequestID(1); id < 200; id++ {
			g.balancer.HandleRequest(g.now, Request{ID: id, Deadline: g.now + 490*ms})
			g.advance(ms)
		}
		aim := g.balancer.requests[199].objectiveAt - (g.now - ms)
		if want := map[bool]Span{true: 190 * ms, false: 200 * ms}[marked]; math.Abs(float64(aim-want)) > ms {
			t.Errorf("marked %v: aim in %d µs, want %d", marked, aim, want)
		}
	}
}

// Once answers have been late in the mean, fresh requests still go out: only their answers bring the mean down.
func TestLateMeanDoesNotRejectNewRequests(t *testing.T) {
	g := startNode(t, singleClassConfig(), testEndpoints(4)...)
	g.balancer.classes[0].latency.mean = 190 * ms // of an aim of 200
	g.request(1, 0, 0)
	g.advance(50 * ms)
	if len(g.attempts[1]) != 1 || g.finalAnswers[1] != "" {
		t.Errorf("%d attempts, final answer %q", len(g.attempts[1]), g.finalAnswers[1])
	}
}

// An end of the gateway's own comes shortly before the aim, however coarse its clock: a tick of half the time left would end
// requests that are about to be answered.
func TestCoarseTickDoesNotEndRequestsEarly(t *testing.T) {
	cfg := singleClassConfig()
	cfg.TickInterval = 5 * ms
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10*ms, 10*ms
	g := startNode(t, cfg, testEndpoints(4)...)
	g.request(1, 0, 0)
	g.advance(8 * ms)
	if len(g.attempts[1]) != 1 || g.finalAnswers[1] != "" {
		t.Errorf("after 8 of 10 ms: %d attempts, final answer %q", len(g.attempts[1]), g.finalAnswers[1])
	}
	g.advance(3 * ms)
	wantFinal(t, g, 1, "decline")
}

// As limits move, what all hosts may hold moves with them: with long aims the next period is far away.
func TestCapacityFollowsLimits(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10000*ms, 20000*ms
	g := startNode(t, cfg, testEndpoints(4)...)
	for id := RequestID(1); id <= 200; id++ {
		g.request(id, 0, 0)
	}
	before, sum := g.balancer.capacity, 0.0
	for id := RequestID(1); id <= 20; id++ {
		g.complete(id, 0, OutcomeOK) // at once: limits rise
	}
	for _, h := range g.balancer.subset {
		sum += g.balancer.effectiveLimit(h)
	}
	if math.Abs(g.balancer.capacity-sum) > 1e-6 || sum <= before {
		t.Errorf("capacity %.2f, was %.2f, limits sum up to %.2f", g.balancer.capacity, before, sum)
	}
}

// An answer whose time was its client's, as its body was still coming in, says nothing of work.
func TestUploadTimeIsNotCountedAsWork(t *testing.T) {
	b := startSingleCoreFleet(t, singleClassConfig(), 4)
	b.sendRequests(1, 50, 20*ms)
	for range 100 {
		b.step() // all are done
	}
	b.request(1000, 0, 0)
	b.step()
	before := b.balancer.classes[0].work.mean
	b.balancer.HandleAttemptResult(b.now, AttemptResult{ID: 1000, Endpoint: b.attempts[1000][0], Outcome: OutcomeOK, RequestDone: true})
	if got := b.balancer.classes[0].work.mean; got != before || before < 30*ms || before > 50*ms {
		t.Errorf("work %.0f, before %.0f, truly %d", got, before, 40*ms)
	}
}
