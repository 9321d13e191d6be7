package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter is a log that nobody reads, until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Builder.Write(p)
}

// A log that nobody reads does not block the goroutine that writes it: that is the one which serves all requests.
// Dropped lines are counted in the log.
func TestUnreadLogDoesNotBlockWriter(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewLogWriter(out)
	for i := range logQueueCapacity + 100 {
		if n, err := fmt.Fprintln(w, "line", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Millisecond) // gives up
	close(out.unblock)
	w.Flush(time.Minute)
	if got := out.String(); !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("written: %.40q…, %d bytes, or nothing on what was dropped", got, len(got))
	}
}
