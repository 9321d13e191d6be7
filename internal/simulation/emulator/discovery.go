package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// What discovery's events mean.
const (
	discoveryChangeDetected = iota // P: the change, as discovery notices it
	discoveryCallServed            // P: the call, whose turn has come
	discoveryWatchNotified         // P: the node whose watch has something to tell
)

// listChange is one line of the list, in the order in which discovery learned it.
type listChange struct {
	endpoint  balancer.Endpoint
	learnedAt eventqueue.Time
}

type discoveryCall struct {
	node        *Node
	incarnation *nodeIncarnation
	full        bool
	accepted    bool
}

// listMessage is what a node is told.
type listMessage struct {
	incarnation *nodeIncarnation
	kind        balancer.ListKind
	endpoints   []balancer.Endpoint
	revision    int
	fromWatch   bool
}

// discovery is the one service that knows the boxes: late, asked, with a queue of calls, and at times down. A version
// is the number of changes so far.
type discovery struct {
	simulation       *Simulation
	source           eventqueue.Source
	random           eventqueue.Stream
	changes          []listChange
	busyUntil        eventqueue.Time // when it is done with the calls that it has
	outages          int
	fullList         []balancer.Endpoint // as of wholeAt, shared by all who are told it
	fullListRevision int
}

func (d *discovery) revision() int { return len(d.changes) }

// scheduleChange sets the moment at which discovery learns of a change.
func (d *discovery) scheduleChange(after eventqueue.Span, endpoint balancer.Endpoint) {
	d.simulation.events.After(&d.source, after, eventqueue.Event{To: d, Kind: discoveryChangeDetected, P: &listChange{endpoint: endpoint}})
}

// Handle takes discovery's events.
func (d *discovery) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case discoveryChangeDetected:
		c := e.P.(*listChange)
		d.appendChange(now, c.endpoint)
	case discoveryCallServed:
		d.serveCall(now, e.P.(*discoveryCall))
	case discoveryWatchNotified:
		n := e.P.(*Node)
		n.notificationScheduled = false
		if n.watching && d.outages == 0 && n.listRevision < d.revision() {
			d.sendMessage(n, &listMessage{incarnation: n.incarnation, kind: balancer.ListDelta, endpoints: d.changesBetween(n.listRevision, d.revision()), revision: d.revision(), fromWatch: true}, 0)
		}
	}
}

func (d *discovery) appendChange(now eventqueue.Time, endpoint balancer.Endpoint) {
	d.changes = append(d.changes, listChange{endpoint, now})
	for _, n := range d.simulation.nodes {
		d.scheduleNotification(n)
	}
}

func (d *discovery) scheduleNotification(n *Node) {
	if n.watching && !n.notificationScheduled && d.outages == 0 {
		n.notificationScheduled = true
		d.simulation.events.After(&d.source, fromMilliseconds(interpolate(d.simulation.scenario.Discovery.Spread, d.random.Float64())), eventqueue.Event{To: d, Kind: discoveryWatchNotified, P: n})
	}
}

// changesBetween are the latest lines of those that changed after one version and up to another.
func (d *discovery) changesBetween(from, to int) []balancer.Endpoint {
	indexByID := map[balancer.EndpointID]int{}
	var list []balancer.Endpoint
	for _, c := range d.changes[from:to] {
		if i, ok := indexByID[c.endpoint.ID]; ok {
			list[i] = c.endpoint
			continue
		}
		indexByID[c.endpoint.ID] = len(list)
		list = append(list, c.endpoint)
	}
	return list
}

// fullListAt is the whole list as of a version.
func (d *discovery) fullListAt(version int) []balancer.Endpoint {
	if d.fullList != nil && d.fullListRevision == version {
		return d.fullList
	}
	indexByID := map[balancer.EndpointID]int{}
	var all, list []balancer.Endpoint
	for _, c := range d.changes[:version] {
		if i, ok := indexByID[c.endpoint.ID]; ok {
			all[i] = c.endpoint
			continue
		}
		indexByID[c.endpoint.ID] = len(all)
		all = append(all, c.endpoint)
	}
	for _, endpoint := range all {
		if endpoint.Phase != balancer.PhaseRemoved {
			list = append(list, endpoint)
		}
	}
	d.fullList, d.fullListRevision = list, version
	return list
}

// enqueueCall queues a call. One that would wait too long, or finds discovery down, fails.
func (d *discovery) enqueueCall(node *Node, full bool) {
	now, settings := d.simulation.events.Now(), &d.simulation.scenario.Discovery
	d.simulation.recorder.discoveryCalls++
	call := &discoveryCall{node: node, incarnation: node.incarnation, full: full, accepted: d.outages == 0}
	lines := 0
	if full || d.revision()-node.listRevision > settings.DeltaLines {
		lines = len(d.simulation.backends)
	}
	finish := max(now, d.busyUntil) + eventqueue.Span(1e6/settings.PerS+1e6*float64(lines)/settings.LinesPerS)
	switch {
	case !call.accepted:
		finish = now + fromMilliseconds(d.simulation.scenario.Net.Cross)
	case finish-now > fromMilliseconds(settings.Timeout):
		if call.accepted = false; settings.FailedCost {
			d.busyUntil = finish
		}
		finish = now + fromMilliseconds(settings.Timeout)
	default:
		d.busyUntil = finish
	}
	d.simulation.events.At(&d.source, finish, eventqueue.Event{To: d, Kind: discoveryCallServed, P: call})
}

func (d *discovery) serveCall(_ eventqueue.Time, call *discoveryCall) {
	node := call.node
	if node.incarnation != call.incarnation {
		return
	}
	if !call.accepted || d.outages > 0 {
		d.sendMessage(node, &listMessage{incarnation: node.incarnation, kind: balancer.ListFailed}, 0)
		return
	}
	message := &listMessage{incarnation: node.incarnation, kind: balancer.ListDelta, revision: d.revision(), fromWatch: !call.full}
	if call.full || d.revision()-node.listRevision > d.simulation.scenario.Discovery.DeltaLines {
		message.kind, message.endpoints = balancer.ListFull, d.fullListAt(d.revision())
	} else {
		message.endpoints = d.changesBetween(node.listRevision, d.revision())
	}
	d.sendMessage(node, message, fromMilliseconds(d.simulation.scenario.Net.Cross))
}

func (d *discovery) sendMessage(node *Node, message *listMessage, after eventqueue.Span) {
	d.simulation.events.After(&d.source, after, eventqueue.Event{To: node, Kind: nodeListMessage, P: message})
}

// beginOutage ends all watches; rise lets calls in again.
func (d *discovery) beginOutage() {
	if d.outages++; d.outages > 1 {
		return
	}
	for _, n := range d.simulation.nodes {
		if n.watching {
			n.watching = false
			d.sendMessage(n, &listMessage{incarnation: n.incarnation, kind: balancer.ListFailed}, fromMilliseconds(d.simulation.scenario.Net.Cross))
		}
	}
}

func (d *discovery) endOutage() { d.outages-- }

// handleListMessage is news that has reached the node.
func (n *Node) handleListMessage(now eventqueue.Time, message *listMessage) {
	if message.incarnation != n.incarnation || n.incarnation == nil {
		return
	}
	n.pollFailed = message.kind == balancer.ListFailed
	if message.kind == balancer.ListFailed {
		n.watching = false
		n.policy.HandleEndpoints(n.localTime(now), message.kind, nil)
		return
	}
	if message.revision < n.listRevision {
		return
	}
	if message.fromWatch {
		n.watching = true
	}
	n.applyList(now, message.kind, message.endpoints, message.revision)
	if n.listRevision < n.simulation.discovery.revision() {
		n.simulation.discovery.scheduleNotification(n)
	}
}

// applyList hands a list to the policy, and to the judge what is new in it.
func (n *Node) applyList(now eventqueue.Time, kind balancer.ListKind, list []balancer.Endpoint, version int) {
	from := n.listRevision
	if kind == balancer.ListCached {
		from = n.simulation.initialRevision // of those known from the start there is nothing to be told
	}
	for _, endpoint := range n.simulation.discovery.changesBetween(min(from, version), version) {
		n.simulation.checker.NodeNotified(now, n.index, endpoint.ID, endpoint.Phase, endpoint.StartedAt)
	}
	for _, endpoint := range list {
		n.knownEndpoints[endpoint.ID] = true
	}
	n.listRevision, n.enforcedRevision = version, max(n.enforcedRevision, version)
	n.decisions++
	n.policy.HandleEndpoints(n.localTime(now), kind, list)
}

// enforceNotificationDeadlines tells the judge what the rules take as told: a node that neither watches nor asks for so long (four times
// that after a failed call) is held to what was listed so long ago.
func (n *Node) enforceNotificationDeadlines(now eventqueue.Time) {
	every := fromMilliseconds(n.simulation.scenario.Discovery.PollInterval)
	if n.watching || every == 0 || n.enforcedRevision >= n.simulation.discovery.revision() {
		return
	}
	if n.pollFailed {
		every *= 4
	}
	for _, c := range n.simulation.discovery.changes[n.enforcedRevision:] {
		if since := max(c.learnedAt, n.polledAt); since+every > now {
			return
		}
		n.enforcedRevision++
		n.simulation.checker.NodeNotified(max(c.learnedAt, n.polledAt)+every, n.index, c.endpoint.ID, c.endpoint.Phase, c.endpoint.StartedAt)
	}
}
