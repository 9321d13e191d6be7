package node

import (
	"container/list"
	"context"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeTimeout is how long a client or a backend may take to accept the data of one write.
const writeTimeout = 10 * time.Second

// clientConn is a connection from a client, with the input that has not been parsed and the request that is being
// processed. Apart from those of socket, its fields change on the event loop only.
type clientConn struct {
	socket
	state             clientConnState
	node              *Node
	input             *buffer          // input that has not been parsed completely; nil: none
	message           protocol.Message // the request that is being read from input
	request           *request         // the request that waits for its answer; nil: none
	writingAnswer     bool             // an answer, or 100 Continue, is being written
	answerStartedAt   int64            // when the node began to write the last answer
	closeAfterAnswer  bool             // the connection closes after the current or next answer
	continueSent      bool             // 100 Continue has been written for the request that is being read
	discardedBytes    int              // amount of input that was discarded while the connection lingers
	acceptedOverLimit bool             // the connection was accepted when the descriptor limit was already reached
	hasSentRequest    bool             // a complete request, or the head of a large one, has been received
	idleElement       *list.Element    // the connection's element of idleList; nil: it is on no list
	idleList          *list.List       // the list that holds idleElement: newClients, idleClients or lingeringClients
	overflow          [][]byte         // pipelined input that the buffer has no space for
	overflowSize      int              // total size of overflow, in bytes
	inputTruncated    bool             // input was dropped: input after it can't be parsed
	lastInputAt       int64            // when input was last received
	paused            *pausedInput     // the connection is not read for lack of memory; nil: it is read
	usesReserve       bool             // the connection was paused before, and is not paused again within this request
	stoppedAt         int64            // when reading was stopped, if the input that arrives may have been sent since then; else 0
	overflowStopped   bool             // reading is stopped until some of overflow has been processed
	receivedBytes     int              // number of bytes received and not dropped
	arrivals          []arrival        // when the input was received; see arrival
	upload            *upload          // the current request if it is too large to be buffered; else nil
	downloadConn      *backendConn     // the source of the current answer if it is too large to be buffered; else nil
	isHTTP10          bool             // the request's version is HTTP/1.0
	isHeadRequest     bool             // the request is a HEAD: its answer has no body
	headContentLength int              // the Content-Length of the backend's answer to a HEAD request
	headCompleteAt    int64            // when the head of the request that is being read was complete; 0: it is incomplete
	requestStartedAt  int64            // when the request that is being read began; for the first one, the time of accept
	idleSince         int64            // when the connection was last put on an idle list
}

// NewClientEventLoop returns netpoll's event loop that accepts the connections of clients. Its Serve method runs it on
// a listener.
func (n *Node) NewClientEventLoop() (netpoll.EventLoop, error) {
	type contextKey struct{}
	return netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			return ctx.Value(contextKey{}).(*clientConn).onInput(ctx, conn)
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			c := &clientConn{node: n, socket: socket{conn: conn}, requestStartedAt: n.now()}
			_ = conn.SetWriteTimeout(writeTimeout)
			if err := c.initPollerConn(n.memory, true, c.onClosed(n)); err != nil {
				_ = conn.Close()
				return context.Background()
			}
			n.pendingAccepts.Add(1)
			n.post(c.register)
			n.throttleAccepts()
			return context.WithValue(context.Background(), contextKey{}, c)
		}))
}

// onInput posts input that the poller has read to the node's event loop.
func (c *clientConn) onInput(_ context.Context, conn netpoll.Connection) error {
	receivedAt := c.node.now()
	return c.postInput(conn, c.node, func(buf *buffer) { c.receive(buf, receivedAt) })
}

// maxPendingAccepts is the number of accepted but unregistered connections at which the poller pauses accepting. It is
// well below reservedDescriptors: if the process reached the system's limit of descriptors, the poller would not notice
// new connections for a while.
const maxPendingAccepts = 8

// throttleAccepts makes the poller wait, for a bounded time, until the event loop has registered accepted connections
// and freed descriptors for them. Without it the poller accepts a burst of hundreds of connections at once.
func (n *Node) throttleAccepts() {
	for yields := 0; yields < 1000 && n.pendingAccepts.Load() >= maxPendingAccepts; yields++ {
		runtime.Gosched()
	}
}

// register adds an accepted connection to the node's connections, or closes it if no descriptor can be freed for it.
func (c *clientConn) register() {
	c.node.pendingAccepts.Add(-1)
	c.node.clients[c] = struct{}{}
	c.node.countConnections(1)
	if !c.node.reserveForAccepted() { // over the limit, and no idle connection can be closed instead
		c.node.warnLimited("client connection rejected", "descriptors", c.node.openDescriptors)
		c.close(closeNoDescriptor)
		return
	}
	c.acceptedOverLimit = c.node.surplusDescriptors(0) > 0
	c.setIdle(true) // at the end of a shutdown, checkDrained closes it unless it has sent a request
}

// close closes the connection at once and releases its input. The caller makes sure that no request on it is
// unanswered, unless the client has disconnected.
func (c *clientConn) close(reason closeReason) {
	if c.state == clientClosed {
		return
	}
	c.logClose(reason)
	c.setState(clientClosed)
	c.setIdle(false)
	delete(c.node.clients, c)
	c.node.countConnections(-1)
	c.input.release()
	c.setUsesReserve(false)
	c.releasePausedInput()
	if c.upload != nil {
		c.upload.earlyInput.release()
	}
	c.input, c.overflow = nil, nil
	c.setOverflowSize(0)
	if c.downloadConn != nil {
		c.node.closeBackendConn(c.downloadConn, closeAnswerTruncated)
	}
	if c.upload == nil && c.paused == nil || c.descriptor != nil { // one that is being detached is closed once it is detached
		c.closeTransport()
	}
}

// closeGracefully closes a connection after its last answer or between two requests. It shuts down the node's direction
// first and lets the connection linger: input is read and discarded until the client closes its side. Closing a socket
// with unread input would reset the connection and destroy the part of the answer that the client has not read yet. A
// client that sends a request while the node closes sees the end of the connection and no answer; nothing of that
// request is forwarded.
func (c *clientConn) closeGracefully(reason closeReason) {
	if c.state == clientClosed || c.idleElement != nil && c.idleList == &c.node.lingeringClients {
		return
	}
	c.logClose(reason)
	c.setState(clientLingering)
	c.input.release()
	c.setUsesReserve(false)
	c.releasePausedInput()
	c.input, c.overflow, c.paused = nil, nil, nil
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

// lingerDuration is the time after which a lingering connection is closed if the client has not closed it, in
// microseconds.
const lingerDuration = 500_000

// maxLingerBytes bounds the input that is discarded while a connection lingers: enough for what was in transit, but not
// whatever a client may go on to send.
const maxLingerBytes = 4 * protocol.BufferSize

// onClosed returns the callback that the poller calls, on its own goroutine, when the connection has ended.
func (c *clientConn) onClosed(n *Node) func() {
	return func() {
		c.disconnectedAt.Store(n.now())
		n.report(reportClosed, func() { c.handleDisconnect(closePeerEnded) })
	}
}

// handleDisconnect closes the connection after its end, and cancels the request that waits for an answer on it.
func (c *clientConn) handleDisconnect(reason closeReason) {
	req := c.request
	c.close(reason)
	if c.request = nil; req != nil {
		c.node.cancelRequest(req)
	}
}
