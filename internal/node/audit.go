package node

import (
	"errors"

	"tulipglade/internal/safety"
)

// maxWriteDelay is how much time may pass between the check of an attempt and its first byte, in microseconds. An
// attempt whose goroutine or process was delayed for longer is checked again instead of being written.
const maxWriteDelay = 10_000

// errWriteDelayed reports a write that was not started because too much time had passed since its check.
var errWriteDelayed = errors.New("delayed before the first byte")

// Limits of the audit, in microseconds.
const (
	auditSlack      = 50_000  // added to every limit
	disconnectGrace = 100_000 // time after its client's disconnect in which an attempt may start
	deadlineSlack   = 150_000 // by which the deadline stated to a backend may exceed the time that is left
)

// attemptStart is what the audit needs to know of an attempt's first byte.
type attemptStart struct {
	writtenAt     int64 // right before the write
	statedTimeout int64 // the time that the request states to the backend
	deadline      int64 // when the request's client gives up at the latest; noDeadline: not known yet
	listExpiresAt int64 // until when the endpoint list was known to be current; 0: unbounded
}

// auditAttemptStart checks a started attempt against the rules, independently of what decided it. It only counts and logs
// violations.
func (n *Node) auditAttemptStart(att *attempt, first attemptStart) {
	ep, req := att.endpoint, att.request
	if since := ep.outOfServiceSince; since > 0 && first.writtenAt > since+n.settings.DrainGrace+auditSlack {
		n.recordViolation(att, safety.BackendDraining, first.writtenAt-since)
	}
	if first.listExpiresAt > 0 && first.writtenAt > first.listExpiresAt+n.settings.DrainGrace+auditSlack {
		n.recordViolation(att, safety.ListStale, first.writtenAt-first.listExpiresAt)
	}
	if req.clientConn != nil {
		disconnectedAt := req.clientConn.disconnectedAt.Load()
		if disconnectedAt > 0 && first.writtenAt > disconnectedAt+disconnectGrace {
			n.recordViolation(att, safety.ClientDisconnected, first.writtenAt-disconnectedAt)
		}
	}
	if excess := first.statedTimeout - (first.deadline - first.writtenAt); first.deadline != noDeadline && excess > deadlineSlack {
		n.recordViolation(att, safety.DeadlinePassed, excess)
	}
}

// recordViolation counts and logs an attempt that should not have started.
func (n *Node) recordViolation(att *attempt, reason safety.Reason, excess int64) {
	n.violations[reason]++
	_, listExpiresAt := n.balancer.ListCurrent(n.now())
	n.log.Error("invariant violated", "rule", reason.String(), "by_us", excess,
		"trace_id", att.request.traceID, "attempt", att.number,
		"endpoint", att.endpoint.address, "rev", n.listRevision, "list_valid_us", listExpiresAt-n.now(), "count", n.violations[reason])
}
