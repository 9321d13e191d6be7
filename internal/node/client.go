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

// client is a connection that a client opened.
type client struct {
	socket
	n         *Node
	in        *buffer
	msg       protocol.Message
	req       *request // taken from it and not answered
	writing   bool     // an answer is on its way
	last      bool     // the connection closes after this answer
	continued bool
	lingering bool // what still comes is dropped; it only waits for its last answer to be read
	dropped   int  // bytes that came meanwhile
	closed    bool
	asked     bool // a whole request has come from it
	idle      *list.Element
	idleIn    *list.List // fresh, idleClients or lingering
	more      [][]byte   // came behind what c.in has room for
	moreSize  int
	cut       bool // some of what came was dropped: nothing behind it can be read
	came      int  // bytes that have come and were kept
	arrivals  []arrival
	upload    *upload  // the request that is coming in is too large to be held
	down      *backend // it passes on an answer too large to be held
	old       bool     // its request came as HTTP/1.0
	headOnly  bool     // its request is a HEAD: no answer to it has a body
	headSize  int      // of the body that a backend tells in answer to a HEAD
	headAt    int64    // when the head of the request that is coming in was whole; 0: it is not
	since     int64    // when the request that is coming in began, at first the connection
	idleSince int64
}

// arrival is when the bytes of a connection up to a place had come, for what still waits for the answer before it.
type arrival struct {
	upTo int
	at   int64
}

// arrivalsApart bounds how many of these there are, in microseconds: what comes sooner behind another counts as come with it.
const arrivalsApart = 10_000

// How long clients may hold on to what they do not use, in microseconds. Whoever cannot or will not ask is due an
// error or a close within 3 s of connecting; a sweep comes on top of these times.
const (
	askWithin  = 2_200_000  // from the connection to the end of its first head, or from the start of a later one
	bodyWithin = 1_000_000  // from there to the end of the body, and what that takes at the least rate
	freshFor   = 500_000    // a new connection is not closed to make room for others unless nothing else is idle
	idleAtMost = 30_000_000 // between two requests
	idleLeast  = 2_000_000  // sooner, only connections that are in the way are closed
)

// receiveBuffer is what the system may hold of a connection's input. The poller reads whatever is there at once, so
// this also bounds the memory that one connection can take: without it that grows to some MB.
const receiveBuffer = 64 << 10

func boundReceive(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
}

// Listen opens the listener that Serve's event loop is for. Shared lets another process listen there too, as in an
// upgrade.
func Listen(addr string, shared bool) (netpoll.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = boundReceive(fd); err == nil && shared {
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
			return ctx.Value(key{}).(*client).input(ctx, conn)
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			c := &client{n: n, socket: socket{conn: conn}, since: n.now()}
			_ = conn.SetWriteTimeout(writeTimeout)
			c.onClose(c.ended(n))
			n.unseen.Add(1)
			n.post(c.opened)
			n.catchUp()
			return context.WithValue(context.Background(), key{}, c)
		}))
}

// input hands on what the poller has read.
func (c *client) input(_ context.Context, conn netpoll.Connection) error {
	at := c.n.now()
	return c.hand(conn, c.n, func(b *buffer) { c.receive(b, at) })
}

// unseenMost is how many connections may have been accepted that Run's goroutine has not seen. It is well within
// reserve: at the system's limit of descriptors the poller would not hear of new connections for a while.
const unseenMost = 8

// catchUp has the poller wait a little for Run's goroutine, which makes room for what has been accepted: left alone,
// the poller takes in a burst of hundreds at once.
func (n *Node) catchUp() {
	for tries := 0; tries < 1000 && n.unseen.Load() >= unseenMost; tries++ {
		runtime.Gosched()
	}
}

func (c *client) opened() {
	c.n.unseen.Add(-1)
	c.n.clients[c] = struct{}{}
	c.n.descriptors++
	if !c.n.makeRoom(0) { // beyond the cap, with nothing idle to close
		c.n.warn("connection refused", "descriptors", c.n.descriptors)
		c.close(endNoDescriptor)
		return
	}
	c.setIdle(true) // where the process is about to end, checkDrained shuts it unless it has asked already
}

// setIdle keeps the lists of connections that hold no request: those that have never asked, and the others.
func (c *client) setIdle(on bool) {
	if c.idle != nil {
		c.idleIn.Remove(c.idle)
		c.idle = nil
	}
	if on && !c.closed {
		switch {
		case c.lingering:
			c.idleIn = &c.n.lingering
		case c.asked:
			c.idleIn = &c.n.idleClients
		default:
			c.idleIn = &c.n.fresh
		}
		c.idle, c.idleSince = c.idleIn.PushBack(c), c.n.now()
		if most := c.n.sockets() / idleShare; c.asked && !c.lingering && most > 0 && c.idleIn.Len() > most {
			if oldest := c.n.idleClient(c.idleIn, 0); oldest != nil && oldest != c {
				oldest.shut(endTooManyIdle)
			}
		}
	}
}

// idleShare is the part of all descriptors that connections between two requests may take. Clients hold a third of
// them at most: with that full of connections that nobody uses any more, new clients could not connect.
const idleShare = 6

// close ends the connection. Unless the client went first, it holds no unanswered request.
func (c *client) close(why endReason) {
	if c.closed {
		return
	}
	c.noteEnd(why)
	c.closed = true
	c.setIdle(false)
	delete(c.n.clients, c)
	c.n.descriptors--
	c.in.release()
	c.in, c.more = nil, nil
	c.keeps(0)
	if c.down != nil {
		c.n.closeBackend(c.down, endCutOff)
	}
	if c.upload == nil || c.file != nil { // else it is on its way out of the poller, and closes as it is there
		c.end()
	}
}

// shut ends a connection behind its last answer, or between two requests. The other side is told first, and what it has sent meanwhile is
// read and dropped: a close over unread bytes resets the connection, and with it goes what the client has not read of its answer. Whoever
// sent a request that crosses the end sees that, with no answer to it; nothing of it is sent on.
func (c *client) shut(why endReason) {
	if c.closed || c.idle != nil && c.idleIn == &c.n.lingering {
		return
	}
	c.noteEnd(why)
	c.lingering = true
	c.in.release()
	c.in, c.more = nil, nil
	c.keeps(0)
	if c.file != nil && !c.comeBack() {
		return
	}
	if !c.finish() {
		c.close(endPeerClosed)
		return
	}
	c.setIdle(false)
	c.setIdle(true)
	c.n.at(c.n.now()+lingerFor, func() { c.close(endLingered) })
}

// ended is called as the connection has closed, beside Run's goroutine.
func (c *client) ended(n *Node) func() {
	return func() {
		c.endedAt.Store(n.now())
		n.post(func() { c.gone(endPeerClosed) })
	}
}

// gone is a connection that has ended.
func (c *client) gone(why endReason) {
	req := c.req
	c.close(why)
	if c.req = nil; req != nil {
		c.n.clientGone(req)
	}
}

// receive takes in what the client sent.
func (c *client) receive(b *buffer, at int64) {
	defer b.release()
	if c.lingering && !c.closed {
		if c.dropped += b.n; c.dropped > lingerBytes && !c.writing {
			c.close(endTooMuchInput)
		}
	}
	if c.closed || c.lingering {
		return
	}
	if c.upload != nil {
		c.upload.early = earlyData(c.upload.early, b.bytes())
		return
	}
	if c.cut {
		return
	}
	c.arrived(b.n, at)
	if len(c.more) > 0 {
		c.keep(b.bytes())
		return
	}
	if c.in == nil {
		c.in = b.retain()
		c.begins(at)
		c.advance(at)
		return
	}
	rest := b.bytes()
	for len(rest) > 0 && !c.closed && !c.lingering {
		if c.in == nil {
			c.in = newBuffer()
			c.begins(at)
		}
		left := len(rest)
		if rest = c.in.add(rest); len(rest) == left { // full, and the request before is not answered yet
			c.keep(rest)
			return
		}
		c.advance(at)
		if c.upload != nil {
			c.upload.early = earlyData(c.upload.early, rest)
			return
		}
	}
}

// What is kept of requests while the answer to the one before is on its way: of one connection, and of all.
const (
	moreMost = lingerBytes
	keptMost = 4 << 20
)

// keep keeps what c.in has no room for. What is too much is dropped, so nothing behind it can be read.
func (c *client) keep(p []byte) {
	if c.moreSize+len(p) > moreMost || c.n.kept+len(p) > keptMost {
		c.last, c.cut = true, true
		c.came -= len(p)
		return
	}
	c.more = earlyData(c.more, p)
	c.keeps(c.moreSize + len(p))
}

// arrived notes when so many bytes have come.
func (c *client) arrived(n int, at int64) {
	c.came += n
	if c.req == nil && !c.writing { // every whole request of before has been read
		c.arrivals = c.arrivals[:0]
	}
	if k := len(c.arrivals) - 1; k >= 0 && at-c.arrivals[k].at < arrivalsApart {
		c.arrivals[k].upTo = c.came
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.came, at})
}

// cameAt is when the last byte before so many others had come: a request's time counts from its own last byte, also where it has stood behind
// another.
func (c *client) cameAt(behind int) (at int64) {
	k := slices.IndexFunc(c.arrivals, func(a arrival) bool { return a.upTo >= c.came-behind })
	if k < 0 {
		return c.n.now()
	}
	c.arrivals = c.arrivals[k:]
	return c.arrivals[0].at
}

// keeps notes how much that is.
func (c *client) keeps(size int) {
	c.n.kept += size - c.moreSize
	c.moreSize = size
}

// refill moves what was kept into c.in, as far as there is room.
func (c *client) refill(at int64) {
	if len(c.more) > 0 && c.in == nil {
		c.in = newBuffer()
		c.begins(at)
	}
	for len(c.more) > 0 {
		rest := c.in.add(c.more[0])
		if c.keeps(c.moreSize - (len(c.more[0]) - len(rest))); len(rest) > 0 {
			c.more[0] = rest
			return
		}
		c.more = c.more[1:]
	}
}

// begins notes when a request begins to come in. The first has been due since the connection came.
func (c *client) begins(at int64) {
	c.headAt = 0
	if c.asked {
		c.since = at
	}
}

// advance reads the next request, if all before is answered.
func (c *client) advance(at int64) {
	if c.req != nil || c.writing || c.closed || c.upload != nil {
		return
	}
	c.refill(at)
	if c.in == nil || c.in.n == 0 {
		return
	}
	size, whole, err := c.msg.Request(c.in.bytes())
	if c.headAt == 0 && c.msg.Started() {
		c.headAt = at
	}
	if c.in.n = size; size == 0 { // nothing but empty lines
		c.in.release()
		c.in = nil
		return
	}
	switch {
	case err != nil:
		c.refuse(protocol.RejectionStatus(err), err.Error())
	case whole:
		c.asked = true
		c.setIdle(false)
		c.last = c.last || !c.msg.KeepAlive
		c.request(at)
	case c.msg.Started() && (c.msg.Length() > protocol.MaxBody || size == protocol.BufferSize):
		c.startUpload()
	case len(c.more) > 0 && size < protocol.BufferSize: // framing was taken out: there is room again
		c.advance(at)
	case c.msg.Started() && c.msg.Expect && !c.continued:
		c.continued, c.writing = true, true
		c.n.write(&c.socket, func(err error) {
			if c.writing = false; err != nil {
				c.close(endWriteFailed)
			} else if !c.closed {
				c.advance(at)
			}
		}, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// request takes the request that has just been read, or refuses it.
func (c *client) request(at int64) {
	buf := c.in
	c.in = nil
	rest := c.msg.Rest(buf.bytes())
	came := c.cameAt(len(rest) + c.moreSize)
	if len(rest) > 0 {
		c.in = newBuffer()
		c.begins(at)
		c.in.add(rest)
		buf.n -= len(rest)
	}
	msg := c.msg
	c.msg, c.continued = protocol.Message{}, false
	c.old, c.headOnly = msg.OldVersion(), string(msg.Method) == "HEAD"
	c.headSize = protocol.UntilClose
	if string(msg.Path()) == "/ready" {
		buf.release()
		if !c.n.ready() {
			c.reply(nil, 503, nil, []byte("not ready\n"), 0)
		} else {
			c.reply(nil, 200, nil, []byte("ready\n"), 0)
		}
		return
	}
	if c.n.drain.late || c.n.drain.ending { // long after the call to leave: nobody may be held
		c.last = true
		c.reply(buf, 503, nil, []byte("not in service\n"), 0)
		return
	}
	r, status, why := c.n.admit(&msg, buf, came)
	if r == nil {
		// A client that asks for what it must not have loses its connection. (And what answers a HEAD has no body:
		// ours would be read as the next answer.)
		c.last = c.last || status != 503
		c.reply(buf, status, nil, []byte(why+"\n"), 0)
		return
	}
	r.client, c.req = c, r
	c.n.begin(r)
}

// lingerFor is how long a connection stays after its last answer if the client does not close it, in microseconds.
const lingerFor = 500_000

// lingerBytes is how much of that is read: enough for what was on its way, but not all that a client may send.
const lingerBytes = 4 * protocol.BufferSize

// refuse answers what cannot be read, after which the connection closes.
func (c *client) refuse(status int, why string) {
	c.setIdle(false)
	c.last, c.lingering = true, true
	c.in.release()
	c.in = nil
	c.reply(nil, status, nil, []byte(why+"\n"), 0)
}

// reply writes an answer. It holds held until that is done.
func (c *client) reply(held *buffer, status int, fields []protocol.Field, body []byte, retryAfter int64) {
	c.req = nil
	if c.closed {
		held.release()
		return
	}
	c.last = c.last || c.n.drain.on || c.upload != nil
	c.writing = true
	c.n.writing++
	head := newBuffer()
	size := len(body)
	if c.headOnly {
		if body = nil; status == 200 {
			size = c.headSize
		}
	}
	out := protocol.AppendResponse(head.data[:0], status, fields, size, !c.last, retryAfter)
	c.n.write(&c.socket, func(err error) {
		c.n.writing--
		c.writing = false
		head.release()
		held.release()
		switch {
		case err == nil && c.upload != nil && !c.upload.done:
			c.afterEarly()
		case err != nil:
			c.close(endWriteFailed)
		case c.last:
			c.shut(endLastAnswer)
		default:
			c.setIdle(true)
			c.advance(c.n.now())
		}
	}, out, body)
}

// mayClose tells whether the connection may be ended between two requests, and if not, why: what has come, and waits to be read, asks for an answer.
func (c *client) mayClose() safety.Reason {
	return safety.Close{RequestInProgress: c.req != nil || c.writing || c.upload != nil, UnreadInput: c.unread() > 0 || !c.clean()}.Check()
}

// sweepClients ends what clients hold on to and do not use: connections that never ask, requests that begin and do
// not come in whole, each of which holds a buffer too, and connections that stay after their last answer.
func (n *Node) sweepClients() {
	now := n.now()
	for _, l := range []*list.List{&n.fresh, &n.idleClients} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*client)
			e = e.Next()
			idle := now - c.idleSince
			switch {
			case c.lingering:
			case c.mayClose() != safety.Allowed: // it asks in this moment
			case c.in != nil && c.headAt == 0 && now-c.since >= askWithin,
				c.in != nil && c.headAt > 0 && now-c.headAt >= bodyWithin+int64(float64(c.in.n)*1e6/(bodyRate*bodyMargin)):
				c.refuse(408, "request not complete in time")
			case c.in != nil:
			case !c.asked && now-c.since >= askWithin, idle >= idleAtMost:
				c.shut(endNotAsked)
			case c.asked && idle >= idleLeast && n.sockets() > 0 && len(n.clients) > n.sockets()/3:
				c.shut(endTooManyIdle) // more than clients need for their requests, silent ones counted
			}
		}
	}
}

// idleClient is the connection in a list that has held no request for the longest time, and at least for so long,
// or nil.
func (n *Node) idleClient(in *list.List, least int64) *client {
	for e := in.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); n.now()-c.idleSince < least {
			return nil
		} else if c.mayClose() == safety.Allowed {
			return c
		}
	}
	return nil
}
