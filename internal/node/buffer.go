package node

import (
	"bytes"
	"sync"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// bufferSizes are the sizes of buffers, in bytes. The largest has space for any message that is not forwarded in pieces.
var bufferSizes = [...]int{1 << 10, 2 << 10, 4 << 10, 8 << 10, 16 << 10, 32 << 10, protocol.BufferSize}

// headBufferSize is the initial size of a buffer for the head of an answer or a request that is written.
const headBufferSize = 1 << 10

// buffer is a reference-counted buffer of one of bufferSizes, which is charged to the node's memory account. It returns
// to its pool only after all answers and attempts that use its bytes have been written. References are added and
// dropped on the event loop, or by the one goroutine that has the only reference.
type buffer struct {
	data    []byte // of the full size
	length  int
	refs    int
	account *memoryAccount
}

// bufferPools holds unused buffers, by the index of their size in bufferSizes.
var bufferPools [len(bufferSizes)]sync.Pool

// sizeIndex returns the index of the smallest size of at least the given number of bytes, or of the largest size.
func sizeIndex(size int) int {
	for i, s := range bufferSizes {
		if s >= size {
			return i
		}
	}
	return len(bufferSizes) - 1
}

// newBuffer returns an empty buffer with space for a number of bytes, or of the largest size, and with a reference count
// of one.
func newBuffer(account *memoryAccount, size int) *buffer {
	index := sizeIndex(size)
	b, _ := bufferPools[index].Get().(*buffer)
	if b == nil {
		b = &buffer{data: make([]byte, bufferSizes[index])}
	}
	b.length, b.refs, b.account = 0, 1, account
	account.add(len(b.data))
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

// grown returns a buffer that has space for a number of further bytes, or the largest size, with the same content: the
// buffer itself if it suffices, or a larger one that replaces it. message is the one that has been parsed from the
// buffer so far.
func (b *buffer) grown(further int, message *protocol.Message) *buffer {
	if b.length+further <= len(b.data) || len(b.data) == protocol.BufferSize {
		return b
	}
	larger := newBuffer(b.account, b.length+further)
	larger.add(b.bytes())
	message.Rebase(b.data, larger.data)
	b.release()
	return larger
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
		b.account.add(-len(b.data))
		bufferPools[sizeIndex(len(b.data))].Put(b)
	}
}

// readBuffer returns a new buffer with as much of the connection's unread input as fits into the largest size.
func readBuffer(account *memoryAccount, conn netpoll.Connection) (*buffer, error) {
	reader := conn.Reader()
	size := min(reader.Len(), protocol.BufferSize)
	data, err := reader.Next(size)
	if err != nil {
		return nil, err
	}
	b := newBuffer(account, size)
	b.add(data)
	return b, reader.Release()
}

// appendCopy appends a copy of data to pieces, as the memory of data may be reused.
func appendCopy(pieces [][]byte, data []byte) [][]byte { return append(pieces, bytes.Clone(data)) }
