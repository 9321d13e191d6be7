package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// maxHealthChecksPerEndpoint is how many health checks may be in flight to one endpoint. A backend that accepts and
// never answers holds so many connections at most, each for ConnectTimeout; what the balancer asks for beyond that is
// not sent.
const maxHealthChecksPerEndpoint = 8

// Paths of health checks: with a load report if the deployment has reports, else only whether the process runs.
const (
	loadCheckPath     = "/status/load"
	livenessCheckPath = "/health"
)

// CheckHealth implements balancer.Commands: it asks an endpoint for its load. The balancer is notified of exactly one
// outcome by HandleHealthCheck. A health check travels as an attempt without a request: on the same connections, with
// the same failures and one outcome. Attempts that wait for a connection are served before it, and no connection is
// closed to make descriptors available for it.
func (n *Node) CheckHealth(endpointID balancer.EndpointID) {
	ep := n.endpoints[endpointID]
	if ep == nil {
		n.log.Error("health check of unknown endpoint", "endpoint_id", endpointID)
		return
	}
	now := n.now()
	current, _ := n.balancer.ListCurrent(now)
	att := &attempt{
		isHealthCheck: true,
		request:       &request{settings: n.settings},
		endpoint:      ep,
		startedAt:     now,
		deadline:      now + n.settings.ConnectTimeout,
	}
	ep.pendingHealthChecks++
	switch {
	case ep.state != protocol.InService, !n.settings.Balancer.AllowHealthChecks, !current:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil) // nothing may be sent there
	case ep.pendingHealthChecks > maxHealthChecksPerEndpoint:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	case len(ep.idleConns) == 0 && n.exceedsDescriptorLimit(1):
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	default:
		n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
		n.assignConn(att)
	}
}

// appendHealthCheck appends the request of a health check.
func (n *Node) appendHealthCheck(dst []byte, ep *endpoint) []byte {
	path := livenessCheckPath
	if n.settings.LoadReports {
		path = loadCheckPath
	}
	return append(append(append(append(append(dst, "GET "...), path...), " HTTP/1.1\r\nHost: "...), ep.address...), "\r\n\r\n"...)
}

// completeHealthCheck notifies the balancer of the outcome of a health check.
func (n *Node) completeHealthCheck(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	took := n.now() - att.startedAt
	n.deferred = append(n.deferred, func() {
		att.endpoint.pendingHealthChecks--
		n.balancer.HandleHealthCheck(n.now(), att.endpoint.id, outcome, took, report)
	})
}
