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

// Pipelined requests are answered one by one and in order. A request that waits for 100 Continue is answered after its
// body has been sent.
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
		t.Errorf("before the body: status %d", code)
	}
	if code, _, _ := conn.exchange(body); code != 200 {
		t.Errorf("after the body: status %d", code)
	}
}

// A connection is not idle while it has a request that the poller has read and the event loop has not processed. If it
// were closed as idle, the request would be lost and its client would get no answer.
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
			t.Error("a connection with an unprocessed request counts as idle")
		}
	})
	<-busy
	if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 {
		t.Error(code)
	}
}

// The deadline of a pipelined request counts from the time at which its own last byte was received, not from the end of
// the previous answer. Two requests that are completed by the same piece of input have the same deadline, and requests
// completed by a later piece have a later one.
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
	// The first piece ends within the third request.
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
			t.Fatalf("request %d: status %d", k, code)
		}
	}
	if deadlines[1] != deadlines[0] || deadlines[2] != deadlines[3] ||
		deadlines[2] < deadlines[1]+arrivalMergeInterval || deadlines[3] > receivedBy[2]+9_000_000 {
		t.Errorf("deadlines %v; the two pieces were received by %d and %d", deadlines, receivedBy[0], receivedBy[2])
	}
}

// A connection that closes after its answer is first shut down for writing only. If it were closed at once, input that
// the client sends meanwhile would reset it, and the part of the answer that the client has not read would be lost.
func TestLastAnswerSurvivesLaterInput(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	client := dialWithSmallBuffer(t, addr)
	_, _ = io.WriteString(client, strings.Replace(requestText("read", 9000), "\r\n", "\r\nConnection: close\r\n", 1))
	peer, _ := backend.acceptRequest()
	writeOK(peer, body)
	// Wait until the last byte of the answer has been written.
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
		t.Errorf("read %d bytes, %v", len(got), err)
	}
}

// A request that the client sends while the node closes the connection is not forwarded, whatever the reason for the
// close. The client sees the end of the connection without an answer, and can safely retry elsewhere.
func TestRequestCrossingCloseIsNotForwarded(t *testing.T) {
	for name, closeConn := range map[string]func(*Node, *clientConn){
		"shutdown":          func(n *Node, _ *clientConn) { n.closeIdleClients() },
		"idle for too long": func(n *Node, c *clientConn) { c.idleSince = n.now() - maxClientIdleTime; n.closeStalledClients() },
		"too many idle": func(n *Node, c *clientConn) {
			// Adds connections up to one more than may be idle, each used later than the one before.
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
					t.Error("the connection is not lingering")
				}
			})
			_, _ = io.WriteString(conn, requestText("once", 9000))
			waitUntil(n, func() bool { return closing.discardedBytes > 0 || closing.state == clientClosed || n.openRequests > 0 })
			runOnLoop(n, func() {
				if n.openRequests > 0 || len(n.requests) > 0 {
					t.Error("the request was admitted")
				}
			})
			if b, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v, want the end of the connection", b, err)
			}
			if k := backend.requestCount.Load(); k != 1 {
				t.Errorf("%d requests at the backend, want only the first", k)
			}
		})
	}
}

// A write that fails because the client has disconnected is logged as closed by the peer and not as a failed write,
// which would be a warning. The soak test reported `client connection closed within a request reason="write failed"`
// for a large request that had been answered early and whose client had disconnected before the write.
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
