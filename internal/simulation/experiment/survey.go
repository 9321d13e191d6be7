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

// Baseline is the name of the policy with which a survey compares the decision module.
const Baseline = "least-outstanding"

// SurveyResult holds what both policies achieved on one deployment of a survey, and why the decision module failed, if
// it did.
type SurveyResult struct {
	Seed     uint64                 `json:"seed"`
	Module   float64                `json:"module"` // fraction of the offered value served in time; so is Baseline
	Baseline float64                `json:"plain"`
	Broken   map[invariant.Rule]int `json:"broken,omitempty"`
	// Fault is the reason why the deployment failed: "rule" for a violated invariant, "less" for less served value than
	// the baseline. It is empty if the deployment passed. If it failed, RaisedSettings are the non-default settings
	// that remain after the reduction: with them alone, it still fails for the same reason.
	Fault          string   `json:"fault,omitempty"`
	RaisedSettings []string `json:"turned,omitempty"`
}

// runDeployment simulates a deployment with the decision module and with the Baseline. The deployment fails if the
// module violates an invariant or its served value is below the Baseline's by more than the margin.
func runDeployment(d scenario.Deployment, seed uint64, margin float64) (SurveyResult, error) {
	result := SurveyResult{Seed: seed, Broken: map[invariant.Rule]int{}}
	sc := d.Scenario()
	if err := sc.Check(); err != nil {
		return result, err
	}
	module, err := Run(sc, policy.Module, seed)
	if err != nil {
		return result, err
	}
	baseline, err := Run(d.Scenario(), Baseline, seed)
	if err != nil {
		return result, err
	}
	result.Module, result.Baseline = module.ServedValue, baseline.ServedValue
	for _, violation := range module.Violations {
		result.Broken[violation.Rule]++
	}
	switch {
	case len(result.Broken) > 0:
		result.Fault = "rule"
	case result.Module < result.Baseline-margin:
		result.Fault = "less"
	}
	return result, nil
}

// Survey runs a deployment drawn from each of the seeds. The decision module fails a deployment if it violates an
// invariant or its served value is below the Baseline's by more than the margin: with a few thousand calls, chance
// alone changes either value by about 0.01. A failing deployment is reduced to the settings that are needed for it to
// fail. The function progress, if set, is called after each deployment.
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

// surveyDeployment runs the deployment drawn from a seed, and reduces its settings if it fails.
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

// reduceSettings resets settings to their defaults as long as the deployment still fails, and returns the names of
// those that remain.
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
	var runErr error
	keep := DDMin(nonDefault, func(keep []int) bool {
		if runErr != nil {
			return false
		}
		var stillFails bool
		stillFails, runErr = fails(with(keep))
		return stillFails && runErr == nil
	})
	return with(keep).NonDefaultSettings(), runErr
}
