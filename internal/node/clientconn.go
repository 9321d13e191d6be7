package node

import (
	"container/list"
	"context"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeTimeout is how long a client may take to read an answer.
const writeTimeout = 10 * time.Second

// clientConn is a connection that a client opened.
type clientConn struct {
	socket
	node              *Node
	input             *buffer
	message           protocol.Message
	request           *request // taken from it and not answered
	writingAnswer     bool     // an answer is on its way
	closeAfterAnswer  bool     // the connection closes after this answer
	continueSent      bool
	lingering         bool // what still comes is dropped; it only waits for its last answer to be read
	discardedBytes    int  // bytes that came meanwhile
	closed            bool
	hasSentRequest    bool // a whole request has come from it
	idleElement       *list.Element
	idleList          *list.List // fresh, idleClients or lingering
	overflow          [][]byte   // came behind what c.in has room for
	overflowSize      int
	inputTruncated    bool // some of what came was dropped: nothing behind it can be read
	receivedBytes     int  // bytes that have come and were kept
	arrivals          []arrival
	upload            *upload      // the request that is coming in is too large to be held
	downloadConn      *backendConn // it passes on an answer too large to be held
	http10            bool         // its request came as HTTP/1.0
	headRequest       bool         // its request is a HEAD: no answer to it has a body
	headContentLength int          // of the body that a backend tells in answer to a HEAD
	headCompleteAt    int64        // when the head of the request that is coming in was whole; 0: it is not
	requestStartedAt  int64        // when the request that is coming in began, at first the connection
	idleSince         int64
}

// Serve returns the event loop that takes clients in.
func (n *Node) Serve() (netpoll.EventLoop, error) {
	type key struct{}
	return netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			return ctx.Value(key{}).(*clientConn).onInput(ctx, conn)
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			c := &clientConn{node: n, socket: socket{conn: conn}, requestStartedAt: n.now()}
			_ = conn.SetWriteTimeout(writeTimeout)
			c.onClose(c.onClosed(n))
			n.pendingAccepts.Add(1)
			n.post(c.register)
			n.throttleAccepts()
			return context.WithValue(context.Background(), key{}, c)
		}))
}

// onInput hands on what the poller has read.
func (c *clientConn) onInput(_ context.Context, conn netpoll.Connection) error {
	receivedAt := c.node.now()
	return c.deliver(conn, c.node, func(buf *buffer) { c.receive(buf, receivedAt) })
}

// maxPendingAccepts is how many connections may have been accepted that Run's goroutine has not seen. It is well within
// reserve: at the system's limit of descriptors the poller would not hear of new connections for a while.
const maxPendingAccepts = 8

// throttleAccepts has the poller wait a little for Run's goroutine, which makes room for what has been accepted: left alone,
// the poller takes in a burst of hundreds at once.
func (n *Node) throttleAccepts() {
	for yields := 0; yields < 1000 && n.pendingAccepts.Load() >= maxPendingAccepts; yields++ {
		runtime.Gosched()
	}
}

func (c *clientConn) register() {
	c.node.pendingAccepts.Add(-1)
	c.node.clients[c] = struct{}{}
	c.node.openDescriptors++
	if !c.node.reserveDescriptors(0) { // beyond the cap, with nothing idle to close
		c.node.warnLimited("connection refused", "descriptors", c.node.openDescriptors)
		c.close(closeNoDescriptor)
		return
	}
	c.setIdle(true) // where the process is about to end, checkDrained shuts it unless it has asked already
}

// close ends the connection. Unless the client went first, it holds no unanswered request.
func (c *clientConn) close(reason closeReason) {
	if c.closed {
		return
	}
	c.logClose(reason)
	c.closed = true
	c.setIdle(false)
	delete(c.node.clients, c)
	c.node.openDescriptors--
	c.input.release()
	c.input, c.overflow = nil, nil
	c.setOverflowSize(0)
	if c.downloadConn != nil {
		c.node.closeBackend(c.downloadConn, closeAnswerTruncated)
	}
	if c.upload == nil || c.descriptor != nil { // else it is on its way out of the poller, and closes as it is there
		c.closeTransport()
	}
}

// closeGracefully ends a connection behind its last answer, or between two requests. The other side is told first, and what it has sent meanwhile is
// read and dropped: a close over unread bytes resets the connection, and with it goes what the client has not read of its answer. Whoever
// sent a request that crosses the end sees that, with no answer to it; nothing of it is sent on.
func (c *clientConn) closeGracefully(reason closeReason) {
	if c.closed || c.idleElement != nil && c.idleList == &c.node.lingeringClients {
		return
	}
	c.logClose(reason)
	c.lingering = true
	c.input.release()
	c.input, c.overflow = nil, nil
	c.setOverflowSize(0)
	if c.descriptor != nil && !c.rejoinPoller() {
		return
	}
	if !c.closeWrite() {
		c.close(closedByPeer)
		return
	}
	c.setIdle(false)
	c.setIdle(true)
	c.node.scheduleAt(c.node.now()+lingerDuration, func() { c.close(closeLingerTimeout) })
}

// lingerDuration is how long a connection stays after its last answer if the client does not close it, in microseconds.
const lingerDuration = 500_000

// maxLingerBytes is how much of that is read: enough for what was on its way, but not all that a client may send.
const maxLingerBytes = 4 * protocol.BufferSize

// onClosed is called as the connection has closed, beside Run's goroutine.
func (c *clientConn) onClosed(n *Node) func() {
	return func() {
		c.disconnectedAt.Store(n.now())
		n.post(func() { c.disconnected(closedByPeer) })
	}
}

// disconnected is a connection that has ended.
func (c *clientConn) disconnected(reason closeReason) {
	req := c.request
	c.close(reason)
	if c.request = nil; req != nil {
		c.node.clientDisconnected(req)
	}
}
