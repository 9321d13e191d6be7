package node

import (
	"context"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// pollerFields returns what netpoll uses of a connection when a read or a write times out.
func pollerFields(t *testing.T, conn netpoll.Connection) (read, write time.Duration) {
	t.Helper()
	timeout := func(name string) time.Duration {
		field, err := connectionField(conn, name)
		if err != nil || field.Kind() != reflect.Int64 {
			t.Fatal(name, err)
		}
		return time.Duration(field.Int())
	}
	return timeout("readTimeout"), timeout("writeTimeout")
}

// TestConnectionsOfEachOriginCanTimeOut guards against a connection that ends the process where netpoll or the log needs
// its address, or that blocks its writer for ever: whatever it comes from, it has both addresses and a limit for writes.
// None has a limit for reads, as the poller reads without waiting.
func TestConnectionsOfEachOriginCanTimeOut(t *testing.T) {
	const largeSize = 200_000
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size := 2
		if r.URL.Path == "/once" && r.ContentLength < largeSize {
			size = largeSize
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	upload := postRequest("Content-Length: "+strconv.Itoa(largeSize)) + strings.Repeat("b", largeSize)
	for name, origin := range map[string]struct {
		inherited bool
		request   string
		ofBackend bool
	}{
		"accepted":                          {false, readyRequest, false},
		"accepted on an inherited listener": {true, readyRequest, false},
		"dialled":                           {false, requestText("read", 9000), true},
		"returned after an upload":          {false, upload, false},
		"returned after a download":         {false, requestText("once", 9000), true},
	} {
		t.Run(name, func(t *testing.T) {
			n, addr := startNode(t, backend.targets(), nil)
			if origin.inherited {
				addr = serveInherited(t, n)
			}
			client := dialNode(t, addr)
			client.exchange(origin.request)
			waitUntil(n, func() bool { return !origin.ofBackend || n.idleBackends.Len() == 1 })
			var conn netpoll.Connection
			local, remote := addr, client.LocalAddr().String()
			if origin.ofBackend {
				local, remote = "127.0.0.1:", backend.Listener.Addr().String()
				runOnLoop(n, func() { conn = n.idleBackends.Front().Value.(*backendConn).conn })
			} else {
				runOnLoop(n, func() { conn = onlyClient(n).conn })
			}
			if conn.LocalAddr() == nil || conn.RemoteAddr() == nil {
				t.Fatalf("addresses %v, %v", conn.LocalAddr(), conn.RemoteAddr())
			}
			if !strings.HasPrefix(conn.LocalAddr().String(), local) || conn.RemoteAddr().String() != remote {
				t.Errorf("addresses %v, %v, want %s, %s", conn.LocalAddr(), conn.RemoteAddr(), local, remote)
			}
			if read, write := pollerFields(t, conn); read != 0 || write != writeTimeout {
				t.Errorf("reads time out after %v, writes after %v", read, write)
			}
		})
	}
}

// onlyClient returns the only connection from a client. It must be called on the event loop.
func onlyClient(n *Node) (client *clientConn) {
	for c := range n.clients {
		client = c
	}
	return client
}

// serveInherited makes a node accept clients on a listener whose socket another owner has opened, and returns its
// address.
func serveInherited(t *testing.T, n *Node) (addr string) {
	t.Helper()
	opened, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = opened.Close() }()
	fd, err := opened.Duplicate()
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := InheritListener(fd)
	if err != nil {
		t.Fatal(err)
	}
	loop, err := n.NewClientEventLoop()
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = loop.Serve(inherited) }()
	t.Cleanup(func() { _ = loop.Shutdown(context.Background()) })
	return inherited.Addr().String()
}
