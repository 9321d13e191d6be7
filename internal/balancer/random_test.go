package balancer

import "testing"

// TestUniformIsInUnitInterval guards against numbers outside [0, 1), and against an uneven distribution.
func TestUniformIsInUnitInterval(t *testing.T) {
	random := randomSource{state: 1}
	sum := 0.0
	const draws = 10000
	for range draws {
		x := random.uniform()
		if x < 0 || x >= 1 {
			t.Fatalf("drew %g, which is not in [0, 1)", x)
		}
		sum += x
	}
	if mean := sum / draws; mean < 0.48 || mean > 0.52 {
		t.Errorf("mean %g, want about 0.5", mean)
	}
}

// TestUniformIsPortable guards against a generator that ports to other languages can't reproduce. The
// expected values are the first numbers of splitmix64 with seed 0, from its reference implementation.
func TestUniformIsPortable(t *testing.T) {
	random := randomSource{}
	for _, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		if got := random.uniform(); got != unitInterval(want) {
			t.Errorf("drew %g, want %g", got, unitInterval(want))
		}
	}
}

// TestWeightedIndex guards against draws that are not in proportion to the weights, and against a draw
// without any weight.
func TestWeightedIndex(t *testing.T) {
	random := randomSource{state: 1}
	counts := [4]int{}
	for range 10000 {
		counts[random.weightedIndex([]float64{0, 1, 0, 3})]++
	}
	if counts[0] != 0 || counts[2] != 0 || counts[1] < 2300 || counts[1] > 2700 {
		t.Errorf("counts %v, want a quarter for the second index and none for those of weight 0", counts)
	}
	before := random
	if i := random.weightedIndex([]float64{0, 0}); i != -1 || random != before {
		t.Errorf("index %d if all weights are 0, want -1 and no number drawn", i)
	}
}
