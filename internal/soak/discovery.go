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

// discoveryBehaviour determines how discovery handles calls.
type discoveryBehaviour uint8

const (
	discoveryHealthy discoveryBehaviour = iota
	discoveryDown                       // the connections of calls and watches are reset
	discoveryBusy                       // calls are delayed and then rejected with 503
	discoverySlow                       // answers are delayed
)

// Delays of calls to a busy or slow discovery.
const (
	busyDelay = 2 * time.Second
	slowDelay = 1500 * time.Millisecond
)

// discovery is the fake discovery service at one of the two addresses that a node can use.
type discovery struct {
	run            *run
	node           int
	address        string
	revisionOffset int // added to the revisions of the run's list in all answers
	forms          answerForms

	mu        sync.Mutex
	server    *http.Server // nil while it does not listen
	behaviour discoveryBehaviour
	silenced  chan struct{} // closed and replaced when all open watches become silent
	reset     chan struct{} // closed and replaced when all open calls are reset
}

// newDiscovery starts the discovery service at a node's first (0) or second (1) address.
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

// serve handles calls at the listener.
func (d *discovery) serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: headerTimeout}
	d.server = server
	go func() { _ = server.Serve(listener) }() // returns an error when discovery stops listening
}

// startListening listens again after stopListening. It has no effect on a discovery that listens.
func (d *discovery) startListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		return
	}
	if listener, err := net.Listen("tcp", d.address); err == nil { // after an error, the node cannot reach discovery
		d.serve(listener)
	}
}

// stopListening closes all connections and accepts no new ones.
func (d *discovery) stopListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		_ = d.server.Close() // an error does not matter: all connections are to end
		d.server = nil
	}
}

// setBehaviour changes how calls are handled from now on. A change to discoveryDown resets open calls as well.
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

// silenceWatches stops answering the watches that are open now; their connections stay open.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// reachable reports whether calls are answered with a list.
func (d *discovery) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behaviour == discoveryHealthy || d.behaviour == discoverySlow
}

// handle answers a call or a watch as the behaviour demands. A watch waits for a change of the list or for its timeout.
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
	revision, _ := strconv.Atoi(query.Get("since")) // 0 if it is missing: all changes are sent
	revision -= d.revisionOffset
	if newestRevision := d.run.list.newestRevision(); !watch || revision > newestRevision {
		revision = 0 // without a revision, or with one of the node's other address of discovery
	}
	timeoutMs, _ := strconv.Atoi(query.Get("timeout_ms")) // 0 if it is missing: the answer is sent at once
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

// answer writes a list. The node counts as notified once the list is written. If the node has canceled the call, for
// example because it changes to its other address of discovery, nothing can be written; that is recorded for the
// report.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request, revision int, full bool, lines []listChange) {
	if r.Context().Err() != nil {
		d.run.nodes[d.node].log.recordEvent(fmt.Sprintf("the node canceled a call before it was answered with revision %d", revision))
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
