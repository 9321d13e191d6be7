package load

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"tulipglade/internal/protocol"
	"tulipglade/internal/workload"
)

const (
	initialReadBuffer = 4096
	readBufferGrowth  = 4
	// maxRetryAfter is the longest Retry-After that is accepted, in seconds; longer ones are ignored.
	maxRetryAfter = 1e6
)

// connection is one connection to a target. The scheduler's goroutine owns its fields; only read runs on another one.
type connection struct {
	runner   *runner
	conn     net.Conn
	target   int
	requests int // number of requests sent on it
	current  *attempt
	closed   bool
	request  []byte // buffer for the bytes of a request, reused
}

// assignConn sends the attempt on an idle connection or, if there is none, on a new one. If the bound on connections
// has been reached, the attempt waits for the next connection to become free.
func (r *runner) assignConn(a *attempt) {
	idle := r.idle[a.target]
	if last := len(idle) - 1; last >= 0 {
		r.idle[a.target] = idle[:last]
		r.recorder.recordSend(a.state, a.due, r.now())
		r.send(idle[last], a)
		return
	}
	if r.connCount < r.plan.MaxConns {
		r.addConn()
		r.recorder.recordSend(a.state, a.due, r.now())
		r.dial(a)
		return
	}
	r.waitedAtBound++
	r.waiting[a.target] = append(r.waiting[a.target], a)
}

// addConn counts a connection that is about to be dialed.
func (r *runner) addConn() {
	r.connCount++
	r.peakConns = max(r.peakConns, r.connCount)
}

// nextWaiting removes and returns the first attempt that still waits for a connection to the target. It returns nil if
// there is none.
func (r *runner) nextWaiting(target int) *attempt {
	for len(r.waiting[target]) > 0 {
		a := r.waiting[target][0]
		r.waiting[target] = r.waiting[target][1:]
		if !a.ended {
			return a
		}
	}
	return nil
}

// dial opens a connection for the attempt on a goroutine of its own. The scheduler then sends the attempt on it.
func (r *runner) dial(a *attempt) {
	timeout := time.Duration(max(a.deadline-r.now(), 1)) * time.Microsecond
	r.wg.Go(func() {
		conn, err := net.DialTimeout("tcp4", r.plan.Targets[a.target], timeout)
		taken := r.post(dialEnded{at: r.now(), attempt: a, conn: conn, err: err})
		if !taken && conn != nil {
			_ = conn.Close() // the run has ended, so the connection is not used
		}
	})
}

// send writes the request of the attempt. The request is small and the only one in flight on its connection, so it fits
// into the socket's send buffer and the write does not block.
func (r *runner) send(c *connection, a *attempt) {
	c.current = a
	a.conn = c
	c.requests++
	c.request = r.appendRequest(c.request[:0], a)
	if _, err := c.conn.Write(c.request); err != nil {
		_ = c.conn.Close() // the reader detects that and posts connBroken
	}
}

// reuse sends the next waiting attempt on a connection that has become free, or adds the connection to the idle ones.
func (r *runner) reuse(c *connection) {
	c.current = nil
	if a := r.nextWaiting(c.target); a != nil {
		r.recorder.recordSend(a.state, a.due, r.now())
		r.send(c, a)
		return
	}
	r.idle[c.target] = append(r.idle[c.target], c)
}

// closeConn closes a connection, and dials a new one in its place if an attempt waits for a connection to the target.
func (r *runner) closeConn(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	c.current = nil
	_ = c.conn.Close() // the connection is not used any more
	delete(r.open, c)
	r.connCount--
	r.removeIdle(c)
	if a := r.nextWaiting(c.target); a != nil {
		r.connCount++
		r.recorder.recordSend(a.state, a.due, r.now())
		r.dial(a)
	}
}

func (r *runner) removeIdle(c *connection) {
	idle := r.idle[c.target]
	for i, other := range idle {
		if other == c {
			r.idle[c.target] = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// close closes all connections, and waits for their goroutines and for dials.
func (r *runner) close() {
	close(r.done)
	for c := range r.open {
		_ = c.conn.Close() // the connection is not used any more
	}
	r.wg.Wait()
	for {
		select {
		case e := <-r.events:
			if dial, ok := e.(dialEnded); ok && dial.conn != nil { // established as the run ended
				_ = dial.conn.Close()
			}
		default:
			return
		}
	}
}

// read receives the responses on the connection and posts them to the scheduler. It runs on a goroutine of its own.
func (c *connection) read() {
	r := c.runner
	buf := make([]byte, 0, initialReadBuffer)
	var message protocol.Message
	for {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, readBufferGrowth*cap(buf)), buf...)
		}
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		at := r.now()
		buf = buf[:len(buf)+n]
		received, complete := len(buf) > 0, false
		if err == nil {
			n, complete, err = message.ParseResponse(buf)
			buf = buf[:n]
		}
		if err != nil {
			r.post(connBroken{at: at, conn: c, received: received})
			return
		}
		if !complete {
			continue
		}
		response := newResponse(c, at, &message, buf)
		buf, message = buf[:0], protocol.Message{}
		r.post(response)
		if !response.keepAlive {
			return
		}
	}
}

// newResponse returns the event of a complete response. If further bytes follow the response, the connection is not
// reused, because they belong to no request.
func newResponse(c *connection, at int64, message *protocol.Message, buf []byte) responseReceived {
	response := responseReceived{
		at:        at,
		conn:      c,
		answer:    workload.Failed,
		keepAlive: message.KeepAlive && len(message.Rest(buf)) == 0,
	}
	switch message.Status {
	case http.StatusOK:
		response.answer = workload.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.answer = workload.Rejected
		response.retryAfter = parseRetryAfter(message.Get("retry-after"))
	}
	return response
}

// parseRetryAfter returns the value of a Retry-After header in µs. It returns 0 if there is none, or if the value is
// not a positive number of seconds below maxRetryAfter.
func parseRetryAfter(value []byte) int64 {
	seconds, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	if err == nil && seconds > 0 && seconds < maxRetryAfter {
		return int64(seconds * microsPerSecond)
	}
	return 0
}
