package invariant

import "tulipglade/internal/balancer"

// Rule is the name of an invariant, as it appears in reports.
type Rule string

// The rules that the checker enforces.
const (
	// OneAnswer: each accepted request gets exactly one final answer, in time; no other request gets an answer.
	OneAnswer Rule = "one-answer"
	// NoDuplicateRun: a request that may have run is sent again only if its class allows it, and, unless hedging is
	// allowed, never while an attempt is in flight.
	NoDuplicateRun Rule = "no-second"
	// NoSendToDrained: a node sends no attempt to a draining or removed endpoint once the drain grace has passed since
	// the node was notified.
	NoSendToDrained Rule = "no-drained"
	// NoSlowStartOverload: the work sent to an endpoint in slow start within a time window does not exceed a multiple
	// of the endpoint's capacity.
	NoSlowStartOverload Rule = "no-push"
)

// Config holds the parameters of the rules. Times are in µs.
type Config struct {
	Classes        []balancer.Class
	AnswerGrace    balancer.Span
	DrainGrace     balancer.Span
	OverloadFactor float64       // multiple of the capacity; 0 disables NoSlowStartOverload
	OverloadWindow balancer.Span // period over which work and capacity are compared; 0 disables the rule too
	AllowHedging   bool
}

// Final is the outcome of a request as its client sees it.
type Final uint8

// The final outcomes. A rejection promises the client that it may safely retry the request.
const (
	Served Final = iota
	Rejected
	Failed
)

// String returns the outcome's name in result files.
func (f Final) String() string { return [...]string{"served", "refused", "failed"}[f] }

// Backend identifies an endpoint and its location, as far as the rules need them.
type Backend struct {
	ID   balancer.EndpointID
	Site int
	Rack int // unique across all sites
}
