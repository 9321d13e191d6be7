package balancer

import "testing"

// TestOverloadedEndpointsAnswerInTime offers twice as many requests as endpoints can serve: those that are sent
// are in time, and no endpoint is idle for that.
func TestOverloadedEndpointsAnswerInTime(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.sendRequests(1, 100, 5*ms) // warm-up of the estimates
	fleet.served, fleet.late = 0, 0
	fleet.sendRequests(1001, 400, 5*ms)
	if possible := 2000 / 40 * 4; fleet.served < possible*9/10 || fleet.late > possible/20 {
		t.Errorf("%d in time and %d late of %d that were possible", fleet.served, fleet.late, possible)
	}
}

// TestSlownessDecays has all endpoints become so slow that nothing is in time, and recover: requests find
// that out, and few are spent on it.
func TestSlownessDecays(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
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

// TestCostHintsCountByTheirAccuracy has a request whose hint says that it can not be in time: it is
// rejected as it comes if hints have turned out to be accurate. If they say nothing of the work, they
// decide nothing.
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
			if hintSlope := fleet.balancer.classes[0].hints.slope(); c.exact != (hintSlope > 0.7) || !c.exact != (hintSlope < 0.3) {
				t.Errorf("slope of hints is %.2f", hintSlope)
			}
		})
	}
}

// TestCoresAreLearnedFromReports has an endpoint of many cores, which are seen by what it works on at once.
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
		t.Errorf("%v cores without a reported backlog", c)
	}
}

// TestUploadTimeIsNotCountedAsWork has an answer whose latency was its client's, as the body was still
// coming in: it says nothing of work.
func TestUploadTimeIsNotCountedAsWork(t *testing.T) {
	fleet := startSingleCoreFleet(t, singleClassConfig())
	fleet.sendRequests(1, 50, 20*ms)
	for range 100 {
		fleet.step() // all are done
	}
	fleet.request(1000, 0, 0)
	fleet.step()
	before := fleet.balancer.classes[0].work.mean
	fleet.balancer.HandleAttemptResult(fleet.now, AttemptResult{
		ID: 1000, Endpoint: fleet.attempts[1000][0], Outcome: OutcomeOK, RequestDone: true,
	})
	if got := fleet.balancer.classes[0].work.mean; got != before || before < 30*ms || before > 50*ms {
		t.Errorf("work %.0f, before %.0f, actually %d", got, before, 40*ms)
	}
}
