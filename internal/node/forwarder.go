package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"tulipglade/internal/protocol"
)

// Bounds of a message that passes through in pieces.
const (
	// forwardIdleTimeout is how long either side may neither give nor take anything.
	forwardIdleTimeout = 10 * time.Second
	// minBodyRate is what a client must give, in bytes a second, once bodyGrace has passed. Time spent on passing it on does not
	// count.
	minBodyRate = 64_000
	bodyGrace   = 3 * time.Second
	// bodyRateTolerance is the part of the rate that is asked for: who gives just as much as he must is never cut off.
	bodyRateTolerance = 0.9
	// forwarderMemory is what one flow takes: its buffer, and the one that the request or the answer began in.
	forwarderMemory = 2 * protocol.BufferSize
)

// Why a flow ended before its message did.
var (
	errBodyTooSlow      = errors.New("body too slow")
	errMessageTruncated = errors.New("connection ended within a message")
)

// source is where a flow reads from: what had come before its connection left the poller, and then the connection.
type source struct {
	buffered     [][]byte
	descriptor   *os.File // nil: the connection has ended
	endedInOrder bool     // … in order
}

func (s *source) Read(dst []byte) (int, error) {
	for len(s.buffered) > 0 {
		if n := copy(dst, s.buffered[0]); n > 0 {
			s.buffered[0] = s.buffered[0][n:]
			return n, nil
		}
		s.buffered = s.buffered[1:]
	}
	if s.descriptor == nil {
		if s.endedInOrder {
			return 0, io.EOF
		}
		return 0, errMessageTruncated
	}
	return s.descriptor.Read(dst)
}

// forwarder passes the rest of a message on, piece by piece: the next is read when the last has been written. It runs on a
// goroutine of its own, and only posts to Run's.
type forwarder struct {
	source         source
	message        protocol.Message // as Tail has it
	buffer         *buffer          // n: what has been read and not passed on
	write          func(parts ...[]byte) error
	chunked        bool // how it is written
	enforceMinRate bool // the reader asks for bodyRate
	receivedBytes  int64
	fullyRead      atomic.Bool // all of it has been read
	maxBytes       int64       // 0: any; more is not read
	startedAt      time.Time
	writeTime      time.Duration
	writeErr       error  // of the other side: what still comes is dropped
	onWriteError   func() // called as that happens
}

// run passes all of it on. It returns why it could not; written says so where that is for the side written to.
func (f *forwarder) run() error {
	if f.onWriteError == nil {
		f.onWriteError = func() {}
	}
	f.startedAt = time.Now()
	for {
		size, complete, err := f.message.More(f.buffer.bytes())
		if f.buffer.length = size; err != nil {
			return err
		}
		f.fullyRead.Store(complete)
		if err := f.writePiece(f.message.Body(f.buffer.bytes()), complete); err != nil {
			f.writeErr = err
			f.onWriteError()
		}
		f.buffer.length = f.message.Shift(f.buffer.bytes())
		if complete {
			return nil
		}
		if err := f.readPiece(); err != nil {
			if !errors.Is(err, io.EOF) {
				return err
			}
			if !f.message.UntilEnd() {
				return errMessageTruncated
			}
			f.message.Finish()
		}
	}
}

// writePiece writes a piece, and the end behind the last.
func (f *forwarder) writePiece(piece []byte, last bool) error {
	if f.writeErr != nil {
		return nil
	}
	startedAt := time.Now()
	defer func() { f.writeTime += time.Since(startedAt) }()
	if !f.chunked {
		if len(piece) == 0 {
			return nil
		}
		return f.write(piece)
	}
	var parts [][]byte
	if len(piece) > 0 {
		parts = append(parts, append(strconv.AppendInt(nil, int64(len(piece)), 16), "\r\n"...), piece, []byte("\r\n"))
	}
	if last {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	if parts == nil {
		return nil
	}
	return f.write(parts...)
}

// readTimeout is how long the next piece may take: what has been given allows for so much time since the beginning.
func (f *forwarder) readTimeout(now time.Time) time.Duration {
	if !f.enforceMinRate {
		return forwardIdleTimeout
	}
	earned := time.Duration(float64(f.receivedBytes) / (minBodyRate * bodyRateTolerance) * float64(time.Second))
	return min(bodyGrace+earned-(now.Sub(f.startedAt)-f.writeTime), forwardIdleTimeout)
}

// readPiece takes the next piece in.
func (f *forwarder) readPiece() error {
	if f.maxBytes > 0 && f.receivedBytes > f.maxBytes {
		return errMessageTruncated
	}
	if f.source.descriptor != nil {
		now := time.Now()
		_ = f.source.descriptor.SetReadDeadline(now.Add(f.readTimeout(now)))
	}
	n, err := f.source.Read(f.buffer.data[f.buffer.length:])
	f.buffer.length += n
	f.receivedBytes += int64(n)
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTooSlow
	case err == nil:
		return io.ErrNoProgress
	case errors.Is(err, io.EOF):
		return io.EOF
	}
	return fmt.Errorf("read: %w", err)
}
