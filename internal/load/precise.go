package load

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// spin is the last part of a wait that is spent looking at the clock: the kernel wakes a thread some 60 µs late.
const spin = 80 * time.Microsecond

// SleepUntil waits until t more exactly than the runtime's timers, which may be a millisecond late on an idle process:
// the thread itself sleeps in the kernel.
func SleepUntil(t time.Time) {
	for {
		d := time.Until(t)
		switch {
		case d <= 0:
			return
		case d > spin:
			ts := unix.NsecToTimespec((d - spin).Nanoseconds())
			_ = unix.Nanosleep(&ts, nil) // cut short by a signal, the loop goes on
		}
	}
}

// waker ends many waits exactly, with one thread: a wait in the kernel for each would hold the runtime's processors.
type waker struct {
	mu    sync.Mutex
	waits waits
	n     int
	stop  chan struct{}
	done  chan struct{}
}

type wait struct {
	at time.Time
	n  int // waits that end together end in the order in which they began
	c  chan struct{}
}

type waits []wait

func (w waits) Len() int { return len(w) }
func (w waits) Less(i, j int) bool {
	return w[i].at.Before(w[j].at) || w[i].at.Equal(w[j].at) && w[i].n < w[j].n
}
func (w waits) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *waits) Push(x any)   { *w = append(*w, x.(wait)) }
func (w *waits) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

func newWaker() *waker {
	w := &waker{stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// look is how often the thread looks for a wait that ends sooner than those it knew.
const look = 200 * time.Microsecond

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
		next := time.Now().Add(look)
		w.mu.Lock()
		for len(w.waits) > 0 && !w.waits[0].at.After(time.Now()) {
			close(heap.Pop(&w.waits).(wait).c)
		}
		if len(w.waits) > 0 && w.waits[0].at.Before(next) {
			next = w.waits[0].at
		}
		w.mu.Unlock()
		SleepUntil(next)
	}
}

// until waits for the moment t.
func (w *waker) until(t time.Time) {
	if !t.After(time.Now()) {
		return
	}
	x := wait{at: t, c: make(chan struct{})}
	w.mu.Lock()
	w.n++
	x.n = w.n
	heap.Push(&w.waits, x)
	w.mu.Unlock()
	select {
	case <-x.c:
	case <-w.done:
	}
}

func (w *waker) close() {
	close(w.stop)
	<-w.done
}
