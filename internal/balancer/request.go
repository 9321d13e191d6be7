package balancer

// The state of open requests and their attempts.

import (
	"math"

	"tulipglade/internal/safety"
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	endpoint   *endpointState
	zone, cell int // of the endpoint when the attempt was sent
	sentAt     Time
	inFlight   bool
	mayHaveRun bool
	predicted  latencyPrediction
}

// openRequest is an open request: one without a final answer, or with attempts in flight.
type openRequest struct {
	id               RequestID
	class, tenant    int
	affinityKey      uint64  // 0: endpoints do no less work for a known key
	logHintRatio     float64 // logarithm of the client's cost hint as a multiple of the usual one
	relativeWork     float64 // expected work as a multiple of what is usual in its class
	objectiveAt      Time    // an answer by then has its full value
	halfTimeAt       Time    // half of its time has passed by then
	deadline         Time
	attempts         []attempt
	attemptsInFlight int
	maxAttempts      int // by the configuration under which it came
	queued           bool
	done             bool // it has a final answer, or needs none
	responseStarted  bool
	uploading        bool             // its attempt is in flight, but the endpoint does not work on it yet
	candidates       []*endpointState // selected for it, and asked for their load
	checkedAt        Time             // when these were sent health checks
	waitUntil        Time             // it waits for their answers, or for the next selection
}

// newRequest sets up the state of a request that has just come.
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

// closeRequest ends a request. Attempts in flight are of no more use, but end by themselves: a canceled one
// would leave the counts while its endpoint still works on it, and the next would need a new connection.
func (b *Balancer) closeRequest(request *openRequest) {
	request.done, request.queued = true, false
	b.deleteIfComplete(request)
}

func (b *Balancer) deleteIfComplete(request *openRequest) {
	if request.done && request.attemptsInFlight == 0 {
		delete(b.requests, request.id)
	}
}

// provesNotRun tells whether an outcome proves that its attempt never ran.
func provesNotRun(outcome Outcome) bool {
	return outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent
}

// firstThatMayHaveRun returns the first of these attempts that may have run or is still in flight, or nil.
func firstThatMayHaveRun(attempts []attempt) *safety.PriorAttempt {
	for i := range attempts {
		if a := &attempts[i]; a.inFlight || a.mayHaveRun {
			return &safety.PriorAttempt{SentAt: a.sentAt, Zone: a.zone, Cell: a.cell}
		}
	}
	return nil
}
