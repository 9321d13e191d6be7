package emulator

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/policy"
)

// broken wraps a correct policy to violate one invariant.
type broken struct {
	policy.Policy
	balancer.Commands
	env              policy.Env
	violation        string
	listCount        int
	initialEndpoints []balancer.EndpointID // of the first list
	warmingEndpoint  balancer.EndpointID
	classes          map[balancer.RequestID]int
}

func brokenPolicy(violation string) policy.Maker {
	return func(e policy.Env) (policy.Policy, error) {
		b := &broken{Commands: e.Commands, env: e, violation: violation, classes: map[balancer.RequestID]int{}}
		e.Commands = b
		m, err := policy.Find("least-outstanding")
		if err != nil {
			return nil, err
		}
		b.Policy, err = m(e)
		return b, err
	}
}

func (b *broken) HandleEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Endpoint) {
	for _, endpoint := range list {
		if b.listCount < 1 {
			b.initialEndpoints = append(b.initialEndpoints, endpoint.ID)
		}
		if endpoint.StartedAt > 0 && endpoint.Phase == balancer.PhaseReady {
			b.warmingEndpoint = endpoint.ID
		}
	}
	b.listCount++
	b.Policy.HandleEndpoints(now, kind, list)
}

func (b *broken) HandleRequest(now balancer.Time, request balancer.Request) {
	b.classes[request.ID] = request.Class
	switch {
	case b.violation == "drops requests" && request.ID%50 == 0:
		return
	case b.violation == "hedges without permission" && request.ID%50 == 0:
		b.Commands.SendAttempt(request.ID, b.initialEndpoints[0], 0)
		b.Commands.SendAttempt(request.ID, b.initialEndpoints[1], 0)
		return
	}
	b.Policy.HandleRequest(now, request)
}

func (b *broken) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	switch {
	case b.violation == "ignores draining":
		endpoint = b.initialEndpoints[int(id)%len(b.initialEndpoints)]
	case b.violation == "overloads a warming endpoint" && b.warmingEndpoint != 0:
		endpoint = b.warmingEndpoint
	}
	b.Commands.SendAttempt(id, endpoint, timeout)
}

func (b *broken) Fail(id balancer.RequestID) {
	switch b.violation {
	case "retries non-idempotent requests":
		if b.env.Config.Classes[b.classes[id]].Idempotency == balancer.NonIdempotent {
			b.Commands.SendAttempt(id, b.initialEndpoints[int(id)%len(b.initialEndpoints)], 0)
		}
	case "rejects requests that may have run":
		b.Commands.Reject(id, 0)
		return
	}
	b.Commands.Fail(id)
}

func (b *broken) Reject(id balancer.RequestID, retryIn balancer.Span) {
	b.Commands.Reject(id, retryIn)
	if b.violation == "answers twice" {
		b.Commands.Fail(id)
	}
}

// The checker must be able to fail a run: each violation is detected under its rule's name, with the request's history, and
// the correct policy passes.
func TestCheckerDetectsEachBrokenPolicy(t *testing.T) {
	sc := parseScenario(t, `
seconds = 12.0
[load]
level = 0.8
[[fault]]
kind = "drain"
boxes = [1, 4]
at_ms = 2000
[[fault]]
kind = "kill"
boxes = [2]
at_ms = 2000
for_ms = 1500
[[fault]]
kind = "fast-errors"
boxes = [0, 3, 7]
at_ms = 4000
for_ms = 6000
[[fault]]
kind = "slow"
boxes = [5, 6, 8, 9, 10, 11]
at_ms = 5000
size = 9.0
`)
	for violation, rule := range map[string]invariant.Rule{
		"":                                   "",
		"answers twice":                      invariant.OneAnswer,
		"drops requests":                     invariant.OneAnswer,
		"retries non-idempotent requests":    invariant.NoDuplicateRun,
		"rejects requests that may have run": invariant.NoDuplicateRun,
		"hedges without permission":          invariant.NoDuplicateRun,
		"ignores draining":                   invariant.NoSendToDrained,
		"overloads a warming endpoint":       invariant.NoSlowStartOverload,
	} {
		t.Run(violation, func(t *testing.T) {
			r := play(t, sc, brokenPolicy(violation), 1)
			if rule == "" {
				if len(r.Broken) > 0 {
					t.Fatalf("the correct policy is reported to violate %v: %v", r.Broken, r.Violations[0])
				}
				return
			}
			if r.Broken[string(rule)] == 0 {
				t.Fatalf("not detected as %s: %v", rule, r.Broken)
			}
			if r.Score != 0 {
				t.Errorf("score %.3f despite a violation", r.Score)
			}
			for _, v := range r.Violations {
				if v.Rule == rule && rule != invariant.NoSlowStartOverload && (len(v.History) == 0 || !strings.Contains(v.History[0], "accepted")) {
					t.Errorf("violation without history: %v", v)
				}
			}
		})
	}
}

// The decision module keeps all invariants in random scenarios with any faults. A failing seed is a bug: shrink it.
func TestModuleKeepsInvariantsOnRandomScenarios(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		r := play(t, sc, findPolicy(t, policy.Module), rapid.Uint64().Draw(rt, "seed"))
		if len(r.Broken) > 0 {
			rt.Errorf("violated: %v\n%v", r.Broken, r.Violations[0])
		}
	})
}
