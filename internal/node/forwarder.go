package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tulipglade/internal/protocol"
)

// Limits of a large message that is forwarded in pieces.
const (
	// forwardIdleTimeout is the longest time for which the sender may send nothing.
	forwardIdleTimeout = 10 * time.Second
	// minBodyRate is the rate at which a client must send a body, in bytes per second, once bodyGrace has passed. Time
	// that the forwarder spends on writing does not count.
	minBodyRate = 64_000
	bodyGrace   = 3 * time.Second
	// enforcedRateFraction is the fraction of minBodyRate that is enforced, so that a client which sends at exactly
	// minBodyRate is never cut off.
	enforcedRateFraction = 0.9
	// forwarderMemory is the memory that a forwarder occupies besides its buffers, in bytes: the stack of its goroutine.
	forwarderMemory = 8 << 10
	// firstForwarderBuffer is the size of the buffer that a forwarder begins with if it needs a new one, in bytes.
	firstForwarderBuffer = 16 << 10
	// tightForwarderBuffer is the largest buffer that a forwarder uses while memory is tight, in bytes.
	tightForwarderBuffer = 4 << 10
	// forwarderBuffersDivisor determines what share of the memory account the buffers of all forwarders aim at.
	forwarderBuffersDivisor = 8
)

// Reasons why reading a message failed.
var (
	errBodyTooSlow      = errors.New("body too slow")
	errMessageTruncated = errors.New("connection ended within a message")
)

// source is the input of a forwarder: first the input that was read before the connection was detached from the poller,
// then the connection itself.
type source struct {
	buffered     bufferedInput
	descriptor   *os.File // the detached connection; nil: it has ended
	endedInOrder bool     // if descriptor is nil: the connection ended without a reset
}

// hasBuffered reports whether the next read returns input from before the connection was detached.
func (s *source) hasBuffered() bool { return len(s.buffered.pieces) > 0 }

// Read implements io.Reader. After a reset it returns errMessageTruncated instead of io.EOF.
func (s *source) Read(dst []byte) (int, error) {
	if n := s.buffered.read(dst); n > 0 {
		return n, nil
	}
	if s.descriptor == nil {
		if s.endedInOrder {
			return 0, io.EOF
		}
		return 0, errMessageTruncated
	}
	return s.descriptor.Read(dst)
}

// forwarder forwards the rest of a large message piece by piece: the next piece is read once the last one has been
// written, so that one buffer suffices. It runs on its own goroutine and passes results to the event loop by posting
// them.
type forwarder struct {
	source         source
	message        protocol.Message // parser for the rest of the message
	buffer         *buffer          // input that has been read and not forwarded
	write          func(parts ...[]byte) error
	chunked        bool        // the body is written with chunked framing
	enforceMinRate bool        // the sender must keep up minBodyRate
	fullyRead      atomic.Bool // the last byte of the message has been read
	maxBytes       int64       // reading fails after more bytes than this; 0: unlimited
	lastRead       int         // size of the last piece that was read
	lastReadFilled bool        // the last piece filled the buffer
	startedAt      time.Time
	writeTime      time.Duration // time spent on writing
	writeErr       error         // the error of the first failed write, after which the rest of the message is discarded
	onWriteError   func()        // called when a write fails

	mu       sync.Mutex // held by the forwarder to change progress, and by others to read it
	progress forwarderProgress
}

// forwarderProgress is how far a forwarder has come.
type forwarderProgress struct {
	receivedBytes   int64
	lastWaitEndedAt time.Time // end of the last read that waited for the sender; the last byte was not sent earlier
	isWriting       bool      // a piece is being written, so that the sender is not waited for
}

// currentProgress returns how far the forwarder has come. Any goroutine may call it.
func (f *forwarder) currentProgress() forwarderProgress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// updateProgress changes the forwarder's progress.
func (f *forwarder) updateProgress(change func(*forwarderProgress)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.progress)
}

// run reads and forwards the message up to its end. It returns the reason if reading failed. A failed write does not
// end it: its reason is in writeErr.
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
		f.resizeBuffer()
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

// resizeBuffer replaces the buffer by one that suits the last piece and the memory that is left: a smaller one if the piece
// has filled a quarter of it or less, a larger one if the piece has filled it.
func (f *forwarder) resizeBuffer() {
	current := sizeIndex(len(f.buffer.data))
	next := current
	switch {
	case f.lastRead == 0: // the first piece is yet to be read
		next = sizeIndex(firstForwarderBuffer)
	case f.lastRead <= len(f.buffer.data)/4:
		next = max(current-1, 0)
	case f.lastReadFilled:
		next = min(current+1, len(bufferSizes)-1)
	}
	next = min(next, sizeIndex(f.buffer.account.forwarderBufferSize()))
	rest := f.buffer.bytes()
	if next == current || len(rest) >= bufferSizes[next] {
		return
	}
	resized := newBuffer(f.buffer.account, bufferSizes[next])
	resized.add(rest)
	f.buffer.release()
	f.buffer = resized
}

// hasNoExcessInput reports whether nothing has been read beyond the end of the message.
func (f *forwarder) hasNoExcessInput() bool {
	return len(f.message.Rest(f.buffer.bytes())) == 0 && !f.source.hasBuffered()
}

// writePiece writes a piece of the body, with chunk framing if the message needs it, and the end of the framing after
// the last piece. After an earlier write error it does nothing.
func (f *forwarder) writePiece(piece []byte, last bool) error {
	if f.writeErr != nil {
		return nil
	}
	startedAt := time.Now()
	f.updateProgress(func(p *forwarderProgress) { p.isWriting = true })
	defer func() {
		f.writeTime += time.Since(startedAt)
		f.updateProgress(func(p *forwarderProgress) { p.isWriting = false })
	}()
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

// readTimeout returns the time within which the next piece must arrive. With a minimum rate it is the time that the
// bytes received so far take at that rate, plus bodyGrace, less the time used so far, and at most forwardIdleTimeout.
func (f *forwarder) readTimeout(now time.Time) time.Duration {
	if !f.enforceMinRate {
		return forwardIdleTimeout
	}
	earned := time.Duration(float64(f.progress.receivedBytes) / (minBodyRate * enforcedRateFraction) * float64(time.Second))
	return min(bodyGrace+earned-(now.Sub(f.startedAt)-f.writeTime), forwardIdleTimeout)
}

// readNotingWait reads from the source. If the read had to wait for the sender, it records when the wait ended.
func (f *forwarder) readNotingWait(dst []byte) (int, error) {
	if f.source.hasBuffered() || f.source.descriptor == nil {
		return f.source.Read(dst)
	}
	waiting, ok := unreadBytes(f.source.descriptor)
	startedAt := time.Now()
	n, err := f.source.Read(dst)
	if now := time.Now(); ok && waiting == 0 && n > 0 && now.Sub(startedAt) >= minEmptyReadWait {
		f.updateProgress(func(p *forwarderProgress) { p.lastWaitEndedAt = now })
	}
	return n, err
}

// forwarderStarted counts a forwarder as active.
func (n *Node) forwarderStarted() {
	n.activeForwarders++
	n.memory.forwarders.Add(1)
	n.memory.add(forwarderMemory)
}

// forwarderFinished counts a forwarder as ended, and releases its buffers.
func (n *Node) forwarderFinished(fwd *forwarder) {
	n.activeForwarders--
	n.memory.forwarders.Add(-1)
	n.memory.add(-forwarderMemory)
	fwd.buffer.release()
	fwd.source.buffered.release()
}

// readPiece reads the next piece into the buffer. It returns errBodyTooSlow if the sender exceeds readTimeout.
func (f *forwarder) readPiece() error {
	if f.maxBytes > 0 && f.progress.receivedBytes > f.maxBytes {
		return errMessageTruncated
	}
	if f.source.descriptor != nil {
		now := time.Now()
		_ = f.source.descriptor.SetReadDeadline(now.Add(f.readTimeout(now)))
	}
	n, err := f.readNotingWait(f.buffer.data[f.buffer.length:])
	f.lastRead, f.lastReadFilled = n, f.buffer.length+n == len(f.buffer.data)
	f.buffer.length += n
	f.updateProgress(func(p *forwarderProgress) { p.receivedBytes += int64(n) })
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
