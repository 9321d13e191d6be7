package eventqueue

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that every run tests the same cases. To test other cases, run
// go test -args -rapid.seed N.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// recorder is a handler that records the arguments of the events in the order of their handling.
type recorder struct{ received []int64 }

func (r *recorder) Handle(_ Time, e Event) { r.received = append(r.received, e.Argument) }

// TestOrderDependsOnlyOnTimeAndSource checks that events are handled by due time, source ID and order within their
// source. It guards against results that depend on the order in which different sources call Schedule.
func TestOrderDependsOnlyOnTimeAndSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type scheduledEvent struct {
			at       Time
			src, pos int
		}
		sources := rapid.IntRange(1, 5).Draw(t, "sources")
		var all []scheduledEvent
		queues := make([][]scheduledEvent, sources)
		for s := range queues {
			n := rapid.IntRange(0, 20).Draw(t, "n")
			for p := range n {
				e := scheduledEvent{rapid.Int64Range(0, 4).Draw(t, "at"), s, p}
				queues[s] = append(queues[s], e)
				all = append(all, e)
			}
		}
		slices.SortFunc(all, func(a, b scheduledEvent) int {
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
		for remaining > 0 { // the sources take turns in random order
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

// TestEventInThePastIsHandledNow guards against a clock that runs backwards because an event is scheduled for a time
// that has passed.
func TestEventInThePastIsHandledNow(t *testing.T) {
	var sim Sim
	src, rec := NewSource(1), &recorder{}
	sim.Run(100)
	sim.Schedule(&src, 50, Event{Target: rec, Argument: 1})
	if !sim.Step(100) || sim.Now() != 100 {
		t.Errorf("the clock shows %d after the event, want 100", sim.Now())
	}
}

// TestStreamDependsOnlyOnSeedAndName guards against streams that change when another component draws random numbers.
func TestStreamDependsOnlyOnSeedAndName(t *testing.T) {
	a, b := NewStream(1, "box 1"), NewStream(1, "box 2")
	same := NewStream(1, "box 1")
	for range 10 {
		b.Uint64()
		if a.Uint64() != same.Uint64() {
			t.Fatal("streams with the same seed and name differ")
		}
	}
	if x, y := NewStream(1, "box 1"), NewStream(2, "box 1"); x.Uint64() == y.Uint64() {
		t.Error("streams with different seeds are equal")
	}
}

// TestDrawsHaveExpectedMoments checks the mean of the exponential draws, and the mean and the variance of the normal
// ones.
func TestDrawsHaveExpectedMoments(t *testing.T) {
	expMean, normMean, normVariance := 0.0, 0.0, 0.0
	const n = 200000
	for i := range uint64(n) { // one draw of each kind from many streams: consecutive items must not be correlated
		d := NewDraws(7, i, 0)
		expMean += d.Exp() / n
		x := d.Norm()
		normMean += x / n
		normVariance += x * x / n
	}
	if expMean < 0.99 || expMean > 1.01 || normMean < -0.01 || normMean > 0.01 || normVariance < 0.99 || normVariance > 1.01 {
		t.Errorf("exponential mean %.4f, normal mean %.4f, variance %.4f", expMean, normMean, normVariance)
	}
}

// ticker schedules another event whenever it handles one, as timers and messages of a simulation do.
type ticker struct {
	sim    *Sim
	src    Source
	random *rand.PCG
}

func (t *ticker) Handle(Time, Event) {
	t.sim.ScheduleAfter(&t.src, Span(t.random.Uint64()>>44), Event{Target: t})
}

// BenchmarkEvents measures the time to handle one event and to schedule its successor, for different numbers of pending
// events.
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

// binaryHeap implements heap.Interface of the standard library, for comparison with the heap of Sim.
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

// BenchmarkContainerHeap measures a pop and a push with the binary heap of container/heap, for comparison with
// BenchmarkEvents.
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
