package protocol

import (
	"bytes"
	"fmt"
)

// httpScheme is the start of a request target in absolute form.
const httpScheme = "http://"

// ParseRequest continues to parse a request in buf, which holds everything that has arrived since the message started.
// It removes the chunked framing from buf in place, and returns the new length of buf and whether the message is
// complete.
func (m *Message) ParseRequest(buf []byte) (int, bool, error) {
	if m.phase == inHead {
		for !m.startLineRead && bytes.HasPrefix(buf, []byte("\r\n")) { // empty lines before a request are skipped
			buf = buf[:copy(buf, buf[2:])]
		}
		found, err := m.parseHead(buf, m.parseRequestLine)
		if !found || err != nil {
			return len(buf), false, err
		}
		if m.chunked {
			m.phase = inChunkSize
		} else {
			m.phase, m.remaining = inBody, max(m.contentLength, 0)
		}
	}
	return m.readBody(buf)
}

// parseRequestLine parses and checks the first line of a request. The line comes without its CRLF.
func (m *Message) parseRequestLine(line []byte) error {
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if len(target) > len(httpScheme) && equalFold(target[:len(httpScheme)], httpScheme) {
		// RFC 9112, 3.2.2: the authority of a target in absolute form is skipped.
		i := bytes.IndexByte(target[len(httpScheme):], '/')
		if i < 1 {
			return fmt.Errorf("%w: request line", ErrMalformed)
		}
		target = target[len(httpScheme)+i:]
	}
	if !hasTarget || !hasVersion || !isToken(method) || len(target) == 0 || target[0] != '/' || !isTarget(target) {
		return fmt.Errorf("%w: request line", ErrMalformed)
	}
	m.Method, m.Target = method, target
	return m.parseVersion(version)
}

// isTarget reports whether text contains neither blanks nor control characters.
func isTarget(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
