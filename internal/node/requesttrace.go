package node

import (
	"context"
	"log/slog"

	"tulipglade/internal/safety"
)

// traceWithheldAttempt logs that an attempt which the balancer had decided on was not started, and the reason,
// if tracing is on.
func (n *Node) traceWithheldAttempt(att *attempt, reason safety.Reason) {
	n.traceRequest(att.request, "attempt withheld", "attempt", att.number, "endpoint", att.endpoint.address, "reason", reason.String())
}

// traceRequest logs a step of a request if tracing is on.
func (n *Node) traceRequest(req *request, message string, args ...any) {
	if !n.traceRequests || req == nil {
		return
	}
	n.log.Debug(message, append([]any{"trace_id", req.traceID}, args...)...)
}

// traceClient logs a step of a client's connection if tracing is on.
func (n *Node) traceClient(client *clientConn, message string, args ...any) {
	if n.traceRequests && client.conn != nil {
		n.log.Debug(message, append([]any{"client", client.conn.RemoteAddr().String()}, args...)...)
	}
}

// debugEnabled reports whether the logger accepts debug messages, which log each step of each request.
func debugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }
