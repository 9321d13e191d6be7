package node

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"

	"tulipglade/internal/protocol"
)

// The node itself rejects malformed requests and requests with invalid fields. No such request reaches a backend, and
// the connection closes after the rejection.
func TestNodeRejections(t *testing.T) {
	backend := newTestBackend(t, serve)
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	req := requestText("read", 9000)
	for _, c := range []struct {
		name, in string
		code     int
		closing  bool
	}{
		{"malformed", "GET\r\n\r\n", 400, true},
		{"large head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", protocol.MaxHead+10), 431, true},
		{"large body", "POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413, true},
		{"unknown class, large", "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 400, true},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, true},
		{"other encoding", "POST / HTTP/1.1\r\nTransfer-Encoding: br\r\n\r\n", 400, true},
		{"method", strings.Replace(req, "GET", "TRACE", 1), 405, true},
		{"unknown class", strings.Replace(req, "X-Qos: read", "X-Qos: x", 1), 400, true},
		{"unknown tenant", strings.Replace(req, "X-Customer: t", "X-Customer: x", 1), 400, true},
		{"no id", strings.Replace(req, "X-Trace-Id", "X-Trace", 1), 400, true},
		{"bad deadline", strings.Replace(req, "9000", "soon", 1), 400, true},
		{"id twice", strings.Replace(req, "X-Trace-Id", "X-Trace-Id: id8\r\nX-Trace-Id", 1), 400, true},
		{"two classes", strings.Replace(req, "X-Qos: read", "X-Qos: once", 1), 400, true},
		{"no key", strings.Replace(requestText("keyed", 9000), "Idempotency-Key: k1\r\n", "", 1), 400, true},
	} {
		if code, _, closing := dialNode(t, addr).exchange(c.in); code != c.code || closing != c.closing {
			t.Errorf("%s: %d, closing %v, want %d, %v", c.name, code, closing, c.code, c.closing)
		}
	}
	if backend.requestCount.Load() != 0 {
		t.Errorf("%d requests reached a backend", backend.requestCount.Load())
	}
}

// Input that follows a rejected request is discarded, and the client can read the rejection. If the node closed the
// connection at once, the unread input would cause a reset, and the client could lose the rejection.
func TestRejectionIsReadable(t *testing.T) {
	_, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve))}, nil)
	conn := dialNode(t, addr)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if code, _, _ := conn.readAnswer(); code != 413 {
		t.Error(code)
	}
	if _, err := io.WriteString(conn, strings.Repeat("x", 99999)+readyRequest); err != nil {
		t.Error(err)
	}
	if b, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the rejection: read %q, %v, want the end of the connection", b, err)
	}
}

// A request that is not completed in time is rejected, as it would otherwise hold a descriptor and a buffer
// indefinitely. A connection between two requests stays open.
func TestStalledRequestIsRejected(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve))}, nil)
	idle := dialNode(t, addr)
	idle.exchange(readyRequest)
	for _, half := range []string{"GET /read HTTP/1.1\r\nHost", strings.TrimSuffix(requestText("once", 9000), "i")} {
		stalled := dialNode(t, addr)
		if _, err := io.WriteString(stalled, half); err != nil {
			t.Fatal(err)
		}
		waitUntil(n, func() bool {
			n.closeStalledClients() // has no effect: the timeout has not passed
			for c := range n.clients {
				if c.input != nil && c.input.length == len(half) && !c.writingAnswer {
					c.requestStartedAt -= headTimeout
					if c.headCompleteAt > 0 {
						c.headCompleteAt -= bodyTimeout + headTimeout
					}
					n.closeStalledClients()
					return true
				}
			}
			return false
		})
		if code, _, closing := stalled.readAnswer(); code != 408 || !closing {
			t.Errorf("%.20q…: status %d, closing %v", half, code, closing)
		}
	}
	if code, _, _ := idle.exchange(requestText("read", 9000)); code != 200 {
		t.Errorf("the idle connection: status %d", code)
	}
}

// A request is rejected if its trace ID belongs to another request, until the deadline of that request has passed. A
// backend would regard the two as one request that runs twice.
func TestTraceIDInUseIsRejected(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	first, req := dialNode(t, addr), requestText("once", 9000)
	_, _ = io.WriteString(first, req)
	<-arrived
	if code, _, closing := dialNode(t, addr).exchange(req); code != 400 || !closing {
		t.Errorf("a request with the same trace ID: status %d, closing %v", code, closing)
	}
	close(release)
	if code, _, _ := first.readAnswer(); code != 200 {
		t.Errorf("the first request: status %d", code)
	}
	if code, _, _ := dialNode(t, addr).exchange(req); code != 400 || backend.requestCount.Load() != 1 {
		t.Errorf("the same trace ID after the answer: status %d, %d requests at the backend", code, backend.requestCount.Load())
	}
	waitUntil(n, func() bool { // no state of the request is left after its deadline
		due := n.timers
		n.timers = nil
		for _, t := range due {
			t.callback()
		}
		return len(n.traceIDsInUse) == 0 && len(n.requests) == 0
	})
}

// The connection of a client that keeps sending after a rejection is closed, and the receive buffer of the kernel stays
// small.
func TestEndlessInputAfterRejectionIsCutOff(t *testing.T) {
	n, addr := startNode(t, nil, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
	waitUntil(n, func() bool {
		for c := range n.clients {
			size, err := syscall.GetsockoptInt(c.conn.(fdConn).Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
			if err != nil || size > 2*receiveBufferSize { // the kernel doubles the size that was set, for its own needs
				t.Errorf("receive buffer of %d bytes, %v", size, err)
			}
			return true
		}
		return false
	})
	piece, sent := make([]byte, 1<<16), 0
	for sent < 40<<20 {
		written, err := conn.Write(piece)
		if sent += written; err != nil {
			return
		}
	}
	t.Errorf("%d bytes were read after the rejection", sent)
}

// Requests beyond MaxInFlight are rejected with 503.
func TestOpenRequestsAreBounded(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, func(s *Settings) { s.MaxInFlight = 1 })
	first := dialNode(t, addr)
	_, _ = io.WriteString(first, requestText("once", 9000))
	<-arrived
	if code, _, _ := dialNode(t, addr).exchange(requestText("once", 9000)); code != 503 {
		t.Errorf("the second request: status %d", code)
	}
	close(release)
	if code, _, _ := first.readAnswer(); code != 200 {
		t.Errorf("the first request: status %d", code)
	}
}
