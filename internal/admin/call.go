package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"tulipglade/internal/protocol"
)

// Bounds of a call.
const (
	maxCallSize     = protocol.MaxHead
	initialCallSize = 1024
	// callReadTimeout is how long a call may take to arrive. An incomplete call is owed no answer, but a late and
	// complete one is.
	callReadTimeout = 3 * time.Second
	// nodeTimeout bounds the wait for the node: the answer is due 1 s after the call.
	nodeTimeout = 900 * time.Millisecond
	// closeTimeout is how long a caller may take to close after it has its answer.
	closeTimeout = 200 * time.Millisecond
	// maxDiscarded bounds what is read behind a call, so that closing the connection does not reset it.
	maxDiscarded = 8 * maxCallSize
)

// Methods of calls.
const (
	methodGet = "GET"
	methodPut = "PUT"
)

// errNodeTimeout is the answer to a call that the node has not answered in time.
var errNodeTimeout = errors.New("the node did not answer in time")

// errDisconnected is a caller that has disconnected before its call was complete.
var errDisconnected = errors.New("the caller has disconnected")

// answer is the response to a call: a status and a line of text.
type answer struct {
	status int
	text   string
}

// request is a call that has arrived.
type request struct {
	method, path, query string
}

// serve answers one call.
func (s *Server) serve(c *connection) {
	_ = c.SetDeadline(time.Now().Add(s.readTimeout)) // an open connection takes any deadline
	message, rejection, err := s.read(c)
	if err != nil {
		return
	}
	response := rejection
	if response == nil {
		s.setReceived(c)
		response = s.perform(message)
	}
	_ = c.SetDeadline(time.Now().Add(nodeTimeout))
	body := response.text + "\n"
	head := protocol.AppendResponse(nil, response.status, nil, len(body), false, 0)
	if _, err := c.Write(append(head, body...)); err != nil {
		return
	}
	c.awaitClose()
}

// awaitClose waits for the caller to close. To close while more arrives would reset the connection, and the caller might
// not see the answer.
func (c *connection) awaitClose() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(closeTimeout))
	_, _ = io.CopyN(io.Discard, c, maxDiscarded) // ends in any case: by the close, the limit or the deadline
}

// read reads a call. It returns an answer instead where the call is malformed, too large or not complete in time, and an
// error where there is nobody to answer.
func (s *Server) read(c *connection) (request, *answer, error) {
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

// operation is what one path stands for.
type operation struct {
	method string
	invoke func(reply func(error))
}

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

// perform passes a call to the node and returns the answer.
func (s *Server) perform(call request) *answer {
	target, ok := s.operation(call.path)
	if !ok {
		return &answer{protocol.StatusNotFound, "no such call"}
	}
	if call.method != target.method {
		return &answer{protocol.StatusMethodNotAllowed, "this call is a " + target.method}
	}
	end := func() {}
	if call.method == methodPut {
		var err error
		end, err = s.beginUnderLease(call.query)
		if errors.Is(err, errIncompleteLease) {
			return &answer{protocol.StatusBadRequest, err.Error()}
		}
		if err != nil {
			return &answer{protocol.StatusConflict, err.Error()}
		}
	}
	err := awaitReply(target.invoke, end)
	switch {
	case err == nil:
		return &answer{protocol.StatusOK, "ok"}
	case call.method == methodGet || errors.Is(err, errNodeTimeout):
		return &answer{protocol.StatusServiceUnavailable, err.Error()}
	default:
		return &answer{protocol.StatusConflict, err.Error()}
	}
}

// awaitReply invokes an operation of the node and returns its reply, or errNodeTimeout. It calls end with the reply, also
// with one that is too late for an answer: until then the operation may still take effect.
func awaitReply(invoke func(reply func(error)), end func()) error {
	replies := make(chan error, 1)
	invoke(func(err error) {
		end()
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
