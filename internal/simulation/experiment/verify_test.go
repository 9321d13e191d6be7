package experiment

import (
	"math"
	"testing"

	"tulipglade/internal/simulation/emulator"
)

// This is `tulipctl simulate verify` with fewer jobs, and therefore a wider bound. A server that is 10% too fast, a
// wait that is measured from the wrong time, or a lost job changes these figures by more than the bounds.
func TestVerifyAgreesWithTheory(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates a few million events")
	}
	checks, err := Verify(t.Context(), 0.005, 0.25, nil)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, c := range checks {
		if !c.OK {
			t.Errorf("%s: %.4f, theory %.4f", c.Name, c.Model, c.Theory)
		}
		sum += math.Abs(c.Error)
	}
	if mean := sum / float64(len(checks)); mean > 0.06 || len(checks) < 25 {
		t.Errorf("the mean relative error of the %d checks is %.1f%%", len(checks), 100*mean)
	}
}

// The comparison with theory must be able to fail: a small error in the utilization must move the wait away from the
// exact value, 4, by at least 10%, and further than the correct model is.
func TestVerifyDetectsAWrongModel(t *testing.T) {
	st := emulator.Station{
		Backends:         1,
		Cores:            1,
		Slots:            1,
		QueueCapacity:    1e6,
		Utilization:      0.8,
		WorkDistribution: "exp",
		Choices:          1,
		Jobs:             300000,
		WarmUpJobs:       10000,
		Seed:             1,
	}
	right := st.Run().Wait
	st.Utilization = 0.82 // has the effect of a backend that is 2.5% too slow
	if wrong := st.Run().Wait; math.Abs(wrong-4) < math.Abs(right-4) || math.Abs(wrong-4)/4 < 0.1 {
		t.Errorf("wait %.3f at 0.80 and %.3f at 0.82: the check could not distinguish them", right, wrong)
	}
}
