package node

import (
	"container/heap"
	"time"
)

// timer is a callback and the time of the node's clock at which it runs.
type timer struct {
	dueAt    int64
	sequence uint64 // orders timers that are due at the same time by when they were set
	callback func()
}

// timerHeap is a heap.Interface with the earliest timer first.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// scheduleAt sets a timer that runs a callback on the event loop when the node's clock reaches dueAt.
func (n *Node) scheduleAt(dueAt int64, callback func()) {
	n.lastTimerSequence++
	heap.Push(&n.timers, timer{dueAt, n.lastTimerSequence, callback})
}

// runDueTimers runs the timers that are due when it is called, and returns the delay until the next one. A timer that
// becomes due while it runs waits for the event loop's next iteration, behind all callbacks posted meanwhile: a timer
// that reschedules itself with almost no delay would otherwise starve requests and answers.
func (n *Node) runDueTimers() time.Duration {
	for now := n.now(); len(n.timers) > 0 && n.timers[0].dueAt <= now; {
		n.runPriority()
		heap.Pop(&n.timers).(timer).callback()
		n.runDeferred()
	}
	if len(n.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(n.timers[0].dueAt-n.now(), 0)) * time.Microsecond
}
