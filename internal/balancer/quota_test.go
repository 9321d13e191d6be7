package balancer

import "testing"

// configWithQuotas returns testConfig with a tenant for each quota.
func configWithQuotas(fractions ...float64) Config {
	cfg := testConfig()
	for _, fraction := range fractions {
		cfg.Tenants = append(cfg.Tenants, Tenant{QuotaFraction: fraction})
	}
	return cfg
}

// TestQuotaEquations compares the predicted quotas and the utilization with results of the paper's equations.
func TestQuotaEquations(t *testing.T) {
	node := startNode(t, configWithQuotas(0.5, 0.5), testEndpoints(2)...)
	balancer := node.balancer
	balancer.capacity, balancer.overloadMode = 10, true
	period := float64(balancer.controlPeriod)
	balancer.tenants[0].quota.slotTime, balancer.tenants[1].quota.slotTime = 4*period, 1*period // U = 0.4 and 0.1
	balancer.modeTime = [2]float64{}
	balancer.endPeriod(period, 2)
	// Eq. 2 with nothing in flight: U_q = U/2. Eq. 1: 2P - 1.5U.
	for i, want := range []float64{0.4, 0.85} {
		if got := balancer.tenants[i].quota.predicted; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("tenant %d: U_PR %g, want %g", i, got, want)
		}
	}
	// Eq. 3: a second period of equal length weighs one half.
	balancer.overloadMode = true
	balancer.endPeriod(period, 2)
	if got := balancer.tenants[0].quota.utilization[1]; got != 0.2 {
		t.Errorf("U after an idle period %g, want 0.2", got)
	}
	balancer.overloadMode = false
	balancer.tenants[0].quota.slotTime = 3 * period
	balancer.endPeriod(period, 2)
	if balancer.tenants[0].quota.utilization[0] != 0.3 || balancer.tenants[0].quota.utilization[1] != 0.2 {
		t.Errorf("U by mode %v, want 0.3 and 0.2", balancer.tenants[0].quota.utilization)
	}
}

func TestPredictedQuotaIsClamped(t *testing.T) {
	node := startNode(t, configWithQuotas(0.9, 0.1), testEndpoints(2)...)
	node.balancer.capacity = 10
	node.balancer.tenants[1].quota.slotTime = 10 * float64(node.balancer.controlPeriod)
	node.balancer.endPeriod(float64(node.balancer.controlPeriod), 2)
	if prediction := node.balancer.tenants[1].quota.predicted; prediction != 0 {
		t.Errorf("a tenant far above its quota has the predicted quota %g, want 0", prediction)
	}
	if prediction := node.balancer.tenants[0].quota.predicted; prediction < 0 || prediction > 1 {
		t.Errorf("predicted quota %g, want 0 to 1", prediction)
	}
}

// TestSlotsFollowLimitsWithLeastChange guards against slots that do not follow the limits of the endpoints, and against
// slots that change with every small change of a limit.
func TestSlotsFollowLimitsWithLeastChange(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(4)...)
	balancer := node.balancer
	balancer.endpoints[0].limit = 18
	balancer.capacity = 36
	slotsByEndpoint := func() (slots [4]float64) {
		for i, endpoint := range balancer.endpoints {
			slots[i] = endpoint.slots[0]
		}
		return slots
	}
	for range 9 {
		balancer.assignSlots(0, 24)
	}
	for i, want := range []float64{12, 4, 4, 4} {
		if got := slotsByEndpoint()[i]; got < want-1 || got > want+1 {
			t.Errorf("slots %v, want them in proportion to the limits", slotsByEndpoint())
		}
	}
	before := slotsByEndpoint()
	balancer.endpoints[1].limit = 6.5 // changes the slots by less than one: they stay
	balancer.assignSlots(0, 24)
	if slotsByEndpoint() != before {
		t.Errorf("slots changed from %v to %v", before, slotsByEndpoint())
	}
	balancer.endpoints[1].limit = 9 // changes them by more: only this endpoint's entry changes
	balancer.assignSlots(0, 24)
	for i, count := range slotsByEndpoint() {
		if (count != before[i]) != (i == 1) {
			t.Errorf("slots changed from %v to %v", before, slotsByEndpoint())
		}
	}
}

// TestTenantOverQuotaWaitsFirst guards against a freed slot that goes to the tenant that already uses more than its
// quota.
func TestTenantOverQuotaWaitsFirst(t *testing.T) {
	for seed := range 30 {
		node := startNode(t, configWithQuotas(0.5, 0.5), testEndpoints(2)...)
		node.balancer.random.state = uint64(seed)
		for id := RequestID(1); id <= 40; id++ { // tenant 0 uses every slot and has requests queued
			node.request(id, 0, 0)
		}
		first := RequestID(1)
		for len(node.attempts[first]) == 0 {
			first++
		}
		node.request(100, 0, 1)
		if len(node.attempts[100]) != 0 {
			t.Fatal("a request of the second tenant was sent although no slot was free")
		}
		node.complete(first, 0, OutcomeOK)
		if len(node.attempts[100]) != 1 {
			t.Fatal("the freed slot did not go to the tenant below its quota")
		}
	}
}

// TestIdleSlotsAreLent guards against a tenant that is limited to its own slots while those of others are idle.
func TestIdleSlotsAreLent(t *testing.T) {
	node := startNode(t, configWithQuotas(0.1, 0.9), testEndpoints(2)...)
	for id := RequestID(1); id <= 12; id++ {
		node.request(id, 0, 0)
	}
	if float64(node.balancer.tenants[0].inFlight.count) <= node.balancer.tenants[0].quota.slots {
		t.Errorf("%d requests in flight, %g own slots: no slots were lent", node.balancer.tenants[0].inFlight.count, node.balancer.tenants[0].quota.slots)
	}
}

// TestTenantsWithinQuotaDivideSlotsInOverload guards against tenants within their quota that wait because the tenant
// above its quota always takes the free capacity first. This happened when a tenant had a fraction of a slot per node.
func TestTenantsWithinQuotaDivideSlotsInOverload(t *testing.T) {
	balancer := startNode(t, configWithQuotas(0.5, 0.3, 0.2), testEndpoints(2)...).balancer
	for _, overloaded := range []bool{false, true} {
		balancer.overloadMode, balancer.lastControlAt = overloaded, balancer.now
		for i, demand := range []float64{0.9, 0.06, 0.04} {
			balancer.tenants[i].quota.demand, balancer.tenants[i].quota.predicted = demand, 0 // Eq. 1 predicts 0, as each had its quota
		}
		balancer.runControl()
		want := []float64{balancer.capacity * minQuotaFraction / 3, balancer.capacity * 0.6, balancer.capacity * 0.4}
		for i := range want {
			if !overloaded {
				want[i] = want[0]
			}
			if got := balancer.tenants[i].quota.slots; got < want[i]-1e-9 || got > want[i]+1e-9 {
				t.Errorf("overload %v: tenant %d has %g of %g slots, want %g", overloaded, i, got, balancer.capacity, want[i])
			}
		}
	}
}
