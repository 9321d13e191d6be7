package fake

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/protocol"
	"tulipglade/internal/simulation/emulator"
)

const (
	backendIdleTimeout  = 2 * time.Minute
	backendWriteTimeout = 10 * time.Second
	readAheadBytes      = 4096
	microsPerMilli      = 1000
)

const (
	healthPath     = "/health"
	loadReportPath = "/status/load"
)

// backendConn is one connection from a node to a backend.
type backendConn struct {
	backend      *backendListener
	conn         *net.TCPConn
	incarnation  any
	firstRequest bool
	stateChanged *sync.Cond // on the listener's mutex
	closed       bool       // under the listener's mutex

	// The cluster's goroutine owns these.
	counted  bool      // the backend's number of open connections includes this one
	inFlight *exchange // the request that the backend is processing; nil: none
}

// reset closes the connection with a TCP reset, as the end of a process does. The caller holds the listener's mutex.
func (c *backendConn) reset() {
	if !c.closed {
		c.closed = true
		resetConn(c.conn)
		c.stateChanged.Broadcast()
	}
}

// awaitReachable waits while the backend is unreachable, and reports whether the connection is still open after that.
func (c *backendConn) awaitReachable() bool {
	b := c.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.unreachable && !c.closed && !b.closed {
		c.stateChanged.Wait()
	}
	return !c.closed
}

// serve answers the requests on the connection one after the other, until it is to be closed.
func (c *backendConn) serve() {
	defer c.close()
	buf := make([]byte, 0, protocol.BufferSize)
	for open := true; open; {
		buf, open = c.serveRequest(buf)
	}
}

// close closes the connection, removes it from the backend's count and abandons the request that is in flight on it.
func (c *backendConn) close() {
	b := c.backend
	b.mu.Lock()
	delete(b.conns, c)
	c.closed = true
	b.mu.Unlock()
	closeQuietly(c.conn)
	cl := b.cluster
	cl.post(func() {
		if c.counted && cl.live.Incarnation(b.addressIndex) == c.incarnation {
			cl.live.AddConnections(b.addressIndex, -1)
		}
		if c.inFlight != nil && !c.inFlight.ended {
			c.inFlight.ended = true
			cl.live.Abandon(c.inFlight.pending)
		}
	})
}

// serveRequest reads and answers one request, the first bytes of which may already be in buf. It returns the bytes
// received so far of the next request, and false if the connection is to be closed.
func (c *backendConn) serveRequest(buf []byte) ([]byte, bool) {
	var message protocol.Message
	buf, ok := c.readRequest(&message, buf)
	if !ok {
		return nil, false
	}
	if response := c.answerHealthCheck(&message); response != nil {
		if !c.awaitReachable() || !c.write(response) || !message.KeepAlive {
			return nil, false
		}
		c.firstRequest = false
		return append(buf[:0], message.Rest(buf)...), true
	}
	x, rejectStatus := c.dispatch(&message)
	if x == nil {
		c.reject(rejectStatus)
		return nil, false
	}
	rest := bytes.Clone(message.Rest(buf))
	keepAlive := message.KeepAlive
	ahead := c.startReadAhead()
	response, ok := x.await(ahead)
	if !ok {
		return nil, false
	}
	if response == nil || !c.awaitReachable() {
		c.backend.mu.Lock()
		c.reset()
		c.backend.mu.Unlock()
		<-ahead.done
		return nil, false
	}
	if !c.write(response) || !keepAlive {
		return nil, false
	}
	c.firstRequest = false
	<-ahead.done
	if ahead.data == nil || !c.awaitReachable() || len(rest)+len(ahead.data) > cap(buf) {
		return nil, false
	}
	buf = append(buf[:0], rest...)
	return append(buf, ahead.data...), true
}

// readRequest reads until the message is complete. It rejects a malformed message, and returns false if no further
// request can be read from the connection.
func (c *backendConn) readRequest(message *protocol.Message, buf []byte) ([]byte, bool) {
	for {
		size, complete, err := message.ParseRequest(buf)
		if err != nil {
			c.reject(http.StatusBadRequest)
			return nil, false
		}
		buf = buf[:size]
		if complete {
			return buf, true
		}
		if buf = c.read(buf); buf == nil {
			return nil, false
		}
	}
}

// reject answers a request that does not conform to PROTOCOL with an error status, and counts it.
func (c *backendConn) reject(status int) {
	cl := c.backend.cluster
	cl.post(func() { cl.ledger.totals.Unreadable++ })
	c.write(emptyResponse(status))
}

// emptyResponse returns a response without a body that announces the close of the connection.
func emptyResponse(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}

// readAhead is one read that runs while a request is executed. It detects that the node cancels the request: the node
// then closes its connection, or shuts down its sending side.
type readAhead struct {
	done chan struct{} // closed at the end of the read
	data []byte        // valid after done: the first bytes of the next request; nil: the node has closed the connection
}

func (c *backendConn) startReadAhead() *readAhead {
	ahead := &readAhead{done: make(chan struct{})}
	go func() {
		defer close(ahead.done)
		data := make([]byte, readAheadBytes)
		if n, err := c.conn.Read(data); err == nil {
			ahead.data = data[:n]
		}
	}()
	return ahead
}

// read appends the bytes of the next read to buf. It returns nil if the buffer is full or the connection has ended.
func (c *backendConn) read(buf []byte) []byte {
	if len(buf) == cap(buf) {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(backendIdleTimeout)) // Read reports a closed connection
	n, err := c.conn.Read(buf[len(buf):cap(buf)])
	if err != nil || !c.awaitReachable() {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // the next read reports a closed connection
	return buf[:len(buf)+n]
}

// write writes a response, and reports whether all of it was written.
func (c *backendConn) write(response []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(backendWriteTimeout)) // Write reports a closed connection
	_, err := c.conn.Write(response)
	return err == nil
}

// answerHealthCheck returns the response to a health check, which is answered without queueing. It returns nil if the
// message is not a health check. If the rules forbid health checks, their paths are treated like any other path.
func (c *backendConn) answerHealthCheck(message *protocol.Message) []byte {
	b, path := c.backend, string(message.Target)
	cl := b.cluster
	if path != healthPath && path != loadReportPath || !cl.scenario.Rules.AllowHealthChecks {
		return nil
	}
	var response []byte
	cl.call(func() {
		cl.ledger.totals.HealthChecks++
		if cl.live.Incarnation(b.addressIndex) != c.incarnation {
			return
		}
		body := ""
		if path == loadReportPath {
			body = formatLoadReport(cl.live.CheckHealth(cl.now(), b.addressIndex))
		}
		response = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	if response == nil { // the process that accepted this connection has ended
		return emptyResponse(http.StatusServiceUnavailable)
	}
	return response
}

// dispatch passes a complete request to the backend. If x is nil, the request is rejected with rejectStatus.
func (c *backendConn) dispatch(message *protocol.Message) (x *exchange, rejectStatus int) {
	attempt, rejectStatus := c.parseAttempt(message)
	if rejectStatus != 0 {
		return nil, rejectStatus
	}
	x = &exchange{conn: c, id: attempt.ID, class: attempt.Class, response: make(chan []byte, 1)}
	attempt.Pending = x
	tenant := string(message.Get("x-customer"))
	if !c.backend.cluster.post(func() { x.start(attempt, tenant) }) {
		return nil, http.StatusServiceUnavailable
	}
	return x, 0
}

// parseAttempt converts a request into the emulator's attempt. A rejectStatus other than 0 rejects the request.
func (c *backendConn) parseAttempt(message *protocol.Message) (attempt emulator.Attempt, rejectStatus int) {
	id := string(message.Get("x-trace-id"))
	if id == "" {
		return attempt, http.StatusNotFound
	}
	target, err := url.ParseRequestURI(string(message.Target))
	if err != nil {
		return attempt, http.StatusBadRequest
	}
	path, _, _ := bytes.Cut(message.Target, []byte("?"))
	class := c.backend.cluster.classIndex(string(bytes.TrimPrefix(path, []byte("/"))))
	if class < 0 {
		return attempt, http.StatusBadRequest
	}
	attempt = emulator.Attempt{
		AddressIndex:   c.backend.addressIndex,
		Node:           c.backend.node,
		ID:             id,
		IdempotencyKey: id,
		Class:          class,
		NewConnection:  c.firstRequest,
	}
	if object := target.Query().Get("obj"); object != "" {
		attempt.Key = xxhash.Sum64String(object)
	}
	if key := message.Get("idempotency-key"); len(key) > 0 {
		attempt.IdempotencyKey = string(key)
	}
	ms, err := strconv.ParseInt(string(message.Get("x-expires-in-ms")), 10, 64)
	if err == nil && ms > 0 {
		attempt.Timeout = ms * microsPerMilli
	}
	return attempt, 0
}
