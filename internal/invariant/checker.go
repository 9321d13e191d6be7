// Package invariant checks a run against the rules that every node must keep, whether the run is an emulation in virtual
// time or one against fakes on sockets. The checker receives events in their order and keeps each request's history until
// the request has ended, so that a violation is reported with what led to it.
package invariant

import (
	"slices"

	"tulipglade/internal/balancer"
)

// maxCompleted is how many completed requests are known at once, so that a late event is told from one of an unknown
// request.
const maxCompleted = 4096

// request is what the checker knows of one request.
type request struct {
	node         int
	class        int
	deadline     balancer.Time
	answered     bool
	disconnected bool // the client is gone
	completed    bool // answered or disconnected, with no attempt in flight
	attempts     []attempt
	inFlight     int // attempts
	history      []step
}

type attempt struct {
	backend    Backend
	sentAt     balancer.Time
	inFlight   bool
	mayHaveRun bool
}

func (r *request) appendStep(at balancer.Time, event string, attemptIndex int, endpoint balancer.EndpointID) {
	r.history = append(r.history, step{at, event, attemptIndex, endpoint})
}

// nodeEndpoint is an endpoint as one node knows it.
type nodeEndpoint struct {
	node     int
	endpoint balancer.EndpointID
}

// notification is what a node has been notified of about an endpoint.
type notification struct {
	draining      bool // or removed
	drainingSince balancer.Time
	startedAt     balancer.Time
}

// Checker holds a run against the rules. It is not safe for concurrent use.
type Checker struct {
	config        Config
	origin        balancer.Time
	requests      map[balancer.RequestID]*request
	notifications map[nodeEndpoint]notification
	slowStarts    map[balancer.EndpointID]*workWindow
	counts        map[Rule]int
	violations    []Violation
	completed     []balancer.RequestID // the oldest first; those beyond maxCompleted are forgotten
	freeRequests  []*request           // for reuse
}

// New returns a checker; origin is the instant that its reports count from.
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

// ViolationCounts counts the violations by rule.
func (c *Checker) ViolationCounts() map[Rule]int { return c.counts }

// Violations are the first violations, with their histories.
func (c *Checker) Violations() []Violation { return c.violations }

// InFlight counts the requests that have not ended.
func (c *Checker) InFlight() int {
	count := 0
	for _, r := range c.requests {
		if !r.completed {
			count++
		}
	}
	return count
}

// RequestAccepted records a request that a node has accepted.
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

// AttemptSent checks an attempt that a node sends.
func (c *Checker) AttemptSent(now balancer.Time, node int, id balancer.RequestID, backend Backend) {
	where := occurrence{now, node, id, c.requests[id]}
	if where.request == nil {
		c.reportViolation(OneAnswer, where, "endpoint %d was sent a request that ended long ago or was never accepted", backend.ID)
	} else {
		c.checkAttempt(where, backend)
	}
	c.checkDrain(where, backend.ID)
}

// checkAttempt checks an attempt against the state of its request, and records it.
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

// checkDrain checks that the node has not known for longer than the grace that the endpoint is draining or removed.
func (c *Checker) checkDrain(where occurrence, endpoint balancer.EndpointID) {
	known, ok := c.notifications[nodeEndpoint{where.node, endpoint}]
	if ok && known.draining && where.at > known.drainingSince+c.config.DrainGrace {
		c.reportViolation(NoSendToDrained, where, "endpoint %d was sent to %d ms after the node was notified of its drain",
			endpoint, (where.at-known.drainingSince)/microsPerMilli)
	}
}

// retryForbidden returns why the class does not allow an attempt at the backend after an earlier one that may have run;
// empty: it does.
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

// AttemptEnded records the outcome of an attempt, as the node knows it.
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

// outcomeSteps are the outcomes in a request's history.
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

// RequestAnswered checks the final answer that a node gives.
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

// clientMayRetry reports whether a client's retry does no harm even if the request has run: whichever endpoint gets the
// retry, it runs the request again without effect, or knows the key.
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

// ClientDisconnected records that a client is gone: it is owed no answer.
func (c *Checker) ClientDisconnected(now balancer.Time, id balancer.RequestID) {
	if r := c.requests[id]; r != nil && !r.answered {
		r.disconnected = true
		r.appendStep(now, "client disconnected", noAttempt, 0)
		c.completeIfEnded(id, r)
	}
}

// NodeCrashed forgets the requests that a node had accepted and the notifications that it had received.
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

// completeIfEnded marks a request of which nothing more is expected, and forgets the one that ended the longest ago.
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

// NodeNotified records what a node is notified of about an endpoint, or counts as having been notified of.
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

// Close ends the run: requests past their deadline that are still owed an answer are violations.
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
