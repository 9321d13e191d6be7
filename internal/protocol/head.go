package protocol

import (
	"bytes"
	"fmt"
	"strconv"
)

// Field is one header field. Name and Value are slices of the buffer from which the message was parsed.
type Field struct{ Name, Value []byte }

// Head is the part of a message before its body: the start line and the header fields.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	KeepAlive      bool // the sender keeps the connection open after this message
	ExpectContinue bool // the sender waits for 100 Continue before it sends the body

	minorVersion  int
	contentLength int // of the Content-Length field; -1 if there is none
	chunked       bool
}

// Get returns the value of the first field with the given name, or nil. Names are compared without regard to case; name
// must be in lower case.
func (h *Head) Get(name string) []byte {
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Path returns the target of a request without its query.
func (h *Head) Path() []byte {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	return path
}

// FirstDuplicate returns the first of the given names that occurs in more than one field, or "" if there is none. The
// names must be in lower case.
func (h *Head) FirstDuplicate(names ...string) string {
	for _, name := range names {
		count := 0
		for _, f := range h.Fields {
			if equalFold(f.Name, name) {
				count++
			}
		}
		if count > 1 {
			return name
		}
	}
	return ""
}

// parseHead parses the complete lines of the head that have arrived and reports whether the head is complete. It does
// not wait for the whole head, so that a malformed one is detected at once: its sender may send nothing more, or send
// without end.
func (m *Message) parseHead(buf []byte, parseStartLine func([]byte) error) (bool, error) {
	for {
		i := bytes.Index(buf[m.scanned:], []byte("\r\n"))
		if i < 0 {
			m.scanned = max(m.lineStart, len(buf)-1) // a CR at the end may be the first half of a CRLF
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
			if err := parseStartLine(line); err != nil {
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

// checkPartialLine checks that a line whose end has not arrived may still become valid: it must not contain control
// characters, except for a final CR, which may be the first half of a CRLF.
func (m *Message) checkPartialLine(line []byte) error {
	line = bytes.TrimSuffix(line, []byte("\r"))
	for _, c := range line {
		if isControl(c) {
			return fmt.Errorf("%w: control character in the head", ErrMalformed)
		}
	}
	return nil
}

// parseVersion parses the HTTP version of the start line; only 1.0 and 1.1 are accepted.
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

// parseField parses one header line and applies the field.
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

// applyField updates the message from a field that concerns its framing or its connection, and ignores other fields.
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

// applyContentLength rejects a value that is not a number of at most 31 bits or that contradicts an earlier field.
func (m *Message) applyContentLength(value []byte) error {
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || value[0] == '+' || m.contentLength >= 0 && m.contentLength != int(n) {
		return fmt.Errorf("%w: content length", ErrMalformed)
	}
	m.contentLength = int(n)
	return nil
}

// applyConnection updates KeepAlive from the options of a Connection field. HTTP/1.1 keeps connections by default, so
// keep-alive only has an effect with HTTP/1.0.
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

// equalFold reports whether name equals lower, which is in lower case, without regard to the case of ASCII letters.
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
