package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// maxHealthChecksPerEndpoint is how many health checks may be in flight to one endpoint. It bounds the connections
// that are held, each for ConnectTimeout, by a backend that accepts connections and never answers. What the balancer
// requests beyond this limit is not sent.
const maxHealthChecksPerEndpoint = 8

// Paths of health checks. The first returns a load report and is used if the backends report their load; the second
// only shows whether the process runs.
const (
	loadCheckPath     = "/status/load"
	livenessCheckPath = "/health"
)

// CheckHealth implements balancer.Commands: it requests the load of an endpoint. The balancer is notified of exactly
// one outcome, by HandleHealthCheck. A health check is handled as an attempt without a client's request: it uses the
// same connections, fails in the same ways and has one outcome. Attempts of requests that wait for a connection get
// one before it, and no connection is closed to make a descriptor available for it.
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
		n.completeAttempt(att, balancer.OutcomeNotSent, nil) // this endpoint must not be checked now
	case ep.pendingHealthChecks > maxHealthChecksPerEndpoint:
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	case len(ep.idleConns) == 0 && n.exceedsDescriptorLimit(1):
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	default:
		n.scheduleAt(att.deadline, func() { n.checkAttemptDeadline(att) })
		n.assignConn(att)
	}
}

// appendHealthCheck appends the HTTP request of a health check to dst.
func (n *Node) appendHealthCheck(dst []byte, ep *endpoint) []byte {
	path := livenessCheckPath
	if n.settings.LoadReports {
		path = loadCheckPath
	}
	return append(append(append(append(append(dst, "GET "...), path...), " HTTP/1.1\r\nHost: "...), ep.address...), "\r\n\r\n"...)
}

// completeHealthCheck notifies the balancer of the outcome of a health check, after the balancer's current call has
// returned.
func (n *Node) completeHealthCheck(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	duration := n.now() - att.startedAt
	n.deferred = append(n.deferred, func() {
		att.endpoint.pendingHealthChecks--
		n.balancer.HandleHealthCheck(n.now(), att.endpoint.id, outcome, duration, report)
	})
}
