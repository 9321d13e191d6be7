package balancer

import (
	"math"
	"testing"
)

// boxes are hosts of one core that tell what they hold, behind a gateway that may probe them.
type boxes struct {
	*gateway
	work   func(RequestID) Span // that a request takes, alone
	queue  map[EndpointID][]box // first in, first out
	late   int
	served int
	mute   bool // probes get no answer
	sent   map[RequestID]Time
}

type box struct {
	id  RequestID
	end Time
}

func startBoxes(t *testing.T, cfg Config, n int) *boxes {
	cfg.AllowHealthChecks, cfg.HealthCheckCost = true, 0.001
	return &boxes{gateway: start(t, cfg, hosts(n)...), queue: map[EndpointID][]box{}, sent: map[RequestID]Time{},
		work: func(RequestID) Span { return 40 * ms }}
}

// report is what a host tells.
func (b *boxes) report(h EndpointID) *LoadReport {
	n := float64(len(b.queue[h]))
	return &LoadReport{Outstanding: n, Backlog: max(n-1, 0), Utilization: min(n, 1)}
}

// pass lets a millisecond go by: probes are answered, hosts begin and end work.
func (b *boxes) pass() {
	for _, h := range b.probes {
		if !b.mute {
			b.b.HandleHealthCheck(b.now, h, OutcomeOK, ms, b.report(h))
		}
	}
	b.probes = b.probes[:0]
	b.run(ms)
	for id, tries := range b.tries {
		if _, known := b.sent[id]; !known {
			h := tries[0]
			begin := b.now
			if q := b.queue[h]; len(q) > 0 {
				begin = q[len(q)-1].end
			}
			b.sent[id] = b.now
			b.queue[h] = append(b.queue[h], box{id, begin + b.work(id)})
		}
	}
	for i := range EndpointID(20) {
		for h := i + 1; len(b.queue[h]) > 0 && b.queue[h][0].end <= b.now; {
			id := b.queue[h][0].id
			b.queue[h] = b.queue[h][1:]
			done := b.final[id] != ""
			if !done {
				b.served++
			} else {
				b.late++
			}
			b.b.HandleAttemptResult(b.now, AttemptResult{ID: id, Endpoint: h, Outcome: OutcomeOK, Latency: b.now - b.sent[id], RequestDone: true, Load: b.report(h)})
			if !done {
				b.final[id] = "served"
			}
		}
	}
}

// offer has a request come every so often for a time.
func (b *boxes) offer(first RequestID, n int, every Span) {
	for k := range n {
		b.request(first+RequestID(k), 0, 0)
		for range every / ms {
			b.pass()
		}
	}
}

func oneClass() Config {
	cfg := settings()
	cfg.Classes = cfg.Classes[:1] // 200 ms
	return cfg
}

// Twice as many requests as hosts can serve: those that are sent are in time, and no host stands idle for that.
func TestHostsHoldWhatIsInTime(t *testing.T) {
	b := startBoxes(t, oneClass(), 4)
	b.offer(1, 100, 5*ms) // they learn
	b.served, b.late = 0, 0
	b.offer(1001, 400, 5*ms)
	if most := 2000 / 40 * 4; b.served < most*9/10 || b.late > most/20 {
		t.Errorf("%d in time and %d late of %d that were possible", b.served, b.late, most)
	}
}

// All hosts become so slow that nothing is in time, and recover: requests find that out, and few are spent on it.
func TestSlownessIsForgotten(t *testing.T) {
	b := startBoxes(t, oneClass(), 4)
	b.offer(1, 100, 15*ms)
	b.work = func(RequestID) Span { return 500 * ms }
	b.offer(1001, 300, 15*ms)
	before := len(b.sent)
	b.offer(2001, 100, 15*ms)
	if n := len(b.sent) - before; n == 0 || n > 6 {
		t.Errorf("%d requests sent in 1.5 s that could not be in time", n)
	}
	b.work = func(RequestID) Span { return 40 * ms }
	b.offer(3001, 100, 15*ms)
	b.served = 0
	b.offer(4001, 100, 15*ms)
	if b.served < 90 {
		t.Errorf("%d of 100 served after that", b.served)
	}
}

// A request whose hint says that it can't be in time is refused as it comes, where hints have turned out to be true. Where they
// say nothing of the work, they decide nothing.
func TestHintsCountByWhatTheyWereWorth(t *testing.T) {
	for _, c := range []struct {
		name  string
		exact bool
		want  string
	}{{"exact", true, "decline"}, {"noise", false, "served"}} {
		t.Run(c.name, func(t *testing.T) {
			b := startBoxes(t, oneClass(), 4)
			hint := func(id RequestID) Span { return (10 + 60*(Span(id)%2)) * ms }
			b.work = func(id RequestID) Span { return 40 * ms }
			if c.exact {
				b.work = hint
			}
			ask := func(id RequestID, hint Span) {
				b.b.HandleRequest(b.now, Request{ID: id, Deadline: b.now + b.b.cfg.Classes[0].Deadline, CostHint: hint})
				for range 20 {
					b.pass()
				}
			}
			for id := RequestID(1); id < 200; id++ {
				ask(id, hint(id))
			}
			ask(1000, 1000*ms)
			for range 100 {
				b.pass()
			}
			wantFinal(t, b.gateway, 1000, c.want)
			if x := b.b.classes[0].belief(); c.exact != (x > 0.7) || !c.exact != (x < 0.3) {
				t.Errorf("hints are believed by %.2f", x)
			}
		})
	}
}

// Probes that nobody answers keep no request waiting for long, and are taken up again once they are answered.
func TestUnansweredProbesAreNotWaitedFor(t *testing.T) {
	b := startBoxes(t, oneClass(), 4)
	b.mute = true
	b.offer(1, 40, 20*ms)
	b.served = 0
	b.offer(1001, 50, 20*ms)
	if b.served < 48 {
		t.Errorf("%d of 50 served without an answer to any probe", b.served)
	}
	b.mute = false
	b.offer(2001, 50, 20*ms)
	if !b.b.probing() {
		t.Error("probes are answered, and not used")
	}
}

// A probe that is answered without a word of what the host holds is of no use, and none waits for another.
func TestProbesThatTellNothing(t *testing.T) {
	for name, rep := range map[string]*LoadReport{"no report": nil, "other fields": {-1, 2, 0.5}} {
		b := startBoxes(t, oneClass(), 4)
		b.mute = true
		b.request(1, 0, 0)
		b.b.HandleHealthCheck(b.now, b.probes[0], OutcomeOK, ms, rep)
		b.request(2, 0, 0)
		b.pass()
		if b.b.probing() || len(b.tries[2]) != 1 {
			t.Errorf("%s: probing %v, attempts %v", name, b.b.probing(), b.tries[2])
		}
	}
}

// Where clients mark their repeats, those that are not marked are first tries, however long they wait; a marked one's aim runs
// from its first try, as far as its deadline tells.
func TestMarkedRepeats(t *testing.T) {
	cfg := oneClass()
	cfg.ClientsMarkRetries = true
	g := start(t, cfg, hosts(4)...)
	ask := func(id RequestID, left Span, repeat bool) Span {
		g.b.HandleRequest(g.now, Request{ID: id, Deadline: g.now + left, IsRetry: repeat})
		return g.b.reqs[id].aimAt - g.now
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
func TestCoresAreLearned(t *testing.T) {
	g := start(t, oneClass(), hosts(2)...)
	h := g.b.byID[1]
	for _, r := range []LoadReport{{3, 0, 0.2}, {9, 1, 0.9}, {4, 0, 0.3}} {
		g.b.observe(h, &r)
	}
	if h.cores != 8 {
		t.Errorf("%v cores, want 8", h.cores)
	}
	g.b.observe(g.b.byID[2], &LoadReport{5, -1, 0.5})
	if c := g.b.byID[2].cores; c != 0 {
		t.Errorf("%v cores where no queue is told", c)
	}
}

// Where repeats are marked, first tries tell how long requests are under way. That counts against their aims.
func TestWayCountsAgainstTheAim(t *testing.T) {
	for _, marked := range []bool{true, false} {
		cfg := oneClass()
		cfg.ClientsMarkRetries = marked
		g := start(t, cfg) // no host: all is held
		for id := RequestID(1); id < 200; id++ {
			g.b.HandleRequest(g.now, Request{ID: id, Deadline: g.now + 490*ms})
			g.run(ms)
		}
		aim := g.b.reqs[199].aimAt - (g.now - ms)
		if want := map[bool]Span{true: 190 * ms, false: 200 * ms}[marked]; math.Abs(float64(aim-want)) > ms {
			t.Errorf("marked %v: aim in %d µs, want %d", marked, aim, want)
		}
	}
}

// Once answers have been late in the mean, fresh requests still go out: only their answers bring the mean down.
func TestLateMeanKeepsNobodyOut(t *testing.T) {
	g := start(t, oneClass(), hosts(4)...)
	g.b.classes[0].mean = 190 * ms // of an aim of 200
	g.request(1, 0, 0)
	g.run(50 * ms)
	if len(g.tries[1]) != 1 || g.final[1] != "" {
		t.Errorf("%d attempts, final answer %q", len(g.tries[1]), g.final[1])
	}
}

// An end of the gateway's own comes shortly before the aim, however coarse its clock: a tick of half the time left would end
// requests that are about to be answered.
func TestCoarseTickSparesTheAim(t *testing.T) {
	cfg := oneClass()
	cfg.TickInterval = 5 * ms
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10*ms, 10*ms
	g := start(t, cfg, hosts(4)...)
	g.request(1, 0, 0)
	g.run(8 * ms)
	if len(g.tries[1]) != 1 || g.final[1] != "" {
		t.Errorf("after 8 of 10 ms: %d attempts, final answer %q", len(g.tries[1]), g.final[1])
	}
	g.run(3 * ms)
	wantFinal(t, g, 1, "decline")
}

// As limits move, what all hosts may hold moves with them: with long aims the next period is far away.
func TestCapacityFollowsLimits(t *testing.T) {
	cfg := oneClass()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10000*ms, 20000*ms
	g := start(t, cfg, hosts(4)...)
	for id := RequestID(1); id <= 200; id++ {
		g.request(id, 0, 0)
	}
	before, sum := g.b.capacity, 0.0
	for id := RequestID(1); id <= 20; id++ {
		g.settle(id, 0, OutcomeOK) // at once: limits rise
	}
	for _, h := range g.b.group {
		sum += g.b.limitOf(h)
	}
	if math.Abs(g.b.capacity-sum) > 1e-6 || sum <= before {
		t.Errorf("capacity %.2f, was %.2f, limits sum up to %.2f", g.b.capacity, before, sum)
	}
}

// An answer whose time was its client's, as its body was still coming in, says nothing of work.
func TestTimeOfClientsIsNoWork(t *testing.T) {
	b := startBoxes(t, oneClass(), 4)
	b.offer(1, 50, 20*ms)
	for range 100 {
		b.pass() // all are done
	}
	b.request(1000, 0, 0)
	b.pass()
	before := b.b.classes[0].work
	b.b.HandleAttemptResult(b.now, AttemptResult{ID: 1000, Endpoint: b.tries[1000][0], Outcome: OutcomeOK, RequestDone: true})
	if got := b.b.classes[0].work; got != before || before < 30*ms || before > 50*ms {
		t.Errorf("work %.0f, before %.0f, truly %d", got, before, 40*ms)
	}
}
