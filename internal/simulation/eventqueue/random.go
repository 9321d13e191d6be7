package eventqueue

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream is the source of random numbers of a single component. It is a PCG generator whose initial state is derived
// from the seed and the component's name, so that the numbers don't depend on which other components exist.
type Stream struct {
	*rand.Rand
}

// NewStream returns the stream of the component with the given name.
func NewStream(seed uint64, name string) Stream {
	return Stream{rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
}

// goldenRatio64 is 2^64 divided by the golden ratio. Its products (modulo 2^64) with consecutive numbers lie far apart,
// so that consecutive items get seeds that are not close to each other.
const goldenRatio64 = 0x9e3779b97f4a7c15

// Draws is a short stream of random numbers for one item among millions, such as a request. It need not be kept between
// uses, because NewDraws creates the same stream again from the same arguments.
type Draws struct{ pcg rand.PCG }

// NewDraws returns the stream that is determined by the seed, the number of the item and the number of the purpose for
// which the item needs random numbers.
func NewDraws(seed, item, purpose uint64) Draws {
	var d Draws
	d.pcg.Seed(seed^item*goldenRatio64, purpose+1)
	d.pcg.Uint64()
	return d
}

// Float64 draws from the uniform distribution on [0,1).
func (d *Draws) Float64() float64 { return float64(d.pcg.Uint64()>>11) / (1 << 53) }

// Exp draws from the exponential distribution with mean 1.
func (d *Draws) Exp() float64 { return -math.Log1p(-d.Float64()) }

// Norm draws from the standard normal distribution by the method of Box and Muller (1958).
func (d *Draws) Norm() float64 {
	radius := math.Sqrt(2 * d.Exp())
	return radius * math.Cos(2*math.Pi*d.Float64())
}
