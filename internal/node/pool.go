package node

import (
	"container/list"
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// host is one backend that discovery has named. Its id is never used again.
type host struct {
	id        balancer.EndpointID
	addr      string
	state     protocol.State
	boot      int64
	zone      string // as discovery tells it, with the next two
	cell      int
	weight    float64
	goneAt    int64 // when discovery said so, or left it off a whole list; 0: it is listed
	leftAt    int64 // when it was first heard that it drains or is gone; 0: it is in service
	twiceTill int64 // until when it is held to answer requests twice
	life      int   // counts its processes: a connection to an earlier one is never used again
	idle      []*backend
	waiting   []*attempt // for a connection
	dials     int        // connections on their way
	probes    int        // out, and not settled
}

// backend is a connection to a host. It carries one request at a time.
type backend struct {
	socket
	n         *Node
	host      *host
	life      int
	att       *attempt
	in        *buffer
	msg       protocol.Message
	up        bool      // the pool has it
	written   bool      // the request's last byte is
	answered  bool      // whole, before the writer said that it was done
	down      *download // it passes on an answer too large to be held
	kept      []*buffer // what came before the word that all of a large request has gone
	hungUp    bool      // the other side has closed while the request was being written
	closed    bool
	idle      *list.Element
	idleSince int64
	idleFor   int64 // before the attempt it carries; 0: it is new
	servedAt  int64 // when it last brought the answer to a request: another may follow that; 0: never
}

// merge takes a list into the pool and turns it into the module's form. A list that is older than the last one, as
// that of a discovery which has just taken over may be, adds hosts and tells of drains, but brings nothing back that
// is known to have gone on since, and what it leaves off is not gone.
func (n *Node) merge(l protocol.List, kind balancer.ListKind) ([]balancer.Endpoint, balancer.ListKind) {
	old := l.Rev < n.rev
	n.rev = max(n.rev, l.Rev)
	if old {
		kind = balancer.ListDelta
	}
	out := make([]balancer.Endpoint, 0, len(l.Targets))
	listed := make(map[*host]bool, len(l.Targets))
	for _, t := range l.Targets {
		h := n.byUID[t.UID]
		switch {
		case h == nil && (t.State == protocol.Terminated || old && n.forgotten.has(t.UID, t.BootMs)):
			continue
		case h == nil:
			n.lastHost++
			h = &host{id: n.lastHost, addr: t.Endpoint, boot: t.BootMs}
			n.hosts[h.id], n.byUID[t.UID] = h, h
		case old && (t.BootMs < h.boot || t.BootMs == h.boot && t.State < h.state):
			continue
		}
		listed[h] = true
		h.setState(t.State, n.now())
		h.goneAt = 0
		switch {
		case t.State == protocol.Terminated:
			n.hostGone(h)
		case h.addr != t.Endpoint || h.boot != t.BootMs: // another process
			h.life++
			n.closeIdleBackends(h, endOutdated)
			h.addr = t.Endpoint
		case t.State == protocol.Terminating: // it gets nothing new
			n.closeIdleBackends(h, endOutdated)
		}
		h.boot, h.zone, h.cell, h.weight = t.BootMs, t.Zone, t.Cell, t.Weight
		zone, ok := n.zones[t.Zone]
		if !ok {
			zone = -1
		}
		phase := map[protocol.State]balancer.Phase{protocol.InService: balancer.PhaseReady,
			protocol.Terminating: balancer.PhaseDraining, protocol.Terminated: balancer.PhaseRemoved}[t.State]
		out = append(out, balancer.Endpoint{ID: h.id, StableKey: xxhash.Sum64String(t.UID), Phase: phase, Zone: zone, Cell: t.Cell, Weight: t.Weight,
			StartedAt: t.BootMs * 1000})
	}
	for _, h := range n.hosts {
		if kind != balancer.ListDelta && !listed[h] && h.goneAt == 0 {
			h.setState(protocol.Terminated, n.now())
			n.hostGone(h)
		}
	}
	return out, kind
}

// hostKept is for how long a host that is gone is remembered, in microseconds: longer than any attempt at it may
// take, and than an old list may come late.
const hostKept = 60_000_000

// hostGone notes that a host is gone. Connections to it that still carry an attempt close after that.
func (n *Node) hostGone(h *host) {
	h.goneAt = n.now()
	h.life++
	n.closeIdleBackends(h, endOutdated)
}

// forgetHosts drops the hosts that have been gone for long: every release brings new ones.
func (n *Node) forgetHosts() {
	for uid, h := range n.byUID {
		if h.goneAt > 0 && n.now()-h.goneAt >= hostKept {
			delete(n.byUID, uid)
			delete(n.hosts, h.id)
			n.forgotten.add(uid, h.boot)
		}
	}
}

// restFor is how long a connection rests after an answer while others will do, in microseconds. A host that closes a
// connection says so behind its last answer: a request that crosses this ends as one that may have run. Of a host that has
// lately answered a request twice, connections rest whether others will do or not: its second answers come some
// milliseconds late, and the next request would be given one for its own. To let all rest so costs far more than it saves.
const restFor = 10_000

// Hosts, or what is between, may drop idle connections sooner than told, and without a word: the next request is
// reset, and counts as one that may have run. So the node learns after how long connections break at once.
const (
	idleMemory = 0.95       // of the earlier attempts on connections idle for about as long, with each new one
	idleSeen   = 3          // attempts at least
	idleBroken = 0.35       // share of them that broke, far more than break for other reasons
	idleTrust  = 30_000_000 // for so long nothing that was idle for longer is used, in microseconds
)

// idleRecord is how attempts on connections fared that had been idle for about as long.
type idleRecord struct{ seen, broken float64 }

// learnIdle takes in how an attempt on a connection that had been idle has ended. Only what broke at once, with no
// byte of an answer, broke for that: a host that dies takes all attempts with it, whatever they were sent on.
func (n *Node) learnIdle(idle int64, broke bool) {
	if idle <= restFor {
		return
	}
	k := int(2 * math.Log2(float64(idle))) // two steps to a doubling
	r := &n.idleRecords[min(k, len(n.idleRecords)-1)]
	r.seen, r.broken = idleMemory*r.seen+1, idleMemory*r.broken
	if broke {
		r.broken++
	}
	if r.seen >= idleSeen-0.2 && r.broken > idleBroken*r.seen {
		*r = idleRecord{}
		n.idleMost, n.idleMostTill = int64(math.Exp2(float64(k)/2)), n.now()+idleTrust
		n.log.Info("idle connections break", "after_us", n.idleMost)
	}
}

// idleLimit is how long a connection to a backend may have been idle and still be used.
func (n *Node) idleLimit() int64 {
	limit := int64(math.MaxInt64)
	if n.set.Keepalive > 0 {
		limit = n.set.Keepalive / 2
	}
	if n.now() < n.idleMostTill {
		limit = min(limit, n.idleMost)
	}
	return limit
}

// rested takes the idle connection to a host that was used last, but for those that may be about to close, of which it
// is the one that has waited longest, those that rest, and those that are no longer good: these close. It is nil where
// there is none.
func (n *Node) rested(h *host) *backend {
	now := n.now()
	var good, fresh *backend
	for i := len(h.idle) - 1; i >= 0 && good == nil; i-- {
		b := h.idle[i]
		switch {
		case h.rests(b, now):
		case now-b.idleSince >= n.idleLimit() || !b.clean():
			n.closeBackend(b, endNotClean) // idle for too long, closed, or with input that no request asked for
		case now-b.idleSince < restFor:
			fresh = b
		default:
			good = b
		}
	}
	if good == nil {
		good = fresh
	}
	if good != nil {
		good.idleFor = now - good.idleSince
		n.setIdle(good, false)
	}
	return good
}

// rests tells that the next request on a connection might be given a second answer to the last.
func (h *host) rests(b *backend, now int64) bool {
	return now < h.twiceTill && now-b.servedAt < restFor
}

// connect gives an attempt a connection: an idle one, one that will have rested soon, or a new one.
func (n *Node) connect(a *attempt) {
	h := a.host
	if b := n.rested(h); b != nil {
		n.send(b, a)
		return
	}
	resting := len(h.idle)+h.dials > len(h.waiting) && len(h.idle) > 0
	if !resting && !a.probe && !n.makeRoom(1) {
		n.warn("no descriptor for a connection", "descriptors", n.descriptors)
		n.settle(a, balancer.OutcomeConnectFailed, nil)
		return
	}
	at := len(h.waiting)
	for !a.probe && at > 0 && h.waiting[at-1].probe {
		at--
	}
	h.waiting = slices.Insert(h.waiting, at, a)
	if resting {
		n.lookAgain(h)
	} else {
		n.dial(h)
	}
	n.at(n.now()+n.set.ConnectTimeout, func() {
		if !a.over && a.backend == nil {
			n.giveUp(a, balancer.OutcomeConnectFailed)
		}
	})
}

func (n *Node) dial(h *host) {
	b := &backend{n: n, host: h, life: h.life}
	h.dials++
	n.descriptors++
	addr, within := h.addr, time.Duration(n.set.ConnectTimeout)*time.Microsecond
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, within)
		if err == nil {
			err = b.take(conn)
		}
		n.post(func() { n.dialled(b, err) })
	}()
}

// take takes up a connection that has come up. From here on what the host sends goes to Run's goroutine, which has not heard of it yet.
func (b *backend) take(conn netpoll.Connection) error {
	b.conn = conn
	_ = conn.SetWriteTimeout(writeTimeout)
	if c, ok := conn.(interface{ Fd() int }); ok {
		_ = boundReceive(uintptr(c.Fd()))
	}
	b.onClose(func() { b.n.post(b.gone) })
	return conn.SetOnRequest(b.input)
}

// input hands on what the poller has read.
func (b *backend) input(_ context.Context, conn netpoll.Connection) error {
	return b.hand(conn, b.n, b.receive)
}

// dialled is a connection that has come up or not. It goes to whoever has waited longest.
func (n *Node) dialled(b *backend, err error) {
	h := b.host
	h.dials--
	b.up = true
	if err != nil || !b.conn.IsActive() {
		if !b.closed { // else its host spoke before it was asked, and receive has closed it
			b.closed = true
			n.descriptors--
		}
		if b.conn != nil {
			_ = b.conn.Close()
		}
		if len(h.waiting) > h.dials+len(h.idle) { // one of them waits in vain
			n.log.Debug("connect failed", "host", h.addr, "err", err)
			w := h.waiting[0]
			if last := h.waiting[len(h.waiting)-1]; last.probe {
				w = last
			}
			n.giveUp(w, balancer.OutcomeConnectFailed)
		}
		return
	}
	n.reuse(b)
}

// reuse gives a connection that carries nothing to the next attempt, or keeps it.
func (n *Node) reuse(b *backend) {
	h := b.host
	switch {
	case b.closed:
	case b.life != h.life || !b.clean() || h.state != protocol.InService && len(h.waiting) == 0:
		n.closeBackend(b, endNotClean)
		n.supply(h)
	default:
		n.setIdle(b, true)
		if len(h.waiting) > 0 {
			n.handOver(h)
		}
	}
}

// handOver gives the connections that have rested to those who wait, the longest first.
func (n *Node) handOver(h *host) {
	for len(h.waiting) > 0 {
		if a := h.waiting[0]; n.mayBegin(a) != safety.Allowed { // since it was asked for
			h.waiting = h.waiting[1:]
			n.settle(a, balancer.OutcomeNotSent, nil)
		} else if b := n.rested(h); b != nil {
			h.waiting = h.waiting[1:]
			n.send(b, a)
		} else {
			n.supply(h)
			n.lookAgain(h)
			return
		}
	}
	if h.state != protocol.InService {
		n.closeIdleBackends(h, endOutdated)
	}
}

// mayBegin tells whether an attempt that has waited may still begin, at the moment in which its first byte would be written, and if not, why.
func (n *Node) mayBegin(a *attempt) (why safety.Reason) {
	switch {
	case a.probe && a.host.state != protocol.InService:
		why = safety.BackendDraining
	case a.probe:
	case a.req.done:
		why = safety.RequestDone
	case n.left(a.req):
		why = safety.ClientDisconnected
	default:
		why = n.bal.MayStartAttempt(n.now(), a.req.id, a.number)
	}
	if why != safety.Allowed {
		n.withheld(a, why)
	}
	return why
}

// lookAgain has the next connection that will have rested handed over then. All idle ones rest, or somebody would have them.
func (n *Node) lookAgain(h *host) {
	next := int64(never)
	for _, b := range h.idle {
		next = min(next, b.servedAt+restFor)
	}
	if next < never {
		n.at(next, func() { n.handOver(h) })
	}
}

// supply opens connections until there is one for each who waits: on its way, or resting.
func (n *Node) supply(h *host) {
	for len(h.waiting) > h.dials+len(h.idle) && n.makeRoom(1) {
		n.dial(h)
	}
}

func (n *Node) setIdle(b *backend, on bool) {
	if b.idle != nil {
		n.idleBackends.Remove(b.idle)
		b.idle = nil
		for i, other := range b.host.idle {
			if other == b {
				b.host.idle = append(b.host.idle[:i], b.host.idle[i+1:]...)
				break
			}
		}
	}
	if on {
		b.idleSince = n.now()
		b.idle = n.idleBackends.PushBack(b)
		b.host.idle = append(b.host.idle, b)
	}
}

// send writes an attempt's request, or as much of it as is held.
func (n *Node) send(b *backend, a *attempt) {
	r := a.req
	a.backend, b.att, b.written = b, a, false
	if a.probe {
		b.msg = protocol.Message{}
		n.write(&b.socket, func(err error) { n.sent(b, a, err) }, n.appendProbe(nil, b.host))
		return
	}
	b.msg = protocol.Message{NoBody: string(r.msg.Method) == "HEAD"}
	head, held := newBuffer(), r.buf.retain()
	body := r.msg.Body(r.buf.bytes())
	length, wait := len(body), a.till-n.now()
	if r.upload != nil {
		length, wait = r.msg.Length(), r.wait
	}
	wait = max(wait-min(heldUpMost, wait/10), 1000)
	first := firstByte{told: wait}
	if _, until := n.bal.ListCurrent(n.now()); n.set.Balancer.ListLease > 0 {
		first.lease = until
	}
	n.traceRequest(r, "attempt", "attempt", a.number, "host", b.host.addr, "rev", n.rev, "left_us", wait, "idle_us", b.idleFor)
	out := protocol.AppendRequest(head.data[:0], &r.msg.Head, length, wait/1000)
	parts := [][]byte{out, body}
	if length < 0 && len(body) > 0 {
		parts = [][]byte{append(strconv.AppendInt(out, int64(len(body)), 16), "\r\n"...), body, []byte("\r\n")}
	}
	n.writeSoon(&b.socket, func(at int64, err error) {
		head.release()
		held.release()
		if first.at = at; !errors.Is(err, errHeldUp) {
			n.audit(a, first)
		}
		switch {
		case b.closed:
		case errors.Is(err, errHeldUp):
			n.sendAgain(b, a)
		case r.upload != nil && err == nil && !b.answered && !b.hungUp && !r.done:
			n.pump(b, a)
		case r.upload != nil: // not all of it was written: it has never begun
			n.closeBackend(b, endNotWhole)
			n.settle(a, balancer.OutcomeConnectFailed, nil)
		default:
			n.sent(b, a, err)
		}
	}, parts...)
}

// sendAgain is an attempt of which not a byte was written in time: it is looked at once more, on the same connection.
func (n *Node) sendAgain(b *backend, a *attempt) {
	if !a.over && !b.hungUp && n.mayBegin(a) == safety.Allowed {
		n.send(b, a)
		return
	}
	b.att = nil
	if !a.over {
		a.backend = nil
		n.settle(a, balancer.OutcomeNotSent, nil)
	}
	if b.hungUp || b.in != nil {
		n.closeBackend(b, endNotClean)
		n.supply(b.host)
		return
	}
	n.reuse(b)
}

// sent is the end of a request's way to its host.
func (n *Node) sent(b *backend, a *attempt, err error) {
	switch {
	case b.closed:
	case b.answered && err == nil:
		b.written, b.answered = true, false
		n.reuse(b)
	case b.answered:
		n.closeBackend(b, endWriteFailed)
	case err != nil: // not all of the request was written: it has never begun
		n.closeBackend(b, endWriteFailed)
		n.settle(a, balancer.OutcomeConnectFailed, nil)
	case b.hungUp && b.down != nil:
		b.written = true
		n.downloadBegins(b, nil, nil, nil)
	case b.hungUp:
		n.learnIdle(b.idleFor, b.in == nil && n.now()-a.sent < 2*restFor)
		n.ended(b, a)
	default:
		b.written = true
		if b.down != nil {
			b.passOn()
		}
	}
}

// heard takes in what was kept until a large request had gone.
func (b *backend) heard() {
	kept, hungUp := b.kept, b.hungUp
	b.kept, b.hungUp = nil, false
	for _, buf := range kept {
		b.receive(buf)
	}
	if hungUp {
		b.gone()
	}
}

// receive takes in what the host sent.
func (b *backend) receive(buf *buffer) {
	defer buf.release()
	if b.closed {
		return
	}
	if b.down != nil {
		b.hold(buf.bytes())
		return
	}
	if b.allIn() {
		b.kept = append(b.kept, buf.retain())
		return
	}
	if b.att == nil { // nothing was asked
		b.host.twiceTill = b.n.now() + idleTrust
		b.n.closeBackend(b, endUnasked)
		b.n.supply(b.host)
		return
	}
	if b.in == nil {
		b.in = buf.retain()
		b.read(0)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && b.att != nil && !b.closed {
		rest = b.in.add(rest)
		b.read(len(rest))
		if b.down != nil {
			b.hold(rest)
			return
		}
	}
}

// allIn tells that all of a large request has come in and goes out, though Run's goroutine has not heard that it has gone.
func (b *backend) allIn() bool {
	return b.att != nil && b.att.till == never && b.att.req.upload.flow.all.Load()
}

// hold keeps what comes of a large answer before it can be passed on.
func (b *backend) hold(p []byte) {
	if err := b.down.hold(p); err != nil {
		a := b.down.att
		b.n.warn("bad answer", "host", b.host.addr, "err", err)
		b.n.closeBackend(b, endBadAnswer)
		b.n.settle(a, balancer.OutcomeReset, nil)
	}
}

// read parses what has come; more bytes wait that found no room.
func (b *backend) read(more int) {
	n, a := b.n, b.att
	size, whole, err := b.msg.Response(b.in.bytes())
	b.in.n = size
	large := b.msg.Started() && (b.msg.Length() > protocol.MaxBody || size == protocol.BufferSize)
	switch {
	case err != nil:
		n.warn("bad answer", "host", b.host.addr, "err", err)
		n.closeBackend(b, endBadAnswer)
		n.settle(a, balancer.OutcomeReset, nil) // it may have run
	case whole:
		b.finish(more > 0)
	case large:
		b.startDownload()
	}
}

// errEarly is a large answer to a request that has not been written: there is no room for it.
var errEarly = errors.New("a large answer before the end of its request")

func loadReport(msg *protocol.Message) *balancer.LoadReport {
	return toReport(msg.Get(protocol.LoadHeader))
}

func toReport(text []byte) *balancer.LoadReport {
	if load, ok := protocol.ParseLoad(text); ok {
		return &balancer.LoadReport{Outstanding: load.Outstanding, Backlog: load.Backlog, Utilization: load.Utilization}
	}
	return nil
}

// finish is a whole answer.
func (b *backend) finish(unread bool) {
	n, a, in, msg := b.n, b.att, b.in, b.msg
	n.learnIdle(b.idleFor, false)
	b.idleFor = 0
	if !a.probe {
		b.servedAt = n.now()
	}
	twice := unread || len(msg.Rest(in.bytes())) > 0
	if twice {
		b.host.twiceTill = n.now() + idleTrust
	}
	keep := msg.KeepAlive && !b.hungUp && !twice
	b.att, b.in = nil, nil
	switch {
	case !keep:
		n.closeBackend(b, endNotKept)
	case b.written:
		n.reuse(b)
	default:
		b.answered = true
	}
	report := loadReport(&msg)
	out := outcome(&msg)
	if a.probe && out == balancer.OutcomeOK {
		report = probeReport(&msg, msg.Body(in.bytes()))
	} else if out == balancer.OutcomeOK {
		if msg.NoBody && a.req.client != nil {
			a.req.client.headSize = max(msg.Length(), protocol.UntilClose)
			if msg.Length() < 0 {
				a.req.client.headSize = protocol.UntilClose
			}
		}
		n.answer(a.req, in.retain(), 200, msg.Fields, msg.Body(in.bytes()), 0)
	}
	n.settle(a, out, report)
	in.release()
}

// gone is a connection that has ended.
func (b *backend) gone() {
	n, a := b.n, b.att
	switch {
	case b.closed || !b.up: // dialled will see it
	case b.down != nil && !b.down.held:
		n.downloadBegins(b, nil, nil, nil)
	case a == nil:
		n.closeBackend(b, endPeerClosed)
		n.supply(b.host)
	case !b.written && a.till == never && !b.allIn(): // the request was still coming in, and will never be whole
		n.closeBackend(b, endPeerClosed)
		n.settle(a, balancer.OutcomeConnectFailed, nil)
	case !b.written:
		b.hungUp = true // whether all was written decides what this means
	default:
		n.learnIdle(b.idleFor, b.in == nil && n.now()-a.sent < 2*restFor)
		n.ended(b, a)
	}
}

// ended is a connection whose end may be that of the answer on it: where the head does not say how long that is.
func (n *Node) ended(b *backend, a *attempt) {
	if b.in != nil && b.msg.UntilEnd() && b.fin {
		b.msg.Finish()
		b.msg.KeepAlive, b.written = false, true
		b.finish(false)
		return
	}
	n.closeBackend(b, endPeerClosed)
	n.settle(a, balancer.OutcomeReset, nil)
}

// closeBackend ends a connection. An attempt on it must be settled by the caller.
func (n *Node) closeBackend(b *backend, why endReason) {
	if b.closed {
		return
	}
	b.noteEnd(why)
	b.closed = true
	n.setIdle(b, false)
	n.descriptors--
	b.att = nil
	b.in.release()
	b.in = nil
	for _, buf := range b.kept {
		buf.release()
	}
	b.kept = nil
	if b.down == nil || b.down.held || b.file != nil { // else it is on its way out of the poller, and closes as it is there
		b.end()
	}
}

func (n *Node) closeIdleBackends(h *host, why endReason) {
	for len(h.idle) > 0 {
		n.closeBackend(h.idle[0], why)
	}
}

// makeRoom closes idle connections until so many more descriptors fit, and tells whether they do. Those that clients
// do not use go first: a new connection to a backend costs it work, and its first request time.
func (n *Node) makeRoom(more int) bool {
	for most := n.sockets(); most > 0 && n.descriptors+more > most-reserve; {
		if c := n.idleClient(&n.fresh, freshFor); c != nil {
			c.close(endMakeRoom)
		} else if c := n.idleClient(&n.idleClients, idleLeast); c != nil {
			c.close(endMakeRoom)
		} else if c := n.idleClient(&n.lingering, 0); c != nil {
			c.close(endMakeRoom)
		} else if e := n.idleBackends.Front(); e != nil {
			n.closeBackend(e.Value.(*backend), endMakeRoom)
		} else if c := n.idleClient(&n.idleClients, 0); c != nil {
			c.close(endMakeRoom)
		} else if c := n.idleClient(&n.fresh, 0); c != nil {
			c.close(endMakeRoom)
		} else if e := n.lingering.Front(); e != nil {
			e.Value.(*client).close(endMakeRoom)
		} else {
			return false
		}
	}
	return true
}
