// Package protocol holds the forms of the wire: HTTP/1.1 heads and framing in both directions, load
// reports and discovery's lists. All of it is functions on bytes, bounded in time and memory; there are no
// sockets here.
package protocol

import (
	"errors"
)

// The bounds of a message. One with a body of up to MaxBody, the framing of its chunks included, fits into BufferSize; a
// larger one is read in pieces, with Shift between them.
const (
	MaxHead         = 8 << 10
	MaxBody         = 64 << 10
	MaxStreamedBody = 48 << 20 // half as much again as the 32 MB that bodies and answers have at most
	BufferSize      = MaxHead + MaxBody + 4<<10
	maxFields       = 64
	maxChunkLine    = 256 // bytes of a chunk's size line, or of one line of the trailer
)

// What can be wrong with a message.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("head too large")
	ErrBodyTooLarge = errors.New("body too large")
	ErrUnsupported  = errors.New("unsupported framing")
)

// phase is the part of a message that comes next.
type phase uint8

const (
	inHead phase = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inBodyUntilClose // until the connection ends
	complete
)

// Message reads one request or response out of a buffer that grows as bytes arrive. The zero value is ready.
type Message struct {
	Head
	MaxBody int  // 0: MaxBulk
	NoBody  bool // it answers a HEAD: whatever the head says, no body follows

	phase            phase
	startLineRead    bool
	lineStart        int // offset of the next line of the head
	scanned          int // offset up to which that line has no end
	interimResponses int // informational responses skipped
	headLength       int
	bodyEnd          int // offset of the end of the body so far
	consumedBody     int // bytes of the body that Shift has taken out
	remaining        int // bytes of the body, or of this chunk, still to come
	trailerLength    int
}

// Body is the body read so far out of the same buffer.
func (m *Message) Body(buf []byte) []byte { return buf[m.headLength:m.bodyEnd] }

// Rest is what arrived behind the message.
func (m *Message) Rest(buf []byte) []byte { return buf[m.bodyEnd:] }

// InBody reports whether the head is complete and the body is not.
func (m *Message) InBody() bool { return m.phase != inHead && m.phase != complete }

// ContentLength is the length of the body that the head gives, or -1 where it gives none.
func (m *Message) ContentLength() int { return m.contentLength }

// IsHTTP10 reports that the sender uses HTTP/1.0, which has no chunks.
func (m *Message) IsHTTP10() bool { return m.minorVersion == 0 }

// EndsWithConnection reports that the body ends with the connection: then Finish is called, if the connection ended in order.
func (m *Message) EndsWithConnection() bool { return m.phase == inBodyUntilClose }

// Finish marks a message whose body ends with the connection as complete.
func (m *Message) Finish() { m.phase = complete }

// ConsumeBody takes the body read so far out of buf, and moves what arrived behind it to the front. It returns how much that is.
// What Method, Target and Fields point to may be overwritten.
func (m *Message) ConsumeBody(buf []byte) int {
	n := copy(buf, buf[m.bodyEnd:])
	m.consumedBody += m.bodyEnd - m.headLength
	m.headLength, m.bodyEnd = 0, 0
	return n
}

// Remainder is the message as it is after Shift, for another buffer that takes the remaining bytes. m and its buffer do not
// change.
func (m *Message) Remainder() Message {
	tail := *m
	tail.consumedBody += tail.bodyEnd - tail.headLength
	tail.headLength, tail.bodyEnd = 0, 0
	return tail
}

// ParseBody continues to read buf after Shift or Tail, as Request and Response do.
func (m *Message) ParseBody(buf []byte) (int, bool, error) { return m.readBody(buf) }

// bodyLimit returns the limit of the body in force.
func (m *Message) bodyLimit() int {
	if m.MaxBody > 0 {
		return m.MaxBody
	}
	return MaxStreamedBody
}
