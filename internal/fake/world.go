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
	sc      *scenario.Scenario
	opts    Options
	began   time.Time
	posts   chan func()
	done    chan struct{} // closed as the loop ends
	stop    context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup
	log     *eventLog
	live    *emulator.LiveBackends
	boxes   [][]*boxServer // by place and node
	disc    []*discovery   // by node
	front   []*front       // by site
	nodes   []*nodeState
	faults  map[int]faultinject.Fault // begun through Order
	down    int                       // faults that keep discovery down
	spoilt  []faultinject.Fault       // that spoil how answers are worded, and are on
	state   []line                    // by box; what discovery knows
	rev     int
	changed chan struct{} // closed at the next change
	ledger  *ledger
	queue   discoveryQueue
	procs   *Processes // nil: the nodes are not ours
}

// line is a line of discovery's list, with the version that brought it.
type line struct {
	emulator.EndpointEntry
	rev int
}

// Start serves the scenario until ctx ends or Close is called.
func Start(ctx context.Context, sc *scenario.Scenario, opts Options) (*Cluster, error) {
	for i, a := range opts.Nodes {
		if err := loopback.Check(a); err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
	}
	w := &Cluster{sc: sc, opts: opts, began: time.Now(), posts: make(chan func(), 1024), done: make(chan struct{}),
		log: newEventLog(opts.Log), faults: map[int]faultinject.Fault{}, changed: make(chan struct{}), ledger: newLedger(sc)}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.live = emulator.NewLive(sc, opts.Seed, effects{w})
	if err := w.listen(); err != nil {
		w.stop()
		w.closeListeners()
		return nil, err
	}
	w.wg.Go(w.loop)
	for _, rows := range w.boxes {
		for _, b := range rows {
			w.wg.Go(b.accept)
		}
	}
	for _, d := range w.disc {
		w.wg.Go(d.serve)
	}
	for _, f := range w.front {
		w.wg.Go(f.accept)
	}
	for _, n := range w.nodes {
		w.wg.Go(n.watch)
	}
	return w, nil
}

// boxIP is the address of a box for a node: its own in 127.0.0.0/8.
func boxIP(node, place int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+node%128, place/250, 1+place%250)
}

func (w *Cluster) listen() error {
	nodes := max(w.sc.Nodes.Count, len(w.opts.Nodes))
	for place := range w.sc.Fleet.Backends {
		var row []*boxServer
		for node := range nodes {
			b, err := newBoxServer(w, place, node, fmt.Sprintf("%s:%d", boxIP(node, place), w.opts.Port))
			if err != nil {
				return err
			}
			row = append(row, b)
		}
		w.boxes = append(w.boxes, row)
	}
	for node := range nodes {
		d, err := newDiscovery(w, node)
		if err != nil {
			return err
		}
		w.disc = append(w.disc, d)
	}
	for i, addr := range w.opts.Nodes {
		w.nodes = append(w.nodes, &nodeState{w: w, index: i, addr: addr})
	}
	for site := range w.sc.Fleet.Sites {
		f, err := newFront(w, site)
		if err != nil {
			return err
		}
		w.front = append(w.front, f)
	}
	return nil
}

// Since is the time since the start.
func (w *Cluster) Since() time.Duration { return time.Since(w.began) }

// Discovery is the address of discovery for a node: each has one of its own, by which it is known.
func (w *Cluster) Discovery(node int) string { return w.disc[node].addr }

// Frontend is the address at which clients of a site reach its nodes.
func (w *Cluster) Frontend(site int) string { return w.front[site].ln.Addr().String() }

// Close ends all that was started.
func (w *Cluster) Close() error {
	w.stop()
	w.closeListeners()
	w.wg.Wait()
	return w.log.flush()
}

func (w *Cluster) closeListeners() {
	for _, row := range w.boxes {
		for _, b := range row {
			b.shut()
		}
	}
	for _, d := range w.disc {
		d.shut()
	}
	for _, f := range w.front {
		f.shut()
	}
}

// post runs f on the world's goroutine, which owns all of its state. It reports false once the world has ended.
func (w *Cluster) post(f func()) bool {
	select {
	case w.posts <- f:
		return true
	case <-w.done:
		return false
	}
}

// ask runs f on the world's goroutine and waits for it.
func (w *Cluster) ask(f func()) bool {
	ran := make(chan struct{})
	if !w.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-w.done:
		return false
	}
}

func (w *Cluster) now() int64 { return time.Since(w.began).Microseconds() }

// loop plays the boxes as time passes and takes what the sockets bring.
func (w *Cluster) loop() {
	defer close(w.done)
	const idle = time.Second
	timer := time.NewTimer(idle)
	for {
		next := w.live.Advance(w.now())
		timer.Reset(max(0, min(time.Duration(next-w.now())*time.Microsecond, idle)))
		select {
		case f := <-w.posts:
			f()
		case <-timer.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// effects hears what the boxes do, on the world's goroutine.
type effects struct{ w *Cluster }

func (e effects) Answered(p emulator.Pending, out balancer.Outcome) {
	c := p.Any.(*exchange)
	c.answer(p, out)
}

// Ran counts a run as it begins: a node that gives up an attempt hears of no end, but the attempt has run.
func (e effects) Ran(pending any) {
	x, w := pending.(*exchange), e.w
	if w.ledger.ran(x.id, x.class, x.c.b.place) {
		w.log.write(event{At: w.now(), What: "ran-twice", ID: x.id, Node: x.c.b.node, Box: x.box, Place: x.c.b.place})
	}
}

func (e effects) Listed(l emulator.EndpointEntry) {
	w := e.w
	w.rev++
	at := slices.IndexFunc(w.state, func(x line) bool { return x.Backend == l.Backend })
	if at < 0 {
		w.state = append(w.state, line{l, w.rev})
	} else {
		w.state[at] = line{l, w.rev}
	}
	w.log.write(event{At: w.now(), What: "listed", Box: l.Backend, Place: l.Place, Phase: phaseNames[l.Phase], Rev: w.rev})
	close(w.changed)
	w.changed = make(chan struct{})
}

var phaseNames = map[balancer.Phase]string{balancer.PhaseReady: "in_service", balancer.PhaseDraining: "terminating",
	balancer.PhaseRemoved: "terminated"}

func (e effects) Began(f faultinject.Fault) {
	w := e.w
	w.log.write(event{At: w.now(), What: "fault-began", Fault: &f})
	if w.procs != nil {
		w.procs.fault(f, true)
	}
	if f.Kind == faultinject.Garbage || f.Kind == faultinject.Interim {
		w.spoilt = append(w.spoilt, f)
	}
	if f.Kind == faultinject.ListDown {
		w.down++
		for _, d := range w.disc {
			d.drop()
		}
	}
	w.follow()
}

func (e effects) Ended(f faultinject.Fault) {
	w := e.w
	w.log.write(event{At: w.now(), What: "fault-ended", Fault: &f})
	if w.procs != nil {
		w.procs.fault(f, false)
	}
	if f.Kind == faultinject.ListDown {
		w.down--
	}
	if at := slices.IndexFunc(w.spoilt, func(o faultinject.Fault) bool {
		return o.Kind == f.Kind && o.Start == f.Start && slices.Equal(o.Backends, f.Backends)
	}); at >= 0 {
		w.spoilt = slices.Delete(w.spoilt, at, at+1)
	}
	w.follow()
}

// follow brings every box's sockets in line with what has become of its process and its links.
func (w *Cluster) follow() {
	for place, row := range w.boxes {
		up, silent := w.live.Up(place)
		for node, b := range row {
			b.follow(up, silent || w.live.Partitioned(node, place), w.live.Incarnation(place))
		}
	}
}

// Inject begins a fault now. It returns the number by which Lift ends it, and the fault with nothing left open.
func (w *Cluster) Inject(f faultinject.Fault) (id int, settled faultinject.Fault, err error) {
	if err := f.Check("fault", w.sc.Scope(nil, nil)); err != nil {
		return 0, f, err
	}
	if f.Kind == faultinject.Rolling {
		return 0, f, fmt.Errorf("fault.kind: %s is for a timeline; order its drains one by one", f.Kind)
	}
	ok := w.ask(func() {
		w.live.Advance(w.now())
		id, settled = w.live.Begin(f)
		w.faults[id] = settled
	})
	if !ok {
		return 0, f, net.ErrClosed
	}
	return id, settled, nil
}

// Lift ends a fault that Order began, and tells whether there was one.
func (w *Cluster) Lift(id int) (was bool) {
	w.ask(func() {
		if _, was = w.faults[id]; was {
			delete(w.faults, id)
			w.live.Advance(w.now())
			was = w.live.End(id)
		}
	})
	return was
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
func (w *Cluster) Report() Report {
	var r Report
	w.ask(func() {
		r = w.ledger.report()
		r.Seconds, r.Executions = w.Since().Seconds(), w.live.Executions()
		for place := range w.boxes {
			b := BackendReport{Number: place, Arrived: w.ledger.arrivedAt[place], Ran: w.ledger.ranAt[place]}
			b.Up, _ = w.live.Up(place)
			r.Backends = append(r.Backends, b)
		}
	})
	return r
}

// Executions is how often the request of that id has begun to run, while it is remembered.
func (w *Cluster) Executions(id string) (n int) {
	w.ask(func() { n = w.ledger.runs[id] })
	return n
}

// list is what discovery tells a node: what changed after a version, or all.
func (w *Cluster) list(node, since int) (lines []line, rev int) {
	for _, l := range w.state {
		if l.rev > since && (since >= 0 || l.Phase != balancer.PhaseRemoved) {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.rev, b.rev) })
	return lines, w.rev
}
