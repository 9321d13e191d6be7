package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// outcome is what became of a client's request.
type outcome uint8

const (
	outcomePending      outcome = iota
	outcomeServed               // 200 with the answer to this request
	outcomeWrongAnswer          // 200 with anything else
	outcomeRejected             // 429 or 503
	outcomeFailed               // any other complete answer
	outcomeIncomplete           // the connection ended without a complete answer
	outcomeLate                 // nothing came in time
	outcomeDisconnected         // the client closed its connection first
	outcomeNotSent              // the connection broke before all was sent
)

// arrival is a request's head at a backend.
type arrival struct {
	at            time.Duration
	node, backend int
	announced     time.Duration // for how long the node says that it waits; negative: it does not say
	attemptRan    bool
}

// request is the record of a client's request.
type request struct {
	id          string
	node        int
	class       class
	firstOnConn bool
	connectedAt time.Duration // when its connection was opened
	sent        time.Duration
	finished    time.Duration
	outcome     outcome
	arrivals    []*arrival
}

// runs returns how often the request ran.
func (q *request) runs() (count int) {
	for _, a := range q.arrivals {
		if a.attemptRan {
			count++
		}
	}
	return count
}

// record is what clients and backends saw.
type record struct {
	mu       sync.Mutex
	requests map[string]*request
	unknown  []string // IDs that no client sent
}

func newRecord() *record { return &record{requests: map[string]*request{}} }

func (r *record) start(q *request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = at
	r.requests[q.id] = q
}

// requestSent records when the last byte of a request was sent.
func (r *record) requestSent(q *request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = at
}

func (r *record) finish(q *request, result outcome, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.outcome, q.finished = result, at
}

func (r *record) attemptArrived(id string, a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		r.unknown = append(r.unknown, id)
		return
	}
	q.arrivals = append(q.arrivals, a)
}

func (r *record) attemptRan(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.attemptRan = true
}

// sorted returns all requests by the time when they were sent. The caller holds the mutex.
func (r *record) sorted() []*request {
	all := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.sent, b.sent) })
	return all
}
