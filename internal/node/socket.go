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

// socket is one connection of the poller's. Its lock keeps a write and the end of the connection apart: the
// poller gives a connection's buffers to others once it has closed, also while somebody still fills them.
type socket struct {
	conn            netpoll.Connection
	inputInTransit  atomic.Int32 // pieces of input on their way to Run's goroutine
	descriptor      *os.File     // in its place while it has left the poller
	mu              sync.Mutex
	transportClosed bool
	closedByPoller  atomic.Bool // the poller has ended it
	// disconnectedAt is when the poller met the end of a client's connection, on the node's clock; 0: it has not.
	disconnectedAt    atomic.Int64
	peerClosedInOrder bool // the other side has closed it in order
	onDetached        func(*os.File, []byte, error)
}

// onClose has f called when the connection has closed.
func (s *socket) onClose(onClosed func()) {
	if c, ok := s.conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		_ = c.SetOnDisconnect(func(context.Context, netpoll.Connection) { s.closedByPoller.Store(true) })
	}
	_ = s.conn.AddCloseCallback(func(conn netpoll.Connection) error {
		s.mu.Lock()
		s.transportClosed = true
		onDetached := s.onDetached
		s.onDetached = nil
		s.mu.Unlock()
		if onDetached != nil {
			pollerBacklog.Add(-1)
			onDetached(s.takeDescriptor(conn))
			return nil
		}
		s.peerClosedInOrder = queryPeerState(conn) == peerFinished // only then is what goes on until the end of a connection whole
		onClosed()
		return nil
	})
}

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

// closeWrite tells the other side that nothing more comes. What it sends is read on. It returns false where the connection has ended.
func (s *socket) closeWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor != nil || s.transportClosed || !s.conn.IsActive() {
		return false
	}
	c, ok := s.conn.(interface{ Fd() int })
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

// useDescriptor puts a descriptor in the place of the connection that has left the poller, and inside a new connection of the
// poller's in the place of that.
func (s *socket) useDescriptor(file *os.File) {
	s.mu.Lock()
	s.descriptor = file
	s.mu.Unlock()
}

func (s *socket) usePollerConn(conn netpoll.Connection) {
	s.mu.Lock()
	s.conn, s.descriptor, s.transportClosed = conn, nil, false
	s.mu.Unlock()
	s.closedByPoller.Store(false)
}

// unreadInput is how much has come in that Run's goroutine has not seen, in bytes or pieces. It looks in the order in which input moves on, so
// that what is between the two is not missed.
func (s *socket) unreadInput() int {
	if s.descriptor != nil {
		return 0
	}
	return s.conn.Reader().Len() + int(s.inputInTransit.Load())
}

// isOpenAndDrained tells whether the connection is open and holds no input, also by what the poller has not seen yet. Like unread it looks in the
// order in which input moves on: the system first, then the poller, then what is on its way to Run's goroutine.
func (s *socket) isOpenAndDrained() bool {
	s.mu.Lock() // its descriptor may be another connection's once it has ended
	defer s.mu.Unlock()
	if s.transportClosed || !s.conn.IsActive() {
		return false
	}
	if c, ok := s.conn.(interface{ Fd() int }); ok {
		var one [1]byte
		_, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN && err != syscall.EINTR {
			return false
		}
	}
	return s.conn.IsActive() && s.unreadInput() == 0
}

// peerHasEnded tells whether the other side has closed the connection or reset it, also where the poller has not seen that yet. Where somebody is
// writing, or reads beside the poller, it is they who find out.
func (s *socket) peerHasEnded() bool {
	if s.descriptor != nil || !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.transportClosed || !s.conn.IsActive() || queryPeerState(s.conn) != peerOpen
}

// deliver takes what the connection has received and has receive get it on Run's goroutine. Until then it counts as unread: whoever
// looks in between must not find the connection empty, so it counts before the bytes leave the reader.
func (s *socket) deliver(conn netpoll.Connection, node *Node, receive func(*buffer)) error {
	s.inputInTransit.Add(1)
	b, err := readBuffer(conn)
	if err != nil {
		s.inputInTransit.Add(-1)
		return err
	}
	pollerBacklog.Add(1)
	node.post(func() {
		s.inputInTransit.Add(-1)
		pollerBacklog.Add(-1)
		receive(b)
	})
	return nil
}

// writeWithoutDelay is write where the first byte must follow soon: what is held up before that is not written at all. It tells when the first byte
// was about to be written.
func (n *Node) writeWithoutDelay(target *socket, onWritten func(startedAt int64, err error), parts ...[]byte) {
	allowedAt := n.now() - n.testWriteDelay
	go func() {
		startedAt, err := n.now(), error(nil)
		if startedAt-allowedAt > maxWriteDelay {
			err = errWriteDelayed
		} else {
			err = target.write(parts)
		}
		n.post(func() { onWritten(startedAt, err) })
	}()
}

// write writes parts to a connection beside Run's goroutine, which then calls done. A connection has one write
// at a time. Parts must stay as they are until then.
func (n *Node) write(target *socket, onWritten func(error), parts ...[]byte) {
	go func() {
		err := target.write(parts)
		n.post(func() { onWritten(err) })
	}()
}
