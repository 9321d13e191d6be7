// Package invariant checks that the nodes in a test run obey the rules that hold for every node. The run may be an
// emulation in virtual time or a run against fakes on sockets. The checker receives the events of the run in order. It
// keeps the history of each request until the request has ended, so that the report of a violation includes the events
// that led to it.
package invariant

import (
	"slices"

	"tulipglade/internal/balancer"
)

// maxCompleted is the number of completed requests that the checker remembers. They let it distinguish a late event of
// a completed request from an event of an unknown request.
const maxCompleted = 4096

// request is the state that the checker tracks for one request.
type request struct {
	node         int
	class        int
	deadline     balancer.Time
	answered     bool
	disconnected bool // the client disconnected before an answer
	completed    bool // answered or disconnected, with no attempt in flight
	attempts     []attempt
	inFlight     int // number of attempts in flight
	history      []step
}

// attempt is one attempt to send a request to a backend.
type attempt struct {
	backend    Backend
	sentAt     balancer.Time
	inFlight   bool
	mayHaveRun bool
}

// appendStep adds an event to the request's history. For an event that concerns no attempt, attemptIndex is noAttempt.
func (r *request) appendStep(at balancer.Time, event string, attemptIndex int, endpoint balancer.EndpointID) {
	r.history = append(r.history, step{at, event, attemptIndex, endpoint})
}

// nodeEndpoint identifies an endpoint on one node; it is the key of notifications.
type nodeEndpoint struct {
	node     int
	endpoint balancer.EndpointID
}

// notification is the latest information about an endpoint that a node has been notified of.
type notification struct {
	draining      bool // the endpoint is draining or removed
	drainingSince balancer.Time
	startedAt     balancer.Time
}

// Checker checks the events of a run against the rules. It is not safe for concurrent use.
type Checker struct {
	config        Config
	origin        balancer.Time
	requests      map[balancer.RequestID]*request
	notifications map[nodeEndpoint]notification
	slowStarts    map[balancer.EndpointID]*workWindow
	counts        map[Rule]int
	violations    []Violation
	completed     []balancer.RequestID // oldest first; at most maxCompleted are remembered
	freeRequests  []*request           // forgotten requests, reused for new ones
}

// New returns a checker. Times in its reports are relative to origin.
func New(config Config, origin balancer.Time) *Checker {
	return &Checker{
		config:        config,
		origin:        origin,
		requests:      map[balancer.RequestID]*request{},
		notifications: map[nodeEndpoint]notification{},
		slowStarts:    map[balancer.EndpointID]*workWindow{},
		counts:        map[Rule]int{},
	}
}

// ViolationCounts returns the number of violations of each rule.
func (c *Checker) ViolationCounts() map[Rule]int { return c.counts }

// Violations returns the first maxViolations violations, with their histories.
func (c *Checker) Violations() []Violation { return c.violations }

// InFlight returns the number of accepted requests that have not completed: the client is neither answered nor gone, or
// an attempt is still in flight.
func (c *Checker) InFlight() int {
	count := 0
	for _, r := range c.requests {
		if !r.completed {
			count++
		}
	}
	return count
}

// RequestAccepted records that a node has accepted a request.
func (c *Checker) RequestAccepted(now balancer.Time, node int, id balancer.RequestID, class int, deadline balancer.Time) {
	var r *request
	if n := len(c.freeRequests); n > 0 {
		r = c.freeRequests[n-1]
		c.freeRequests = c.freeRequests[:n-1]
	} else {
		r = &request{}
	}
	*r = request{
		node:     node,
		class:    class,
		deadline: deadline,
		attempts: r.attempts[:0],
		history:  r.history[:0],
	}
	r.appendStep(now, "accepted", noAttempt, 0)
	c.requests[id] = r
}

// AttemptSent checks and records an attempt that a node sends to a backend.
func (c *Checker) AttemptSent(now balancer.Time, node int, id balancer.RequestID, backend Backend) {
	where := occurrence{now, node, id, c.requests[id]}
	if where.request == nil {
		c.reportViolation(OneAnswer, where, "endpoint %d was sent a request that ended long ago or was never accepted", backend.ID)
	} else {
		c.checkAttempt(where, backend)
	}
	c.checkDrain(where, backend.ID)
}

// checkAttempt checks an attempt against the state of its request and adds it to the request's attempts.
func (c *Checker) checkAttempt(where occurrence, backend Backend) {
	r := where.request
	r.appendStep(where.at, "sent", len(r.attempts), backend.ID)
	if r.answered {
		c.reportViolation(OneAnswer, where, "sent after its final answer")
	} else if r.disconnected {
		c.reportViolation(OneAnswer, where, "sent after its client had disconnected")
	}
	class := &c.config.Classes[r.class]
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if earlier.inFlight && !c.config.AllowHedging {
			c.reportViolation(NoDuplicateRun, where, "sent while attempt %d was in flight", i)
		} else if earlier.inFlight || earlier.mayHaveRun {
			if reason := retryForbidden(class, earlier, backend, where.at); reason != "" {
				c.reportViolation(NoDuplicateRun, where, "sent again although attempt %d may have run: %s", i, reason)
				break
			}
		}
	}
	r.attempts = append(r.attempts, attempt{backend: backend, sentAt: where.at, inFlight: true, mayHaveRun: true})
	r.inFlight++
}

// checkDrain checks an attempt at an endpoint that is draining or removed: it is a violation if the node was notified
// of the drain longer ago than the drain grace.
func (c *Checker) checkDrain(where occurrence, endpoint balancer.EndpointID) {
	known, ok := c.notifications[nodeEndpoint{where.node, endpoint}]
	if ok && known.draining && where.at > known.drainingSince+c.config.DrainGrace {
		c.reportViolation(NoSendToDrained, where, "endpoint %d was sent to %d ms after the node was notified of its drain",
			endpoint, (where.at-known.drainingSince)/microsPerMilli)
	}
}

// retryForbidden returns the reason why the class forbids an attempt at the backend after an earlier attempt that may
// have run, or an empty string if the class allows it.
func retryForbidden(class *balancer.Class, earlier *attempt, backend Backend, now balancer.Time) string {
	switch {
	case class.Idempotency == balancer.Idempotent:
	case class.Idempotency == balancer.NonIdempotent:
		return "it is not idempotent"
	case now-earlier.sentAt > class.IdempotencyWindow:
		return "the idempotency window has expired"
	case class.KeyScope == balancer.ScopeZone && backend.Site != earlier.backend.Site:
		return "keys are known within the site only"
	case class.KeyScope == balancer.ScopeCell && backend.Rack != earlier.backend.Rack:
		return "keys are known within the rack only"
	}
	return ""
}

// AttemptEnded records the outcome of an attempt as the node observed it.
func (c *Checker) AttemptEnded(now balancer.Time, id balancer.RequestID, attemptIndex int, outcome balancer.Outcome) {
	r := c.requests[id]
	if r == nil || attemptIndex >= len(r.attempts) || !r.attempts[attemptIndex].inFlight {
		return
	}
	a := &r.attempts[attemptIndex]
	a.inFlight = false
	r.inFlight--
	switch outcome {
	case balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeNotSent:
		a.mayHaveRun = false
	default:
		a.mayHaveRun = true
	}
	r.appendStep(now, outcomeSteps[outcome], attemptIndex, a.backend.ID)
	c.completeIfEnded(id, r)
}

// outcomeSteps maps each outcome of an attempt to its text in a request's history.
var outcomeSteps = map[balancer.Outcome]string{
	balancer.OutcomeOK:            "outcome ok",
	balancer.OutcomeServerError:   "outcome error",
	balancer.OutcomeRejected:      "outcome rejected",
	balancer.OutcomeTimeout:       "outcome timeout",
	balancer.OutcomeConnectFailed: "outcome connect failed",
	balancer.OutcomeReset:         "outcome reset",
	balancer.OutcomeCanceled:      "outcome canceled",
	balancer.OutcomeNotSent:       "outcome not sent",
}

// RequestAnswered checks and records the final answer that a node sends to the client of a request.
func (c *Checker) RequestAnswered(now balancer.Time, node int, id balancer.RequestID, final Final) {
	r := c.requests[id]
	where := occurrence{now, node, id, r}
	if r == nil {
		c.reportViolation(OneAnswer, where, "%s, though it ended long ago or was never accepted", final)
		return
	}
	r.appendStep(now, final.String(), noAttempt, 0)
	switch {
	case r.answered:
		c.reportViolation(OneAnswer, where, "answered a second time")
	case r.disconnected:
	case now > r.deadline+c.config.AnswerGrace:
		c.reportViolation(OneAnswer, where, "answered %d ms after its deadline", (now-r.deadline)/microsPerMilli)
	case final == Rejected && !clientMayRetry(&c.config.Classes[r.class]):
		index := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.inFlight || a.mayHaveRun })
		if index >= 0 {
			c.reportViolation(NoDuplicateRun, where, "rejected although attempt %d may have run", index)
		}
	}
	r.answered = true
	c.completeIfEnded(id, r)
}

// clientMayRetry reports whether a client may safely retry a request that has already run. That is so if a second run
// has no further effect, or if every endpoint recognizes the idempotency key.
func clientMayRetry(class *balancer.Class) bool {
	switch class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentByKey:
		return class.KeyScope == balancer.ScopeAll
	default:
		return false
	}
}

// ClientDisconnected records that the client of a request has disconnected, so that the node need not answer it.
func (c *Checker) ClientDisconnected(now balancer.Time, id balancer.RequestID) {
	if r := c.requests[id]; r != nil && !r.answered {
		r.disconnected = true
		r.appendStep(now, "client disconnected", noAttempt, 0)
		c.completeIfEnded(id, r)
	}
}

// NodeCrashed records the crash of a node. The checker forgets the node's accepted requests and its notifications.
func (c *Checker) NodeCrashed(node int) {
	for id, r := range c.requests {
		if r.node == node {
			delete(c.requests, id)
		}
	}
	for key := range c.notifications {
		if key.node == node {
			delete(c.notifications, key)
		}
	}
}

// completeIfEnded marks a request as completed if it has ended and has no attempt in flight. If more than maxCompleted
// requests are then remembered, it forgets the one that completed first.
func (c *Checker) completeIfEnded(id balancer.RequestID, r *request) {
	ended := r.answered || r.disconnected
	if !ended || r.inFlight > 0 || r.completed {
		return
	}
	r.completed = true
	c.completed = append(c.completed, id)
	if len(c.completed) <= maxCompleted {
		return
	}
	oldest := c.completed[0]
	c.completed = c.completed[1:]
	if r := c.requests[oldest]; r != nil {
		delete(c.requests, oldest)
		c.freeRequests = append(c.freeRequests, r)
	}
}

// NodeNotified records that a node has been notified of an endpoint's phase and start time, or that the rules treat it
// as notified from now on.
func (c *Checker) NodeNotified(
	now balancer.Time, node int, endpoint balancer.EndpointID, phase balancer.Phase, startedAt balancer.Time,
) {
	key := nodeEndpoint{node, endpoint}
	known := c.notifications[key]
	known.startedAt = max(startedAt, 1)
	if phase == balancer.PhaseReady {
		known.draining = false
	} else if !known.draining {
		known.draining = true
		known.drainingSince = now
	}
	c.notifications[key] = known
}

// Close ends the run. It reports a violation for each unanswered request whose deadline and answer grace have passed.
func (c *Checker) Close(now balancer.Time) {
	ids := make([]balancer.RequestID, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests[id]
		if !r.answered && !r.disconnected && now > r.deadline+c.config.AnswerGrace {
			c.reportViolation(OneAnswer, occurrence{now, r.node, id, r}, "never answered")
		}
	}
}
