package node

import (
	"testing"

	"tulipglade/internal/protocol"
)

// All connections of a node share one memory account, as the sum of their own limits is far above the memory limit of a
// deployment. A connection that holds no buffer may not be read while others hold the whole budget.
func TestReadBudgetIsShared(t *testing.T) {
	const buffers = 3
	account := newMemoryAccount(buffers * protocol.BufferSize * unprocessedMemoryDivisor)
	for range buffers {
		limiter := &readLimiter{account: account}
		limiter.recordRead(100)
		limiter.recordPosted(100, protocol.BufferSize)
	}
	waiting := &readLimiter{account: account}
	if allowed := waiting.allowedBytes(); allowed != 0 {
		t.Errorf("%d bytes may be read beyond the budget", allowed)
	}
}

// Whatever happens to a connection, all that it has charged to the memory account is returned once its posted pieces
// have been processed. If memory leaked, the poller would stop reading for good when the account is used up.
func TestReadBudgetIsReturned(t *testing.T) {
	for name, operations := range map[string]func(*readLimiter){
		"processed": func(l *readLimiter) { l.recordRead(100); l.recordPosted(100, 1024); l.recordProcessed(1024) },
		"in two pieces": func(l *readLimiter) {
			l.recordRead(200)
			l.recordPosted(50, 1024)
			l.recordPosted(150, 2048)
			l.recordProcessed(1024)
			l.recordProcessed(2048)
		},
		"ended with unread input": func(l *readLimiter) { l.recordRead(100); l.recordEnd() },
		"ended before it is processed": func(l *readLimiter) {
			l.recordRead(100)
			l.recordPosted(60, 1024)
			l.recordEnd()
			l.recordProcessed(1024)
		},
		"read after its end":      func(l *readLimiter) { l.recordEnd(); l.recordRead(100) },
		"read before the limiter": func(l *readLimiter) { l.recordPosted(100, 1024); l.recordProcessed(1024) },
	} {
		t.Run(name, func(t *testing.T) {
			account := newMemoryAccount(0)
			limiter := &readLimiter{account: account}
			operations(limiter)
			if used, unprocessed := account.used.Load(), account.unprocessed.Load(); used != 0 || unprocessed != 0 {
				t.Errorf("%d bytes used and %d unprocessed are still charged to the account", used, unprocessed)
			}
		})
	}
}

// The poller does not read a connection while reading is stopped, and reads it again once reading is resumed.
func TestStoppedConnectionIsNotRead(t *testing.T) {
	limiter := &readLimiter{account: newMemoryAccount(0)}
	limiter.setStopped(true)
	if allowed := limiter.allowedBytes(); allowed != 0 {
		t.Errorf("%d bytes may be read while reading is stopped", allowed)
	}
	limiter.setStopped(false)
	if allowed := limiter.allowedBytes(); allowed != protocol.BufferSize {
		t.Errorf("%d bytes may be read after reading is resumed", allowed)
	}
}
