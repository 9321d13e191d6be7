package node

import (
	"errors"

	"tulipglade/internal/safety"
)

// maxWriteDelay is how much time may pass from the check of an attempt to its first byte, in microseconds. An attempt whose goroutine, or whose
// process, was held up for longer is checked again instead of being written.
const maxWriteDelay = 10_000

// errWriteDelayed is a write that was not begun, as too much time had passed since it was allowed.
var errWriteDelayed = errors.New("held up before the first byte")

// Limits of what is audited, in microseconds.
const (
	auditSlack         = 50_000  // of every limit of the rules
	maxDisconnectDelay = 100_000 // after its client has gone an attempt may begin for so long
	deadlineSlack      = 150_000 // by which a deadline told to a backend may exceed what is left
)

// firstByte is what is known of an attempt as its first byte is written.
type firstByte struct {
	writtenAt     int64 // just before it was written
	statedTimeout int64 // the time that the backend was told it has
	listExpiresAt int64 // until when the list was known to be current; 0: not bounded
}

// audit holds an attempt that has begun against the rules, whatever decided it. It changes nothing: it counts and logs what must not happen.
func (n *Node) audit(att *attempt, first firstByte) {
	ep, req := att.endpoint, att.request
	if since := ep.outOfServiceSince; since > 0 && first.writtenAt > since+n.settings.DrainGrace+auditSlack {
		n.recordViolation(att, safety.BackendDraining, first.writtenAt-since)
	}
	if first.listExpiresAt > 0 && first.writtenAt > first.listExpiresAt+n.settings.DrainGrace+auditSlack {
		n.recordViolation(att, safety.ListStale, first.writtenAt-first.listExpiresAt)
	}
	if req.clientConn != nil {
		if disconnectedAt := req.clientConn.disconnectedAt.Load(); disconnectedAt > 0 && first.writtenAt > disconnectedAt+maxDisconnectDelay {
			n.recordViolation(att, safety.ClientDisconnected, first.writtenAt-disconnectedAt)
		}
	}
	if excess := first.statedTimeout - (att.deadline - first.writtenAt); att.deadline != noDeadline && excess > deadlineSlack {
		n.recordViolation(att, safety.DeadlinePassed, excess)
	}
}

// recordViolation counts one attempt that should not have begun.
func (n *Node) recordViolation(att *attempt, reason safety.Reason, excess int64) {
	n.violations[reason]++
	n.log.Error("invariant violated", "rule", reason.String(), "by_us", excess, "trace", att.request.loggedTraceID(), "attempt", att.number,
		"host", att.endpoint.address, "rev", n.listRevision, "count", n.violations[reason])
}
