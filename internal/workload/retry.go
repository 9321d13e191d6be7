package workload

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Answer is what a client makes of one attempt.
type Answer uint8

// The answers. Unreachable is a node that could not be reached, which proves that the attempt never ran.
const (
	Served Answer = iota
	Rejected
	Failed
	Timeout
	Unreachable
)

// String returns the name that results have for it.
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

// Timeout is how long a client waits for an attempt that begins so long after its call was due, in µs.
func (r *RetryPolicy) Timeout(call *Call, since eventqueue.Span) eventqueue.Span {
	deadline := r.classes[call.Class].Deadline
	return min(eventqueue.Span(r.clients.TimeoutShare*float64(deadline)), deadline-since)
}

// Next reports whether a client retries its call, and after how long. Attempts are those made so far, since is the time
// since the call was due, and retryAfter what the answer advised; all times are in µs.
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

// mayRetry reports whether a retry does no harm. Idempotent requests are retried after any failure, and so are those whose
// key all backends know, within the idempotency window; others only after a rejection, or where no node was reached.
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

// backoff draws the wait before the next attempt. Some clients wait for at least as long as Retry-After says, up to a
// limit of theirs.
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
