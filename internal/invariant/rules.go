package invariant

import "tulipglade/internal/balancer"

// Rule is one of the rules.
type Rule string

// The rules.
const (
	// OneAnswer: one final outcome for each accepted request, in time, and none for any other.
	OneAnswer Rule = "one-answer"
	// NoDuplicateRun: what may have run is sent again only as its class allows, and never while an attempt is in flight.
	NoDuplicateRun Rule = "no-second"
	// NoSendToDrained: nothing is sent to an endpoint later than the grace after the node was notified of its drain.
	NoSendToDrained Rule = "no-drained"
	// NoSlowStartOverload: no endpoint in slow start is sent more than a multiple of its capacity for some time.
	NoSlowStartOverload Rule = "no-push"
)

// Config holds the figures of the rules. Times are in µs.
type Config struct {
	Classes        []balancer.Class
	AnswerGrace    balancer.Span
	DrainGrace     balancer.Span
	OverloadFactor float64       // 0: endpoints in slow start cannot be overloaded
	OverloadWindow balancer.Span // over which the work sent is compared with the capacity
	AllowHedging   bool
}

// Final is how a request ended for its client.
type Final uint8

// The three ends. A rejection promises that a retry does no harm.
const (
	Served Final = iota
	Rejected
	Failed
)

// String returns the name that results have for it.
func (f Final) String() string { return [...]string{"served", "refused", "failed"}[f] }

// Backend is what the rules need to know of an endpoint.
type Backend struct {
	ID   balancer.EndpointID
	Site int
	Rack int // numbered over all sites
}
