// Package protocol holds what is spoken on the wire: HTTP/1.1 heads and framing in both directions, load
// reports and discovery's lists. All of it is functions on bytes, bounded in time and memory; there are no
// sockets here.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// The bounds of a message. One with a body of up to MaxBody, framing of its chunks included, fits into BufferSize; a larger
// one is read in pieces, with Shift between them.
const (
	MaxHead    = 8 << 10
	MaxBody    = 64 << 10
	MaxBulk    = 48 << 20 // half as much again as the 32 MB that bodies and answers have at most
	BufferSize = MaxHead + MaxBody + 4<<10
	maxFields  = 64
	maxChunk   = 256 // bytes of one chunk's size line, or of the trailer
)

// What AppendRequest and AppendResponse take in place of a length.
const (
	Chunked    = -1 // the length is not known
	UntilClose = -2 // nor can the other side read chunks: the end of the connection is that of the body
)

// What can be wrong with a message.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("head too large")
	ErrBodyTooLarge = errors.New("body too large")
	ErrUnsupported  = errors.New("unsupported framing")
)

// Field is one header line. Both parts point into the buffer that the message was read from.
type Field struct{ Name, Value []byte }

// Head is the part of a message before its body.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	KeepAlive      bool // the sender keeps the connection open after this message
	Expect         bool // the sender waits for 100 Continue before it sends the body

	minor   int
	length  int // -1: not given
	chunked bool
}

// Get returns the value of the first field with that name, in any case, or nil. The name is in lower case.
func (h *Head) Get(name string) []byte {
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Path is the target of a request up to its query.
func (h *Head) Path() []byte {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	return path
}

// HasDuplicate returns the first of the names, in lower case, that more than one field has, or nothing.
func (h *Head) HasDuplicate(names ...string) string {
	for _, name := range names {
		n := 0
		for _, f := range h.Fields {
			if equalFold(f.Name, name) {
				n++
			}
		}
		if n > 1 {
			return name
		}
	}
	return ""
}

type phase uint8

const (
	inHead phase = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inRest // until the connection ends
	complete
)

// Message reads one request or response out of a buffer that grows as bytes come in. The zero value is ready.
type Message struct {
	Head
	MaxBody int  // 0: MaxBulk
	NoBody  bool // it answers a HEAD: whatever the head says, no body follows
	phase   phase
	begun   bool // the first line has been read
	line    int  // where the next line of the head begins
	scanned int  // of that line, without an end in it
	interim int  // informational responses skipped
	headLen int
	end     int // of the body so far
	passed  int // of the body, taken out by Shift
	left    int // bytes of the body, or of this chunk, still to come
	trailer int
}

// Body is the body read so far out of the same buffer.
func (m *Message) Body(buf []byte) []byte { return buf[m.headLen:m.end] }

// Rest is what came behind the message.
func (m *Message) Rest(buf []byte) []byte { return buf[m.end:] }

// Started tells whether the head is complete and the body is not.
func (m *Message) Started() bool { return m.phase != inHead && m.phase != complete }

// Length is that of the body by the head, or -1 where it does not say.
func (m *Message) Length() int { return m.length }

// OldVersion tells that the sender speaks HTTP/1.0, which knows no chunks.
func (m *Message) OldVersion() bool { return m.minor == 0 }

// UntilEnd tells that the body goes on until the connection ends: then Finish is called, if it ended in order.
func (m *Message) UntilEnd() bool { return m.phase == inRest }

// Finish marks a message that goes on until the connection ends as whole.
func (m *Message) Finish() { m.phase = complete }

// Shift takes the body read so far out of buf, and moves what came behind it to the front. It returns how much that is.
// What Method, Target and Fields point to may be overwritten.
func (m *Message) Shift(buf []byte) int {
	n := copy(buf, buf[m.end:])
	m.passed += m.end - m.headLen
	m.headLen, m.end = 0, 0
	return n
}

// Tail is the message as it is after Shift, for another buffer that takes what is left of it. m and its buffer stay as
// they are.
func (m *Message) Tail() Message {
	t := *m
	t.passed += t.end - t.headLen
	t.headLen, t.end = 0, 0
	return t
}

// More reads on in buf behind Shift or Tail, as Request and Response do.
func (m *Message) More(buf []byte) (int, bool, error) { return m.body(buf) }

// Request reads on in buf, which holds all that came since the message began. It takes the framing of chunks
// out of buf in place and returns how long buf is then, and whether the message is whole.
func (m *Message) Request(buf []byte) (int, bool, error) {
	if m.phase == inHead {
		for !m.begun && bytes.HasPrefix(buf, []byte("\r\n")) { // empty lines before a request are skipped
			buf = buf[:copy(buf, buf[2:])]
		}
		found, err := m.head(buf, m.requestLine)
		if !found || err != nil {
			return len(buf), false, err
		}
		switch {
		case m.chunked:
			m.phase = inChunkSize
		default:
			m.phase, m.left = inBody, max(m.length, 0)
		}
	}
	return m.body(buf)
}

// maxInterim bounds the informational responses before a response.
const maxInterim = 8

// Response is Request's counterpart. Informational responses are skipped. One that does not say how long it is goes on
// until the connection ends; see UntilEnd.
func (m *Message) Response(buf []byte) (int, bool, error) {
	for m.phase == inHead {
		found, err := m.head(buf, m.statusLine)
		if !found || err != nil {
			return len(buf), false, err
		}
		switch {
		case m.Status == 101:
			return len(buf), false, fmt.Errorf("%w: status 101", ErrUnsupported)
		case m.Status < 200:
			if m.interim == maxInterim {
				return len(buf), false, fmt.Errorf("%w: too many informational responses", ErrMalformed)
			}
			buf = buf[:copy(buf, buf[m.headLen:])]
			*m = Message{MaxBody: m.MaxBody, NoBody: m.NoBody, interim: m.interim + 1}
		case m.NoBody || m.Status == 204 || m.Status == 304:
			m.phase, m.left = inBody, 0
		case m.chunked:
			m.phase = inChunkSize
		case m.length >= 0:
			m.phase, m.left = inBody, m.length
		default:
			m.phase = inRest
		}
	}
	return m.body(buf)
}

func (m *Message) maxBody() int {
	if m.MaxBody > 0 {
		return m.MaxBody
	}
	return MaxBulk
}

func (m *Message) body(buf []byte) (int, bool, error) {
	r := m.end // next byte to read; what is kept of the body ends at m.end
	for {
		avail := len(buf) - r
		switch m.phase {
		case inBody, inChunk:
			n := min(avail, m.left)
			if m.end != r {
				copy(buf[m.end:], buf[r:r+n])
			}
			m.end, r, m.left = m.end+n, r+n, m.left-n
			if m.left > 0 {
				return m.end, false, nil
			}
			if m.phase == inBody {
				m.phase = complete
				continue
			}
			m.phase = inChunkEnd
		case inRest:
			if m.end += avail; m.passed+m.end-m.headLen > m.maxBody() {
				return len(buf), false, ErrBodyTooLarge
			}
			return m.end, false, nil
		case complete:
			n := copy(buf[m.end:], buf[r:])
			return m.end + n, true, nil
		default: // a line of the chunked framing
			i := bytes.IndexByte(buf[r:], '\n')
			if i < 0 && avail > maxChunk || i > maxChunk {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			if i < 0 {
				n := copy(buf[m.end:], buf[r:])
				return m.end + n, false, nil
			}
			line := buf[r : r+i]
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			r += i + 1
			if err := m.chunkLine(line[:len(line)-1]); err != nil {
				return len(buf), false, err
			}
		}
	}
}

func (m *Message) chunkLine(line []byte) error {
	switch m.phase {
	case inChunkEnd:
		if len(line) != 0 {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		m.phase = inChunkSize
	case inTrailer: // trailers are read and dropped
		if m.trailer += len(line); m.trailer > MaxHead {
			return ErrHeadTooLarge
		}
		if len(line) == 0 {
			m.phase = complete
		}
	case inChunkSize:
		if i := bytes.IndexByte(line, ';'); i >= 0 { // extensions mean nothing here
			line = line[:i]
		}
		line = bytes.TrimRight(line, " \t")
		for len(line) > 1 && line[0] == '0' {
			line = line[1:]
		}
		if len(line) == 0 || len(line) > 8 {
			return fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		size := 0
		for _, c := range line {
			d, ok := hexDigit(c)
			if !ok {
				return fmt.Errorf("%w: chunk size", ErrMalformed)
			}
			size = size<<4 | d
		}
		if size == 0 {
			m.phase = inTrailer
			return nil
		}
		if m.passed+m.end-m.headLen+size > m.maxBody() {
			return ErrBodyTooLarge
		}
		m.phase, m.left = inChunk, size
	}
	return nil
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	}
	return 0, false
}

// head parses the head line by line, as far as it is there, so that what cannot be one is known at once: whoever
// sent it may never send more, or never end.
func (m *Message) head(buf []byte, first func([]byte) error) (bool, error) {
	for {
		i := bytes.Index(buf[m.scanned:], []byte("\r\n"))
		if i < 0 {
			m.scanned = max(m.line, len(buf)-1) // a CR at the end may be half of the line's end
			if len(buf) > MaxHead {
				return false, ErrHeadTooLarge
			}
			return false, m.unfinished(buf[m.line:])
		}
		end := m.scanned + i
		if end > MaxHead {
			return false, ErrHeadTooLarge
		}
		line := buf[m.line:end]
		m.line, m.scanned = end+2, end+2
		switch {
		case !m.begun:
			if err := first(line); err != nil {
				return false, err
			}
			m.begun, m.length, m.KeepAlive = true, -1, m.minor > 0
		case len(line) > 0:
			if err := m.field(line); err != nil {
				return false, err
			}
		case m.chunked && (m.length >= 0 || m.minor == 0):
			return false, fmt.Errorf("%w: conflicting lengths", ErrMalformed)
		case m.length > m.maxBody() && !m.NoBody:
			return false, ErrBodyTooLarge
		default:
			m.headLen, m.end = m.line, m.line
			return true, nil
		}
	}
}

// unfinished tells whether a line that has no end yet may become one: no control characters, but for a CR that the
// other half of the end may follow.
func (m *Message) unfinished(line []byte) error {
	line = bytes.TrimSuffix(line, []byte("\r"))
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fmt.Errorf("%w: control character in the head", ErrMalformed)
		}
	}
	return nil
}

func (m *Message) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if len(target) > 7 && equalFold(target[:7], "http://") { // RFC 9112, 3.2.2: what follows the authority counts
		i := bytes.IndexByte(target[7:], '/')
		if i < 1 {
			return fmt.Errorf("%w: request line", ErrMalformed)
		}
		target = target[7+i:]
	}
	if !ok || !ok2 || !isToken(method) || len(target) == 0 || target[0] != '/' || !isText(target) {
		return fmt.Errorf("%w: request line", ErrMalformed)
	}
	m.Method, m.Target = method, target
	return m.version(version)
}

func (m *Message) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 {
		return fmt.Errorf("%w: status line", ErrMalformed)
	}
	m.Status = status
	return m.version(version)
}

func (m *Message) version(v []byte) error {
	switch string(v) {
	case "HTTP/1.1":
		m.minor = 1
	case "HTTP/1.0":
		m.minor = 0
	default:
		return fmt.Errorf("%w: version", ErrMalformed)
	}
	return nil
}

func (m *Message) field(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return fmt.Errorf("%w: header line", ErrMalformed)
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fmt.Errorf("%w: header value", ErrMalformed)
		}
	}
	if len(m.Fields) >= maxFields {
		return ErrHeadTooLarge
	}
	m.Fields = append(m.Fields, Field{name, value})
	switch {
	case equalFold(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || value[0] == '+' || m.length >= 0 && m.length != int(n) {
			return fmt.Errorf("%w: content length", ErrMalformed)
		}
		m.length = int(n)
	case equalFold(name, "transfer-encoding"):
		if m.chunked || !equalFold(value, "chunked") {
			return fmt.Errorf("%w: transfer encoding", ErrUnsupported)
		}
		m.chunked = true
	case equalFold(name, "connection"):
		for part := range bytes.SplitSeq(value, []byte(",")) {
			if part = bytes.TrimSpace(part); equalFold(part, "close") {
				m.KeepAlive = false
			} else if equalFold(part, "keep-alive") && m.minor == 0 {
				m.KeepAlive = true
			}
		}
	case equalFold(name, "expect"):
		if !equalFold(value, "100-continue") {
			return fmt.Errorf("%w: expectation", ErrUnsupported)
		}
		m.Expect = true
	}
	return nil
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func isText(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// equalFold compares a name with one in lower case.
func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// hop names the fields that concern one connection only and are never passed on.
var hop = []string{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer",
	"upgrade", "content-length", "expect"}

// appendFields appends the end-to-end fields, without those named.
func appendFields(dst []byte, fields []Field, without ...string) []byte {
next:
	for _, f := range fields {
		if nominated(fields, f.Name) {
			continue
		}
		for _, names := range [][]string{hop, without} {
			for _, name := range names {
				if equalFold(f.Name, name) {
					continue next
				}
			}
		}
		dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return dst
}

// nominated tells whether the sender has said that a field concerns this connection only.
func nominated(fields []Field, name []byte) bool {
	for _, f := range fields {
		if !equalFold(f.Name, "connection") {
			continue
		}
		for part := range bytes.SplitSeq(f.Value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// AppendRequest appends the head under which a client's request goes on to a backend: method, target and
// end-to-end fields unchanged, with the time that this node will wait.
func AppendRequest(dst []byte, h *Head, body int, expiresMs int64) []byte {
	dst = append(append(append(append(dst, h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	dst = appendFields(dst, h.Fields, "x-expires-in-ms")
	dst = append(strconv.AppendInt(append(dst, "X-Expires-In-Ms: "...), expiresMs, 10), "\r\n"...)
	if body != 0 || string(h.Method) != "GET" && string(h.Method) != "HEAD" {
		dst = appendLength(dst, body)
	}
	return append(dst, "\r\n"...)
}

// appendLength appends the field that says how long a body is: its length, or Chunked or UntilClose.
func appendLength(dst []byte, body int) []byte {
	switch body {
	case UntilClose:
		return dst
	case Chunked:
		return append(dst, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(strconv.AppendInt(append(dst, "Content-Length: "...), int64(body), 10), "\r\n"...)
}

// AppendResponse appends the head of an answer to a client, with the end-to-end fields of the backend's.
func AppendResponse(dst []byte, status int, fields []Field, body int, keepAlive bool, retryAfterUs int64) []byte {
	dst = append(strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10), ' ')
	dst = append(append(dst, reason(status)...), "\r\n"...)
	dst = appendFields(dst, fields, "endpoint-load-metrics", "x-never-ran")
	if retryAfterUs > 0 {
		dst = strconv.AppendFloat(append(dst, "Retry-After: "...), float64(retryAfterUs)/1e6, 'f', 3, 64)
		dst = append(dst, "\r\n"...)
	}
	if !keepAlive {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(appendLength(dst, body), "\r\n"...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	}
	return "Answer"
}

// RejectionStatus is the status under which a request that could not be read is refused.
func RejectionStatus(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return 431
	case errors.Is(err, ErrBodyTooLarge):
		return 413
	}
	return 400
}
