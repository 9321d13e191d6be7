package load

import (
	"errors"
	"net"
	"syscall"

	"tulipglade/internal/workload"
)

// event is posted by the goroutine of a connection or of a dial, and applied by the scheduler.
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

// dialEnded is the end of a dial for an attempt.
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

// isDescriptorError reports whether a dial failed for want of descriptors or local ports.
func isDescriptorError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// responseReceived is a complete response on a connection.
type responseReceived struct {
	at         int64
	conn       *connection
	answer     workload.Answer
	retryAfter int64 // µs; 0: none was given
	keepAlive  bool
}

func (e responseReceived) apply(r *runner) {
	c := e.conn
	if c.closed {
		return
	}
	if c.current == nil { // a response to no request
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

// connBroken is the end of a connection, or a response that is not HTTP.
type connBroken struct {
	at       int64
	conn     *connection
	received bool // part of a response had come
}

// apply ends the attempt on the connection. A reused connection that ends before any part of the response has come may
// have been closed as the request was sent: the client then sends it once more on a new connection.
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
