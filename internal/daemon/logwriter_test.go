package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks each Write until unblock is closed, like a log that nobody reads.
type blockedWriter struct {
	unblock chan struct{}
	strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Builder.Write(p)
}

// Guards against a node that stops serving because nobody reads its log: the goroutine that serves all requests also
// writes the log, so a write must not block. The lines that are dropped meanwhile are counted in the log.
func TestUnreadLogDoesNotBlockWriter(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewLogWriter(out)
	for i := range logQueueCapacity + 100 {
		if n, err := fmt.Fprintln(w, "line", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Millisecond) // returns at its timeout
	close(out.unblock)
	w.Flush(time.Minute)
	if got := out.String(); !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("written: %.40q…, %d bytes; the first line or the number of dropped lines is missing", got, len(got))
	}
}
