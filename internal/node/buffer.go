package node

import (
	"sync"
	"syscall"

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
	conn  netpoll.Connection
	mu    sync.Mutex
	ended bool
}

// onClose has f called when the connection has closed.
func (s *socket) onClose(f func()) {
	_ = s.conn.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		f()
		return nil
	})
}

func (s *socket) write(parts [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// clean tells whether the connection is open and holds no input, also by what the poller has not seen yet.
func (s *socket) clean() bool {
	s.mu.Lock() // its descriptor may be another connection's once it has ended
	defer s.mu.Unlock()
	if s.ended || !s.conn.IsActive() || s.conn.Reader().Len() > 0 {
		return false
	}
	c, ok := s.conn.(interface{ Fd() int })
	if !ok {
		return true
	}
	var one [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EINTR
}

// write writes parts to a connection beside Run's goroutine, which then calls done. A connection has one write
// at a time. Parts must stay as they are until then.
func (n *Node) write(s *socket, done func(error), parts ...[]byte) {
	go func() {
		err := s.write(parts)
		n.post(func() { done(err) })
	}()
}
