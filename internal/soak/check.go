package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits of the rules, and what this process's own scheduling may add to any of them.
const (
	notifiedWithin = 6 * time.Second
	slack          = 50 * time.Millisecond
	scheduling     = 250 * time.Millisecond
	goneMost       = 100 * time.Millisecond
	deadlineOver   = 150 * time.Millisecond
	stopWithin     = longestDeadline + 700*time.Millisecond
	readyWithin    = 10 * time.Second
)

// arrival is a request's head at a backend.
type arrival struct {
	at            time.Duration
	node, backend int
	told          time.Duration // the time that the node says it waits; negative: not told
	ran           bool
}

// request is one of a client's.
type request struct {
	id       string
	node     int
	class    class
	fresh    bool // the first on its connection
	sent     time.Duration
	over     time.Duration
	how      outcome
	arrivals []*arrival
}

// record is what clients and backends saw.
type record struct {
	mu       sync.Mutex
	requests map[string]*request
	unknown  []string // ids that no client sent
}

func (r *record) begin(q *request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = at
	r.requests[q.id] = q
}

func (r *record) end(q *request, how outcome, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.how, q.over = how, at
}

func (r *record) arrived(id string, a arrival) *arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		r.unknown = append(r.unknown, id)
		return &a
	}
	q.arrivals = append(q.arrivals, &a)
	return &a
}

func (r *record) ran(_ string, a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ran = true
}

// Result is what a play has shown.
type Result struct {
	Broken   []string // what broke the rules, one line each
	Faults   map[Kind]int
	Served   int
	Rejected int
	Failed   int
	Total    int
	Plan     []Fault
}

// check holds the records against the rules.
func (r *run) check(plan []Fault) Result {
	res := Result{Faults: map[Kind]int{}, Plan: plan}
	for _, f := range plan {
		res.Faults[f.Kind]++
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	all := make([]*request, 0, len(r.record.requests))
	for _, q := range r.record.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.sent, b.sent) })
	for _, q := range all {
		res.count(q)
		r.checkAnswer(&res, q)
		r.checkRuns(&res, q)
		for _, a := range q.arrivals {
			r.checkArrival(&res, q, a)
		}
	}
	for _, id := range r.record.unknown {
		res.broke("a backend got %q, which no client sent", id)
	}
	for _, n := range r.nodes {
		n.check(&res)
	}
	return res
}

func (res *Result) count(q *request) {
	res.Total++
	switch q.how {
	case served:
		res.Served++
	case refused:
		res.Rejected++
	case failed:
		res.Failed++
	}
}

// explain adds what a node has logged of discovery to the first breaks.
func (res *Result) explain(n *node) {
	if len(res.Broken) > 3 {
		return
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	for _, line := range n.log.discovery {
		res.Broken = append(res.Broken, fmt.Sprintf("    node %d: %s", n.index, line))
	}
}

func (res *Result) broke(format string, args ...any) {
	res.Broken = append(res.Broken, fmt.Sprintf(format, args...))
}

func (q *request) ran() (times int) {
	for _, a := range q.arrivals {
		if a.ran {
			times++
		}
	}
	return times
}

// checkAnswer: each request taken has one whole final answer in time.
func (r *run) checkAnswer(res *Result, q *request) {
	n := r.nodes[q.node]
	switch q.how {
	case wrong:
		res.broke("lost: %s at %.3f was answered with what was made for another", q.id, q.sent.Seconds())
	case late:
		if n.served(q.sent, q.over) {
			res.broke("lost: %s at %.3f to node %d has no answer after %.3f s", q.id, q.sent.Seconds(), q.node, (q.over - q.sent).Seconds())
		}
	case ended:
		// An end between two requests may cross the next one, which never runs then. A new connection has no request before.
		if n.served(q.sent, q.over) && (q.fresh || len(q.arrivals) > 0) {
			res.broke("lost: %s at %.3f to node %d met the end of its connection after %.3f s, %d arrivals, new %v", q.id, q.sent.Seconds(), q.node,
				(q.over - q.sent).Seconds(), len(q.arrivals), q.fresh)
		}
	case refused:
		if q.class.effect == "once" && q.ran() > 0 {
			res.broke("duplicate: %s at %.3f was refused, which promises that it never ran, and ran", q.id, q.sent.Seconds())
		}
	}
}

// checkRuns: what must run once does not run twice, and keys are not repeated beyond their window.
func (r *run) checkRuns(res *Result, q *request) {
	first := time.Duration(-1)
	for _, a := range q.arrivals {
		switch {
		case !a.ran:
		case first < 0:
			first = a.at
		case q.class.effect == "once":
			res.broke("duplicate: %s ran at %.3f and at %.3f", q.id, first.Seconds(), a.at.Seconds())
		case q.class.effect == "by_key" && a.at-first > keyWindow+scheduling:
			res.broke("duplicate: %s ran again %.3f s later, beyond its window", q.id, (a.at - first).Seconds())
		}
	}
}

// checkArrival: no attempt begins at a backend that drains or is gone, for a client that has gone, or with more time than is left.
func (r *run) checkArrival(res *Result, q *request, a *arrival) {
	if over, c := r.members.sentTooLate(r.nodes[a.node], a); over > 0 {
		res.broke("drain: %s, sent at %.3f, went from node %d to backend %d at %.3f, %.3f s after the node counted as notified of version %d (%s at %.3f)", q.id,
			q.sent.Seconds(), a.node, a.backend, a.at.Seconds(), over.Seconds(), c.rev, c.state, c.at.Seconds())
		res.explain(r.nodes[a.node])
	}
	if q.how == left && a.at > q.over+goneMost+scheduling {
		res.broke("lost: %s began at backend %d %.3f s after its client had gone", q.id, a.backend, (a.at - q.over).Seconds())
	}
	leftOver := q.sent + q.class.deadline - a.at
	if a.told >= 0 && a.told-leftOver > deadlineOver+scheduling {
		res.broke("deadline: %s was told to have %.3f s with %.3f s left", q.id, a.told.Seconds(), leftOver.Seconds())
	}
}

// sentTooLate tells by how much an arrival is later than the rules allow after its node counted as notified that the backend drains or is gone; 0: it is not.
func (m *membership) sentTooLate(n *node, a *arrival) (worst time.Duration, broken change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.changes {
		if c.backend != a.backend || c.state == inService || c.rev == 1 {
			continue
		}
		notified, ok := m.notified(n, c)
		if !ok || a.at <= notified+drainGrace+slack+scheduling {
			continue
		}
		if over := a.at - notified; over > worst && !m.revived(n, c, a.at) {
			worst, broken = over, c
		}
	}
	return worst, broken
}

// notified is when a node counts as notified of a change: when an answer with it was written, or at the latest so long after discovery had it and
// could be reached.
func (m *membership) notified(n *node, c change) (time.Duration, bool) {
	at, ok := time.Duration(0), false
	for _, t := range m.told[n.index] {
		if t.rev >= c.rev && (!ok || t.at < at) {
			at, ok = t.at, true
		}
	}
	if latest, reached := n.reachedFor(notifiedWithin, c.at); reached && (!ok || latest < at) {
		at, ok = latest, true
	}
	return at, ok
}

// revived tells whether a later change has put the backend back in service, as the node had been told by then.
func (m *membership) revived(n *node, c change, by time.Duration) bool {
	for _, later := range m.changes {
		if later.backend != c.backend || later.rev <= c.rev || later.state != inService {
			continue
		}
		for _, t := range m.told[n.index] {
			if t.rev >= later.rev && t.begun <= by {
				return true
			}
		}
	}
	return false
}

// check: processes end in time, come back in time, and log nothing that must not be.
func (n *node) check(res *Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, l := range n.lives {
		if l.toldToEnd > 0 && (l.killed > 0 || l.ended-l.toldToEnd > stopWithin+scheduling) {
			res.broke("stop: process %d of node %d was told to end at %.3f and had not %.3f s later", i, n.index, l.toldToEnd.Seconds(), (stopWithin + scheduling).Seconds())
		}
		if l.killed == 0 && l.toldToEnd == 0 && l.ended > 0 {
			res.broke("crash: process %d of node %d ended by itself at %.3f", i, n.index, l.ended.Seconds())
		}
		end := max(l.killed, l.toldToEnd)
		if l.ready == 0 && end-l.began > readyWithin {
			res.broke("ready: process %d of node %d, started at %.3f, was not ready within %.0f s", i, n.index, l.began.Seconds(), readyWithin.Seconds())
		}
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	for _, line := range n.log.bad {
		res.broke("log of node %d: %s", n.index, line)
	}
}
