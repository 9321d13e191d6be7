package node

import (
	"errors"
	"syscall"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeAnswer writes an answer to the client. It takes over one reference to source, the buffer that fields and body
// point into, and releases it when the write has ended.
func (c *clientConn) writeAnswer(source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	c.request = nil
	if c.state == clientClosed {
		source.release()
		return
	}
	c.closeAfterAnswer = c.closeAfterAnswer || c.node.drain.active && !c.hasPendingInput() || c.upload != nil
	c.writingAnswer, c.answerStartedAt = true, c.node.now()
	c.node.answersInProgress++
	head := newBuffer(c.node.memory, headBufferSize)
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
			c.node.closeIdleConnections(0) // a connection over the descriptor limit may be waiting for this one to become idle
		}
	}, headBytes, body)
}

// writeFailureReason returns closePeerEnded if a write to a client failed because the client has closed or reset the
// connection, and closeWriteFailed otherwise.
func writeFailureReason(err error) closeReason {
	for _, ended := range []error{syscall.EPIPE, syscall.ECONNRESET, netpoll.ErrConnClosed} {
		if errors.Is(err, ended) {
			return closePeerEnded
		}
	}
	return closeWriteFailed
}

// rejectInput answers input that can't be parsed, or a request that is not complete in time. It discards the input, and
// the connection closes after the answer.
func (c *clientConn) rejectInput(status int, reason string) {
	c.setIdle(false)
	c.closeAfterAnswer = true
	c.setState(clientLingering)
	c.input.release()
	c.setUsesReserve(false)
	c.releasePausedInput()
	c.input, c.paused = nil, nil
	c.writeAnswer(nil, status, nil, []byte(reason+"\n"), 0)
}
