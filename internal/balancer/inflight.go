package balancer

// Requests in flight: how many there are, and their mean over time.

import "math"

const (
	averagingRequests = 12   // requests of the longest latency allowed over which a small limit is averaged
	minAveragedSlots  = 1e-3 // keeps that time finite
)

// inFlightMeter counts requests in flight and keeps their mean over about one control period.
type inFlightMeter struct {
	count     int
	mean      float64
	updatedAt Time
}

// update adds change to the count and returns the mean up to now. The first call sets the mean to the slots,
// as if all of them had been in use, so that no node starts with saved-up capacity.
func (m *inFlightMeter) update(now Time, change int, slots float64, period Span) float64 {
	if m.updatedAt == 0 {
		m.mean, m.updatedAt = slots, now
	}
	m.mean += (float64(m.count) - m.mean) * -math.Expm1(float64(m.updatedAt-now)/float64(period))
	m.count += change
	m.updatedAt = now
	return m.mean
}

// belowLimit tells whether one more request fits into so many slots. The fraction of a slot is used over
// time: while the mean in flight is below the slots. Rounded up, the sum over all nodes would grow with their
// number.
func (b *Balancer) belowLimit(meter *inFlightMeter, slots float64) bool {
	if float64(meter.count+1) <= slots {
		return true
	}
	return float64(meter.count) < slots && meter.update(b.now, 0, slots, b.averagingTime(slots)) < slots
}

// averagingTime is long enough for a few requests, however few slots there are.
func (b *Balancer) averagingTime(slots float64) Span {
	few := averagingRequests * float64(b.maxSilence) / max(slots, minAveragedSlots)
	return max(b.controlPeriod, Span(few))
}

// recordAttemptChange counts the start (1) or the end (-1) of an attempt, with what its end has shown.
func (b *Balancer) recordAttemptChange(
	request *openRequest, endpoint *endpointState, change int, result AttemptResult,
) {
	b.tenants[request.tenant].quota.slotTime += float64(result.Latency)
	b.recordReport(endpoint, result.Load)
	request.attemptsInFlight += change
	if request.uploading { // it is not counted while its endpoint has no work with it
		request.uploading = false
	} else {
		b.updateInFlightCounts(request, endpoint, change)
	}
}

// updateInFlightCounts changes the counts of the endpoint, the tenant and the node.
func (b *Balancer) updateInFlightCounts(request *openRequest, endpoint *endpointState, change int) {
	limit := b.effectiveLimit(endpoint)
	endpoint.inFlight.update(b.now, change, limit, b.averagingTime(limit))
	endpoint.inFlightByTenant[request.tenant] += change
	tenant := &b.tenants[request.tenant]
	tenant.inFlight.update(b.now, change, tenant.quota.slots, b.averagingTime(tenant.quota.slots))
	b.inFlight.update(b.now, change, b.capacity, b.averagingTime(b.capacity))
}

// inFlightShare is the node's part of what an endpoint holds, by a fresh report or else its own attempts.
func (b *Balancer) inFlightShare(endpoint *endpointState) float64 {
	if b.hasFreshReport(endpoint) {
		return endpoint.reported.Outstanding / b.nodesPerEndpoint
	}
	return float64(endpoint.inFlight.count)
}

// totalInFlight is how many requests an endpoint holds of all nodes, as far as is known.
func (b *Balancer) totalInFlight(endpoint *endpointState) float64 {
	return b.inFlightShare(endpoint) * b.nodesPerEndpoint
}
