package protocol

import (
	"bytes"
	"fmt"
	"strconv"
)

// Field is one header line. Both parts point into the buffer that the message was read from.
type Field struct{ Name, Value []byte }

// Head is the part of a message before its body.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	KeepAlive      bool // the sender keeps the connection open after this message
	ExpectContinue bool // the sender waits for 100 Continue before it sends the body

	minorVersion  int
	contentLength int // -1: not given
	chunked       bool
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

// FirstDuplicate returns the first of the names, in lower case, that more than one field has, or nothing.
func (h *Head) FirstDuplicate(names ...string) string {
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

// parseHead parses the head line by line, as far as it has arrived, so that a malformed one is detected at once: its
// sender may never send more, or never end.
func (m *Message) parseHead(buf []byte, first func([]byte) error) (bool, error) {
	for {
		i := bytes.Index(buf[m.scanned:], []byte("\r\n"))
		if i < 0 {
			m.scanned = max(m.lineStart, len(buf)-1) // a CR at the end may be half of the line's end
			if len(buf) > MaxHead {
				return false, ErrHeadTooLarge
			}
			return false, m.checkPartialLine(buf[m.lineStart:])
		}
		end := m.scanned + i
		if end > MaxHead {
			return false, ErrHeadTooLarge
		}
		line := buf[m.lineStart:end]
		m.lineStart, m.scanned = end+2, end+2
		switch {
		case !m.startLineRead:
			if err := first(line); err != nil {
				return false, err
			}
			m.startLineRead, m.contentLength, m.KeepAlive = true, -1, m.minorVersion > 0
		case len(line) > 0:
			if err := m.parseField(line); err != nil {
				return false, err
			}
		case m.chunked && (m.contentLength >= 0 || m.minorVersion == 0):
			return false, fmt.Errorf("%w: conflicting lengths", ErrMalformed)
		case m.contentLength > m.bodyLimit() && !m.NoBody:
			return false, ErrBodyTooLarge
		default:
			m.headLength, m.bodyEnd = m.lineStart, m.lineStart
			return true, nil
		}
	}
}

// checkPartialLine checks that a line without an end may still become a valid one: no control characters, but for a CR that
// the other half of the end may follow.
func (m *Message) checkPartialLine(line []byte) error {
	line = bytes.TrimSuffix(line, []byte("\r"))
	for _, c := range line {
		if isControl(c) {
			return fmt.Errorf("%w: control character in the head", ErrMalformed)
		}
	}
	return nil
}

func (m *Message) parseVersion(version []byte) error {
	switch string(version) {
	case "HTTP/1.1":
		m.minorVersion = 1
	case "HTTP/1.0":
		m.minorVersion = 0
	default:
		return fmt.Errorf("%w: version", ErrMalformed)
	}
	return nil
}

// parseField parses one header line.
func (m *Message) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return fmt.Errorf("%w: header line", ErrMalformed)
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if isControl(c) {
			return fmt.Errorf("%w: header value", ErrMalformed)
		}
	}
	if len(m.Fields) >= maxFields {
		return ErrHeadTooLarge
	}
	m.Fields = append(m.Fields, Field{name, value})
	return m.applyField(name, value)
}

// applyField takes over what a field says of the message's framing or connection.
func (m *Message) applyField(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		return m.applyContentLength(value)
	case equalFold(name, "transfer-encoding"):
		if m.chunked || !equalFold(value, "chunked") {
			return fmt.Errorf("%w: transfer encoding", ErrUnsupported)
		}
		m.chunked = true
	case equalFold(name, "connection"):
		m.applyConnection(value)
	case equalFold(name, "expect"):
		if !equalFold(value, "100-continue") {
			return fmt.Errorf("%w: expectation", ErrUnsupported)
		}
		m.ExpectContinue = true
	}
	return nil
}

func (m *Message) applyContentLength(value []byte) error {
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || value[0] == '+' || m.contentLength >= 0 && m.contentLength != int(n) {
		return fmt.Errorf("%w: content length", ErrMalformed)
	}
	m.contentLength = int(n)
	return nil
}

func (m *Message) applyConnection(value []byte) {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		option = bytes.TrimSpace(option)
		if equalFold(option, "close") {
			m.KeepAlive = false
		} else if equalFold(option, "keep-alive") && m.minorVersion == 0 {
			m.KeepAlive = true
		}
	}
}

// isToken reports whether text is a token (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(text) > 0
}

// isControl reports whether c is a control character other than a tab.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

// equalFold compares a name with one in lower case.
func equalFold(name []byte, lower string) bool {
	if len(name) != len(lower) {
		return false
	}
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}
