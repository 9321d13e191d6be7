package node

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// socket is a connection of the poller, or the descriptor that replaces it while it is detached. Its lock keeps a
// write and the end of the connection apart: the poller reuses a connection's buffers once it has closed, even while
// they are being filled.
type socket struct {
	conn            netpoll.Connection
	limiter         *readLimiter // of conn
	inputInTransit  atomic.Int32 // pieces of input that are posted to the event loop
	descriptor      *os.File     // replaces conn while it is detached from the poller
	mu              sync.Mutex
	transportClosed bool
	closedByPoller  atomic.Bool // the poller has closed conn
	// disconnectedAt is when the poller noticed the end of a client's connection, on the node's clock; 0: it has not.
	disconnectedAt    atomic.Int64
	peerClosedCleanly bool // the peer has closed the connection without a reset
	onDetached        func(*os.File, []byte, error)
}

// fdConn is a connection that has a file descriptor, as the poller's have.
type fdConn interface{ Fd() int }

// initPollerConn prepares a new connection of the poller, before any callback for its input is set: it limits what the
// poller reads ahead, and registers the callback for the end of the connection.
func (s *socket) initPollerConn(budget *readBudget, onClosed func()) error {
	limiter, err := installReadLimiter(s.conn, budget)
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

// write writes parts to the connection, wherever it is.
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

// closeWrite closes the node's direction; input is still read. It returns false if the connection has ended.
func (s *socket) closeWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor != nil || s.transportClosed || !s.conn.IsActive() {
		return false
	}
	c, ok := s.conn.(fdConn)
	return ok && syscall.Shutdown(c.Fd(), syscall.SHUT_WR) == nil
}

// closeTransport closes the connection, wherever it is.
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

// unreadInput is how much input the event loop has not processed, in bytes or pieces. It looks in the order in which
// input moves on, so that none in between is missed.
func (s *socket) unreadInput() int {
	if s.descriptor != nil {
		return 0
	}
	return s.conn.Reader().Len() + int(s.inputInTransit.Load())
}

// isOpenWithoutInput reports whether the connection is open and has no unprocessed input, including what the poller has
// not read yet. Like unreadInput it looks in the order in which input moves on: kernel, poller, event loop.
func (s *socket) isOpenWithoutInput() bool {
	s.mu.Lock() // once it is closed, its descriptor may belong to another connection
	defer s.mu.Unlock()
	if s.transportClosed || !s.conn.IsActive() {
		return false
	}
	if c, ok := s.conn.(fdConn); ok {
		var one [1]byte
		_, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN && err != syscall.EINTR {
			return false
		}
	}
	return s.conn.IsActive() && s.unreadInput() == 0
}

// peerHasEnded reports whether the peer has closed or reset the connection, also if the poller has not noticed yet, or
// does not know the connection as it is detached. While it is being written, the writer finds out.
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

// postInput posts what the connection has received to the event loop. Until then it counts as unread, and it is counted
// before the bytes leave the reader, so that the connection never looks drained in between.
func (s *socket) postInput(conn netpoll.Connection, node *Node, receive func(*buffer)) error {
	s.inputInTransit.Add(1)
	b, err := readBuffer(conn)
	if err != nil {
		s.inputInTransit.Add(-1)
		return err
	}
	limiter := s.limiter
	limiter.recordPosted(b.length)
	pollerBacklog.Add(1)
	node.report(reportInput, func() {
		s.inputInTransit.Add(-1)
		pollerBacklog.Add(-1)
		receive(b)
		limiter.recordProcessed()
	})
	return nil
}

// writeUnlessDelayed is write for a first byte that must follow its check soon: after a delay of more than
// maxWriteDelay nothing is written. It reports when the write started.
func (n *Node) writeUnlessDelayed(target *socket, onWritten func(startedAt int64, err error), parts ...[]byte) {
	allowedAt := n.now() - n.testWriteDelay
	go func() {
		startedAt, err := n.now(), error(nil)
		if startedAt-allowedAt > maxWriteDelay {
			err = errWriteDelayed
		} else {
			err = target.write(parts)
		}
		n.report(reportWritten, func() { onWritten(startedAt, err) })
	}()
}

// write writes parts on a goroutine of its own and posts the result. A connection has one write at a time, and parts
// must not change until it is done.
func (n *Node) write(target *socket, onWritten func(error), parts ...[]byte) {
	go func() {
		err := target.write(parts)
		n.report(reportWritten, func() { onWritten(err) })
	}()
}
