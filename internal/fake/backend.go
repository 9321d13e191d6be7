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

// backendListener is one box's address for one node.
type backendListener struct {
	cluster *Cluster
	place   int
	node    int
	addr    string

	mu           sync.Mutex
	listener     *net.TCPListener // nil: the process does not run
	unreachable  bool             // the machine has vanished, or the link is cut
	queueFiller  net.Conn         // fills the queue of connections while the box is mute
	incarnation  any
	conns        map[*backendConn]bool
	stateChanged *sync.Cond // ln, mute, parked or end has changed
	acceptParked bool       // accept waits, and will take no connection until it is woken
	closed       bool
}

func newBackendListener(cluster *Cluster, place, node int, addr string) (*backendListener, error) {
	b := &backendListener{cluster: cluster, place: place, node: node, addr: addr, conns: map[*backendConn]bool{}, incarnation: cluster.live.Incarnation(place)}
	b.stateChanged = sync.NewCond(&b.mu)
	return b, b.listen()
}

func (b *backendListener) listen() error {
	ln, err := net.Listen("tcp4", b.addr)
	if err != nil {
		return fmt.Errorf("box %d for node %d: %w", b.place, b.node, err)
	}
	b.listener, b.addr = ln.(*net.TCPListener), ln.Addr().String()
	return nil
}

// setState brings the sockets in line with the box: a process that has died resets its connections and refuses new ones; a
// machine that is cut off says nothing, and new connections never come up.
func (b *backendListener) setState(running, unreachable bool, incarnation any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if incarnation != b.incarnation || !running && !unreachable {
		b.incarnation = incarnation
		for c := range b.conns {
			c.reset()
		}
	}
	switch {
	case !running && !unreachable && b.listener != nil:
		b.allowNewConnections()
		b.listener.Close()
		b.listener = nil
	case running && b.listener == nil:
		if err := b.listen(); err != nil {
			b.cluster.log.write(logEvent{Time: b.cluster.now(), Kind: "cannot listen: " + err.Error(), Node: b.node, Place: b.place})
			return
		}
	}
	if unreachable != b.unreachable {
		b.unreachable = unreachable
		if unreachable {
			b.blockNewConnections()
		} else {
			b.allowNewConnections()
			for c := range b.conns { // what was held back comes through
				c.stateChanged.Broadcast()
			}
		}
	}
	b.stateChanged.Broadcast()
}

// blockNewConnections lets no connection come up any more: the system's queue is cut to one, which a connection of our own fills, and
// what would go beyond is dropped as if the machine were gone.
func (b *backendListener) blockNewConnections() {
	if b.listener == nil {
		return
	}
	b.setBacklog(0)
	// Accept gives way; the loop then waits until the box speaks again. Errors mean that the listener is closed.
	_ = b.listener.SetDeadline(time.Unix(1, 0))
	for !b.acceptParked && !b.closed { // else it might take the plug
		b.stateChanged.Wait()
	}
	if b.closed {
		return
	}
	b.queueFiller, _ = net.DialTimeout("tcp4", b.addr, 100*time.Millisecond)
}

func (b *backendListener) allowNewConnections() {
	if b.queueFiller != nil {
		b.queueFiller.Close()
		b.queueFiller = nil
	}
	if b.listener != nil {
		b.setBacklog(unix.SOMAXCONN)
		_ = b.listener.SetDeadline(time.Time{})
	}
}

func (b *backendListener) setBacklog(length int) {
	raw, err := b.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { err = errors.Join(err, unix.Listen(int(fd), length)) })
	}
	if err != nil {
		b.cluster.log.write(logEvent{Time: b.cluster.now(), Kind: "backlog: " + err.Error(), Node: b.node, Place: b.place})
	}
}

func (b *backendListener) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.queueFiller != nil {
		b.queueFiller.Close()
	}
	if b.listener != nil {
		b.listener.Close()
	}
	for c := range b.conns {
		c.reset()
	}
	b.stateChanged.Broadcast()
}

// accept serves connections until the world ends.
func (b *backendListener) accept() {
	for {
		b.mu.Lock()
		for !b.closed && (b.listener == nil || b.unreachable) {
			b.acceptParked = true
			b.stateChanged.Broadcast()
			b.stateChanged.Wait()
		}
		b.acceptParked = false
		ln, end := b.listener, b.closed
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
		c := &backendConn{backend: b, conn: conn, firstRequest: true}
		c.stateChanged = sync.NewCond(&b.mu)
		b.mu.Lock()
		b.conns[c] = true
		c.incarnation = b.incarnation
		b.mu.Unlock()
		b.cluster.post(func() {
			b.cluster.ledger.totals.Connections++
			if b.cluster.live.Incarnation(b.place) == c.incarnation {
				b.cluster.live.Connected(b.place, 1)
				c.counted = true
			}
		})
		b.cluster.wg.Go(c.serve)
	}
}

// backendConn is one connection from a node.
type backendConn struct {
	backend      *backendListener
	conn         *net.TCPConn
	incarnation  any
	firstRequest bool
	counted      bool // in the box's number of connections; the world's goroutine's
	stateChanged *sync.Cond
	closed       bool
	inFlight     *exchange // in the box's hands, or nil; the world's goroutine's
}

// exchange is one request on a connection.
type exchange struct {
	conn     *backendConn
	id       string
	class    int
	backend  int
	pending  emulator.Pending
	ended    bool
	response chan []byte // what to write; nil: reset the connection
}

// reset ends the connection as a dying process does. The caller holds the server's lock.
func (c *backendConn) reset() {
	if !c.closed {
		c.closed = true
		_ = c.conn.SetLinger(0)
		c.conn.Close()
		c.stateChanged.Broadcast()
	}
}

// awaitReachable waits while the machine cannot be heard, and tells whether the connection is still there after that.
func (c *backendConn) awaitReachable() bool {
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	for c.backend.unreachable && !c.closed && !c.backend.closed {
		c.stateChanged.Wait()
	}
	return !c.closed
}

const backendIdleTimeout = 2 * time.Minute

func (c *backendConn) serve() {
	b := c.backend
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		c.closed = true
		b.mu.Unlock()
		c.conn.Close()
		b.cluster.post(func() {
			if c.counted && b.cluster.live.Incarnation(b.place) == c.incarnation {
				b.cluster.live.Connected(b.place, -1)
			}
			if c.inFlight != nil && !c.inFlight.ended {
				c.inFlight.ended = true
				b.cluster.live.Abandon(c.inFlight.pending)
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
				b.cluster.post(func() { b.cluster.ledger.totals.Unreadable++ })
				c.write([]byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
				return
			}
			if !whole {
				if buf = c.read(buf); buf == nil {
					return
				}
			}
		}
		if answer := c.answerHealthCheck(&m); answer != nil {
			if !c.awaitReachable() || !c.write(answer) || !m.KeepAlive {
				return
			}
			buf = append(buf[:0], m.Rest(buf)...)
			c.firstRequest = false
			continue
		}
		x, refused := c.dispatch(&m, buf)
		if refused != 0 {
			b.cluster.post(func() { b.cluster.ledger.totals.Unreadable++ })
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
		case answer = <-x.response:
		case <-gone:
			select {
			case early = <-more: // the next request has come before this one's answer
				answer = <-x.response
			default:
				return
			}
		}
		if answer == nil || !c.awaitReachable() {
			b.mu.Lock()
			c.reset()
			b.mu.Unlock()
			<-gone
			return
		}
		if !c.write(answer) || !keep {
			return
		}
		c.firstRequest = false
		if early == nil {
			// The reader beside us already waits for the next request's first bytes.
			<-gone
			select {
			case early = <-more:
			default:
				return
			}
		}
		if !c.awaitReachable() || len(rest)+len(early) > cap(buf) {
			return
		}
		buf = append(append(buf[:0], rest...), early...)
	}
}

func (c *backendConn) read(buf []byte) []byte {
	if len(buf) == cap(buf) {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(backendIdleTimeout))
	n, err := c.conn.Read(buf[len(buf):cap(buf)])
	if err != nil || !c.awaitReachable() {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return buf[:len(buf)+n]
}

func (c *backendConn) write(p []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := c.conn.Write(p)
	return err == nil
}

// answerHealthCheck is the answer to a probe, beside the queue; nil: it is none. Where settings forbid them, paths of probes are not there.
func (c *backendConn) answerHealthCheck(message *protocol.Message) []byte {
	b, path := c.backend, string(message.Target)
	if path != "/health" && path != "/status/load" || !b.cluster.scenario.Rules.AllowHealthChecks {
		return nil
	}
	var answer []byte
	b.cluster.call(func() {
		w, body := b.cluster, ""
		w.ledger.totals.Probes++
		if w.live.Incarnation(b.place) != c.incarnation {
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

// dispatch hands a whole request to the box, or tells the status by which it is refused.
func (c *backendConn) dispatch(message *protocol.Message, buf []byte) (*exchange, int) {
	b := c.backend
	id := string(message.Get("x-trace-id"))
	if id == "" {
		return nil, http.StatusNotFound
	}
	u, err := url.ParseRequestURI(string(message.Target))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	class := -1
	name, _, _ := bytes.Cut(bytes.TrimPrefix(message.Target, []byte("/")), []byte("?"))
	for i := range b.cluster.scenario.Classes {
		if string(name) == b.cluster.scenario.Classes[i].Name {
			class = i
		}
	}
	if class < 0 {
		return nil, http.StatusBadRequest
	}
	attempt := emulator.Attempt{Place: b.place, Node: b.node, ID: id, Repeat: id, Class: class, Fresh: c.firstRequest}
	if obj := u.Query().Get("obj"); obj != "" {
		attempt.Key = xxhash.Sum64String(obj)
	}
	if key := message.Get("idempotency-key"); len(key) > 0 {
		attempt.Repeat = string(key)
	}
	if ms, err := strconv.ParseInt(string(message.Get("x-expires-in-ms")), 10, 64); err == nil && ms > 0 {
		attempt.Timeout = ms * 1000
	}
	pendingExchange := &exchange{conn: c, id: id, class: class, response: make(chan []byte, 1)}
	attempt.Pending = pendingExchange
	tenant := string(message.Get("x-customer"))
	ok := b.cluster.post(func() {
		w := b.cluster
		now := w.now()
		if w.live.Incarnation(b.place) != c.incarnation {
			pendingExchange.ended = true
			pendingExchange.response <- nil
			return
		}
		c.inFlight = pendingExchange
		pendingExchange.backend = w.backendAt(b.place)
		late := w.ledger.recordArrival(now, b.node, b.place, pendingExchange.backend)
		w.log.write(logEvent{Time: now, Kind: "arrived", ID: id, Node: b.node, Backend: pendingExchange.backend, Place: b.place, Class: w.scenario.Classes[class].Name,
			Tenant: tenant, Key: attempt.Key})
		if late {
			w.log.write(logEvent{Time: now, Kind: "after-drain", ID: id, Node: b.node, Backend: pendingExchange.backend, Place: b.place})
		}
		pendingExchange.pending = w.live.Arrive(now, attempt)
	})
	if !ok {
		return nil, http.StatusServiceUnavailable
	}
	return pendingExchange, 0
}

// backendAt is the number of the process that has the address now.
func (cl *Cluster) backendAt(place int) int {
	backend := 0
	for _, l := range cl.endpoints {
		if l.Place == place {
			backend = max(backend, l.Backend)
		}
	}
	return backend
}

// finish is the end of the exchange at its box, on the world's goroutine.
func (x *exchange) finish(result emulator.Pending, outcome balancer.Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	x.conn.inFlight = nil
	cluster := x.conn.backend.cluster
	cluster.log.write(logEvent{Time: cluster.now(), Kind: "answered", ID: x.id, Node: x.conn.backend.node, Backend: x.backend, Place: x.conn.backend.place, Outcome: outcomeNames[outcome],
		Ran: result.Ran})
	x.response <- cluster.formatResponse(x, result, outcome)
}

var outcomeNames = map[balancer.Outcome]string{balancer.OutcomeOK: "ok", balancer.OutcomeServerError: "error", balancer.OutcomeRejected: "full",
	balancer.OutcomeReset: "reset"}

// formatResponse words an answer as PROTOCOL says; nil is a reset.
func (cl *Cluster) formatResponse(request *exchange, result emulator.Pending, outcome balancer.Outcome) []byte {
	status, extra, body := 200, "", "ran "+request.id+"\n"
	switch outcome {
	case balancer.OutcomeReset:
		return nil
	case balancer.OutcomeServerError:
		status, body = 500, ""
	case balancer.OutcomeRejected:
		status, extra, body = 503, "X-Never-Ran: 1\r\n", ""
	}
	if text := reportText(result.Report); text != "" {
		extra += "Endpoint-Load-Metrics: " + text + "\r\n"
	}
	head := ""
	switch cl.responseFault(request) {
	case faultinject.Garbage:
		return []byte("\x15\x03\x01\x00\x02noise instead of an answer\r\n\r\n")
	case faultinject.Interim:
		head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	}
	return fmt.Appendf(nil, "%sHTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", head, status, http.StatusText(status), extra, len(body), body)
}

// responseFault is the fault that hits how this answer is worded, or nothing. Of one request all answers fare alike.
func (cl *Cluster) responseFault(request *exchange) faultinject.Kind {
	draw := float64(xxhash.Sum64String(request.id)>>11) / (1 << 53)
	for _, f := range cl.responseFaults {
		if slices.Contains(f.Backends, request.conn.backend.place) && draw < f.Size {
			return f.Kind
		}
	}
	return ""
}
