package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// discoveryConn is a connection to discovery that is reused from one call to the next. One goroutine uses it; others end
// its call by closing addressChanged.
type discoveryConn struct {
	address        string
	addressChanged <-chan struct{}
	conn           netpoll.Connection
	received       chan []byte   // bytes as they arrive
	disconnected   chan struct{} // closed when the connection has ended and all bytes that arrived have been taken
	closed         chan struct{} // closed by close

	response protocol.Message // of the call in flight
	buffer   []byte           // what has arrived of it
}

func newDiscoveryConn(address string, addressChanged <-chan struct{}) *discoveryConn {
	return &discoveryConn{address: address, addressChanged: addressChanged}
}

func (c *discoveryConn) close() {
	if c.conn == nil {
		return
	}
	close(c.closed)
	_ = c.conn.Close() // nothing is lost: an answer that is wanted has been read
	c.conn = nil
}

// answer is what discovery has answered: a list, and why entries of it could not be read.
type answer struct {
	list    protocol.List
	invalid []error
}

// roundTrip makes one call and reads its answer within the timeout. After an error the connection is closed, but for
// errAddressChanged: the answer may be on its way, and finishCall waits for it.
func (c *discoveryConn) roundTrip(request []byte, timeout time.Duration) (answer, error) {
	received, err := c.call(request, timeout)
	if err != nil {
		if !errors.Is(err, errAddressChanged) {
			c.close()
		}
		return answer{}, fmt.Errorf("discovery at %s: %w", c.address, err)
	}
	return received, nil
}

func (c *discoveryConn) call(request []byte, timeout time.Duration) (answer, error) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	if err := c.connect(min(timeout, dialTimeout)); err != nil {
		return answer{}, err
	}
	if err := c.send(request, timeout); err != nil {
		return answer{}, err
	}
	c.response, c.buffer = protocol.Message{MaxBody: maxListBytes}, nil
	return c.readAnswer(deadline.C)
}

// finishCall waits for the answer to the call that a change of address has ended, and closes the connection.
func (c *discoveryConn) finishCall(timeout time.Duration) (answer, error) {
	defer c.close()
	if c.conn == nil {
		return answer{}, errAddressChanged // the call has not begun
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	c.addressChanged = nil
	return c.readAnswer(deadline.C)
}

func (c *discoveryConn) readAnswer(deadline <-chan time.Time) (answer, error) {
	body, keepAlive, err := c.readResponse(deadline)
	if err != nil {
		return answer{}, err
	}
	if !keepAlive {
		c.close()
	}
	list, invalid, err := protocol.ParseListLenient(body)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w, %d bytes", errInvalidList, err, len(body))
	}
	return answer{list, invalid}, nil
}

// connect opens the connection unless the last one is still open.
func (c *discoveryConn) connect(timeout time.Duration) error {
	if c.conn != nil && c.conn.IsActive() {
		return nil
	}
	c.close() // discovery has closed it between two calls
	return c.dial(timeout)
}

func (c *discoveryConn) send(request []byte, timeout time.Duration) error {
	_ = c.conn.SetWriteTimeout(timeout) // never fails; the deadline of the call bounds it in any case
	if _, err := c.conn.Writer().WriteBinary(request); err != nil {
		return err
	}
	return c.conn.Writer().Flush()
}

// dialResult is the outcome of one attempt to connect.
type dialResult struct {
	conn netpoll.Connection
	err  error
}

// dial opens the connection. One that is established after the address has changed is closed.
func (c *discoveryConn) dial(timeout time.Duration) error {
	results := make(chan dialResult)
	start := time.Now()
	go func() {
		conn, err := netpoll.DialConnection("tcp", c.address, timeout)
		select {
		case results <- dialResult{conn, err}:
		case <-c.addressChanged:
			if err == nil {
				_ = conn.Close() // nobody uses it
			}
		}
	}()
	select {
	case <-c.addressChanged:
		return errAddressChanged
	case result := <-results:
		if result.err != nil && time.Since(start) >= timeout { // netpoll's own error for a timeout has no type
			return fmt.Errorf("%w: %w", errNoAnswer, result.err)
		}
		if result.err != nil {
			return fmt.Errorf("%w: %w", errUnreachable, result.err)
		}
		return c.attach(result.conn)
	}
}

// attach uses an established connection for the next calls, and has the poller pass on what arrives.
func (c *discoveryConn) attach(conn netpoll.Connection) error {
	received := make(chan []byte)
	disconnected := make(chan struct{})
	closed := make(chan struct{})
	c.conn, c.received, c.disconnected, c.closed = conn, received, disconnected, closed
	// The poller ends a connection only while the request handler is not running, so no bytes are lost at its end.
	_ = conn.AddCloseCallback(func(netpoll.Connection) error { // never fails
		close(disconnected)
		return nil
	})
	return conn.SetOnRequest(func(_ context.Context, conn netpoll.Connection) error {
		reader := conn.Reader()
		bytes, err := reader.ReadBinary(reader.Len())
		if err != nil {
			return err
		}
		_ = reader.Release() // ReadBinary has copied
		select {
		case received <- bytes:
		case <-closed:
		}
		return nil
	})
}

// readResponse reads a complete response of status 200.
func (c *discoveryConn) readResponse(deadline <-chan time.Time) (body []byte, keepAlive bool, err error) {
	for {
		select {
		case <-c.addressChanged:
			return nil, false, errAddressChanged
		case <-deadline:
			return nil, false, c.incomplete(errNoAnswer)
		case <-c.disconnected:
			if !c.response.EndsWithConnection() {
				return nil, false, c.incomplete(errConnectionEnded)
			}
			c.response.Finish() // whether the body is complete shows as it is parsed
			return c.response.Body(c.buffer), false, checkStatus(c.response.Status)
		case bytes := <-c.received:
			c.buffer = append(c.buffer, bytes...)
		}
		n, complete, err := c.response.ParseResponse(c.buffer)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", errInvalidList, err)
		}
		c.buffer = c.buffer[:n]
		if complete {
			return c.response.Body(c.buffer), c.response.KeepAlive, checkStatus(c.response.Status)
		}
	}
}

// incomplete returns the error for a call that has ended without a complete response. One that had begun shows that
// discovery is there: it was an answer, and cannot be used.
func (c *discoveryConn) incomplete(cause error) error {
	if c.response.InBody() && c.response.Status == protocol.StatusOK {
		return fmt.Errorf("%w: %w", errInvalidList, cause)
	}
	return cause
}
