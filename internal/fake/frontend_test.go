package fake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startNode starts a node that answers with its name, and whose /ready answers 200 only while ready is true.
func startNode(t *testing.T, name string, ready *atomic.Bool) (server *http.Server, addr string) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/ready" && !ready.Load() {
			response.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(response, name) // after an error, the client receives a truncated response
	})}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { closeQuietly(server) })
	return server, listener.Addr().String()
}

// Frontends must prefer the ready nodes of their own site, fall back to another site's nodes, and take a node out of
// rotation after it has died.
func TestFrontendBalancesOverReadyNodes(t *testing.T) {
	var ready [2]atomic.Bool
	firstServer, firstAddr := startNode(t, "node0", &ready[0])
	_, secondAddr := startNode(t, "node1", &ready[1])
	inRotation := make(chan int, 4)
	cl := startCluster(t, Options{Nodes: []string{firstAddr, secondAddr}, OnReady: func(node int) { inRotation <- node }})
	nodeOf := func(site int) string {
		conn, err := net.Dial("tcp4", cl.Frontend(site))
		if err != nil {
			return fmt.Sprint("nothing: ", err)
		}
		defer closeQuietly(conn)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // the read reports a closed connection
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			return fmt.Sprint("nothing: ", err)
		}
		raw, err := io.ReadAll(conn)
		if err != nil || len(raw) < 5 {
			return fmt.Sprint("nothing: ", err)
		}
		return string(raw[len(raw)-5:])
	}
	if got := nodeOf(0); !strings.HasPrefix(got, "nothing") {
		t.Errorf("a response while no node is ready: %q", got)
	}
	ready[1].Store(true)
	if node := <-inRotation; node != 1 {
		t.Fatalf("node %d is put into rotation, want node 1", node)
	}
	if east, west := nodeOf(0), nodeOf(1); east != "node1" || west != "node1" {
		t.Errorf("%q and %q, want node1 for both sites", east, west)
	}
	ready[0].Store(true)
	<-inRotation
	if east, west := nodeOf(0), nodeOf(1); east != "node0" || west != "node1" {
		t.Errorf("%q and %q, want the node of each client's site", east, west)
	}
	closeQuietly(firstServer)
	deadline := time.Now().Add(20 * time.Second)
	for nodeOf(0) != "node1" {
		if time.Now().After(deadline) {
			t.Fatal("the dead node stays in rotation")
		}
	}
}
