package node

import (
	"bytes"
	"os"

	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// download is an answer that is too large to be held: it is passed on while it comes in. The first bytes make it the
// answer of its request, and the attempt has been settled then. Its backend's connection has left the poller.
type download struct {
	att   *attempt
	held  bool     // its connection can't leave yet: the request is still being written
	early [][]byte // what came while the connection left
	size  int
}

// startDownload has the connection leave the poller. What has come of the answer is in b.in.
func (b *backend) startDownload() {
	n, a := b.n, b.att
	if out := outcome(&b.msg); out != balancer.OutcomeOK || a.req.done || a.probe { // nobody wants it
		if a.probe {
			out = balancer.OutcomeReset // what it says of its load could not be read
		}
		report := loadReport(&b.msg)
		n.closeBackend(b, endUnwantedBytes)
		n.settle(a, out, report)
		return
	}
	b.down = &download{att: a, held: !b.written}
	if b.written {
		b.passOn()
	}
}

// passOn begins the way out of the poller.
func (b *backend) passOn() {
	n := b.n
	b.down.held = false
	b.leave(func(file *os.File, rest []byte, err error) {
		n.post(func() { n.downloadBegins(b, file, rest, err) })
	}) // where it has ended, gone follows
}

// downloadBegins gives the client the beginning of its answer. Without a file the backend's connection has ended, and
// what came of it is all there is.
func (n *Node) downloadBegins(b *backend, file *os.File, rest []byte, err error) {
	d := b.down
	a := d.att
	if b.closed || a.over || err != nil {
		if file != nil {
			_ = file.Close()
		}
		n.closeBackend(b, endCutOff)
		n.settle(a, balancer.OutcomeReset, nil)
		return
	}
	if file != nil {
		b.outside(file)
	}
	n.learnIdle(b.idleFor, false)
	b.idleFor = 0
	r, in, msg := a.req, b.in, b.msg
	c := r.client
	b.att, b.in = nil, nil
	report := loadReport(&msg)
	if !n.end(r) {
		in.release()
		n.closeBackend(b, endGivenUp)
		n.settle(a, balancer.OutcomeOK, report)
		return
	}
	length := msg.Length()
	switch {
	case length < 0 && c.old:
		length = protocol.UntilClose
		c.last = true
	case length < 0:
		length = protocol.Chunked
	}
	c.req = nil
	c.last = c.last || n.drain.on || c.upload != nil
	c.writing, c.down = true, b
	n.writing++
	f := &flow{from: source{early: append(d.early, rest), file: file, inEnd: file == nil && b.fin}, msg: msg, buf: in,
		chunked: length == protocol.Chunked, to: func(parts ...[]byte) error { return c.socket.write(parts) }}
	head := newBuffer()
	out := protocol.AppendResponse(head.data[:0], 200, msg.Fields, length, !c.last, 0)
	start := func() {
		n.flows++
		go func() {
			err := f.to(out)
			if err == nil {
				err = f.run()
			}
			n.post(func() {
				head.release()
				n.downloaded(b, c, f, err, length == protocol.UntilClose)
			})
		}()
	}
	if n.flows < n.flowsMost() {
		start()
	} else {
		n.flowQueue = append(n.flowQueue, start)
	}
	n.settle(a, balancer.OutcomeOK, report)
}

// downloaded is the end of a flow from a backend.
func (n *Node) downloaded(b *backend, c *client, f *flow, err error, untilClose bool) {
	whole := err == nil && f.written == nil
	clean := whole && len(f.msg.Rest(f.buf.bytes())) == 0 && len(f.from.early) == 0 && f.msg.KeepAlive && !f.msg.UntilEnd()
	f.buf.release()
	n.flowEnded()
	n.writing--
	c.writing, c.down = false, nil
	if !whole {
		n.warn("answer cut off", "host", b.host.addr, "err", err, "client", f.written)
	}
	switch {
	case c.closed:
	case !whole:
		c.breakOff(untilClose)
	case c.last && c.upload != nil && !c.upload.done: // the request is still coming in
		c.afterEarly()
	case c.last:
		c.shut(endLastAnswer)
	default:
		c.setIdle(true)
		c.advance(n.now())
	}
	b.down = nil
	if !clean || b.closed || b.file == nil {
		n.closeBackend(b, endNotKept)
		return
	}
	conn, err := back(b.file)
	if err != nil {
		b.file = nil
		n.closeBackend(b, endNoHandling)
		return
	}
	b.inside(conn)
	b.msg = protocol.Message{}
	b.onClose(func() { n.post(b.gone) })
	if err := conn.SetOnRequest(b.input); err != nil || !conn.IsActive() {
		n.closeBackend(b, endNoHandling)
		return
	}
	n.reuse(b)
}

// breakOff ends a connection within an answer, so that its client can tell.
func (c *client) breakOff(untilClose bool) {
	if f, ok := c.conn.(interface{ Fd() int }); ok && untilClose && c.file == nil { // an end in order would look like that of the answer
		_ = unix.SetsockoptLinger(f.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close(endCutOff)
}

// heldMost bounds what is kept of a large answer to a request that is still being written. All of it has been written when
// a backend answers: only the word of that is on its way.
const heldMost = 1 << 20

// hold keeps what comes while the connection cannot be read in pieces yet.
func (d *download) hold(p []byte) error {
	d.early = earlyData(d.early, p)
	if d.size += len(p); d.held && d.size > heldMost {
		return errEarly
	}
	return nil
}

// earlyData keeps what comes while the connection leaves the poller.
func earlyData(early [][]byte, p []byte) [][]byte { return append(early, bytes.Clone(p)) }
