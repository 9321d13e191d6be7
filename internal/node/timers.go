package node

import (
	"container/heap"
	"time"
)

// timer is a callback that is due at a time of the node's clock.
type timer struct {
	dueAt    int64
	sequence uint64 // timers due at the same time fire in the order in which they were set
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

// scheduleAt runs a callback on the event loop at a time of the node's clock.
func (n *Node) scheduleAt(dueAt int64, callback func()) {
	n.lastTimerSequence++
	heap.Push(&n.timers, timer{dueAt, n.lastTimerSequence, callback})
}

// runDueTimers runs the timers that are due and returns the delay until the next one. A timer that they set for a
// moment later waits for the next round, behind all that has been posted meanwhile: one that reschedules itself with
// next to no delay would otherwise starve requests and answers.
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
