package node

import "bytes"

// bufferedInput is input that waits for its reader, as a connection is being detached from the poller. Its buffers are
// charged to the memory account. The zero value is empty.
type bufferedInput struct {
	pieces   []*buffer
	consumed int // bytes of the first piece that have been read
}

// add appends a copy of data.
func (b *bufferedInput) add(account *memoryAccount, data []byte) {
	for len(data) > 0 {
		piece := newBuffer(account, len(data))
		data = piece.add(data)
		b.pieces = append(b.pieces, piece)
	}
}

// prepend inserts a copy of data before the input, none of which has been read.
func (b *bufferedInput) prepend(account *memoryAccount, data []byte) {
	var first bufferedInput
	first.add(account, data)
	b.pieces = append(first.pieces, b.pieces...)
}

// read moves input to dst and returns its size, which is 0 if there is none.
func (b *bufferedInput) read(dst []byte) (n int) {
	for len(b.pieces) > 0 && n < len(dst) {
		first := b.pieces[0]
		copied := copy(dst[n:], first.bytes()[b.consumed:])
		n += copied
		if b.consumed += copied; b.consumed == first.length {
			first.release()
			b.pieces, b.consumed = b.pieces[1:], 0
		}
	}
	return n
}

// length returns the size of the input.
func (b *bufferedInput) length() int {
	length := -b.consumed
	for _, piece := range b.pieces {
		length += piece.length
	}
	return length
}

// bytes returns a copy of the input.
func (b *bufferedInput) bytes() []byte {
	var all []byte
	for _, piece := range b.pieces {
		all = append(all, piece.bytes()...)
	}
	return all[b.consumed:]
}

// hasSuffix reports whether the input ends with the given bytes.
func (b *bufferedInput) hasSuffix(suffix []byte) bool { return bytes.HasSuffix(b.bytes(), suffix) }

// take returns the input and leaves none.
func (b *bufferedInput) take() bufferedInput {
	taken := *b
	*b = bufferedInput{}
	return taken
}

// release drops the input.
func (b *bufferedInput) release() {
	for _, piece := range b.pieces {
		piece.release()
	}
	*b = bufferedInput{}
}
