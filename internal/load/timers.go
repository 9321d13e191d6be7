package load

import "container/heap"

// timer is something that falls due: a retry, or the timeout of an attempt.
type timer struct {
	at      int64
	retry   *callState // nil: it is a timeout
	timeout *attempt
}

// timerQueue is a priority queue of timers by their times.
type timerQueue struct{ timers timerHeap }

func (q *timerQueue) add(t timer) { heap.Push(&q.timers, t) }

// first returns the next timer; false: there is none.
func (q *timerQueue) first() (timer, bool) {
	if len(q.timers) == 0 {
		return timer{}, false
	}
	return q.timers[0], true
}

// removeFirst removes the next timer.
func (q *timerQueue) removeFirst() { heap.Pop(&q.timers) }

// timerHeap implements heap.Interface.
type timerHeap []timer

// Len is the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by their times.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap swaps two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = timer{} // lets go of the call
	*h = (*h)[:last]
	return removed
}
