package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueCapacity is how many lines may wait to be written.
const logQueueCapacity = 1024

// LogWriter passes lines to a writer without ever waiting for it: a node whose log nobody reads must go on
// serving. Lines that do not fit into the queue are dropped, and a line says how many.
type LogWriter struct {
	lines   chan logLine
	dropped atomic.Int64
}

type logLine struct {
	text    []byte
	written chan<- struct{} // of a Flush: closed once all earlier lines have been written
}

// NewLogWriter returns a LogWriter in front of out. Its goroutine runs until the process ends.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan logLine, logQueueCapacity)}
	go w.run(out)
	return w
}

// run writes the queued lines. Errors are dropped: there is nowhere to report that a log cannot be written.
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

// Write queues one line. It never blocks and never fails.
func (w *LogWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- logLine{text: bytes.Clone(p)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until the lines so far have been written, but for no longer than timeout.
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
