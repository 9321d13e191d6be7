package balancer

// Pseudo-random numbers. The same seed leads to the same decisions on every machine.

// randomSource is a splitmix64 generator. It was chosen because a port to another language can draw exactly
// the same numbers.
type randomSource struct{ state uint64 }

// uniform returns a number in [0, 1).
func (s *randomSource) uniform() float64 {
	s.state += 0x9e3779b97f4a7c15
	return unitInterval(hash64(s.state))
}

// weightedIndex draws an index with a probability in proportion to its weight. If no weight is positive, it
// returns -1 and draws no number.
func (s *randomSource) weightedIndex(weights []float64) int {
	total, last := 0.0, -1
	for i, weight := range weights {
		if weight > 0 {
			total, last = total+weight, i
		}
	}
	if last < 0 {
		return -1
	}
	x := s.uniform() * total
	for i, weight := range weights {
		if weight > 0 && x < weight {
			return i
		}
		x -= weight
	}
	return last // rounding errors can leave x at or above the last weight
}

// unitInterval maps the upper 53 bits of a hash to [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// hash64 is the finalizer of splitmix64. It maps similar numbers to unrelated ones.
func hash64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
