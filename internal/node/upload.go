package node

import (
	"bytes"
	"errors"
	"math"
	"os"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// upload is a request that is too large to be held: it is passed on while it comes in. Its client's connection has left
// the poller until all of it has come.
type upload struct {
	early   [][]byte // what came behind the part of the body that is held
	tail    protocol.Message
	bad     bool // it should not have come: not much more of it is read
	flow    *flow
	flowing bool // bytes that cannot be sent again are gone
	done    bool
}

// never is the time of what has no time limit yet: that of a request counts from its last byte.
const never = math.MaxInt64

// startUpload has the connection leave the poller. What has come of the request is in c.in.
func (c *client) startUpload() {
	c.asked = true
	c.setIdle(false)
	c.upload = &upload{early: c.more}
	c.more = nil
	c.keeps(0)
	c.leave(func(file *os.File, rest []byte, err error) {
		c.n.post(func() { c.uploadBegins(file, rest, err) })
	}) // where it has ended, gone follows
}

// uploadBegins takes the request in, or refuses it.
func (c *client) uploadBegins(file *os.File, rest []byte, err error) {
	if err != nil {
		c.n.warn("connection could not leave the poller", "err", err)
	}
	if err != nil || c.closed || file == nil {
		if file != nil {
			_ = file.Close()
		}
		c.gone(endNoHandling)
		return
	}
	c.outside(file)
	n, u, buf := c.n, c.upload, c.in
	msg := c.msg
	c.in, c.msg = nil, protocol.Message{}
	u.early = append([][]byte{bytes.Clone(msg.Rest(buf.bytes()))}, append(u.early, rest)...)
	u.tail = msg.Tail()
	c.last = c.last || !msg.KeepAlive
	c.old, c.headOnly, c.headAt = msg.OldVersion(), false, 0
	if n.drain.late || n.drain.ending || n.flows >= n.flowsMost() {
		c.reply(buf, 503, nil, []byte("no room for a large request\n"), 0)
		return
	}
	r, status, why := n.admit(&msg, buf, n.now())
	if r == nil {
		c.last, u.bad = true, status != 503
		c.reply(buf, status, nil, []byte(why+"\n"), 0)
		return
	}
	r.upload, r.client, c.req = u, c, r
	r.wait = r.deadline - n.now()
	n.begin(r)
}

// pump passes on what the attempt's first write did not hold. From here on the request can't be sent again, and its time
// does not count until all of it has come.
func (n *Node) pump(b *backend, a *attempt) {
	r := a.req
	c, u := r.client, r.upload
	u.flowing = true
	r.deadline, a.till = never, never
	n.bal.HandleUpload(n.now(), r.id, true)
	f := u.newFlow(c, func(parts ...[]byte) error { return b.socket.write(parts) })
	f.broken = func() {
		n.post(func() {
			if !a.over { // not all of it was written: it has never begun
				n.closeBackend(b, endWriteFailed)
				n.settle(a, balancer.OutcomeConnectFailed, nil)
			}
		})
	}
	expect := r.msg.Expect && !c.continued
	c.continued = false
	n.flows++
	go func() {
		if expect {
			f.written = c.socket.write([][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
		}
		err := f.run()
		n.post(func() { n.uploaded(c, f, b, a, err) })
	}()
}

// discard reads what still comes of a request that has been answered: to close while it comes in would reset the
// connection, and the answer might not be seen.
func (c *client) discard() {
	u := c.upload
	u.flowing = true
	f := u.newFlow(c, func(...[]byte) error { return nil })
	if u.bad {
		f.most = lingerBytes
	}
	c.n.flows++
	go func() {
		err := f.run()
		c.n.post(func() { c.n.uploaded(c, f, nil, nil, err) })
	}()
}

func (u *upload) newFlow(c *client, to func(...[]byte) error) *flow {
	f := &flow{from: source{early: u.early, file: c.file}, msg: u.tail, buf: newBuffer(), to: to,
		chunked: u.tail.Length() < 0, paced: true}
	u.early, u.flow = nil, f
	return f
}

// uploaded is the end of a flow from a client.
func (n *Node) uploaded(c *client, f *flow, b *backend, a *attempt, err error) {
	u := c.upload
	rest := bytes.Clone(f.msg.Rest(f.buf.bytes()))
	for _, p := range f.from.early {
		rest = append(rest, p...)
	}
	f.buf.release()
	n.flowEnded()
	u.done = true
	r := c.req
	if err == nil && a != nil && !a.over {
		now := n.now()
		r := a.req
		r.deadline = n.answerBy(now, now+r.wait)
		a.sent, a.till = now, r.deadline
		n.at(a.till, func() { n.late(a) })
		n.bal.HandleUpload(now, r.id, false)
		if f.written == nil && !b.answered && !b.closed {
			b.written = true
			if b.down != nil {
				b.passOn()
			}
		} else {
			n.sent(b, a, f.written)
		}
	}
	defer func() { // the client's connection is back by then
		if b != nil {
			b.heard()
		}
	}()
	switch {
	case c.closed:
	case err != nil && r == nil: // answered already
		if !c.writing {
			c.close(endNotWhole)
		}
	case err == nil:
		c.cameWhole(rest)
	case errors.Is(err, errTooSlow), errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrBodyTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge):
		status := protocol.RejectionStatus(err)
		if errors.Is(err, errTooSlow) {
			status = 408
		}
		c.last = true
		n.answer(r, nil, status, nil, []byte(err.Error()+"\n"), 0)
		n.bal.HandleCancellation(n.now(), r.id)
	default:
		c.gone(endPeerClosed)
	}
	if err != nil && a != nil && !a.over {
		n.giveUp(a, balancer.OutcomeConnectFailed)
	}
}

// cameWhole returns the connection to the poller, with what came behind the request.
func (c *client) cameWhole(rest []byte) {
	if c.last && c.req == nil && !c.writing {
		c.shut(endLastAnswer)
		return
	}
	if c.writing { // an early answer is on its way through the descriptor; the connection closes behind it
		return
	}
	if !c.comeBack() {
		return
	}
	c.came, c.arrivals = 0, nil
	if len(rest) > 0 {
		c.in = newBuffer()
		c.begins(c.n.now())
		c.in.add(rest)
		c.arrived(len(rest), c.n.now())
	}
	if c.req == nil {
		c.setIdle(true)
		c.advance(c.n.now())
	}
}

// comeBack gives the poller a connection that had left it. Where that can't be, it is gone.
func (c *client) comeBack() bool {
	conn, err := back(c.file)
	c.upload = nil
	if err != nil {
		c.n.warn("connection could not rejoin the poller", "err", err)
		c.gone(endNoHandling)
		return false
	}
	c.inside(conn)
	c.onClose(c.ended(c.n))
	if err := conn.SetOnRequest(c.input); err != nil || !conn.IsActive() {
		c.n.post(func() { c.gone(endPeerClosed) })
	}
	return true
}

// flowsMost is how many large messages may pass through at once: a quarter of the memory is for them.
func (n *Node) flowsMost() int {
	if n.set.MemoryLimit <= 0 {
		return math.MaxInt
	}
	most := int(n.set.MemoryLimit / 4 / flowMemory)
	return max(most/max(n.shared, 1), 4)
}

// flowEnded lets the next one go on that waits for room.
func (n *Node) flowEnded() {
	n.flows--
	for len(n.flowQueue) > 0 && n.flows < n.flowsMost() {
		next := n.flowQueue[0]
		n.flowQueue = slices.Delete(n.flowQueue, 0, 1)
		next()
	}
}

// afterEarly is where an answer has been given while the request was still coming in.
func (c *client) afterEarly() {
	if !c.upload.flowing {
		c.discard()
	}
}
