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

// Baseline is the policy that a survey compares the decision module with.
const Baseline = "least-outstanding"

// SurveyResult is the outcome of one deployment of a survey.
type SurveyResult struct {
	Seed     uint64                 `json:"seed"`
	Module   float64                `json:"module"` // value of calls served in time, of all value offered
	Baseline float64                `json:"plain"`
	Broken   map[invariant.Rule]int `json:"broken,omitempty"`
	// Fault is why the deployment failed: rule for a violation, less for less served value; empty if it passed.
	// RaisedSettings are then the fewest non-default settings with which it fails alike.
	Fault          string   `json:"fault,omitempty"`
	RaisedSettings []string `json:"turned,omitempty"`
}

// runDeployment runs a deployment with both policies.
func runDeployment(d scenario.Deployment, seed uint64, margin float64) (SurveyResult, error) {
	out := SurveyResult{Seed: seed, Broken: map[invariant.Rule]int{}}
	sc := d.Scenario()
	if err := sc.Check(); err != nil {
		return out, err
	}
	module, err := Run(sc, policy.Module, seed)
	if err != nil {
		return out, err
	}
	baseline, err := Run(d.Scenario(), Baseline, seed)
	if err != nil {
		return out, err
	}
	out.Module, out.Baseline = module.ServedValue, baseline.ServedValue
	for _, violation := range module.Violations {
		out.Broken[violation.Rule]++
	}
	switch {
	case len(out.Broken) > 0:
		out.Fault = "rule"
	case out.Module < out.Baseline-margin:
		out.Fault = "less"
	}
	return out, nil
}

// Survey runs a deployment drawn from each of the seeds. The decision module fails a deployment if it violates an invariant
// or its served value is below the Baseline's by more than the margin: with a few thousand calls, chance moves either by
// about 0.01. Failing deployments are reduced to the settings that it takes. The function progress, if set, is called
// after each deployment.
func Survey(ctx context.Context, seeds []uint64, margin float64, progress func(done, all int)) ([]SurveyResult, error) {
	var mu sync.Mutex
	done := 0
	all := make([]SurveyResult, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := surveyDeployment(seed, margin)
			if err != nil {
				return err
			}
			all[i] = result
			if progress != nil {
				mu.Lock()
				defer mu.Unlock()
				done++
				progress(done, len(seeds))
			}
			return nil
		})
	}
	return all, group.Wait()
}

// surveyDeployment runs the deployment drawn from a seed, and reduces it if it fails.
func surveyDeployment(seed uint64, margin float64) (SurveyResult, error) {
	deployment := scenario.DrawDeployment(seed)
	result, err := runDeployment(deployment, seed, margin)
	if err != nil || result.Fault == "" {
		return result, err
	}
	result.RaisedSettings, err = reduceSettings(deployment, func(reduced scenario.Deployment) (bool, error) {
		other, err := runDeployment(reduced, seed, margin)
		return other.Fault == result.Fault, err
	})
	return result, err
}

// reduceSettings resets knobs to their defaults while the deployment still fails, and names the settings that are left.
func reduceSettings(deployment scenario.Deployment, fails func(scenario.Deployment) (bool, error)) ([]string, error) {
	var nonDefault []int
	for i, setting := range deployment {
		if setting > 0 {
			nonDefault = append(nonDefault, i)
		}
	}
	with := func(keep []int) scenario.Deployment {
		reduced := make(scenario.Deployment, len(deployment))
		for _, i := range keep {
			reduced[i] = deployment[i]
		}
		return reduced
	}
	var failed error
	keep := DDMin(nonDefault, func(keep []int) bool {
		if failed != nil {
			return false
		}
		var stillFails bool
		stillFails, failed = fails(with(keep))
		return stillFails && failed == nil
	})
	return with(keep).NonDefaultSettings(), failed
}
