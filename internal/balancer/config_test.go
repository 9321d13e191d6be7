package balancer

import (
	"errors"
	"math"
	"testing"
)

func TestInvalidConfigIsRejected(t *testing.T) {
	if _, err := New(Config{}, 1, nil); !errors.Is(err, ErrNoClasses) {
		t.Errorf("no classes: error %v", err)
	}
	_, err := New(Config{Classes: []Class{{Deadline: 5}, {LatencyObjective: 5}}}, 1, nil)
	var missing *MissingDeadlineError
	if !errors.As(err, &missing) || missing.Class != 1 {
		t.Errorf("no deadline of class 1: error %v", err)
	}
}

// TestMinimalConfig guards against defaults that leave a balancer unable to work. The configuration has no tenants, no
// slow start, no limits and an objective after the deadline; the request names a tenant that is not configured.
func TestMinimalConfig(t *testing.T) {
	cfg := Config{Classes: []Class{{LatencyObjective: 900 * ms, Deadline: 100 * ms}}}
	node := startNode(t, cfg, testEndpoints(1)...)
	node.balancer.HandleRequest(node.now, Request{ID: 1, Tenant: 9, Deadline: node.now + 100*ms})
	if len(node.attempts[1]) != 1 {
		t.Error("the request was not sent")
	}
	node.advance(100 * ms)
	if node.finalAnswers[1] == "" {
		t.Error("no final answer at the deadline")
	}
}

// TestOpenRequestsKeepRulesAcrossReconfigure guards against an open request that may have been executed and is retried
// according to the new rules of its class, or that is limited by the new maximum of attempts.
func TestOpenRequestsKeepRulesAcrossReconfigure(t *testing.T) {
	cfg := testConfig()
	node := startNode(t, cfg, testEndpoints(6)...)
	node.request(1, 1, 0) // non-idempotent
	node.request(2, 0, 0) // idempotent
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
		t.Errorf("%d attempts under the previous rules, want a second one", len(node.attempts[2]))
	}
	node.request(3, 6, 0) // its class may now be retried, but the new maximum is one attempt
	node.complete(3, 0, OutcomeReset)
	wantFinal(t, node, 3, "reject")
	if node.balancer.classes[0].latency.mean != learned {
		t.Errorf("the mean latency of a class that continues changed from %v to %v", learned, node.balancer.classes[0].latency.mean)
	}
	next.Classes[0].Deadline = 0
	err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5, 6}, []int{0})
	if deadline := node.balancer.config.Classes[0].Deadline; err == nil || deadline == 0 {
		t.Errorf("invalid configuration: error %v, deadline %d; want an error and the previous deadline", err, deadline)
	}
}

// TestQueuedRequestsSurviveTenantChanges guards against a new tenant that has no counts at the known endpoints, and
// against a removed tenant whose queued requests are lost.
func TestQueuedRequestsSurviveTenantChanges(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaFraction: 0.5}, {QuotaFraction: 0.5}}
	node := startNode(t, cfg, testEndpoints(2)...)
	for id := RequestID(1); id <= 60; id++ {
		node.request(id, 0, int(id)%2)
	}
	queued := len(node.balancer.tenants[1].queue)
	if queued == 0 {
		t.Fatal("no request is queued")
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
			t.Errorf("request %d, queued when the tenants changed, has no final answer and no attempt", id)
		}
	}
}

// wantSlots returns the slots that the first tenant should have on an endpoint, in proportion to the limits.
func wantSlots(balancer *Balancer, endpoint *endpointState) float64 {
	limit := balancer.effectiveLimit(endpoint)
	return balancer.tenants[0].quota.slots * limit / max(balancer.capacity, limit)
}

// TestNewTenantInheritsNothing guards against a new tenant that inherits the slots, the utilization or the demand of a
// removed tenant whose index it has received.
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
		t.Fatal("no slots or utilization were learned before the change")
	}
	inFlightBefore := node.balancer.endpoints[0].inFlightByTenant[0]
	next := configWithQuotas(0.5, 0.5)
	if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 0}); err != nil {
		t.Fatal(err)
	}
	if used := node.balancer.tenants[0].quota.utilization; used != [2]float64{} {
		t.Errorf("the new tenant has inherited the utilization %v", used)
	}
	for _, endpoint := range node.balancer.endpoints {
		want := 0.0 // as for an endpoint that is not available
		if node.balancer.available(endpoint) {
			want = wantSlots(node.balancer, endpoint)
		}
		if math.Abs(endpoint.slots[0]-want) > 1e-9 || endpoint.inFlightByTenant[0] != 0 || endpoint.inFlightByTenant[1] != inFlightBefore {
			t.Errorf("endpoint %d: slots %v, want %v for the new tenant; in flight by tenant %v",
				endpoint.ID, endpoint.slots, want, endpoint.inFlightByTenant)
		}
	}
	// assignSlots does not change an entry of the slot matrix that is close to its new value, so an inherited entry
	// would stay.
	endpoint := node.balancer.endpoints[0]
	for range 2 { // the second time the quotas are the same
		endpoint.slots[0] *= 1.2
		if err := node.balancer.Reconfigure(node.now, next, []int{0, 1, 2, 3, 4, 5}, []int{-1, 1}); err != nil {
			t.Fatal(err)
		}
	}
	if want := wantSlots(node.balancer, endpoint); math.Abs(endpoint.slots[0]-want) > 1e-9 {
		t.Errorf("slots %v, want %v for the new tenant", endpoint.slots, want)
	}
}
