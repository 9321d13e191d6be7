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
	// flowIdle is how long either side may neither give nor take anything.
	flowIdle = 10 * time.Second
	// bodyRate is what a client must give, in bytes a second, once bodyGrace has passed. Time spent on passing it on does not
	// count.
	bodyRate  = 64_000
	bodyGrace = 3 * time.Second
	// bodyMargin is the part of the rate that is asked for: who gives just as much as he must is never cut off.
	bodyMargin = 0.9
	// flowMemory is what one flow takes: its buffer, and the one that the request or the answer began in.
	flowMemory = 2 * protocol.BufferSize
)

// Why a flow ended before its message did.
var (
	errTooSlow = errors.New("body too slow")
	errCutOff  = errors.New("connection ended within a message")
)

// source is where a flow reads from: what had come before its connection left the poller, and then the connection.
type source struct {
	early [][]byte
	file  *os.File // nil: the connection has ended
	inEnd bool     // … in order
}

func (s *source) Read(p []byte) (int, error) {
	for len(s.early) > 0 {
		if n := copy(p, s.early[0]); n > 0 {
			s.early[0] = s.early[0][n:]
			return n, nil
		}
		s.early = s.early[1:]
	}
	if s.file == nil {
		if s.inEnd {
			return 0, io.EOF
		}
		return 0, errCutOff
	}
	return s.file.Read(p)
}

// flow passes the rest of a message on, piece by piece: the next is read when the last has been written. It runs on a
// goroutine of its own, and only posts to Run's.
type flow struct {
	from    source
	msg     protocol.Message // as Tail has it
	buf     *buffer          // n: what has been read and not passed on
	to      func(parts ...[]byte) error
	chunked bool // how it is written
	paced   bool // the reader asks for bodyRate
	given   int64
	all     atomic.Bool // all of it has been read
	most    int64       // 0: any; more is not read
	began   time.Time
	writing time.Duration
	written error  // of the other side: what still comes is dropped
	broken  func() // called as that happens
}

// run passes all of it on. It returns why it could not; written says so where that is for the side written to.
func (f *flow) run() error {
	if f.broken == nil {
		f.broken = func() {}
	}
	f.began = time.Now()
	for {
		size, whole, err := f.msg.More(f.buf.bytes())
		if f.buf.n = size; err != nil {
			return err
		}
		f.all.Store(whole)
		if err := f.pass(f.msg.Body(f.buf.bytes()), whole); err != nil {
			f.written = err
			f.broken()
		}
		f.buf.n = f.msg.Shift(f.buf.bytes())
		if whole {
			return nil
		}
		if err := f.read(); err != nil {
			if !errors.Is(err, io.EOF) {
				return err
			}
			if !f.msg.UntilEnd() {
				return errCutOff
			}
			f.msg.Finish()
		}
	}
}

// pass writes a piece, and the end behind the last.
func (f *flow) pass(p []byte, last bool) error {
	if f.written != nil {
		return nil
	}
	at := time.Now()
	defer func() { f.writing += time.Since(at) }()
	if !f.chunked {
		if len(p) == 0 {
			return nil
		}
		return f.to(p)
	}
	var parts [][]byte
	if len(p) > 0 {
		parts = append(parts, append(strconv.AppendInt(nil, int64(len(p)), 16), "\r\n"...), p, []byte("\r\n"))
	}
	if last {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	if parts == nil {
		return nil
	}
	return f.to(parts...)
}

// allowed is how long the next piece may take: what has been given allows for so much time since the beginning.
func (f *flow) allowed(now time.Time) time.Duration {
	if !f.paced {
		return flowIdle
	}
	earned := time.Duration(float64(f.given) / (bodyRate * bodyMargin) * float64(time.Second))
	return min(bodyGrace+earned-(now.Sub(f.began)-f.writing), flowIdle)
}

// read takes the next piece in.
func (f *flow) read() error {
	if f.most > 0 && f.given > f.most {
		return errCutOff
	}
	if f.from.file != nil {
		now := time.Now()
		_ = f.from.file.SetReadDeadline(now.Add(f.allowed(now)))
	}
	n, err := f.from.Read(f.buf.data[f.buf.n:])
	f.buf.n += n
	f.given += int64(n)
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errTooSlow
	case err == nil:
		return io.ErrNoProgress
	case errors.Is(err, io.EOF):
		return io.EOF
	}
	return fmt.Errorf("read: %w", err)
}
