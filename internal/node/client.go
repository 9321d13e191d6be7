package node

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
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

// arrival is when the bytes of a connection up to a place had come, for what still waits for the answer before it.
type arrival struct {
	upToByte   int
	receivedAt int64
}

// arrivalMergeInterval bounds how many of these there are, in microseconds: what comes sooner behind another counts as come with it.
const arrivalMergeInterval = 10_000

// How long clients may hold on to what they do not use, in microseconds. Whoever cannot or will not ask is due an
// error or a close within 3 s of connecting; a sweep comes on top of these times.
const (
	headTimeout       = 2_200_000  // from the connection to the end of its first head, or from the start of a later one
	bodyTimeout       = 1_000_000  // from there to the end of the body, and what that takes at the least rate
	newConnGrace      = 500_000    // a new connection is not closed to make room for others unless nothing else is idle
	maxClientIdleTime = 30_000_000 // between two requests
	minClientIdleTime = 2_000_000  // sooner, only connections that are in the way are closed
)

// receiveBufferSize is what the system may hold of a connection's input. The poller reads whatever is there at once, so
// this also bounds the memory that one connection can take: without it that grows to some MB.
const receiveBufferSize = 64 << 10

func limitReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
}

// Listen opens the listener that Serve's event loop is for. Shared lets another process listen there too, as in an
// upgrade.
func Listen(addr string, shared bool) (netpoll.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = limitReceiveBuffer(fd); err == nil && shared {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return netpoll.ConvertListener(ln)
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

// setIdle keeps the lists of connections that hold no request: those that have never asked, and the others.
func (c *clientConn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.idleList.Remove(c.idleElement)
		c.idleElement = nil
	}
	if idle && !c.closed {
		switch {
		case c.lingering:
			c.idleList = &c.node.lingeringClients
		case c.hasSentRequest:
			c.idleList = &c.node.idleClients
		default:
			c.idleList = &c.node.newClients
		}
		c.idleElement, c.idleSince = c.idleList.PushBack(c), c.node.now()
		if limit := c.node.descriptorLimit() / idleClientFraction; c.hasSentRequest && !c.lingering && limit > 0 && c.idleList.Len() > limit {
			if oldest := c.node.oldestIdleClient(c.idleList, 0); oldest != nil && oldest != c {
				oldest.closeGracefully(closeTooManyIdle)
			}
		}
	}
}

// idleClientFraction is the part of all descriptors that connections between two requests may take. Clients hold a third of
// them at most: with that full of connections that nobody uses any more, new clients could not connect.
const idleClientFraction = 6

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

// receive takes in what the client sent.
func (c *clientConn) receive(buf *buffer, receivedAt int64) {
	defer buf.release()
	if c.lingering && !c.closed {
		if c.discardedBytes += buf.length; c.discardedBytes > maxLingerBytes && !c.writingAnswer {
			c.close(closeTooMuchInput)
		}
	}
	if c.closed || c.lingering {
		return
	}
	if c.upload != nil {
		c.upload.earlyInput = appendCopy(c.upload.earlyInput, buf.bytes())
		return
	}
	if c.inputTruncated {
		return
	}
	c.recordArrival(buf.length, receivedAt)
	if len(c.overflow) > 0 {
		c.keepOverflow(buf.bytes())
		return
	}
	if c.input == nil {
		c.input = buf.retain()
		c.requestStarted(receivedAt)
		c.parseNextRequest(receivedAt)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && !c.closed && !c.lingering {
		if c.input == nil {
			c.input = newBuffer()
			c.requestStarted(receivedAt)
		}
		before := len(rest)
		if rest = c.input.add(rest); len(rest) == before { // full, and the request before is not answered yet
			c.keepOverflow(rest)
			return
		}
		c.parseNextRequest(receivedAt)
		if c.upload != nil {
			c.upload.earlyInput = appendCopy(c.upload.earlyInput, rest)
			return
		}
	}
}

// What is kept of requests while the answer to the one before is on its way: of one connection, and of all.
const (
	maxOverflowPerConn = maxLingerBytes
	maxOverflowBytes   = 4 << 20
)

// keepOverflow keeps what c.in has no room for. What is too much is dropped, so nothing behind it can be read.
func (c *clientConn) keepOverflow(data []byte) {
	if c.overflowSize+len(data) > maxOverflowPerConn || c.node.overflowBytes+len(data) > maxOverflowBytes {
		c.closeAfterAnswer, c.inputTruncated = true, true
		c.receivedBytes -= len(data)
		return
	}
	c.overflow = appendCopy(c.overflow, data)
	c.setOverflowSize(c.overflowSize + len(data))
}

// recordArrival notes when so many bytes have come.
func (c *clientConn) recordArrival(length int, receivedAt int64) {
	c.receivedBytes += length
	if c.request == nil && !c.writingAnswer { // every whole request of before has been read
		c.arrivals = c.arrivals[:0]
	}
	if last := len(c.arrivals) - 1; last >= 0 && receivedAt-c.arrivals[last].receivedAt < arrivalMergeInterval {
		c.arrivals[last].upToByte = c.receivedBytes
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.receivedBytes, receivedAt})
}

// arrivalTime is when the last byte before so many others had come: a request's time counts from its own last byte, also where it has stood behind
// another.
func (c *clientConn) arrivalTime(behind int) (receivedAt int64) {
	index := slices.IndexFunc(c.arrivals, func(arrived arrival) bool { return arrived.upToByte >= c.receivedBytes-behind })
	if index < 0 {
		return c.node.now()
	}
	c.arrivals = c.arrivals[index:]
	return c.arrivals[0].receivedAt
}

// setOverflowSize notes how much that is.
func (c *clientConn) setOverflowSize(size int) {
	c.node.overflowBytes += size - c.overflowSize
	c.overflowSize = size
}

// refillInput moves what was kept into c.in, as far as there is room.
func (c *clientConn) refillInput(receivedAt int64) {
	if len(c.overflow) > 0 && c.input == nil {
		c.input = newBuffer()
		c.requestStarted(receivedAt)
	}
	for len(c.overflow) > 0 {
		rest := c.input.add(c.overflow[0])
		if c.setOverflowSize(c.overflowSize - (len(c.overflow[0]) - len(rest))); len(rest) > 0 {
			c.overflow[0] = rest
			return
		}
		c.overflow = c.overflow[1:]
	}
}

// requestStarted notes when a request begins to come in. The first has been due since the connection came.
func (c *clientConn) requestStarted(receivedAt int64) {
	c.headCompleteAt = 0
	if c.hasSentRequest {
		c.requestStartedAt = receivedAt
	}
}

// parseNextRequest reads the next request, if all before is answered.
func (c *clientConn) parseNextRequest(receivedAt int64) {
	if c.request != nil || c.writingAnswer || c.closed || c.upload != nil {
		return
	}
	c.refillInput(receivedAt)
	if c.input == nil || c.input.length == 0 {
		return
	}
	size, complete, err := c.message.Request(c.input.bytes())
	if c.headCompleteAt == 0 && c.message.Started() {
		c.headCompleteAt = receivedAt
	}
	if c.input.length = size; size == 0 { // nothing but empty lines
		c.input.release()
		c.input = nil
		return
	}
	switch {
	case err != nil:
		c.rejectUnreadable(protocol.RejectionStatus(err), err.Error())
	case complete:
		c.hasSentRequest = true
		c.setIdle(false)
		c.closeAfterAnswer = c.closeAfterAnswer || !c.message.KeepAlive
		c.handleRequest(receivedAt)
	case c.message.Started() && (c.message.Length() > protocol.MaxBody || size == protocol.BufferSize):
		c.startUpload()
	case len(c.overflow) > 0 && size < protocol.BufferSize: // framing was taken out: there is room again
		c.parseNextRequest(receivedAt)
	case c.message.Started() && c.message.Expect && !c.continueSent:
		c.continueSent, c.writingAnswer = true, true
		c.node.write(&c.socket, func(err error) {
			if c.writingAnswer = false; err != nil {
				c.close(closeWriteFailed)
			} else if !c.closed {
				c.parseNextRequest(receivedAt)
			}
		}, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// handleRequest takes the request that has just been read, or refuses it.
func (c *clientConn) handleRequest(receivedAt int64) {
	buf := c.input
	c.input = nil
	rest := c.message.Rest(buf.bytes())
	arrivedAt := c.arrivalTime(len(rest) + c.overflowSize)
	if len(rest) > 0 {
		c.input = newBuffer()
		c.requestStarted(receivedAt)
		c.input.add(rest)
		buf.length -= len(rest)
	}
	msg := c.message
	c.message, c.continueSent = protocol.Message{}, false
	c.http10, c.headRequest = msg.OldVersion(), string(msg.Method) == "HEAD"
	c.headContentLength = protocol.UntilClose
	if string(msg.Path()) == "/ready" {
		buf.release()
		if !c.node.ready() {
			c.reply(nil, 503, nil, []byte("not ready\n"), 0)
		} else {
			c.reply(nil, 200, nil, []byte("ready\n"), 0)
		}
		return
	}
	if c.node.drain.rejecting || c.node.drain.closingAll { // long after the call to leave: nobody may be held
		c.closeAfterAnswer = true
		c.reply(buf, 503, nil, []byte("not in service\n"), 0)
		return
	}
	req, status, reason := c.node.admit(&msg, buf, arrivedAt)
	if req == nil {
		// A client that asks for what it must not have loses its connection. (And what answers a HEAD has no body:
		// ours would be read as the next answer.)
		c.closeAfterAnswer = c.closeAfterAnswer || status != 503
		c.reply(buf, status, nil, []byte(reason+"\n"), 0)
		return
	}
	req.clientConn, c.request = c, req
	c.node.submit(req)
}

// lingerDuration is how long a connection stays after its last answer if the client does not close it, in microseconds.
const lingerDuration = 500_000

// maxLingerBytes is how much of that is read: enough for what was on its way, but not all that a client may send.
const maxLingerBytes = 4 * protocol.BufferSize

// rejectUnreadable answers what cannot be read, after which the connection closes.
func (c *clientConn) rejectUnreadable(status int, reason string) {
	c.setIdle(false)
	c.closeAfterAnswer, c.lingering = true, true
	c.input.release()
	c.input = nil
	c.reply(nil, status, nil, []byte(reason+"\n"), 0)
}

// reply writes an answer. It holds held until that is done.
func (c *clientConn) reply(source *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	c.request = nil
	if c.closed {
		source.release()
		return
	}
	c.closeAfterAnswer = c.closeAfterAnswer || c.node.drain.active || c.upload != nil
	c.writingAnswer = true
	c.node.answersInProgress++
	head := newBuffer()
	size := len(body)
	if c.headRequest {
		if body = nil; status == 200 {
			size = c.headContentLength
		}
	}
	out := protocol.AppendResponse(head.data[:0], status, fields, size, !c.closeAfterAnswer, retryAfter)
	c.node.write(&c.socket, func(err error) {
		c.node.answersInProgress--
		c.writingAnswer = false
		head.release()
		source.release()
		switch {
		case err == nil && c.upload != nil && !c.upload.complete:
			c.discardAfterEarlyAnswer()
		case err != nil:
			c.close(closeWriteFailed)
		case c.closeAfterAnswer:
			c.closeGracefully(closeLastAnswer)
		default:
			c.setIdle(true)
			c.parseNextRequest(c.node.now())
		}
	}, out, body)
}

// mayClose tells whether the connection may be ended between two requests, and if not, why: what has come, and waits to be read, asks for an answer.
func (c *clientConn) mayClose() safety.Reason {
	return safety.Close{RequestInProgress: c.request != nil || c.writingAnswer || c.upload != nil, UnreadInput: c.unreadInput() > 0 || !c.isOpenAndDrained()}.Check()
}

// closeStalledClients ends what clients hold on to and do not use: connections that never ask, requests that begin and do
// not come in whole, each of which holds a buffer too, and connections that stay after their last answer.
func (n *Node) closeStalledClients() {
	now := n.now()
	for _, conns := range []*list.List{&n.newClients, &n.idleClients} {
		for element := conns.Front(); element != nil; {
			client := element.Value.(*clientConn)
			element = element.Next()
			idleTime := now - client.idleSince
			switch {
			case client.lingering:
			case client.mayClose() != safety.Allowed: // it asks in this moment
			case client.input != nil && client.headCompleteAt == 0 && now-client.requestStartedAt >= headTimeout,
				client.input != nil && client.headCompleteAt > 0 && now-client.headCompleteAt >= bodyTimeout+int64(float64(client.input.length)*1e6/(minBodyRate*bodyRateTolerance)):
				client.rejectUnreadable(408, "request not complete in time")
			case client.input != nil:
			case !client.hasSentRequest && now-client.requestStartedAt >= headTimeout, idleTime >= maxClientIdleTime:
				client.closeGracefully(closeNoRequest)
			case client.hasSentRequest && idleTime >= minClientIdleTime && n.descriptorLimit() > 0 && len(n.clients) > n.descriptorLimit()/3:
				client.closeGracefully(closeTooManyIdle) // more than clients need for their requests, silent ones counted
			}
		}
	}
}

// oldestIdleClient is the connection in a list that has held no request for the longest time, and at least for so long,
// or nil.
func (n *Node) oldestIdleClient(conns *list.List, minIdle int64) *clientConn {
	for element := conns.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*clientConn); n.now()-client.idleSince < minIdle {
			return nil
		} else if client.mayClose() == safety.Allowed {
			return client
		}
	}
	return nil
}
