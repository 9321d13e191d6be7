package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// Pipelined requests are answered one by one and in order; so is one that waits for 100 Continue.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	backend := newTestBackend(t, serve)
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("once", 9000)+requestText("read", 9000)+readyRequest)
	for _, want := range []string{"body of /once", "body of /read", "ready\n"} {
		if _, body, _ := conn.readAnswer(); body != want {
			t.Errorf("%q, want %q", body, want)
		}
	}
	head, body, _ := strings.Cut(strings.Replace(requestText("once", 9000), "\r\n", "\r\nExpect: 100-continue\r\n", 1), "\r\n\r\n")
	if code, _, _ := conn.exchange(head + "\r\n\r\n"); code != 100 {
		t.Errorf("before the body: %d", code)
	}
	if code, _, _ := conn.exchange(body); code != 200 {
		t.Errorf("after the body: %d", code)
	}
}

// A request that was read and not yet processed by the event loop is not lost when idle connections close: its client
// would wait for an answer on a connection that the node has closed.
func TestConnectionWithUnprocessedRequestIsNotIdle(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve))}, nil)
	conn := dialNode(t, addr)
	conn.exchange(readyRequest)
	busy := make(chan struct{})
	n.post(func() {
		close(busy)
		for c := range n.clients {
			for c.unreadInput() == 0 {
				runtime.Gosched()
			}
		}
		n.closeIdleClients()
		if n.oldestIdleClient(&n.idleClients, 0) != nil {
			t.Error("a connection with a request on it counts as idle")
		}
	})
	<-busy
	if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 {
		t.Error(code)
	}
}

// A request that was queued behind another has waited since its own last byte came, not since the previous answer:
// the time stated to its backend and its deadline count from there. One that came later has longer.
func TestDeadlineCountsFromLastByte(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		serve(w, r)
	})
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	var receivedBy, deadlines [4]int64
	waitBeyondMergeInterval := func(since int64) { waitUntil(n, func() bool { return n.now() > since+2*arrivalMergeInterval }) }
	recordDeadline := func(k int) {
		for _, r := range n.requests {
			if !r.isDone() {
				deadlines[k] = r.deadline
			}
		}
	}
	// The third is incomplete.
	_, _ = io.WriteString(client, requestText("once", 9000)+requestText("read", 9000)+requestText("once", 9000)[:40])
	<-arrived
	runOnLoop(n, func() { receivedBy[0] = n.now(); recordDeadline(0) })
	waitBeyondMergeInterval(receivedBy[0])
	rest := requestText("once", 9000)
	_, _ = io.WriteString(client, rest[40:]+requestText("read", 9000))
	waitUntil(n, func() bool {
		for c := range n.clients {
			return len(c.arrivals) == 2
		}
		return false
	})
	runOnLoop(n, func() { receivedBy[2] = n.now() })
	waitBeyondMergeInterval(receivedBy[2])
	for k := range deadlines {
		if k > 0 {
			<-arrived
			runOnLoop(n, func() { recordDeadline(k) })
		}
		release <- struct{}{}
		if code, _, _ := client.readAnswer(); code != 200 {
			t.Fatalf("request %d: %d", k, code)
		}
	}
	if deadlines[1] != deadlines[0] || deadlines[2] != deadlines[3] ||
		deadlines[2] < deadlines[1]+arrivalMergeInterval || deadlines[3] > receivedBy[2]+9_000_000 {
		t.Errorf("deadlines %v, two pieces came by %d and %d", deadlines, receivedBy[0], receivedBy[2])
	}
}

// A connection that closes behind its answer is shut down for writing first: what its client sends meanwhile must not
// reset it, as the rest of the answer would be lost.
func TestLastAnswerSurvivesLaterInput(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	client := dialWithSmallBuffer(t, addr)
	_, _ = io.WriteString(client, strings.Replace(requestText("read", 9000), "\r\n", "\r\nConnection: close\r\n", 1))
	peer, _ := backend.acceptRequest()
	writeOK(peer, body)
	// The answer's last byte has reached the kernel.
	waitUntil(n, func() bool { return n.lingeringClients.Len() == 1 || len(n.clients) == 0 })
	_, _ = io.WriteString(client, requestText("read", 9000))
	waitUntil(n, func() bool {
		for c := range n.clients {
			return c.discardedBytes > 0
		}
		return true
	})
	got, err := io.ReadAll(client)
	if err != nil || !strings.HasSuffix(string(got), body) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// A request that crosses the close of its connection is not forwarded, whatever caused the close, and its client sees
// the end without an answer and can retry elsewhere.
func TestRequestCrossingCloseIsNotForwarded(t *testing.T) {
	for name, closeConn := range map[string]func(*Node, *clientConn){
		"shutdown":          func(n *Node, _ *clientConn) { n.closeIdleClients() },
		"idle for too long": func(n *Node, c *clientConn) { c.idleSince = n.now() - maxClientIdleTime; n.closeStalledClients() },
		"too many idle": func(n *Node, c *clientConn) {
			// One more than may be idle, each used later than the one before.
			for k := range (reservedDescriptors + minServingDescriptors) / idleClientLimitDivisor {
				other := &clientConn{node: n, hasSentRequest: true}
				other.conn, other.idleSince = c.conn, n.now()+int64(k)
				n.clients[other] = struct{}{}
				n.openDescriptors++
				other.setIdle(true)
				defer func() { other.setIdle(false); delete(n.clients, other); n.openDescriptors-- }()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newTestBackend(t, serve)
			n, addr := startNode(t, backend.targets(), func(s *Settings) { s.MaxDescriptors = reservedDescriptors + minServingDescriptors })
			conn := dialNode(t, addr)
			if code, _, _ := conn.exchange(requestText("read", 9000)); code != 200 {
				t.Fatal(code)
			}
			waitUntil(n, func() bool { return n.idleClients.Len() == 1 })
			var closing *clientConn
			runOnLoop(n, func() {
				closing = n.idleClients.Front().Value.(*clientConn)
				closeConn(n, closing)
				if closing.state != clientLingering {
					t.Error("not lingering")
				}
			})
			_, _ = io.WriteString(conn, requestText("once", 9000))
			waitUntil(n, func() bool { return closing.discardedBytes > 0 || closing.state == clientClosed || n.openRequests > 0 })
			runOnLoop(n, func() {
				if n.openRequests > 0 || len(n.requests) > 0 {
					t.Error("admitted")
				}
			})
			if b, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v, want the end", b, err)
			}
			if k := backend.requestCount.Load(); k != 1 {
				t.Errorf("%d requests at the backend, want the first alone", k)
			}
		})
	}
}

// A write that fails because the client has gone is the client's end of the connection, and no warning. The soak reported
// `client connection closed within a request reason="write failed"` for a large request that was answered early and whose
// client had disconnected by then.
func TestWriteFailureAfterClientLeftIsItsClose(t *testing.T) {
	for err, want := range map[error]closeReason{
		&os.PathError{Op: "write", Path: "connection", Err: syscall.EPIPE}: closePeerEnded,
		netpoll.Exception(syscall.ECONNRESET, "when flush"):                closePeerEnded,
		netpoll.Exception(netpoll.ErrConnClosed, "when flush"):             closePeerEnded,
		netpoll.Exception(netpoll.ErrWriteTimeout, "client"):               closeWriteFailed,
		&os.PathError{Op: "write", Path: "c", Err: os.ErrDeadlineExceeded}: closeWriteFailed,
	} {
		if reason := writeFailureReason(err); reason != want {
			t.Errorf("%v: %q, want %q", err, reason, want)
		}
	}
}
