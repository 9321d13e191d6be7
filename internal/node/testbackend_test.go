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

// testBackend is a backend with a handler that the test chooses. It counts requests and connections.
type testBackend struct {
	*httptest.Server
	requestCount    atomic.Int32
	remoteAddresses sync.Map // of the connections on which requests were received
}

// newTestBackend starts a backend, which is closed at the end of the test.
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

// connectionCount returns the number of connections on which requests have been received.
func (a *testBackend) connectionCount() (n int) {
	a.remoteAddresses.Range(func(any, any) bool { n++; return true })
	return n
}

// targets returns an endpoint list with the backend as its only entry.
func (a *testBackend) targets() []protocol.Target { return []protocol.Target{targetOf("a", a)} }

// targetOf returns an entry of an endpoint list for a backend.
func targetOf(uid string, a *testBackend) protocol.Target {
	return protocol.Target{UID: uid, Endpoint: a.Listener.Addr().String(), Zone: "z", Weight: 1}
}

// serve answers 200 with a body that names the path of the request.
func serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "body of "+r.URL.Path) // fails if the node has closed the connection
}

// closeAfterSending sends the given bytes of an answer and closes the connection. If there are none, it resets the
// connection.
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

// resetAfterReceipt sends the given bytes of an answer, and resets the connection once the node's side has received
// them.
func resetAfterReceipt(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		raw, _ := conn.(*net.TCPConn).SyscallConn()
		for unread := 1; unread > 0; {
			_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		}
		// An acknowledgement does not mean that the node has read the bytes, but if it has not, it has no answer either.
		time.Sleep(10 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// sendGarbage sends bytes that are not a valid answer, and leaves the connection open.
func sendGarbage(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		go func() { // reads until the node closes the connection
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
}

// respondWith answers with a status and with header fields, given as names and values in turn.
func respondWith(code int, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(code)
	}
}

// neverAnswer sends nothing until the node closes the connection, and then sends to disconnected unless that is nil.
func neverAnswer(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if disconnected != nil {
			disconnected <- struct{}{}
		}
	}
}

// handleFirst passes the first request to a handler and the others to serve. It also returns the count of requests.
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

// newBlockedBackend starts a backend that sends to arrived for each request and serves none before release is closed.
// At the end of the test its handlers return in any case, since closing the server waits for them. A handler blocks
// until its notification on arrived is received.
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

// newGatedBackend is newBlockedBackend with a buffer for 10 notifications, so that the test need not receive them,
// and with one request served for each value sent to release until that is closed.
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

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = w.Write(body)
}
