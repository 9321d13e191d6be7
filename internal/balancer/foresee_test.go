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
func (s *singleCoreFleet) report(endpoint EndpointID) *LoadReport {
	n := float64(len(s.queues[endpoint]))
	return &LoadReport{Outstanding: n, Backlog: max(n-1, 0), Utilization: min(n, 1)}
}

// step lets a millisecond go by: probes are answered, hosts begin and end work.
func (s *singleCoreFleet) step() {
	for _, endpoint := range s.healthChecks {
		if !s.unresponsive {
			s.balancer.HandleHealthCheck(s.now, endpoint, OutcomeOK, ms, s.report(endpoint))
		}
	}
	s.healthChecks = s.healthChecks[:0]
	s.advance(ms)
	for id, attempts := range s.attempts {
		if _, known := s.sentAt[id]; !known {
			endpoint := attempts[0]
			begin := s.now
			if q := s.queues[endpoint]; len(q) > 0 {
				begin = q[len(q)-1].endsAt
			}
			s.sentAt[id] = s.now
			s.queues[endpoint] = append(s.queues[endpoint], queuedWork{id, begin + s.serviceTime(id)})
		}
	}
	for i := range EndpointID(20) {
		for endpoint := i + 1; len(s.queues[endpoint]) > 0 && s.queues[endpoint][0].endsAt <= s.now; {
			id := s.queues[endpoint][0].id
			s.queues[endpoint] = s.queues[endpoint][1:]
			done := s.finalAnswers[id] != ""
			if !done {
				s.served++
			} else {
				s.late++
			}
			s.balancer.HandleAttemptResult(s.now, AttemptResult{ID: id, Endpoint: endpoint, Outcome: OutcomeOK, Latency: s.now - s.sentAt[id], RequestDone: true, Load: s.report(endpoint)})
			if !done {
				s.finalAnswers[id] = "served"
			}
		}
	}
}

// sendRequests has a request come every so often for a time.
func (s *singleCoreFleet) sendRequests(first RequestID, n int, every Span) {
	for k := range n {
		s.request(first+RequestID(k), 0, 0)
		for range every / ms {
			s.step()
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
	fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
	fleet.sendRequests(1, 100, 5*ms) // they learn
	fleet.served, fleet.late = 0, 0
	fleet.sendRequests(1001, 400, 5*ms)
	if most := 2000 / 40 * 4; fleet.served < most*9/10 || fleet.late > most/20 {
		t.Errorf("%d in time and %d late of %d that were possible", fleet.served, fleet.late, most)
	}
}

// All hosts become so slow that nothing is in time, and recover: requests find that out, and few are spent on it.
func TestSlownessDecays(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
	fleet.sendRequests(1, 100, 15*ms)
	fleet.serviceTime = func(RequestID) Span { return 500 * ms }
	fleet.sendRequests(1001, 300, 15*ms)
	before := len(fleet.sentAt)
	fleet.sendRequests(2001, 100, 15*ms)
	if n := len(fleet.sentAt) - before; n == 0 || n > 6 {
		t.Errorf("%d requests sent in 1.5 s that could not be in time", n)
	}
	fleet.serviceTime = func(RequestID) Span { return 40 * ms }
	fleet.sendRequests(3001, 100, 15*ms)
	fleet.served = 0
	fleet.sendRequests(4001, 100, 15*ms)
	if fleet.served < 90 {
		t.Errorf("%d of 100 served after that", fleet.served)
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
			fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
			hint := func(id RequestID) Span { return (10 + 60*(Span(id)%2)) * ms }
			fleet.serviceTime = func(id RequestID) Span { return 40 * ms }
			if c.exact {
				fleet.serviceTime = hint
			}
			sendRequest := func(id RequestID, hint Span) {
				fleet.balancer.HandleRequest(fleet.now, Request{ID: id, Deadline: fleet.now + fleet.balancer.config.Classes[0].Deadline, CostHint: hint})
				for range 20 {
					fleet.step()
				}
			}
			for id := RequestID(1); id < 200; id++ {
				sendRequest(id, hint(id))
			}
			sendRequest(1000, 1000*ms)
			for range 100 {
				fleet.step()
			}
			wantFinal(t, fleet.fakeNode, 1000, c.want)
			if x := fleet.balancer.classes[0].hints.slope(); c.exact != (x > 0.7) || !c.exact != (x < 0.3) {
				t.Errorf("hints are believed by %.2f", x)
			}
		})
	}
}

// Probes that nobody answers keep no request waiting for long, and are taken up again once they are answered.
func TestUnansweredHealthChecksAreNotAwaited(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
	fleet.unresponsive = true
	fleet.sendRequests(1, 40, 20*ms)
	fleet.served = 0
	fleet.sendRequests(1001, 50, 20*ms)
	if fleet.served < 48 {
		t.Errorf("%d of 50 served without an answer to any probe", fleet.served)
	}
	fleet.unresponsive = false
	fleet.sendRequests(2001, 50, 20*ms)
	if !fleet.balancer.checksHealth() {
		t.Error("probes are answered, and not used")
	}
}

// A probe that is answered without a word of what the host holds is of no use, and none waits for another.
func TestHealthChecksWithoutLoadAreNotUsed(t *testing.T) {
	for name, rep := range map[string]*LoadReport{"no report": nil, "other fields": {-1, 2, 0.5}} {
		fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
		fleet.unresponsive = true
		fleet.request(1, 0, 0)
		fleet.balancer.HandleHealthCheck(fleet.now, fleet.healthChecks[0], OutcomeOK, ms, rep)
		fleet.request(2, 0, 0)
		fleet.step()
		if fleet.balancer.checksHealth() || len(fleet.attempts[2]) != 1 {
			t.Errorf("%s: probing %v, attempts %v", name, fleet.balancer.checksHealth(), fleet.attempts[2])
		}
	}
}

// Where clients mark their repeats, those that are not marked are first tries, however long they wait; a marked one's aim runs
// from its first try, as far as its deadline tells.
func TestMarkedRetriesCountFromFirstAttempt(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ClientsMarkRetries = true
	node := startNode(t, cfg, testEndpoints(4)...)
	objectiveIn := func(id RequestID, left Span, repeat bool) Span {
		node.balancer.HandleRequest(node.now, Request{ID: id, Deadline: node.now + left, IsRetry: repeat})
		return node.balancer.requests[id].objectiveAt - node.now
	}
	for id := RequestID(1); id < 100; id++ { // most give a try 300 ms
		objectiveIn(id, 300*ms, false)
	}
	for id, c := range []struct {
		left   Span
		repeat bool
		want   Span
	}{{300 * ms, false, 200 * ms}, {490 * ms, false, 200 * ms}, // first tries
		{400 * ms, true, 150 * ms}, {300 * ms, true, 100 * ms}, // somewhere between now and 500 ms before its end
		{250 * ms, true, -50 * ms}, {100 * ms, true, -200 * ms}} { // ends with the whole request, which began 500 ms before
		if got := objectiveIn(RequestID(1000+id), c.left, c.repeat); math.Abs(float64(got-c.want)) > ms {
			t.Errorf("%d ms left, repeat %v: aim in %d µs, want %d", c.left/ms, c.repeat, got, c.want)
		}
	}
}

// A host of many cores is found to have them by what it works on at once.
func TestCoresAreLearnedFromReports(t *testing.T) {
	node := startNode(t, singleClassConfig(), testEndpoints(2)...)
	endpoint := node.balancer.endpointsByID[1]
	for _, report := range []LoadReport{{3, 0, 0.2}, {9, 1, 0.9}, {4, 0, 0.3}} {
		node.balancer.recordReport(endpoint, &report)
	}
	if endpoint.cores != 8 {
		t.Errorf("%v cores, want 8", endpoint.cores)
	}
	node.balancer.recordReport(node.balancer.endpointsByID[2], &LoadReport{5, -1, 0.5})
	if c := node.balancer.endpointsByID[2].cores; c != 0 {
		t.Errorf("%v cores where no queue is told", c)
	}
}

// Where repeats are marked, first tries tell how long requests are under way. That counts against their aims.
func TestNetworkDelayCountsAgainstObjective(t *testing.T) {
	for _, marked := range []bool{true, false} {
		cfg := singleClassConfig()
		cfg.ClientsMarkRetries = marked
		node := startNode(t, cfg) // no host: all is held
		for id := RequestID(1); id < 200; id++ {
			node.balancer.HandleRequest(node.now, Request{ID: id, Deadline: node.now + 490*ms})
			node.advance(ms)
		}
		objective := node.balancer.requests[199].objectiveAt - (node.now - ms)
		if want := map[bool]Span{true: 190 * ms, false: 200 * ms}[marked]; math.Abs(float64(objective-want)) > ms {
			t.Errorf("marked %v: aim in %d µs, want %d", marked, objective, want)
		}
	}
}

// Once answers have been late in the mean, fresh requests still go out: only their answers bring the mean down.
func TestLateMeanDoesNotRejectNewRequests(t *testing.T) {
	node := startNode(t, singleClassConfig(), testEndpoints(4)...)
	node.balancer.classes[0].latency.mean = 190 * ms // of an aim of 200
	node.request(1, 0, 0)
	node.advance(50 * ms)
	if len(node.attempts[1]) != 1 || node.finalAnswers[1] != "" {
		t.Errorf("%d attempts, final answer %q", len(node.attempts[1]), node.finalAnswers[1])
	}
}

// An end of the gateway's own comes shortly before the aim, however coarse its clock: a tick of half the time left would end
// requests that are about to be answered.
func TestCoarseTickDoesNotEndRequestsEarly(t *testing.T) {
	cfg := singleClassConfig()
	cfg.TickInterval = 5 * ms
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10*ms, 10*ms
	node := startNode(t, cfg, testEndpoints(4)...)
	node.request(1, 0, 0)
	node.advance(8 * ms)
	if len(node.attempts[1]) != 1 || node.finalAnswers[1] != "" {
		t.Errorf("after 8 of 10 ms: %d attempts, final answer %q", len(node.attempts[1]), node.finalAnswers[1])
	}
	node.advance(3 * ms)
	wantFinal(t, node, 1, "decline")
}

// As limits move, what all hosts may hold moves with them: with long aims the next period is far away.
func TestCapacityFollowsLimits(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 10000*ms, 20000*ms
	node := startNode(t, cfg, testEndpoints(4)...)
	for id := RequestID(1); id <= 200; id++ {
		node.request(id, 0, 0)
	}
	before, sum := node.balancer.capacity, 0.0
	for id := RequestID(1); id <= 20; id++ {
		node.complete(id, 0, OutcomeOK) // at once: limits rise
	}
	for _, endpoint := range node.balancer.subset {
		sum += node.balancer.effectiveLimit(endpoint)
	}
	if math.Abs(node.balancer.capacity-sum) > 1e-6 || sum <= before {
		t.Errorf("capacity %.2f, was %.2f, limits sum up to %.2f", node.balancer.capacity, before, sum)
	}
}

// An answer whose time was its client's, as its body was still coming in, says nothing of work.
func TestUploadTimeIsNotCountedAsWork(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig(), 4)
	fleet.sendRequests(1, 50, 20*ms)
	for range 100 {
		fleet.step() // all are done
	}
	fleet.request(1000, 0, 0)
	fleet.step()
	before := fleet.balancer.classes[0].work.mean
	fleet.balancer.HandleAttemptResult(fleet.now, AttemptResult{ID: 1000, Endpoint: fleet.attempts[1000][0], Outcome: OutcomeOK, RequestDone: true})
	if got := fleet.balancer.classes[0].work.mean; got != before || before < 30*ms || before > 50*ms {
		t.Errorf("work %.0f, before %.0f, truly %d", got, before, 40*ms)
	}
}
