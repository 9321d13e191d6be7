package node

import (
	"bytes"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// A probe asks a host how it is, beside its queue. It travels as an attempt of no request: on the same connections, with the
// same ways to fail, and one outcome. It never stands before an attempt: those that wait for a connection are served first, and no
// connection is closed to make room for it.

// probesMost is how many probes may be out at one host. A host that accepts and never answers holds so many connections
// at most, each for the time limit of a connection; what the module asks for beyond that has not been asked.
const probesMost = 8

// What a probe asks for: with a report where the deployment has reports, else only whether the process runs.
const (
	probeLoad   = "/status/load"
	probeHealth = "/health"
)

// CheckHealth asks a host for its load. The module hears of exactly one outcome through Checked.
func (n *Node) CheckHealth(hostID balancer.EndpointID) {
	h := n.hosts[hostID]
	if h == nil {
		n.log.Error("probe without a host", "host", hostID)
		return
	}
	now := n.now()
	current, _ := n.bal.ListCurrent(now)
	a := &attempt{probe: true, req: &request{set: n.set}, host: h, sent: now, till: now + n.set.ConnectTimeout}
	h.probes++
	switch {
	case h.state != protocol.InService, !n.set.Balancer.AllowHealthChecks, !current:
		n.settle(a, balancer.OutcomeNotSent, nil) // it wants nothing new
	case h.probes > probesMost:
		n.settle(a, balancer.OutcomeNotSent, nil)
	case len(h.idle) == 0 && n.sockets() > 0 && n.descriptors+1 > n.sockets()-reserve:
		n.settle(a, balancer.OutcomeConnectFailed, nil)
	default:
		n.at(a.till, func() { n.late(a) })
		n.connect(a)
	}
}

// appendProbe appends the request of a probe.
func (n *Node) appendProbe(dst []byte, h *host) []byte {
	path := probeHealth
	if n.set.LoadReports {
		path = probeLoad
	}
	return append(append(append(append(append(dst, "GET "...), path...), " HTTP/1.1\r\nHost: "...), h.addr...), "\r\n\r\n"...)
}

// checked tells the module how a probe has ended.
func (n *Node) checked(a *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	took := n.now() - a.sent
	n.later = append(n.later, func() {
		a.host.probes--
		n.bal.HandleHealthCheck(n.now(), a.host.id, outcome, took, report)
	})
}

// probeReport is what the answer to a probe says of its host's load: in its body, or as any answer may.
func probeReport(msg *protocol.Message, body []byte) *balancer.LoadReport {
	if report := loadReport(msg); report != nil {
		return report
	}
	body = bytes.TrimSpace(body)
	if !bytes.HasPrefix(body, []byte("TEXT ")) {
		body = append([]byte("TEXT "), body...)
	}
	return toReport(body)
}
