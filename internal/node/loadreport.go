package node

import (
	"bytes"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

func headerLoadReport(msg *protocol.Message) *balancer.LoadReport {
	return parseLoadReport(msg.Get(protocol.LoadHeader))
}

func parseLoadReport(text []byte) *balancer.LoadReport {
	if load, ok := protocol.ParseLoad(text); ok {
		return &balancer.LoadReport{Outstanding: load.Outstanding, Backlog: load.Backlog, Utilization: load.Utilization}
	}
	return nil
}

// healthCheckReport is what the answer to a probe says of its host's load: in its body, or as any answer may.
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
