package node

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// socket is a connection of the poller, or the descriptor that replaces it while the connection is detached from the
// poller. Its lock keeps writes apart from the end of the connection: netpoll reuses the buffers of a closed
// connection, even if a write is still filling them.
type socket struct {
	conn            netpoll.Connection
	limiter         *readLimiter // limits what the poller reads from conn
	inputInTransit  atomic.Int32 // pieces of input that are posted to the event loop and not processed
	descriptor      *os.File     // replaces conn while it is detached from the poller
	mu              sync.Mutex
	transportClosed bool        // the poller's connection has ended
	closedByPoller  atomic.Bool // the poller, not the node, has closed conn
	resetRequested  atomic.Bool // the close of conn resets the connection
	// disconnectedAt is when the poller noticed that a client had disconnected, on the node's clock; 0: it has not.
	disconnectedAt    atomic.Int64
	peerClosedCleanly bool                          // the peer has closed the connection without a reset
	onDetached        func(*os.File, []byte, error) // called once the connection is detached; nil: it is not being detached
}

// fdConn is a connection that has a file descriptor, as the connections of the poller have.
type fdConn interface{ Fd() int }

// initPollerConn prepares a new connection of the poller: it limits what the poller reads ahead, and registers the
// callback for the end of the connection. It must be called before any callback for input is set.
func (s *socket) initPollerConn(account *memoryAccount, isClient bool, onClosed func()) error {
	limiter, err := installReadLimiter(s.conn, account, isClient)
	if err != nil {
		return err
	}
	s.limiter = limiter
	if c, ok := s.conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		_ = c.SetOnDisconnect(func(context.Context, netpoll.Connection) { s.closedByPoller.Store(true) })
	}
	return s.conn.AddCloseCallback(func(conn netpoll.Connection) error {
		limiter.recordEnd()
		s.mu.Lock()
		s.transportClosed = true
		if c, ok := conn.(fdConn); ok && s.resetRequested.Load() { // the descriptor is closed only after this callback
			_ = unix.SetsockoptLinger(c.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		onDetached := s.onDetached
		s.onDetached = nil
		s.mu.Unlock()
		if onDetached != nil {
			pollerBacklog.Add(-1)
			onDetached(s.duplicateDescriptor(conn))
			return nil
		}
		s.peerClosedCleanly = queryPeerState(conn) == peerFinished // only an orderly end completes an answer without a length
		onClosed()
		return nil
	})
}

// write writes parts to the poller's connection, or to the descriptor while the connection is detached.
func (s *socket) write(parts [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor != nil {
		for _, p := range parts {
			_ = s.descriptor.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.descriptor.Write(p); err != nil {
				return err
			}
		}
		return nil
	}
	if s.transportClosed {
		return netpoll.ErrConnClosed
	}
	w := s.conn.Writer()
	for _, p := range parts {
		if _, err := w.WriteBinary(p); err != nil {
			return err
		}
	}
	return w.Flush()
}

// closeWrite closes the node's direction of the connection; input can still be read. It returns false if the
// connection has ended or is detached from the poller.
func (s *socket) closeWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fd, ok := s.openDescriptor()
	return ok && unix.Shutdown(fd, unix.SHUT_WR) == nil
}

// resetOnClose makes the close of the connection reset it, unless it has ended or is detached from the poller. It does
// not wait for a write in progress.
func (s *socket) resetOnClose() { s.resetRequested.Store(true) }

// limitReceiveBuffer sets the size of the connection's receive buffer, unless the connection has ended.
func (s *socket) limitReceiveBuffer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fd, ok := s.openDescriptor(); ok {
		_ = limitReceiveBuffer(fd)
	}
}

// openDescriptor returns the descriptor of the poller's connection. It reports false if the connection has ended, as
// the number may belong to another one by then, or if it is detached from the poller. The caller holds s.mu until it
// has used the descriptor: the callback that runs before the poller closes the descriptor waits for it.
func (s *socket) openDescriptor() (fd int, ok bool) {
	if s.descriptor != nil || s.transportClosed || !s.conn.IsActive() {
		return 0, false
	}
	c, ok := s.conn.(fdConn)
	if !ok {
		return 0, false
	}
	return c.Fd(), true
}

// closeTransport closes the poller's connection, or the descriptor while the connection is detached.
func (s *socket) closeTransport() {
	if s.descriptor != nil {
		_ = s.descriptor.Close()
	} else {
		_ = s.conn.Close()
	}
}

// useDescriptor replaces the poller's connection by the descriptor that was detached from it.
func (s *socket) useDescriptor(file *os.File) {
	s.mu.Lock()
	s.descriptor = file
	s.mu.Unlock()
}

// usePollerConn replaces the descriptor by a new connection of the poller.
func (s *socket) usePollerConn(conn netpoll.Connection) {
	s.mu.Lock()
	s.conn, s.descriptor, s.transportClosed = conn, nil, false
	s.mu.Unlock()
	s.closedByPoller.Store(false)
}

// unreadInput returns how much input the event loop has not processed: the bytes that the poller has read, plus the
// pieces that are posted. It counts them in the order in which input moves on, so that it misses none that moves
// meanwhile.
func (s *socket) unreadInput() int {
	if s.descriptor != nil {
		return 0
	}
	return s.conn.Reader().Len() + int(s.inputInTransit.Load())
}

// isOpenWithoutInput reports whether the connection is open and has no unprocessed input, including input that the
// poller has not read yet. Like unreadInput it checks in the order in which input moves on: kernel, poller, event
// loop.
func (s *socket) isOpenWithoutInput() bool {
	s.mu.Lock() // once the connection is closed, its descriptor may belong to another
	defer s.mu.Unlock()
	if s.transportClosed || !s.conn.IsActive() {
		return false
	}
	if fd, ok := s.openDescriptor(); ok {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EAGAIN && err != unix.EINTR {
			return false
		}
	}
	return s.conn.IsActive() && s.unreadInput() == 0
}

// peerHasEnded reports whether the peer has closed or reset the connection, even if the poller has not noticed that
// yet, or can't because the connection is detached. During a write it returns false: the writer will notice the end.
func (s *socket) peerHasEnded() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	if s.descriptor != nil {
		return queryDetachedPeerState(s.descriptor) != peerOpen
	}
	return s.transportClosed || !s.conn.IsActive() || queryPeerState(s.conn) != peerOpen
}

// postInput posts what the connection has received to the event loop. The input counts as unread until the event loop
// processes it. It is counted before the bytes leave the poller's reader, so that the connection never appears to be
// without input in between.
func (s *socket) postInput(conn netpoll.Connection, node *Node, receive func(*buffer)) error {
	s.inputInTransit.Add(1)
	b, err := readBuffer(node.memory, conn)
	if err != nil {
		s.inputInTransit.Add(-1)
		return err
	}
	limiter := s.limiter
	bufferSize := len(b.data)
	limiter.recordPosted(b.length, bufferSize)
	pollerBacklog.Add(1)
	node.report(reportInput, func() {
		s.inputInTransit.Add(-1)
		pollerBacklog.Add(-1)
		receive(b)
		limiter.recordProcessed(bufferSize)
	})
	return nil
}

// writeUnlessDelayed writes the first bytes of an attempt, which must follow its check soon: if the write would start
// more than maxWriteDelay after checkedAt, nothing is written and the error is errWriteDelayed. onWritten also gets
// the time at which the write was started.
func (n *Node) writeUnlessDelayed(target *socket, checkedAt int64, onWritten func(startedAt int64, err error), parts ...[]byte) {
	checkedAt -= n.testWriteDelay
	go func() {
		startedAt, err := n.now(), error(nil)
		if startedAt-checkedAt > maxWriteDelay {
			err = errWriteDelayed
		} else {
			err = target.write(parts)
		}
		n.report(reportWritten, func() { onWritten(startedAt, err) })
	}()
}

// write writes parts to a connection on a goroutine of its own and posts the result to the event loop. A connection
// has one write at a time, and parts must not change until it has ended.
func (n *Node) write(target *socket, onWritten func(error), parts ...[]byte) {
	go func() {
		err := target.write(parts)
		n.report(reportWritten, func() { onWritten(err) })
	}()
}
