package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// Rules 1 and 2: a request gets exactly one answer whatever its backend does, and a request that may have run is sent
// again only if its class allows that. Only a 503 or 504 that is marked as never run, or a failed connect, proves
// that a request has not run.
func TestExactlyOneAnswerAndNoUnsafeRetry(t *testing.T) {
	neverRan := []string{"X-Never-Ran", "1"}
	for _, c := range []struct {
		name, class string
		ms          int
		first       http.HandlerFunc // handles the first request; serve handles later ones
		code, sends int
	}{
		{"served", "once", 9000, serve, 200, 1},
		{"error, idempotent", "read", 9000, respondWith(500), 200, 2},
		{"error, non-idempotent", "once", 9000, respondWith(500), 502, 1},
		{"error, other cell", "keyed", 400, respondWith(500), 502, 1},
		{"rejected", "once", 9000, respondWith(503, neverRan...), 200, 2},
		{"rejected late", "keyed", 9000, respondWith(504, neverRan...), 200, 2},
		{"unmarked 503", "once", 9000, respondWith(503), 502, 1},
		{"503 with another mark", "once", 9000, respondWith(503, "X-Never-Ran", "0"), 502, 1},
		{"marked 500", "once", 9000, respondWith(500, neverRan...), 502, 1},
		{"reset", "once", 9000, closeAfterSending(""), 502, 1},
		{"reset, idempotent", "read", 9000, closeAfterSending(""), 200, 2},
		{"ends within the body", "once", 9000, closeAfterSending("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), 502, 1},
		{"ends within a chunk", "once", 9000, closeAfterSending("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"), 502, 1},
		{"not HTTP", "once", 9000, closeAfterSending("what?\r\n\r\n"), 502, 1},
		{"body until close", "once", 9000, closeAfterSending("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody of /once"), 200, 1},
		{"body until a reset", "once", 9000, resetAfterReceipt("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody of /once"), 502, 1},
		{"garbage, left open", "once", 9000, sendGarbage("\x01\x02\x03"), 502, 1},
		{"garbage, idempotent", "read", 9000, sendGarbage("HTTP/1.1 200 OK\r\nwhat?\r\n"), 200, 2},
		{"never answers", "once", 150, neverAnswer(nil), 504, 1},
		{"never answers, rejected", "read", 150, neverAnswer(nil), 503, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sends atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if sends.Add(1) == 1 {
					_, _ = io.ReadAll(r.Body)
					c.first(w, r)
					return
				}
				serve(w, r)
			}
			a, b := targetOf("a", newTestBackend(t, handler)), targetOf("b", newTestBackend(t, handler))
			b.Cell = 1
			_, addr := startNode(t, []protocol.Target{a, b}, nil)
			conn := dialNode(t, addr)
			code, body, _ := conn.exchange(requestText(c.class, c.ms))
			if code != c.code || int(sends.Load()) != c.sends {
				t.Errorf("status %d after %d requests to backends, want %d after %d", code, sends.Load(), c.code, c.sends)
			}
			if code == 200 && body != "body of /"+c.class {
				t.Errorf("body %q", body)
			}
			if code, _, _ := conn.exchange(readyRequest); code != 200 { // a second answer to the first would be read here
				t.Errorf("next request on the connection: status %d", code)
			}
		})
	}
}

// A backend that refuses a connection has not run the request: even a non-idempotent request is sent to another
// endpoint.
func TestFailedConnectIsRetriedElsewhere(t *testing.T) {
	dead := newTestBackend(t, serve)
	live := newTestBackend(t, serve)
	targets := []protocol.Target{targetOf("dead", dead), targetOf("live", live)}
	dead.Close()
	n, addr := startNode(t, targets, nil)
	conn := dialNode(t, addr)
	for range 20 {
		if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 {
			t.Fatalf("status %d", code)
		}
		waitUntil(n, func() bool { return len(n.endpoints[2].idleConns) == 1 }) // the writer may return after the answer
	}
	if live.requestCount.Load() != 20 || live.connectionCount() != 1 {
		t.Errorf("%d requests on %d connections, want 20 on one connection", live.requestCount.Load(), live.connectionCount())
	}
}

// The method, the target, the trace ID, the idempotency key and the body of a request reach the backend unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan string, 1)
	a := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- fmt.Sprint(r.Method, " ", r.RequestURI, " ",
			r.Header.Get("X-Trace-Id"), " ", r.Header.Get("Idempotency-Key"), " ", string(b))
		w.Header().Set(protocol.LoadHeader, "TEXT util=0.5")
		serve(w, r)
	})
	_, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	req := requestText("keyed", 9000)
	if code, _, _ := dialNode(t, addr).exchange(req); code != 200 {
		t.Fatal(code)
	}
	_, id, _ := strings.Cut(req, "X-Trace-Id: ")
	id, _, _ = strings.Cut(id, "\r")
	if diff := cmp.Diff("POST /keyed?obj=1 "+id+" k1 hi", <-got); diff != "" {
		t.Error(diff)
	}
}

// A hedged request where hedging is not allowed, an attempt beyond MaxAttempts and an attempt without time left are
// not sent, whatever the balancer asks for: each has its outcome at once and reaches no backend.
func TestAttemptBeyondLimitsIsNotSent(t *testing.T) {
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("once", 9000))
	<-arrived
	checked := make(chan struct{})
	n.post(func() {
		defer close(checked)
		r := n.requests[n.lastRequestID]
		n.SendAttempt(r.id, 1, 0)
		n.settings.Balancer.AllowHedging = true
		n.SendAttempt(r.id, 1, -1)
		n.SendAttempt(r.id, 1, 0) // one attempt more than MaxAttempts
		for _, a := range r.attempts[1:] {
			if !a.isCompleted() || a.conn != nil {
				t.Errorf("attempt %d has been sent", a.number)
			}
		}
		n.SendAttempt(r.id+1, 1, 0)
		n.SendAttempt(r.id, 99, 0)
		if len(r.attempts) != 4 || len(n.requests) != 1 {
			t.Errorf("%d attempts of %d requests, want 4 of 1", len(r.attempts), len(n.requests))
		}
	})
	<-checked
	close(release)
	if code, _, _ := conn.readAnswer(); code != 200 || a.requestCount.Load() != 1 {
		t.Errorf("status %d after %d requests to the backend, want 200 after 1", code, a.requestCount.Load())
	}
}

// queuedRequest is a request that waits for the only connection to its endpoint, which carries another request.
type queuedRequest struct {
	node          *Node
	backend       *testBackend
	first, second *testClient
	arrived       <-chan struct{}
	release       chan struct{}
}

// newQueuedRequest sends the two requests and returns once the second one waits for a connection.
func newQueuedRequest(t *testing.T, change func(*Settings)) *queuedRequest {
	t.Helper()
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, a.targets(), change)
	w := &queuedRequest{n, a, dialNode(t, addr), dialNode(t, addr), arrived, release}
	_, _ = io.WriteString(w.first, requestText("once", 9000))
	<-arrived
	// New dials fail, and one counts as pending for ever.
	n.post(func() { n.endpoints[1].address, n.endpoints[1].pendingDials = "127.0.0.1:1", 1 })
	_, _ = io.WriteString(w.second, requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.endpoints[1].waitingAttempts) == 1 })
	return w
}

// releaseFirst lets the backend answer the first request. It returns once the node has processed the connection that
// this frees.
func (w *queuedRequest) releaseFirst() {
	t := w.first.t
	t.Helper()
	go func() { // receives the second request if it is sent nevertheless, so that the backend is not blocked
		select {
		case <-w.arrived:
		case <-t.Context().Done():
		}
	}()
	close(w.release)
	if code, _, _ := w.first.readAnswer(); code != 200 {
		t.Error(code)
	}
	waitUntil(w.node, func() bool {
		return len(w.node.endpoints[1].waitingAttempts) == 0 && len(w.node.endpoints[1].idleConns) == 1
	})
}

// An attempt that waits for a new connection is sent on an older one that becomes free earlier.
func TestReleasedConnectionServesWaitingAttempt(t *testing.T) {
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	first, second := dialNode(t, addr), dialNode(t, addr)
	_, _ = io.WriteString(first, requestText("once", 9000))
	<-arrived
	// The dial for the second request fails. Another dial counts as pending, so that the failure does not end the
	// attempt: only the released connection can serve it.
	n.post(func() { n.endpoints[1].address, n.endpoints[1].pendingDials = "127.0.0.1:1", 1 })
	_, _ = io.WriteString(second, requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.endpoints[1].waitingAttempts) == 1 })
	close(release)
	<-arrived
	for _, c := range []*testClient{first, second} {
		if code, _, _ := c.readAnswer(); code != 200 {
			t.Error(code)
		}
	}
	if a.connectionCount() != 1 {
		t.Errorf("%d connections, want 1", a.connectionCount())
	}
}

// No byte of a request is sent after its answer. Guards against a failure in which the balancer gave up on a request
// whose attempt waited for a connection that was established late: the answer was written, and 60 ms later the
// request was.
func TestAnsweredRequestIsNotForwarded(t *testing.T) {
	w := newQueuedRequest(t, nil)
	n, a := w.node, w.backend
	runOnLoop(n, func() { n.Fail(n.endpoints[1].waitingAttempts[0].request.id) })
	if code, _, _ := w.second.readAnswer(); code != 504 {
		t.Error(code)
	}
	w.releaseFirst()
	runOnLoop(n, func() {
		if len(n.requests) > 0 {
			t.Errorf("%d requests are not released", len(n.requests))
		}
	})
	if a.requestCount.Load() != 1 {
		t.Errorf("%d requests forwarded, want 1", a.requestCount.Load())
	}
}

// If a request is answered when only a part of it has been written, the rest is not written, so that its backend
// never starts it.
func TestRestOfAnsweredRequestIsNotForwarded(t *testing.T) {
	backend := newManualBackend(t, 2048)
	n, addr := startNode(t, backend.targets(), nil)
	caller := dialNode(t, addr)
	_, _ = io.WriteString(caller, requestText("once", 9000))
	peer, in := backend.acceptRequest()
	writeOK(peer, "ok")
	if code, _, _ := caller.readAnswer(); code != 200 {
		t.Fatal(code)
	}
	waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
	runOnLoop(n, func() {
		fd := n.endpoints[1].idleConns[0].conn.(fdConn).Fd()
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, 2048)
	})
	const size = 60_000
	go func() {
		_, _ = io.WriteString(caller, strings.Replace(requestText("once", 9000), "Content-Length: 2\r\n\r\nhi",
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)), 1))
	}()
	if _, err := in.Peek(1); err != nil { // the request is being written
		t.Fatal(err)
	}
	runOnLoop(n, func() {
		for id := range n.requests {
			n.Fail(id)
		}
	})
	if code, _, _ := caller.readAnswer(); code != 504 {
		t.Error(code)
	}
	if got, _ := io.Copy(io.Discard, in); got >= size {
		t.Errorf("the backend has read %d bytes, the whole request", got)
	}
	waitUntil(n, func() bool { return len(n.requests) == 0 && n.openDescriptors == 1 })
}

// An attempt that waited for its connection is checked again when it gets one: it is not sent to an endpoint that
// drains by then, and the request is sent to another endpoint.
func TestEndpointDrainingBeforeFirstByteGetsNothing(t *testing.T) {
	for name, state := range map[string]protocol.State{"drains": protocol.Terminating, "is removed": protocol.Terminated} {
		t.Run(name, func(t *testing.T) {
			backend, other := newManualBackend(t, 0), newTestBackend(t, serve)
			n, addr := startNode(t, backend.targets(), func(s *Settings) { s.ConnectTimeout *= 60 })
			conn := dialNode(t, addr)
			_, _ = io.WriteString(conn, requestText("read", 9000))
			first, in := backend.acceptRequest()
			writeOK(first, "one")
			conn.readAnswer()
			waitUntil(n, func() bool { return len(n.endpoints[1].idleConns) == 1 })
			runOnLoop(n, func() { // the next attempt has to wait for this connection
				n.endpoints[1].idleConns[0].lastAnswerAt = n.now() + 3_600_000_000
			})
			_, _ = io.WriteString(conn, requestText("once", 9000))
			waitUntil(n, func() bool { return len(n.endpoints[1].waitingAttempts) == 1 })
			notified := backend.targets()[0]
			notified.State = state
			n.UpdateEndpoints(protocol.List{Revision: 1, Targets: []protocol.Target{notified, targetOf("b", other)}}, false)
			waitUntil(n, func() bool { return len(n.endpoints) == 2 })
			runOnLoop(n, func() {
				for _, b := range n.endpoints[1].idleConns { // the connection is reusable now
					b.lastAnswerAt = 0
				}
				n.serveWaiting(n.endpoints[1])
			})
			if code, body, _ := conn.readAnswer(); code != 200 || body != "body of /once" {
				t.Error(code, body)
			}
			_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
			if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the backend read %q, %v, want the end of the connection", b, err)
			}
		})
	}
}

// An attempt whose first byte was delayed for too long after its check is checked again: it is sent once it is no
// longer delayed, and is not sent at all if its backend drains by then.
func TestDelayedAttemptIsRechecked(t *testing.T) {
	for name, drains := range map[string]bool{"still allowed": false, "its backend drains": true} {
		t.Run(name, func(t *testing.T) {
			backend := newTestBackend(t, serve)
			n, addr := startNode(t, backend.targets(), nil)
			conn := dialNode(t, addr)
			conn.exchange(requestText("read", 9000))
			// The next request must not need a dial.
			waitUntil(n, func() bool { return n.idleBackends.Len() == 1 && len(n.requests) == 0 })
			recorder := &outcomeRecorder{decisionModule: n.balancer}
			runOnLoop(n, func() { n.balancer, n.testWriteDelay = recorder, 2*maxWriteDelay })
			_, _ = io.WriteString(conn, requestText("once", 9000))
			waitUntil(n, func() bool { return len(n.requests) == 1 && n.requests[2].pendingAttempts == 1 })
			if !drains {
				runOnLoop(n, func() { n.testWriteDelay = 0 })
				if code, body, _ := conn.readAnswer(); code != 200 || body != "body of /once" {
					t.Errorf("%d %q", code, body)
				}
				return
			}
			targets := backend.targets()
			targets[0].State = protocol.Terminating
			n.UpdateEndpoints(protocol.List{Revision: 1, Targets: targets}, false)
			waitUntil(n, func() bool { return len(recorder.outcomes) > 0 })
			if recorder.outcomes[0] != balancer.OutcomeNotSent || backend.requestCount.Load() > 1 {
				t.Errorf("outcomes %v, %d requests at the backend", recorder.outcomes, backend.requestCount.Load())
			}
		})
	}
}

// TestStatedTimeoutCountsDelayOfEventLoop guards against a backend that is told more time than its client has left: the
// event loop was held up between the computation of the timeout and the write.
func TestStatedTimeoutCountsDelayOfEventLoop(t *testing.T) {
	const deadline, delay = 2000, 260 * time.Millisecond // the deadline is in milliseconds
	stated := make(chan int, 1)
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		timeout, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		stated <- timeout
		serve(w, r)
	})
	n, addr := startNode(t, backend.targets(), nil)
	runOnLoop(n, func() {
		n.testBeforeFirstWrite = sync.OnceFunc(func() { time.Sleep(delay) })
	})
	conn := dialNode(t, addr)
	if code, _, _ := conn.exchange(requestText("read", deadline)); code != 200 {
		t.Error(code)
	}
	if timeout := <-stated; timeout > deadline-int(delay.Milliseconds())+deadlineSlack/1000 {
		t.Errorf("the backend was told %d ms, %v after the deadline of %d ms began", timeout, delay, deadline)
	}
	runOnLoop(n, func() {
		if len(n.violations) > 0 {
			t.Errorf("counted violations %v", n.violations)
		}
	})
}

// The audit counts violations as of the first byte of an attempt, whatever has decided to start the attempt.
func TestAuditAtFirstByte(t *testing.T) {
	n, _ := startNode(t, newTestBackend(t, serve).targets(), requireListLease)
	runOnLoop(n, func() {
		now := n.now()
		ep := &endpoint{address: "h"}
		r := &request{settings: n.settings, clientConn: &clientConn{node: n}, deadline: now + 1_000_000}
		a := &attempt{request: r, endpoint: ep, deadline: r.deadline}
		valid := attemptStart{writtenAt: now, statedTimeout: 1_000_000, deadline: a.deadline, listExpiresAt: now}
		for _, c := range []struct {
			name   string
			change func(*attemptStart)
			want   safety.Reason
		}{
			{"as it should be", func(*attemptStart) {}, safety.Allowed},
			{"endpoint drains", func(*attemptStart) {
				ep.outOfServiceSince = now - n.settings.DrainGrace - auditSlack - 1
			}, safety.BackendDraining},
			{"list too old", func(f *attemptStart) { f.listExpiresAt = now - n.settings.DrainGrace - auditSlack - 1 }, safety.ListStale},
			{"client disconnected", func(*attemptStart) {
				r.clientConn.disconnectedAt.Store(now - disconnectGrace - 1)
			}, safety.ClientDisconnected},
			{"more time than is left", func(f *attemptStart) { f.statedTimeout += deadlineSlack + 1 }, safety.DeadlinePassed},
		} {
			clear(n.violations)
			ep.outOfServiceSince = 0
			r.clientConn.disconnectedAt.Store(0)
			f := valid
			c.change(&f)
			n.auditAttemptStart(a, f)
			unexpected := c.want == safety.Allowed && len(n.violations) > 0
			missing := c.want != safety.Allowed && n.violations[c.want] != 1
			if unexpected || missing {
				t.Errorf("%s: counted violations %v", c.name, n.violations)
			}
		}
		clear(n.violations)
	})
}

// What a backend sends before the first byte of a request is not its answer, and the connection is not used any more.
// Guards against a failure in which the node took such input for the answer to an attempt that was delayed between
// its check and its first byte: the client got that input, and the connection returned to the pool with
// answerComplete set, so that it was given to a second request while an earlier one still waited for its answer on
// it.
func TestInputBeforeFirstByteIsNoAnswer(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("read", 9000))
	first, in := backend.acceptRequest()
	writeOK(first, "one")
	client.readAnswer()
	// The next request must not need a dial, and is not written before the test resets testWriteDelay.
	waitUntil(n, func() bool { return n.idleBackends.Len() == 1 && len(n.requests) == 0 })
	runOnLoop(n, func() {
		n.endpoints[1].idleConns[0].lastAnswerAt = 0 // reusable at once
		n.testWriteDelay = 2 * maxWriteDelay
	})
	_, _ = io.WriteString(client, requestText("read", 9000))
	waitUntil(n, func() bool { return len(n.requests) == 1 && n.requests[2].pendingAttempts == 1 })
	writeOK(first, "not asked for")
	waitUntil(n, func() bool { // the input has been noticed
		req := n.requests[2]
		return req == nil || req.attempts[0].isCompleted()
	})
	runOnLoop(n, func() { n.testWriteDelay = 0 })
	go func() {
		second, _ := backend.acceptRequest()
		writeOK(second, "two")
	}()
	if code, body, _ := client.readAnswer(); code != 200 || body != "two" {
		t.Errorf("%d %q", code, body)
	}
	_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the backend read %q, %v, want the end of the connection", b, err)
	}
}
