package node

import (
	"testing"

	"tulipglade/internal/protocol"
)

// All connections of a node share one budget, as the sum of their own limits is far above the memory limit of a
// deployment. A connection that holds no buffer may not be read while others hold the whole budget.
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

// Whatever happens to a connection, all of its buffers are returned to the budget once its posted pieces have been
// processed. If buffers leaked, the poller would stop reading for good when the budget is used up.
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
				t.Errorf("%d buffers are still charged to the budget", usedBuffers)
			}
		})
	}
}

// The poller does not read a connection while reading is stopped, and reads it again once reading is resumed.
func TestStoppedConnectionIsNotRead(t *testing.T) {
	limiter := &readLimiter{budget: newReadBudget(0)}
	limiter.setStopped(true)
	if allowed := limiter.allowedBytes(); allowed != 0 {
		t.Errorf("%d bytes may be read while reading is stopped", allowed)
	}
	limiter.setStopped(false)
	if allowed := limiter.allowedBytes(); allowed != protocol.BufferSize {
		t.Errorf("%d bytes may be read after reading is resumed", allowed)
	}
}
