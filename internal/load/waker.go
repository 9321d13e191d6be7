package load

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// busyWait is the last part of a wait, which polls the clock: the kernel wakes a thread some 60 µs late.
	busyWait = 80 * time.Microsecond
	// wakerInterval is how often the waker looks for a wait that ends sooner than those it knew.
	wakerInterval = 200 * time.Microsecond
)

// SleepUntil waits until t more exactly than the runtime's timers, which may be a millisecond late on an idle process:
// the thread itself sleeps in the kernel.
func SleepUntil(t time.Time) {
	for {
		remaining := time.Until(t)
		switch {
		case remaining <= 0:
			return
		case remaining > busyWait:
			timeout := unix.NsecToTimespec((remaining - busyWait).Nanoseconds())
			_ = unix.Nanosleep(&timeout, nil) // cut short by a signal, the loop goes on
		}
	}
}

// waker ends many waits exactly, with one thread: a wait in the kernel for each would hold the runtime's processors.
type waker struct {
	mu       sync.Mutex
	waits    waitHeap
	sequence int // of the newest wait
	stop     chan struct{}
	done     chan struct{}
}

type wait struct {
	until    time.Time
	sequence int // waits that end together end in the order in which they began
	ended    chan struct{}
}

// waitHeap implements heap.Interface.
type waitHeap []wait

// Len is the number of waits.
func (h waitHeap) Len() int { return len(h) }

// Less orders waits by their ends.
func (h waitHeap) Less(i, j int) bool {
	if h[i].until.Equal(h[j].until) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].until.Before(h[j].until)
}

// Swap swaps two waits.
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a wait.
func (h *waitHeap) Push(x any) { *h = append(*h, x.(wait)) }

// Pop removes the last wait.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	*h = (*h)[:last]
	return removed
}

func newWaker() *waker {
	w := &waker{stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *waker) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		SleepUntil(w.endDue())
	}
}

// endDue ends the waits that are due, and returns when to look again.
func (w *waker) endDue() time.Time {
	next := time.Now().Add(wakerInterval)
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waits) > 0 && !w.waits[0].until.After(time.Now()) {
		close(heap.Pop(&w.waits).(wait).ended)
	}
	if len(w.waits) > 0 && w.waits[0].until.Before(next) {
		next = w.waits[0].until
	}
	return next
}

// waitUntil waits for the moment t, or for the end of the waker.
func (w *waker) waitUntil(t time.Time) {
	if !t.After(time.Now()) {
		return
	}
	added := wait{until: t, ended: make(chan struct{})}
	w.mu.Lock()
	w.sequence++
	added.sequence = w.sequence
	heap.Push(&w.waits, added)
	w.mu.Unlock()
	select {
	case <-added.ended:
	case <-w.done:
	}
}

func (w *waker) close() {
	close(w.stop)
	<-w.done
}
