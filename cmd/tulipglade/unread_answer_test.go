package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// largeMessageBytes is the size of a request or an answer that a node forwards in pieces. The connection that it is
	// read from is detached from the poller meanwhile, and returned to it afterwards.
	largeMessageBytes = 200_000
	// unreadAnswerBytes is the size of the answers that a stalled client does not read.
	unreadAnswerBytes = 60_000
	// unreadRequests is how many requests a stalled client sends.
	unreadRequests = 120
	// unreadUploadBytes is the size of a request or an answer that a stalled peer does not read: more than the kernels
	// buffer.
	unreadUploadBytes = 32 << 20
	// stallObservation is how long a peer is observed: longer than the 10 s after which a node gives up a write.
	stallObservation = 12 * time.Second
)

// unreadBackend answers as the query says: with a large body for "large=1", or after its release, without reading the
// request's body, for "stall=1", or with more than the kernels buffer, for "unread=1". All other answers have unreadAnswerBytes.
type unreadBackend struct {
	stalled  chan struct{} // receives a value for each request that is not read
	released chan struct{}
}

func (b *unreadBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := unreadAnswerBytes
	switch {
	case r.URL.Query().Get("stall") != "":
		b.stalled <- struct{}{}
		<-b.released
		return
	case r.URL.Query().Get("unread") != "":
		size = unreadUploadBytes
	case r.URL.Query().Get("large") != "":
		size = largeMessageBytes
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, strings.Repeat("x", size)) // if this fails, the client reports it
}

// unreadRun is a process with one backend and a discovery service that reports no changes.
type unreadRun struct {
	process *process
	address string // for clients
	backend *unreadBackend
}

// newUnreadRun starts a process for a peer that stops reading. environment is added to that of the process.
func newUnreadRun(t *testing.T, environment ...string) *unreadRun {
	t.Helper()
	backend := &unreadBackend{stalled: make(chan struct{}, 1), released: make(chan struct{})}
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	t.Cleanup(func() { close(backend.released) })
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.RequestURI, "timeout_ms=0") {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, incrementalList(initialRevision)) // if this fails, the process calls again
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	p := newProcess(t, nodeConfig{
		fleetSize:      1,
		discovery:      discovery.Listener.Addr().String(),
		endpoints:      map[string]string{"a": backendServer.Listener.Addr().String()},
		class:          readClass,
		connectTimeout: 250 * time.Millisecond,
		pollInterval:   10 * time.Second,
	}.configJSON())
	p.start(t, environment...)
	t.Cleanup(p.kill)
	r := &unreadRun{process: p, address: p.clientAddress(t), backend: backend}
	if !awaitReady(r.address, startupTimeout) {
		t.Fatalf("the process is not ready: %s", p.output)
	}
	return r
}

// unreadRequestCount numbers the requests of these tests, which each need an ID of their own.
var unreadRequestCount atomic.Int64

// readRequestHead returns the head of a request with a body of the given size.
func readRequestHead(method, query string, bodySize int) string {
	return fmt.Sprintf("%s /read?%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: u%d\r\nX-Customer: t\r\nContent-Length: %d\r\n\r\n",
		method, query, unreadRequestCount.Add(1), bodySize)
}

// dial connects a client whose kernel accepts little more of an answer than the client reads.
func (r *unreadRun) dial(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err := dialer.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a request with a body of the given size and reads its answer, which must have status 200.
func (r *unreadRun) exchange(t *testing.T, conn net.Conn, method, query string, bodySize int) {
	t.Helper()
	if _, err := io.WriteString(conn, readRequestHead(method, query, bodySize)+strings.Repeat("b", bodySize)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // read to its end
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(response.StatusCode, err)
	}
}

// sendUnread sends requests whose answers the client never reads: more answers than the kernels buffer, and so slowly
// that the node does not reject the requests as too many.
func sendUnread(t *testing.T, conn net.Conn) {
	t.Helper()
	for range unreadRequests {
		if _, err := io.WriteString(conn, readRequestHead(http.MethodGet, "", 0)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stallBackend has the backend stop reading in the middle of a large request.
func (r *unreadRun) stallBackend(t *testing.T) {
	t.Helper()
	conn := r.dial(t)
	go func() { // ends when the node closes the connection
		_, _ = io.WriteString(conn, readRequestHead(http.MethodPost, "stall=1", unreadUploadBytes))
		_, _ = conn.Write(make([]byte, unreadUploadBytes))
	}()
	select {
	case <-r.backend.stalled:
	case <-time.After(startupTimeout):
		t.Fatal("the backend has received no request")
	}
}

// checkServed sends requests of ordinary clients for a while. Each of them must be served or rejected, and the process
// must not end.
func (r *unreadRun) checkServed(t *testing.T, duration time.Duration) {
	t.Helper()
	var answered, rejected atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		client := sequentialClient{address: r.address, process: i, answered: &answered, rejected: &rejected, pause: 20 * time.Millisecond}
		clients.Go(func() { client.run(t, stop) })
	}
	select {
	case <-r.process.ended:
		t.Errorf("the process ended: %v, %s", r.process.exitErr, r.process.output)
	case <-time.After(duration):
	}
	close(stop)
	clients.Wait()
	if answered.Load() <= rejected.Load() {
		t.Errorf("%d requests of ordinary clients served, %d rejected", answered.Load(), rejected.Load())
	}
	t.Logf("%d requests of ordinary clients served, %d rejected", answered.Load(), rejected.Load())
}

// stallClient returns a function that has a client stop reading after a first request.
func stallClient(method, query string, bodySize int) func(*testing.T, *unreadRun) {
	return func(t *testing.T, r *unreadRun) {
		t.Helper()
		conn := r.dial(t)
		r.exchange(t, conn, method, query, bodySize)
		sendUnread(t, conn)
	}
}

// TestPeerThatStopsReadingDoesNotEndProcess guards against a peer that ends the process: a write that the peer does not
// accept in time must only close that connection, whatever it was used for before.
func TestPeerThatStopsReadingDoesNotEndProcess(t *testing.T) {
	for name, stall := range map[string]func(*testing.T, *unreadRun){
		"client-after-small-request": stallClient(http.MethodGet, "", 0),
		"client-after-upload":        stallClient(http.MethodPost, "", largeMessageBytes),
		"client-after-download":      stallClient(http.MethodGet, "large=1", 0),
		"backend-after-small-answer": func(t *testing.T, r *unreadRun) {
			t.Helper()
			r.exchange(t, r.dial(t), http.MethodGet, "", 0)
			r.stallBackend(t)
		},
		"backend-after-download": func(t *testing.T, r *unreadRun) {
			t.Helper()
			r.exchange(t, r.dial(t), http.MethodGet, "large=1", 0)
			r.stallBackend(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newUnreadRun(t)
			stall(t, r)
			r.checkServed(t, stallObservation)
			if strings.HasPrefix(name, "client") && !r.process.output.contains(`reason="write failed"`) {
				t.Errorf("no write to the client has failed: %s", r.process.output)
			}
		})
	}
}

// TestClientThatLeavesAfterUploadDoesNotEndTracedProcess guards against the same end of a process that logs each step:
// the close of a connection that had carried a large request is logged with the client's address.
func TestClientThatLeavesAfterUploadDoesNotEndTracedProcess(t *testing.T) {
	t.Parallel()
	r := newUnreadRun(t, "TULIPGLADE_LOG=debug")
	conn := r.dial(t)
	r.exchange(t, conn, http.MethodPost, "", largeMessageBytes)
	client := conn.LocalAddr().String()
	_ = conn.Close()
	timeout := time.After(startupTimeout)
	r.process.waitUntil(t, "the close is logged with the client's address", timeout, func() bool {
		time.Sleep(10 * time.Millisecond)
		return r.process.output.contains(`msg="client connection closed" client=` + client)
	})
	r.checkServed(t, time.Second)
}

// TestClientThatStopsReadingDoesNotDelayShutdown guards against a client that keeps a process from ending in time: a
// process may be killed 0.7 s after the longest deadline, 1.5 s here.
func TestClientThatStopsReadingDoesNotDelayShutdown(t *testing.T) {
	const endTimeLimit = 1500*time.Millisecond + 700*time.Millisecond
	for name, stall := range map[string]func(*testing.T, *unreadRun){
		"after-small-request": stallClient(http.MethodGet, "", 0),
		"after-upload":        stallClient(http.MethodPost, "", largeMessageBytes),
		"in-a-download": func(t *testing.T, r *unreadRun) {
			t.Helper()
			_, _ = io.WriteString(r.dial(t), readRequestHead(http.MethodGet, "unread=1", 0)) // the process is seen to wait
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newUnreadRun(t, "GORACE=atexit_sleep_ms=0") // by default, the race detector delays the exit by a second
			stall(t, r)
			if err := r.process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if err := r.process.wait(); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > endTimeLimit {
				t.Errorf("the process ended %v after SIGTERM, want %v at most", took, endTimeLimit)
			}
		})
	}
}
