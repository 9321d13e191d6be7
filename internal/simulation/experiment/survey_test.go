package experiment

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/simulation/scenario"
)

// regressionSeeds are the seeds of deployments on which the module once served far less than the baseline, each because
// of a fault that has been fixed.
var regressionSeeds = []uint64{110, 199, 219, 223, 272, 356, 418, 447}

// On randomly drawn deployments the decision module must violate no invariant, and its served value must not be below
// the baseline's by more than 0.03. The seeds are fixed, so the deployments are the same each time; `tulipctl simulate
// survey` draws others.
func TestSurvey(t *testing.T) {
	seeds := slices.Clone(regressionSeeds)
	for seed := range uint64(24) {
		seeds = append(seeds, seed+1)
	}
	all, err := Survey(t.Context(), seeds, 0.03, nil)
	if err != nil {
		t.Fatal(err)
	}
	moduleBetter := 0
	for _, d := range all {
		if d.Fault != "" {
			t.Errorf("seed %d fails (%s): %.3f, baseline %.3f; violations %v; settings %v", d.Seed, d.Fault, d.Module, d.Baseline, d.Broken, d.RaisedSettings)
		}
		if d.Module > d.Baseline {
			moduleBetter++
		}
	}
	t.Logf("%d deployments; on %d the module serves more value than the baseline", len(all), moduleBetter)
}

// A failing deployment must be reduced to exactly the settings that are needed for it to fail.
func TestReduceSettingsFindsTheCause(t *testing.T) {
	knob := func(name string) int {
		for i, k := range scenario.Knobs {
			if k.Name == name {
				return i
			}
		}
		t.Fatal(name)
		return 0
	}
	report, probes := knob("report"), knob("probes")
	d := make(scenario.Deployment, len(scenario.Knobs))
	for i, k := range scenario.Knobs {
		d[i] = len(k.Settings) - 1
	}
	got, err := reduceSettings(d, func(d scenario.Deployment) (bool, error) { return d[report] > 0 && d[probes] > 0, nil })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"report: held and util", "probes: dear"}, got); diff != "" {
		t.Error(diff)
	}
}
