package workload

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Answer is the result of one attempt, as the client classifies it.
type Answer uint8

// The possible answers. Unreachable means that no connection to a node was established, which proves that the attempt
// never ran.
const (
	Served Answer = iota
	Rejected
	Failed
	Timeout
	Unreachable
)

// String returns the name of the answer in results.
func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "timed-out", "unreachable"}[a]
}

// RetryPolicy is the retry policy of the platform's clients.
type RetryPolicy struct {
	clients *scenario.Clients
	seed    uint64
	classes []balancer.Class
}

// NewRetryPolicy returns the retry policy of a scenario's clients.
func NewRetryPolicy(sc *scenario.Scenario, seed uint64) *RetryPolicy {
	classes := sc.Config(0, make([]float64, len(sc.Tenants))).Classes
	return &RetryPolicy{clients: &sc.Clients, seed: seed, classes: classes}
}

// Timeout returns how long a client waits for the answer to an attempt, in µs. since is the time from when the call was
// due to the start of the attempt.
func (r *RetryPolicy) Timeout(call *Call, since eventqueue.Span) eventqueue.Span {
	deadline := r.classes[call.Class].Deadline
	return min(eventqueue.Span(r.clients.TimeoutShare*float64(deadline)), deadline-since)
}

// Next reports whether a client retries its call after an answer, and how long it waits before that. attempts is the
// number of attempts made so far, since the time since the call was due, and retryAfter the wait that the answer asked
// for; all times are in µs.
func (r *RetryPolicy) Next(
	call *Call, answer Answer, attempts int, since, retryAfter eventqueue.Span,
) (wait eventqueue.Span, retry bool) {
	class := &r.classes[call.Class]
	if answer == Served || attempts > r.clients.Retries || !r.mayRetry(class, answer, since) {
		return 0, false
	}
	wait = r.backoff(call, attempts, retryAfter)
	return wait, since+wait < class.Deadline
}

// mayRetry reports whether a retry is safe. Idempotent requests are retried after any failure, and so are requests with
// an idempotency key that all backends share, within the idempotency window. Other requests are retried only after a
// rejection, or if no node was reached. Clients that are set to retry any failure ignore these rules.
func (r *RetryPolicy) mayRetry(class *balancer.Class, answer Answer, since eventqueue.Span) bool {
	if answer == Rejected || answer == Unreachable || r.clients.RetryFailed {
		return true
	}
	switch class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentByKey:
		return class.KeyScope == balancer.ScopeAll && since < class.IdempotencyWindow
	default:
		return false
	}
}

// backoff draws the wait before the next attempt. Clients that heed Retry-After, a share that the scenario sets, wait
// at least as long as that header says, up to the scenario's limit.
func (r *RetryPolicy) backoff(call *Call, attempts int, retryAfter eventqueue.Span) eventqueue.Span {
	clients := r.clients
	draws := eventqueue.NewDraws(r.seed, call.Number<<8|uint64(attempts-1), drawRetry)
	millis := clients.Backoff * math.Pow(clients.Growth, float64(attempts-1))
	wait := eventqueue.Span(microsPerMilli * millis * (1 - clients.Jitter + clients.Jitter*draws.Exp()))
	if draws.Float64() < clients.HeedRetryAfter {
		wait = max(wait, min(retryAfter, eventqueue.Span(microsPerMilli*clients.MaxRetryAfter)))
	}
	return wait
}
