package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// maxHealthChecksPerEndpoint is how many probes may be out at one host. A host that accepts and never answers holds so many connections
// at most, each for the time limit of a connection; what the module asks for beyond that has not been asked.
const maxHealthChecksPerEndpoint = 8

// What a probe asks for: with a report where the deployment has reports, else only whether the process runs.
const (
	loadCheckPath     = "/status/load"
	livenessCheckPath = "/health"
)

// CheckHealth asks a host for its load. The module hears of exactly one outcome through Checked.
func (n *Node) CheckHealth(endpointID balancer.EndpointID) {
	ep := n.endpoints[endpointID]
	if ep == nil {
		n.log.Error("probe without a host", "host", endpointID)
		return
	}
	now := n.now()
	current, _ := n.balancer.ListCurrent(now)
	att := &attempt{isHealthCheck: true, request: &request{settings: n.settings}, endpoint: ep, startedAt: now, deadline: now + n.settings.ConnectTimeout}
	ep.pendingHealthChecks++
	switch {
	case ep.state != protocol.InService, !n.settings.Balancer.AllowHealthChecks, !current:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil) // it wants nothing new
	case ep.pendingHealthChecks > maxHealthChecksPerEndpoint:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	case len(ep.idleConns) == 0 && n.descriptorLimit() > 0 && n.openDescriptors+1 > n.descriptorLimit()-reservedDescriptors:
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	default:
		n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
		n.assignConn(att)
	}
}

// appendHealthCheck appends the request of a probe.
func (n *Node) appendHealthCheck(dst []byte, ep *endpoint) []byte {
	path := livenessCheckPath
	if n.settings.LoadReports {
		path = loadCheckPath
	}
	return append(append(append(append(append(dst, "GET "...), path...), " HTTP/1.1\r\nHost: "...), ep.address...), "\r\n\r\n"...)
}

// healthCheckDone tells the module how a probe has ended.
func (n *Node) healthCheckDone(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	took := n.now() - att.startedAt
	n.deferred = append(n.deferred, func() {
		att.endpoint.pendingHealthChecks--
		n.balancer.HandleHealthCheck(n.now(), att.endpoint.id, outcome, took, report)
	})
}
