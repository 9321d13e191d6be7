package balancer

// Cost hints: clients' estimates of the work of a request, and how accurate these turn out to be.

import "math"

const (
	hintGain       = 0.05 // weight of one hint in the moving mean of the hints
	maxHintStep    = 1    // largest distance from the mean with which one hint counts, as a logarithm
	priorSquares   = 3    // added to the sum of squares, so that the first answers change the slope slowly
	priorProducts  = 1    // added to the sum of products: the slope is a third before any answer
	maxHintSquares = 60   // sum of squares above which both sums are halved, so that old answers count less
)

// hintRegression estimates how the work of requests of a class depends on their cost hints. It is a linear
// regression of logarithms, both of them relative to what is usual in the class.
type hintRegression struct {
	mean          float64 // moving mean of the logarithms of the hints; 0: no hint yet
	sumOfSquares  float64 // sum of the squared distances of the hints from the mean
	sumOfProducts float64 // sum of the products of these distances and the logarithms of the relative work
}

// observe updates the mean with the hint of a request. It returns the distance of the hint from the mean,
// which is the logarithm of the hint as a multiple of the usual one, or 0 if there is no hint.
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

// slope returns which part of a hint's distance from the mean turns out to be work: 0 if hints say nothing
// about the work, 1 if the work is in proportion to them.
func (h *hintRegression) slope() float64 {
	return min(max((h.sumOfProducts+priorProducts)/(h.sumOfSquares+priorSquares), 0), 1)
}

// learn updates the regression with an answered request: the distance of its hint from the mean, and its work
// as a multiple of the usual work.
func (h *hintRegression) learn(distance, work float64) {
	h.sumOfSquares += distance * distance
	h.sumOfProducts += distance * math.Log(work)
	if h.sumOfSquares > maxHintSquares {
		h.sumOfSquares, h.sumOfProducts = h.sumOfSquares/2, h.sumOfProducts/2
	}
}
