package balancer

// Tenant quotas: the equations of the paper (Katsalis et al.) and the slots that follow from them. A slot is
// the capacity for one request in flight. Slots are real numbers, as many nodes share an endpoint.

import "math"

const (
	minQuotaFraction  = 0.10 // of all slots is spread evenly over tenants: the paper's minimum
	correctionHorizon = 2.0  // T_e/t_p of Eq. 1: how strongly it corrects what a tenant missed
	minQueueFactor    = 0.5  // of Eq. 2
)

// tenantQuota is a tenant's part of the capacity.
type tenantQuota struct {
	fraction    float64 // by the configuration
	demand      float64 // mean fraction of the requests
	predicted   float64 // U_PR of the paper, as a fraction of all slots above the minimum
	slots       float64
	utilization [loadModeCount]float64 // U_j of the paper, by mode

	slotTime float64 // latency of the attempts that have ended since the last control
	arrivals float64 // requests since then
}

// withinFraction tells whether the tenant lately asked for no more than its quota.
func (q *tenantQuota) withinFraction() bool { return q.demand <= q.fraction }

// predictQuotas computes U_PR, the fraction of the slots that each tenant gets, for the next period.
func (b *Balancer) predictQuotas(elapsed float64) {
	arrivals, slotTime := b.periodTotals()
	b.meanInFlight += periodSmoothing * (slotTime/elapsed - b.meanInFlight)
	mode := b.mode()
	b.modeTime[mode] += elapsed
	blend := elapsed / b.modeTime[mode] // Eq. 3: the last period over all time in this mode, 1 at first
	sum := 0.0
	for i := range b.tenants {
		tenant := &b.tenants[i]
		quota := &tenant.quota
		if arrivals > 0 {
			quota.demand += periodSmoothing * (quota.arrivals/arrivals - quota.demand)
		}
		quota.updateUtilization(mode, elapsed, b.capacity, blend)
		quota.predict(mode, b.inFlightRatio(tenant))
		sum += quota.predicted
		quota.slotTime, quota.arrivals = 0, 0
	}
	b.predictedTotal = max(sum, 1)
}

// updateUtilization is Eq. 3: U_j blends what was used in the last period with the mean of this mode.
func (q *tenantQuota) updateUtilization(mode loadMode, elapsed, capacity, blend float64) {
	used := min(q.slotTime/elapsed/max(capacity, 1e-9), 1)
	q.utilization[mode] = blend*used + (1-blend)*q.utilization[mode]
}

// predict is Eq. 1 and 2. inFlightRatio is the tenant's part of the requests in flight, q_j over the sum of
// q.
func (q *tenantQuota) predict(mode loadMode, inFlightRatio float64) {
	utilization := q.utilization[mode]
	queued := max(minQueueFactor, inFlightRatio) * utilization // Eq. 2: U_qj
	target := q.fraction                                       // P^o, in overload: the quotas alone
	if mode == underload {
		target = (q.fraction + q.demand) / 2 // P^u: free capacity follows demand
	}
	predicted := correctionHorizon*target - (correctionHorizon-1)*(utilization+queued) // Eq. 1
	q.predicted = min(max(predicted, 0), 1)
}

func (b *Balancer) inFlightRatio(tenant *tenantState) float64 {
	return float64(tenant.inFlight.count) / float64(max(b.inFlight.count, 1))
}

// periodTotals sums requests and slot time of all tenants since the last control.
func (b *Balancer) periodTotals() (arrivals, slotTime float64) {
	for i := range b.tenants {
		arrivals += b.tenants[i].quota.arrivals
		slotTime += b.tenants[i].quota.slotTime
	}
	return arrivals, slotTime
}

// assignTenantSlots divides the capacity among the tenants.
func (b *Balancer) assignTenantSlots() {
	satisfied := b.satisfiedQuotas()
	minimum := minQuotaFraction / float64(len(b.tenants))
	for i := range b.tenants {
		quota := &b.tenants[i].quota
		quota.slots = b.capacity * (minimum + (1-minQuotaFraction)*quota.predicted/b.predictedTotal)
		if b.overloadMode && quota.withinFraction() { // it comes before those to whom capacity was lent
			quota.slots = max(quota.slots, b.capacity*quota.fraction/satisfied)
		}
		b.assignSlots(i, quota.slots)
	}
}

// satisfiedQuotas sums the fractions of those tenants that lately asked for no more than theirs.
func (b *Balancer) satisfiedQuotas() (sum float64) {
	for i := range b.tenants {
		if quota := &b.tenants[i].quota; quota.withinFraction() {
			sum += quota.fraction
		}
	}
	return sum
}

// assignSlots spreads a tenant's slots over the endpoints in proportion to their limits. As in the paper as
// little as possible changes: an entry changes only if it is far from its value.
func (b *Balancer) assignSlots(tenant int, slots float64) {
	for _, endpoint := range b.subset {
		limit := b.effectiveLimit(endpoint)
		wanted := slots * limit / max(b.capacity, limit)
		if !b.available(endpoint) {
			endpoint.slots[tenant] = 0
		} else if math.Abs(wanted-endpoint.slots[tenant]) > min(1, wanted/2) {
			endpoint.slots[tenant] = wanted
		}
	}
}
