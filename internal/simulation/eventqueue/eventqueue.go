// Package eventqueue is a discrete-event core: a virtual clock in µs, a queue of events with a defined order, and one
// random stream for each component. It reads no wall clock and no global random source, and starts no goroutine.
package eventqueue

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Time is a point on the virtual clock, in µs. Span is a length of it.
type (
	Time = int64
	Span = int64
)

// Second and Millisecond are lengths of virtual time.
const (
	Millisecond Span = 1000
	Second      Span = 1000 * Millisecond
)

// Handler takes the events that are addressed to it.
type Handler interface{ Handle(now Time, e Event) }

// Event is what a handler gets. Kind and A mean what the handler says; P holds a pointer or nothing.
type Event struct {
	To   Handler
	P    any
	A    int64
	Kind uint8
}

// Source is one component as an author of events. Events of one µs are handled in the order of their sources' ids,
// and those of one source in the order in which it made them. So the order depends on who the components are and
// not on when each was created.
type Source struct {
	key uint64 // id in the upper 24 bits, number of the next event in the lower 40
}

const idBits, seqBits = 24, 40

// NewSource returns the source with that id, which must be below 1<<24 and unlike all others of the Sim.
func NewSource(id uint32) Source {
	if id >= 1<<idBits {
		panic("des: source id out of range")
	}
	return Source{key: uint64(id) << seqBits}
}

type entry struct {
	at  Time
	key uint64
	i   int32 // in slab
}

func (a entry) before(b entry) bool { return a.at < b.at || a.at == b.at && a.key < b.key }

// Sim is a clock and its queue. The zero value is ready at time 0. It is not safe for concurrent use.
//
// The queue is a heap with four children a node: half as deep as one with two, and the four keys that a step
// compares lie on two lines of cache. Events themselves stay where they are in a slab.
type Sim struct {
	now  Time
	heap []entry
	slab []Event
	free []int32
	done uint64
}

// Now is the present instant.
func (s *Sim) Now() Time { return s.now }

// Done counts the events handled.
func (s *Sim) Done() uint64 { return s.done }

// Pending counts the events that wait.
func (s *Sim) Pending() int { return len(s.heap) }

// Next is when the next event is due, if any is.
func (s *Sim) Next() (Time, bool) {
	if len(s.heap) == 0 {
		return 0, false
	}
	return s.heap[0].at, true
}

// At sets e for the instant at, or for now if that has passed.
func (s *Sim) At(src *Source, at Time, e Event) {
	var i int32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
		s.slab[i] = e
	} else {
		i = int32(len(s.slab))
		s.slab = append(s.slab, e)
	}
	x := entry{max(at, s.now), src.key, i}
	src.key++
	s.heap = append(s.heap, x)
	h, k := s.heap, len(s.heap)-1
	for k > 0 {
		up := (k - 1) / 4
		if !x.before(h[up]) {
			break
		}
		h[k], k = h[up], up
	}
	h[k] = x
}

// After sets e for d from now.
func (s *Sim) After(src *Source, d Span, e Event) { s.At(src, s.now+max(d, 0), e) }

// Step handles the next event, if there is one not later than until.
func (s *Sim) Step(until Time) bool {
	if len(s.heap) == 0 || s.heap[0].at > until {
		return false
	}
	top := s.heap[0]
	s.pop()
	e := s.slab[top.i]
	s.slab[top.i] = Event{}
	s.free = append(s.free, top.i)
	s.now = top.at
	s.done++
	e.To.Handle(s.now, e)
	return true
}

// Run handles all events up to and including the instant until, and leaves the clock there.
func (s *Sim) Run(until Time) {
	for s.Step(until) {
	}
	s.now = max(s.now, until)
}

func (s *Sim) pop() {
	n := len(s.heap) - 1
	x := s.heap[n]
	s.heap = s.heap[:n]
	if n == 0 {
		return
	}
	h, k := s.heap, 0
	for {
		c := 4*k + 1
		if c >= n {
			break
		}
		least := c
		for j := c + 1; j < min(c+4, n); j++ {
			if h[j].before(h[least]) {
				least = j
			}
		}
		if !h[least].before(x) {
			break
		}
		h[k], k = h[least], least
	}
	h[k] = x
}

// Stream is a component's own random numbers: a PCG whose state follows from the seed and the component's name, so
// that a further component leaves the draws of the others as they are.
type Stream struct {
	*rand.Rand
}

// NewStream returns the stream of the component so named.
func NewStream(seed uint64, name string) Stream {
	return Stream{rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
}

// Draws is a short stream for one thing among millions, such as a request: it needs no memory of its own.
type Draws struct{ pcg rand.PCG }

// NewDraws returns the stream of thing number n, for the purpose so numbered.
func NewDraws(seed, n, purpose uint64) Draws {
	var d Draws
	d.pcg.Seed(seed^n*0x9e3779b97f4a7c15, purpose+1) // 2^64 over the golden ratio, so that neighbours lie far apart
	d.pcg.Uint64()
	return d
}

// Float64 draws from [0,1).
func (d *Draws) Float64() float64 { return float64(d.pcg.Uint64()>>11) / (1 << 53) }

// Exp draws from the exponential distribution of mean 1.
func (d *Draws) Exp() float64 { return -math.Log1p(-d.Float64()) }

// Norm draws from the standard normal distribution (Box and Muller, 1958).
func (d *Draws) Norm() float64 {
	r := math.Sqrt(2 * d.Exp())
	return r * math.Cos(2*math.Pi*d.Float64())
}
