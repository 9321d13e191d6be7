package load

import (
	"errors"
	"net"
	"syscall"

	"tulipglade/internal/workload"
)

// event is an event on a connection. The goroutine of the connection or of a dial posts it, and the scheduler applies
// it.
type event interface {
	apply(r *runner)
}

// post passes an event to the scheduler. It returns false once the run has ended.
func (r *runner) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.done:
		return false
	}
}

// dialEnded is the result of a dial for an attempt: a connection or an error.
type dialEnded struct {
	at      int64
	attempt *attempt
	conn    net.Conn
	err     error
}

func (e dialEnded) apply(r *runner) {
	a := e.attempt
	if e.err != nil {
		r.connCount--
		if isDescriptorError(e.err) {
			r.descriptorErrors++
		}
		if !a.ended {
			r.endAttempt(a, workload.Unreachable, e.at, 0)
		}
		return
	}
	c := &connection{runner: r, conn: e.conn, target: a.target}
	r.open[c] = true
	r.wg.Go(c.read)
	if a.ended {
		r.reuse(c)
		return
	}
	r.send(c, a)
}

// isDescriptorError reports whether a dial failed because the process ran out of descriptors or the system out of local
// ports.
func isDescriptorError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// responseReceived is the arrival of a complete response on a connection.
type responseReceived struct {
	at         int64
	conn       *connection
	answer     workload.Answer
	retryAfter int64 // µs; 0: the response has no valid Retry-After
	keepAlive  bool
}

func (e responseReceived) apply(r *runner) {
	c := e.conn
	if c.closed {
		return
	}
	if c.current == nil { // the response belongs to no request
		r.closeConn(c)
		return
	}
	if a := c.current; !a.ended {
		r.endAttempt(a, e.answer, e.at, e.retryAfter)
	}
	if e.keepAlive {
		r.reuse(c)
	} else {
		r.closeConn(c)
	}
}

// connBroken is the end of a connection, or the arrival of bytes that are not an HTTP response.
type connBroken struct {
	at       int64
	conn     *connection
	received bool // part of a response had been received
}

// apply ends the attempt on the connection. If a reused connection ends before any part of the response has arrived,
// the target may have closed it while the request was being sent: the client then sends the request once more on a new
// connection.
func (e connBroken) apply(r *runner) {
	c := e.conn
	if c.closed {
		return
	}
	a := c.current
	r.closeConn(c)
	if a == nil || a.ended {
		return
	}
	if c.requests > 1 && !e.received && !a.resent {
		a.resent = true
		a.conn = nil
		r.addConn()
		r.dial(a)
		return
	}
	r.endAttempt(a, workload.Failed, e.at, 0)
}
