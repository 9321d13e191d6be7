package eventqueue

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain draws the cases of every run from one seed. For others: go test -args -rapid.seed N.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

type recorder struct{ received []int64 }

func (r *recorder) Handle(_ Time, e Event) { r.received = append(r.received, e.Argument) }

// The order in which different sources set their events must not matter: only time, source and order within the source do.
func TestOrderDependsOnlyOnTimeAndSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type ev struct {
			at       Time
			src, pos int
		}
		sources := rapid.IntRange(1, 5).Draw(t, "sources")
		var all []ev
		queues := make([][]ev, sources)
		for s := range queues {
			n := rapid.IntRange(0, 20).Draw(t, "n")
			for p := range n {
				e := ev{rapid.Int64Range(0, 4).Draw(t, "at"), s, p}
				queues[s] = append(queues[s], e)
				all = append(all, e)
			}
		}
		slices.SortFunc(all, func(a, b ev) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			if a.src != b.src {
				return a.src - b.src
			}
			return a.pos - b.pos
		})
		var sim Sim
		rec := &recorder{}
		srcs := make([]Source, sources)
		for i := range srcs {
			srcs[i] = NewSource(uint32(i))
		}
		remaining := len(all)
		for remaining > 0 { // the sources set their events in random order
			s := rapid.IntRange(0, sources-1).Draw(t, "turn")
			if len(queues[s]) == 0 {
				for s = 0; len(queues[s]) == 0; s++ {
				}
			}
			e := queues[s][0]
			queues[s] = queues[s][1:]
			sim.Schedule(&srcs[s], e.at, Event{Target: rec, Argument: int64(e.src*100 + e.pos)})
			remaining--
		}
		sim.Run(10)
		for i, e := range all {
			if rec.received[i] != int64(e.src*100+e.pos) {
				t.Fatalf("position %d: %d, want source %d's %d", i, rec.received[i], e.src, e.pos)
			}
		}
		if sim.Now() != 10 || sim.Pending() != 0 || sim.HandledEvents() != uint64(len(all)) {
			t.Fatalf("now %d, pending %d, done %d", sim.Now(), sim.Pending(), sim.HandledEvents())
		}
	})
}

func TestEventInThePastIsHandledNow(t *testing.T) {
	var sim Sim
	src, rec := NewSource(1), &recorder{}
	sim.Run(100)
	sim.Schedule(&src, 50, Event{Target: rec, Argument: 1})
	if !sim.Step(100) || sim.Now() != 100 {
		t.Errorf("clock went to %d", sim.Now())
	}
}

func TestStreamDependsOnlyOnSeedAndName(t *testing.T) {
	a, b := NewStream(1, "box 1"), NewStream(1, "box 2")
	same := NewStream(1, "box 1")
	for range 10 {
		b.Uint64()
		if a.Uint64() != same.Uint64() {
			t.Fatal("a stream depends on more than seed and name")
		}
	}
	if x, y := NewStream(1, "box 1"), NewStream(2, "box 1"); x.Uint64() == y.Uint64() {
		t.Error("the seed does not matter")
	}
}

func TestDrawsHaveExpectedMoments(t *testing.T) {
	exp, norm, sq := 0.0, 0.0, 0.0
	const n = 200000
	for i := range uint64(n) { // one draw from each of many streams: neighbours must not correlate
		d := NewDraws(7, i, 0)
		exp += d.Exp() / n
		x := d.Norm()
		norm += x / n
		sq += x * x / n
	}
	if exp < 0.99 || exp > 1.01 || norm < -0.01 || norm > 0.01 || sq < 0.99 || sq > 1.01 {
		t.Errorf("exponential mean %.4f, normal mean %.4f, variance %.4f", exp, norm, sq)
	}
}

// ticker sets a next event with each event, as timers and messages of a simulation do.
type ticker struct {
	sim    *Sim
	src    Source
	random *rand.PCG
}

func (t *ticker) Handle(Time, Event) {
	t.sim.ScheduleAfter(&t.src, Span(t.random.Uint64()>>44), Event{Target: t})
}

// BenchmarkEvents measures one event with so many pending.
func BenchmarkEvents(b *testing.B) {
	for name, pending := range map[string]int{"pending=1000": 1000, "pending=100000": 100000} {
		b.Run(name, func(b *testing.B) {
			var sim Sim
			for i := range pending {
				t := &ticker{&sim, NewSource(uint32(i)), rand.NewPCG(1, uint64(i))}
				t.Handle(0, Event{})
			}
			b.ReportAllocs()
			for b.Loop() {
				sim.Step(1 << 62)
			}
		})
	}
}

// binaryHeap is the standard library's heap, for comparison.
type binaryHeap []entry

func (h binaryHeap) Len() int           { return len(h) }
func (h binaryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h binaryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *binaryHeap) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *binaryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func BenchmarkContainerHeap(b *testing.B) {
	for name, pending := range map[string]int{"pending=1000": 1000, "pending=100000": 100000} {
		b.Run(name, func(b *testing.B) {
			r := rand.NewPCG(1, 1)
			var h binaryHeap
			for i := range pending {
				heap.Push(&h, entry{dueAt: Time(r.Uint64() >> 44), key: uint64(i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				x := heap.Pop(&h).(entry)
				x.dueAt += Time(r.Uint64() >> 44)
				heap.Push(&h, x)
			}
		})
	}
}
