package node

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// buffer is a piece of memory of the one size that holds any message. Its users count: those that an answer
// or an attempt still reads from must not be used again before that is written. Only Run's goroutine counts.
type buffer struct {
	data [protocol.BufferSize]byte
	n    int
	refs int
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func newBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.n, b.refs = 0, 1
	return b
}

func (b *buffer) bytes() []byte { return b.data[:b.n] }

// add appends as much of p as there is room for and returns the rest.
func (b *buffer) add(p []byte) []byte {
	k := copy(b.data[b.n:], p)
	b.n += k
	return p[k:]
}

func (b *buffer) retain() *buffer {
	if b != nil {
		b.refs++
	}
	return b
}

func (b *buffer) release() {
	if b == nil {
		return
	}
	if b.refs--; b.refs == 0 {
		buffers.Put(b)
	}
}

// hand takes what the connection has received and has receive get it on Run's goroutine. Until then it counts as unread: whoever
// looks in between must not find the connection empty, so it counts before the bytes leave the reader.
func (s *socket) hand(conn netpoll.Connection, n *Node, receive func(*buffer)) error {
	s.handed.Add(1)
	b, err := take(conn)
	if err != nil {
		s.handed.Add(-1)
		return err
	}
	behind.Add(1)
	n.post(func() {
		s.handed.Add(-1)
		behind.Add(-1)
		receive(b)
	})
	return nil
}

// take moves what a connection has received, up to one buffer of it, into a buffer.
func take(conn netpoll.Connection) (*buffer, error) {
	r := conn.Reader()
	k := min(r.Len(), protocol.BufferSize)
	p, err := r.Next(k)
	if err != nil {
		return nil, err
	}
	b := newBuffer()
	b.add(p)
	return b, r.Release()
}

// socket is one connection of the poller's. Its lock keeps a write and the end of the connection apart: the
// poller gives a connection's buffers to others once it has closed, also while somebody still fills them.
type socket struct {
	conn   netpoll.Connection
	handed atomic.Int32 // pieces of input on their way to Run's goroutine
	file   *os.File     // in its place while it has left the poller
	mu     sync.Mutex
	ended  bool
	hup    atomic.Bool // the poller has ended it
	// endedAt is when the poller met the end of a client's connection, on the node's clock; 0: it has not.
	endedAt atomic.Int64
	fin     bool // the other side has closed it in order
	left    func(*os.File, []byte, error)
}

// onClose has f called when the connection has closed.
func (s *socket) onClose(f func()) {
	if c, ok := s.conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		_ = c.SetOnDisconnect(func(context.Context, netpoll.Connection) { s.hup.Store(true) })
	}
	_ = s.conn.AddCloseCallback(func(conn netpoll.Connection) error {
		s.mu.Lock()
		s.ended = true
		left := s.left
		s.left = nil
		s.mu.Unlock()
		if left != nil {
			behind.Add(-1)
			left(s.takeOver(conn))
			return nil
		}
		s.fin = stands(conn) == peerFinished // only then is what goes on until the end of a connection whole
		f()
		return nil
	})
}

func (s *socket) write(parts [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		for _, p := range parts {
			_ = s.file.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.file.Write(p); err != nil {
				return err
			}
		}
		return nil
	}
	if s.ended {
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

// finish tells the other side that nothing more comes. What it sends is read on. It returns false where the connection has ended.
func (s *socket) finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil || s.ended || !s.conn.IsActive() {
		return false
	}
	c, ok := s.conn.(interface{ Fd() int })
	return ok && syscall.Shutdown(c.Fd(), syscall.SHUT_WR) == nil
}

// end closes the connection, wherever it is.
func (s *socket) end() {
	if s.file != nil {
		_ = s.file.Close()
	} else {
		_ = s.conn.Close()
	}
}

// outside puts a descriptor in the place of the connection that has left the poller, and inside a new connection of the
// poller's in the place of that.
func (s *socket) outside(file *os.File) {
	s.mu.Lock()
	s.file = file
	s.mu.Unlock()
}

func (s *socket) inside(conn netpoll.Connection) {
	s.mu.Lock()
	s.conn, s.file, s.ended = conn, nil, false
	s.mu.Unlock()
	s.hup.Store(false)
}

// unread is how much has come in that Run's goroutine has not seen, in bytes or pieces. It looks in the order in which input moves on, so
// that what is between the two is not missed.
func (s *socket) unread() int {
	if s.file != nil {
		return 0
	}
	return s.conn.Reader().Len() + int(s.handed.Load())
}

// clean tells whether the connection is open and holds no input, also by what the poller has not seen yet. Like unread it looks in the
// order in which input moves on: the system first, then the poller, then what is on its way to Run's goroutine.
func (s *socket) clean() bool {
	s.mu.Lock() // its descriptor may be another connection's once it has ended
	defer s.mu.Unlock()
	if s.ended || !s.conn.IsActive() {
		return false
	}
	if c, ok := s.conn.(interface{ Fd() int }); ok {
		var one [1]byte
		_, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN && err != syscall.EINTR {
			return false
		}
	}
	return s.conn.IsActive() && s.unread() == 0
}

// hasEnded tells whether the other side has closed the connection or reset it, also where the poller has not seen that yet. Where somebody is
// writing, or reads beside the poller, it is they who find out.
func (s *socket) hasEnded() bool {
	if s.file != nil || !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.ended || !s.conn.IsActive() || stands(s.conn) != peerOpen
}

// writeSoon is write where the first byte must follow soon: what is held up before that is not written at all. It tells when the first byte
// was about to be written.
func (n *Node) writeSoon(s *socket, done func(began int64, err error), parts ...[]byte) {
	allowed := n.now() - n.heldUp
	go func() {
		began, err := n.now(), error(nil)
		if began-allowed > heldUpMost {
			err = errHeldUp
		} else {
			err = s.write(parts)
		}
		n.post(func() { done(began, err) })
	}()
}

// write writes parts to a connection beside Run's goroutine, which then calls done. A connection has one write
// at a time. Parts must stay as they are until then.
func (n *Node) write(s *socket, done func(error), parts ...[]byte) {
	go func() {
		err := s.write(parts)
		n.post(func() { done(err) })
	}()
}
