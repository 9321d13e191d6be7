package node

import (
	"errors"

	"tulipglade/internal/safety"
)

// maxWriteDelay is how much time may pass between the check of an attempt and the write of its first byte, in
// microseconds. An attempt whose goroutine or process was delayed for longer, be it on the event loop or on its way to
// the write, is not written but checked again, and its timeout is stated anew.
const maxWriteDelay = 10_000

// errWriteDelayed reports that a write was not started because more than maxWriteDelay had passed since the check of
// its attempt.
var errWriteDelayed = errors.New("write not started: delayed for too long after the check of its attempt")

// Limits of the audit, in microseconds.
const (
	auditSlack      = 50_000  // added to the limits for endpoints out of service and for stale lists
	disconnectGrace = 100_000 // time after the client's disconnect within which an attempt may still start
	deadlineSlack   = 150_000 // time by which the timeout stated to a backend may exceed the time that is left
)

// attemptStart holds what the audit needs to know about the first byte of an attempt.
type attemptStart struct {
	writtenAt     int64 // time right before the first byte was written
	statedTimeout int64 // timeout that the request states to the backend
	deadline      int64 // when the client gives up at the latest; noDeadline: not known yet
	listExpiresAt int64 // until when the endpoint list was known to be current; 0: lists do not expire
}

// auditAttemptStart checks an attempt that has started against the invariants, independently of the code that decided
// to start it. It only counts and logs violations.
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

// recordViolation counts and logs an attempt that must not have started. excess is the time since its endpoint left
// service, its list expired or its client disconnected, or the time by which its stated timeout is too long, in
// microseconds.
func (n *Node) recordViolation(att *attempt, reason safety.Reason, excess int64) {
	n.violations[reason]++
	_, listExpiresAt := n.balancer.ListCurrent(n.now())
	n.log.Error("invariant violated", "rule", reason.String(), "by_us", excess,
		"trace_id", att.request.traceID, "attempt", att.number,
		"endpoint", att.endpoint.address, "rev", n.listRevision, "list_valid_us", listExpiresAt-n.now(), "count", n.violations[reason])
}
