package node

import (
	"bytes"
	"sync"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// buffer is a piece of memory of the one size that holds any message. Its users count: those that an answer
// or an attempt still reads from must not be used again before that is written. Only Run's goroutine counts.
type buffer struct {
	data   [protocol.BufferSize]byte
	length int
	refs   int
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func newBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.length, b.refs = 0, 1
	return b
}

func (b *buffer) bytes() []byte { return b.data[:b.length] }

// add appends as much of p as there is room for and returns the rest.
func (b *buffer) add(p []byte) []byte {
	k := copy(b.data[b.length:], p)
	b.length += k
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

// readBuffer moves what a connection has received, up to one buffer of it, into a buffer.
func readBuffer(conn netpoll.Connection) (*buffer, error) {
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

// appendCopy keeps what comes while the connection leaves the poller.
func appendCopy(pieces [][]byte, data []byte) [][]byte { return append(pieces, bytes.Clone(data)) }
