package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"tulipglade/internal/protocol"
)

// Limits of a call.
const (
	maxCallSize     = protocol.MaxHead
	initialCallSize = 1024
	// callReadTimeout is how long a call may take to arrive. Callers may not rely on an answer to an incomplete call,
	// but a complete one must be answered even if it has arrived slowly.
	callReadTimeout = 3 * time.Second
	// nodeTimeout bounds the wait for the node's reply. Callers must have their answer 1 s after the call.
	nodeTimeout = 900 * time.Millisecond
	// closeTimeout is how long the server waits for the caller to close the connection after the answer.
	closeTimeout = 200 * time.Millisecond
	// maxDiscarded bounds the bytes behind a call that are read and discarded, so that closing the connection does not
	// reset it.
	maxDiscarded = 8 * maxCallSize
)

// HTTP methods of calls.
const (
	methodGet = "GET"
	methodPut = "PUT"
)

// errNodeTimeout is sent as the answer to a call to which the node has not replied within nodeTimeout.
var errNodeTimeout = errors.New("the node did not answer in time")

// errDisconnected means that the caller has disconnected before its call was complete.
var errDisconnected = errors.New("the caller has disconnected")

// answer is the response to a call: a status code and a line of text.
type answer struct {
	status int
	text   string
}

// request is a call that has arrived completely.
type request struct {
	method, path, query string
}

// serve reads the call of a connection, answers it and waits until the caller closes the connection.
func (s *Server) serve(c *connection) {
	_ = c.SetDeadline(time.Now().Add(s.readTimeout)) // cannot fail on an open connection
	message, rejection, err := s.readCall(c)
	if err != nil {
		return
	}
	response := rejection
	if response == nil {
		s.markCallComplete(c)
		response = s.handleCall(message)
	}
	_ = c.SetDeadline(time.Now().Add(nodeTimeout))
	body := response.text + "\n"
	head := protocol.AppendResponse(nil, response.status, nil, len(body), false, 0)
	if _, err := c.Write(append(head, body...)); err != nil {
		return
	}
	c.awaitClose()
}

// awaitClose waits for the caller to close the connection. If the server closed it while input is unread or still
// arrives, the connection would be reset and the caller might not receive the answer.
func (c *connection) awaitClose() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(closeTimeout))
	_, _ = io.CopyN(io.Discard, c, maxDiscarded) // ends when the caller closes, or at the limit or the deadline
}

// readCall reads a call. If the call is malformed, too large or not complete in time, it returns the answer that
// rejects it instead. It returns an error if the caller has disconnected, so that no answer can be sent.
func (s *Server) readCall(c *connection) (request, *answer, error) {
	var message protocol.Message
	buffer := make([]byte, 0, initialCallSize)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxCallSize {
				return request{}, &answer{protocol.StatusContentTooLarge, "call too large"}, nil
			}
			buffer = append(buffer, make([]byte, len(buffer))...)[:len(buffer)]
		}
		n, err := c.Read(buffer[len(buffer):cap(buffer)])
		if err != nil {
			var netError net.Error
			if errors.As(err, &netError) && netError.Timeout() {
				return request{}, &answer{protocol.StatusRequestTimeout, "call not complete in time"}, nil
			}
			return request{}, nil, errDisconnected
		}
		size, complete, err := message.ParseRequest(buffer[:len(buffer)+n])
		if err != nil {
			return request{}, &answer{protocol.RejectionStatus(err), err.Error()}, nil
		}
		buffer = buffer[:size]
		if complete {
			_, query, _ := strings.Cut(string(message.Target), "?")
			return request{method: string(message.Method), path: string(message.Path()), query: query}, nil, nil
		}
	}
}

// operation is an operation of the node that can be called: its HTTP method and the function that starts it.
type operation struct {
	method string
	invoke func(reply func(error))
}

// operation returns the operation at a path, and false if there is none.
func (s *Server) operation(path string) (operation, bool) {
	switch path {
	case "/status":
		return operation{methodGet, s.node.Status}, true
	case "/standby":
		return operation{methodPut, s.node.Standby}, true
	case "/active":
		return operation{methodPut, s.node.Active}, true
	}
	return operation{}, false
}

// handleCall checks a call, passes it to the node and returns the answer. A call that changes the node's state is
// rejected if it names a lease under which the fence admits no call; see beginUnderLease.
func (s *Server) handleCall(call request) *answer {
	target, ok := s.operation(call.path)
	if !ok {
		return &answer{protocol.StatusNotFound, "no such call"}
	}
	if call.method != target.method {
		return &answer{protocol.StatusMethodNotAllowed, "this call is a " + target.method}
	}
	endLease := func() {}
	if call.method == methodPut {
		var err error
		endLease, err = s.beginUnderLease(call.query)
		if errors.Is(err, errIncompleteLease) {
			return &answer{protocol.StatusBadRequest, err.Error()}
		}
		if err != nil {
			return &answer{protocol.StatusConflict, err.Error()}
		}
	}
	err := awaitReply(target.invoke, endLease)
	switch {
	case err == nil:
		return &answer{protocol.StatusOK, "ok"}
	case call.method == methodGet || errors.Is(err, errNodeTimeout):
		return &answer{protocol.StatusServiceUnavailable, err.Error()}
	default:
		return &answer{protocol.StatusConflict, err.Error()}
	}
}

// awaitReply invokes an operation of the node and returns its reply, or errNodeTimeout. It calls onReply when the reply
// arrives, even if that is after the timeout: until then the operation may still take effect.
func awaitReply(invoke func(reply func(error)), onReply func()) error {
	replies := make(chan error, 1)
	invoke(func(err error) {
		onReply()
		replies <- err
	})
	timeout := time.NewTimer(nodeTimeout)
	defer timeout.Stop()
	select {
	case err := <-replies:
		return err
	case <-timeout.C:
		return errNodeTimeout
	}
}
