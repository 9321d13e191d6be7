package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// discoveryConn is a connection to discovery that is reused from one call to the next. Only one goroutine uses it.
// Other goroutines can abort its call by closing addressChanged.
type discoveryConn struct {
	address        string
	addressChanged <-chan struct{}
	conn           netpoll.Connection
	received       chan []byte   // bytes that the poller has read
	disconnected   chan struct{} // closed once the connection has ended and all its bytes have been received
	closed         chan struct{} // closed by close

	response protocol.Message // the response to the call in flight, as parsed so far
	buffer   []byte           // the bytes of that response
}

func newDiscoveryConn(address string, addressChanged <-chan struct{}) *discoveryConn {
	return &discoveryConn{address: address, addressChanged: addressChanged}
}

// close closes the connection, if there is one. The next call opens a new one.
func (c *discoveryConn) close() {
	if c.conn == nil {
		return
	}
	close(c.closed)
	_ = c.conn.Close() // an answer that is needed has been read by now
	c.conn = nil
}

// answer is the parsed answer of discovery: a list, and the reasons why some of its entries could not be parsed.
type answer struct {
	list    protocol.List
	invalid []error
}

// roundTrip makes one call and reads its answer within the timeout. After an error it closes the connection, except
// after errAddressChanged: the answer may still arrive, and finishAbandonedCall waits for it.
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

// finishAbandonedCall waits for the answer to a call that was abandoned because the address of discovery changed. It
// then closes the connection.
func (c *discoveryConn) finishAbandonedCall(timeout time.Duration) (answer, error) {
	defer c.close()
	if c.conn == nil {
		return answer{}, errAddressChanged // no request has been sent
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	c.addressChanged = nil
	return c.readAnswer(deadline.C)
}

// readAnswer reads the response to the call in flight and parses the list in its body.
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

// connect opens a connection, unless the one of the previous call is still open.
func (c *discoveryConn) connect(timeout time.Duration) error {
	if c.conn != nil && c.conn.IsActive() {
		return nil
	}
	c.close() // discovery may have closed it after the previous call
	return c.dial(timeout)
}

func (c *discoveryConn) send(request []byte, timeout time.Duration) error {
	_ = c.conn.SetWriteTimeout(timeout) // never fails; the deadline of the call bounds the write too
	if _, err := c.conn.Writer().WriteBinary(request); err != nil {
		return err
	}
	return c.conn.Writer().Flush()
}

// dialResult is the connection that a dial has established, or its error.
type dialResult struct {
	conn netpoll.Connection
	err  error
}

// dial opens a connection to c.address. If the address of discovery changes before the connection is established, dial
// returns errAddressChanged, and the connection is closed once it is established.
func (c *discoveryConn) dial(timeout time.Duration) error {
	results := make(chan dialResult)
	start := time.Now()
	go func() {
		conn, err := netpoll.DialConnection("tcp", c.address, timeout)
		select {
		case results <- dialResult{conn, err}:
		case <-c.addressChanged:
			if err == nil {
				_ = conn.Close() // dial has returned, so the connection has no user
			}
		}
	}()
	select {
	case <-c.addressChanged:
		return errAddressChanged
	case result := <-results:
		if result.err != nil && time.Since(start) >= timeout { // netpoll has no error type for a timeout
			return fmt.Errorf("%w: %w", errNoAnswer, result.err)
		}
		if result.err != nil {
			return fmt.Errorf("%w: %w", errUnreachable, result.err)
		}
		return c.attach(result.conn)
	}
}

// attach makes conn the connection of the next calls, and registers callbacks by which the poller passes on the bytes
// that arrive and the end of the connection.
func (c *discoveryConn) attach(conn netpoll.Connection) error {
	received := make(chan []byte)
	disconnected := make(chan struct{})
	closed := make(chan struct{})
	c.conn, c.received, c.disconnected, c.closed = conn, received, disconnected, closed
	// The poller calls the close callback only while the request handler is not running, so no bytes are lost when the
	// connection ends.
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
		_ = reader.Release() // ReadBinary has copied the bytes
		select {
		case received <- bytes:
		case <-closed:
		}
		return nil
	})
}

// readResponse reads a complete response. Any status other than 200 is an error.
func (c *discoveryConn) readResponse(deadline <-chan time.Time) (body []byte, keepAlive bool, err error) {
	for {
		select {
		case <-c.addressChanged:
			return nil, false, errAddressChanged
		case <-deadline:
			return nil, false, c.incompleteError(errNoAnswer)
		case <-c.disconnected:
			if !c.response.EndsWithConnection() {
				return nil, false, c.incompleteError(errConnectionEnded)
			}
			c.response.Finish() // a truncated body is found when the list is parsed
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

// incompleteError returns the error of a call that has ended without a complete response because of cause. If the body
// of a response with status 200 had begun, discovery did answer, so the error is an invalid list.
func (c *discoveryConn) incompleteError(cause error) error {
	if c.response.InBody() && c.response.Status == protocol.StatusOK {
		return fmt.Errorf("%w: %w", errInvalidList, cause)
	}
	return cause
}
