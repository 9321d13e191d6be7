package soak

import (
	"fmt"
	"time"
)

// Limits of the rules.
const (
	notificationLimit = 6 * time.Second
	drainSlack        = 50 * time.Millisecond
	disconnectLimit   = 100 * time.Millisecond // from a client's disconnection until no attempt starts
	deadlineSlack     = 150 * time.Millisecond
	// shutdownLimit is how long after SIGTERM a process is killed at the earliest.
	shutdownLimit = longestDeadline + killedShutdownWindow
	// killedShutdownWindow is until when after SIGTERM a request may come that SIGKILL then finds unanswered.
	killedShutdownWindow = 700 * time.Millisecond
	// newClientsLimit is how long after SIGTERM new connections come.
	newClientsLimit = 400 * time.Millisecond
	readyLimit      = 10 * time.Second

	// schedulingDelay is what the scheduling of this process may add to any of them.
	schedulingDelay = 250 * time.Millisecond

	maxViolationsWithLogs = 3 // violations, after which no logs are added
)

// Result is what a run has shown.
type Result struct {
	Violations []string // violations of the rules, one line each
	Faults     map[Kind]int
	Served     int
	Rejected   int
	Failed     int
	Total      int
	Plan       []Fault
	// LongestDelay is the longest time for which this process, that records what clients and backends see, did not run
	// when it was due, and LongestDelayAt when that ended. Beyond schedulingDelay its records prove little.
	LongestDelay, LongestDelayAt time.Duration
}

// check checks the records against the rules.
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
		result.addViolation("a backend got %q, which no client sent", id)
	}
	for _, n := range r.nodes {
		n.check(&result)
	}
	return result
}

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

func (res *Result) addViolation(format string, args ...any) {
	res.Violations = append(res.Violations, fmt.Sprintf(format, args...))
}

// addDiscoveryLog adds what a node has logged on discovery to the first violations.
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

// checkAnswer checks that each request that a node has accepted has one complete final answer in time.
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
		// The end of a connection between two requests may cross the second, which then never runs. A new connection has no request before.
		if n.mustAnswer(q) && (q.firstOnConn || len(q.arrivals) > 0) {
			res.addViolation("lost: %s at %.3f to node %d met the end of its connection after %.3f s, %d arrivals, new %v",
				q.id, sent, q.node, took, len(q.arrivals), q.firstOnConn)
		}
	case outcomeRejected:
		if q.class.effect == effectOnce && q.runs() > 0 {
			res.addViolation("duplicate: %s at %.3f was rejected, which promises that it never ran, and ran", q.id, sent)
		}
	}
}

// checkRuns checks that non-idempotent requests run once at most, and that keys are not repeated after their window.
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

// checkArrival checks that no attempt starts at a backend that drains or was removed, for a client that has disconnected, or with more time
// than is left until the deadline.
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
		res.addViolation("deadline: %s was announced with %.3f s, and had %.3f s left", q.id, a.announced.Seconds(), remaining.Seconds())
	}
}

// attemptAfterNotification returns how long before an arrival its node counted as notified that the backend drains or was removed, where
// that is longer than the rules allow, and the change; 0 where it is not. Of several changes it returns the one with the longest time.
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

// notifiedAt returns when a node counts as notified of a change: when an answer with it was written, or, at the latest, a limited time
// after the change, in which discovery could be reached. The caller holds the mutex.
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

// returnedToService reports whether a later change has put the backend back in service, and the node could know of it by a time. The caller
// holds the mutex.
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

// earliest returns the earlier of two times of which 0 is none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// check checks that the node's processes became ready and exited in time, and logged nothing that is forbidden.
func (n *node) check(res *Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range n.incarnations {
		if p.terminatedAt > 0 && (p.killedAt > 0 || p.exitedAt-p.terminatedAt > shutdownLimit+schedulingDelay) {
			res.addViolation("stop: process %d of node %d was told to end at %.3f and had not %.3f s later (killed at %.3f)",
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
