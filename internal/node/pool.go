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

// endpoint is one backend that discovery has named. Its id is never used again.
type endpoint struct {
	id                  balancer.EndpointID
	address             string
	state               protocol.State
	bootMillis          int64
	zone                string // as discovery tells it, with the next two
	cell                int
	weight              float64
	removedAt           int64 // when discovery said so, or left it off a whole list; 0: it is listed
	outOfServiceSince   int64 // when it was first heard that it drains or is gone; 0: it is in service
	duplicatesUntil     int64 // until when it is held to answer requests twice
	incarnation         int   // counts its processes: a connection to an earlier one is never used again
	idleConns           []*backendConn
	waitingAttempts     []*attempt // for a connection
	pendingDials        int        // connections on their way
	pendingHealthChecks int        // out, and not settled
}

// backendConn is a connection to a host. It carries one request at a time.
type backendConn struct {
	socket
	node              *Node
	endpoint          *endpoint
	incarnation       int
	attempt           *attempt
	input             *buffer
	message           protocol.Message
	dialHandled       bool      // the pool has it
	requestWritten    bool      // the request's last byte is
	answerComplete    bool      // whole, before the writer said that it was done
	download          *download // it passes on an answer too large to be held
	deferredInput     []*buffer // what came before the word that all of a large request has gone
	peerEndedEarly    bool      // the other side has closed while the request was being written
	closed            bool
	idleElement       *list.Element
	idleSince         int64
	idleBeforeAttempt int64 // before the attempt it carries; 0: it is new
	lastAnswerAt      int64 // when it last brought the answer to a request: another may follow that; 0: never
}

// applyEndpointList takes a list into the pool and turns it into the module's form. A list that is older than the last one, as
// that of a discovery which has just taken over may be, adds hosts and tells of drains, but brings nothing back that
// is known to have gone on since, and what it leaves off is not gone.
func (n *Node) applyEndpointList(update protocol.List, kind balancer.ListKind) ([]balancer.Endpoint, balancer.ListKind) {
	outdated := update.Rev < n.listRevision
	n.listRevision = max(n.listRevision, update.Rev)
	if outdated {
		kind = balancer.ListDelta
	}
	changed := make([]balancer.Endpoint, 0, len(update.Targets))
	listed := make(map[*endpoint]bool, len(update.Targets))
	for _, target := range update.Targets {
		ep := n.endpointsByUID[target.UID]
		switch {
		case ep == nil && (target.State == protocol.Terminated || outdated && n.tombstones.has(target.UID, target.BootMs)):
			continue
		case ep == nil:
			n.lastEndpointID++
			ep = &endpoint{id: n.lastEndpointID, address: target.Endpoint, bootMillis: target.BootMs}
			n.endpoints[ep.id], n.endpointsByUID[target.UID] = ep, ep
		case outdated && (target.BootMs < ep.bootMillis || target.BootMs == ep.bootMillis && target.State < ep.state):
			continue
		}
		listed[ep] = true
		ep.setState(target.State, n.now())
		ep.removedAt = 0
		switch {
		case target.State == protocol.Terminated:
			n.endpointRemoved(ep)
		case ep.address != target.Endpoint || ep.bootMillis != target.BootMs: // another process
			ep.incarnation++
			n.closeIdleBackends(ep, closeEndpointChanged)
			ep.address = target.Endpoint
		case target.State == protocol.Terminating: // it gets nothing new
			n.closeIdleBackends(ep, closeEndpointChanged)
		}
		ep.bootMillis, ep.zone, ep.cell, ep.weight = target.BootMs, target.Zone, target.Cell, target.Weight
		zone, ok := n.zoneIndex[target.Zone]
		if !ok {
			zone = -1
		}
		phase := map[protocol.State]balancer.Phase{protocol.InService: balancer.PhaseReady,
			protocol.Terminating: balancer.PhaseDraining, protocol.Terminated: balancer.PhaseRemoved}[target.State]
		changed = append(changed, balancer.Endpoint{ID: ep.id, StableKey: xxhash.Sum64String(target.UID), Phase: phase, Zone: zone, Cell: target.Cell, Weight: target.Weight,
			StartedAt: target.BootMs * 1000})
	}
	for _, ep := range n.endpoints {
		if kind != balancer.ListDelta && !listed[ep] && ep.removedAt == 0 {
			ep.setState(protocol.Terminated, n.now())
			n.endpointRemoved(ep)
		}
	}
	return changed, kind
}

// endpointRetention is for how long a host that is gone is remembered, in microseconds: longer than any attempt at it may
// take, and than an old list may come late.
const endpointRetention = 60_000_000

// endpointRemoved notes that a host is gone. Connections to it that still carry an attempt close after that.
func (n *Node) endpointRemoved(ep *endpoint) {
	ep.removedAt = n.now()
	ep.incarnation++
	n.closeIdleBackends(ep, closeEndpointChanged)
}

// deleteExpiredEndpoints drops the hosts that have been gone for long: every release brings new ones.
func (n *Node) deleteExpiredEndpoints() {
	for uid, ep := range n.endpointsByUID {
		if ep.removedAt > 0 && n.now()-ep.removedAt >= endpointRetention {
			delete(n.endpointsByUID, uid)
			delete(n.endpoints, ep.id)
			n.tombstones.add(uid, ep.bootMillis)
		}
	}
}

// reuseDelay is how long a connection rests after an answer while others will do, in microseconds. A host that closes a
// connection says so behind its last answer: a request that crosses this ends as one that may have run. Of a host that has
// lately answered a request twice, connections rest whether others will do or not: its second answers come some
// milliseconds late, and the next request would be given one for its own. To let all rest so costs far more than it saves.
const reuseDelay = 10_000

// Hosts, or what is between, may drop idle connections sooner than told, and without a word: the next request is
// reset, and counts as one that may have run. So the node learns after how long connections break at once.
const (
	idleOutcomeDecay     = 0.95       // of the earlier attempts on connections idle for about as long, with each new one
	minIdleSamples       = 3          // attempts at least
	idleFailureThreshold = 0.35       // share of them that broke, far more than break for other reasons
	observationLifetime  = 30_000_000 // for so long nothing that was idle for longer is used, in microseconds
)

// idleOutcome is how attempts on connections fared that had been idle for about as long.
type idleOutcome struct{ attempts, failures float64 }

// recordIdleOutcome takes in how an attempt on a connection that had been idle has ended. Only what broke at once, with no
// byte of an answer, broke for that: a host that dies takes all attempts with it, whatever they were sent on.
func (n *Node) recordIdleOutcome(idleTime int64, failed bool) {
	if idleTime <= reuseDelay {
		return
	}
	bucket := int(2 * math.Log2(float64(idleTime))) // two steps to a doubling
	record := &n.idleOutcomes[min(bucket, len(n.idleOutcomes)-1)]
	record.attempts, record.failures = idleOutcomeDecay*record.attempts+1, idleOutcomeDecay*record.failures
	if failed {
		record.failures++
	}
	if record.attempts >= minIdleSamples-0.2 && record.failures > idleFailureThreshold*record.attempts {
		*record = idleOutcome{}
		n.learnedIdleLimit, n.learnedIdleLimitUntil = int64(math.Exp2(float64(bucket)/2)), n.now()+observationLifetime
		n.log.Info("idle connections break", "after_us", n.learnedIdleLimit)
	}
}

// idleLimit is how long a connection to a backend may have been idle and still be used.
func (n *Node) idleLimit() int64 {
	limit := int64(math.MaxInt64)
	if n.settings.Keepalive > 0 {
		limit = n.settings.Keepalive / 2
	}
	if n.now() < n.learnedIdleLimitUntil {
		limit = min(limit, n.learnedIdleLimit)
	}
	return limit
}

// takeIdleConn takes the idle connection to a host that was used last, but for those that may be about to close, of which it
// is the one that has waited longest, those that rest, and those that are no longer good: these close. It is nil where
// there is none.
func (n *Node) takeIdleConn(ep *endpoint) *backendConn {
	now := n.now()
	var candidate, fallback *backendConn
	for i := len(ep.idleConns) - 1; i >= 0 && candidate == nil; i-- {
		conn := ep.idleConns[i]
		switch {
		case ep.mayReceiveDuplicate(conn, now):
		case now-conn.idleSince >= n.idleLimit() || !conn.isOpenAndDrained():
			n.closeBackend(conn, closeUnusable) // idle for too long, closed, or with input that no request asked for
		case now-conn.idleSince < reuseDelay:
			fallback = conn
		default:
			candidate = conn
		}
	}
	if candidate == nil {
		candidate = fallback
	}
	if candidate != nil {
		candidate.idleBeforeAttempt = now - candidate.idleSince
		n.setIdle(candidate, false)
	}
	return candidate
}

// mayReceiveDuplicate tells that the next request on a connection might be given a second answer to the last.
func (e *endpoint) mayReceiveDuplicate(conn *backendConn, now int64) bool {
	return now < e.duplicatesUntil && now-conn.lastAnswerAt < reuseDelay
}

// assignConn gives an attempt a connection: an idle one, one that will have rested soon, or a new one.
func (n *Node) assignConn(att *attempt) {
	ep := att.endpoint
	if conn := n.takeIdleConn(ep); conn != nil {
		n.sendRequest(conn, att)
		return
	}
	resting := len(ep.idleConns)+ep.pendingDials > len(ep.waitingAttempts) && len(ep.idleConns) > 0
	if !resting && !att.isHealthCheck && !n.reserveDescriptors(1) {
		n.warnLimited("no descriptor for a connection", "descriptors", n.openDescriptors)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
		return
	}
	position := len(ep.waitingAttempts)
	for !att.isHealthCheck && position > 0 && ep.waitingAttempts[position-1].isHealthCheck {
		position--
	}
	ep.waitingAttempts = slices.Insert(ep.waitingAttempts, position, att)
	if resting {
		n.scheduleServeWaiting(ep)
	} else {
		n.dial(ep)
	}
	n.scheduleAt(n.now()+n.settings.ConnectTimeout, func() {
		if !att.completed && att.conn == nil {
			n.abandonAttempt(att, balancer.OutcomeConnectFailed)
		}
	})
}

func (n *Node) dial(ep *endpoint) {
	pending := &backendConn{node: n, endpoint: ep, incarnation: ep.incarnation}
	ep.pendingDials++
	n.openDescriptors++
	addr, timeout := ep.address, time.Duration(n.settings.ConnectTimeout)*time.Microsecond
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, timeout)
		if err == nil {
			err = pending.attach(conn)
		}
		n.post(func() { n.dialFinished(pending, err) })
	}()
}

// attach takes up a connection that has come up. From here on what the host sends goes to Run's goroutine, which has not heard of it yet.
func (b *backendConn) attach(conn netpoll.Connection) error {
	b.conn = conn
	_ = conn.SetWriteTimeout(writeTimeout)
	if c, ok := conn.(interface{ Fd() int }); ok {
		_ = limitReceiveBuffer(uintptr(c.Fd()))
	}
	b.onClose(func() { b.node.post(b.connectionEnded) })
	return conn.SetOnRequest(b.onInput)
}

// onInput hands on what the poller has read.
func (b *backendConn) onInput(_ context.Context, conn netpoll.Connection) error {
	return b.deliver(conn, b.node, b.receive)
}

// dialFinished is a connection that has come up or not. It goes to whoever has waited longest.
func (n *Node) dialFinished(conn *backendConn, err error) {
	ep := conn.endpoint
	ep.pendingDials--
	conn.dialHandled = true
	if err != nil || !conn.conn.IsActive() {
		if !conn.closed { // else its host spoke before it was asked, and receive has closed it
			conn.closed = true
			n.openDescriptors--
		}
		if conn.conn != nil {
			_ = conn.conn.Close()
		}
		if len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) { // one of them waits in vain
			n.log.Debug("connect failed", "host", ep.address, "err", err)
			failed := ep.waitingAttempts[0]
			if last := ep.waitingAttempts[len(ep.waitingAttempts)-1]; last.isHealthCheck {
				failed = last
			}
			n.abandonAttempt(failed, balancer.OutcomeConnectFailed)
		}
		return
	}
	n.releaseConn(conn)
}

// releaseConn gives a connection that carries nothing to the next attempt, or keeps it.
func (n *Node) releaseConn(conn *backendConn) {
	ep := conn.endpoint
	switch {
	case conn.closed:
	case conn.incarnation != ep.incarnation || !conn.isOpenAndDrained() || ep.state != protocol.InService && len(ep.waitingAttempts) == 0:
		n.closeBackend(conn, closeUnusable)
		n.dialForWaiting(ep)
	default:
		n.setIdle(conn, true)
		if len(ep.waitingAttempts) > 0 {
			n.serveWaiting(ep)
		}
	}
}

// serveWaiting gives the connections that have rested to those who wait, the longest first.
func (n *Node) serveWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > 0 {
		if att := ep.waitingAttempts[0]; n.mayStart(att) != safety.Allowed { // since it was asked for
			ep.waitingAttempts = ep.waitingAttempts[1:]
			n.completeAttempt(att, balancer.OutcomeNotSent, nil)
		} else if conn := n.takeIdleConn(ep); conn != nil {
			ep.waitingAttempts = ep.waitingAttempts[1:]
			n.sendRequest(conn, att)
		} else {
			n.dialForWaiting(ep)
			n.scheduleServeWaiting(ep)
			return
		}
	}
	if ep.state != protocol.InService {
		n.closeIdleBackends(ep, closeEndpointChanged)
	}
}

// mayStart tells whether an attempt that has waited may still begin, at the moment in which its first byte would be written, and if not, why.
func (n *Node) mayStart(att *attempt) (reason safety.Reason) {
	switch {
	case att.isHealthCheck && att.endpoint.state != protocol.InService:
		reason = safety.BackendDraining
	case att.isHealthCheck:
	case att.request.done:
		reason = safety.RequestDone
	case n.clientHasDisconnected(att.request):
		reason = safety.ClientDisconnected
	default:
		reason = n.balancer.MayStartAttempt(n.now(), att.request.id, att.number)
	}
	if reason != safety.Allowed {
		n.logWithheld(att, reason)
	}
	return reason
}

// scheduleServeWaiting has the next connection that will have rested handed over then. All idle ones rest, or somebody would have them.
func (n *Node) scheduleServeWaiting(ep *endpoint) {
	next := int64(noDeadline)
	for _, conn := range ep.idleConns {
		next = min(next, conn.lastAnswerAt+reuseDelay)
	}
	if next < noDeadline {
		n.scheduleAt(next, func() { n.serveWaiting(ep) })
	}
}

// dialForWaiting opens connections until there is one for each who waits: on its way, or resting.
func (n *Node) dialForWaiting(ep *endpoint) {
	for len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) && n.reserveDescriptors(1) {
		n.dial(ep)
	}
}

func (n *Node) setIdle(conn *backendConn, idle bool) {
	if conn.idleElement != nil {
		n.idleBackends.Remove(conn.idleElement)
		conn.idleElement = nil
		for i, other := range conn.endpoint.idleConns {
			if other == conn {
				conn.endpoint.idleConns = append(conn.endpoint.idleConns[:i], conn.endpoint.idleConns[i+1:]...)
				break
			}
		}
	}
	if idle {
		conn.idleSince = n.now()
		conn.idleElement = n.idleBackends.PushBack(conn)
		conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn)
	}
}

// sendRequest writes an attempt's request, or as much of it as is held.
func (n *Node) sendRequest(conn *backendConn, att *attempt) {
	req := att.request
	att.conn, conn.attempt, conn.requestWritten = conn, att, false
	if att.isHealthCheck {
		conn.message = protocol.Message{}
		n.write(&conn.socket, func(err error) { n.requestSent(conn, att, err) }, n.appendHealthCheck(nil, conn.endpoint))
		return
	}
	conn.message = protocol.Message{NoBody: string(req.message.Method) == "HEAD"}
	head, requestBuffer := newBuffer(), req.buffer.retain()
	body := req.message.Body(req.buffer.bytes())
	length, remaining := len(body), att.deadline-n.now()
	if req.upload != nil {
		length, remaining = req.message.Length(), req.uploadTimeout
	}
	remaining = max(remaining-min(maxWriteDelay, remaining/10), 1000)
	first := firstByte{statedTimeout: remaining}
	if _, until := n.balancer.ListCurrent(n.now()); n.settings.Balancer.ListLease > 0 {
		first.listExpiresAt = until
	}
	n.traceRequest(req, "attempt", "attempt", att.number, "host", conn.endpoint.address, "rev", n.listRevision, "left_us", remaining, "idle_us", conn.idleBeforeAttempt)
	headBytes := protocol.AppendRequest(head.data[:0], &req.message.Head, length, remaining/1000)
	parts := [][]byte{headBytes, body}
	if length < 0 && len(body) > 0 {
		parts = [][]byte{append(strconv.AppendInt(headBytes, int64(len(body)), 16), "\r\n"...), body, []byte("\r\n")}
	}
	n.writeWithoutDelay(&conn.socket, func(startedAt int64, err error) {
		head.release()
		requestBuffer.release()
		if first.writtenAt = startedAt; !errors.Is(err, errWriteDelayed) {
			n.audit(att, first)
		}
		switch {
		case conn.closed:
		case errors.Is(err, errWriteDelayed):
			n.retryDelayedWrite(conn, att)
		case req.upload != nil && err == nil && !conn.answerComplete && !conn.peerEndedEarly && !req.done:
			n.forwardUpload(conn, att)
		case req.upload != nil: // not all of it was written: it has never begun
			n.closeBackend(conn, closeRequestIncomplete)
			n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
		default:
			n.requestSent(conn, att, err)
		}
	}, parts...)
}

// retryDelayedWrite is an attempt of which not a byte was written in time: it is looked at once more, on the same connection.
func (n *Node) retryDelayedWrite(conn *backendConn, att *attempt) {
	if !att.completed && !conn.peerEndedEarly && n.mayStart(att) == safety.Allowed {
		n.sendRequest(conn, att)
		return
	}
	conn.attempt = nil
	if !att.completed {
		att.conn = nil
		n.completeAttempt(att, balancer.OutcomeNotSent, nil)
	}
	if conn.peerEndedEarly || conn.input != nil {
		n.closeBackend(conn, closeUnusable)
		n.dialForWaiting(conn.endpoint)
		return
	}
	n.releaseConn(conn)
}

// requestSent is the end of a request's way to its host.
func (n *Node) requestSent(conn *backendConn, att *attempt, err error) {
	switch {
	case conn.closed:
	case conn.answerComplete && err == nil:
		conn.requestWritten, conn.answerComplete = true, false
		n.releaseConn(conn)
	case conn.answerComplete:
		n.closeBackend(conn, closeWriteFailed)
	case err != nil: // not all of the request was written: it has never begun
		n.closeBackend(conn, closeWriteFailed)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case conn.peerEndedEarly && conn.download != nil:
		conn.requestWritten = true
		n.startDownloadForwarding(conn, nil, nil, nil)
	case conn.peerEndedEarly:
		n.recordIdleOutcome(conn.idleBeforeAttempt, conn.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishEndedConn(conn, att)
	default:
		conn.requestWritten = true
		if conn.download != nil {
			conn.detachForDownload()
		}
	}
}

// processDeferredInput takes in what was kept until a large request had gone.
func (b *backendConn) processDeferredInput() {
	deferred, peerEnded := b.deferredInput, b.peerEndedEarly
	b.deferredInput, b.peerEndedEarly = nil, false
	for _, buf := range deferred {
		b.receive(buf)
	}
	if peerEnded {
		b.connectionEnded()
	}
}

// receive takes in what the host sent.
func (b *backendConn) receive(buf *buffer) {
	defer buf.release()
	if b.closed {
		return
	}
	if b.download != nil {
		b.keepDownloadInput(buf.bytes())
		return
	}
	if b.uploadFullyRead() {
		b.deferredInput = append(b.deferredInput, buf.retain())
		return
	}
	if b.attempt == nil { // nothing was asked
		b.endpoint.duplicatesUntil = b.node.now() + observationLifetime
		b.node.closeBackend(b, closeUnexpectedInput)
		b.node.dialForWaiting(b.endpoint)
		return
	}
	if b.input == nil {
		b.input = buf.retain()
		b.parseAnswer(0)
		return
	}
	rest := buf.bytes()
	for len(rest) > 0 && b.attempt != nil && !b.closed {
		rest = b.input.add(rest)
		b.parseAnswer(len(rest))
		if b.download != nil {
			b.keepDownloadInput(rest)
			return
		}
	}
}

// uploadFullyRead tells that all of a large request has come in and goes out, though Run's goroutine has not heard that it has gone.
func (b *backendConn) uploadFullyRead() bool {
	return b.attempt != nil && b.attempt.deadline == noDeadline && b.attempt.request.upload.forwarder.fullyRead.Load()
}

// keepDownloadInput keeps what comes of a large answer before it can be passed on.
func (b *backendConn) keepDownloadInput(data []byte) {
	if err := b.download.keepInput(data); err != nil {
		att := b.download.attempt
		b.node.warnLimited("bad answer", "host", b.endpoint.address, "err", err)
		b.node.closeBackend(b, closeMalformedAnswer)
		b.node.completeAttempt(att, balancer.OutcomeReset, nil)
	}
}

// parseAnswer parses what has come; more bytes wait that found no room.
func (b *backendConn) parseAnswer(unread int) {
	n, att := b.node, b.attempt
	size, complete, err := b.message.Response(b.input.bytes())
	b.input.length = size
	large := b.message.Started() && (b.message.Length() > protocol.MaxBody || size == protocol.BufferSize)
	switch {
	case err != nil:
		n.warnLimited("bad answer", "host", b.endpoint.address, "err", err)
		n.closeBackend(b, closeMalformedAnswer)
		n.completeAttempt(att, balancer.OutcomeReset, nil) // it may have run
	case complete:
		b.finishAnswer(unread > 0)
	case large:
		b.startDownload()
	}
}

// errEarlyLargeAnswer is a large answer to a request that has not been written: there is no room for it.
var errEarlyLargeAnswer = errors.New("a large answer before the end of its request")

func headerLoadReport(msg *protocol.Message) *balancer.LoadReport {
	return parseLoadReport(msg.Get(protocol.LoadHeader))
}

func parseLoadReport(text []byte) *balancer.LoadReport {
	if load, ok := protocol.ParseLoad(text); ok {
		return &balancer.LoadReport{Outstanding: load.Outstanding, Backlog: load.Backlog, Utilization: load.Utilization}
	}
	return nil
}

// finishAnswer is a whole answer.
func (b *backendConn) finishAnswer(unread bool) {
	n, att, in, msg := b.node, b.attempt, b.input, b.message
	n.recordIdleOutcome(b.idleBeforeAttempt, false)
	b.idleBeforeAttempt = 0
	if !att.isHealthCheck {
		b.lastAnswerAt = n.now()
	}
	duplicate := unread || len(msg.Rest(in.bytes())) > 0
	if duplicate {
		b.endpoint.duplicatesUntil = n.now() + observationLifetime
	}
	reusable := msg.KeepAlive && !b.peerEndedEarly && !duplicate
	b.attempt, b.input = nil, nil
	switch {
	case !reusable:
		n.closeBackend(b, closeNotReusable)
	case b.requestWritten:
		n.releaseConn(b)
	default:
		b.answerComplete = true
	}
	report := headerLoadReport(&msg)
	result := answerOutcome(&msg)
	if att.isHealthCheck && result == balancer.OutcomeOK {
		report = healthCheckReport(&msg, msg.Body(in.bytes()))
	} else if result == balancer.OutcomeOK {
		if msg.NoBody && att.request.clientConn != nil {
			att.request.clientConn.headContentLength = max(msg.Length(), protocol.UntilClose)
			if msg.Length() < 0 {
				att.request.clientConn.headContentLength = protocol.UntilClose
			}
		}
		n.answer(att.request, in.retain(), 200, msg.Fields, msg.Body(in.bytes()), 0)
	}
	n.completeAttempt(att, result, report)
	in.release()
}

// connectionEnded is a connection that has ended.
func (b *backendConn) connectionEnded() {
	n, att := b.node, b.attempt
	switch {
	case b.closed || !b.dialHandled: // dialled will see it
	case b.download != nil && !b.download.awaitingRequestEnd:
		n.startDownloadForwarding(b, nil, nil, nil)
	case att == nil:
		n.closeBackend(b, closedByPeer)
		n.dialForWaiting(b.endpoint)
	case !b.requestWritten && att.deadline == noDeadline && !b.uploadFullyRead(): // the request was still coming in, and will never be whole
		n.closeBackend(b, closedByPeer)
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	case !b.requestWritten:
		b.peerEndedEarly = true // whether all was written decides what this means
	default:
		n.recordIdleOutcome(b.idleBeforeAttempt, b.input == nil && n.now()-att.startedAt < 2*reuseDelay)
		n.finishEndedConn(b, att)
	}
}

// finishEndedConn is a connection whose end may be that of the answer on it: where the head does not say how long that is.
func (n *Node) finishEndedConn(conn *backendConn, att *attempt) {
	if conn.input != nil && conn.message.UntilEnd() && conn.peerClosedInOrder {
		conn.message.Finish()
		conn.message.KeepAlive, conn.requestWritten = false, true
		conn.finishAnswer(false)
		return
	}
	n.closeBackend(conn, closedByPeer)
	n.completeAttempt(att, balancer.OutcomeReset, nil)
}

// closeBackend ends a connection. An attempt on it must be settled by the caller.
func (n *Node) closeBackend(conn *backendConn, reason closeReason) {
	if conn.closed {
		return
	}
	conn.logClose(reason)
	conn.closed = true
	n.setIdle(conn, false)
	n.openDescriptors--
	conn.attempt = nil
	conn.input.release()
	conn.input = nil
	for _, buf := range conn.deferredInput {
		buf.release()
	}
	conn.deferredInput = nil
	if conn.download == nil || conn.download.awaitingRequestEnd || conn.descriptor != nil { // else it is on its way out of the poller, and closes as it is there
		conn.closeTransport()
	}
}

func (n *Node) closeIdleBackends(ep *endpoint, reason closeReason) {
	for len(ep.idleConns) > 0 {
		n.closeBackend(ep.idleConns[0], reason)
	}
}

// reserveDescriptors closes idle connections until so many more descriptors fit, and tells whether they do. Those that clients
// do not use go first: a new connection to a backend costs it work, and its first request time.
func (n *Node) reserveDescriptors(more int) bool {
	for limit := n.descriptorLimit(); limit > 0 && n.openDescriptors+more > limit-reservedDescriptors; {
		if client := n.oldestIdleClient(&n.newClients, newConnGrace); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, minClientIdleTime); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.lingeringClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.idleBackends.Front(); element != nil {
			n.closeBackend(element.Value.(*backendConn), closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.idleClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if client := n.oldestIdleClient(&n.newClients, 0); client != nil {
			client.close(closeForDescriptors)
		} else if element := n.lingeringClients.Front(); element != nil {
			element.Value.(*clientConn).close(closeForDescriptors)
		} else {
			return false
		}
	}
	return true
}
