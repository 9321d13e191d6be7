package node

import (
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// Guards against this: a request that followed within milliseconds was given the second answer of a backend that
// answers twice, as a connection was spared only while another would do.
func TestDuplicateAnswerIsDiscarded(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), func(s *Settings) {
		s.ConnectTimeout *= 60 // a timeout and a retry must not hide the failure
	})
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("read", 9000))
	first, _ := backend.acceptRequest()
	writeOK(first, "one")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "one" {
		t.Fatal(code, body)
	}
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	runOnLoop(n, func() {
		n.endpoints[1].duplicatesExpectedUntil = noDeadline       // it has sent duplicates before
		n.endpoints[1].idleConns[0].lastAnswerAt += 3_600_000_000 // not reusable for as long as this test takes
	})
	_, _ = io.WriteString(conn, requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.requests) == 1 })
	writeOK(first, "one again")
	second, _ := backend.acceptRequest()
	writeOK(second, "two")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "two" {
		t.Error(code, body)
	}
	runOnLoop(n, func() { n.endpoints[1].duplicatesExpectedUntil = 0 })
	writeOK(second, "two again")
	waitUntil(n, func() bool { return n.endpoints[1].duplicatesExpectedUntil > n.now() }) // the duplicate has been noticed
	runOnLoop(n, func() { n.endpoints[1].duplicatesExpectedUntil = 0 })
	_, _ = io.WriteString(conn, requestText("read", 9000))
	third, _ := backend.acceptRequest()
	_, _ = io.WriteString(third, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthreeHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "three" {
		t.Error(code, body)
	}
	waitUntil(n, func() bool { return n.endpoints[1].duplicatesExpectedUntil > n.now() }) // two answers in one read are noticed too
}

// Input that a backend sends without a request is not taken for the answer to the next one, also while it is on its
// way from the poller and the request is on the connection before the event loop has processed those bytes.
func TestUnsolicitedAnswerIsDiscarded(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("read", 9000))
	first, _ := backend.acceptRequest()
	writeOK(first, "one")
	conn.readAnswer()
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	busy, free := make(chan struct{}), make(chan struct{})
	n.post(func() { close(busy); <-free })
	<-busy
	_, _ = io.WriteString(conn, requestText("once", 9000))
	waitForPosted(n, 1) // the request is posted before the backend's bytes
	writeOK(first, "one again")
	waitForPosted(n, 2)
	close(free)
	second, _ := backend.acceptRequest()
	writeOK(second, "two")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "two" {
		t.Error(code, body)
	}
}

// A connection that the backend has just closed gets no request, even if the poller has not noticed yet; and one that
// has just been answered is spared while others will do. A request that crosses the close may have run, and a
// non-idempotent one could not be retried.
func TestClosingConnectionIsNotUsed(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("read", 9000))
	peer, _ := backend.acceptRequest()
	writeOK(peer, "")
	conn.readAnswer()
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that the poller does not run meanwhile
	runOnLoop(n, func() {
		b := n.endpoints[1].idleConns[0]
		if !b.isOpenWithoutInput() {
			t.Error("an open connection is not drained")
		}
		now := n.now()
		long := &backendConn{idleSince: now - 3*reuseDelay}
		short := &backendConn{idleSince: now - 2*reuseDelay}
		fresh := &backendConn{idleSince: now + reuseDelay}
		ep := &endpoint{}
		for _, one := range []*backendConn{long, short, fresh} {
			since := one.idleSince
			one.conn, one.node, one.endpoint, one.lastAnswerAt = b.conn, n, ep, one.idleSince
			ep.duplicatesExpectedUntil = noDeadline
			n.setIdle(one, true)
			one.idleSince = since
		}
		if n.takeIdleConn(ep) != short || n.takeIdleConn(ep) != long || n.takeIdleConn(ep) != nil {
			t.Error("the wrong connection is used")
		}
		ep.waitingAttempts = []*attempt{{isHealthCheck: true, endpoint: ep, request: &request{}}}
		timers := len(n.timers)
		if n.serveWaiting(ep); len(n.timers) != timers+1 || len(ep.waitingAttempts) != 1 {
			t.Error("no timer is set for the time when a connection becomes reusable")
		}
		ep.waitingAttempts = nil
		if fresh.lastAnswerAt, fresh.idleSince = 0, now; n.takeIdleConn(ep) != fresh {
			t.Error("a new connection is not reusable")
		}
		_ = peer.Close()
		if b.isOpenWithoutInput() {
			t.Error("a closed connection counts as open")
		}
	})
}

// Backends that close idle connections sooner than configured cost one request each, until the node has learned the
// limit; connections that break now and then, however short they were idle, teach nothing.
func TestShorterIdleTimeoutIsLearned(t *testing.T) {
	a := newTestBackend(t, serve)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	conn := dialNode(t, addr)
	conn.exchange(requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	runOnLoop(n, func() {
		for i := range 200 {
			n.recordIdleOutcome(50_000, i%10 == 9)
			n.recordIdleOutcome(2*reuseDelay, i%10 == 9)
		}
		if n.idleLimit() != n.settings.Keepalive/2 {
			t.Errorf("limit %d after a single break", n.idleLimit())
		}
		for range minIdleSamples {
			n.recordIdleOutcome(150_000, true)
		}
		if got := n.idleLimit(); got > 150_000 || got < 100_000 {
			t.Errorf("limit %d, after breaks at 150000", got)
		}
		n.endpoints[1].idleConns[0].idleSince -= 200_000
	})
	if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 || a.connectionCount() != 2 {
		t.Errorf("%d on %d connections, want a new one", code, a.connectionCount())
	}
	runOnLoop(n, func() {
		if n.learnedIdleLimitUntil -= observationLifetime; n.idleLimit() != n.settings.Keepalive/2 {
			t.Error("never used again")
		}
	})
}

// A backend sends input as its connection comes up, before the event loop has processed the dial: the connection
// closes, and its descriptor is counted back once. Counted back twice, the node would believe that it holds fewer
// than it does, until the system gives it no more.
func TestBackendThatSendsFirst(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	b := &backendConn{node: n}
	runOnLoop(n, func() { // as dial does
		b.endpoint, b.incarnation = n.endpoints[1], n.endpoints[1].incarnation
		b.endpoint.pendingDials++
		n.openDescriptors++
	})
	conn, err := netpoll.DialConnection("tcp", backend.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.attach(conn); err != nil {
		t.Fatal(err)
	}
	peer, err := backend.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	_, _ = io.WriteString(peer, "HTTP/1.1 2")
	waitUntil(n, func() bool { return b.state == backendClosed })
	runOnLoop(n, func() {
		if n.dialFinished(b, nil); n.openDescriptors != 0 || b.endpoint.pendingDials != 0 {
			t.Errorf("%d descriptors, %d pending dials", n.openDescriptors, b.endpoint.pendingDials)
		}
	})
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("read", 9000))
	next, _ := backend.acceptRequest()
	writeOK(next, "served")
	if code, body, _ := client.readAnswer(); code != 200 || body != "served" {
		t.Errorf("the next request: %d %q", code, body)
	}
}
