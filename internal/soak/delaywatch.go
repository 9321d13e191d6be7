package soak

import (
	"sync"
	"time"
)

// delayWatchInterval is the time between two looks at the clock.
const delayWatchInterval = 5 * time.Millisecond

// delayWatch measures by how much this process runs late.
type delayWatch struct {
	mu              sync.Mutex
	longestDelay    time.Duration
	longestDelayEnd time.Duration
}

// watch measures until the end of a run.
func (w *delayWatch) watch(r *run) {
	for before := r.now(); !r.ended(); {
		time.Sleep(delayWatchInterval)
		now := r.now()
		w.record(now-before-delayWatchInterval, now)
		before = now
	}
}

func (w *delayWatch) record(by, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if by > w.longestDelay {
		w.longestDelay, w.longestDelayEnd = by, at
	}
}

// longest returns the longest delay so far, and when it ended.
func (w *delayWatch) longest() (by, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longestDelay, w.longestDelayEnd
}
