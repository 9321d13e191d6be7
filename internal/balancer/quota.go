package balancer

// Tenant quotas: the equations of the paper (Katsalis et al.) and the slots that are derived from them. A
// slot is the capacity for one request in flight. Numbers of slots are real numbers, as many nodes share an
// endpoint.

import "math"

const (
	minQuotaFraction  = 0.10 // fraction of the slots that all tenants share evenly: the paper's minimum
	correctionHorizon = 2.0  // T_e/t_p of Eq. 1: how strongly deviations from the target are corrected
	minQueueFactor    = 0.5  // lower bound of the in-flight ratio in Eq. 2
)

// tenantQuota is the state of a tenant's quota, its part of the capacity.
type tenantQuota struct {
	fraction    float64                // configured, relative to the sum over all tenants
	demand      float64                // the tenant's fraction of the arriving requests, a moving average
	predicted   float64                // U_PR of the paper: its fraction of the slots beyond the minimum
	slots       float64                // slots of the tenant at this node
	utilization [loadModeCount]float64 // U_j of the paper, by mode

	slotTime float64 // total latency of the attempts that have ended in this control period
	arrivals float64 // requests that have arrived in this control period
}

// withinFraction reports whether the tenant's recent demand is within its quota.
func (q *tenantQuota) withinFraction() bool { return q.demand <= q.fraction }

// predictQuotas computes U_PR, the fraction of the slots that each tenant receives in the next control
// period.
func (b *Balancer) predictQuotas(elapsed float64) {
	arrivals, slotTime := b.periodTotals()
	b.meanInFlight += periodSmoothing * (slotTime/elapsed - b.meanInFlight)
	mode := b.mode()
	b.modeTime[mode] += elapsed
	blend := elapsed / b.modeTime[mode] // Eq. 3: last period / all time in this mode; 1 at first
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

// updateUtilization computes Eq. 3: the new U_j is a weighted mean of the utilization in the last period and
// the previous U_j of this mode.
func (q *tenantQuota) updateUtilization(mode loadMode, elapsed, capacity, blend float64) {
	used := min(q.slotTime/elapsed/max(capacity, 1e-9), 1)
	q.utilization[mode] = blend*used + (1-blend)*q.utilization[mode]
}

// predict computes Eq. 1 and 2. inFlightRatio is the tenant's fraction of the requests in flight: q_j divided
// by the sum of all q.
func (q *tenantQuota) predict(mode loadMode, inFlightRatio float64) {
	utilization := q.utilization[mode]
	queued := max(minQueueFactor, inFlightRatio) * utilization // Eq. 2: U_qj
	target := q.fraction                                       // P^o: in overload, the target is the quota
	if mode == underload {
		target = (q.fraction + q.demand) / 2 // P^u: otherwise, free capacity follows the demand
	}
	predicted := correctionHorizon*target - (correctionHorizon-1)*(utilization+queued) // Eq. 1
	q.predicted = min(max(predicted, 0), 1)
}

// inFlightRatio returns the tenant's fraction of the node's requests in flight.
func (b *Balancer) inFlightRatio(tenant *tenantState) float64 {
	return float64(tenant.inFlight.count) / float64(max(b.inFlight.count, 1))
}

// periodTotals returns the requests and the slot time of all tenants in this control period.
func (b *Balancer) periodTotals() (arrivals, slotTime float64) {
	for i := range b.tenants {
		arrivals += b.tenants[i].quota.arrivals
		slotTime += b.tenants[i].quota.slotTime
	}
	return arrivals, slotTime
}

// assignTenantSlots divides the capacity among the tenants, according to their predicted quotas.
func (b *Balancer) assignTenantSlots() {
	satisfied := b.satisfiedQuotas()
	minimum := minQuotaFraction / float64(len(b.tenants))
	for i := range b.tenants {
		quota := &b.tenants[i].quota
		quota.slots = b.capacity * (minimum + (1-minQuotaFraction)*quota.predicted/b.predictedTotal)
		if b.overloadMode && quota.withinFraction() { // it has priority over users of lent capacity
			quota.slots = max(quota.slots, b.capacity*quota.fraction/satisfied)
		}
		b.assignSlots(i, quota.slots)
	}
}

// satisfiedQuotas returns the sum of the quotas of the tenants whose recent demand is within their quota.
func (b *Balancer) satisfiedQuotas() (sum float64) {
	for i := range b.tenants {
		if quota := &b.tenants[i].quota; quota.withinFraction() {
			sum += quota.fraction
		}
	}
	return sum
}

// assignSlots distributes a tenant's slots over the endpoints in proportion to their limits. As in the paper,
// it changes as little as possible: an entry changes only if it differs from its new value by more than one
// slot, or by more than half of the new value.
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
