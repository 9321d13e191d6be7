// Package fake is the platform's outside as stand-ins on loopback sockets: app boxes, discovery, and a front that
// shares clients' connections out among nodes. The boxes are those of the lab, driven in real time; faults have the
// lab's words. It keeps a log of what truly happened, against which nodes and load tools are judged.
package fake

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
)

// Options say how a World is served.
type Options struct {
	Seed uint64
	// Log takes the event log, JSON lines; nil: none is kept.
	Log io.Writer
	// Port is that of every box, each of which has an address of its own for each node; 0: any port.
	Port int
	// Nodes are the addresses of the nodes behind the front, by number.
	Nodes []string
	// Ready is told when a node is taken in by the front.
	Ready func(node int)
}

// Cluster is a running set of stand-ins.
type Cluster struct {
	scenario        *scenario.Scenario
	options         Options
	startedAt       time.Time
	tasks           chan func()
	done            chan struct{} // closed as the loop ends
	stop            context.CancelFunc
	ctx             context.Context
	wg              sync.WaitGroup
	log             *eventLog
	live            *emulator.LiveBackends
	backends        [][]*backendListener // by place and node
	discoveries     []*discovery         // by node
	frontends       []*frontend          // by site
	nodes           []*frontendNode
	faults          map[int]faultinject.Fault // begun through Order
	discoveryFaults int                       // faults that keep discovery down
	responseFaults  []faultinject.Fault       // that spoil how answers are worded, and are on
	endpoints       []endpointRecord          // by box; what discovery knows
	revision        int
	listChanged     chan struct{} // closed at the next change
	ledger          *ledger
	discoveryCalls  discoveryQueue
	processes       *Processes // nil: the nodes are not ours
}

// endpointRecord is a line of discovery's list, with the version that brought it.
type endpointRecord struct {
	emulator.EndpointEntry
	revision int
}

// Start serves the scenario until ctx ends or Close is called.
func Start(ctx context.Context, config *scenario.Scenario, opts Options) (*Cluster, error) {
	for i, a := range opts.Nodes {
		if err := loopback.Check(a); err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
	}
	cl := &Cluster{scenario: config, options: opts, startedAt: time.Now(), tasks: make(chan func(), 1024), done: make(chan struct{}),
		log: newEventLog(opts.Log), faults: map[int]faultinject.Fault{}, listChanged: make(chan struct{}), ledger: newLedger(config)}
	cl.ctx, cl.stop = context.WithCancel(ctx)
	cl.live = emulator.NewLive(config, opts.Seed, eventHandler{cl})
	if err := cl.listen(); err != nil {
		cl.stop()
		cl.closeListeners()
		return nil, err
	}
	cl.wg.Go(cl.loop)
	for _, rows := range cl.backends {
		for _, b := range rows {
			cl.wg.Go(b.accept)
		}
	}
	for _, d := range cl.discoveries {
		cl.wg.Go(d.serve)
	}
	for _, f := range cl.frontends {
		cl.wg.Go(f.accept)
	}
	for _, n := range cl.nodes {
		cl.wg.Go(n.monitor)
	}
	return cl, nil
}

// backendIP is the address of a box for a node: its own in 127.0.0.0/8.
func backendIP(node, place int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+node%128, place/250, 1+place%250)
}

func (cl *Cluster) listen() error {
	nodes := max(cl.scenario.Nodes.Count, len(cl.options.Nodes))
	for place := range cl.scenario.Fleet.Backends {
		var row []*backendListener
		for node := range nodes {
			b, err := newBackendListener(cl, place, node, fmt.Sprintf("%s:%d", backendIP(node, place), cl.options.Port))
			if err != nil {
				return err
			}
			row = append(row, b)
		}
		cl.backends = append(cl.backends, row)
	}
	for node := range nodes {
		d, err := newDiscovery(cl, node)
		if err != nil {
			return err
		}
		cl.discoveries = append(cl.discoveries, d)
	}
	for i, addr := range cl.options.Nodes {
		cl.nodes = append(cl.nodes, &frontendNode{cluster: cl, index: i, addr: addr})
	}
	for site := range cl.scenario.Fleet.Sites {
		f, err := newFrontend(cl, site)
		if err != nil {
			return err
		}
		cl.frontends = append(cl.frontends, f)
	}
	return nil
}

// Since is the time since the start.
func (cl *Cluster) Since() time.Duration { return time.Since(cl.startedAt) }

// Discovery is the address of discovery for a node: each has one of its own, by which it is known.
func (cl *Cluster) Discovery(node int) string { return cl.discoveries[node].addr }

// Frontend is the address at which clients of a site reach its nodes.
func (cl *Cluster) Frontend(site int) string { return cl.frontends[site].listener.Addr().String() }

// Close ends all that was started.
func (cl *Cluster) Close() error {
	cl.stop()
	cl.closeListeners()
	cl.wg.Wait()
	return cl.log.flush()
}

func (cl *Cluster) closeListeners() {
	for _, row := range cl.backends {
		for _, b := range row {
			b.close()
		}
	}
	for _, d := range cl.discoveries {
		d.close()
	}
	for _, f := range cl.frontends {
		f.close()
	}
}

// post runs f on the world's goroutine, which owns all of its state. It reports false once the world has ended.
func (cl *Cluster) post(f func()) bool {
	select {
	case cl.tasks <- f:
		return true
	case <-cl.done:
		return false
	}
}

// call runs f on the world's goroutine and waits for it.
func (cl *Cluster) call(f func()) bool {
	ran := make(chan struct{})
	if !cl.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-cl.done:
		return false
	}
}

func (cl *Cluster) now() int64 { return time.Since(cl.startedAt).Microseconds() }

// loop plays the boxes as time passes and takes what the sockets bring.
func (cl *Cluster) loop() {
	defer close(cl.done)
	const idle = time.Second
	timer := time.NewTimer(idle)
	for {
		next := cl.live.Advance(cl.now())
		timer.Reset(max(0, min(time.Duration(next-cl.now())*time.Microsecond, idle)))
		select {
		case f := <-cl.tasks:
			f()
		case <-timer.C:
		case <-cl.ctx.Done():
			return
		}
	}
}

// eventHandler hears what the boxes do, on the world's goroutine.
type eventHandler struct{ cluster *Cluster }

func (e eventHandler) Answered(p emulator.Pending, out balancer.Outcome) {
	c := p.Any.(*exchange)
	c.finish(p, out)
}

// Ran counts a run as it begins: a node that gives up an attempt hears of no end, but the attempt has run.
func (e eventHandler) Ran(pending any) {
	x, w := pending.(*exchange), e.cluster
	if w.ledger.recordExecution(x.id, x.class, x.conn.backend.place) {
		w.log.write(logEvent{Time: w.now(), Kind: "ran-twice", ID: x.id, Node: x.conn.backend.node, Backend: x.backend, Place: x.conn.backend.place})
	}
}

func (e eventHandler) Listed(l emulator.EndpointEntry) {
	w := e.cluster
	w.revision++
	at := slices.IndexFunc(w.endpoints, func(x endpointRecord) bool { return x.Backend == l.Backend })
	if at < 0 {
		w.endpoints = append(w.endpoints, endpointRecord{l, w.revision})
	} else {
		w.endpoints[at] = endpointRecord{l, w.revision}
	}
	w.log.write(logEvent{Time: w.now(), Kind: "listed", Backend: l.Backend, Place: l.Place, Phase: phaseNames[l.Phase], Revision: w.revision})
	close(w.listChanged)
	w.listChanged = make(chan struct{})
}

var phaseNames = map[balancer.Phase]string{balancer.PhaseReady: "in_service", balancer.PhaseDraining: "terminating",
	balancer.PhaseRemoved: "terminated"}

func (e eventHandler) Began(f faultinject.Fault) {
	w := e.cluster
	w.log.write(logEvent{Time: w.now(), Kind: "fault-began", Fault: &f})
	if w.processes != nil {
		w.processes.applyFault(f, true)
	}
	if f.Kind == faultinject.Garbage || f.Kind == faultinject.Interim {
		w.responseFaults = append(w.responseFaults, f)
	}
	if f.Kind == faultinject.ListDown {
		w.discoveryFaults++
		for _, d := range w.discoveries {
			d.resetConnections()
		}
	}
	w.updateListeners()
}

func (e eventHandler) Ended(f faultinject.Fault) {
	w := e.cluster
	w.log.write(logEvent{Time: w.now(), Kind: "fault-ended", Fault: &f})
	if w.processes != nil {
		w.processes.applyFault(f, false)
	}
	if f.Kind == faultinject.ListDown {
		w.discoveryFaults--
	}
	if at := slices.IndexFunc(w.responseFaults, func(o faultinject.Fault) bool {
		return o.Kind == f.Kind && o.Start == f.Start && slices.Equal(o.Backends, f.Backends)
	}); at >= 0 {
		w.responseFaults = slices.Delete(w.responseFaults, at, at+1)
	}
	w.updateListeners()
}

// updateListeners brings every box's sockets in line with what has become of its process and its links.
func (cl *Cluster) updateListeners() {
	for place, row := range cl.backends {
		up, silent := cl.live.Up(place)
		for node, b := range row {
			b.setState(up, silent || cl.live.Partitioned(node, place), cl.live.Incarnation(place))
		}
	}
}

// Inject begins a fault now. It returns the number by which Lift ends it, and the fault with nothing left open.
func (cl *Cluster) Inject(fault faultinject.Fault) (id int, complete faultinject.Fault, err error) {
	if err := fault.Check("fault", cl.scenario.Scope(nil, nil)); err != nil {
		return 0, fault, err
	}
	if fault.Kind == faultinject.Rolling {
		return 0, fault, fmt.Errorf("fault.kind: %s is for a timeline; order its drains one by one", fault.Kind)
	}
	ok := cl.call(func() {
		cl.live.Advance(cl.now())
		id, complete = cl.live.Begin(fault)
		cl.faults[id] = complete
	})
	if !ok {
		return 0, fault, net.ErrClosed
	}
	return id, complete, nil
}

// Lift ends a fault that Order began, and tells whether there was one.
func (cl *Cluster) Lift(id int) (existed bool) {
	cl.call(func() {
		if _, existed = cl.faults[id]; existed {
			delete(cl.faults, id)
			cl.live.Advance(cl.now())
			existed = cl.live.End(id)
		}
	})
	return existed
}

// Report is what a world has seen so far.
type Report struct {
	Seconds       float64         `json:"seconds"`
	Arrived       int64           `json:"arrived"`     // requests whose last byte came to a box
	Executions    int64           `json:"executions"`  // that began to run
	DuplicateRuns int64           `json:"twice"`       // of a class that must run once: runs beyond the first of one id
	AfterDrain    int64           `json:"after_drain"` // requests to a box later than the rule's grace and 50 ms after the node was told
	Unreadable    int64           `json:"unreadable"`  // requests that were not what PROTOCOL says
	Connections   int64           `json:"connections"` // made to boxes
	Backends      []BackendReport `json:"boxes"`
	Probes        int64           `json:"probes"`
}

// BackendReport is one address's part of it.
type BackendReport struct {
	Number  int   `json:"place"`
	Arrived int64 `json:"arrived"`
	Ran     int64 `json:"ran"`
	Up      bool  `json:"up"`
}

// Report asks for the figures so far.
func (cl *Cluster) Report() Report {
	var r Report
	cl.call(func() {
		r = cl.ledger.report()
		r.Seconds, r.Executions = cl.Since().Seconds(), cl.live.Executions()
		for place := range cl.backends {
			b := BackendReport{Number: place, Arrived: cl.ledger.arrivedAt[place], Ran: cl.ledger.executedAt[place]}
			b.Up, _ = cl.live.Up(place)
			r.Backends = append(r.Backends, b)
		}
	})
	return r
}

// Executions is how often the request of that id has begun to run, while it is remembered.
func (cl *Cluster) Executions(id string) (n int) {
	cl.call(func() { n = cl.ledger.executions[id] })
	return n
}

// endpointsSince is what discovery tells a node: what changed after a version, or all.
func (cl *Cluster) endpointsSince(node, since int) (lines []endpointRecord, rev int) {
	for _, l := range cl.endpoints {
		if l.revision > since && (since >= 0 || l.Phase != balancer.PhaseRemoved) {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b endpointRecord) int { return cmp.Compare(a.revision, b.revision) })
	return lines, cl.revision
}
