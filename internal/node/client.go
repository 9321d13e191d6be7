package node

import (
	"bytes"
	"container/list"
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/protocol"
)

// writeTimeout is how long a client may take to read an answer.
const writeTimeout = 10 * time.Second

// client is a connection that a client opened.
type client struct {
	socket
	n         *Node
	in        *buffer
	msg       protocol.Message
	handed    atomic.Int32 // pieces of input on their way to receive
	req       *request     // taken from it and not answered
	writing   bool         // an answer is on its way
	last      bool         // the connection closes after this answer
	continued bool
	lingering bool // nothing more is read from it; it only waits for its refusal to be read
	closed    bool
	idle      *list.Element
	since     int64 // when the request that is coming in began
}

// Serve returns the event loop that takes clients in.
func (n *Node) Serve() (netpoll.EventLoop, error) {
	type key struct{}
	return netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			c := ctx.Value(key{}).(*client)
			at := n.now()
			b, err := take(conn)
			if err != nil {
				return err
			}
			c.handed.Add(1)
			n.post(func() { c.receive(b, at) })
			return nil
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			c := &client{n: n, socket: socket{conn: conn}}
			_ = conn.SetWriteTimeout(writeTimeout)
			c.onClose(func() { n.post(c.gone) })
			n.post(c.opened)
			return context.WithValue(context.Background(), key{}, c)
		}))
}

func (c *client) opened() {
	c.n.clients[c] = struct{}{}
	c.n.descriptors++
	if !c.n.makeRoom(0) { // beyond the cap, with nothing idle to close
		c.n.log.Warn("connection refused", "descriptors", c.n.descriptors)
		c.close()
		return
	}
	c.setIdle(true)
}

// setIdle keeps the list of connections that hold no request.
func (c *client) setIdle(on bool) {
	if c.idle != nil {
		c.n.idleClients.Remove(c.idle)
		c.idle = nil
	}
	if on && !c.closed {
		c.idle = c.n.idleClients.PushBack(c)
	}
}

// close ends the connection. Unless the client went first, it holds no unanswered request.
func (c *client) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.setIdle(false)
	delete(c.n.clients, c)
	c.n.descriptors--
	c.in.release()
	c.in = nil
	_ = c.conn.Close()
}

// gone is a connection that has ended.
func (c *client) gone() {
	req := c.req
	c.close()
	if c.req = nil; req != nil {
		c.n.clientGone(req)
	}
}

// receive takes in what the client sent.
func (c *client) receive(b *buffer, at int64) {
	defer b.release()
	c.handed.Add(-1)
	if c.closed || c.lingering {
		return
	}
	if c.in == nil {
		c.in, c.since = b.retain(), at
		c.advance(at)
		return
	}
	rest := b.bytes()
	for len(rest) > 0 && !c.closed && !c.lingering {
		if c.in == nil {
			c.in, c.since = newBuffer(), at
		}
		left := len(rest)
		if rest = c.in.add(rest); len(rest) == left { // full, and the request before is not answered yet
			c.last = true // what does not fit is dropped, so nothing behind it can be read
			return
		}
		c.advance(at)
	}
}

// advance reads the next request, if all before is answered.
func (c *client) advance(at int64) {
	if c.req != nil || c.writing || c.in == nil || c.in.n == 0 || c.closed {
		return
	}
	size, whole, err := c.msg.Request(c.in.bytes())
	if c.in.n = size; size == 0 { // nothing but empty lines
		c.in.release()
		c.in = nil
		return
	}
	switch {
	case err != nil:
		c.refuse(protocol.RefusalStatus(err), err.Error())
	case whole:
		c.setIdle(false)
		c.last = c.last || !c.msg.KeepAlive
		c.request(at)
	case size == protocol.BufferSize:
		c.refuse(413, protocol.ErrBodyTooLarge.Error())
	case c.msg.Started() && c.msg.Expect && !c.continued:
		c.continued, c.writing = true, true
		c.n.write(&c.socket, func(err error) {
			if c.writing = false; err != nil {
				c.close()
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
	if rest := c.msg.Rest(buf.bytes()); len(rest) > 0 {
		c.in, c.since = newBuffer(), at
		c.in.add(rest)
		buf.n -= len(rest)
	}
	msg := c.msg
	c.msg, c.continued = protocol.Message{}, false
	path, _, _ := bytes.Cut(msg.Target, []byte("?"))
	if string(path) == "/ready" {
		buf.release()
		if c.n.draining || !c.n.listed {
			c.reply(nil, 503, nil, []byte("not ready\n"), 0)
		} else {
			c.reply(nil, 200, nil, []byte("ready\n"), 0)
		}
		return
	}
	r, status, why := c.n.admit(&msg, buf, at)
	if r == nil {
		c.last = c.last || status == 405 // what answers a HEAD has no body: ours would be read as the next answer
		c.reply(buf, status, nil, []byte(why+"\n"), 0)
		return
	}
	r.client, c.req = c, r
	c.n.begin(r)
}

// lingerFor is how long a connection stays after the refusal of what could not be read, in microseconds. To
// close it while more of that comes in would reset it, and the client might never see the refusal.
const lingerFor = 500_000

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
	c.last = c.last || c.n.draining
	c.writing = true
	c.n.writing++
	head := newBuffer()
	out := protocol.AppendResponse(head.data[:0], status, fields, len(body), !c.last, retryAfter)
	c.n.write(&c.socket, func(err error) {
		c.n.writing--
		c.writing = false
		head.release()
		held.release()
		switch {
		case err == nil && c.lingering:
			c.setIdle(true)
			c.n.at(c.n.now()+lingerFor, c.close)
		case err != nil || c.last:
			c.close()
		case c.n.draining && c.in == nil && c.unread() == 0: // the drain began after this answer did
			c.close()
		default:
			c.setIdle(true)
			c.advance(c.n.now())
		}
	}, out, body)
}

// refuseStalled refuses the requests that have begun and not come in whole within a time. Nobody waits for their
// answer any more, and each holds a descriptor and a buffer.
func (n *Node) refuseStalled(within int64) {
	for e := n.idleClients.Front(); e != nil; {
		c := e.Value.(*client)
		e = e.Next()
		if c.in != nil && !c.writing && !c.lingering && c.unread() == 0 && n.now()-c.since >= within {
			c.refuse(408, "request not complete in time")
		}
	}
}

// unread is how much has come in that Run's goroutine has not seen, in bytes or pieces. A connection with such
// input may hold a whole request: it is not idle, and to close it would lose that.
func (c *client) unread() int { return c.conn.Reader().Len() + int(c.handed.Load()) }

// oldestIdleClient is the connection that has held no request for the longest time, or nil.
func (n *Node) oldestIdleClient() *client {
	for e := n.idleClients.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); c.unread() == 0 {
			return c
		}
	}
	return nil
}

// closeIdleClients closes the connections that hold nothing, not even a part of a request.
func (n *Node) closeIdleClients() {
	for e := n.idleClients.Front(); e != nil; {
		c := e.Value.(*client)
		e = e.Next()
		if c.in == nil && c.unread() == 0 {
			c.close()
		}
	}
}
