package load

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// busyWait is the length of the last part of a wait, in which the thread polls the clock instead of sleeping,
	// because the kernel wakes a thread some 60 µs late.
	busyWait = 80 * time.Microsecond
	// wakerInterval is the interval at which the waker checks for new waits that end earlier than those it has seen.
	wakerInterval = 200 * time.Microsecond
)

// SleepUntil waits until t. It is more exact than the runtime's timers, which may fire a millisecond late in an idle
// process, because the thread itself sleeps in the kernel.
func SleepUntil(t time.Time) {
	for {
		remaining := time.Until(t)
		switch {
		case remaining <= 0:
			return
		case remaining > busyWait:
			timeout := unix.NsecToTimespec((remaining - busyWait).Nanoseconds())
			_ = unix.Nanosleep(&timeout, nil) // if a signal interrupts the sleep, the loop continues it
		}
	}
}

// waker ends many concurrent waits at exact times with a single thread. If each wait slept in the kernel by itself, the
// waits would occupy the runtime's processors.
type waker struct {
	mu       sync.Mutex
	waits    waitHeap
	sequence int // sequence number of the newest wait
	stop     chan struct{}
	done     chan struct{}
}

type wait struct {
	until    time.Time
	sequence int // orders waits with the same end by their beginning
	ended    chan struct{}
}

// waitHeap implements heap.Interface.
type waitHeap []wait

// Len returns the number of waits.
func (h waitHeap) Len() int { return len(h) }

// Less orders waits by their ends, and waits with the same end by their sequence numbers.
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

// endDue ends the waits that are due, and returns the time at which to check again.
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

// waitUntil waits until t, or until the waker has ended.
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
