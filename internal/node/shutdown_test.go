package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"tulipglade/internal/protocol"
)

// A connection whose answer is being written when a drain begins must be closed after that answer. A later request on
// it would be lost at the end of the process.
func TestDrainDuringAnAnswer(t *testing.T) {
	n, addr := startNode(t, nil, nil)
	conn := dialNode(t, addr)
	waitUntil(n, func() bool { return len(n.clients) == 1 })
	done := make(chan struct{})
	n.post(func() {
		for c := range n.clients {
			c.setIdle(false)
			c.writeAnswer(nil, 200, nil, nil, 0)
		}
		n.Drain(0, func() { close(done) })
	})
	if code, _, closing := conn.readAnswer(); code != 200 || closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	if _, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection after the answer: %v", err)
	}
	<-done
}

// During a drain the node must not be ready. It must close idle connections after a delay, until which each of them
// serves one more request, serve new connections, and answer all admitted requests.
func TestDrain(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	idle, used, busy := dialNode(t, addr), dialNode(t, addr), dialNode(t, addr)
	for _, c := range []*testClient{idle, used} {
		if code, _, _ := c.exchange(readyRequest); code != 200 {
			t.Fatalf("ready before the drain: %d", code)
		}
	}
	_, _ = io.WriteString(busy, requestText("once", 9000))
	<-arrived
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	if code, _, closing := dialNode(t, addr).exchange(readyRequest); code != 503 || !closing {
		t.Errorf("ready while draining: %d, closing %v", code, closing)
	}
	late := dialNode(t, addr)
	for _, c := range []*testClient{late, used} {
		_, _ = io.WriteString(c, requestText("once", 9000))
		<-arrived
	}
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	select {
	case <-done:
		t.Error("the drain ended with unanswered requests")
	default:
	}
	close(release)
	for _, c := range []*testClient{busy, late, used} {
		if code, _, closing := c.readAnswer(); code != 200 || !closing {
			t.Errorf("a request from before the close of idle connections: %d, closing %v", code, closing)
		}
	}
	<-done
}

// A shutdown must wait a little for the rest of an incomplete request. If the request were rejected, its client would
// have to send it again.
func TestDrainWaitsForPartialRequest(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve))}, nil)
	conn := dialNode(t, addr)
	request := requestText("once", 9000)
	_, _ = io.WriteString(conn, request[:30])
	waitUntil(n, func() bool { return n.hasIncomingRequest() })
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	advanceDrain(n, idleCloseDelay)
	if code, _, closing := conn.exchange(request[30:]); code != 200 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	<-done
}

// A shutdown must wait until clients have read their last answers, because the end of the process resets connections
// with unread data. It waits for a lingering connection until its client closes it, though not for clients that never
// read.
func TestDrainWaitsUntilLastAnswersAreRead(t *testing.T) {
	n, addr := startNode(t, newTestBackend(t, serve).targets(), nil)
	conn := dialNode(t, addr)
	conn.exchange(readyRequest)
	waitUntil(n, func() bool { return n.idleClients.Len() == 1 }) // the answer may arrive before its write is reported
	ended := make(chan struct{})
	runOnLoop(n, func() {
		n.startDraining("draining")
		n.idleClients.Front().Value.(*clientConn).closeGracefully(closeDraining)
		n.drain.answersDueBy = n.now() + 3_600_000_000
		n.drain.onDrained = func() { close(ended) }
		n.checkDrained()
		if n.drain.onDrained == nil {
			t.Error("the shutdown does not wait for a lingering connection")
		}
	})
	_ = conn.Close()
	<-ended // the client has closed the connection
	runOnLoop(n, func() {
		if n.lingeringClients.Len() > 0 {
			t.Error("the shutdown ended before the connection was closed")
		}
	})
}

// A connection on which a large request was answered before its end is closed gracefully as well. It has been
// reattached to the poller by then, which must read and discard the input that follows.
func TestEarlyAnsweredUploadIsClosedGracefully(t *testing.T) {
	body := randomBody(1, 4<<20)
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	n, addr := startNode(t, backend.targets(), nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, postRequest("Content-Length: "+strconv.Itoa(len(body))))
	_, _ = conn.Write(body[:3<<20])
	if code, _, _ := conn.readAnswer(); code != 503 {
		t.Fatal(code)
	}
	_, _ = conn.Write(body[3<<20:])
	waitUntil(n, func() bool { return n.lingeringClients.Len() == 1 || len(n.clients) == 0 })
	_, _ = io.WriteString(conn, requestText("once", 9000))
	discarded := 0
	waitUntil(n, func() bool {
		for c := range n.clients {
			discarded = c.discardedBytes
		}
		return discarded > 0 || len(n.clients) == 0
	})
	if discarded == 0 {
		t.Error("the connection was closed without lingering")
	}
	if b, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, %v, want the end of the connection", b, err)
	}
}

// Before the process ends, every client connection must be closed gracefully: one without a request so far, one with an
// incomplete request, which is rejected first, and one that is just being accepted. None may be reset, and no request that crosses the close may
// be forwarded.
func TestDrainClosesEveryConnection(t *testing.T) {
	backend := newTestBackend(t, serve)
	n, addr := startNode(t, backend.targets(), nil)
	silent, partial := dialNode(t, addr), dialNode(t, addr)
	_, _ = io.WriteString(partial, requestText("once", 9000)[:30])
	waitUntil(n, func() bool { return len(n.clients) == 2 && n.hasIncomingRequest() })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	advanceDrain(n, idleCloseDelay)
	runOnLoop(n, func() {
		for c := range n.clients { // as if they had been accepted long ago
			c.requestStartedAt -= idleCloseDelay
		}
		n.drain.partialRequestsUntil, n.drain.answersDueBy = 0, n.now()+3_600_000_000
	})
	waitUntil(n, func() bool { return n.drain.closingAll })
	runOnLoop(n, func() { n.drain.generation++ }) // periodic checks must not hide a failure
	late := dialNode(t, addr)
	if code, _, closing := partial.readAnswer(); code != http.StatusServiceUnavailable || !closing {
		t.Errorf("part of a request: status %d, closing %v", code, closing)
	}
	for name, conn := range map[string]*testClient{"without a request": silent, "part of a request": partial, "late": late} {
		if b, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("%s: read %q, %v, want the end of the connection", name, b, err)
		}
		_, _ = io.WriteString(conn, requestText("once", 9000))
	}
	waitUntil(n, func() bool {
		for c := range n.clients {
			if c.discardedBytes == 0 && n.drain.onDrained != nil {
				return false
			}
		}
		return len(n.clients) == 3 || n.drain.onDrained == nil
	})
	runOnLoop(n, func() {
		if n.openRequests > 0 || backend.requestCount.Load() > 0 || n.drain.onDrained == nil {
			t.Errorf("%d open requests, shutdown ended %v, %d connections", n.openRequests, n.drain.onDrained == nil, len(n.clients))
		}
	})
	for _, conn := range []*testClient{silent, partial, late} {
		_ = conn.Close()
	}
	<-ended
}

// A shutdown must end before the process may be killed: 0.7 s after the longest deadline of a request, which counts as
// 3 s at most.
func TestDrainEndsBeforeKillDeadline(t *testing.T) {
	for name, test := range map[string]struct{ deadline, killedAfter int64 }{
		"short deadlines": {390_000, 1_090_000},
		"long deadlines":  {10_000_000, 3_700_000},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := startNode(t, nil, func(s *Settings) {
				for i := range s.Balancer.Classes {
					s.Balancer.Classes[i].Deadline, s.Balancer.Classes[i].LatencyObjective = test.deadline, test.deadline
				}
			})
			ended := make(chan struct{})
			n.Drain(0, func() { close(ended) })
			runOnLoop(n, func() {
				dueAfter := n.drain.answersDueBy - n.drain.stopRequestedAt
				partialWait := n.drain.partialRequestsUntil - n.drain.stopRequestedAt
				if dueAfter != test.killedAfter-finalAnswerMargin || partialWait > test.killedAfter-partialRequestMargin {
					t.Errorf("the shutdown ends after %d us at the latest, waits %d us for incomplete requests", dueAfter, partialWait)
				}
			})
			<-ended
		})
	}
}

// A request that arrives late in a shutdown, on a connection that stayed open, must be answered before the process can
// be killed, whatever its deadline. Only a request of the first 0.7 s may be cut off.
func TestRequestLateInDrainIsAnsweredInTime(t *testing.T) {
	for name, arrivesAfter := range map[string]int64{"late": killGrace, "in time": 0} {
		t.Run(name, func(t *testing.T) {
			backend := newManualBackend(t, 0)
			n, addr := startNode(t, backend.targets(), nil)
			conn := dialNode(t, addr)
			request := requestText("read", 9000)
			_, _ = io.WriteString(conn, request[:30])
			waitUntil(n, func() bool { return n.hasIncomingRequest() })
			ended := make(chan struct{})
			n.Drain(0, func() { close(ended) })
			runOnLoop(n, func() { n.drain.stopRequestedAt, n.drain.answersDueBy = n.now()-arrivesAfter, n.now()+2_000_000 })
			_, _ = io.WriteString(conn, request[30:])
			accepted, _ := backend.acceptRequest()
			runOnLoop(n, func() {
				for _, req := range n.requests {
					if capped := req.deadline == n.drain.answersDueBy; capped != (arrivesAfter > 0) {
						t.Errorf("the deadline is %d us after the end of the shutdown", req.deadline-n.drain.answersDueBy)
					}
				}
			})
			if arrivesAfter == 0 {
				writeOK(accepted, "served")
			} // else the backend never answers
			if code, _, closing := conn.readAnswer(); (code == 200) != (arrivesAfter == 0) || !closing {
				t.Errorf("%d, closing %v", code, closing)
			}
			<-ended
		})
	}
}

// Endpoint lists and settings that arrive during a shutdown must be applied. A request that was queued for lack of
// endpoints is sent to an endpoint of the new list, under the settings with which it was admitted.
func TestDrainAppliesUpdates(t *testing.T) {
	backend := newTestBackend(t, serve)
	n, addr := startNode(t, nil, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.requests) == 1 })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	// The class of the queued request is removed.
	reconfigureNode(n, func(s *Settings) { s.Classes, s.Balancer.Classes = s.Classes[:1], s.Balancer.Classes[:1] })
	n.UpdateEndpoints(protocol.List{Revision: 1, Full: true, Targets: backend.targets()}, false)
	if code, body, closing := conn.readAnswer(); code != 200 || body != "body of /once" || !closing {
		t.Errorf("%d %q, closing %v", code, body, closing)
	}
	<-ended
}

// A shutdown must wait for a connection that was just accepted, on which a request is expected. If the node closed it
// at that moment, the request would not be read.
func TestDrainWaitsForNewConnection(t *testing.T) {
	n, addr := startNode(t, newTestBackend(t, serve).targets(), nil)
	conn := dialNode(t, addr)
	waitUntil(n, func() bool {
		for c := range n.clients {
			c.requestStartedAt = n.now() + 3_600_000_000 // it stays a new connection
		}
		return len(n.clients) == 1
	})
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	advanceDrain(n, idleCloseDelay)
	waitUntil(n, func() bool { return n.drain.onDrained != nil })
	runOnLoop(n, func() {
		if n.checkDrained(); n.drain.closingAll {
			t.Error("the shutdown does not wait for the new connection")
		}
	})
	if code, _, closing := conn.exchange(requestText("read", 9000)); code != 200 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	<-ended
}

// If a client connects while a shutdown ends, and its request arrives before the node can close the connection, the
// request must be rejected. If it were dropped, it would be lost.
func TestRequestAtEndOfDrainIsRejected(t *testing.T) {
	n, addr := startNode(t, newTestBackend(t, serve).targets(), nil)
	ended := make(chan struct{})
	var conn *testClient
	requestSent := false
	runOnLoop(n, func() { // keeps the event loop busy while the client connects and sends its request
		n.startDraining("draining")
		n.drain.stopping, n.drain.closingAll = true, true
		n.drain.onDrained, n.drain.answersDueBy = func() { close(ended) }, n.now()+3_600_000_000
		conn = dialNode(t, addr)
		_, _ = io.WriteString(conn, requestText("once", 9000))
		raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		for unsent := 1; unsent > 0; { // wait until the kernel on the node's side has received the request
			_ = raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		}
		requestSent = true
	})
	if code, _, closing := conn.readAnswer(); !requestSent || code != 503 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	_ = conn.Close()
	<-ended
}

// A shutdown must wait for the rest of a large request that was answered early. If its connection were closed during
// the upload, the answer could be lost in a reset.
func TestDrainWaitsForEarlyAnsweredUpload(t *testing.T) {
	body := randomBody(1, 4<<20)
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	n, addr := startNode(t, backend.targets(), nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, postRequest("Content-Length: "+strconv.Itoa(len(body))))
	_, _ = conn.Write(body[:3<<20])
	if code, _, _ := conn.readAnswer(); code != 503 {
		t.Fatal(code)
	}
	waitUntil(n, func() bool { return n.openRequests == 0 && n.answersInProgress == 0 })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	advanceDrain(n, idleCloseDelay)
	waitUntil(n, func() bool { return n.drain.onDrained != nil })
	runOnLoop(n, func() {
		if n.checkDrained(); n.drain.closingAll {
			t.Error("the shutdown does not wait for the upload")
		}
		n.drain.partialRequestsUntil = 0 // ends the wait; a connection with a forwarder must still not be closed
		n.checkDrained()
		for c := range n.clients {
			if c.state == clientLingering {
				t.Error("the connection was closed while its request is being uploaded")
			}
		}
	})
	<-ended
}

// A client that is still writing its request when a shutdown waits for it no longer gets an answer. Guards against a
// failure in which its connection was ended in the middle of the request, so that it read the end and no answer.
func TestUnfinishedRequestIsRejectedAtEndOfShutdown(t *testing.T) {
	n, addr := startNode(t, newTestBackend(t, serve).targets(), nil)
	client := dialNode(t, addr)
	request := requestText("once", 9000)
	_, _ = io.WriteString(client, request[:len(request)/2])
	waitUntil(n, func() bool { return len(n.clients) == 1 && n.hasIncomingRequest() })
	drained := make(chan struct{})
	n.Drain(0, func() { close(drained) })
	if code, _, closing := client.readAnswer(); code != http.StatusServiceUnavailable || !closing {
		t.Errorf("status %d, closing %v", code, closing)
	}
	_ = client.Close()
	<-drained
}
