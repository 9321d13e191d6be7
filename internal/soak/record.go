package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// outcome is the outcome of a request as its client saw it.
type outcome uint8

const (
	outcomePending      outcome = iota
	outcomeServed               // 200 with the answer to this request
	outcomeWrongAnswer          // 200 with any other body
	outcomeRejected             // 429 or 503
	outcomeFailed               // any other complete answer
	outcomeIncomplete           // the connection ended without a complete answer
	outcomeLate                 // no complete answer arrived before the end of the answer grace
	outcomeDisconnected         // the client closed its connection first
	outcomeNotSent              // the connection ended before the request was completely sent
)

// arrival records that the head of a request arrived at a backend.
type arrival struct {
	at            time.Duration // when the kernel had received it, however late this process has recorded it
	node, backend int
	announced     time.Duration // timeout that the node announced; negative if it announced none
	attemptRan    bool          // whether the backend ran the request
}

// request is the record of a client's request.
type request struct {
	id          string
	node        int
	class       class
	firstOnConn bool          // whether it was the first request on its connection
	connectedAt time.Duration // when the client began to open its connection
	sent        time.Duration // when its last byte was sent; until then, when sending began
	finished    time.Duration
	outcome     outcome
	arrivals    []*arrival
}

// runs returns the number of times that the request ran.
func (q *request) runs() (count int) {
	for _, a := range q.arrivals {
		if a.attemptRan {
			count++
		}
	}
	return count
}

// record is the record of the requests that clients sent and of their arrivals at backends.
type record struct {
	mu       sync.Mutex
	requests map[string]*request
	unknown  []string // IDs that arrived at backends but that no client sent
}

func newRecord() *record { return &record{requests: map[string]*request{}} }

// start records that a client begins to send a request.
func (r *record) start(q *request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = at
	r.requests[q.id] = q
}

// requestSent records the time at which the last byte of a request was sent.
func (r *record) requestSent(q *request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = at
}

// finish records the outcome of a request and its time.
func (r *record) finish(q *request, result outcome, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.outcome, q.finished = result, at
}

// attemptArrived records the arrival of a request's head at a backend.
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

// attemptRan records that a backend ran the request of an arrival.
func (r *record) attemptRan(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.attemptRan = true
}

// sorted returns all requests in the order in which they were sent. The caller holds the mutex.
func (r *record) sorted() []*request {
	all := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.sent, b.sent) })
	return all
}
