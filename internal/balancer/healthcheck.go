package balancer

// Health checks, which ask endpoints for their load before a request is sent if that is cheap, and the load
// reports that arrive with answers and with the results of health checks.

import (
	"cmp"
	"math"
	"slices"
)

// maxHealthCheckCost is the largest fraction of a request's value that may be spent on health checks of its
// candidates.
const maxHealthCheckCost = 0.01

// unknownLoad is the report of an endpoint that has not reported anything.
var unknownLoad = LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}

// reportedLoad is the last load report of an endpoint.
type reportedLoad struct {
	LoadReport
	changedAt  Time // when a report last differed from the one before
	receivedAt Time // when the last report arrived
}

// healthCheckState is what the health checks of this node have shown so far.
type healthCheckState struct {
	loadUnknown     bool    // the last answer did not state how many requests the endpoint holds
	unansweredSince Time    // when the first check after the last answer was sent; 0: none was sent
	meanLatency     float64 // moving mean of the latency of a check
}

// usesHealthChecks reports whether the candidates of a request are asked for their load before the request is
// sent. This requires that health checks are allowed and cheap, that they are answered, and that the answers
// state how many requests an endpoint holds.
func (b *Balancer) usesHealthChecks() bool {
	cheap := b.config.HealthCheckCost*healthCheckCandidates <= maxHealthCheckCost
	return b.config.AllowHealthChecks && cheap && !b.healthChecks.loadUnknown && !b.healthChecksUnanswered()
}

// healthChecksUnanswered reports whether a health check was sent more than a control period ago and no health
// check has been answered since. Requests do not wait for health checks then.
func (b *Balancer) healthChecksUnanswered() bool {
	since := b.healthChecks.unansweredSince
	return b.config.AllowHealthChecks && since > 0 && b.now-since > b.controlPeriod
}

// checkRandomEndpoint sends a health check to a random endpoint of the subset, to find out whether health
// checks are answered again.
func (b *Balancer) checkRandomEndpoint() {
	b.commands.CheckHealth(b.subset[int(b.random.uniform()*float64(len(b.subset)))].ID)
}

// checkCandidates sends a health check to each candidate of a request. The request waits until all of them
// have answered, but no longer than a multiple of the mean latency of health checks.
func (b *Balancer) checkCandidates(request *openRequest) {
	b.healthChecks.unansweredSince = cmp.Or(b.healthChecks.unansweredSince, b.now)
	request.checkedAt = b.now
	request.waitUntil = b.now + max(Span(4*b.healthChecks.meanLatency), 2*b.config.TickInterval)
	for _, endpoint := range request.candidates {
		b.commands.CheckHealth(endpoint.ID)
	}
	b.setRequestTimer(request, timerHealthCheck, request.waitUntil-b.now)
}

// candidatesChecked reports whether a request has candidates and all of them have reported their load since
// they were sent health checks.
func (b *Balancer) candidatesChecked(request *openRequest) bool {
	unanswered := func(endpoint *endpointState) bool {
		return endpoint.reported.receivedAt < request.checkedAt
	}
	return request.candidates != nil && !slices.ContainsFunc(request.candidates, unanswered)
}

// HandleHealthCheck handles the end of a health check. A check with an outcome other than OutcomeOK counts as
// unanswered.
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

// recordReport stores the load report of an endpoint. It does nothing if there is no report.
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

// updateCores raises the number of an endpoint's cores to the number of requests that, according to a report,
// the endpoint works on at the same time.
func (e *endpointState) updateCores(report *LoadReport) {
	if report.Outstanding >= 0 && report.Backlog >= 0 {
		e.cores = max(e.cores, 1, math.Round(report.Outstanding-report.Backlog))
	}
}

// hasFreshReport reports whether an endpoint's last report is so recent that it shows the number of requests
// that the endpoint holds more accurately than this node's own count.
func (b *Balancer) hasFreshReport(endpoint *endpointState) bool {
	reported := &endpoint.reported
	return reported.Outstanding >= 0 && b.now-reported.receivedAt <= 2*b.config.TickInterval
}
