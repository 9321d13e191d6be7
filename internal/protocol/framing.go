package protocol

import (
	"bytes"
	"fmt"
)

// maxChunkSizeDigits bounds a chunk size to 32 bits.
const maxChunkSizeDigits = 8

// readBody continues to read the body. It moves what belongs to the body to its end, over the framing that has been read.
func (m *Message) readBody(buf []byte) (int, bool, error) {
	read := m.bodyEnd // offset of the next byte to read; the body so far ends at m.bodyEnd
	for {
		available := len(buf) - read
		switch m.phase {
		case inBody, inChunk:
			n := min(available, m.remaining)
			if m.bodyEnd != read {
				copy(buf[m.bodyEnd:], buf[read:read+n])
			}
			m.bodyEnd += n
			read += n
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
			n := copy(buf[m.bodyEnd:], buf[read:])
			return m.bodyEnd + n, true, nil
		default: // a line of the chunked framing
			lineLength := bytes.IndexByte(buf[read:], '\n')
			if lineLength < 0 && available > maxChunkLine || lineLength > maxChunkLine {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			if lineLength < 0 {
				n := copy(buf[m.bodyEnd:], buf[read:])
				return m.bodyEnd + n, false, nil
			}
			line, hasCR := bytes.CutSuffix(buf[read:read+lineLength], []byte("\r"))
			if !hasCR {
				return len(buf), false, fmt.Errorf("%w: chunk line", ErrMalformed)
			}
			read += lineLength + 1
			if err := m.parseChunkLine(line); err != nil {
				return len(buf), false, err
			}
		}
	}
}

// parseChunkLine parses one line of the chunked framing, without its end.
func (m *Message) parseChunkLine(line []byte) error {
	switch m.phase {
	case inChunkEnd:
		if len(line) != 0 {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		m.phase = inChunkSize
	case inTrailer: // trailers are read and dropped
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

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	}
	return 0, false
}
