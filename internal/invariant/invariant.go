// Package invariant holds a run against the rules that every node must keep, whatever plays it: the lab in virtual time
// or stand-ins on sockets. It is told what happened, in order, and keeps each request's history until the request is
// over, so that a broken rule is reported with all that led to it.
package invariant

import (
	"fmt"
	"slices"
	"strings"

	"tulipglade/internal/balancer"
)

// Rule is one of the rules.
type Rule string

// The rules.
const (
	OneAnswer           Rule = "one-answer" // one final outcome for each request taken, in time, and none to others
	NoDuplicateRun      Rule = "no-second"  // nothing that may have run goes out again outside its class; never two at once
	NoSendToDrained     Rule = "no-drained" // nothing to a box later than the grace after the node was told that it goes
	NoSlowStartOverload Rule = "no-push"    // no cold box is sent more than a multiple of what it can do for a time
)

// Config holds the figures of the rules. Times are in µs.
type Config struct {
	Classes        []balancer.Class
	AnswerGrace    balancer.Span
	DrainGrace     balancer.Span
	OverloadFactor float64       // 0: cold boxes cannot be pushed over
	OverloadWindow balancer.Span //
	AllowHedging   bool
}

// Final is how a request ended for its client.
type Final uint8

// The three ends. A refusal promises that trying again does no harm.
const (
	Served Final = iota
	Rejected
	Failed
)

func (f Final) String() string { return [...]string{"served", "refused", "failed"}[f] }

// Backend is what the rules need to know of a box.
type Backend struct {
	ID         balancer.EndpointID
	Site, Rack int // racks are numbered over all sites
}

// Violation is a rule broken, with the history of the request concerned, if one is.
type Violation struct {
	Rule    Rule     `json:"rule"`
	At      int64    `json:"at_us"`
	Node    int      `json:"node"`
	Request uint64   `json:"request,omitempty"`
	What    string   `json:"what"`
	History []string `json:"history,omitempty"`
}

func (v Violation) String() string {
	s := fmt.Sprintf("%s at %.6f s, node %d: %s", v.Rule, float64(v.At)/1e6, v.Node, v.What)
	if len(v.History) > 0 {
		s += "\n    " + strings.Join(v.History, "\n    ")
	}
	return s
}

const (
	kept       = 20   // violations kept whole; the others are only counted
	remembered = 4096 // requests that are over and still known, so that what comes too late is told from what never was
)

type step struct {
	at      balancer.Time
	what    string
	attempt int
	box     balancer.EndpointID
}

type try struct {
	box   Backend
	at    balancer.Time
	open  bool
	maybe bool // may have run
}

type request struct {
	node     int
	class    int
	taken    balancer.Time
	deadline balancer.Time
	answered bool
	gone     bool
	over     bool
	tries    []try
	open     int
	history  []step
}

type pair struct {
	node int
	box  balancer.EndpointID
}

// told is what a node has heard of a box.
type told struct {
	goes    bool          // it drains or is gone
	goesAt  balancer.Time // since when
	started balancer.Time
}

// Checker is not safe for concurrent use.
type Checker struct {
	cfg    Config
	origin balancer.Time
	reqs   map[balancer.RequestID]*request
	told   map[pair]told
	cold   map[balancer.EndpointID]*budget
	counts map[Rule]int
	list   []Violation
	ended  []balancer.RequestID // over, the longest ago first; those past remembered are forgotten
	pool   []*request
}

// New returns a judge; origin is the instant that its reports count from.
func New(cfg Config, origin balancer.Time) *Checker {
	return &Checker{cfg: cfg, origin: origin, reqs: map[balancer.RequestID]*request{}, told: map[pair]told{},
		cold: map[balancer.EndpointID]*budget{}, counts: map[Rule]int{}}
}

// Broken counts the violations by rule.
func (j *Checker) Broken() map[Rule]int { return j.counts }

// Violations are the first of them, whole.
func (j *Checker) Violations() []Violation { return j.list }

// InFlight counts the requests that are not over.
func (j *Checker) InFlight() int {
	n := 0
	for _, r := range j.reqs {
		if !r.over {
			n++
		}
	}
	return n
}

func (j *Checker) broken(rule Rule, at balancer.Time, node int, id balancer.RequestID, r *request, format string, args ...any) {
	j.counts[rule]++
	if len(j.list) >= kept {
		return
	}
	v := Violation{Rule: rule, At: at - j.origin, Node: node, Request: uint64(id), What: fmt.Sprintf(format, args...)}
	if r != nil {
		for _, s := range r.history {
			line := fmt.Sprintf("%.6f s %s", float64(s.at-j.origin)/1e6, s.what)
			if s.attempt >= 0 {
				line += fmt.Sprintf(" (attempt %d, box %d)", s.attempt, s.box)
			}
			v.History = append(v.History, line)
		}
	}
	j.list = append(j.list, v)
}

func (r *request) note(at balancer.Time, what string, attempt int, box balancer.EndpointID) {
	r.history = append(r.history, step{at, what, attempt, box})
}

// RequestAccepted is a request that a node has taken.
func (j *Checker) RequestAccepted(now balancer.Time, node int, id balancer.RequestID, class int, deadline balancer.Time) {
	var r *request
	if n := len(j.pool); n > 0 {
		r, j.pool = j.pool[n-1], j.pool[:n-1]
	} else {
		r = &request{}
	}
	*r = request{node: node, class: class, taken: now, deadline: deadline, tries: r.tries[:0], history: r.history[:0]}
	r.note(now, "taken", -1, 0)
	j.reqs[id] = r
}

// AttemptSent is an attempt that a node sends.
func (j *Checker) AttemptSent(now balancer.Time, node int, id balancer.RequestID, b Backend) {
	if t, ok := j.told[pair{node, b.ID}]; ok && t.goes && now > t.goesAt+j.cfg.DrainGrace {
		defer func() {
			j.broken(NoSendToDrained, now, node, id, j.reqs[id], "box %d was sent to %d ms after the node was told that it goes",
				b.ID, (now-t.goesAt)/1000)
		}()
	}
	r := j.reqs[id]
	if r == nil {
		j.broken(OneAnswer, now, node, id, nil, "box %d was sent a request that ended long ago or was never taken", b.ID)
		return
	}
	r.note(now, "sent", len(r.tries), b.ID)
	if r.answered {
		j.broken(OneAnswer, now, node, id, r, "sent after its final answer")
	} else if r.gone {
		j.broken(OneAnswer, now, node, id, r, "sent after its client had left")
	}
	c := &j.cfg.Classes[r.class]
	for i := range r.tries {
		t := &r.tries[i]
		if t.open && !j.cfg.AllowHedging {
			j.broken(NoDuplicateRun, now, node, id, r, "sent while attempt %d was out", i)
		} else if t.open || t.maybe {
			if why := outside(c, t, b, now); why != "" {
				j.broken(NoDuplicateRun, now, node, id, r, "sent again although attempt %d may have run: %s", i, why)
				break
			}
		}
	}
	r.tries = append(r.tries, try{box: b, at: now, open: true, maybe: true})
	r.open++
}

// outside tells why a class does not allow a repeat of t at b, or nothing if it does.
func outside(c *balancer.Class, t *try, b Backend, now balancer.Time) string {
	switch {
	case c.Idempotency == balancer.Idempotent:
	case c.Idempotency == balancer.NonIdempotent:
		return "it must never run twice"
	case now-t.at > c.IdempotencyWindow:
		return "the time for which repeats are dropped is over"
	case c.KeyScope == balancer.ScopeZone && b.Site != t.box.Site:
		return "repeats are dropped within the site only"
	case c.KeyScope == balancer.ScopeCell && (b.Rack != t.box.Rack):
		return "repeats are dropped within the rack only"
	}
	return ""
}

// AttemptEnded is the end of an attempt, as the node was told.
func (j *Checker) AttemptEnded(now balancer.Time, id balancer.RequestID, attempt int, out balancer.Outcome) {
	r := j.reqs[id]
	if r == nil || attempt >= len(r.tries) || !r.tries[attempt].open {
		return
	}
	t := &r.tries[attempt]
	t.open, r.open = false, r.open-1
	t.maybe = out != balancer.OutcomeRejected && out != balancer.OutcomeConnectFailed && out != balancer.OutcomeNotSent
	r.note(now, outcomes[out], attempt, t.box.ID)
	j.forget(id, r)
}

var outcomes = map[balancer.Outcome]string{balancer.OutcomeOK: "outcome ok",
	balancer.OutcomeServerError: "outcome error", balancer.OutcomeRejected: "outcome full", balancer.OutcomeTimeout: "outcome timed out",
	balancer.OutcomeConnectFailed: "outcome not connected", balancer.OutcomeReset: "outcome reset",
	balancer.OutcomeCanceled: "outcome cancelled", balancer.OutcomeNotSent: "outcome moot"}

// RequestAnswered is the final answer that a node gives.
func (j *Checker) RequestAnswered(now balancer.Time, node int, id balancer.RequestID, how Final) {
	r := j.reqs[id]
	if r == nil {
		j.broken(OneAnswer, now, node, id, nil, "%s, though it ended long ago or was never taken", how)
		return
	}
	r.note(now, how.String(), -1, 0)
	switch c := &j.cfg.Classes[r.class]; {
	case r.answered:
		j.broken(OneAnswer, now, node, id, r, "answered a second time")
	case r.gone:
	case now > r.deadline+j.cfg.AnswerGrace:
		j.broken(OneAnswer, now, node, id, r, "answered %d ms after its deadline", (now-r.deadline)/1000)
	case how == Rejected && c.Idempotency != balancer.Idempotent && !(c.Idempotency == balancer.IdempotentByKey && c.KeyScope == balancer.ScopeAll):
		if i := slices.IndexFunc(r.tries, func(t try) bool { return t.open || t.maybe }); i >= 0 {
			j.broken(NoDuplicateRun, now, node, id, r, "refused although attempt %d may have run", i)
		}
	}
	r.answered = true
	j.forget(id, r)
}

// ClientDisconnected is a client that left: nothing more is owed to it.
func (j *Checker) ClientDisconnected(now balancer.Time, id balancer.RequestID) {
	if r := j.reqs[id]; r != nil && !r.answered {
		r.gone = true
		r.note(now, "client gone", -1, 0)
		j.forget(id, r)
	}
}

// NodeCrashed is a node that was killed: what it held and what it knew is void.
func (j *Checker) NodeCrashed(node int) {
	for id, r := range j.reqs {
		if r.node == node {
			delete(j.reqs, id)
		}
	}
	for p := range j.told {
		if p.node == node {
			delete(j.told, p)
		}
	}
}

func (j *Checker) forget(id balancer.RequestID, r *request) {
	if !(r.answered || r.gone) || r.open > 0 || r.over {
		return
	}
	r.over = true
	if j.ended = append(j.ended, id); len(j.ended) > remembered {
		if old := j.reqs[j.ended[0]]; old != nil {
			delete(j.reqs, j.ended[0])
			j.pool = append(j.pool, old)
		}
		j.ended = j.ended[1:]
	}
}

// NodeNotified is what a node hears of a box, or is deemed to have heard.
func (j *Checker) NodeNotified(now balancer.Time, node int, box balancer.EndpointID, phase balancer.Phase, started balancer.Time) {
	p := pair{node, box}
	t := j.told[p]
	t.started = max(started, 1)
	if phase == balancer.PhaseReady {
		t.goes = false
	} else if !t.goes {
		t.goes, t.goesAt = true, now
	}
	j.told[p] = t
}

// Close ends the run: whatever is still owed by then was never answered.
func (j *Checker) Close(now balancer.Time) {
	ids := make([]balancer.RequestID, 0, len(j.reqs))
	for id := range j.reqs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if r := j.reqs[id]; !r.answered && !r.gone && now > r.deadline+j.cfg.AnswerGrace {
			j.broken(OneAnswer, now, r.node, id, r, "never answered")
		}
	}
}

// budget is the work that has reached one cold box within the window.
type budget struct {
	started  balancer.Time
	arrivals []arrival
	work     float64 // of all arrivals kept
	knowing  float64 // of those from nodes that knew of the start
	broken   bool
}

type arrival struct {
	at       balancer.Time
	work     float64
	capacity float64
	knew     bool
}

// slack is how much more than the budget is put down to chance: so many times the largest piece of work in it.
const slack = 4

// AttemptReached is work (in µs of a core at speed 1) that came to a cold box, whether it took it or not. Capacity is what
// the box can do at the moment, in such µs for each µs.
func (j *Checker) AttemptReached(now balancer.Time, node int, box balancer.EndpointID, started balancer.Time, work, capacity float64) {
	if j.cfg.OverloadFactor <= 0 || j.cfg.OverloadWindow <= 0 {
		return
	}
	b := j.cold[box]
	if b == nil || b.started != started {
		b = &budget{started: started}
		j.cold[box] = b
	}
	knew := j.told[pair{node, box}].started == max(started, 1)
	b.arrivals = append(b.arrivals, arrival{now, work, capacity, knew})
	b.work += work
	if knew {
		b.knowing += work
	}
	for b.arrivals[0].at < now-j.cfg.OverloadWindow {
		a := b.arrivals[0]
		b.arrivals = b.arrivals[1:]
		b.work -= a.work
		if a.knew {
			b.knowing -= a.work
		}
	}
	if b.broken {
		return
	}
	mean, most := 0.0, 0.0
	for _, a := range b.arrivals {
		mean += a.capacity / float64(len(b.arrivals))
		most = max(most, a.work)
	}
	limit := j.cfg.OverloadFactor*mean*float64(j.cfg.OverloadWindow) + slack*most
	if b.work > limit && b.knowing > b.work*2/3 {
		b.broken = true
		j.broken(NoSlowStartOverload, now, node, 0, nil, "box %d, started %.1f s ago, was sent %.1f s of work within %.1f s; it could do %.1f s",
			box, float64(now-started)/1e6, b.work/1e6, float64(j.cfg.OverloadWindow)/1e6, mean*float64(j.cfg.OverloadWindow)/1e6)
	}
}

// Warm is a box that is cold no longer.
func (j *Checker) Warm(box balancer.EndpointID) { delete(j.cold, box) }
