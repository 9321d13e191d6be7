// Package policy holds what the emulator can run in a node: the decision module itself, and reference policies to compare
// it with.
package policy

import (
	"fmt"
	"maps"
	"slices"

	"tulipglade/internal/balancer"
)

// Policy handles a node's events. Its decisions are calls of the Commands of its Env.
type Policy interface {
	HandleEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, a balancer.Request)
	HandleAttemptResult(now balancer.Time, s balancer.AttemptResult)
	HandleCancellation(now balancer.Time, id balancer.RequestID)
	HandleTimer(now balancer.Time, t balancer.TimerID)
	HandleHealthCheck(now balancer.Time, host balancer.EndpointID, out balancer.Outcome, took balancer.Span, r *balancer.LoadReport)
	HandlePeerMessage(now balancer.Time, from int, data []byte)
}

// Env is what a policy gets at the start of its node.
type Env struct {
	Config   balancer.Config
	Seed     uint64
	Node     int
	Commands balancer.Commands
	// Publish sends a datagram to another node, or to all others for -1. It may arrive late or never.
	Publish func(to int, data []byte)
	// OracleLatency is the time in µs after which an endpoint would answer a request sent now. No real node can know it.
	OracleLatency func(id balancer.EndpointID) float64
}

// Maker makes the policy of one node.
type Maker func(Env) (Policy, error)

// Module is the name of the decision module under test.
const Module = "tulipglade"

var makers = map[string]Maker{
	Module:              func(env Env) (Policy, error) { return balancer.New(env.Config, env.Seed, env.Commands) },
	"random":            referenceMaker(chooseRandom),
	"round-robin":       referenceMaker(chooseRoundRobin),
	"two-choices":       referenceMaker(chooseTwoChoices),
	"least-outstanding": referenceMaker(chooseLeastOutstanding),
	"least-shared":      func(env Env) (Policy, error) { return newSharedLoad(env), nil },
	"oracle":            referenceMaker(chooseByOracle),
}

// Names returns the names of all policies, sorted.
func Names() []string { return slices.Sorted(maps.Keys(makers)) }

// Find returns the maker of the policy of that name.
func Find(name string) (Maker, error) {
	if maker := makers[name]; maker != nil {
		return maker, nil
	}
	return nil, fmt.Errorf("policy %q is none of %v", name, Names())
}
