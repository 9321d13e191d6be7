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
	nodeRequest  = iota // P: the request, from its client
	nodeReply           // P: the attempt; A: its outcome
	nodeTimeout         // P: the attempt: its time is over
	nodeWake            // P: the node's life; A: the token
	nodeLeft            // P: the request, whose client has left
	nodeList            // P: the news
	nodeDatagram        // P: the message
	nodeSweep           // P: the pool whose connections may have been idle too long
	nodeReady           // the node starts
	nodeProbed          // P: the probe
)

// request is one try of a call, as a node has it.
type request struct {
	id       balancer.RequestID
	call     *call
	node     *Node
	life     *nodeLife
	to       eventqueue.Handler // who hears of its attempts' ends: the node
	try      int
	deadline eventqueue.Time
	attempts []*attempt
	out      int
	final    bool
}

// nodeLife is one process of a node.
type nodeLife struct {
	clockOff eventqueue.Span
}

// pool is a node's idle connections to a box.
type pool struct {
	box   *Backend
	life  *boxLife
	used  []eventqueue.Time // when each was last used, the latest last
	swept bool              // a sweep is on its way
}

type probe struct {
	box  *Backend
	life *nodeLife
	sent eventqueue.Time
	out  balancer.Outcome
	rep  balancer.LoadReport
}

type datagram struct {
	from int
	data []byte
}

// Node is one instance: a policy, and what carries out its actions. Nodes share nothing but the network.
type Node struct {
	w      *Simulation
	src    eventqueue.Source
	rand   eventqueue.Stream
	index  int
	site   int
	starts uint64
	life   *nodeLife // nil: dead
	policy policy.Policy
	reqs   map[balancer.RequestID]*request
	pools  map[*Backend]*pool
	told   map[balancer.EndpointID]bool // ever named to this life: nothing else may be sent to

	watching  bool
	version   int // of the list as last heard
	asked     eventqueue.Time
	askFailed bool
	deemed    int // version that the rules take as told
	notifying bool
	believed  bool // by the front: alive
	hot       float64
	down      int // faults that keep it dead
	offs      []eventqueue.Span
	cached    int // list version that a new life finds
	decisions uint64
}

func (w *Simulation) newNode(i int, name string) *Node {
	return &Node{w: w, src: eventqueue.NewSource(sourceNode | uint32(i)), rand: eventqueue.NewStream(w.seed, name), index: i, site: w.sc.Site(i),
		believed: true}
}

// start begins a process that knows nothing but its settings and the list as it last held it.
func (n *Node) start(now eventqueue.Time) error {
	n.life, n.starts = &nodeLife{}, n.starts+1
	for _, off := range n.offs {
		n.life.clockOff += off
	}
	n.reqs, n.pools, n.told = map[balancer.RequestID]*request{}, map[*Backend]*pool{}, map[balancer.EndpointID]bool{}
	n.watching, n.notifying, n.askFailed, n.asked = false, false, false, now
	seed := eventqueue.NewStream(n.w.seed, "policy").Uint64() ^ uint64(n.index+1)<<32 ^ n.starts
	cfg := n.w.sc.Config(n.site, n.w.quota)
	cfg.PeerIndex = n.index
	p, err := n.w.make(policy.Env{Config: cfg, Seed: seed, Node: n.index, Actions: n,
		Publish: n.publish, Truth: n.truth})
	if err != nil {
		return err
	}
	n.policy = p
	n.version, n.deemed = n.cached, n.cached
	list := n.w.disc.listAt(n.cached)
	n.tell(now, balancer.ListCached, list, n.cached)
	return nil
}

// truth is what only an oracle can know: the time in µs after which an ordinary request sent now would be answered.
func (n *Node) truth(id balancer.EndpointID) float64 {
	b := n.w.byID[id]
	if b == nil || !b.up || b.draining || b.frozen || n.w.parted(n.site, b.site) {
		return math.Inf(1)
	}
	link := n.w.sc.Net.Same
	if n.site != b.site {
		link = n.w.sc.Net.Cross
	}
	wait := b.Wait() + 2*float64(us(link))
	if b.errors > 0 { // an error at once is no answer
		wait += b.errors * 1e9
	}
	return wait
}

// die kills the process: nothing is answered, and connections are reset.
func (n *Node) die(now eventqueue.Time) {
	if n.life == nil {
		return
	}
	if n.watching {
		n.version = n.w.disc.version()
	}
	n.cached = n.version
	n.w.judge.NodeCrashed(n.index)
	for _, r := range n.open() {
		if !r.final {
			n.w.sim.After(&n.src, n.w.delay(&n.rand, n.site, n.site), eventqueue.Event{To: n.w.crowd, Kind: clientBroken, P: r})
		}
		for _, a := range r.attempts {
			if a.open = false; a.conn {
				a.life.conns--
			}
		}
	}
	for _, p := range n.pools {
		if p.life == p.box.life {
			p.life.conns -= len(p.used)
		}
	}
	n.life, n.policy, n.reqs, n.pools, n.watching = nil, nil, nil, nil, false
}

// open are the node's requests in the order of their ids.
func (n *Node) open() []*request {
	list := make([]*request, 0, len(n.reqs))
	for _, r := range n.reqs {
		list = append(list, r)
	}
	sortBy(list, func(r *request) uint64 { return uint64(r.id) })
	return list
}

// clock is what the node takes the time to be.
func (n *Node) clock(now eventqueue.Time) balancer.Time { return now + n.life.clockOff }

// Handle takes the node's events.
func (n *Node) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case nodeRequest:
		n.take(now, e.P.(*request))
	case nodeReply:
		n.settle(now, e.P.(*attempt), balancer.Outcome(e.A), true)
	case nodeTimeout:
		if a := e.P.(*attempt); a.open {
			n.settle(now, a, balancer.Outcome(e.A), false)
		}
	case nodeWake:
		if e.P.(*nodeLife) == n.life {
			n.policy.HandleTimer(n.clock(now), balancer.TimerID(e.A))
		}
	case nodeLeft:
		if r := e.P.(*request); n.life != nil && r.life == n.life && !r.final {
			r.final = true
			n.w.judge.ClientDisconnected(now, r.id)
			n.policy.HandleCancellation(n.clock(now), r.id)
			n.forget(r)
		}
	case nodeList:
		n.hear(now, e.P.(*news))
	case nodeDatagram:
		if d := e.P.(*datagram); n.life != nil {
			n.policy.HandlePeerMessage(n.clock(now), d.from, d.data)
		}
	case nodeSweep:
		n.sweep(now, e.P.(*pool))
	case nodeReady:
		n.believed = n.life != nil
	case nodeProbed:
		if p := e.P.(*probe); p.life == n.life {
			rep := &p.rep
			if p.rep == unknown {
				rep = nil
			}
			n.policy.HandleHealthCheck(n.clock(now), p.box.id, p.out, now-p.sent, rep)
		}
	}
}

func (n *Node) take(now eventqueue.Time, r *request) {
	if n.life == nil {
		n.w.sim.After(&n.src, n.w.delay(&n.rand, n.site, n.site), eventqueue.Event{To: n.w.crowd, Kind: clientRefusedByNobody, P: r})
		return
	}
	r.life = n.life
	n.reqs[r.id] = r
	n.w.judge.RequestAccepted(now, n.index, r.id, r.call.Class, r.deadline)
	n.decisions++
	n.policy.HandleRequest(n.clock(now), balancer.Request{ID: r.id, AffinityKey: r.call.Key, Class: r.call.Class, Tenant: r.call.Tenant,
		Deadline: r.deadline + n.life.clockOff, CostHint: workload.Hint(n.w.sc, n.w.seed, &r.call.Call), IsRetry: n.w.sc.Clients.Marks && r.try > 0})
}

// SendAttempt sends an attempt.
func (n *Node) SendAttempt(id balancer.RequestID, host balancer.EndpointID, timeout balancer.Span) {
	now := n.w.sim.Now()
	b := n.w.byID[host]
	r := n.reqs[id]
	if b == nil || !n.told[host] {
		panic("the policy sends to a box that its list never named")
	}
	n.catchUp(now)
	n.w.judge.AttemptSent(now, n.index, id, invariant.Backend{ID: host, Site: b.site, Rack: b.rack})
	if r == nil || r.final || len(r.attempts) >= n.w.sc.Rules.MaxAttempts {
		if r != nil {
			a := &attempt{req: r, no: len(r.attempts), box: b, sent: now, open: true}
			r.attempts, r.out = append(r.attempts, a), r.out+1
			n.w.sim.After(&n.src, 0, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeNotSent)})
		}
		return
	}
	c := r.call
	d := eventqueue.NewDraws(n.w.seed, uint64(id)<<8|uint64(len(r.attempts)), drawWork)
	a := &attempt{req: r, no: len(r.attempts), box: b, life: b.life, sent: now, open: true, work: c.Work}
	if noise := n.w.sc.Classes[c.Class].Noise; noise > 0 {
		a.work *= workload.Lognormal(noise, d.Norm())
	}
	r.attempts, r.out = append(r.attempts, a), r.out+1
	n.w.rec.attempt(c, n.site != b.site)
	end := r.deadline
	if timeout > 0 {
		end = min(end, now+timeout)
	}
	n.w.sim.At(&n.src, end, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeTimeout)})
	n.dispatch(now, a, d.Float64())
}

// dispatch brings the attempt to its box, on an idle connection or a new one.
func (n *Node) dispatch(now eventqueue.Time, a *attempt, chance float64) {
	b, one := a.box, n.w.delay(&n.rand, n.site, a.box.site)
	p := n.pools[b]
	if p == nil || p.life != b.life {
		p = &pool{box: b, life: b.life}
		n.pools[b] = p
	}
	if last := len(p.used) - 1; last >= 0 {
		p.used = p.used[:last]
		a.conn = true
		switch {
		case chance < n.w.sc.Net.Stale: // the box had closed it meanwhile
			p.life.conns--
			a.conn = false
			n.w.sim.After(&n.src, 2*one, eventqueue.Event{To: n, Kind: nodeReply, P: a, A: int64(balancer.OutcomeReset)})
		case n.w.parted(n.site, b.site):
			a.lose(n.w)
		default:
			b.coming++
			n.w.sim.After(&n.src, one, eventqueue.Event{To: b, Kind: boxArrive, P: a})
		}
		return
	}
	c := &n.w.sc.Fleet.Conns
	switch {
	case n.w.parted(n.site, b.site) || b.silent:
		n.w.sim.After(&n.src, us(c.Timeout), eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeConnectFailed)})
	case !b.up || b.retired:
		n.w.sim.After(&n.src, 2*one, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeConnectFailed)})
	default:
		a.fresh, a.conn = true, true
		b.life.conns++
		b.coming++
		n.w.rec.dials++
		n.w.sim.After(&n.src, eventqueue.Span(2*c.Rtts*float64(one))+one, eventqueue.Event{To: b, Kind: boxArrive, P: a})
	}
}

// settle is the end of an attempt. Each has exactly one; what comes later is not heard.
func (n *Node) settle(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	r := a.req
	if !a.open || n.life == nil || r.life != n.life {
		return
	}
	a.open, r.out = false, r.out-1
	n.release(now, a, out, answered)
	n.w.judge.AttemptEnded(now, r.id, a.no, out)
	if out == balancer.OutcomeOK && !r.final {
		r.final = true
		n.w.judge.RequestAnswered(now, n.index, r.id, invariant.Served)
		n.w.rec.useful(a)
		n.answer(r, invariant.Served, 0)
	}
	s := balancer.AttemptResult{ID: r.id, Attempt: a.no, Endpoint: a.box.id, Outcome: out, Latency: now - a.sent, RequestDone: r.final}
	if answered && a.report != unknown && out != balancer.OutcomeReset {
		s.Load = &a.report
	}
	n.decisions++
	n.policy.HandleAttemptResult(n.clock(now), s)
	n.forget(r)
}

// release gives the attempt's connection back, or closes it.
func (n *Node) release(now eventqueue.Time, a *attempt, out balancer.Outcome, answered bool) {
	if !a.conn {
		return
	}
	a.conn = false
	p := n.pools[a.box]
	if !answered || out == balancer.OutcomeReset || p == nil || p.life != a.life || a.life != a.box.life {
		a.life.conns--
		return
	}
	p.used = append(p.used, now)
	if !p.swept {
		p.swept = true
		n.w.sim.After(&n.src, us(n.w.sc.Fleet.Conns.Idle), eventqueue.Event{To: n, Kind: nodeSweep, P: p})
	}
}

func (n *Node) sweep(now eventqueue.Time, p *pool) {
	p.swept = false
	if n.pools[p.box] != p {
		return
	}
	idle, k := us(n.w.sc.Fleet.Conns.Idle), 0
	for k < len(p.used) && p.used[k] <= now-idle {
		k++
	}
	p.life.conns -= k
	p.used = append(p.used[:0], p.used[k:]...)
	if len(p.used) > 0 {
		p.swept = true
		n.w.sim.At(&n.src, p.used[0]+idle, eventqueue.Event{To: n, Kind: nodeSweep, P: p})
	} else {
		delete(n.pools, p.box)
	}
}

func (n *Node) forget(r *request) {
	if r.final && r.out == 0 {
		delete(n.reqs, r.id)
	}
}

// CancelAttempt gives up an attempt: its connection closes, and the box may drop what still waits.
func (n *Node) CancelAttempt(id balancer.RequestID, no int) {
	r := n.reqs[id]
	if r == nil || no >= len(r.attempts) || !r.attempts[no].open {
		return
	}
	a := r.attempts[no]
	n.w.sim.After(&n.src, 0, eventqueue.Event{To: n, Kind: nodeTimeout, P: a, A: int64(balancer.OutcomeCanceled)})
	if !n.w.parted(n.site, a.box.site) {
		n.w.sim.After(&n.src, n.w.delay(&n.rand, n.site, a.box.site), eventqueue.Event{To: a.box, Kind: boxCancel, P: a})
	}
}

func (n *Node) final(id balancer.RequestID, how invariant.Final, retryIn balancer.Span) {
	now := n.w.sim.Now()
	n.w.judge.RequestAnswered(now, n.index, id, how)
	r := n.reqs[id]
	if r == nil || r.final {
		return
	}
	r.final = true
	n.answer(r, how, retryIn)
	n.forget(r)
}

func (n *Node) answer(r *request, how invariant.Final, retryIn eventqueue.Span) {
	n.w.sim.After(&n.src, n.w.clientDelay(&n.rand, r.call.Site, n.site),
		eventqueue.Event{To: n.w.crowd, Kind: clientAnswer + uint8(how), P: r, A: retryIn})
}

// Reject refuses a request.
func (n *Node) Reject(id balancer.RequestID, retryIn balancer.Span) {
	n.final(id, invariant.Rejected, retryIn)
}

// Fail ends a request as failed.
func (n *Node) Fail(id balancer.RequestID) { n.final(id, invariant.Failed, 0) }

// SetTimer sets a timer.
func (n *Node) SetTimer(t balancer.TimerID, delay balancer.Span) {
	n.w.sim.After(&n.src, delay, eventqueue.Event{To: n, Kind: nodeWake, P: n.life, A: int64(t)})
}

// CheckHealth asks a box for its load, beside its queue.
func (n *Node) CheckHealth(host balancer.EndpointID) {
	now, b := n.w.sim.Now(), n.w.byID[host]
	p := &probe{box: b, life: n.life, sent: now, out: balancer.OutcomeOK, rep: unknown}
	d := n.w.delay(&n.rand, n.site, b.site) + n.w.delay(&n.rand, b.site, n.site)
	if n.w.parted(n.site, b.site) || b.silent || !b.up || b.frozen {
		p.out, d = balancer.OutcomeConnectFailed, us(n.w.sc.Fleet.Conns.Timeout)
	} else {
		p.rep = n.w.probed(b)
	}
	n.w.rec.probes++
	n.w.sim.After(&n.src, d, eventqueue.Event{To: n, Kind: nodeProbed, P: p})
}

// probed is what a box tells when it is asked.
func (w *Simulation) probed(b *Backend) balancer.LoadReport {
	return w.sc.Fleet.Report.LoadReport(balancer.LoadReport{Outstanding: float64(b.InFlight()), Backlog: float64(b.queued),
		Utilization: b.visible.Utilization})
}

// WatchEndpoints begins or ends a watch on the list.
func (n *Node) WatchEndpoints(on bool) {
	if !on {
		n.watching = false
		return
	}
	n.asked = n.w.sim.Now()
	n.w.disc.ask(n, false)
}

// PollEndpoints asks for the whole list, once.
func (n *Node) PollEndpoints() {
	n.asked = n.w.sim.Now()
	n.w.disc.ask(n, true)
}

// Log takes the policy's lines.
func (n *Node) Log(text string) {
	if n.w.Log != nil {
		n.w.Log(n.w.sim.Now()-origin, n.index, text)
	}
}

// publish sends a datagram to another node, or to all of them for -1.
func (n *Node) publish(to int, data []byte) {
	if !n.w.sc.Rules.Peers || len(data) > 256 {
		return
	}
	for _, o := range n.w.nodes {
		if o == n || to >= 0 && o.index != to {
			continue
		}
		n.w.rec.datagrams++
		if n.w.parted(n.site, o.site) || n.rand.Float64() < max(n.w.sc.Net.Loss, n.w.peerLoss) {
			continue
		}
		n.w.sim.After(&n.src, us(between(n.w.sc.Net.Peer, n.rand.Float64())),
			eventqueue.Event{To: o, Kind: nodeDatagram, P: &datagram{n.index, data}})
	}
}
