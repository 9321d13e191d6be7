package node

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// When a client disconnects, the attempt of its request is cancelled: the node closes the connection to the backend at
// once.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	disconnected := make(chan struct{}, 1)
	arrived := make(chan struct{}, 1)
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		neverAnswer(disconnected)(w, r)
	})
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("read", 9000))
	<-arrived
	_ = conn.Close()
	select {
	case <-disconnected:
	case <-time.After(5 * time.Second):
		t.Error("the attempt was not cancelled")
	}
}

// If a client disconnects while the attempt of its request waits for a connection, the attempt does not start, whether
// or not the settings allow cancellation, and whether the client closes or resets its connection.
func TestClientDisconnectBeforeFirstByte(t *testing.T) {
	for name, c := range map[string]struct{ cancel, reset bool }{
		"closes":                       {true, false},
		"resets":                       {true, true},
		"closes, nothing is cancelled": {false, false},
		"resets, nothing is cancelled": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			queued := newQueuedRequest(t, func(s *Settings) { s.Balancer.AllowCancel = c.cancel })
			if c.reset {
				_ = queued.second.Conn.(*net.TCPConn).SetLinger(0)
			}
			_ = queued.second.Close()
			waitUntil(queued.node, func() bool { return queued.node.openRequests == 1 })
			queued.releaseFirst()
			if k := queued.backend.requestCount.Load(); k != 1 {
				t.Errorf("%d requests forwarded", k)
			}
		})
	}
}

// No attempt starts if the client has disconnected before the event loop processes its request, or before a connection
// becomes available for its attempt. The notification of the disconnect is still queued behind these events then, so
// that the node must ask the kernel.
func TestClientDisconnectBeforeRequestIsProcessed(t *testing.T) {
	t.Run("no attempt yet", func(t *testing.T) {
		backend := newTestBackend(t, serve)
		n, addr := startNode(t, backend.targets(), nil)
		conn := dialNode(t, addr)
		conn.exchange(requestText("read", 9000))
		waitUntil(n, func() bool { return n.idleBackends.Len() == 1 }) // so that the next request can use an idle connection
		recorder := &outcomeRecorder{}
		runOnLoop(n, func() { recorder.decisionModule, n.balancer = n.balancer, recorder })
		busy, free := make(chan struct{}), make(chan struct{})
		n.post(func() { close(busy); <-free })
		<-busy
		_, _ = io.WriteString(conn, requestText("once", 9000))
		waitForPosted(n, 1)
		_ = conn.Close()
		waitForPosted(n, 2)
		close(free)
		waitUntil(n, func() bool { return n.lastRequestID == 2 && len(n.clients) == 0 && len(n.requests) == 0 })
		if !slices.Equal(recorder.outcomes, []balancer.Outcome{balancer.OutcomeNotSent}) {
			t.Errorf("attempt outcomes %v, want one attempt that was not started", recorder.outcomes)
		}
	})
	t.Run("an attempt waits", func(t *testing.T) {
		queued := newQueuedRequest(t, nil)
		// The client disconnects while the event loop is busy, and a connection is released after that.
		runOnLoop(queued.node, func() {
			_ = queued.second.Close()
			for _, att := range queued.node.endpoints[1].waitingAttempts {
				for !att.request.clientConn.peerHasEnded() {
					runtime.Gosched()
				}
				if reason := queued.node.mayStart(att); reason != safety.ClientDisconnected {
					t.Errorf("the check before the attempt starts returned %v", reason)
				}
			}
		})
		queued.releaseFirst()
		if k := queued.backend.requestCount.Load(); k != 1 {
			t.Errorf("%d requests forwarded", k)
		}
	})
}

// If a client pipelines requests and disconnects, at most the first request is started.
func TestClientDisconnectAfterPipelinedRequests(t *testing.T) {
	n, addr := startNode(t, newTestBackend(t, serve).targets(), nil)
	conn := dialNode(t, addr)
	conn.exchange(readyRequest)
	busy, free := make(chan struct{}), make(chan struct{})
	n.post(func() { close(busy); <-free })
	<-busy
	_, _ = io.WriteString(conn, requestText("once", 9000)+requestText("once", 9000)+requestText("read", 9000)+requestText("once", 9000))
	waitForPosted(n, 1)
	_ = conn.Close()
	waitForPosted(n, 2)
	close(free)
	waitUntil(n, func() bool { return len(n.clients) == 0 && n.openRequests == 0 })
	runOnLoop(n, func() {
		if n.lastRequestID > 1 {
			t.Errorf("%d requests were admitted, want at most one", n.lastRequestID)
		}
	})
}

// If a client disconnects while its large request waits for a connection to a backend, no attempt starts. One did
// start: the client's connection is detached from the poller by then, and nothing checked whether it had ended. The
// soak test reported
//
//	lost: n3-c1-89 started at backend 1 0.515 s after its client had disconnected
func TestClientDisconnectBeforeUploadStarts(t *testing.T) {
	backend := newTestBackend(t, serve)
	n, addr := startNode(t, backend.targets(), func(s *Settings) { s.ConnectTimeout = 5_000_000 })
	delayReports(n, reportDialed, 300*time.Millisecond)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, postRequest("Content-Length: "+strconv.Itoa(uploadSize))+string(randomBody(1, uploadSize)))
	waitUntil(n, func() bool { return len(n.requests) == 1 && len(n.requests[1].attempts) == 1 })
	_ = client.Close()
	waitUntil(n, func() bool { return len(n.requests) == 0 })
	if count := backend.requestCount.Load(); count > 0 {
		t.Errorf("%d requests reached the backend", count)
	}
}
