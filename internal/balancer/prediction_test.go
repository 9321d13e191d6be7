package balancer

import "testing"

// TestOverloadedEndpointsAnswerInTime guards against late answers, and against idle endpoints, in an
// overload. It sends twice as many requests as the endpoints can serve: those that reach an endpoint must be
// answered in time, and the endpoints must be nearly fully used.
func TestOverloadedEndpointsAnswerInTime(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.sendRequests(1, 100, 5*ms) // lets the estimates settle
	fleet.served, fleet.late = 0, 0
	fleet.sendRequests(1001, 400, 5*ms)
	if possible := 2000 / 40 * 4; fleet.served < possible*9/10 || fleet.late > possible/20 {
		t.Errorf("%d requests answered in time and %d late, of %d that the endpoints can serve",
			fleet.served, fleet.late, possible)
	}
}

// TestSlownessDecays guards against endpoints that get no requests for ever after they were slow. All
// endpoints become so slow that no answer is in time, and then recover: a few requests must find this out,
// and only a few may be spent on it.
func TestSlownessDecays(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.sendRequests(1, 100, 15*ms)
	fleet.serviceTime = func(RequestID) Span { return 500 * ms }
	fleet.sendRequests(1001, 300, 15*ms)
	before := len(fleet.sentAt)
	fleet.sendRequests(2001, 100, 15*ms)
	if n := len(fleet.sentAt) - before; n == 0 || n > 6 {
		t.Errorf("%d requests sent in 1.5 s although none can be answered in time, want 1 to 6", n)
	}
	fleet.serviceTime = func(RequestID) Span { return 40 * ms }
	fleet.sendRequests(3001, 100, 15*ms)
	fleet.served = 0
	fleet.sendRequests(4001, 100, 15*ms)
	if fleet.served < 90 {
		t.Errorf("%d of 100 requests served after the endpoints have recovered, want at least 90",
			fleet.served)
	}
}

// TestCostHintsCountByTheirAccuracy guards against cost hints that are ignored although they are accurate,
// and against useless hints that decide anything. A request whose hint shows that it can't be in time is
// rejected on arrival if hints have turned out to be accurate, and served if hints say nothing about the
// work.
func TestCostHintsCountByTheirAccuracy(t *testing.T) {
	for _, c := range []struct {
		name  string
		exact bool
		want  string
	}{{"exact", true, "reject"}, {"noise", false, "served"}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := startSingleCoreFleet(t, singleClassConfig())
			hint := func(id RequestID) Span { return (10 + 60*(Span(id)%2)) * ms }
			fleet.serviceTime = func(RequestID) Span { return 40 * ms }
			if c.exact {
				fleet.serviceTime = hint
			}
			sendRequest := func(id RequestID, hint Span) {
				deadline := fleet.now + fleet.balancer.config.Classes[0].Deadline
				fleet.balancer.HandleRequest(fleet.now, Request{ID: id, Deadline: deadline, CostHint: hint})
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
			if got := fleet.balancer.classes[0].hints.slope(); c.exact != (got > 0.7) || !c.exact != (got < 0.3) {
				t.Errorf("the slope of the hints is %.2f, want more than 0.7 if they are exact and less than 0.3 if not",
					got)
			}
		})
	}
}

// TestCoresAreLearnedFromReports guards against endpoints with many cores that count as single-core
// endpoints. The number of cores is the number of requests that an endpoint works on at the same time.
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
		t.Errorf("%v cores without a reported backlog, want 0", c)
	}
}

// TestUploadTimeIsNotCountedAsWork guards against upload time that counts as work. A latency of 0 stands for
// an answer that came while the client was still sending the body, so it shows nothing of the work.
func TestUploadTimeIsNotCountedAsWork(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.sendRequests(1, 50, 20*ms)
	for range 100 {
		fleet.step() // until all requests are done
	}
	fleet.request(1000, 0, 0)
	fleet.step()
	before := fleet.balancer.classes[0].work.mean
	fleet.balancer.HandleAttemptResult(fleet.now, AttemptResult{
		ID: 1000, Endpoint: fleet.attempts[1000][0], Outcome: OutcomeOK, RequestDone: true,
	})
	if got := fleet.balancer.classes[0].work.mean; got != before || before < 30*ms || before > 50*ms {
		t.Errorf("work estimate %.0f, before %.0f, actual work %d", got, before, 40*ms)
	}
}
