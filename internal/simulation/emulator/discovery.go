package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// What discovery's events mean.
const (
	discChanged = iota // P: the change, as discovery notices it
	discServe          // P: the call, whose turn has come
	discNotify         // P: the node whose watch has something to tell
)

// change is one line of the list, in the order in which discovery learned it.
type change struct {
	host balancer.Endpoint
	at   eventqueue.Time
}

type listCall struct {
	node *Node
	life *nodeLife
	full bool
	ok   bool
}

// news is what a node is told.
type news struct {
	life    *nodeLife
	kind    balancer.ListKind
	list    []balancer.Endpoint
	version int
	watch   bool
}

// discovery is the one service that knows the boxes: late, asked, with a queue of calls, and at times down. A version
// is the number of changes so far.
type discovery struct {
	w       *Simulation
	src     eventqueue.Source
	rand    eventqueue.Stream
	log     []change
	free    eventqueue.Time // when it is done with the calls that it has
	down    int
	whole   []balancer.Endpoint // as of wholeAt, shared by all who are told it
	wholeAt int
}

func (d *discovery) version() int { return len(d.log) }

// noticed sets the moment at which discovery learns of a change.
func (d *discovery) noticed(after eventqueue.Span, h balancer.Endpoint) {
	d.w.sim.After(&d.src, after, eventqueue.Event{To: d, Kind: discChanged, P: &change{host: h}})
}

// Handle takes discovery's events.
func (d *discovery) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case discChanged:
		c := e.P.(*change)
		d.add(now, c.host)
	case discServe:
		d.serve(now, e.P.(*listCall))
	case discNotify:
		n := e.P.(*Node)
		n.notifying = false
		if n.watching && d.down == 0 && n.version < d.version() {
			d.send(n, &news{life: n.life, kind: balancer.ListDelta, list: d.between(n.version, d.version()), version: d.version(), watch: true}, 0)
		}
	}
}

func (d *discovery) add(now eventqueue.Time, h balancer.Endpoint) {
	d.log = append(d.log, change{h, now})
	for _, n := range d.w.nodes {
		d.notify(n)
	}
}

func (d *discovery) notify(n *Node) {
	if n.watching && !n.notifying && d.down == 0 {
		n.notifying = true
		d.w.sim.After(&d.src, us(between(d.w.sc.Discovery.Spread, d.rand.Float64())), eventqueue.Event{To: d, Kind: discNotify, P: n})
	}
}

// between are the latest lines of those that changed after one version and up to another.
func (d *discovery) between(from, to int) []balancer.Endpoint {
	at := map[balancer.EndpointID]int{}
	var list []balancer.Endpoint
	for _, c := range d.log[from:to] {
		if i, ok := at[c.host.ID]; ok {
			list[i] = c.host
			continue
		}
		at[c.host.ID] = len(list)
		list = append(list, c.host)
	}
	return list
}

// listAt is the whole list as of a version.
func (d *discovery) listAt(version int) []balancer.Endpoint {
	if d.whole != nil && d.wholeAt == version {
		return d.whole
	}
	at := map[balancer.EndpointID]int{}
	var all, list []balancer.Endpoint
	for _, c := range d.log[:version] {
		if i, ok := at[c.host.ID]; ok {
			all[i] = c.host
			continue
		}
		at[c.host.ID] = len(all)
		all = append(all, c.host)
	}
	for _, h := range all {
		if h.Phase != balancer.PhaseRemoved {
			list = append(list, h)
		}
	}
	d.whole, d.wholeAt = list, version
	return list
}

// ask queues a call. One that would wait too long, or finds discovery down, fails.
func (d *discovery) ask(n *Node, full bool) {
	now, s := d.w.sim.Now(), &d.w.sc.Discovery
	d.w.rec.callsMade++
	c := &listCall{node: n, life: n.life, full: full, ok: d.down == 0}
	lines := 0
	if full || d.version()-n.version > s.DeltaLines {
		lines = len(d.w.boxes)
	}
	finish := max(now, d.free) + eventqueue.Span(1e6/s.PerS+1e6*float64(lines)/s.LinesPerS)
	switch {
	case !c.ok:
		finish = now + us(d.w.sc.Net.Cross)
	case finish-now > us(s.Timeout):
		if c.ok = false; s.FailedCost {
			d.free = finish
		}
		finish = now + us(s.Timeout)
	default:
		d.free = finish
	}
	d.w.sim.At(&d.src, finish, eventqueue.Event{To: d, Kind: discServe, P: c})
}

func (d *discovery) serve(_ eventqueue.Time, c *listCall) {
	n := c.node
	if n.life != c.life {
		return
	}
	if !c.ok || d.down > 0 {
		d.send(n, &news{life: n.life, kind: balancer.ListFailed}, 0)
		return
	}
	m := &news{life: n.life, kind: balancer.ListDelta, version: d.version(), watch: !c.full}
	if c.full || d.version()-n.version > d.w.sc.Discovery.DeltaLines {
		m.kind, m.list = balancer.ListFull, d.listAt(d.version())
	} else {
		m.list = d.between(n.version, d.version())
	}
	d.send(n, m, us(d.w.sc.Net.Cross))
}

func (d *discovery) send(n *Node, m *news, after eventqueue.Span) {
	d.w.sim.After(&d.src, after, eventqueue.Event{To: n, Kind: nodeList, P: m})
}

// fall ends all watches; rise lets calls in again.
func (d *discovery) fall() {
	if d.down++; d.down > 1 {
		return
	}
	for _, n := range d.w.nodes {
		if n.watching {
			n.watching = false
			d.send(n, &news{life: n.life, kind: balancer.ListFailed}, us(d.w.sc.Net.Cross))
		}
	}
}

func (d *discovery) rise() { d.down-- }

// hear is news that has reached the node.
func (n *Node) hear(now eventqueue.Time, m *news) {
	if m.life != n.life || n.life == nil {
		return
	}
	n.askFailed = m.kind == balancer.ListFailed
	if m.kind == balancer.ListFailed {
		n.watching = false
		n.policy.HandleEndpoints(n.clock(now), m.kind, nil)
		return
	}
	if m.version < n.version {
		return
	}
	if m.watch {
		n.watching = true
	}
	n.tell(now, m.kind, m.list, m.version)
	if n.version < n.w.disc.version() {
		n.w.disc.notify(n)
	}
}

// tell hands a list to the policy, and to the judge what is new in it.
func (n *Node) tell(now eventqueue.Time, kind balancer.ListKind, list []balancer.Endpoint, version int) {
	from := n.version
	if kind == balancer.ListCached {
		from = n.w.first // of those known from the start there is nothing to be told
	}
	for _, h := range n.w.disc.between(min(from, version), version) {
		n.w.judge.NodeNotified(now, n.index, h.ID, h.Phase, h.StartedAt)
	}
	for _, h := range list {
		n.told[h.ID] = true
	}
	n.version, n.deemed = version, max(n.deemed, version)
	n.decisions++
	n.policy.HandleEndpoints(n.clock(now), kind, list)
}

// catchUp tells the judge what the rules take as told: a node that neither watches nor asks for so long (four times
// that after a failed call) is held to what was listed so long ago.
func (n *Node) catchUp(now eventqueue.Time) {
	every := us(n.w.sc.Discovery.PollInterval)
	if n.watching || every == 0 || n.deemed >= n.w.disc.version() {
		return
	}
	if n.askFailed {
		every *= 4
	}
	for _, c := range n.w.disc.log[n.deemed:] {
		if since := max(c.at, n.asked); since+every > now {
			return
		}
		n.deemed++
		n.w.judge.NodeNotified(max(c.at, n.asked)+every, n.index, c.host.ID, c.host.Phase, c.host.StartedAt)
	}
}
