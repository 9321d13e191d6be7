package node

import (
	"bytes"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// headerLoadReport reads the load report in the head of an answer; nil: there is none.
func headerLoadReport(msg *protocol.Message) *balancer.LoadReport {
	return parseLoadReport(msg.Get(protocol.LoadHeader))
}

// parseLoadReport parses a load report; nil: it is malformed.
func parseLoadReport(text []byte) *balancer.LoadReport {
	if load, ok := protocol.ParseLoad(text); ok {
		return &balancer.LoadReport{Outstanding: load.Outstanding, Backlog: load.Backlog, Utilization: load.Utilization}
	}
	return nil
}

// healthCheckReport reads the load report in the answer to a health check: in its body, or in its head as in any
// answer.
func healthCheckReport(msg *protocol.Message, body []byte) *balancer.LoadReport {
	if report := headerLoadReport(msg); report != nil {
		return report
	}
	body = bytes.TrimSpace(body)
	if !bytes.HasPrefix(body, []byte("TEXT ")) {
		body = append([]byte("TEXT "), body...)
	}
	return parseLoadReport(body)
}
