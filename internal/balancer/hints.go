package balancer

// Cost hints: clients' guesses of the work of a request, and how accurate they turn out to be.

import "math"

const (
	hintGain       = 0.05 // weight of one hint in the usual one
	maxHintStep    = 1    // of one hint's logarithm in that
	priorSquares   = 3    // weight of the first slope, in squares of logarithms
	priorProducts  = 1    // so that slope is a third
	maxHintSquares = 60   // squares after which what was learned counts half
)

// hintRegression relates the logarithms of hints and of work within a class, each beside what is usual.
type hintRegression struct {
	mean     float64 // logarithm of the usual hint; 0: none seen
	squares  float64 // sum of the squares of the hints' distances from it
	products float64 // sum of their products with the logarithms of the work
}

// observe takes the hint of a request and returns the logarithm of it as a multiple of the usual one.
func (h *hintRegression) observe(hint Span) float64 {
	if hint <= 0 {
		return 0
	}
	logarithm := math.Log(float64(hint))
	if h.mean == 0 {
		h.mean = logarithm
	}
	h.mean += hintGain * min(max(logarithm-h.mean, -maxHintStep), maxHintStep)
	return logarithm - h.mean
}

// slope is how much of a hint's distance from the usual one turns out to be work: 0 nothing, 1 all of it.
func (h *hintRegression) slope() float64 {
	return min(max((h.products+priorProducts)/(h.squares+priorSquares), 0), 1)
}

// learn takes an answer to a request whose hint was so far from the usual one, and which took work times the
// usual.
func (h *hintRegression) learn(distance, work float64) {
	h.squares += distance * distance
	h.products += distance * math.Log(work)
	if h.squares > maxHintSquares {
		h.squares, h.products = h.squares/2, h.products/2
	}
}
