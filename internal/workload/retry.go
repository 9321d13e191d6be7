package workload

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Answer is what a client makes of one try.
type Answer uint8

// The answers. Unreachable is a node that could not be reached, which proves that the try never ran.
const (
	Served Answer = iota
	Rejected
	Failed
	Timeout
	Unreachable
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "timed-out", "unreachable"}[a]
}

// Retry decides on repeats, as the platform's clients do.
type Retry struct {
	sc      *scenario.Scenario
	seed    uint64
	classes []balancer.Class
}

// NewRetry returns what clients of the scenario do.
func NewRetry(sc *scenario.Scenario, seed uint64) *Retry {
	return &Retry{sc: sc, seed: seed, classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes}
}

// Timeout is how long a client waits for a try that begins so long after its call was due, in µs.
func (r *Retry) Timeout(c *Call, since eventqueue.Span) eventqueue.Span {
	whole := r.classes[c.Class].Deadline
	return min(eventqueue.Span(r.sc.Clients.TimeoutShare*float64(whole)), whole-since)
}

// Next tells whether a client repeats its call, and after how long. Tries are those made by now, since is the time from
// when the call was due, and retryIn what the answer advised; all times are in µs.
//
// What is safe to repeat is repeated after any failure, and so is what all boxes drop by key, within its window; the rest
// only after a refusal, or where no node was reached.
func (r *Retry) Next(c *Call, how Answer, tries int, since, retryIn eventqueue.Span) (wait eventqueue.Span, again bool) {
	s, class := &r.sc.Clients, &r.classes[c.Class]
	harmless := how == Rejected || how == Unreachable || s.RetryFailed || class.Idempotency == balancer.Idempotent ||
		class.Idempotency == balancer.IdempotentByKey && class.KeyScope == balancer.ScopeAll && since < class.IdempotencyWindow
	if !harmless || how == Served || tries > s.Retries {
		return 0, false
	}
	d := eventqueue.NewDraws(r.seed, c.Number<<8|uint64(tries-1), drawRetry)
	ms := s.Backoff * math.Pow(s.Growth, float64(tries-1))
	wait = eventqueue.Span(1000 * ms * (1 - s.Jitter + s.Jitter*d.Exp()))
	if d.Float64() < s.Heed {
		wait = max(wait, min(retryIn, eventqueue.Span(1000*s.MaxRetryAfter)))
	}
	return wait, since+wait < class.Deadline
}
