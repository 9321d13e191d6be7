package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// Kinds of discovery's events.
const (
	discoveryChangeDetected = iota // Payload: the change that discovery learns of
	discoveryCallServed            // Payload: the call, which is answered now
	discoveryWatchNotified         // Payload: the node that is sent a watch event
)

// listChange is one change of the endpoint list.
type listChange struct {
	endpoint  balancer.Endpoint
	learnedAt eventqueue.Time
}

// discoveryCall is a poll or the start of a watch that waits for its answer.
type discoveryCall struct {
	node        *Node
	incarnation *nodeIncarnation
	full        bool
	accepted    bool
}

// listMessage is an answer of discovery, or a watch event, on its way to a node.
type listMessage struct {
	incarnation *nodeIncarnation
	kind        balancer.ListKind
	endpoints   []balancer.Endpoint
	revision    int
	fromWatch   bool
}

// discovery is the one service that knows the endpoints. It learns of changes late, queues calls, and can be down. A
// revision is the number of changes so far.
type discovery struct {
	simulation       *Simulation
	source           eventqueue.Source
	random           eventqueue.Stream
	changes          []listChange
	busyUntil        eventqueue.Time // when all calls so far are served
	outages          int
	fullList         []balancer.Endpoint // as of fullListRevision, shared by all who receive it
	fullListRevision int
}

func (d *discovery) revision() int { return len(d.changes) }

func (d *discovery) schedule(delay eventqueue.Span, event eventqueue.Event) {
	d.simulation.events.ScheduleAfter(&d.source, delay, event)
}

// scheduleChange sets the moment at which discovery learns of a change.
func (d *discovery) scheduleChange(after eventqueue.Span, endpoint balancer.Endpoint) {
	d.schedule(after, eventqueue.Event{Target: d, Kind: discoveryChangeDetected, Payload: &listChange{endpoint: endpoint}})
}

// Handle processes discovery's events.
func (d *discovery) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case discoveryChangeDetected:
		c := e.Payload.(*listChange)
		d.appendChange(now, c.endpoint)
	case discoveryCallServed:
		d.serveCall(e.Payload.(*discoveryCall))
	case discoveryWatchNotified:
		n := e.Payload.(*Node)
		n.notificationScheduled = false
		if n.watching && d.outages == 0 && n.listRevision < d.revision() {
			event := &listMessage{
				incarnation: n.incarnation,
				kind:        balancer.ListDelta,
				endpoints:   d.changesBetween(n.listRevision, d.revision()),
				revision:    d.revision(),
				fromWatch:   true,
			}
			d.sendMessage(n, event, 0)
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
		delay := fromMilliseconds(interpolate(d.simulation.scenario.Discovery.Spread, d.random.Float64()))
		d.schedule(delay, eventqueue.Event{Target: d, Kind: discoveryWatchNotified, Payload: n})
	}
}

// changesBetween returns the latest state of each endpoint that changed after one revision and up to another.
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

// fullListAt returns the complete list as of a revision.
func (d *discovery) fullListAt(revision int) []balancer.Endpoint {
	if d.fullList != nil && d.fullListRevision == revision {
		return d.fullList
	}
	indexByID := map[balancer.EndpointID]int{}
	var all, list []balancer.Endpoint
	for _, c := range d.changes[:revision] {
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
	d.fullList, d.fullListRevision = list, revision
	return list
}

// enqueueCall queues a call. It fails if discovery is down or the call would wait too long.
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
		call.accepted = false
		if settings.FailedCost {
			d.busyUntil = finish
		}
		finish = now + fromMilliseconds(settings.Timeout)
	default:
		d.busyUntil = finish
	}
	d.simulation.events.Schedule(&d.source, finish, eventqueue.Event{Target: d, Kind: discoveryCallServed, Payload: call})
}

// serveCall answers a call with the complete list or the changes since the node's revision, unless the node has restarted.
func (d *discovery) serveCall(call *discoveryCall) {
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
	d.schedule(after, eventqueue.Event{Target: node, Kind: nodeListMessage, Payload: message})
}

// beginOutage makes discovery unavailable and ends all watches. Outages may overlap.
func (d *discovery) beginOutage() {
	d.outages++
	if d.outages > 1 {
		return
	}
	for _, n := range d.simulation.nodes {
		if n.watching {
			n.watching = false
			failure := &listMessage{incarnation: n.incarnation, kind: balancer.ListFailed}
			d.sendMessage(n, failure, fromMilliseconds(d.simulation.scenario.Net.Cross))
		}
	}
}

// endOutage ends one outage.
func (d *discovery) endOutage() { d.outages-- }
