package balancer

import (
	"math"
	"testing"
)

// TestHintRegression guards against a slope that does not follow the accuracy of the hints: accurate hints
// must count in full, and useless or inverse hints not at all.
func TestHintRegression(t *testing.T) {
	for name, test := range map[string]struct {
		work     func(distance float64) float64 // logarithm of the work for a given distance of the hint
		min, max float64
	}{
		"no answers":     {nil, 0.3, 0.4},
		"accurate hints": {func(distance float64) float64 { return distance }, 0.9, 1},
		"useless hints":  {func(float64) float64 { return 0 }, 0, 0.1},
		"inverse hints":  {func(distance float64) float64 { return -distance }, 0, 0},
	} {
		hints := hintRegression{}
		for i := 0; test.work != nil && i < 200; i++ {
			distance := float64(i%3 - 1)
			hints.learn(distance, math.Exp(test.work(distance)))
		}
		if slope := hints.slope(); slope < test.min || slope > test.max {
			t.Errorf("%s: slope %g, want %g to %g", name, slope, test.min, test.max)
		}
	}
}

// TestHintDistanceIsRelativeToUsualHint guards against hints that count by their absolute value: only the
// distance from the usual hint of the class matters.
func TestHintDistanceIsRelativeToUsualHint(t *testing.T) {
	hints := hintRegression{}
	if distance := hints.observe(0); distance != 0 || hints.mean != 0 {
		t.Errorf("distance %g without a hint, want 0", distance)
	}
	for range 100 {
		hints.observe(20 * ms)
	}
	if distance := hints.observe(20 * ms); math.Abs(distance) > 1e-9 {
		t.Errorf("distance %g of the usual hint, want 0", distance)
	}
	if distance := hints.observe(40 * ms); distance < 0.6 || distance > math.Ln2 {
		t.Errorf("distance %g of twice the usual hint, want nearly %g", distance, math.Ln2)
	}
}
