package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueCapacity is the maximum number of lines that wait to be written.
const logQueueCapacity = 1024

// LogWriter passes lines to a writer in the background, so that a caller of Write never waits for that writer: a node
// must go on serving if nobody reads its log. Lines that do not fit into the queue are dropped, and a later line in the
// log gives their number.
type LogWriter struct {
	lines   chan logLine
	dropped atomic.Int64
}

type logLine struct {
	text    []byte
	written chan<- struct{} // set by Flush, instead of text: closed once all earlier lines have been written
}

// NewLogWriter returns a LogWriter that writes to out. Its goroutine runs until the process exits.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan logLine, logQueueCapacity)}
	go w.run(out)
	return w
}

// run writes the queued lines. It ignores errors, as there is no other place to report that the log cannot be written.
func (w *LogWriter) run(out io.Writer) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n",
				time.Now().Format(time.RFC3339Nano), n)
		}
		if line.written != nil {
			close(line.written)
			continue
		}
		_, _ = out.Write(line.text)
	}
}

// Write queues one line, or drops it if the queue is full. It never blocks and never returns an error.
func (w *LogWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- logLine{text: bytes.Clone(p)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until all lines that were queued before it have been written, or until timeout has passed.
func (w *LogWriter) Flush(timeout time.Duration) {
	written, expired := make(chan struct{}), time.After(timeout)
	select {
	case w.lines <- logLine{written: written}:
	case <-expired:
		return
	}
	select {
	case <-written:
	case <-expired:
	}
}
