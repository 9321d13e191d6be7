package node

import (
	"context"
	"log/slog"

	"tulipglade/internal/safety"
)

// logWithheld notes an attempt that was decided on and may not begin any more.
func (n *Node) logWithheld(att *attempt, reason safety.Reason) {
	n.traceRequest(att.request, "attempt withheld", "attempt", att.number, "host", att.endpoint.address, "reason", reason.String())
}

// traceRequest writes a line on one request where lines on each are wanted.
func (n *Node) traceRequest(req *request, message string, args ...any) {
	if !n.traceRequests || req == nil {
		return
	}
	n.log.Debug(message, append([]any{"trace", req.loggedTraceID()}, args...)...)
}

// traceClient does so for a client's connection.
func (n *Node) traceClient(client *clientConn, message string, args ...any) {
	if n.traceRequests && client.conn != nil {
		n.log.Debug(message, append([]any{"client", client.conn.RemoteAddr().String()}, args...)...)
	}
}

// debugEnabled tells whether lines on each request are wanted.
func debugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }
