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
		limiter.recordRead(100)
		limiter.recordPosted(100)
	}
	waiting := &readLimiter{budget: budget}
	if allowed := waiting.allowedBytes(); allowed != 0 {
		t.Errorf("%d bytes may be read beyond the budget", allowed)
	}
}

// Whatever becomes of a connection, the budget has all of it back once its posted pieces are processed: what was lost
// would stop the poller for good.
func TestReadBudgetIsReturned(t *testing.T) {
	for name, operations := range map[string]func(*readLimiter){
		"processed": func(l *readLimiter) { l.recordRead(100); l.recordPosted(100); l.recordProcessed() },
		"in two pieces": func(l *readLimiter) {
			l.recordRead(200)
			l.recordPosted(50)
			l.recordPosted(150)
			l.recordProcessed()
			l.recordProcessed()
		},
		"ended with unread input":      func(l *readLimiter) { l.recordRead(100); l.recordEnd() },
		"ended before it is processed": func(l *readLimiter) { l.recordRead(100); l.recordPosted(60); l.recordEnd(); l.recordProcessed() },
		"read after its end":           func(l *readLimiter) { l.recordEnd(); l.recordRead(100) },
		"read before the limiter":      func(l *readLimiter) { l.recordPosted(100); l.recordProcessed() },
	} {
		t.Run(name, func(t *testing.T) {
			budget := newReadBudget(0)
			limiter := &readLimiter{budget: budget}
			operations(limiter)
			if usedBuffers := budget.usedBuffers.Load(); usedBuffers != 0 {
				t.Errorf("%d buffers are still charged", usedBuffers)
			}
		})
	}
}

// A connection that is stopped is not read, and read again once it is resumed.
func TestStoppedConnectionIsNotRead(t *testing.T) {
	limiter := &readLimiter{budget: newReadBudget(0)}
	limiter.setStopped(true)
	if allowed := limiter.allowedBytes(); allowed != 0 {
		t.Errorf("%d bytes may be read while it is stopped", allowed)
	}
	limiter.setStopped(false)
	if allowed := limiter.allowedBytes(); allowed != protocol.BufferSize {
		t.Errorf("%d bytes may be read", allowed)
	}
}
