package experiment

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// Plain is the policy that a survey holds the module against.
const Plain = "least-outstanding"

// Surveyed is one deployment that a survey drew.
type Surveyed struct {
	Seed   uint64                 `json:"seed"`
	Module float64                `json:"module"` // worth served in time, of that asked for
	Plain  float64                `json:"plain"`
	Broken map[invariant.Rule]int `json:"broken,omitempty"`
	// Fault is why it failed, empty where it did not; Turned are then the settings that it takes to fail.
	Fault          string   `json:"fault,omitempty"`
	RaisedSettings []string `json:"turned,omitempty"`
}

// try plays a deployment under both policies.
func try(d scenario.Deployment, seed uint64, margin float64) (Surveyed, error) {
	out := Surveyed{Seed: seed, Broken: map[invariant.Rule]int{}}
	sc := d.Scenario()
	if err := sc.Check(); err != nil {
		return out, err
	}
	m, err := Run(sc, policy.Module, seed)
	if err != nil {
		return out, err
	}
	p, err := Run(d.Scenario(), Plain, seed)
	if err != nil {
		return out, err
	}
	out.Module, out.Plain = m.ServedValue, p.ServedValue
	for _, v := range m.Violations {
		out.Broken[v.Rule]++
	}
	switch {
	case len(out.Broken) > 0:
		out.Fault = "rule"
	case out.Module < out.Plain-margin:
		out.Fault = "less"
	}
	return out, nil
}

// Survey plays a deployment drawn from each of the seeds. The module fails a deployment where it
// breaks a rule, or serves less of the worth than Plain by more than the margin: a deployment's spell has a few thousand calls,
// and chance moves either by about a hundredth. Those that fail are reduced to the settings that it takes.
func Survey(ctx context.Context, seeds []uint64, margin float64, told func(done, all int)) ([]Surveyed, error) {
	var mu sync.Mutex
	done := 0
	all := make([]Surveyed, len(seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			d := scenario.DrawDeployment(seed)
			got, err := try(d, seed, margin)
			if err != nil {
				return err
			}
			if got.Fault != "" {
				if got.RaisedSettings, err = blame(d, func(d scenario.Deployment) (bool, error) {
					again, err := try(d, seed, margin)
					return again.Fault == got.Fault, err
				}); err != nil {
					return err
				}
			}
			all[i] = got
			if told != nil {
				mu.Lock()
				defer mu.Unlock()
				done++
				told(done, len(seeds))
			}
			return nil
		})
	}
	return all, g.Wait()
}

// blame turns knobs back while the deployment still fails alike, and names those that are left.
func blame(d scenario.Deployment, fails func(scenario.Deployment) (bool, error)) ([]string, error) {
	var turned []int
	for i, at := range d {
		if at > 0 {
			turned = append(turned, i)
		}
	}
	with := func(keep []int) scenario.Deployment {
		out := make(scenario.Deployment, len(d))
		for _, i := range keep {
			out[i] = d[i]
		}
		return out
	}
	var failed error
	keep := DDMin(turned, func(keep []int) bool {
		if failed != nil {
			return false
		}
		var yes bool
		yes, failed = fails(with(keep))
		return yes && failed == nil
	})
	return with(keep).NonDefaultSettings(), failed
}
