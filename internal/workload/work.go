package workload

import (
	"math"

	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// The streams of random draws that each call has, by purpose. An additional draw in one stream does not change the
// draws of another.
const (
	drawWork  = 0
	drawRetry = 2
	drawHint  = 4
)

// roughHintSigma is the standard deviation of the logarithm of the ratio of a rough hint to the actual work.
const roughHintSigma = 0.6

// SizeHint returns a client's estimate of a call's work, in µs, or 0 if the client gives none. All attempts of a call
// carry the same hint.
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

// MeanWork returns the mean work of the scenario's calls, in µs.
func MeanWork(sc *scenario.Scenario) float64 {
	work, shares := 0.0, 0.0
	for i := range sc.Classes {
		class := &sc.Classes[i]
		work += class.Share * class.Work * microsPerMilli
		shares += class.Share
	}
	return work / shares
}

// DrawWork returns the work of the call with this number, in µs on one core of speed 1. Equal arguments give equal
// work.
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

// Lognormal converts a standard normal draw to a draw from the lognormal distribution with mean 1 and sigma as the
// standard deviation of the logarithm.
func Lognormal(sigma, norm float64) float64 { return math.Exp(sigma*norm - sigma*sigma/2) }
