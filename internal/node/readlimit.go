package node

import (
	"errors"
	"math"
	"reflect"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// What the poller may read before the event loop has processed it. All of it is counted in buffers of
// protocol.BufferSize, as each piece that is posted takes a whole one.
const (
	// maxPostedPieces bounds the pieces of one connection that are posted; one more buffer may have been read.
	maxPostedPieces = 4
	// unprocessedMemoryDivisor bounds it for all connections, as a part of the node's memory limit.
	unprocessedMemoryDivisor = 4
	// defaultUnprocessedMemory is the bound for all connections of a node without a memory limit, in bytes.
	defaultUnprocessedMemory = 8 << 20
)

// readBudget bounds what the poller has read for all connections of a node and the event loop has not processed.
type readBudget struct {
	maxBuffers  int64 // how many there may be
	usedBuffers atomic.Int64
}

// newReadBudget returns the budget of a node with a memory limit in bytes; 0: it has none.
func newReadBudget(memoryLimit int64) *readBudget {
	if memoryLimit <= 0 {
		memoryLimit = defaultUnprocessedMemory * unprocessedMemoryDivisor
	}
	return &readBudget{maxBuffers: memoryLimit / unprocessedMemoryDivisor / protocol.BufferSize}
}

// readLimiter makes the poller stop reading a connection while the event loop is behind with its input, or has
// decided that something else will read it. The poller asks it before each read, so that no report to the event loop
// has to come in time for the memory to stay bounded.
type readLimiter struct {
	budget *readBudget
	conn   netpoll.Connection

	lastDeniedPause uint64 // the count of pauses when the poller was last told not to read it; only the poller uses it

	mu             sync.Mutex
	unread         int  // bytes that the poller has read and nobody has taken
	postedPieces   int  // pieces that are posted to the event loop
	chargedBuffers int  // buffers that count against the budget
	stopped        bool // nothing more is to be read for now
	ended          bool // the connection has ended: what is read no longer counts
}

// installReadLimiter puts a limiter between the poller and a connection on which no request callback is set.
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

// limitInputs returns where the poller may read to, which is nowhere while the connection may not be read. If the peer has
// ended the connection, all is read, as netpoll drops what it leaves: that is no more than the kernel's buffer.
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

// allowedBytes is how many bytes may be read now.
func (l *readLimiter) allowedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopped, l.postedPieces >= maxPostedPieces, l.unread == 0 && l.budget.usedBuffers.Load() >= l.budget.maxBuffers:
		return 0
	}
	return protocol.BufferSize - l.unread
}

// recordRead counts what the poller has read.
func (l *readLimiter) recordRead(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= 0 || l.ended {
		return
	}
	l.unread += n
	l.updateBudget()
}

// recordPosted counts a piece of so many bytes as posted to the event loop.
func (l *readLimiter) recordPosted(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread = max(l.unread-n, 0) // what was read before the limiter was there has not been counted
	l.postedPieces++
	l.updateBudget()
}

// recordProcessed counts a posted piece as processed.
func (l *readLimiter) recordProcessed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.postedPieces--
	l.updateBudget()
}

// updateBudget brings the budget up to what this connection holds.
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

// recordEnd returns what nobody will take to the budget. What is posted counts until it is processed.
func (l *readLimiter) recordEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.unread = true, 0
	l.updateBudget()
}

// pollerPause is how long the poller waits before it looks again at connections that it may not read. It must not spin:
// the event loop, on which it waits, may have but a part of one core with it.
const pollerPause = 500 * time.Microsecond

// pollerPauseCount counts the pauses. Only the poller's goroutine uses it, and the counts that limiters keep of it.
var pollerPauseCount uint64

// waitForEventLoop is called each time that the connection may not be read. It pauses if the poller has found that before
// since the last pause: once for all connections in each round of the poller.
func (l *readLimiter) waitForEventLoop() {
	if l.lastDeniedPause == pollerPauseCount {
		time.Sleep(pollerPause)
		pollerPauseCount++
	}
	l.lastDeniedPause = pollerPauseCount
}

// errNoOperator reports that netpoll's connection has a form that this package does not know.
var errNoOperator = errors.New("netpoll: a connection without an operator")

// operatorOf returns what the poller knows a connection by. netpoll does not export it.
func operatorOf(conn netpoll.Connection) (*netpoll.FDOperator, error) {
	connValue := reflect.ValueOf(conn)
	if connValue.Kind() != reflect.Pointer || connValue.Elem().Kind() != reflect.Struct {
		return nil, errNoOperator
	}
	field := connValue.Elem().FieldByName("operator")
	if !field.IsValid() || field.Type() != reflect.TypeFor[*netpoll.FDOperator]() || field.IsNil() {
		return nil, errNoOperator
	}
	return (*netpoll.FDOperator)(field.UnsafePointer()), nil
}

// States of netpoll's operator, as its fd_operator.go defines them.
const (
	operatorUnregistered = 0
	operatorRegistered   = 1
	operatorLocked       = 2
)

// lockOperator keeps the poller from using an operator until unlock is called, in the way in which netpoll's own
// Release does.
func lockOperator(operator *netpoll.FDOperator) (unlock func(), err error) {
	field := reflect.ValueOf(operator).Elem().FieldByName("state")
	if !field.IsValid() || field.Kind() != reflect.Int32 {
		return nil, errNoOperator
	}
	state := (*int32)(unsafe.Pointer(field.UnsafeAddr()))
	if atomic.LoadInt32(state) == operatorUnregistered {
		return func() {}, nil
	}
	for !atomic.CompareAndSwapInt32(state, operatorRegistered, operatorLocked) {
		runtime.Gosched()
	}
	return func() { atomic.StoreInt32(state, operatorRegistered) }, nil
}
