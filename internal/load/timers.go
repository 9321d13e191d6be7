package load

import "container/heap"

// timer is the time of a retry, or of the timeout of an attempt.
type timer struct {
	at      int64      // µs since the start
	retry   *callState // the call to retry; nil: the timer is a timeout
	timeout *attempt   // the attempt that times out, unless the timer is a retry
}

// timerQueue is a priority queue of timers, ordered by their times.
type timerQueue struct{ timers timerHeap }

func (q *timerQueue) add(t timer) { heap.Push(&q.timers, t) }

// first returns the earliest timer, or false if the queue is empty.
func (q *timerQueue) first() (timer, bool) {
	if len(q.timers) == 0 {
		return timer{}, false
	}
	return q.timers[0], true
}

// removeFirst removes the earliest timer.
func (q *timerQueue) removeFirst() { heap.Pop(&q.timers) }

// timerHeap implements heap.Interface.
type timerHeap []timer

// Len returns the number of timers.
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
	(*h)[last] = timer{} // releases the references to the call and the attempt
	*h = (*h)[:last]
	return removed
}
