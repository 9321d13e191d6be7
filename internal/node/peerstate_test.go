package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// A reset is told from an orderly end by the events of poll(2) in both directions, never by the state in TCP_INFO:
// the second row is what a layer between process and kernel was seen to report for a reset whose state it gave as
// CLOSE_WAIT.
func TestPeerStateFromPollEvents(t *testing.T) {
	for _, c := range []struct {
		name    string
		revents int16
		want    peerState
	}{
		{"open", unix.POLLOUT, peerOpen},
		{"reset", unix.POLLIN | unix.POLLOUT | unix.POLLERR | unix.POLLHUP | unix.POLLRDHUP, peerBroken},
		{"reset, its error read", unix.POLLIN | unix.POLLOUT | unix.POLLHUP | unix.POLLRDHUP, peerBroken},
		{"reset, not read", unix.POLLIN | unix.POLLERR | unix.POLLRDHUP, peerBroken},
		{"finished", unix.POLLIN | unix.POLLOUT | unix.POLLRDHUP, peerFinished},
		{"no descriptor", unix.POLLNVAL, peerBroken},
	} {
		if got := peerStateFromEvents(c.revents); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The kernel reports the peer's state after the poller has read all input.
func TestPeerStateFromKernel(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want peerState
	}{
		"finished": {func(c *net.TCPConn) { _ = c.CloseWrite() }, peerFinished},
		"closed":   {func(c *net.TCPConn) { _ = c.Close() }, peerFinished},
		"reset":    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, peerBroken},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			found := make(chan peerState, 1)
			_ = conn.AddCloseCallback(func(conn netpoll.Connection) error { found <- queryPeerState(conn); return nil })
			_ = conn.SetOnRequest(nil)
			other, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if got := queryPeerState(conn); got != peerOpen {
				t.Errorf("before the end: %v", got)
			}
			c.end(other.(*net.TCPConn))
			for conn.IsActive() { // until the poller has noticed the end
				_, _ = conn.Reader().Peek(1)
			}
			_ = conn.Close()
			if got := <-found; got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
			_ = other.Close()
		})
	}
}

// An answer without a length is complete only if its connection closes in order: cut by a reset, it reaches no
// client.
func TestResetDoesNotCompleteAnswer(t *testing.T) {
	for name, reset := range map[string]bool{"in order": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			backend := newManualBackend(t, 0)
			n, addr := startNode(t, backend.targets(), nil)
			c := dialNode(t, addr)
			_, _ = io.WriteString(c, requestText("once", 5000))
			conn, _ := backend.acceptRequest()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			waitUntil(n, func() bool { return backendInputContains(n, "half") })
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			code, body, _ := c.readAnswer()
			if reset && code == 200 || !reset && (code != 200 || body != "half") {
				t.Errorf("answered %d %q", code, body)
			}
		})
	}
}
