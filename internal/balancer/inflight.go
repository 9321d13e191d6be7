package balancer

// Requests in flight: their number, and its mean over time.

import "math"

const (
	averagingRequests = 12   // requests, each as long as maxSilence, over which a small limit is averaged
	minAveragedSlots  = 1e-3 // lower bound of the divisor, which keeps the averaging time finite
)

// inFlightMeter counts requests in flight and keeps a moving average of their number.
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

// belowLimit reports whether there is room for one more request within a number of slots. A fraction of a
// slot is used for a part of the time: while the mean number in flight is below the slots. If fractions were
// rounded up, the sum of the slots of all nodes would grow with the number of nodes.
func (b *Balancer) belowLimit(meter *inFlightMeter, slots float64) bool {
	if float64(meter.count+1) <= slots {
		return true
	}
	return float64(meter.count) < slots && meter.update(b.now, 0, slots, b.averagingTime(slots)) < slots
}

// averagingTime returns the time over which requests in flight are averaged: a control period, or longer if
// there are so few slots that a few requests take longer.
func (b *Balancer) averagingTime(slots float64) Span {
	few := averagingRequests * float64(b.maxSilence) / max(slots, minAveragedSlots)
	return max(b.controlPeriod, Span(few))
}

// recordAttemptChange counts the start (change 1) or the end (change -1) of an attempt. result is the result
// of an attempt that has ended: its latency counts as slot time of the tenant, and its load report is
// recorded.
func (b *Balancer) recordAttemptChange(
	request *openRequest, endpoint *endpointState, change int, result AttemptResult,
) {
	b.tenants[request.tenant].quota.slotTime += float64(result.Latency)
	b.recordReport(endpoint, result.Load)
	request.attemptsInFlight += change
	if request.uploading { // it is not counted while its endpoint does not work on it
		request.uploading = false
	} else {
		b.updateInFlightCounts(request, endpoint, change)
	}
}

// updateInFlightCounts adds change to the requests in flight of the endpoint, the tenant and the node.
func (b *Balancer) updateInFlightCounts(request *openRequest, endpoint *endpointState, change int) {
	limit := b.effectiveLimit(endpoint)
	endpoint.inFlight.update(b.now, change, limit, b.averagingTime(limit))
	endpoint.inFlightByTenant[request.tenant] += change
	tenant := &b.tenants[request.tenant]
	tenant.inFlight.update(b.now, change, tenant.quota.slots, b.averagingTime(tenant.quota.slots))
	b.inFlight.update(b.now, change, b.capacity, b.averagingTime(b.capacity))
}

// inFlightShare returns this node's share of the requests that an endpoint holds. It is the mean share of a
// node according to the endpoint's report if that is fresh, or else the number of this node's attempts.
func (b *Balancer) inFlightShare(endpoint *endpointState) float64 {
	if b.hasFreshReport(endpoint) {
		return endpoint.reported.Outstanding / b.nodesPerEndpoint
	}
	return float64(endpoint.inFlight.count)
}

// totalInFlight returns an estimate of the number of requests of all nodes that an endpoint holds.
func (b *Balancer) totalInFlight(endpoint *endpointState) float64 {
	return b.inFlightShare(endpoint) * b.nodesPerEndpoint
}
