package node

import (
	"context"
	"errors"
	"log/slog"

	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// heldUpMost is how much time may pass from the check of an attempt to its first byte, in microseconds. An attempt whose goroutine, or whose
// process, was held up for longer is checked again instead of being written.
const heldUpMost = 10_000

// errHeldUp is a write that was not begun, as too much time had passed since it was allowed.
var errHeldUp = errors.New("held up before the first byte")

// Limits of what is audited, in microseconds.
const (
	auditSlack    = 50_000  // of every limit of the rules
	goneMost      = 100_000 // after its client has gone an attempt may begin for so long
	deadlineSlack = 150_000 // by which a deadline told to a backend may exceed what is left
)

// firstByte is what is known of an attempt as its first byte is written.
type firstByte struct {
	at    int64 // just before it was written
	told  int64 // the time that the backend was told it has
	lease int64 // until when the list was known to be current; 0: not bounded
}

// audit holds an attempt that has begun against the rules, whatever decided it. It changes nothing: it counts and logs what must not happen.
func (n *Node) audit(a *attempt, first firstByte) {
	h, r := a.host, a.req
	if left := h.leftAt; left > 0 && first.at > left+n.set.DrainGrace+auditSlack {
		n.violation(a, safety.BackendDraining, first.at-left)
	}
	if first.lease > 0 && first.at > first.lease+n.set.DrainGrace+auditSlack {
		n.violation(a, safety.ListStale, first.at-first.lease)
	}
	if r.client != nil {
		if gone := r.client.endedAt.Load(); gone > 0 && first.at > gone+goneMost {
			n.violation(a, safety.ClientDisconnected, first.at-gone)
		}
	}
	if over := first.told - (a.till - first.at); a.till != never && over > deadlineSlack {
		n.violation(a, safety.DeadlinePassed, over)
	}
}

// violation counts one attempt that should not have begun.
func (n *Node) violation(a *attempt, why safety.Reason, by int64) {
	n.violations[why]++
	n.log.Error("invariant violated", "rule", why.String(), "by_us", by, "trace", a.req.trace(), "attempt", a.number,
		"host", a.host.addr, "rev", n.rev, "count", n.violations[why])
}

// withheld notes an attempt that was decided on and may not begin any more.
func (n *Node) withheld(a *attempt, why safety.Reason) {
	n.traceRequest(a.req, "attempt withheld", "attempt", a.number, "host", a.host.addr, "reason", why.String())
}

// traceRequest writes a line on one request where lines on each are wanted.
func (n *Node) traceRequest(r *request, what string, args ...any) {
	if !n.tracing || r == nil {
		return
	}
	n.log.Debug(what, append([]any{"trace", r.trace()}, args...)...)
}

// traceClient does so for a client's connection.
func (n *Node) traceClient(c *client, what string, args ...any) {
	if n.tracing && c.conn != nil {
		n.log.Debug(what, append([]any{"client", c.conn.RemoteAddr().String()}, args...)...)
	}
}

// traces tells whether lines on each request are wanted.
func traces(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

// trace is the id that the request's client gave it.
func (r *request) trace() string { return r.traceID }

// setState notes what discovery says of a host, and since when nothing new may go there.
func (h *host) setState(state protocol.State, now int64) {
	if state == protocol.InService {
		h.leftAt = 0
	} else if h.leftAt == 0 {
		h.leftAt = now
	}
	h.state = state
}
