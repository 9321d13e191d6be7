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
	counted  bool      // in the backend's number of connections
	inFlight *exchange // at the backend, or nil
}

// reset ends the connection as a dying process does. The caller holds the listener's mutex.
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

// serve answers the requests of a connection, one after the other.
func (c *backendConn) serve() {
	defer c.close()
	buf := make([]byte, 0, protocol.BufferSize)
	for open := true; open; {
		buf, open = c.serveRequest(buf)
	}
}

// close ends the connection and cancels the request that is in flight on it.
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

// serveRequest answers the request that begins in buf. It returns what has come of the next one, and false where the
// connection is to be closed.
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

// readRequest reads until the message is complete. It answers a malformed one, and returns false where nothing more
// can be read from the connection.
func (c *backendConn) readRequest(message *protocol.Message, buf []byte) ([]byte, bool) {
	for {
		size, complete, err := message.Request(buf)
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

// reject answers a request that is not what PROTOCOL says, and counts it.
func (c *backendConn) reject(status int) {
	cl := c.backend.cluster
	cl.post(func() { cl.ledger.totals.Unreadable++ })
	c.write(emptyResponse(status))
}

// emptyResponse is a response without a body, after which the connection is closed.
func emptyResponse(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}

// readAhead is one read that runs while a request is executed: a node that cancels closes its connection, or shuts down
// its sending side.
type readAhead struct {
	done chan struct{} // closed at the end of the read
	data []byte        // after done: what came of the next request; nil: the node has closed the connection
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

// read appends what comes next to buf; nil: the buffer is full, or the connection has ended.
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

// write reports whether all of the response was written.
func (c *backendConn) write(response []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(backendWriteTimeout)) // Write reports a closed connection
	_, err := c.conn.Write(response)
	return err == nil
}

// answerHealthCheck returns the response to a health check, which does not queue; nil: the message is none. Where the
// rules forbid health checks, their paths are like any other.
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
	if response == nil { // the process of this connection has ended
		return emptyResponse(http.StatusServiceUnavailable)
	}
	return response
}

// dispatch hands a complete request to the backend; nil: it is rejected with the status.
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

// parseAttempt reads what a backend needs to know of a request; a status other than 0 rejects it.
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
