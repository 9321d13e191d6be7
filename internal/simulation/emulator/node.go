package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
)

// Kinds of a node's events.
const (
	nodeRequest        = iota // Payload: the request, from its client
	nodeReply                 // Payload: the attempt; Argument: its balancer.Outcome
	nodeTimeout               // Payload: the attempt, which ends without an answer; Argument: its balancer.Outcome
	nodeTimer                 // Payload: the nodeIncarnation that set the timer; Argument: its balancer.TimerID
	nodeClientCanceled        // Payload: the request
	nodeListMessage           // Payload: the listMessage
	nodeDatagram              // Payload: the datagram
	nodeIdleSweep             // Payload: the connectionPool whose connections may have been idle too long
	nodeReady                 // the frontend finds that the node runs
	nodeHealthCheck           // Payload: the healthCheck, which has ended
)

// nodeIncarnation is one process of a node.
type nodeIncarnation struct {
	clockOffset eventqueue.Span
}

// Node is one load balancer process: a policy, and the I/O that carries out its commands. Nodes share only the network.
type Node struct {
	simulation     *Simulation
	source         eventqueue.Source
	random         eventqueue.Stream
	index          int
	site           int
	startCount     uint64
	incarnation    *nodeIncarnation // nil: not running
	policy         policy.Policy
	requests       map[balancer.RequestID]*request
	pools          map[*Backend]*connectionPool
	knownEndpoints map[balancer.EndpointID]bool // ever listed to this incarnation; attempts go to no others

	watching              bool
	listRevision          int // of the last list received
	polledAt              eventqueue.Time
	pollFailed            bool
	enforcedRevision      int // up to which the node counts as notified
	notificationScheduled bool
	believedUp            bool    // by the frontend
	extraTraffic          float64 // fraction of all requests that hot-node faults direct here
	stoppingFaults        int     // active faults that keep it from running
	clockOffsets          []eventqueue.Span
	cachedRevision        int // of the list that a new incarnation starts with
	decisions             uint64
}

// newNode returns a node that does not run yet.
func (s *Simulation) newNode(index int, streamName string) *Node {
	return &Node{
		simulation: s,
		source:     eventqueue.NewSource(sourceNode | uint32(index)),
		random:     eventqueue.NewStream(s.seed, streamName),
		index:      index,
		site:       s.scenario.Site(index),
		believedUp: true,
	}
}

// schedule sets an event made by this node after a delay.
func (n *Node) schedule(delay eventqueue.Span, event eventqueue.Event) {
	n.simulation.events.ScheduleAfter(&n.source, delay, event)
}

// startProcess starts a process that knows nothing but its settings and the cached endpoint list.
func (n *Node) startProcess(now eventqueue.Time) error {
	n.incarnation, n.startCount = &nodeIncarnation{}, n.startCount+1
	for _, offset := range n.clockOffsets {
		n.incarnation.clockOffset += offset
	}
	n.requests = map[balancer.RequestID]*request{}
	n.pools = map[*Backend]*connectionPool{}
	n.knownEndpoints = map[balancer.EndpointID]bool{}
	n.watching, n.notificationScheduled, n.pollFailed, n.polledAt = false, false, false, now
	seed := eventqueue.NewStream(n.simulation.seed, "policy").Uint64() ^ uint64(n.index+1)<<32 ^ n.startCount
	config := n.simulation.scenario.Config(n.site, n.simulation.quotas)
	config.PeerIndex = n.index
	p, err := n.simulation.newPolicy(policy.Env{
		Config:        config,
		Seed:          seed,
		Node:          n.index,
		Commands:      n,
		Publish:       n.publishDatagram,
		OracleLatency: n.oracleLatency,
	})
	if err != nil {
		return err
	}
	n.policy = p
	n.listRevision, n.enforcedRevision = n.cachedRevision, n.cachedRevision
	list := n.simulation.discovery.fullListAt(n.cachedRevision)
	n.applyList(now, balancer.ListCached, list, n.cachedRevision)
	return nil
}

// oracleLatency is the time in µs after which a request of mean work sent now would be answered. No real node can know it.
func (n *Node) oracleLatency(id balancer.EndpointID) float64 {
	b := n.simulation.backendsByID[id]
	if b == nil || !b.running || b.draining || b.frozen || n.simulation.partitioned(n.site, b.site) {
		return math.Inf(1)
	}
	link := n.simulation.scenario.Net.Same
	if n.site != b.site {
		link = n.simulation.scenario.Net.Cross
	}
	latency := b.ExpectedLatency() + 2*float64(fromMilliseconds(link))
	if b.errorRate > 0 { // a fast error is no answer
		latency += b.errorRate * 1e9
	}
	return latency
}

// stopProcess kills the process: its requests get no answer, and its connections are reset.
func (n *Node) stopProcess() {
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
			delay := n.simulation.delay(&n.random, n.site, n.site)
			n.schedule(delay, eventqueue.Event{Target: n.simulation.clients, Kind: clientConnectionBroken, Payload: r})
		}
		for _, a := range r.attempts {
			a.awaited = false
			if a.holdsConnection {
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

// localTime is the time by the node's clock.
func (n *Node) localTime(now eventqueue.Time) balancer.Time { return now + n.incarnation.clockOffset }

// Handle processes the node's events.
func (n *Node) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case nodeRequest:
		n.acceptRequest(now, e.Payload.(*request))
	case nodeReply:
		n.endAttempt(now, e.Payload.(*attempt), balancer.Outcome(e.Argument), true)
	case nodeTimeout:
		if a := e.Payload.(*attempt); a.awaited {
			n.endAttempt(now, a, balancer.Outcome(e.Argument), false)
		}
	case nodeTimer:
		if e.Payload.(*nodeIncarnation) == n.incarnation {
			n.policy.HandleTimer(n.localTime(now), balancer.TimerID(e.Argument))
		}
	case nodeClientCanceled:
		n.cancelRequest(now, e.Payload.(*request))
	case nodeListMessage:
		n.handleListMessage(now, e.Payload.(*listMessage))
	case nodeDatagram:
		if d := e.Payload.(*datagram); n.incarnation != nil {
			n.policy.HandlePeerMessage(n.localTime(now), d.from, d.data)
		}
	case nodeIdleSweep:
		n.closeIdleConnections(now, e.Payload.(*connectionPool))
	case nodeReady:
		n.believedUp = n.incarnation != nil
	case nodeHealthCheck:
		n.endHealthCheck(now, e.Payload.(*healthCheck))
	}
}

// SetTimer sets a timer of the policy; it is dropped if the node restarts.
func (n *Node) SetTimer(t balancer.TimerID, delay balancer.Span) {
	n.schedule(delay, eventqueue.Event{Target: n, Kind: nodeTimer, Payload: n.incarnation, Argument: int64(t)})
}

// Log passes on a log line of the policy.
func (n *Node) Log(text string) {
	if n.simulation.Log != nil {
		n.simulation.Log(n.simulation.events.Now()-origin, n.index, text)
	}
}
