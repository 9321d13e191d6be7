package balancer

// The state of open requests and their attempts.

import (
	"math"

	"tulipglade/internal/safety"
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint   *endpointState
	zone, cell int // location of the endpoint when the attempt was sent
	sentAt     Time
	inFlight   bool
	mayHaveRun bool // no outcome proves that it was never executed
	predicted  latencyPrediction
}

// openRequest is the state of an open request, one that has no final answer or has attempts in flight.
type openRequest struct {
	id               RequestID
	class, tenant    int
	affinityKey      uint64  // 0: none, or KeyAffinity is not configured
	logHintRatio     float64 // logarithm of the client's cost hint relative to the usual hint
	relativeWork     float64 // expected work relative to the mean of its class
	objectiveAt      Time    // latest time at which an answer has its full value
	halfTimeAt       Time    // midpoint between its arrival and its deadline
	deadline         Time
	attempts         []attempt
	attemptsInFlight int
	maxAttempts      int  // from the configuration at its arrival
	queued           bool // it waits for a slot
	done             bool // it has a final answer, or does not need one
	responseStarted  bool
	responsePartial  bool             // the node holds back the first part of a response of unknown length
	uploading        bool             // its attempt is sent while the node still receives it
	candidates       []*endpointState // selected endpoints; sent health checks if these are in use
	checkedAt        Time             // when the health checks were sent
	waitUntil        Time             // end of its wait for the answers, or for the next selection
}

// newRequest returns the state of a request that has just arrived.
func (b *Balancer) newRequest(incoming Request) *openRequest {
	class := &b.classes[incoming.Class]
	request := &openRequest{
		id:           incoming.ID,
		class:        incoming.Class,
		tenant:       incoming.Tenant % len(b.tenants),
		deadline:     incoming.Deadline,
		maxAttempts:  b.config.MaxAttempts,
		logHintRatio: class.hints.observe(incoming.CostHint),
	}
	request.relativeWork = math.Exp(request.logHintRatio * class.hints.slope())
	if b.config.KeyAffinity {
		request.affinityKey = incoming.AffinityKey
	}
	objective := b.config.Classes[incoming.Class].LatencyObjective
	request.objectiveAt = min(b.estimateFirstAttemptAt(incoming)+objective, request.deadline)
	request.halfTimeAt = b.now + (incoming.Deadline-b.now)/2
	return request
}

// closeRequest ends a request. Its attempts in flight are no longer needed, but closeRequest does not cancel
// them: a canceled attempt would no longer be counted although its endpoint may still work on it, and the
// next attempt would need a new connection.
func (b *Balancer) closeRequest(request *openRequest) {
	request.done, request.queued = true, false
	b.deleteIfComplete(request)
}

// deleteIfComplete deletes a request that is done and has no attempts in flight.
func (b *Balancer) deleteIfComplete(request *openRequest) {
	if request.done && request.attemptsInFlight == 0 {
		delete(b.requests, request.id)
	}
}

// provesNotRun reports whether an outcome proves that the attempt was never executed.
func provesNotRun(outcome Outcome) bool {
	return outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent
}

// firstThatMayHaveRun returns the first of the attempts that is in flight or may have been executed, or nil
// if there is none.
func firstThatMayHaveRun(attempts []attempt) *safety.PriorAttempt {
	for i := range attempts {
		if a := &attempts[i]; a.inFlight || a.mayHaveRun {
			return &safety.PriorAttempt{SentAt: a.sentAt, Zone: a.zone, Cell: a.cell}
		}
	}
	return nil
}
