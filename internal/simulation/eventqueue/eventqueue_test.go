package eventqueue

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The same verdict on every run: cases are drawn from one seed. Others: go test -args -rapid.seed N.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

type recorder struct{ got []int64 }

func (r *recorder) Handle(_ Time, e Event) { r.got = append(r.got, e.A) }

// What order the events are set in, over all sources, must not matter: only instant, source and place in the source.
func TestOrderIsDefined(t *testing.T) {
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
		left := len(all)
		for left > 0 { // the sources take turns by chance
			s := rapid.IntRange(0, sources-1).Draw(t, "turn")
			if len(queues[s]) == 0 {
				for s = 0; len(queues[s]) == 0; s++ {
				}
			}
			e := queues[s][0]
			queues[s] = queues[s][1:]
			sim.At(&srcs[s], e.at, Event{To: rec, A: int64(e.src*100 + e.pos)})
			left--
		}
		sim.Run(10)
		for i, e := range all {
			if rec.got[i] != int64(e.src*100+e.pos) {
				t.Fatalf("place %d: %d, want source %d's %d", i, rec.got[i], e.src, e.pos)
			}
		}
		if sim.Now() != 10 || sim.Pending() != 0 || sim.Done() != uint64(len(all)) {
			t.Fatalf("now %d, pending %d, done %d", sim.Now(), sim.Pending(), sim.Done())
		}
	})
}

func TestPastIsNow(t *testing.T) {
	var sim Sim
	src, rec := NewSource(1), &recorder{}
	sim.Run(100)
	sim.At(&src, 50, Event{To: rec, A: 1})
	if !sim.Step(100) || sim.Now() != 100 {
		t.Errorf("clock went to %d", sim.Now())
	}
}

func TestStreamsOfOthersStayAsTheyAre(t *testing.T) {
	a, b := NewStream(1, "box 1"), NewStream(1, "box 2")
	again := NewStream(1, "box 1")
	for range 10 {
		b.Uint64()
		if a.Uint64() != again.Uint64() {
			t.Fatal("a stream depends on more than seed and name")
		}
	}
	if x, y := NewStream(1, "box 1"), NewStream(2, "box 1"); x.Uint64() == y.Uint64() {
		t.Error("the seed does not matter")
	}
}

func TestDrawsHaveTheirMeans(t *testing.T) {
	exp, norm, sq := 0.0, 0.0, 0.0
	const n = 200000
	for i := range uint64(n) { // one draw from each of many streams: neighbours must not be alike
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

// ticker keeps itself going, as timers and messages of a model do.
type ticker struct {
	sim *Sim
	src Source
	r   *rand.PCG
}

func (t *ticker) Handle(Time, Event) {
	t.sim.After(&t.src, Span(t.r.Uint64()>>44), Event{To: t})
}

// BenchmarkEvents is the core alone, with so many events pending; one op is one event.
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

// The standard library's heap on the same load, for the design note.
type binary []entry

func (h binary) Len() int           { return len(h) }
func (h binary) Less(i, j int) bool { return h[i].before(h[j]) }
func (h binary) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *binary) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *binary) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func BenchmarkContainerHeap(b *testing.B) {
	for name, pending := range map[string]int{"pending=1000": 1000, "pending=100000": 100000} {
		b.Run(name, func(b *testing.B) {
			r := rand.NewPCG(1, 1)
			var h binary
			for i := range pending {
				heap.Push(&h, entry{at: Time(r.Uint64() >> 44), key: uint64(i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				x := heap.Pop(&h).(entry)
				x.at += Time(r.Uint64() >> 44)
				heap.Push(&h, x)
			}
		})
	}
}
