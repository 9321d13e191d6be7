// Package protocol parses and formats everything that is sent over connections: HTTP/1.1 heads and message framing in
// both directions, load reports and the lists of discovery. Its functions work on byte slices, are bounded in time and
// memory, and do no I/O.
package protocol

import (
	"errors"
)

// Bounds of a message. A message whose body has up to MaxBody bytes, including the framing of its chunks, fits into a
// buffer of BufferSize. A larger one is read in pieces, with a call of ConsumeBody after each.
const (
	MaxHead         = 8 << 10
	MaxBody         = 64 << 10
	MaxStreamedBody = 48 << 20 // 1.5 times the 32 MB that the bodies of requests and responses have at most
	BufferSize      = MaxHead + MaxBody + 4<<10
	maxFields       = 64
	maxChunkLine    = 256 // maximum bytes of a chunk size line or of one trailer line
)

// Reasons for which a message is rejected.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("head too large")
	ErrBodyTooLarge = errors.New("body too large")
	ErrUnsupported  = errors.New("unsupported framing")
)

// phase is the part of a message that is parsed next.
type phase uint8

const (
	inHead phase = iota
	inBody       // of a known length
	inChunkSize
	inChunk
	inChunkEnd // the CRLF behind a chunk's data
	inTrailer
	inBodyUntilClose // the body ends when the connection closes
	complete
)

// Message parses one request or response from a buffer that grows as bytes arrive. The zero value is ready to use.
type Message struct {
	Head
	MaxBody int  // maximum length of the body; 0: MaxStreamedBody
	NoBody  bool // the message answers a HEAD request: no body follows, whatever length the head gives

	phase            phase
	startLineRead    bool
	lineStart        int // offset of the next line of the head to parse
	scanned          int // offset up to which that line has been searched for its CRLF
	interimResponses int // number of informational responses skipped
	headLength       int
	bodyEnd          int // offset of the end of the body parsed so far
	consumedBody     int // bytes of the body that ConsumeBody has removed from the buffer
	remaining        int // bytes of the body, or of the current chunk, not yet parsed
	trailerLength    int
}

// Body returns the part of the body in buf that has been parsed. buf must be the buffer of the last parsing call.
func (m *Message) Body(buf []byte) []byte { return buf[m.headLength:m.bodyEnd] }

// Rest returns the bytes in buf behind the parsed part of the message; if the message is complete, they belong to the
// next one.
func (m *Message) Rest(buf []byte) []byte { return buf[m.bodyEnd:] }

// InBody reports whether the head has been parsed completely and the body has not.
func (m *Message) InBody() bool { return m.phase != inHead && m.phase != complete }

// ContentLength returns the length of the body that the head gives, or -1 if it gives none.
func (m *Message) ContentLength() int { return m.contentLength }

// IsHTTP10 reports whether the sender uses HTTP/1.0, which has no chunked framing.
func (m *Message) IsHTTP10() bool { return m.minorVersion == 0 }

// EndsWithConnection reports whether the body has no given length and ends when the connection closes. The caller then
// calls Finish once the connection has closed without an error.
func (m *Message) EndsWithConnection() bool { return m.phase == inBodyUntilClose }

// Finish marks a message as complete whose body ends with the connection.
func (m *Message) Finish() { m.phase = complete }

// ConsumeBody removes the head and the part of the body that has been parsed from buf, moves the bytes behind them to
// the front and returns their number. This may overwrite the bytes that Method, Target and Fields refer to.
func (m *Message) ConsumeBody(buf []byte) int {
	n := copy(buf, buf[m.bodyEnd:])
	m.consumedBody += m.bodyEnd - m.headLength
	m.headLength, m.bodyEnd = 0, 0
	return n
}

// Remainder returns the state that the message has after ConsumeBody, to parse the rest of the message in another
// buffer. m and its buffer do not change.
func (m *Message) Remainder() Message {
	tail := *m
	tail.consumedBody += tail.bodyEnd - tail.headLength
	tail.headLength, tail.bodyEnd = 0, 0
	return tail
}

// ParseBody continues to parse the message in buf after ConsumeBody or Remainder. Its results are those of ParseRequest
// and ParseResponse.
func (m *Message) ParseBody(buf []byte) (int, bool, error) { return m.readBody(buf) }

// bodyLimit returns the maximum length of the body.
func (m *Message) bodyLimit() int {
	if m.MaxBody > 0 {
		return m.MaxBody
	}
	return MaxStreamedBody
}
