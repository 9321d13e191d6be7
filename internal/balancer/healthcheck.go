package balancer

// Health checks: endpoints are asked for their load before a request is sent, if that is cheap; and the load
// reports that come with answers and health checks.

import (
	"cmp"
	"math"
	"slices"
)

// maxHealthCheckCost is the part of a request's value that may be spent on health checks of its candidates.
const maxHealthCheckCost = 0.01

// unknownLoad is the report of an endpoint that has not reported anything.
var unknownLoad = LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}

// reportedLoad is the last load report of an endpoint.
type reportedLoad struct {
	LoadReport
	changedAt  Time // when the content last changed
	receivedAt Time
}

// healthCheckState is what the health checks have shown so far.
type healthCheckState struct {
	loadUnknown     bool    // answers do not say how many requests an endpoint holds
	unansweredSince Time    // when the first check since the last answer was sent; 0: none was
	meanLatency     float64 // of a check
}

// usesHealthChecks reports whether a request's candidates are asked for their load before it is sent. This
// requires that health checks are allowed and cheap, that they are answered, and that the answers state how
// many requests an endpoint holds.
func (b *Balancer) usesHealthChecks() bool {
	cheap := b.config.HealthCheckCost*healthCheckCandidates <= maxHealthCheckCost
	return b.config.AllowHealthChecks && cheap && !b.healthChecks.loadUnknown && !b.healthChecksUnanswered()
}

// healthChecksUnanswered tells that health checks were sent and none has been answered for a control period:
// then no request waits for any.
func (b *Balancer) healthChecksUnanswered() bool {
	since := b.healthChecks.unansweredSince
	return b.config.AllowHealthChecks && since > 0 && b.now-since > b.controlPeriod
}

// checkRandomEndpoint finds out whether health checks are answered again.
func (b *Balancer) checkRandomEndpoint() {
	b.commands.CheckHealth(b.subset[int(b.random.uniform()*float64(len(b.subset)))].ID)
}

// checkCandidates asks the candidates of a request for their load. The request waits for the slowest, but not
// for long.
func (b *Balancer) checkCandidates(request *openRequest) {
	b.healthChecks.unansweredSince = cmp.Or(b.healthChecks.unansweredSince, b.now)
	request.checkedAt = b.now
	request.waitUntil = b.now + max(Span(4*b.healthChecks.meanLatency), 2*b.config.TickInterval)
	for _, endpoint := range request.candidates {
		b.commands.CheckHealth(endpoint.ID)
	}
	b.setRequestTimer(request, timerHealthCheck, request.waitUntil-b.now)
}

// candidatesChecked tells whether all candidates of a request have answered their health checks.
func (b *Balancer) candidatesChecked(request *openRequest) bool {
	unanswered := func(endpoint *endpointState) bool {
		return endpoint.reported.receivedAt < request.checkedAt
	}
	return request.candidates != nil && !slices.ContainsFunc(request.candidates, unanswered)
}

// HandleHealthCheck takes the end of a health check.
func (b *Balancer) HandleHealthCheck(
	now Time, id EndpointID, outcome Outcome, latency Span, report *LoadReport,
) {
	b.now = now
	endpoint := b.endpointsByID[id]
	if endpoint == nil || outcome != OutcomeOK {
		return
	}
	b.recordReport(endpoint, report)
	b.healthChecks.loadUnknown = report == nil || report.Outstanding < 0
	b.healthChecks.unansweredSince = 0
	b.healthChecks.meanLatency += periodSmoothing * (float64(latency) - b.healthChecks.meanLatency)
	b.dispatch()
}

// recordReport keeps an endpoint's load report, if there is one.
func (b *Balancer) recordReport(endpoint *endpointState, report *LoadReport) {
	if report == nil {
		return
	}
	reported := &endpoint.reported
	if *report != reported.LoadReport {
		reported.changedAt = b.now
	}
	reported.LoadReport, reported.receivedAt = *report, b.now
	endpoint.updateCores(report)
}

// updateCores derives from a report how many requests an endpoint works on at once.
func (e *endpointState) updateCores(report *LoadReport) {
	if report.Outstanding >= 0 && report.Backlog >= 0 {
		e.cores = max(e.cores, 1, math.Round(report.Outstanding-report.Backlog))
	}
}

// hasFreshReport tells whether a report says more than the node's own count of what an endpoint holds.
func (b *Balancer) hasFreshReport(endpoint *endpointState) bool {
	reported := &endpoint.reported
	return reported.Outstanding >= 0 && b.now-reported.receivedAt <= 2*b.config.TickInterval
}
