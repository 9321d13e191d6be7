package node

import (
	"bytes"
	"sync"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// buffer is a reference-counted buffer of a fixed size that is large enough for any message that is not forwarded in
// pieces. It returns to the pool only after all answers and attempts that use its bytes have been written. References
// are added and dropped on the event loop only.
type buffer struct {
	data   [protocol.BufferSize]byte
	length int
	refs   int
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// newBuffer returns an empty buffer from the pool, with a reference count of one.
func newBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.length, b.refs = 0, 1
	return b
}

// bytes returns the content of the buffer without copying it.
func (b *buffer) bytes() []byte { return b.data[:b.length] }

// add appends as much of input as there is space for, and returns the rest.
func (b *buffer) add(input []byte) []byte {
	copied := copy(b.data[b.length:], input)
	b.length += copied
	return input[copied:]
}

// retain adds a reference and returns the buffer. A nil buffer is returned as it is.
func (b *buffer) retain() *buffer {
	if b != nil {
		b.refs++
	}
	return b
}

// release drops a reference, and returns the buffer to the pool with the last one. It does nothing for a nil buffer.
func (b *buffer) release() {
	if b == nil {
		return
	}
	if b.refs--; b.refs == 0 {
		buffers.Put(b)
	}
}

// readBuffer returns a new buffer with as much of the connection's unread input as fits into it.
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

// appendCopy appends a copy of data to pieces, as the memory of data may be reused.
func appendCopy(pieces [][]byte, data []byte) [][]byte { return append(pieces, bytes.Clone(data)) }
