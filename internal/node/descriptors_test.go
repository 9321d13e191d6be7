package node

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"testing"

	"tulipglade/internal/protocol"
)

// A connection on which no request arrives must be closed after headTimeout. A connection between two requests must
// stay open until clients hold more than their share of the descriptors. Otherwise hundreds of unused connections would
// use up all descriptors.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve))}, func(s *Settings) { s.MaxDescriptors = 1000 })
	used, silent := dialNode(t, addr), dialNode(t, addr)
	used.exchange(requestText("once", 9000))
	waitUntil(n, func() bool {
		if n.newClients.Len() != 1 || n.idleClients.Len() != 1 {
			return false
		}
		n.closeStalledClients() // must not close anything: no timeout has passed
		for c := range n.clients {
			c.requestStartedAt, c.idleSince = c.requestStartedAt-headTimeout, c.idleSince-headTimeout
		}
		n.closeStalledClients()
		return true
	})
	if _, err := silent.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection: %v", err)
	}
	if code, _, _ := used.exchange(requestText("once", 9000)); code != 200 {
		t.Errorf("the used connection: %d", code)
	}
	waitUntil(n, func() bool {
		if n.idleClients.Len() != 1 {
			return false
		}
		n.settings.MaxDescriptors = 2
		n.idleClients.Front().Value.(*clientConn).idleSince -= minClientIdleTime
		n.closeStalledClients()
		return true
	})
	if _, err := used.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the used connection, whose descriptor is needed: %v", err)
	}
}

// Clients that send one request and keep their connection must not keep others out. Once too many connections are
// between two requests, those that have been idle for longest are closed.
func TestIdleConnectionsAreLimited(t *testing.T) {
	targets := newTestBackend(t, serve).targets()
	n, addr := startNode(t, targets, func(s *Settings) { s.MaxDescriptors = 10 * idleClientLimitDivisor })
	clients := make([]*testClient, 15)
	for i := range clients {
		clients[i] = dialNode(t, addr)
		if code, _, _ := clients[i].exchange(requestText("once", 9000)); code != 200 {
			t.Fatal(code)
		}
		waitUntil(n, func() bool { return n.idleClients.Len() == min(i+1, 10) })
	}
	if _, err := clients[4].reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the fifth connection: %v", err)
	}
	if code, _, _ := clients[5].exchange(requestText("once", 9000)); code != 200 {
		t.Errorf("the sixth connection: %d", code)
	}
}

// If descriptors are short, unused client connections must be closed before backend connections, which the next
// requests need.
func TestUnusedConnectionsReleaseDescriptors(t *testing.T) {
	targets := newTestBackend(t, serve).targets()
	n, addr := startNode(t, targets, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + 3 })
	used, silent := dialNode(t, addr), dialNode(t, addr)
	used.exchange(requestText("once", 9000))
	waitUntil(n, func() bool {
		if n.newClients.Len() != 1 || n.idleClients.Len() != 1 || n.idleBackends.Len() != 1 {
			return false
		}
		n.newClients.Front().Value.(*clientConn).idleSince -= newConnGrace
		if !n.reserveDescriptors(1) || n.idleBackends.Len() != 1 || n.idleClients.Len() != 1 {
			t.Error("the wrong connection was closed")
		}
		return true
	})
	if _, err := silent.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection: %v", err)
	}
}

// The poller must not accept connections much faster than the event loop registers them, because the event loop frees
// descriptors for them. Otherwise a burst of connections would use up all descriptors before the first is registered.
func TestAcceptBurstIsThrottled(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	n, _ := startNode(t, nil, nil)
	for range 200 {
		n.pendingAccepts.Add(1)
		n.post(func() { n.pendingAccepts.Add(-1) })
		if n.throttleAccepts(); n.pendingAccepts.Load() >= maxPendingAccepts {
			t.Fatalf("%d accepted connections are not registered", n.pendingAccepts.Load())
		}
	}
}

// At the limit of descriptors the connection that has been idle for longest must be closed, never one with a request.
func TestDescriptorsAreCapped(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + 4 })
	busy := dialNode(t, addr)
	_, _ = io.WriteString(busy, requestText("once", 9000))
	<-arrived
	oldest := dialNode(t, addr)
	oldest.exchange(readyRequest)
	for range 6 {
		if code, _, _ := dialNode(t, addr).exchange(readyRequest); code != 200 {
			t.Error(code)
		}
	}
	if _, err := oldest.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest idle connection: %v", err)
	}
	close(release)
	if code, _, _ := busy.readAnswer(); code != 200 {
		t.Errorf("the busy connection: %d", code)
	}
}

// A new connection must not be closed because connections that have just been answered are not known to be idle yet.
// After a client has read its whole answer, its connection counts as one with a request in progress until the report of
// the write reaches the event loop. When all connections were in that state or busy, the node logged
// "client connection rejected descriptors=5" and closed the newest one without an answer. The reports of all writes are
// held until every answer has been read. Then the report of the oldest connection is released first, so that it becomes
// idle first.
func TestNewConnectionIsServedWhileAnswersAreReported(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + 4 })
	reports := holdReports(t, n, reportWritten)
	busy := dialNode(t, addr)
	_, _ = io.WriteString(busy, requestText("once", 9000))
	<-arrived
	reports.await(1) // of the request to the backend
	oldest := dialNode(t, addr)
	oldest.exchange(readyRequest)
	reports.await(2)
	for i := range maxSurplusClients {
		if code, _, _ := dialNode(t, addr).exchange(readyRequest); code != 200 {
			t.Error(code)
		}
		reports.await(3 + i)
	}
	reports.release(2)
	if _, err := oldest.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest idle connection: %v", err)
	}
	reports.releaseAll()
	waitUntil(n, func() bool { return !n.exceedsDescriptorLimit(0) })
	close(release)
	if code, _, _ := busy.readAnswer(); code != 200 {
		t.Errorf("the busy connection: %d", code)
	}
}

// If every connection has an unanswered request and no descriptor is left, the request of a new client must be rejected
// in time with the protocol's answer of a node that is full, 503, rather than by a close of its connection.
func TestRequestBeyondDescriptorLimitIsRejected(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + 4 })
	busy := []*testClient{dialNode(t, addr), dialNode(t, addr)} // each also uses a connection to the backend
	for _, client := range busy {
		_, _ = io.WriteString(client, requestText("once", 9000))
		<-arrived
	}
	for range 3 * maxSurplusClients {
		client := dialNode(t, addr)
		if code, _, closing := client.exchange(requestText("read", 9000)); code != 503 || !closing {
			t.Errorf("a new client: %d, closing %v", code, closing)
		}
	}
	large := dialNode(t, addr)
	_, _ = io.WriteString(large, postRequest("Content-Length: 100000")+string(randomBody(1, 100_000)))
	if code, _, closing := large.readAnswer(); code != 503 || !closing {
		t.Errorf("a large request: %d, closing %v", code, closing)
	}
	runOnLoop(n, func() {
		if surplus := n.surplusDescriptors(0); surplus > maxSurplusClients {
			t.Errorf("%d descriptors beyond the limit", surplus)
		}
	})
	close(release)
	for _, client := range busy {
		if code, _, _ := client.readAnswer(); code != 200 {
			t.Errorf("a busy connection: %d", code)
		}
	}
}

// A connection on which a part of a request has arrived must be closed for its descriptor only if no other connection
// can be closed.
func TestPartialRequestKeepsDescriptor(t *testing.T) {
	targets := newTestBackend(t, serve).targets()
	n, addr := startNode(t, targets, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + 2 })
	partial, idle := dialNode(t, addr), dialNode(t, addr)
	request := requestText("read", 9000)
	_, _ = io.WriteString(partial, request[:20])
	idle.exchange(readyRequest)
	waitUntil(n, func() bool {
		if n.newClients.Len() != 1 || n.idleClients.Len() != 1 || n.newClients.Front().Value.(*clientConn).input == nil {
			return false
		}
		n.newClients.Front().Value.(*clientConn).idleSince -= newConnGrace
		if !n.reserveDescriptors(1) {
			t.Error("no descriptor was released")
		}
		return true
	})
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	if code, _, _ := partial.exchange(request[20:]); code != 200 {
		t.Errorf("the connection with a part of a request: %d", code)
	}
}

// If descriptors are short, lingering connections must be closed too, so that new clients are served. Here all
// descriptors for clients and backends are held by lingering connections.
func TestLingeringConnectionsReleaseDescriptors(t *testing.T) {
	targets := newTestBackend(t, serve).targets()
	n, addr := startNode(t, targets, func(s *Settings) { s.MaxDescriptors = reservedDescriptors + minServingDescriptors })
	var testClients []*testClient
	for range minServingDescriptors {
		c := dialNode(t, addr)
		c.exchange(readyRequest)
		testClients = append(testClients, c)
	}
	waitUntil(n, func() bool { return len(n.clients) > 0 })
	runOnLoop(n, func() { n.closeIdleClients() })
	for i, c := range testClients { // while this input is unread, a connection is not closed as an idle one
		_, _ = fmt.Fprint(c, "rubbish ", i)
	}
	for range minServingDescriptors {
		c := dialNode(t, addr)
		if code, _, _ := c.exchange(requestText("read", 9000)); code != 200 {
			t.Fatal(code)
		}
	}
}
