package node

import (
	"sync/atomic"

	"tulipglade/internal/protocol"
)

const (
	// accountedMemoryDivisor determines the memory that connections and messages may occupy together: the node's memory
	// limit is divided by it. The rest is for the runtime, the endpoint list and what the garbage collector has not freed.
	accountedMemoryDivisor = 2
	// unprocessedMemoryDivisor determines how much input the poller may have read and the event loop not processed.
	unprocessedMemoryDivisor = 4
	// defaultMemoryLimit is the memory limit of a node for which none is configured, as far as unprocessed input is
	// concerned. Nothing else is limited there.
	defaultMemoryLimit = 32 << 20
	// connectionMemory is what a connection occupies without any message: the structures and the buffer of netpoll, and
	// those of the node.
	connectionMemory = idleReadBufferSize + 2<<10
)

// memoryAccount counts the memory that connections and messages of a node occupy, wherever it is held: in netpoll's
// buffers, posted to the event loop, in incomplete and complete messages, and in messages that are being forwarded. Any
// goroutine may use it.
type memoryAccount struct {
	limit            atomic.Int64 // of used; 0: unlimited
	unprocessedLimit atomic.Int64
	used             atomic.Int64
	forwarders       atomic.Int64 // number of large messages that are being forwarded
	unprocessed      atomic.Int64 // part of used that the poller has read and the event loop has not processed
}

// newMemoryAccount returns the account of a node whose memory limit is given in bytes; 0: the node has no limit.
func newMemoryAccount(memoryLimit int64) *memoryAccount {
	a := &memoryAccount{}
	a.setLimit(memoryLimit, 1)
	return a
}

// setLimit sets the limits from the node's memory limit, which is divided between the processes of the node.
func (a *memoryAccount) setLimit(memoryLimit int64, processes int) {
	memoryLimit /= int64(max(processes, 1))
	a.limit.Store(max(memoryLimit, 0) / accountedMemoryDivisor)
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryLimit
	}
	a.unprocessedLimit.Store(memoryLimit / unprocessedMemoryDivisor)
}

// add charges the account with a number of bytes, or returns them to it if the number is negative.
func (a *memoryAccount) add(size int) { a.used.Add(int64(size)) }

// isTight reports whether so much memory is used that incomplete requests have to give way: a quarter of the limit is
// left.
func (a *memoryAccount) isTight() bool { return a.hasLessThan(a.limit.Load() / 4) }

// isFull reports whether all of the memory is used, so that nothing large may begin.
func (a *memoryAccount) isFull() bool { return a.hasLessThan(1) }

// isExhausted reports whether an eighth more than all of the memory is used, so that no request may begin.
func (a *memoryAccount) isExhausted() bool { return a.hasLessThan(-a.limit.Load() / 8) }

// hasLessThan reports whether less than a number of bytes is left.
func (a *memoryAccount) hasLessThan(size int64) bool {
	limit := a.limit.Load()
	return limit > 0 && limit-a.used.Load() < size
}

// forwarderBufferSize returns the size that the buffer of a forwarder may have: an equal part of what is meant for all of
// them, and at least tightForwarderBuffer.
func (a *memoryAccount) forwarderBufferSize() int {
	limit := a.limit.Load()
	if limit <= 0 {
		return protocol.BufferSize
	}
	if a.isTight() {
		return tightForwarderBuffer
	}
	part := limit / forwarderBuffersDivisor / max(a.forwarders.Load(), 1)
	return int(min(max(part, tightForwarderBuffer), protocol.BufferSize))
}

// isBehind reports whether the event loop is so far behind the poller that no more may be read.
func (a *memoryAccount) isBehind() bool { return a.unprocessed.Load() >= a.unprocessedLimit.Load() }
