package protocol

import (
	"bytes"
	"fmt"
)

// maxChunkSizeDigits bounds the hexadecimal digits of a chunk size, and with them the size to 32 bits.
const maxChunkSizeDigits = 8

// readBody continues to parse the body. It removes the chunked framing that it has parsed from buf, by moving the body
// bytes behind it forward so that the body is contiguous. It returns the new length of buf and whether the message is
// complete.
func (m *Message) readBody(buf []byte) (int, bool, error) {
	readOffset := m.bodyEnd // offset of the next byte to parse; the body parsed so far ends at m.bodyEnd
	for {
		available := len(buf) - readOffset
		switch m.phase {
		case inBody, inChunk:
			n := min(available, m.remaining)
			if m.bodyEnd != readOffset {
				copy(buf[m.bodyEnd:], buf[readOffset:readOffset+n])
			}
			m.bodyEnd += n
			readOffset += n
			m.remaining -= n
			if m.remaining > 0 {
				return m.bodyEnd, false, nil
			}
			if m.phase == inBody {
				m.phase = complete
				continue
			}
			m.phase = inChunkEnd
		case inBodyUntilClose:
			m.bodyEnd += available
			if m.consumedBody+m.bodyEnd-m.headLength > m.bodyLimit() {
				return len(buf), false, ErrBodyTooLarge
			}
			return m.bodyEnd, false, nil
		case complete:
			n := copy(buf[m.bodyEnd:], buf[readOffset:])
			return m.bodyEnd + n, true, nil
		default: // in a line of the chunked framing
			lineLength := bytes.IndexByte(buf[readOffset:], '\n')
			if lineLength < 0 && available > maxChunkLine || lineLength > maxChunkLine {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			if lineLength < 0 {
				n := copy(buf[m.bodyEnd:], buf[readOffset:])
				return m.bodyEnd + n, false, nil
			}
			line, hasCR := bytes.CutSuffix(buf[readOffset:readOffset+lineLength], []byte("\r"))
			if !hasCR {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			readOffset += lineLength + 1
			if err := m.parseChunkLine(line); err != nil {
				return len(buf), false, err
			}
		}
	}
}

// parseChunkLine parses one line of the chunked framing. The line comes without its CRLF.
func (m *Message) parseChunkLine(line []byte) error {
	switch m.phase {
	case inChunkEnd:
		if len(line) != 0 {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		m.phase = inChunkSize
	case inTrailer: // trailer fields are discarded
		m.trailerLength += len(line)
		if m.trailerLength > MaxHead {
			return ErrHeadTooLarge
		}
		if len(line) == 0 {
			m.phase = complete
		}
	case inChunkSize:
		return m.parseChunkSize(line)
	}
	return nil
}

// parseChunkSize parses the line that starts a chunk. A size of 0 ends the body.
func (m *Message) parseChunkSize(line []byte) error {
	if i := bytes.IndexByte(line, ';'); i >= 0 { // extensions are ignored
		line = line[:i]
	}
	line = bytes.TrimRight(line, " \t")
	for len(line) > 1 && line[0] == '0' {
		line = line[1:]
	}
	if len(line) == 0 || len(line) > maxChunkSizeDigits {
		return fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	size := 0
	for _, c := range line {
		digit, ok := hexDigit(c)
		if !ok {
			return fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		size = size<<4 | digit
	}
	if size == 0 {
		m.phase = inTrailer
		return nil
	}
	if m.consumedBody+m.bodyEnd-m.headLength+size > m.bodyLimit() {
		return ErrBodyTooLarge
	}
	m.phase, m.remaining = inChunk, size
	return nil
}

// hexDigit returns the value of a hexadecimal digit, and false if c is not one.
func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	}
	return 0, false
}
