package node

import (
	"container/heap"
	"time"
)

type timer struct {
	dueAt    int64
	sequence uint64 // those due at the same time fire in the order they were set
	callback func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (n *Node) scheduleAt(dueAt int64, callback func()) {
	n.lastTimerSequence++
	heap.Push(&n.timers, timer{dueAt, n.lastTimerSequence, callback})
}

// runDueTimers runs what is due by now and returns how long until the next timer. What these set for a moment later
// waits for the next round, after all that has been posted meanwhile: a timer that sets itself anew with next
// to no delay would otherwise keep every request and answer out.
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
