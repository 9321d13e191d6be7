package node

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// A duplicate answer is not passed on as the answer to the next request. Guards against a failure in which a request
// that followed within milliseconds got the second answer of a backend that answers twice: connections were spared only
// while another was available, or after a duplicate from the same backend had been noticed.
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
	writeOK(second, "two again")
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 0 }) // the duplicate has been noticed
	_, _ = io.WriteString(conn, requestText("read", 9000))
	third, _ := backend.acceptRequest()
	_, _ = io.WriteString(third, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthreeHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "three" {
		t.Error(code, body)
	}
	waitUntil(n, func() bool { return n.endpoints[1].pendingDials == 0 && n.openDescriptors == 1 }) // also a duplicate in the same read
}

// Input that a backend sends without a request is not taken for the answer to the next request. That holds also if it
// is in transit from the poller to the event loop when that request is assigned to the connection.
func TestUnsolicitedAnswerIsDiscarded(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("read", 9000))
	first, _ := backend.acceptRequest()
	writeOK(first, "one")
	conn.readAnswer()
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	blocked, resume := make(chan struct{}), make(chan struct{})
	n.post(func() { close(blocked); <-resume })
	<-blocked
	_, _ = io.WriteString(conn, requestText("once", 9000))
	waitForPosted(n, 1) // the request is posted before the input from the backend
	writeOK(first, "one again")
	waitForPosted(n, 2)
	close(resume)
	second, _ := backend.acceptRequest()
	writeOK(second, "two")
	if code, body, _ := conn.readAnswer(); code != 200 || body != "two" {
		t.Error(code, body)
	}
}

// A connection that the backend has just closed gets no request, even if the poller has not noticed that yet; and one
// that has just been answered on is spared while another is available. A request that crosses the close may have run,
// and a non-idempotent one could not be retried.
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
			t.Error("an open connection without input is not recognized as such")
		}
		now := n.now()
		long := &backendConn{idleSince: now - 3*reuseDelay}
		short := &backendConn{idleSince: now - 2*reuseDelay}
		fresh := &backendConn{idleSince: now + reuseDelay}
		ep := &endpoint{}
		for _, one := range []*backendConn{long, short, fresh} {
			since := one.idleSince
			one.conn, one.node, one.endpoint, one.lastAnswerAt = b.conn, n, ep, one.idleSince
			n.setIdle(one, true)
			one.idleSince = since
		}
		if n.takeIdleConn(ep) != short || n.takeIdleConn(ep) != long || n.takeIdleConn(ep) != nil {
			t.Error("idle connections are not taken in the expected order")
		}
		ep.waitingAttempts = []*attempt{{isHealthCheck: true, endpoint: ep, request: &request{}}}
		timers := len(n.timers)
		if n.serveWaiting(ep); len(n.timers) != timers+1 || len(ep.waitingAttempts) != 1 {
			t.Error("no timer is set for the time at which a connection becomes reusable")
		}
		ep.waitingAttempts = nil
		if fresh.lastAnswerAt, fresh.idleSince = 0, now; n.takeIdleConn(ep) != fresh {
			t.Error("a new connection is not reusable")
		}
		_ = peer.Close()
		if b.isOpenWithoutInput() {
			t.Error("a connection that the backend has closed counts as open")
		}
	})
}

// Backends that close idle connections sooner than configured cost one failed request each, until the node has
// learned the shorter limit. Connections that break now and then, however short they were idle, do not change the
// limit.
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
			t.Errorf("limit %d although only one in ten attempts failed", n.idleLimit())
		}
		for range minIdleSamples {
			n.recordIdleOutcome(150_000, true)
		}
		if got := n.idleLimit(); got > 150_000 || got < 100_000 {
			t.Errorf("limit %d after failures at an idle time of 150000, want 100000 to 150000", got)
		}
		n.endpoints[1].idleConns[0].idleSince -= 200_000
	})
	if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 || a.connectionCount() != 2 {
		t.Errorf("status %d on %d connections, want 200 on 2 connections", code, a.connectionCount())
	}
	runOnLoop(n, func() {
		if n.learnedIdleLimitUntil -= observationLifetime; n.idleLimit() != n.settings.Keepalive/2 {
			t.Error("the learned limit does not expire")
		}
	})
}

// A backend sends input as soon as its connection is established, before the event loop has processed the dial: the
// connection is closed, and its descriptor is released once in the node's count. Guards against a count that is too
// low because of a second release: the node would open connections until the system gives it no more descriptors.
func TestBackendThatSendsFirst(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	b := &backendConn{node: n}
	runOnLoop(n, func() { // does what dial does
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
			t.Errorf("%d descriptors, %d pending dials, want none", n.openDescriptors, b.endpoint.pendingDials)
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

// A connection is spared after every answer, also after one that was too large to be buffered and after that of a
// health check. Guards against a failure in which only complete answers to requests counted.
func TestConnectionIsSparedAfterEachKindOfAnswer(t *testing.T) {
	large := strings.Repeat("x", 3*protocol.MaxBody)
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.WriteString(w, large)
		}
	})
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, allowHealthChecks)
	m := recordModule(n)
	checkSpared := func(answer string) {
		t.Helper()
		waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
		runOnLoop(n, func() {
			if conn := n.endpoints[1].idleConns[0]; !conn.mayReceiveDuplicate(conn.idleSince) {
				t.Errorf("the connection is not spared after %s", answer)
			}
			n.endpoints[1].idleConns[0].lastAnswerAt = 0
		})
	}
	if code, body, _ := dialNode(t, addr).exchange(requestText("read", 9000)); code != 200 || body != large {
		t.Fatal(code, len(body))
	}
	checkSpared("a large answer")
	runOnLoop(n, func() { n.CheckHealth(1) })
	receiveNext(t, m.healthChecks)
	checkSpared("the answer to a health check")
}
