package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discoveryBehaviour is how discovery treats calls.
type discoveryBehaviour uint8

const (
	discoveryHealthy discoveryBehaviour = iota
	discoveryDown                       // calls are reset, and so are watches
	discoveryBusy                       // calls wait, and are rejected with 503
	discoverySlow                       // answers come late
)

// How long discovery lets calls wait.
const (
	busyDelay = 2 * time.Second
	slowDelay = 1500 * time.Millisecond
)

// discovery is the discovery service at one address of a node.
type discovery struct {
	run            *run
	node           int
	address        string
	revisionOffset int // its revisions are higher by so much than those of the run's list
	forms          answerForms

	mu        sync.Mutex
	server    *http.Server // nil: it does not listen
	behaviour discoveryBehaviour
	silenced  chan struct{} // closed when all open watches become silent, and replaced
	reset     chan struct{} // closed when all open calls are reset, and replaced
}

func newDiscovery(r *run, node, number int) (*discovery, error) {
	listener, err := r.listen(node)
	if err != nil {
		return nil, fmt.Errorf("discovery of node %d: %w", node, err)
	}
	d := &discovery{
		run:      r,
		node:     node,
		address:  listener.Addr().String(),
		silenced: make(chan struct{}),
		reset:    make(chan struct{}),
	}
	if r.options.VaryLists {
		d.revisionOffset = (1 - number) * firstAddressRevisionOffset
		d.forms.random = rand.New(rand.NewPCG(r.options.Seed, uint64(listFormStream+2*node+number)))
	}
	d.serve(listener)
	return d, nil
}

func (d *discovery) serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: headerTimeout}
	d.server = server
	go func() { _ = server.Serve(listener) }() // it returns when discovery stops listening
}

// startListening listens again after stopListening.
func (d *discovery) startListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		return
	}
	if listener, err := net.Listen("tcp", d.address); err == nil { // else the node finds discovery down
		d.serve(listener)
	}
}

// stopListening ends all connections and accepts no more.
func (d *discovery) stopListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		_ = d.server.Close() // whatever is open is to end
		d.server = nil
	}
}

// setBehaviour changes how calls are treated from now on.
func (d *discovery) setBehaviour(behaviour discoveryBehaviour) {
	d.mu.Lock()
	d.behaviour = behaviour
	if behaviour == discoveryDown {
		close(d.reset)
		d.reset = make(chan struct{})
	}
	d.mu.Unlock()
	d.run.nodes[d.node].recordReachability()
}

// silenceWatches has all watches that are open now receive nothing any more.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// reachable reports whether calls are answered.
func (d *discovery) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behaviour == discoveryHealthy || d.behaviour == discoverySlow
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	behaviour, silenced, reset := d.behaviour, d.silenced, d.reset
	d.mu.Unlock()
	switch behaviour {
	case discoveryDown:
		resetConnection(w)
		return
	case discoveryBusy:
		time.Sleep(busyDelay)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case discoverySlow:
		time.Sleep(slowDelay)
	}
	query := r.URL.Query()
	watch := query.Has("since")
	revision, _ := strconv.Atoi(query.Get("since")) // 0 where it is missing: all changes
	revision -= d.revisionOffset
	if newestRevision := d.run.list.newestRevision(); !watch || revision > newestRevision {
		revision = 0 // a revision of another address says nothing here
	}
	timeoutMs, _ := strconv.Atoi(query.Get("timeout_ms")) // 0 where it is missing: the answer comes at once
	timeout := time.After(time.Duration(timeoutMs) * time.Millisecond)
	for {
		lines, newestRevision, changed := d.run.list.changesSince(revision)
		if len(lines) > 0 || !watch || timeoutMs == 0 {
			d.answer(w, r, newestRevision, !watch, lines)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.answer(w, r, newestRevision, false, nil)
			return
		case <-silenced:
			<-r.Context().Done()
			return
		case <-reset:
			resetConnection(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a list. The node counts as notified once it is written. To a call that the node has ended meanwhile, as at
// a change of the address, nothing can be written: that is kept for the report.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request, revision int, full bool, lines []listChange) {
	if r.Context().Err() != nil {
		d.run.nodes[d.node].log.recordEvent(fmt.Sprintf("call ended by the node before its answer with revision %d", revision))
		return
	}
	form := d.forms.next()
	if form.reset {
		resetConnection(w)
		return
	}
	if form.fullList && !full {
		full = true
		lines, revision, _ = d.run.list.changesSince(0)
	}
	if full {
		lines = form.lines(lines)
	}
	answer := listAnswer{Revision: revision + d.revisionOffset, Full: full, Targets: d.run.nodes[d.node].targets(lines)}
	started := d.run.now()
	if form.write(w, form.body(answer)) == nil {
		d.run.list.recordNotification(d.node, notification{started, d.run.now(), revision})
	}
}
