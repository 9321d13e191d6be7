package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// manualBackend is a backend whose answers a test writes byte by byte.
type manualBackend struct {
	t *testing.T
	net.Listener
}

// newManualBackend listens on a port of its own. receive is the size of the kernel's receive buffer in bytes; 0: the
// default.
func newManualBackend(t *testing.T, receive int) *manualBackend {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if receive > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
			}
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Accepting must not wait longer than clients do.
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _ = ln.Close() })
	return &manualBackend{t, ln}
}

// targets returns an endpoint list with the backend as its only entry.
func (h *manualBackend) targets() []protocol.Target {
	return []protocol.Target{{UID: "a", Endpoint: h.Addr().String(), Zone: "z", Weight: 1}}
}

// acceptRequest accepts the next connection and reads a request from it. The reader returns what follows the request.
func (h *manualBackend) acceptRequest() (net.Conn, *bufio.Reader) {
	h.t.Helper()
	conn, err := h.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	in := bufio.NewReader(conn)
	r, err := http.ReadRequest(in)
	if err != nil {
		h.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return conn, in
}

// writeOK writes a complete answer with status 200.
func writeOK(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// backendInputContains reports whether the input that the node has received from a backend, for an attempt in flight,
// contains part. It must be called on the event loop.
func backendInputContains(n *Node, part string) bool {
	for _, r := range n.requests {
		for _, a := range r.attempts {
			if a.conn != nil && a.conn.input != nil && bytes.Contains(a.conn.input.bytes(), []byte(part)) {
				return true
			}
		}
	}
	return false
}
