package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// Rules 1 and 2: exactly one answer whatever a backend does, and nothing that may have run is sent again unless its
// class allows it. Only a 503 or 504 marked as never run, or a failed connect, proves that.
func TestExactlyOneAnswerAndNoUnsafeRetry(t *testing.T) {
	never := []string{"X-Never-Ran", "1"}
	for _, c := range []struct {
		name, class string
		ms          int
		first       http.HandlerFunc // handles the first request; later ones are served
		code, sends int
	}{
		{"served", "once", 9000, serve, 200, 1},
		{"error, idempotent", "read", 9000, respondWith(500), 200, 2},
		{"error, non-idempotent", "once", 9000, respondWith(500), 502, 1},
		{"error, other cell", "keyed", 400, respondWith(500), 502, 1},
		{"rejected", "once", 9000, respondWith(503, never...), 200, 2},
		{"rejected late", "keyed", 9000, respondWith(504, never...), 200, 2},
		{"unmarked 503", "once", 9000, respondWith(503), 502, 1},
		{"503 with another mark", "once", 9000, respondWith(503, "X-Never-Ran", "0"), 502, 1},
		{"marked 500", "once", 9000, respondWith(500, never...), 502, 1},
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
				t.Errorf("status %d after %d sends, want %d after %d", code, sends.Load(), c.code, c.sends)
			}
			if code == 200 && body != "body of /"+c.class {
				t.Errorf("body %q", body)
			}
			if code, _, _ := conn.exchange(readyRequest); code != 200 { // a second answer would be read here instead
				t.Errorf("next on the connection: %d", code)
			}
		})
	}
}

// A backend that refuses connections has never run anything: even a non-idempotent request is sent elsewhere.
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
		waitUntil(n, func() bool { return len(n.endpoints[2].idleConns) == 1 }) // the answer may come before the writer has returned
	}
	if live.requestCount.Load() != 20 || live.connectionCount() != 1 {
		t.Errorf("%d requests on %d connections, want 20 on one that is reused", live.requestCount.Load(), live.connectionCount())
	}
}

// What is forwarded unchanged, and what is not forwarded at all.
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

// No hedged request, no attempt beyond the limit and none without time is sent, whoever asks for it: it has its
// outcome at once and reaches no backend.
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
		n.SendAttempt(r.id, 1, 0) // one more than MaxAttempts
		for _, a := range r.attempts[1:] {
			if !a.isCompleted() || a.conn != nil {
				t.Errorf("attempt %d was sent", a.number)
			}
		}
		n.SendAttempt(r.id+1, 1, 0)
		n.SendAttempt(r.id, 99, 0)
		if len(r.attempts) != 4 || len(n.requests) != 1 {
			t.Errorf("%d attempts of %d requests", len(r.attempts), len(n.requests))
		}
	})
	<-checked
	close(release)
	if code, _, _ := conn.readAnswer(); code != 200 || a.requestCount.Load() != 1 {
		t.Errorf("status %d after %d sends", code, a.requestCount.Load())
	}
}

// queuedRequest is a request that waits for the only connection to its endpoint, which carries another.
type queuedRequest struct {
	node          *Node
	backend       *testBackend
	first, second *testClient
	arrived       <-chan struct{}
	release       chan struct{}
}

func newQueuedRequest(t *testing.T, change func(*Settings)) *queuedRequest {
	t.Helper()
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, a.targets(), change)
	w := &queuedRequest{n, a, dialNode(t, addr), dialNode(t, addr), arrived, release}
	_, _ = io.WriteString(w.first, requestText("once", 9000))
	<-arrived
	n.post(func() { n.endpoints[1].address, n.endpoints[1].pendingDials = "127.0.0.1:1", 1 }) // a pending dial that never ends
	_, _ = io.WriteString(w.second, requestText("once", 9000))
	waitUntil(n, func() bool { return len(n.endpoints[1].waitingAttempts) == 1 })
	return w
}

// releaseFirst lets the first request be answered, and returns once the node has processed the connection that this
// releases.
func (w *queuedRequest) releaseFirst() {
	t := w.first.t
	t.Helper()
	go func() { // in case the second request is sent nevertheless
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

// An attempt that waits for a new connection takes one that is released before, and the new one is pooled.
func TestReleasedConnectionServesWaitingAttempt(t *testing.T) {
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	first, second := dialNode(t, addr), dialNode(t, addr)
	_, _ = io.WriteString(first, requestText("once", 9000))
	<-arrived
	// The dial fails, and its failure is attributed to another that is still pending: only the released connection
	// can serve.
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
		t.Errorf("%d connections", a.connectionCount())
	}
}

// Nothing of a request is sent after its answer. Guards against this: the balancer gave up on a request whose attempt
// waited for a connection that came up late; the answer was written, and 60 ms later the request was.
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
			t.Errorf("%d requests left", len(n.requests))
		}
	})
	if a.requestCount.Load() != 1 {
		t.Errorf("%d requests forwarded", a.requestCount.Load())
	}
}

// If a part of an answered request has been written, the rest is not, so that its backend never starts it.
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
	if _, err := in.Peek(1); err != nil { // it is being written
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
		t.Errorf("%d bytes came, all of the request", got)
	}
	waitUntil(n, func() bool { return len(n.requests) == 0 && n.openDescriptors == 1 })
}

// An attempt that waits for its connection is checked again when that comes up: nothing is sent to an endpoint that
// drains by then, and the request goes elsewhere.
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
			runOnLoop(n, func() { // the next attempt waits for this connection
				n.endpoints[1].duplicatesExpectedUntil = noDeadline
				n.endpoints[1].idleConns[0].lastAnswerAt = n.now() + 3_600_000_000
			})
			_, _ = io.WriteString(conn, requestText("once", 9000))
			waitUntil(n, func() bool { return len(n.endpoints[1].waitingAttempts) == 1 })
			notified := backend.targets()[0]
			notified.State = state
			n.UpdateEndpoints(protocol.List{Revision: 1, Targets: []protocol.Target{notified, targetOf("b", other)}}, false)
			waitUntil(n, func() bool { return len(n.endpoints) == 2 })
			runOnLoop(n, func() {
				for _, b := range n.endpoints[1].idleConns { // it is reusable
					b.lastAnswerAt = 0
				}
				n.endpoints[1].duplicatesExpectedUntil = 0
				n.serveWaiting(n.endpoints[1])
			})
			if code, body, _ := conn.readAnswer(); code != 200 || body != "body of /once" {
				t.Error(code, body)
			}
			_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
			if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the backend read %q, %v, want the end", b, err)
			}
		})
	}
}

// An attempt that was delayed between its check and its first byte is checked again: it is sent once it is not
// delayed any more, and not at all if its backend drains by then.
func TestDelayedAttemptIsRechecked(t *testing.T) {
	for name, drains := range map[string]bool{"still allowed": false, "its backend drains": true} {
		t.Run(name, func(t *testing.T) {
			backend := newTestBackend(t, serve)
			n, addr := startNode(t, backend.targets(), nil)
			conn := dialNode(t, addr)
			conn.exchange(requestText("read", 9000))
			// The next request must not need a dial.
			waitUntil(n, func() bool { return n.idleBackends.Len() == 1 && len(n.requests) == 0 })
			ends := &outcomeRecorder{decisionModule: n.balancer}
			runOnLoop(n, func() { n.balancer, n.testWriteDelay = ends, 2*maxWriteDelay })
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
			waitUntil(n, func() bool { return len(ends.outcomes) > 0 })
			if ends.outcomes[0] != balancer.OutcomeNotSent || backend.requestCount.Load() > 1 {
				t.Errorf("ended as %v, %d requests at the backend", ends.outcomes, backend.requestCount.Load())
			}
		})
	}
}

// The audit counts violations at the moment of the first byte, whatever decided the attempt.
func TestAuditAtFirstByte(t *testing.T) {
	n, _ := startNode(t, newTestBackend(t, serve).targets(), requireListLease)
	runOnLoop(n, func() {
		now := n.now()
		ep := &endpoint{address: "h"}
		r := &request{settings: n.settings, clientConn: &clientConn{node: n}, deadline: now + 1_000_000}
		a := &attempt{request: r, endpoint: ep, deadline: r.deadline}
		fine := attemptStart{writtenAt: now, statedTimeout: 1_000_000, deadline: a.deadline, listExpiresAt: now}
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
			f := fine
			c.change(&f)
			n.auditAttemptStart(a, f)
			unexpected := c.want == safety.Allowed && len(n.violations) > 0
			missing := c.want != safety.Allowed && n.violations[c.want] != 1
			if unexpected || missing {
				t.Errorf("%s: counted %v", c.name, n.violations)
			}
		}
		clear(n.violations)
	})
}

// What a backend sends before the first byte of a request is no answer to it, and the connection carries nothing any
// more. It was taken for the answer: an attempt that was delayed between its check and its first byte counted as
// answered by whatever came meanwhile, its client got that, and the connection went back to the pool with
// answerComplete set, so that it was given to a second request while the next still waited for its answer on it.
func TestInputBeforeFirstByteIsNoAnswer(t *testing.T) {
	backend := newManualBackend(t, 0)
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("read", 9000))
	first, in := backend.acceptRequest()
	writeOK(first, "one")
	client.readAnswer()
	// The next request must not need a dial, and is not written before the test says so.
	waitUntil(n, func() bool { return n.idleBackends.Len() == 1 && len(n.requests) == 0 })
	runOnLoop(n, func() { n.testWriteDelay = 2 * maxWriteDelay })
	_, _ = io.WriteString(client, requestText("read", 9000))
	waitUntil(n, func() bool { return len(n.requests) == 1 && n.requests[2].pendingAttempts == 1 })
	writeOK(first, "not asked for")
	waitUntil(n, func() bool { return n.endpoints[1].duplicatesExpectedUntil > 0 || len(n.requests) == 0 })
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
		t.Errorf("the backend read %q, %v, want the end", b, err)
	}
}
