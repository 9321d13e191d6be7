package soak

import (
	"sync"
	"time"
)

const (
	// delayWatchInterval is the interval at which the clock is read.
	delayWatchInterval = 5 * time.Millisecond
	// shortestOwnDelay is the shortest delay that is kept.
	shortestOwnDelay = 20 * time.Millisecond
)

// ownDelay is a time in which this process did not run.
type ownDelay struct{ from, to time.Duration }

// length returns how long the delay lasted.
func (d ownDelay) length() time.Duration { return d.to - d.from }

// delayWatch measures the scheduling delays of this process: the times by which a sleep lasts longer than requested.
type delayWatch struct {
	mu     sync.Mutex
	delays []ownDelay // in the order of time
}

// watch measures delays until the end of the run.
func (w *delayWatch) watch(r *run) {
	for before := r.now(); !r.ended(); {
		time.Sleep(delayWatchInterval)
		now := r.now()
		w.record(ownDelay{before + delayWatchInterval, now})
		before = now
	}
}

// record keeps a delay unless it is short.
func (w *delayWatch) record(delay ownDelay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delay.length() >= shortestOwnDelay {
		w.delays = append(w.delays, delay)
	}
}

// longest returns the longest delay so far and the time at which it ended.
func (w *delayWatch) longest() (delay, endedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.delays {
		if d.length() > delay {
			delay, endedAt = d.length(), d.to
		}
	}
	return delay, endedAt
}

// within returns for how much of the time between two times this process did not run.
func (w *delayWatch) within(from, to time.Duration) (total time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.delays {
		total += max(min(d.to, to)-max(d.from, from), 0)
	}
	return total
}
