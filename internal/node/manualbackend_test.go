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

// manualBackend is a backend whose every byte a test writes itself.
type manualBackend struct {
	t *testing.T
	net.Listener
}

// newManualBackend may bound the kernel's receive buffer, in bytes; 0: as usual.
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
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)) // no longer than clients wait
	t.Cleanup(func() { _ = ln.Close() })
	return &manualBackend{t, ln}
}

func (h *manualBackend) targets() []protocol.Target {
	return []protocol.Target{{UID: "a", Endpoint: h.Addr().String(), Zone: "z", Weight: 1}}
}

// acceptRequest accepts the next connection and reads a request from it.
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

// writeOK writes a complete answer.
func writeOK(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// backendInputContains reports whether bytes of a backend have reached the event loop, on which it must be called.
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
