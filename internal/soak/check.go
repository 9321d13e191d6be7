package soak

import (
	"fmt"
	"time"
)

// Time limits of the rules.
const (
	// notificationLimit is the time for which discovery must have been reachable since a change of the list until a
	// node counts as notified of the change, even if no answer with the change was written.
	notificationLimit = 6 * time.Second
	drainSlack        = 50 * time.Millisecond
	disconnectLimit   = 100 * time.Millisecond // no attempt starts later than this after its client disconnected
	deadlineSlack     = 150 * time.Millisecond
	// shutdownLimit is the time that a process has after SIGTERM before it is killed.
	shutdownLimit = longestDeadline + killedShutdownWindow
	// killedShutdownWindow is the time after SIGTERM in which a node may receive requests that are still unanswered
	// when SIGKILL ends it.
	killedShutdownWindow = 700 * time.Millisecond
	// newClientsLimit is the time after SIGTERM in which clients still open new connections to a node.
	newClientsLimit = 400 * time.Millisecond
	readyLimit      = 10 * time.Second

	// schedulingDelay is added to these limits for the delays that the scheduling of this process may cause.
	schedulingDelay = 250 * time.Millisecond

	maxViolationsWithLogs = 3 // no log lines are added once there are more violations
)

// Result is the outcome of a run.
type Result struct {
	Violations []string     // violations of the rules, and log lines that help to explain them
	Faults     map[Kind]int // number of faults of each kind in the schedule
	Served     int
	Rejected   int
	Failed     int
	Total      int
	Plan       []Fault // the schedule of faults
	// LongestDelay is the longest scheduling delay of this process, which records what clients and backends see.
	// LongestDelayAt is the time at which this delay ended. If the delay exceeds schedulingDelay, a violation may be an
	// artifact of late records.
	LongestDelay, LongestDelayAt time.Duration
}

// check checks the records of the finished run against the rules.
func (r *run) check(plan []Fault) Result {
	result := Result{Faults: map[Kind]int{}, Plan: plan}
	result.LongestDelay, result.LongestDelayAt = r.ownDelays.longest()
	for _, fault := range plan {
		result.Faults[fault.Kind]++
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, q := range r.record.sorted() {
		result.count(q)
		r.checkAnswer(&result, q)
		r.checkRuns(&result, q)
		for _, a := range q.arrivals {
			r.checkArrival(&result, q, a)
		}
	}
	for _, id := range r.record.unknown {
		result.addViolation("a backend received request %q, which no client sent", id)
	}
	for _, n := range r.nodes {
		n.check(&result)
	}
	return result
}

// count adds a request to the counts of its outcome.
func (res *Result) count(q *request) {
	res.Total++
	switch q.outcome {
	case outcomeServed:
		res.Served++
	case outcomeRejected:
		res.Rejected++
	case outcomeFailed:
		res.Failed++
	}
}

// addViolation adds a formatted line to the violations.
func (res *Result) addViolation(format string, args ...any) {
	res.Violations = append(res.Violations, fmt.Sprintf(format, args...))
}

// addDiscoveryLog adds a node's log lines about discovery, unless there are more than maxViolationsWithLogs lines
// already.
func (res *Result) addDiscoveryLog(n *node) {
	if len(res.Violations) > maxViolationsWithLogs {
		return
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	for _, line := range n.log.discovery {
		res.Violations = append(res.Violations, fmt.Sprintf("    node %d: %s", n.index, line))
	}
}

// checkAnswer checks that a request that its node had to answer got one complete final answer in time.
func (r *run) checkAnswer(res *Result, q *request) {
	n := r.nodes[q.node]
	sent, took := q.sent.Seconds(), (q.finished - q.sent).Seconds()
	switch q.outcome {
	case outcomeWrongAnswer:
		res.addViolation("lost: %s at %.3f was answered with the answer to another request", q.id, sent)
	case outcomeLate:
		if n.mustAnswer(q) {
			res.addViolation("lost: %s at %.3f to node %d has no answer after %.3f s", q.id, sent, q.node, took)
		}
	case outcomeIncomplete:
		// A node may close an idle connection just as the client sends another request on it; that request never runs
		// and is not lost. The first request on a connection cannot cross such a close.
		if n.mustAnswer(q) && (q.firstOnConn || len(q.arrivals) > 0) {
			res.addViolation("lost: the connection of %s at %.3f to node %d ended without an answer after %.3f s, %d arrivals, first request %v",
				q.id, sent, q.node, took, len(q.arrivals), q.firstOnConn)
		}
	case outcomeRejected:
		if q.class.effect == effectOnce && q.runs() > 0 {
			res.addViolation("duplicate: %s at %.3f was rejected, which promises that it never ran, but it ran", q.id, sent)
		}
	}
}

// checkRuns checks that a non-idempotent request runs at most once, and that a request with an idempotency key does not
// run again after the idempotency window.
func (r *run) checkRuns(res *Result, q *request) {
	var first *arrival
	for _, a := range q.arrivals {
		switch {
		case !a.attemptRan:
		case first == nil:
			first = a
		case q.class.effect == effectOnce:
			res.addViolation("duplicate: %s ran at %.3f and at %.3f", q.id, first.at.Seconds(), a.at.Seconds())
		case q.class.effect == effectByKey && a.at-first.at > idempotencyWindow+schedulingDelay:
			res.addViolation("duplicate: %s ran again %.3f s later, beyond its window", q.id, (a.at - first.at).Seconds())
		}
	}
}

// checkArrival checks that an attempt did not start at a draining or removed backend, for a client that had
// disconnected, or with an announced timeout longer than the time left until the deadline.
func (r *run) checkArrival(res *Result, q *request, a *arrival) {
	n := r.nodes[a.node]
	if lateness, change := r.list.attemptAfterNotification(n, a); lateness > 0 {
		res.addViolation("drain: %s, sent at %.3f, went from node %d to backend %d at %.3f, "+
			"%.3f s after the node counted as notified of version %d (%s at %.3f)",
			q.id, q.sent.Seconds(), a.node, a.backend, a.at.Seconds(),
			lateness.Seconds(), change.revision, change.state, change.at.Seconds())
		res.addDiscoveryLog(n)
	}
	if q.outcome == outcomeDisconnected && a.at > q.finished+disconnectLimit+schedulingDelay {
		res.addViolation("lost: %s started at backend %d %.3f s after its client had disconnected", q.id, a.backend, (a.at - q.finished).Seconds())
	}
	remaining := q.sent + q.class.deadline - a.at
	if a.announced >= 0 && a.announced-remaining > deadlineSlack+schedulingDelay {
		res.addViolation("deadline: %s was announced with a timeout of %.3f s, but had %.3f s left", q.id, a.announced.Seconds(), remaining.Seconds())
	}
}

// attemptAfterNotification checks an arrival at a backend that is draining or removed. It returns the time between the
// notification of the node and the arrival, and the change of the list, if that time is longer than the rules allow;
// otherwise it returns 0. If several changes are violated, it returns the one with the longest time.
func (l *endpointList) attemptAfterNotification(n *node, a *arrival) (worst time.Duration, violated listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range l.changes {
		if change.backend != a.backend || change.state == stateInService || change.revision == firstRevision {
			continue
		}
		notified, ok := l.notifiedAt(n, change)
		if !ok || a.at <= notified+drainGrace+drainSlack+schedulingDelay {
			continue
		}
		if lateness := a.at - notified; lateness > worst && !l.returnedToService(n, change, a.at) {
			worst, violated = lateness, change
		}
	}
	return worst, violated
}

// notifiedAt returns the time from which a node counts as notified of a change: the time when an answer with the change
// was completely written, or, if that is earlier, the end of the first period of notificationLimit after the change in
// which discovery was reachable without interruption. The caller holds the mutex.
func (l *endpointList) notifiedAt(n *node, change listChange) (at time.Duration, ok bool) {
	for _, notification := range l.notifications[n.index] {
		if notification.revision >= change.revision && (!ok || notification.completed < at) {
			at, ok = notification.completed, true
		}
	}
	if latest, reachable := n.reachableFor(notificationLimit, change.at); reachable && (!ok || latest < at) {
		at, ok = latest, true
	}
	return at, ok
}

// returnedToService reports whether a later change put the backend back in service and the node may have known of it by
// the given time. The caller holds the mutex.
func (l *endpointList) returnedToService(n *node, change listChange, by time.Duration) bool {
	for _, later := range l.changes {
		if later.backend != change.backend || later.revision <= change.revision || later.state != stateInService {
			continue
		}
		for _, notification := range l.notifications[n.index] {
			if notification.revision >= later.revision && notification.started <= by {
				return true
			}
		}
	}
	return false
}

// earliest returns the earlier of two times. A time of 0 means that there is none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// exceededShutdown reports whether a process had not exited within shutdownLimit after SIGTERM. Time in which this
// process did not run does not count: it saw the exit later than that, and may have sent SIGKILL to a process that had
// exited.
func (n *node) exceededShutdown(p incarnation) bool {
	if p.terminatedAt == 0 {
		return false
	}
	took := func(end time.Duration) time.Duration {
		return end - p.terminatedAt - n.run.ownDelays.within(p.terminatedAt, end)
	}
	return p.killedAt > 0 && took(p.killedAt) > shutdownLimit-shortestOwnDelay || took(p.exitedAt) > shutdownLimit+schedulingDelay
}

// check checks that the node's processes became ready and exited in time, did not crash, and logged no forbidden text.
func (n *node) check(res *Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range n.incarnations {
		if n.exceededShutdown(p) {
			res.addViolation("stop: process %d of node %d got SIGTERM at %.3f and had not exited %.3f s later (killed at %.3f)",
				i, n.index, p.terminatedAt.Seconds(), shutdownLimit.Seconds(), p.killedAt.Seconds())
		}
		end := max(p.killedAt, p.terminatedAt)
		if p.exitedAt > 0 && (end == 0 || p.exitedAt < earliest(p.killedAt, p.terminatedAt)) {
			res.addViolation("crash: process %d of node %d, started at %.3f, ended by itself at %.3f: %s",
				i, n.index, p.started.Seconds(), p.exitedAt.Seconds(), p.exitStatus)
		}
		if p.ready == 0 && end-p.started > readyLimit {
			res.addViolation("ready: process %d of node %d, started at %.3f, was not ready within %.0f s",
				i, n.index, p.started.Seconds(), readyLimit.Seconds())
		}
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	for _, line := range n.log.forbidden {
		res.addViolation("log of node %d: %s", n.index, line)
	}
}
