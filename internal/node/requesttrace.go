package node

import (
	"context"
	"log/slog"

	"tulipglade/internal/safety"
)

// traceWithheldAttempt traces an attempt that was decided on and may not start any more.
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

// debugEnabled reports whether each step of each request is to be logged.
func debugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }
