package eventqueue

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream is a component's own source of random numbers: a PCG whose state follows from the seed and the component's name,
// so that the draws of a component don't depend on which others exist.
type Stream struct {
	*rand.Rand
}

// NewStream returns the stream of the component of that name.
func NewStream(seed uint64, name string) Stream {
	return Stream{rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
}

// goldenRatio64 is 2^64 over the golden ratio: its multiples by neighbouring numbers lie far apart.
const goldenRatio64 = 0x9e3779b97f4a7c15

// Draws is a short stream for one item among millions, such as a request. It needs no memory between its uses.
type Draws struct{ pcg rand.PCG }

// NewDraws returns the stream of the item and the purpose of those numbers.
func NewDraws(seed, item, purpose uint64) Draws {
	var d Draws
	d.pcg.Seed(seed^item*goldenRatio64, purpose+1)
	d.pcg.Uint64()
	return d
}

// Float64 draws from [0,1).
func (d *Draws) Float64() float64 { return float64(d.pcg.Uint64()>>11) / (1 << 53) }

// Exp draws from the exponential distribution of mean 1.
func (d *Draws) Exp() float64 { return -math.Log1p(-d.Float64()) }

// Norm draws from the standard normal distribution (Box and Muller, 1958).
func (d *Draws) Norm() float64 {
	radius := math.Sqrt(2 * d.Exp())
	return radius * math.Cos(2*math.Pi*d.Float64())
}
