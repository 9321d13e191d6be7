package node

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// Limits of the input that the poller may read before the event loop has processed it. Input is counted in buffers of
// protocol.BufferSize, as each piece that is posted to the event loop occupies a whole buffer.
const (
	// maxPostedPieces bounds the pieces of one connection that are posted and not processed. Besides these, the poller
	// may have read one more buffer.
	maxPostedPieces = 4
	// unprocessedMemoryDivisor determines the limit for all connections together: the node's memory limit is
	// divided by it.
	unprocessedMemoryDivisor = 4
	// defaultUnprocessedMemory is the limit for all connections of a node without a memory limit, in bytes.
	defaultUnprocessedMemory = 8 << 20
)

// readBudget limits the input of all connections of a node that the poller has read and the event loop has not
// processed.
type readBudget struct {
	maxBuffers  int64        // once this many are used, the poller only reads connections that have unread input
	usedBuffers atomic.Int64 // sum of chargedBuffers of all limiters
}

// newReadBudget returns the budget of a node whose memory limit is given in bytes; 0: the node has no memory limit.
func newReadBudget(memoryLimit int64) *readBudget {
	if memoryLimit <= 0 {
		memoryLimit = defaultUnprocessedMemory * unprocessedMemoryDivisor
	}
	return &readBudget{maxBuffers: memoryLimit / unprocessedMemoryDivisor / protocol.BufferSize}
}

// readLimiter makes the poller stop reading a connection while the event loop lags behind with its input, or after
// another reader of the connection has been chosen. The poller asks the limiter before each read, so that memory stays
// bounded however late the event loop is.
type readLimiter struct {
	budget *readBudget
	conn   netpoll.Connection

	lastDeniedPause uint64 // pollerPauseCount when a read was last denied; only the poller uses it

	mu             sync.Mutex
	unread         int  // bytes that the poller has read and that have not been posted to the event loop
	postedPieces   int  // pieces that are posted to the event loop and not processed
	chargedBuffers int  // buffers that this connection has taken from the budget
	stopped        bool // the poller must not read until reading is resumed
	ended          bool // the connection has ended: further input is not counted
}

// installReadLimiter makes the poller read a connection through a new limiter. No request callback may be set on the
// connection yet.
func installReadLimiter(conn netpoll.Connection, budget *readBudget) (*readLimiter, error) {
	operator, err := operatorOf(conn)
	if err != nil {
		return nil, err
	}
	unlock, err := lockOperator(operator)
	if err != nil {
		return nil, err
	}
	defer unlock()
	limiter := &readLimiter{budget: budget, conn: conn, lastDeniedPause: math.MaxUint64}
	inputs, acknowledge := operator.Inputs, operator.InputAck
	operator.Inputs = func(vectors [][]byte) [][]byte { return limiter.limitInputs(inputs, vectors) }
	operator.InputAck = func(n int) error {
		limiter.recordRead(n)
		return acknowledge(n)
	}
	return limiter, nil
}

// limitInputs replaces the operator's Inputs, which provides the memory that the poller reads into. It returns nil
// while the connection may not be read, and otherwise limits the size to allowedBytes. If the peer has ended the
// connection, all input is read, as netpoll drops what it has not read: this is at most the content of the kernel's
// buffer.
func (l *readLimiter) limitInputs(inputs func([][]byte) [][]byte, vectors [][]byte) [][]byte {
	allowed := l.allowedBytes()
	if allowed > 0 {
		vectors = inputs(vectors)
		vectors[0] = vectors[0][:min(len(vectors[0]), allowed)]
		return vectors
	}
	if queryPeerState(l.conn) == peerOpen {
		l.waitForEventLoop()
		return nil
	}
	return inputs(vectors)
}

// allowedBytes returns how many bytes the poller may read from the connection now.
func (l *readLimiter) allowedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopped, l.postedPieces >= maxPostedPieces, l.unread == 0 && l.budget.usedBuffers.Load() >= l.budget.maxBuffers:
		return 0
	}
	return protocol.BufferSize - l.unread
}

// recordRead counts n bytes that the poller has read.
func (l *readLimiter) recordRead(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= 0 || l.ended {
		return
	}
	l.unread += n
	l.updateBudget()
}

// recordPosted counts a piece of n bytes as posted to the event loop.
func (l *readLimiter) recordPosted(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread = max(l.unread-n, 0) // input that was read before the limiter was installed has not been counted
	l.postedPieces++
	l.updateBudget()
}

// recordProcessed counts a posted piece as processed by the event loop.
func (l *readLimiter) recordProcessed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.postedPieces--
	l.updateBudget()
}

// updateBudget charges the budget with the buffers that this connection occupies now.
func (l *readLimiter) updateBudget() {
	occupied := l.postedPieces + (l.unread+protocol.BufferSize-1)/protocol.BufferSize
	l.budget.usedBuffers.Add(int64(occupied - l.chargedBuffers))
	l.chargedBuffers = occupied
}

// setStopped stops or resumes reading.
func (l *readLimiter) setStopped(stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = stopped
}

// recordEnd returns the connection's unread bytes to the budget after its end, as nobody will read them. Posted pieces
// count until they are processed.
func (l *readLimiter) recordEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.unread = true, 0
	l.updateBudget()
}

// pollerPause is how long the poller waits before it checks again whether it may read. It must not spin, as the event
// loop that it waits for may share a part of one core with it.
const pollerPause = 500 * time.Microsecond

// pollerPauseCount counts the pauses of the poller. It is used on the poller's goroutine only, as is lastDeniedPause of
// the limiters.
var pollerPauseCount uint64

// waitForEventLoop is called whenever a read of the connection is denied. It pauses the poller if a read of this
// connection has already been denied since the last pause. The poller thus pauses once per round, however many
// connections it may not read.
func (l *readLimiter) waitForEventLoop() {
	if l.lastDeniedPause == pollerPauseCount {
		time.Sleep(pollerPause)
		pollerPauseCount++
	}
	l.lastDeniedPause = pollerPauseCount
}
