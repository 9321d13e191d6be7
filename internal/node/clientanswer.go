package node

import (
	"errors"
	"syscall"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeAnswer writes an answer. It retains source, into which fields and body point, until that is done.
func (c *clientConn) writeAnswer(source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	c.request = nil
	if c.state == clientClosed {
		source.release()
		return
	}
	c.closeAfterAnswer = c.closeAfterAnswer || c.node.drain.active || c.upload != nil
	c.writingAnswer = true
	c.node.answersInProgress++
	head := newBuffer()
	size := len(body)
	if c.isHeadRequest {
		if body = nil; status == 200 {
			size = c.headContentLength
		}
	}
	headBytes := protocol.AppendResponse(head.data[:0], status, fields, size, !c.closeAfterAnswer, retryAfter)
	c.node.write(&c.socket, func(err error) {
		c.node.answersInProgress--
		c.writingAnswer = false
		head.release()
		source.release()
		switch {
		case err == nil && c.upload != nil && !c.upload.forwarderEnded:
			c.discardAfterEarlyAnswer()
		case err != nil:
			c.close(writeFailureReason(err))
		case c.closeAfterAnswer:
			c.closeGracefully(closeLastAnswer)
		default:
			c.setIdle(true)
			c.parseNextRequest(c.node.now())
			c.node.closeIdleConnections(0) // a connection beyond the limit may be waiting for this one
		}
	}, headBytes, body)
}

// writeFailureReason says whether a write to a client failed because the client has ended the connection.
func writeFailureReason(err error) closeReason {
	for _, ended := range []error{syscall.EPIPE, syscall.ECONNRESET, netpoll.ErrConnClosed} {
		if errors.Is(err, ended) {
			return closePeerEnded
		}
	}
	return closeWriteFailed
}

// rejectInput answers what can't be parsed, after which the connection closes.
func (c *clientConn) rejectInput(status int, reason string) {
	c.setIdle(false)
	c.closeAfterAnswer = true
	c.setState(clientLingering)
	c.input.release()
	c.input = nil
	c.writeAnswer(nil, status, nil, []byte(reason+"\n"), 0)
}
