package node

import (
	"testing"

	"tulipglade/internal/protocol"
)

// All connections of a node share one budget: what each may hold adds up to far more than a deployment's memory limit. A
// connection that holds nothing may not be read while others hold all of it.
func TestReadBudgetIsShared(t *testing.T) {
	const buffers = 3
	budget := newReadBudget(buffers * protocol.BufferSize * unprocessedMemoryDivisor)
	for range buffers {
		limiter := &readLimiter{budget: budget}
		limiter.received(100)
		limiter.delivered(100)
	}
	waiting := &readLimiter{budget: budget}
	if allowed := waiting.allowance(); allowed != 0 {
		t.Errorf("%d bytes may be read beyond the budget", allowed)
	}
}

// Whatever becomes of a connection, the budget has all of it back once its posted pieces are processed: what was lost
// would stop the poller for good.
func TestReadBudgetIsReturned(t *testing.T) {
	for name, use := range map[string]func(*readLimiter){
		"processed":                    func(l *readLimiter) { l.received(100); l.delivered(100); l.processed() },
		"in two pieces":                func(l *readLimiter) { l.received(200); l.delivered(50); l.delivered(150); l.processed(); l.processed() },
		"ended with unread input":      func(l *readLimiter) { l.received(100); l.end() },
		"ended before it is processed": func(l *readLimiter) { l.received(100); l.delivered(60); l.end(); l.processed() },
		"read after its end":           func(l *readLimiter) { l.end(); l.received(100) },
		"read before the limiter":      func(l *readLimiter) { l.delivered(100); l.processed() },
	} {
		t.Run(name, func(t *testing.T) {
			budget := newReadBudget(0)
			limiter := &readLimiter{budget: budget}
			use(limiter)
			if used := budget.used.Load(); used != 0 {
				t.Errorf("%d buffers are still charged", used)
			}
		})
	}
}

// A connection that is stopped is not read, and read again once it is resumed.
func TestStoppedConnectionIsNotRead(t *testing.T) {
	limiter := &readLimiter{budget: newReadBudget(0)}
	limiter.setStopped(true)
	if allowed := limiter.allowance(); allowed != 0 {
		t.Errorf("%d bytes may be read while it is stopped", allowed)
	}
	limiter.setStopped(false)
	if allowed := limiter.allowance(); allowed != protocol.BufferSize {
		t.Errorf("%d bytes may be read", allowed)
	}
}
