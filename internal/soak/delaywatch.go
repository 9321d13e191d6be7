package soak

import (
	"sync"
	"time"
)

// delayWatchInterval is the interval at which the clock is read.
const delayWatchInterval = 5 * time.Millisecond

// delayWatch measures the longest scheduling delay of this process: the time by which a sleep lasts longer than
// requested.
type delayWatch struct {
	mu      sync.Mutex
	delay   time.Duration
	endedAt time.Duration
}

// watch measures delays until the end of the run.
func (w *delayWatch) watch(r *run) {
	for before := r.now(); !r.ended(); {
		time.Sleep(delayWatchInterval)
		now := r.now()
		w.record(now-before-delayWatchInterval, now)
		before = now
	}
}

// record keeps a delay and its end if it is the longest so far.
func (w *delayWatch) record(delay, endedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delay > w.delay {
		w.delay, w.endedAt = delay, endedAt
	}
}

// longest returns the longest delay so far and the time at which it ended.
func (w *delayWatch) longest() (delay, endedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay, w.endedAt
}
