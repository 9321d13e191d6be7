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
	mean          float64 // logarithm of the usual hint; 0: none seen
	sumOfSquares  float64 // sum of the squares of the hints' distances from it
	sumOfProducts float64 // sum of their products with the logarithms of the work
}

// observe takes the hint of a request and returns the logarithm of it as a multiple of the usual one.
func (h *hintRegression) observe(hint Span) float64 {
	if hint <= 0 {
		return 0
	}
	logHint := math.Log(float64(hint))
	if h.mean == 0 {
		h.mean = logHint
	}
	h.mean += hintGain * min(max(logHint-h.mean, -maxHintStep), maxHintStep)
	return logHint - h.mean
}

// slope is how much of a hint's distance from the usual one turns out to be work: 0 nothing, 1 all of it.
func (h *hintRegression) slope() float64 {
	return min(max((h.sumOfProducts+priorProducts)/(h.sumOfSquares+priorSquares), 0), 1)
}

// learn takes an answer to a request whose hint was so far from the usual one, and which took work times the
// usual.
func (h *hintRegression) learn(distance, work float64) {
	h.sumOfSquares += distance * distance
	h.sumOfProducts += distance * math.Log(work)
	if h.sumOfSquares > maxHintSquares {
		h.sumOfSquares, h.sumOfProducts = h.sumOfSquares/2, h.sumOfProducts/2
	}
}
