package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"tulipglade/internal/protocol"
)

// Limits of a message that is forwarded in pieces.
const (
	// forwardIdleTimeout is how long either side may neither send nor accept anything.
	forwardIdleTimeout = 10 * time.Second
	// minBodyRate is what a client must send, in bytes a second, once bodyGrace has passed. Time spent on forwarding
	// does not count.
	minBodyRate = 64_000
	bodyGrace   = 3 * time.Second
	// enforcedRateFraction is the part of the rate that is enforced, so that a client which just keeps it is never cut
	// off.
	enforcedRateFraction = 0.9
	// forwarderMemory is what one forwarder takes: its buffer, and the one in which the request or answer began.
	forwarderMemory = 2 * protocol.BufferSize
)

// Reasons why reading a message failed.
var (
	errBodyTooSlow      = errors.New("body too slow")
	errMessageTruncated = errors.New("connection ended within a message")
)

// source is what a forwarder reads from: input from before its connection was detached, then the connection.
type source struct {
	buffered     [][]byte
	descriptor   *os.File // nil: the connection has ended
	endedInOrder bool     // without a descriptor: it has ended without a reset
}

// hasBuffered reports whether the next read needs no input from the connection.
func (s *source) hasBuffered() bool {
	return slices.ContainsFunc(s.buffered, func(piece []byte) bool { return len(piece) > 0 })
}

// Read implements io.Reader.
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

// forwarder forwards the rest of a large message piece by piece: the next piece is read once the last has been
// written. It runs on a goroutine of its own and only posts to the event loop.
type forwarder struct {
	source          source
	message         protocol.Message // as protocol.Message.Tail returns it
	buffer          *buffer          // what has been read and not forwarded
	write           func(parts ...[]byte) error
	chunked         bool // write with chunked framing
	enforceMinRate  bool // the sender must keep up minBodyRate
	receivedBytes   int64
	fullyRead       atomic.Bool // the last byte has been read
	maxBytes        int64       // stop reading after so many; 0: unlimited
	startedAt       time.Time
	lastWaitEndedAt time.Time     // when a read had to wait for its sender for the last time: the last byte was not sent before
	writeTime       time.Duration // time spent on writing
	writeErr        error         // why writing has failed: the rest of the message is discarded
	onWriteError    func()        // called when writeErr is set
}

// run forwards the message. It returns why reading failed; writeErr has why writing did.
func (f *forwarder) run() error {
	if f.onWriteError == nil {
		f.onWriteError = func() {}
	}
	f.startedAt = time.Now()
	for {
		size, complete, err := f.message.ParseBody(f.buffer.bytes())
		if f.buffer.length = size; err != nil {
			return err
		}
		f.fullyRead.Store(complete)
		if err := f.writePiece(f.message.Body(f.buffer.bytes()), complete); err != nil {
			f.writeErr = err
			f.onWriteError()
		}
		f.buffer.length = f.message.ConsumeBody(f.buffer.bytes())
		if complete {
			return nil
		}
		if err := f.readPiece(); err != nil {
			if !errors.Is(err, io.EOF) {
				return err
			}
			if !f.message.EndsWithConnection() {
				return errMessageTruncated
			}
			f.message.Finish()
		}
	}
}

// hasNoExcessInput reports whether nothing has been read beyond the end of the message.
func (f *forwarder) hasNoExcessInput() bool {
	return len(f.message.Rest(f.buffer.bytes())) == 0 && len(f.source.buffered) == 0
}

// writePiece writes a piece, and the end of the framing behind the last.
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

// readTimeout is how long the next piece may take: the sender has earned time by what it has sent so far.
func (f *forwarder) readTimeout(now time.Time) time.Duration {
	if !f.enforceMinRate {
		return forwardIdleTimeout
	}
	earned := time.Duration(float64(f.receivedBytes) / (minBodyRate * enforcedRateFraction) * float64(time.Second))
	return min(bodyGrace+earned-(now.Sub(f.startedAt)-f.writeTime), forwardIdleTimeout)
}

// readNotingWait reads from the source, and records when that had to wait for the sender.
func (f *forwarder) readNotingWait(dst []byte) (int, error) {
	if f.source.hasBuffered() || f.source.descriptor == nil {
		return f.source.Read(dst)
	}
	waiting, ok := unreadBytes(f.source.descriptor)
	startedAt := time.Now()
	n, err := f.source.Read(dst)
	if now := time.Now(); ok && waiting == 0 && n > 0 && now.Sub(startedAt) >= minEmptyReadWait {
		f.lastWaitEndedAt = now
	}
	return n, err
}

// readPiece reads the next piece.
func (f *forwarder) readPiece() error {
	if f.maxBytes > 0 && f.receivedBytes > f.maxBytes {
		return errMessageTruncated
	}
	if f.source.descriptor != nil {
		now := time.Now()
		_ = f.source.descriptor.SetReadDeadline(now.Add(f.readTimeout(now)))
	}
	n, err := f.readNotingWait(f.buffer.data[f.buffer.length:])
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
