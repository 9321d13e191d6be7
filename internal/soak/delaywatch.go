package soak

import (
	"sync"
	"time"
)

// delayWatchInterval is the time between two looks at the clock.
const delayWatchInterval = 5 * time.Millisecond

// delayWatch measures by how much this process runs late.
type delayWatch struct {
	mu      sync.Mutex
	delay   time.Duration
	endedAt time.Duration
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

func (w *delayWatch) record(delay, endedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delay > w.delay {
		w.delay, w.endedAt = delay, endedAt
	}
}

// longest returns the longest delay so far, and when it ended.
func (w *delayWatch) longest() (delay, endedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay, w.endedAt
}
