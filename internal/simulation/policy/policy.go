// Package policy holds the load balancing policies that the emulator can run in a node: the decision module under test
// and the reference policies to which it is compared.
package policy

import (
	"fmt"
	"maps"
	"slices"

	"tulipglade/internal/balancer"
)

// Policy handles the events of a node. It carries out its decisions by calling the Commands of its Env.
type Policy interface {
	HandleEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, a balancer.Request)
	HandleAttemptResult(now balancer.Time, s balancer.AttemptResult)
	HandleCancellation(now balancer.Time, id balancer.RequestID)
	HandleTimer(now balancer.Time, t balancer.TimerID)
	HandleHealthCheck(now balancer.Time, host balancer.EndpointID, out balancer.Outcome, took balancer.Span, r *balancer.LoadReport)
	HandlePeerMessage(now balancer.Time, from int, data []byte)
}

// Env holds the configuration and the functions that a policy is given when its node starts.
type Env struct {
	Config   balancer.Config
	Seed     uint64
	Node     int
	Commands balancer.Commands
	// Publish sends a datagram to the node with the index to, or to all other nodes if to is -1. The datagram may
	// arrive late or be lost.
	Publish func(to int, data []byte)
	// OracleLatency returns the time in µs that an endpoint would take to answer a request that is sent now. A real
	// node can't know it.
	OracleLatency func(id balancer.EndpointID) float64
}

// Maker creates the policy of one node.
type Maker func(Env) (Policy, error)

// Module is the name of the policy that runs the decision module under test.
const Module = "tulipglade"

// makers holds the maker of each policy by the name of the policy.
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

// Find returns the maker of the policy with the given name. The error for an unknown name lists all names.
func Find(name string) (Maker, error) {
	if maker := makers[name]; maker != nil {
		return maker, nil
	}
	return nil, fmt.Errorf("policy %q is none of %v", name, Names())
}
