package workload

import (
	"math"

	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// The purposes of a call's own draws. Each has a stream of its own, so that one more draw changes no other.
const (
	drawWork  = 0
	drawRetry = 2
	drawHint  = 4
)

// roughHintSigma is the standard deviation of the logarithm of a rough hint's ratio to the work.
const roughHintSigma = 0.6

// SizeHint is what a client estimates of a call's work, in µs; 0: nothing. All attempts of a call have the same.
func SizeHint(sc *scenario.Scenario, seed uint64, call *Call) int64 {
	switch sc.Clients.Hints {
	case "exact":
		return int64(call.Work)
	case "rough":
		draws := eventqueue.NewDraws(seed, call.Number, drawHint)
		return int64(call.Work * Lognormal(roughHintSigma, draws.Norm()))
	}
	return 0
}

// MeanWork is the mean work of a call, in µs.
func MeanWork(sc *scenario.Scenario) float64 {
	work, shares := 0.0, 0.0
	for i := range sc.Classes {
		class := &sc.Classes[i]
		work += class.Share * class.Work * microsPerMilli
		shares += class.Share
	}
	return work / shares
}

// DrawWork is the work of the call with this number, in µs on one core of speed 1.
func DrawWork(sc *scenario.Scenario, seed, number uint64, class int) float64 {
	draws := eventqueue.NewDraws(seed, number, drawWork)
	c := &sc.Classes[class]
	work := c.Work * microsPerMilli
	switch c.Dist {
	case "exp":
		work *= draws.Exp()
	case "lognormal":
		work *= Lognormal(math.Sqrt(math.Log1p(c.VariationCoefficient*c.VariationCoefficient)), draws.Norm())
	}
	return work
}

// Lognormal has mean 1, with this standard deviation of its logarithm, for a standard normal draw.
func Lognormal(sigma, norm float64) float64 { return math.Exp(sigma*norm - sigma*sigma/2) }
