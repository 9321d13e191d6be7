package node

import (
	"bytes"
	"sync"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// buffer is a reference-counted piece of memory of a fixed size that holds any message. It is not reused before every
// answer and attempt that reads from it has been written. Only the event loop counts references.
type buffer struct {
	data   [protocol.BufferSize]byte
	length int
	refs   int
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// newBuffer returns an empty buffer with one reference.
func newBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.length, b.refs = 0, 1
	return b
}

// bytes returns the content.
func (b *buffer) bytes() []byte { return b.data[:b.length] }

// add appends as much of p as there is space for and returns the rest.
func (b *buffer) add(input []byte) []byte {
	copied := copy(b.data[b.length:], input)
	b.length += copied
	return input[copied:]
}

// retain adds a reference.
func (b *buffer) retain() *buffer {
	if b != nil {
		b.refs++
	}
	return b
}

// release drops a reference; the last one returns the buffer to the pool.
func (b *buffer) release() {
	if b == nil {
		return
	}
	if b.refs--; b.refs == 0 {
		buffers.Put(b)
	}
}

// readBuffer moves up to one buffer of what a connection has received into a buffer.
func readBuffer(conn netpoll.Connection) (*buffer, error) {
	reader := conn.Reader()
	size := min(reader.Len(), protocol.BufferSize)
	data, err := reader.Next(size)
	if err != nil {
		return nil, err
	}
	b := newBuffer()
	b.add(data)
	return b, reader.Release()
}

// appendCopy appends a copy of data to pieces.
func appendCopy(pieces [][]byte, data []byte) [][]byte { return append(pieces, bytes.Clone(data)) }
