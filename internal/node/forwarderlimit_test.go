package node

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A large answer that waits until other large messages have been forwarded does not wait beyond the time of its client.
// Guards against a failure in which its request counted as answered, so that no deadline applied to it.
func TestQueuedLargeAnswerFailsAtDeadline(t *testing.T) {
	const size = 16 << 20 // more than the kernels buffer
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_ = writeRepeatedly(w, make([]byte, 1<<16), size)
	})
	n, addr := startNode(t, backend.targets(), func(s *Settings) { s.MemoryLimit = 4 * 4 * forwarderMemory })
	var slow []*testClient
	for range n.maxForwarders() {
		slow = append(slow, dialNode(t, addr))
		_, _ = io.WriteString(slow[len(slow)-1], requestText("read", 9000))
	}
	waitUntil(n, func() bool { return n.activeForwarders == len(slow) })
	impatient, patient := dialNode(t, addr), dialNode(t, addr)
	startedAt := time.Now()
	_, _ = io.WriteString(patient, requestText("read", 9000))
	_, _ = io.WriteString(impatient, requestText("read", 1000))
	if code, _, _ := impatient.readAnswer(); code != 504 || time.Since(startedAt) > 1500*time.Millisecond {
		t.Errorf("the client that waits 1 s: %d after %v", code, time.Since(startedAt))
	}
	_ = slow[0].Close()
	if code, body, _ := patient.readAnswer(); code != 200 || len(body) != size {
		t.Errorf("the client that waits 9 s: %d, %d bytes", code, len(body))
	}
	waitUntil(n, func() bool { return len(n.queuedDownloads) == 0 && len(n.requests) == 0 })
}
