package node

import (
	"math"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// maxPostedPieces bounds the pieces of input of one connection that are posted to the event loop and not processed.
// Besides these, the poller may have read protocol.BufferSize more.
const maxPostedPieces = 4

// readLimiter makes the poller stop reading a connection while the event loop lags behind with its input, or after
// another reader of the connection has been chosen. The poller asks the limiter before each read, so that memory stays
// bounded however late the event loop is.
type readLimiter struct {
	account *memoryAccount
	conn    netpoll.Connection

	lastDeniedPause uint64 // pollerPauseCount when a read was last denied; only the poller uses it

	mu             sync.Mutex
	unread         int  // bytes that the poller has read and that have not been posted to the event loop
	postedPieces   int  // pieces that are posted to the event loop and not processed
	postedBytes    int  // total size of the buffers of these pieces
	chargedUnread  int  // bytes of netpoll's buffers that this connection has charged to the account
	chargedPending int  // unprocessed bytes that this connection has charged to the account
	givesWay       bool // the connection is not read while the memory account is exhausted
	stopped        bool // the poller must not read until reading is resumed
	ended          bool // the connection has ended: further input is not counted
}

// installReadLimiter makes the poller read a connection through a new limiter. No request callback may be set on the
// connection yet.
func installReadLimiter(conn netpoll.Connection, account *memoryAccount, isClient bool) (*readLimiter, error) {
	operator, err := operatorOf(conn)
	if err != nil {
		return nil, err
	}
	unlock, err := lockOperator(operator)
	if err != nil {
		return nil, err
	}
	defer unlock()
	limiter := &readLimiter{account: account, conn: conn, givesWay: isClient, lastDeniedPause: math.MaxUint64}
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
	case l.stopped, l.postedPieces >= maxPostedPieces:
		return 0
	case l.unread == 0 && (l.account.isBehind() || l.givesWay && l.account.isExhausted()):
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
	l.updateAccount()
}

// recordPosted counts a piece of n bytes, in a buffer of the given size, as posted to the event loop.
func (l *readLimiter) recordPosted(n, bufferSize int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread = max(l.unread-n, 0) // input that was read before the limiter was installed has not been counted
	l.postedPieces++
	l.postedBytes += bufferSize
	l.updateAccount()
}

// recordProcessed counts a posted piece, in a buffer of the given size, as processed by the event loop.
func (l *readLimiter) recordProcessed(bufferSize int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.postedPieces--
	l.postedBytes -= bufferSize
	l.updateAccount()
}

// unreadMemoryFactor is how much memory netpoll uses for unread bytes: it rounds buffers up to a power of two.
const unreadMemoryFactor = 2

// updateAccount charges the memory account with what this connection occupies now. Buffers of posted pieces are charged
// already, and count here as unprocessed only.
func (l *readLimiter) updateAccount() {
	unread := l.unread * unreadMemoryFactor
	pending := unread + l.postedBytes
	l.account.used.Add(int64(unread - l.chargedUnread))
	l.account.unprocessed.Add(int64(pending - l.chargedPending))
	l.chargedUnread, l.chargedPending = unread, pending
}

// setGivesWay sets whether the connection is not read while the memory account is exhausted.
func (l *readLimiter) setGivesWay(givesWay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givesWay = givesWay
}

// setStopped stops or resumes reading.
func (l *readLimiter) setStopped(stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = stopped
}

// recordEnd returns the connection's unread bytes to the account after its end, as nobody will read them. Posted pieces
// count until they are processed.
func (l *readLimiter) recordEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.unread = true, 0
	l.updateAccount()
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
