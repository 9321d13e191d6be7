package node

import (
	"bytes"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// headerLoadReport parses the load report in the header of an answer; nil: there is none, or it is malformed.
func headerLoadReport(msg *protocol.Message) *balancer.LoadReport {
	return parseLoadReport(msg.Get(protocol.LoadHeader))
}

// parseLoadReport parses the text of a load report; nil: it is malformed.
func parseLoadReport(text []byte) *balancer.LoadReport {
	if load, ok := protocol.ParseLoad(text); ok {
		return &balancer.LoadReport{Outstanding: load.Outstanding, Backlog: load.Backlog, Utilization: load.Utilization}
	}
	return nil
}

// healthCheckReport parses the load report in the answer to a health check. It is in the header, as in any answer, or
// in the body, where its prefix may be missing.
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
