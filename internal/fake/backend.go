package fake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/protocol"
	"tulipglade/internal/simulation/emulator"
)

// boxServer is one box's address for one node.
type boxServer struct {
	w     *Cluster
	place int
	node  int
	addr  string

	mu    sync.Mutex
	ln    *net.TCPListener // nil: the process does not run
	mute  bool             // the machine has vanished, or the link is cut
	plug  net.Conn         // fills the queue of connections while the box is mute
	life  any
	conns map[*boxConn]bool
	wake  *sync.Cond // ln, mute, parked or end has changed
	park  bool       // accept waits, and will take no connection until it is woken
	end   bool
}

func newBoxServer(w *Cluster, place, node int, addr string) (*boxServer, error) {
	b := &boxServer{w: w, place: place, node: node, addr: addr, conns: map[*boxConn]bool{}, life: w.live.Incarnation(place)}
	b.wake = sync.NewCond(&b.mu)
	return b, b.open()
}

func (b *boxServer) open() error {
	ln, err := net.Listen("tcp4", b.addr)
	if err != nil {
		return fmt.Errorf("box %d for node %d: %w", b.place, b.node, err)
	}
	b.ln, b.addr = ln.(*net.TCPListener), ln.Addr().String()
	return nil
}

// follow brings the sockets in line with the box: a process that has died resets its connections and refuses new ones; a
// machine that is cut off says nothing, and new connections never come up.
func (b *boxServer) follow(up, mute bool, life any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end {
		return
	}
	if life != b.life || !up && !mute {
		b.life = life
		for c := range b.conns {
			c.reset()
		}
	}
	switch {
	case !up && !mute && b.ln != nil:
		b.unplug()
		b.ln.Close()
		b.ln = nil
	case up && b.ln == nil:
		if err := b.open(); err != nil {
			b.w.log.write(event{At: b.w.now(), What: "cannot listen: " + err.Error(), Node: b.node, Place: b.place})
			return
		}
	}
	if mute != b.mute {
		b.mute = mute
		if mute {
			b.plugUp()
		} else {
			b.unplug()
			for c := range b.conns { // what was held back comes through
				c.wake.Broadcast()
			}
		}
	}
	b.wake.Broadcast()
}

// plugUp lets no connection come up any more: the system's queue is cut to one, which a connection of our own fills, and
// what would go beyond is dropped as if the machine were gone.
func (b *boxServer) plugUp() {
	if b.ln == nil {
		return
	}
	b.backlog(0)
	// Accept gives way; the loop then waits until the box speaks again. Errors mean that the listener is closed.
	_ = b.ln.SetDeadline(time.Unix(1, 0))
	for !b.park && !b.end { // else it might take the plug
		b.wake.Wait()
	}
	if b.end {
		return
	}
	b.plug, _ = net.DialTimeout("tcp4", b.addr, 100*time.Millisecond)
}

func (b *boxServer) unplug() {
	if b.plug != nil {
		b.plug.Close()
		b.plug = nil
	}
	if b.ln != nil {
		b.backlog(unix.SOMAXCONN)
		_ = b.ln.SetDeadline(time.Time{})
	}
}

func (b *boxServer) backlog(n int) {
	raw, err := b.ln.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { err = errors.Join(err, unix.Listen(int(fd), n)) })
	}
	if err != nil {
		b.w.log.write(event{At: b.w.now(), What: "backlog: " + err.Error(), Node: b.node, Place: b.place})
	}
}

func (b *boxServer) shut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = true
	if b.plug != nil {
		b.plug.Close()
	}
	if b.ln != nil {
		b.ln.Close()
	}
	for c := range b.conns {
		c.reset()
	}
	b.wake.Broadcast()
}

// accept serves connections until the world ends.
func (b *boxServer) accept() {
	for {
		b.mu.Lock()
		for !b.end && (b.ln == nil || b.mute) {
			b.park = true
			b.wake.Broadcast()
			b.wake.Wait()
		}
		b.park = false
		ln, end := b.ln, b.end
		b.mu.Unlock()
		if end {
			return
		}
		conn, err := ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			time.Sleep(time.Millisecond) // a deadline that plugUp set, or descriptors that ran out
			continue
		}
		c := &boxConn{b: b, conn: conn, first: true}
		c.wake = sync.NewCond(&b.mu)
		b.mu.Lock()
		b.conns[c] = true
		c.life = b.life
		b.mu.Unlock()
		b.w.post(func() {
			b.w.ledger.sums.Connections++
			if b.w.live.Incarnation(b.place) == c.life {
				b.w.live.Connected(b.place, 1)
				c.counted = true
			}
		})
		b.w.wg.Go(c.serve)
	}
}

// boxConn is one connection from a node.
type boxConn struct {
	b       *boxServer
	conn    *net.TCPConn
	life    any
	first   bool
	counted bool // in the box's number of connections; the world's goroutine's
	wake    *sync.Cond
	closed  bool
	out     *exchange // in the box's hands, or nil; the world's goroutine's
}

// exchange is one request on a connection.
type exchange struct {
	c       *boxConn
	id      string
	class   int
	box     int
	pending emulator.Pending
	ended   bool
	answers chan []byte // what to write; nil: reset the connection
}

// reset ends the connection as a dying process does. The caller holds the server's lock.
func (c *boxConn) reset() {
	if !c.closed {
		c.closed = true
		_ = c.conn.SetLinger(0)
		c.conn.Close()
		c.wake.Broadcast()
	}
}

// hold waits while the machine cannot be heard, and tells whether the connection is still there after that.
func (c *boxConn) hold() bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	for c.b.mute && !c.closed && !c.b.end {
		c.wake.Wait()
	}
	return !c.closed
}

const boxIdle = 2 * time.Minute

func (c *boxConn) serve() {
	b := c.b
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		c.closed = true
		b.mu.Unlock()
		c.conn.Close()
		b.w.post(func() {
			if c.counted && b.w.live.Incarnation(b.place) == c.life {
				b.w.live.Connected(b.place, -1)
			}
			if c.out != nil && !c.out.ended {
				c.out.ended = true
				b.w.live.Abandon(c.out.pending)
			}
		})
	}()
	buf := make([]byte, 0, protocol.BufferSize)
	for {
		var m protocol.Message
		whole := false
		for !whole {
			n, w, err := m.Request(buf)
			buf, whole = buf[:n], w
			if err != nil {
				b.w.post(func() { b.w.ledger.sums.Unreadable++ })
				c.write([]byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
				return
			}
			if !whole {
				if buf = c.read(buf); buf == nil {
					return
				}
			}
		}
		if answer := c.probe(&m); answer != nil {
			if !c.hold() || !c.write(answer) || !m.KeepAlive {
				return
			}
			buf = append(buf[:0], m.Rest(buf)...)
			c.first = false
			continue
		}
		x, refused := c.request(&m, buf)
		if refused != 0 {
			b.w.post(func() { b.w.ledger.sums.Unreadable++ })
			c.write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", refused, http.StatusText(refused)))
			return
		}
		// While the box works, a node that gives up closes its connection, or ends its sending on it.
		gone := make(chan struct{})
		more := make(chan []byte, 1)
		rest := append([]byte(nil), m.Rest(buf)...)
		keep := m.KeepAlive
		go func() {
			defer close(gone)
			next := make([]byte, 4096)
			n, err := c.conn.Read(next)
			if err == nil {
				more <- next[:n]
			}
		}()
		var answer []byte
		var early []byte
		select {
		case answer = <-x.answers:
		case <-gone:
			select {
			case early = <-more: // the next request has come before this one's answer
				answer = <-x.answers
			default:
				return
			}
		}
		if answer == nil || !c.hold() {
			b.mu.Lock()
			c.reset()
			b.mu.Unlock()
			<-gone
			return
		}
		if !c.write(answer) || !keep {
			return
		}
		c.first = false
		if early == nil {
			// The reader beside us already waits for the next request's first bytes.
			<-gone
			select {
			case early = <-more:
			default:
				return
			}
		}
		if !c.hold() || len(rest)+len(early) > cap(buf) {
			return
		}
		buf = append(append(buf[:0], rest...), early...)
	}
}

func (c *boxConn) read(buf []byte) []byte {
	if len(buf) == cap(buf) {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(boxIdle))
	n, err := c.conn.Read(buf[len(buf):cap(buf)])
	if err != nil || !c.hold() {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return buf[:len(buf)+n]
}

func (c *boxConn) write(p []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := c.conn.Write(p)
	return err == nil
}

// probe is the answer to a probe, beside the queue; nil: it is none. Where settings forbid them, paths of probes are not there.
func (c *boxConn) probe(m *protocol.Message) []byte {
	b, path := c.b, string(m.Target)
	if path != "/health" && path != "/status/load" || !b.w.sc.Rules.AllowHealthChecks {
		return nil
	}
	var answer []byte
	b.w.ask(func() {
		w, body := b.w, ""
		w.ledger.sums.Probes++
		if w.live.Incarnation(b.place) != c.life {
			return
		}
		if path == "/status/load" {
			body = reportText(w.live.Probe(w.now(), b.place))
		}
		answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	if answer == nil { // the process that was asked has ended
		answer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
	return answer
}

// request hands a whole request to the box, or tells the status by which it is refused.
func (c *boxConn) request(m *protocol.Message, buf []byte) (*exchange, int) {
	b := c.b
	id := string(m.Get("x-trace-id"))
	if id == "" {
		return nil, http.StatusNotFound
	}
	u, err := url.ParseRequestURI(string(m.Target))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	class := -1
	name, _, _ := bytes.Cut(bytes.TrimPrefix(m.Target, []byte("/")), []byte("?"))
	for i := range b.w.sc.Classes {
		if string(name) == b.w.sc.Classes[i].Name {
			class = i
		}
	}
	if class < 0 {
		return nil, http.StatusBadRequest
	}
	in := emulator.Attempt{Place: b.place, Node: b.node, ID: id, Repeat: id, Class: class, Fresh: c.first}
	if obj := u.Query().Get("obj"); obj != "" {
		in.Key = xxhash.Sum64String(obj)
	}
	if key := m.Get("idempotency-key"); len(key) > 0 {
		in.Repeat = string(key)
	}
	if ms, err := strconv.ParseInt(string(m.Get("x-expires-in-ms")), 10, 64); err == nil && ms > 0 {
		in.Timeout = ms * 1000
	}
	x := &exchange{c: c, id: id, class: class, answers: make(chan []byte, 1)}
	in.Pending = x
	tenant := string(m.Get("x-customer"))
	ok := b.w.post(func() {
		w := b.w
		now := w.now()
		if w.live.Incarnation(b.place) != c.life {
			x.ended = true
			x.answers <- nil
			return
		}
		c.out = x
		x.box = w.boxOf(b.place)
		late := w.ledger.arrived(now, b.node, b.place, x.box)
		w.log.write(event{At: now, What: "arrived", ID: id, Node: b.node, Box: x.box, Place: b.place, Class: w.sc.Classes[class].Name,
			Tenant: tenant, Key: in.Key})
		if late {
			w.log.write(event{At: now, What: "after-drain", ID: id, Node: b.node, Box: x.box, Place: b.place})
		}
		x.pending = w.live.Arrive(now, in)
	})
	if !ok {
		return nil, http.StatusServiceUnavailable
	}
	return x, 0
}

// boxOf is the number of the process that has the address now.
func (w *Cluster) boxOf(place int) int {
	box := 0
	for _, l := range w.state {
		if l.Place == place {
			box = max(box, l.Backend)
		}
	}
	return box
}

// answer is the end of the exchange at its box, on the world's goroutine.
func (x *exchange) answer(p emulator.Pending, out balancer.Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	x.c.out = nil
	w := x.c.b.w
	w.log.write(event{At: w.now(), What: "answered", ID: x.id, Node: x.c.b.node, Box: x.box, Place: x.c.b.place, Outcome: outcomeNames[out],
		Ran: p.Ran})
	x.answers <- w.response(x, p, out)
}

var outcomeNames = map[balancer.Outcome]string{balancer.OutcomeOK: "ok", balancer.OutcomeServerError: "error", balancer.OutcomeRejected: "full",
	balancer.OutcomeReset: "reset"}

// response words an answer as PROTOCOL says; nil is a reset.
func (w *Cluster) response(x *exchange, p emulator.Pending, out balancer.Outcome) []byte {
	status, extra, body := 200, "", "ran "+x.id+"\n"
	switch out {
	case balancer.OutcomeReset:
		return nil
	case balancer.OutcomeServerError:
		status, body = 500, ""
	case balancer.OutcomeRejected:
		status, extra, body = 503, "X-Never-Ran: 1\r\n", ""
	}
	if text := reportText(p.Report); text != "" {
		extra += "Endpoint-Load-Metrics: " + text + "\r\n"
	}
	head := ""
	switch w.spoils(x) {
	case faultinject.Garbage:
		return []byte("\x15\x03\x01\x00\x02noise instead of an answer\r\n\r\n")
	case faultinject.Interim:
		head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	}
	return fmt.Appendf(nil, "%sHTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", head, status, http.StatusText(status), extra, len(body), body)
}

// spoils is the fault that hits how this answer is worded, or nothing. Of one request all answers fare alike.
func (w *Cluster) spoils(x *exchange) faultinject.Kind {
	draw := float64(xxhash.Sum64String(x.id)>>11) / (1 << 53)
	for _, f := range w.spoilt {
		if slices.Contains(f.Backends, x.c.b.place) && draw < f.Size {
			return f.Kind
		}
	}
	return ""
}
