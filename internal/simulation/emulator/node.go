package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/workload"
)

// What a node's events mean.
const (
	nodeRequest        = iota // P: the request, from its client
	nodeReply                 // P: the attempt; A: its outcome
	nodeTimeout               // P: the attempt: its time is over
	nodeTimer                 // P: the node's life; A: the token
	nodeClientCanceled        // P: the request, whose client has left
	nodeListMessage           // P: the news
	nodeDatagram              // P: the message
	nodeIdleSweep             // P: the pool whose connections may have been idle too long
	nodeReady                 // the node starts
	nodeHealthCheck           // P: the probe
)

// request is one try of a call, as a node has it.
type request struct {
	id          balancer.RequestID
	call        *call
	node        *Node
	incarnation *nodeIncarnation
	replyTo     eventqueue.Handler // who hears of its attempts' ends: the node
	number      int
	deadline    eventqueue.Time
	attempts    []*attempt
	inFlight    int
	answered    bool
}

// nodeIncarnation is one process of a node.
type nodeIncarnation struct {
	clockOffset eventqueue.Span
}

// connectionPool is a node's idle connections to a box.
type connectionPool struct {
	backend        *Backend
	incarnation    *backendIncarnation
	idleSince      []eventqueue.Time // when each was last used, the latest last
	sweepScheduled bool              // a sweep is on its way
}

type healthCheck struct {
	backend     *Backend
	incarnation *nodeIncarnation
	sentAt      eventqueue.Time
	outcome     balancer.Outcome
	report      balancer.LoadReport
}

type datagram struct {
	from int
	data []byte
}

// Node is one instance: a policy, and what carries out its actions. Nodes share nothing but the network.
type Node struct {
	simulation     *Simulation
	source         eventqueue.Source
	random         eventqueue.Stream
	index          int
	site           int
	startCount     uint64
	incarnation    *nodeIncarnation // nil: dead
	policy         policy.Policy
	requests       map[balancer.RequestID]*request
	pools          map[*Backend]*connectionPool
	knownEndpoints map[balancer.EndpointID]bool // ever named to this life: nothing else may be sent to

	watching              bool
	listRevision          int // of the list as last heard
	polledAt              eventqueue.Time
	pollFailed            bool
	enforcedRevision      int // version that the rules take as told
	notificationScheduled bool
	believedUp            bool // by the front: alive
	extraTraffic          float64
	stoppingFaults        int // faults that keep it dead
	clockOffsets          []eventqueue.Span
	cachedRevision        int // list version that a new life finds
	decisions             uint64
}

func (s *Simulation) newNode(i int, name string) *Node {
	return &Node{simulation: s, source: eventqueue.NewSource(sourceNode | uint32(i)), random: eventqueue.NewStream(s.seed, name), index: i, site: s.scenario.Site(i),
		believedUp: true}
}

// startProcess begins a process that knows nothing but its settings and the list as it last held it.
func (n *Node) startProcess(now eventqueue.Time) error {
	n.incarnation, n.startCount = &nodeIncarnation{}, n.startCount+1
	for _, off := range n.clockOffsets {
		n.incarnation.clockOffset += off
	}
	n.requests, n.pools, n.knownEndpoints = map[balancer.RequestID]*request{}, map[*Backend]*connectionPool{}, map[balancer.EndpointID]bool{}
	n.watching, n.notificationScheduled, n.pollFailed, n.polledAt = false, false, false, now
	seed := eventqueue.NewStream(n.simulation.seed, "policy").Uint64() ^ uint64(n.index+1)<<32 ^ n.startCount
	cfg := n.simulation.scenario.Config(n.site, n.simulation.quotas)
	cfg.PeerIndex = n.index
	p, err := n.simulation.newPolicy(policy.Env{Config: cfg, Seed: seed, Node: n.index, Actions: n,
		Publish: n.publishDatagram, Truth: n.oracleLatency})
	if err != nil {
		return err
	}
	n.policy = p
	n.listRevision, n.enforcedRevision = n.cachedRevision, n.cachedRevision
	list := n.simulation.discovery.fullListAt(n.cachedRevision)
	n.applyList(now, balancer.ListCached, list, n.cachedRevision)
	return nil
}

// oracleLatency is what only an oracle can know: the time in µs after which an ordinary request sent now would be answered.
func (n *Node) oracleLatency(id balancer.EndpointID) float64 {
	b := n.simulation.backendsByID[id]
	if b == nil || !b.running || b.draining || b.frozen || n.simulation.partitioned(n.site, b.site) {
		return math.Inf(1)
	}
	link := n.simulation.scenario.Net.Same
	if n.site != b.site {
		link = n.simulation.scenario.Net.Cross
	}
	wait := b.ExpectedLatency() + 2*float64(fromMilliseconds(link))
	if b.errorRate > 0 { // an error at once is no answer
		wait += b.errorRate * 1e9
	}
	return wait
}

// stopProcess kills the process: nothing is answered, and connections are reset.
func (n *Node) stopProcess(now eventqueue.Time) {
	if n.incarnation == nil {
		return
	}
	if n.watching {
		n.listRevision = n.simulation.discovery.revision()
	}
	n.cachedRevision = n.listRevision
	n.simulation.checker.NodeCrashed(n.index)
	for _, r := range n.openRequests() {
		if !r.answered {
			n.simulation.events.After(&n.source, n.simulation.delay(&n.random, n.site, n.site), eventqueue.Event{To: n.simulation.clients, Kind: clientConnectionBroken, P: r})
		}
		for _, a := range r.attempts {
			if a.awaited = false; a.holdsConnection {
				a.incarnation.connections--
			}
		}
	}
	for _, p := range n.pools {
		if p.incarnation == p.backend.incarnation {
			p.incarnation.connections -= len(p.idleSince)
		}
	}
	n.incarnation, n.policy, n.requests, n.pools, n.watching = nil, nil, nil, nil, false
}

// openRequests are the node's requests in the order of their ids.
func (n *Node) openRequests() []*request {
	list := make([]*request, 0, len(n.requests))
	for _, r := range n.requests {
		list = append(list, r)
	}
	sortBy(list, func(r *request) uint64 { return uint64(r.id) })
	return list
}

// localTime is what the node takes the time to be.
func (n *Node) localTime(now eventqueue.Time) balancer.Time { return now + n.incarnation.clockOffset }

// Handle takes the node's events.
func (n *Node) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case nodeRequest:
		n.acceptRequest(now, e.P.(*request))
	case nodeReply:
		n.endAttempt(now, e.P.(*attempt), balancer.Outcome(e.A), true)
	case nodeTimeout:
		if a := e.P.(*attempt); a.awaited {
			n.endAttempt(now, a, balancer.Outcome(e.A), false)
		}
	case nodeTimer:
		if e.P.(*nodeIncarnation) == n.incarnation {
			n.policy.HandleTimer(n.localTime(now), balancer.TimerID(e.A))
		}
	case nodeClientCanceled:
		if r := e.P.(*request); n.incarnation != nil && r.incarnation == n.incarnation && !r.answered {
			r.answered = true
			n.simulation.checker.ClientDisconnected(now, r.id)
			n.policy.HandleCancellation(n.localTime(now), r.id)
			n.forgetIfDone(r)
		}
	case nodeListMessage:
		n.handleListMessage(now, e.P.(*listMessage))
	case nodeDatagram:
		if d := e.P.(*datagram); n.incarnation != nil {
			n.policy.HandlePeerMessage(n.localTime(now), d.from, d.data)
		}
	case nodeIdleSweep:
		n.closeIdleConnections(now, e.P.(*connectionPool))
	case nodeReady:
		n.believedUp = n.incarnation != nil
	case nodeHealthCheck:
		if p := e.P.(*healthCheck); p.incarnation == n.incarnation {
			rep := &p.report
			if p.report == unknownReport {
				rep = nil
			}
			n.policy.HandleHealthCheck(n.localTime(now), p.backend.id, p.outcome, now-p.sentAt, rep)
		}
	}
}

func (n *Node) acceptRequest(now eventqueue.Time, r *request) {
	if n.incarnation == nil {
		n.simulation.events.After(&n.source, n.simulation.delay(&n.random, n.site, n.site), eventqueue.Event{To: n.simulation.clients, Kind: clientNodeUnreachable, P: r})
		return
	}
	r.incarnation = n.incarnation
	n.requests[r.id] = r
	n.simulation.checker.RequestAccepted(now, n.index, r.id, r.call.Class, r.deadline)
	n.decisions++
	n.policy.HandleRequest(n.localTime(now), balancer.Request{ID: r.id, AffinityKey: r.call.Key, Class: r.call.Class, Tenant: r.call.Tenant,
		Deadline: r.deadline + n.incarnation.clockOffset, CostHint: workload.Hint(n.simulation.scenario, n.simulation.seed, &r.call.Call), IsRetry: n.simulation.scenario.Clients.Marks && r.number > 0})
}

// SendAttempt sends an attempt.
func (n *Node) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	now := n.simulation.events.Now()
	b := n.simulation.backendsByID[endpoint]
	r := n.requests[id]
	if b == nil || !n.knownEndpoints[endpoint] {
		panic("the policy sends to a box that its list never named")
	}
	n.enforceNotificationDeadlines(now)
	n.simulation.checker.AttemptSent(now, n.index, id, invariant.Backend{ID: endpoint, Site: b.site, Rack: b.rack})
	if r == nil || r.answered || len(r.attempts) >= n.simulation.scenario.Rules.MaxAttempts {
		if r != nil {
			a := &attempt{request: r, number: len(r.attempts), backend: b, sentAt: now, awaited: true}
			r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
			n.simulation.events.After(&n.source, 0, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeNotSent)})
		}
		return
	}
	c := r.call
	d := eventqueue.NewDraws(n.simulation.seed, uint64(id)<<8|uint64(len(r.attempts)), drawWork)
	a := &attempt{request: r, number: len(r.attempts), backend: b, incarnation: b.incarnation, sentAt: now, awaited: true, work: c.Work}
	if noise := n.simulation.scenario.Classes[c.Class].Noise; noise > 0 {
		a.work *= workload.Lognormal(noise, d.Norm())
	}
	r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
	n.simulation.recorder.recordAttempt(c, n.site != b.site)
	end := r.deadline
	if timeout > 0 {
		end = min(end, now+timeout)
	}
	n.simulation.events.At(&n.source, end, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeTimeout)})
	n.dispatchAttempt(now, a, d.Float64())
}

// dispatchAttempt brings the attempt to its box, on an idle connection or a new one.
func (n *Node) dispatchAttempt(now eventqueue.Time, a *attempt, staleDraw float64) {
	backend, oneWayDelay := a.backend, n.simulation.delay(&n.random, n.site, a.backend.site)
	pool := n.pools[backend]
	if pool == nil || pool.incarnation != backend.incarnation {
		pool = &connectionPool{backend: backend, incarnation: backend.incarnation}
		n.pools[backend] = pool
	}
	if last := len(pool.idleSince) - 1; last >= 0 {
		pool.idleSince = pool.idleSince[:last]
		a.holdsConnection = true
		switch {
		case staleDraw < n.simulation.scenario.Net.Stale: // the box had closed it meanwhile
			pool.incarnation.connections--
			a.holdsConnection = false
			n.simulation.events.After(&n.source, 2*oneWayDelay, eventqueue.Event{To: n, Kind: nodeReply, P: a, A: int64(balancer.OutcomeReset)})
		case n.simulation.partitioned(n.site, backend.site):
			a.loseMessage(n.simulation)
		default:
			backend.inTransit++
			n.simulation.events.After(&n.source, oneWayDelay, eventqueue.Event{To: backend, Kind: backendArrival, P: a})
		}
		return
	}
	connections := &n.simulation.scenario.Fleet.Conns
	switch {
	case n.simulation.partitioned(n.site, backend.site) || backend.unreachable:
		n.simulation.events.After(&n.source, fromMilliseconds(connections.Timeout), eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeConnectFailed)})
	case !backend.running || backend.replaced:
		n.simulation.events.After(&n.source, 2*oneWayDelay, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeConnectFailed)})
	default:
		a.newConnection, a.holdsConnection = true, true
		backend.incarnation.connections++
		backend.inTransit++
		n.simulation.recorder.dials++
		n.simulation.events.After(&n.source, eventqueue.Span(2*connections.Rtts*float64(oneWayDelay))+oneWayDelay, eventqueue.Event{To: backend, Kind: backendArrival, P: a})
	}
}

// endAttempt is the end of an attempt. Each has exactly one; what comes later is not heard.
func (n *Node) endAttempt(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	r := a.request
	if !a.awaited || n.incarnation == nil || r.incarnation != n.incarnation {
		return
	}
	a.awaited, r.inFlight = false, r.inFlight-1
	n.releaseConnection(now, a, out, answered)
	n.simulation.checker.AttemptEnded(now, r.id, a.number, out)
	if out == balancer.OutcomeOK && !r.answered {
		r.answered = true
		n.simulation.checker.RequestAnswered(now, n.index, r.id, invariant.Served)
		n.simulation.recorder.recordUsefulWork(a)
		n.sendAnswer(r, invariant.Served, 0)
	}
	s := balancer.AttemptResult{ID: r.id, Attempt: a.number, Endpoint: a.backend.id, Outcome: out, Latency: now - a.sentAt, RequestDone: r.answered}
	if answered && a.report != unknownReport && out != balancer.OutcomeReset {
		s.Load = &a.report
	}
	n.decisions++
	n.policy.HandleAttemptResult(n.localTime(now), s)
	n.forgetIfDone(r)
}

// releaseConnection gives the attempt's connection back, or closes it.
func (n *Node) releaseConnection(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	if !a.holdsConnection {
		return
	}
	a.holdsConnection = false
	p := n.pools[a.backend]
	if !answered || out == balancer.OutcomeReset || p == nil || p.incarnation != a.incarnation || a.incarnation != a.backend.incarnation {
		a.incarnation.connections--
		return
	}
	p.idleSince = append(p.idleSince, now)
	if !p.sweepScheduled {
		p.sweepScheduled = true
		n.simulation.events.After(&n.source, fromMilliseconds(n.simulation.scenario.Fleet.Conns.Idle), eventqueue.Event{To: n, Kind: nodeIdleSweep, P: p})
	}
}

func (n *Node) closeIdleConnections(now eventqueue.Time, pool *connectionPool) {
	pool.sweepScheduled = false
	if n.pools[pool.backend] != pool {
		return
	}
	idle, expired := fromMilliseconds(n.simulation.scenario.Fleet.Conns.Idle), 0
	for expired < len(pool.idleSince) && pool.idleSince[expired] <= now-idle {
		expired++
	}
	pool.incarnation.connections -= expired
	pool.idleSince = append(pool.idleSince[:0], pool.idleSince[expired:]...)
	if len(pool.idleSince) > 0 {
		pool.sweepScheduled = true
		n.simulation.events.At(&n.source, pool.idleSince[0]+idle, eventqueue.Event{To: n, Kind: nodeIdleSweep, P: pool})
	} else {
		delete(n.pools, pool.backend)
	}
}

func (n *Node) forgetIfDone(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(n.requests, r.id)
	}
}

// CancelAttempt gives up an attempt: its connection closes, and the box may drop what still waits.
func (n *Node) CancelAttempt(id balancer.RequestID, no int) {
	r := n.requests[id]
	if r == nil || no >= len(r.attempts) || !r.attempts[no].awaited {
		return
	}
	a := r.attempts[no]
	n.simulation.events.After(&n.source, 0, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeCanceled)})
	if !n.simulation.partitioned(n.site, a.backend.site) {
		n.simulation.events.After(&n.source, n.simulation.delay(&n.random, n.site, a.backend.site), eventqueue.Event{To: a.backend, Kind: backendCancellation, P: a})
	}
}

func (n *Node) finishRequest(id balancer.RequestID, how invariant.Final, retryIn balancer.Span) {
	now := n.simulation.events.Now()
	n.simulation.checker.RequestAnswered(now, n.index, id, how)
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	n.sendAnswer(r, how, retryIn)
	n.forgetIfDone(r)
}

func (n *Node) sendAnswer(r *request, how invariant.Final, retryIn eventqueue.Span) {
	n.simulation.events.After(&n.source, n.simulation.clientDelay(&n.random, r.call.Site, n.site),
		eventqueue.Event{To: n.simulation.clients, Kind: clientAnswered + uint8(how), P: r, A: retryIn})
}

// Reject refuses a request.
func (n *Node) Reject(id balancer.RequestID, retryIn balancer.Span) {
	n.finishRequest(id, invariant.Rejected, retryIn)
}

// Fail ends a request as failed.
func (n *Node) Fail(id balancer.RequestID) { n.finishRequest(id, invariant.Failed, 0) }

// SetTimer sets a timer.
func (n *Node) SetTimer(t balancer.TimerID, delay balancer.Span) {
	n.simulation.events.After(&n.source, delay, eventqueue.Event{To: n, Kind: nodeTimer, P: n.incarnation, A: int64(t)})
}

// CheckHealth asks a box for its load, beside its queue.
func (n *Node) CheckHealth(endpoint balancer.EndpointID) {
	now, b := n.simulation.events.Now(), n.simulation.backendsByID[endpoint]
	check := &healthCheck{backend: b, incarnation: n.incarnation, sentAt: now, outcome: balancer.OutcomeOK, report: unknownReport}
	roundTrip := n.simulation.delay(&n.random, n.site, b.site) + n.simulation.delay(&n.random, b.site, n.site)
	if n.simulation.partitioned(n.site, b.site) || b.unreachable || !b.running || b.frozen {
		check.outcome, roundTrip = balancer.OutcomeConnectFailed, fromMilliseconds(n.simulation.scenario.Fleet.Conns.Timeout)
	} else {
		check.report = n.simulation.loadReportOf(b)
	}
	n.simulation.recorder.healthChecks++
	n.simulation.events.After(&n.source, roundTrip, eventqueue.Event{To: n, Kind: nodeHealthCheck, P: check})
}

// loadReportOf is what a box tells when it is asked.
func (s *Simulation) loadReportOf(b *Backend) balancer.LoadReport {
	return s.scenario.Fleet.Report.LoadReport(balancer.LoadReport{Outstanding: float64(b.InFlight()), Backlog: float64(b.queueLength),
		Utilization: b.visibleReport.Utilization})
}

// WatchEndpoints begins or ends a watch on the list.
func (n *Node) WatchEndpoints(on bool) {
	if !on {
		n.watching = false
		return
	}
	n.polledAt = n.simulation.events.Now()
	n.simulation.discovery.enqueueCall(n, false)
}

// PollEndpoints asks for the whole list, once.
func (n *Node) PollEndpoints() {
	n.polledAt = n.simulation.events.Now()
	n.simulation.discovery.enqueueCall(n, true)
}

// Log takes the policy's lines.
func (n *Node) Log(text string) {
	if n.simulation.Log != nil {
		n.simulation.Log(n.simulation.events.Now()-origin, n.index, text)
	}
}

// publishDatagram sends a datagram to another node, or to all of them for -1.
func (n *Node) publishDatagram(recipient int, data []byte) {
	if !n.simulation.scenario.Rules.Peers || len(data) > 256 {
		return
	}
	for _, other := range n.simulation.nodes {
		if other == n || recipient >= 0 && other.index != recipient {
			continue
		}
		n.simulation.recorder.datagrams++
		if n.simulation.partitioned(n.site, other.site) || n.random.Float64() < max(n.simulation.scenario.Net.Loss, n.simulation.peerMessageLoss) {
			continue
		}
		n.simulation.events.After(&n.source, fromMilliseconds(interpolate(n.simulation.scenario.Net.Peer, n.random.Float64())),
			eventqueue.Event{To: other, Kind: nodeDatagram, P: &datagram{n.index, data}})
	}
}
