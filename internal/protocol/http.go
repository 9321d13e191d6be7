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

// The bounds of a message. A whole message, framing of its chunks included, fits into BufferSize.
const (
	MaxHead    = 8 << 10
	MaxBody    = 64 << 10
	BufferSize = MaxHead + MaxBody + 4<<10
	maxFields  = 64
	maxChunk   = 256 // bytes of one chunk's size line, or of the trailer
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

// Twice returns the first of the names, in lower case, that more than one field has, or nothing.
func (h *Head) Twice(names ...string) string {
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
	complete
)

// Message reads one request or response out of a buffer that grows as bytes come in. The zero value is ready.
type Message struct {
	Head
	MaxBody int // 0: the bound of that name
	phase   phase
	begun   bool // the first line has been read
	line    int  // where the next line of the head begins
	scanned int  // of that line, without an end in it
	interim int  // informational responses skipped
	headLen int
	end     int // of the body so far
	left    int // bytes of the body, or of this chunk, still to come
	trailer int
}

// Body is the body read so far out of the same buffer.
func (m *Message) Body(buf []byte) []byte { return buf[m.headLen:m.end] }

// Rest is what came behind the message.
func (m *Message) Rest(buf []byte) []byte { return buf[m.end:] }

// Started tells whether the head is complete and the body is not.
func (m *Message) Started() bool { return m.phase != inHead && m.phase != complete }

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

// Response is Request's counterpart. Informational responses are skipped. A response must say how long it is: of one
// that goes on until the connection ends, nobody can tell the end from a break.
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
			*m = Message{MaxBody: m.MaxBody, interim: m.interim + 1}
		case m.Status == 204 || m.Status == 304:
			m.phase, m.left = inBody, 0
		case m.chunked:
			m.phase = inChunkSize
		case m.length >= 0:
			m.phase, m.left = inBody, m.length
		default:
			return len(buf), false, fmt.Errorf("%w: no length", ErrUnsupported)
		}
	}
	return m.body(buf)
}

func (m *Message) maxBody() int {
	if m.MaxBody > 0 {
		return m.MaxBody
	}
	return MaxBody
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
		if m.end-m.headLen+size > m.maxBody() {
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
		case m.length > m.maxBody():
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
	if body > 0 || string(h.Method) != "GET" {
		dst = append(strconv.AppendInt(append(dst, "Content-Length: "...), int64(body), 10), "\r\n"...)
	}
	return append(dst, "\r\n"...)
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
	dst = strconv.AppendInt(append(dst, "Content-Length: "...), int64(body), 10)
	return append(dst, "\r\n\r\n"...)
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

// RefusalStatus is the status under which a request that could not be read is refused.
func RefusalStatus(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return 431
	case errors.Is(err, ErrBodyTooLarge):
		return 413
	}
	return 400
}
