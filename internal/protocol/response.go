package protocol

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxInterimResponses bounds the number of informational (1xx) responses before the final response.
const maxInterimResponses = 8

// ParseResponse parses a response as ParseRequest parses a request. Informational responses are skipped. The body of a
// response without a given length ends with the connection; see EndsWithConnection.
func (m *Message) ParseResponse(buf []byte) (int, bool, error) {
	for m.phase == inHead {
		found, err := m.parseHead(buf, m.parseStatusLine)
		if !found || err != nil {
			return len(buf), false, err
		}
		switch {
		case m.Status == StatusSwitchingProtocols:
			return len(buf), false, fmt.Errorf("%w: status 101", ErrUnsupported)
		case m.Status < StatusOK:
			if m.interimResponses == maxInterimResponses {
				return len(buf), false, fmt.Errorf("%w: too many informational responses", ErrMalformed)
			}
			buf = buf[:copy(buf, buf[m.headLength:])]
			*m = Message{MaxBody: m.MaxBody, NoBody: m.NoBody, interimResponses: m.interimResponses + 1}
		case m.NoBody || m.Status == StatusNoContent || m.Status == StatusNotModified:
			m.phase, m.remaining = inBody, 0
		case m.chunked:
			m.phase = inChunkSize
		case m.contentLength >= 0:
			m.phase, m.remaining = inBody, m.contentLength
		default:
			m.phase = inBodyUntilClose
		}
	}
	return m.readBody(buf)
}

// parseStatusLine parses and checks the first line of a response. The line comes without its CRLF.
func (m *Message) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 {
		return fmt.Errorf("%w: status line", ErrMalformed)
	}
	m.Status = status
	return m.parseVersion(version)
}
