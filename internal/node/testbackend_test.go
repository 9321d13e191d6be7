package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tulipglade/internal/protocol"
)

// testBackend is a backend that behaves as a test says, and counts requests and connections.
type testBackend struct {
	*httptest.Server
	requestCount    atomic.Int32
	remoteAddresses sync.Map // of its connections
}

// newTestBackend starts a backend.
func newTestBackend(t *testing.T, h http.HandlerFunc) *testBackend {
	t.Helper()
	a := &testBackend{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.requestCount.Add(1)
		a.remoteAddresses.Store(r.RemoteAddr, true)
		h(w, r)
	}))
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

func (a *testBackend) connectionCount() (n int) {
	a.remoteAddresses.Range(func(any, any) bool { n++; return true })
	return n
}

func (a *testBackend) targets() []protocol.Target { return []protocol.Target{targetOf("a", a)} }

// targetOf is the backend's entry on an endpoint list.
func targetOf(uid string, a *testBackend) protocol.Target {
	return protocol.Target{UID: uid, Endpoint: a.Listener.Addr().String(), Zone: "z", Weight: 1}
}

// serve answers with the path that was asked for.
func serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "body of "+r.URL.Path) // the node may have closed the connection
}

// closeAfterSending ends the connection after some bytes of an answer, with a reset if there are none.
func closeAfterSending(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		if answer == "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// resetAfterReceipt sends some bytes of an answer, and resets the connection once the node's side has received them.
func resetAfterReceipt(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		raw, _ := conn.(*net.TCPConn).SyscallConn()
		for unread := 1; unread > 0; {
			_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		}
		// An acknowledgement does not mean that the node has read it; but a node that misses it has no answer either.
		time.Sleep(10 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// sendGarbage sends what is no answer, and leaves the connection open.
func sendGarbage(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		go func() { // until the node closes it
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
}

// respondWith answers with a status and header fields.
func respondWith(code int, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(code)
	}
}

// neverAnswer sends nothing until the node gives up, and then notifies disconnected.
func neverAnswer(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if disconnected != nil {
			disconnected <- struct{}{}
		}
	}
}

// handleFirst passes the first request to a handler, and serves the others.
func handleFirst(h http.HandlerFunc) (http.HandlerFunc, *atomic.Int32) {
	var seen atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			h(w, r)
			return
		}
		serve(w, r)
	}, &seen
}

// newBlockedBackend is a backend that notifies arrived of each request and serves none before release is closed, or
// the test has ended: the server waits for its handlers when it is closed.
func newBlockedBackend(t *testing.T) (a *testBackend, arrived <-chan struct{}, release chan struct{}) {
	t.Helper()
	in, release := make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case in <- struct{}{}:
		case <-ended:
			return
		}
		select {
		case <-release:
			serve(w, r)
		case <-ended:
		}
	})
	t.Cleanup(func() { close(ended) }) // runs before the server is closed
	return backend, in, release
}

// newGatedBackend is a backend that answers no request until it is released.
func newGatedBackend(t *testing.T) (a *testBackend, arrived chan bool, release chan bool) {
	t.Helper()
	arrived, release = make(chan bool, 10), make(chan bool)
	ended := make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		select {
		case <-release:
			serve(w, r)
		case <-ended:
		}
	})
	t.Cleanup(func() { close(ended) })
	return backend, arrived, release
}

// echo answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = w.Write(body)
}
