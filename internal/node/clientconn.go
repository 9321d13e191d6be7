package node

import (
	"container/list"
	"context"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeTimeout is how long a peer may take to accept what is written to it.
const writeTimeout = 10 * time.Second

// clientConn is a connection that a client opened.
type clientConn struct {
	socket
	state             clientConnState
	node              *Node
	input             *buffer
	message           protocol.Message
	request           *request // being answered; nil: none
	writingAnswer     bool     // an answer, or 100 Continue, is being written
	closeAfterAnswer  bool     // the connection closes behind this answer
	continueSent      bool     // 100 Continue has been written for the request that is being read
	discardedBytes    int      // input that was discarded while lingering
	acceptedOverLimit bool     // it was accepted beyond the descriptor limit
	hasSentRequest    bool     // a complete request, or the head of a large one, has come
	idleElement       *list.Element
	idleList          *list.List // the list that holds idleElement: newClients, idleClients or lingeringClients
	overflow          [][]byte   // pipelined input that the buffer has no space for
	overflowSize      int
	inputTruncated    bool // input was dropped: nothing behind it can be parsed
	receivedBytes     int  // input that was received and not dropped
	arrivals          []arrival
	upload            *upload      // the request that is being read is too large to be buffered
	downloadConn      *backendConn // forwards an answer that is too large to be buffered
	isHTTP10          bool         // the request came as HTTP/1.0
	isHeadRequest     bool         // the request is a HEAD: its answer has no body
	headContentLength int          // length that a backend states in answer to a HEAD
	headCompleteAt    int64        // when the head of the request that is being read was complete; 0: it is not
	requestStartedAt  int64        // when the request that is being read began; at first, when the connection was accepted
	idleSince         int64
}

// NewClientEventLoop returns the event loop of the poller that accepts clients.
func (n *Node) NewClientEventLoop() (netpoll.EventLoop, error) {
	type key struct{}
	return netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			return ctx.Value(key{}).(*clientConn).onInput(ctx, conn)
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			c := &clientConn{node: n, socket: socket{conn: conn}, requestStartedAt: n.now()}
			_ = conn.SetWriteTimeout(writeTimeout)
			if err := c.initPollerConn(n.readBudget, c.onClosed(n)); err != nil {
				_ = conn.Close()
				return context.Background()
			}
			n.pendingAccepts.Add(1)
			n.post(c.register)
			n.throttleAccepts()
			return context.WithValue(context.Background(), key{}, c)
		}))
}

// onInput passes on what the poller has read.
func (c *clientConn) onInput(_ context.Context, conn netpoll.Connection) error {
	receivedAt := c.node.now()
	return c.postInput(conn, c.node, func(buf *buffer) { c.receive(buf, receivedAt) })
}

// maxPendingAccepts is how many accepted connections the event loop may not have registered yet. It is well within
// reservedDescriptors: at the system's limit of descriptors the poller would not notice new connections for a while.
const maxPendingAccepts = 8

// throttleAccepts makes the poller wait a little for the event loop, which frees descriptors for accepted
// connections: otherwise the poller accepts a burst of hundreds at once.
func (n *Node) throttleAccepts() {
	for yields := 0; yields < 1000 && n.pendingAccepts.Load() >= maxPendingAccepts; yields++ {
		runtime.Gosched()
	}
}

// register adds an accepted connection to the node's state.
func (c *clientConn) register() {
	c.node.pendingAccepts.Add(-1)
	c.node.clients[c] = struct{}{}
	c.node.openDescriptors++
	if !c.node.reserveForAccepted() { // beyond the limit, and no connection is idle
		c.node.warnLimited("client connection rejected", "descriptors", c.node.openDescriptors)
		c.close(closeNoDescriptor)
		return
	}
	c.acceptedOverLimit = c.node.surplusDescriptors(0) > 0
	c.setIdle(true) // at the end of a shutdown, checkDrained closes it unless a request has come
}

// close closes the connection. Unless the client has closed it first, no request on it is unanswered.
func (c *clientConn) close(reason closeReason) {
	if c.state == clientClosed {
		return
	}
	c.logClose(reason)
	c.setState(clientClosed)
	c.setIdle(false)
	delete(c.node.clients, c)
	c.node.openDescriptors--
	c.input.release()
	c.input, c.overflow = nil, nil
	c.setOverflowSize(0)
	if c.downloadConn != nil {
		c.node.closeBackendConn(c.downloadConn, closeAnswerTruncated)
	}
	if c.upload == nil || c.descriptor != nil { // a connection that is being detached from the poller closes when that is done
		c.closeTransport()
	}
}

// closeGracefully closes a connection behind its last answer or between two requests. The client is notified first, and
// what it sends meanwhile is read and discarded: to close over unread input would reset the connection, and destroy
// what the client has not read of its answer. A client whose request crosses the close sees the end of the connection
// and no answer; nothing of the request is forwarded.
func (c *clientConn) closeGracefully(reason closeReason) {
	if c.state == clientClosed || c.idleElement != nil && c.idleList == &c.node.lingeringClients {
		return
	}
	c.logClose(reason)
	c.setState(clientLingering)
	c.input.release()
	c.input, c.overflow = nil, nil
	c.setOverflowSize(0)
	if c.descriptor != nil && !c.rejoinPoller() {
		return
	}
	if !c.closeWrite() {
		c.close(closePeerEnded)
		return
	}
	c.setIdle(false)
	c.setIdle(true)
	c.node.scheduleAt(c.node.now()+lingerDuration, func() { c.close(closeLingerTimeout) })
}

// lingerDuration is how long a connection lingers unless the client closes it, in microseconds.
const lingerDuration = 500_000

// maxLingerBytes is how much input is discarded meanwhile: enough for what was in transit, but not all that a client
// may send.
const maxLingerBytes = 4 * protocol.BufferSize

// onClosed returns the callback for the end of the connection, which runs on the poller's goroutine.
func (c *clientConn) onClosed(n *Node) func() {
	return func() {
		c.disconnectedAt.Store(n.now())
		n.report(reportClosed, func() { c.handleDisconnect(closePeerEnded) })
	}
}

// handleDisconnect processes the end of the connection.
func (c *clientConn) handleDisconnect(reason closeReason) {
	req := c.request
	c.close(reason)
	if c.request = nil; req != nil {
		c.node.cancelRequest(req)
	}
}
