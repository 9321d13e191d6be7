package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// state is what discovery says of a backend.
type state string

const (
	inService   state = "in_service"
	terminating state = "terminating"
	terminated  state = "terminated"
)

// change is one line of the list, as it came to be.
type change struct {
	rev     int
	at      time.Duration
	backend int
	life    int // counts the starts of the backend: each is listed under an id of its own
	state   state
	bootMs  int64
}

// membership is the true list, and who was told of it when.
type membership struct {
	run *run

	mu      sync.Mutex
	changes []change
	changed chan struct{}
	told    [][]telling // by node
}

// telling is an answer that was written to a node.
type telling struct {
	begun time.Duration // from here on the node may know of it
	at    time.Duration // and here it counts as notified
	rev   int
}

func newMembership(r *run, backends int) *membership {
	m := &membership{run: r, changed: make(chan struct{}), told: make([][]telling, r.opts.Nodes)}
	for i := range backends {
		m.changes = append(m.changes, change{rev: 1, backend: i, state: inService})
	}
	return m
}

// set makes a change of the list.
func (m *membership) set(backend int, to state, anew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last(backend)
	c := change{rev: m.changes[len(m.changes)-1].rev + 1, at: m.run.now(), backend: backend, life: last.life, state: to, bootMs: last.bootMs}
	if anew {
		c.life, c.bootMs = last.life+1, time.Now().UnixMilli()
	}
	m.changes = append(m.changes, c)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *membership) last(backend int) (c change) {
	for _, each := range m.changes {
		if each.backend == backend {
			c = each
		}
	}
	return c
}

// since is what is newer than a version, and the newest; of each backend's life its last line.
func (m *membership) since(rev int) (out []change, newest int) {
	at := map[[2]int]int{}
	for _, c := range m.changes {
		newest = c.rev
		if c.rev <= rev {
			continue
		}
		key := [2]int{c.backend, c.life}
		if i, there := at[key]; there {
			out[i] = c
			continue
		}
		at[key] = len(out)
		out = append(out, c)
	}
	return out, newest
}

// toldTo is the list as a node was last told it.
func (m *membership) toldTo(node int) (rev int, list []change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rev = 1
	for _, t := range m.told[node] {
		rev = max(rev, t.rev)
	}
	at := map[[2]int]change{}
	for _, c := range m.changes {
		if c.rev <= rev {
			at[[2]int{c.backend, c.life}] = c
		}
	}
	for _, c := range at {
		if c.state != terminated {
			list = append(list, c)
		}
	}
	return rev, list
}

// uid is a backend's id at one of its starts.
func (c change) uid() string { return fmt.Sprintf("b%d-%d", c.backend, c.life) }

// targets are lines in discovery's form, with the addresses at which this node reaches the backends.
func (n *node) targets(list []change) []map[string]any {
	out := []map[string]any{}
	for _, c := range list {
		out = append(out, map[string]any{"uid": c.uid(), "endpoint": n.run.backends[c.backend].address(n.index), "az": "z", "pod_group": 0,
			"state": string(c.state), "capacity_hint": 1.0, "boot_ms": c.bootMs})
	}
	return out
}

// behaviour is how discovery treats calls.
type behaviour uint8

const (
	answers behaviour = iota
	down              // calls are reset, and so are watches
	busy              // calls wait, and are turned away with 503
	slow              // answers come late
)

// How long discovery lets calls wait.
const (
	busyFor = 2 * time.Second
	slowFor = 1500 * time.Millisecond
)

// discovery is the service at an address of one node's.
type discovery struct {
	run  *run
	node int

	mu      sync.Mutex
	ln      net.Listener
	server  *http.Server
	is      behaviour
	silent  chan struct{} // closed as all watches that are open then fall silent
	reset   chan struct{} // closed as all calls are reset
	address string
}

func newDiscovery(r *run, node int) (*discovery, error) {
	d := &discovery{run: r, node: node, silent: make(chan struct{}), reset: make(chan struct{})}
	ln, err := r.listen(node)
	if err != nil {
		return nil, fmt.Errorf("discovery of node %d: %w", node, err)
	}
	d.address = ln.Addr().String()
	d.serve(ln)
	return d, nil
}

func (d *discovery) addr() string { return d.address }

func (d *discovery) serve(ln net.Listener) {
	d.ln, d.server = ln, &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: 5 * time.Second}
	server := d.server
	go func() { _ = server.Serve(ln) }()
}

// open listens again after shutForNow.
func (d *discovery) open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		return
	}
	if ln, err := net.Listen("tcp", d.address); err == nil {
		d.serve(ln)
	}
}

// shutForNow accepts no more and ends what is open: the node has been told of another address.
func (d *discovery) shutForNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		_ = d.server.Close()
		d.server = nil
	}
}

func (d *discovery) close() { d.shutForNow() }

// become changes how calls are treated from here on.
func (d *discovery) become(is behaviour) {
	d.mu.Lock()
	if d.is = is; is == down {
		close(d.reset)
		d.reset = make(chan struct{})
	}
	d.mu.Unlock()
	d.run.nodes[d.node].noteReach()
}

// hush has all watches that are open now fall silent.
func (d *discovery) hush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silent)
	d.silent = make(chan struct{})
}

// reachable tells whether calls are answered.
func (d *discovery) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.is == answers || d.is == slow
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	is, silent, reset := d.is, d.silent, d.reset
	d.mu.Unlock()
	switch is {
	case down:
		hangUp(w)
		return
	case busy:
		time.Sleep(busyFor)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case slow:
		time.Sleep(slowFor)
	}
	since, watch := 0, r.URL.Query().Has("since")
	if watch {
		since, _ = strconv.Atoi(r.URL.Query().Get("since"))
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		m := d.run.members
		m.mu.Lock()
		list, rev := m.since(since)
		changed := m.changed
		m.mu.Unlock()
		if len(list) > 0 || !watch || wait == 0 {
			d.tell(w, rev, !watch, list)
			return
		}
		select {
		case <-changed:
		case <-end:
			d.tell(w, rev, false, nil)
			return
		case <-silent:
			<-r.Context().Done()
			return
		case <-reset:
			hangUp(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// tell writes an answer, which counts as heard once it is written.
func (d *discovery) tell(w http.ResponseWriter, rev int, all bool, list []change) {
	if all { // a whole list has no line on what is gone
		kept := list[:0:0]
		for _, c := range list {
			if c.state != terminated {
				kept = append(kept, c)
			}
		}
		list = kept
	}
	n := d.run.nodes[d.node]
	body, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": n.targets(list)})
	begun := d.run.now()
	if _, err := w.Write(body); err != nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	m := d.run.members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told[d.node] = append(m.told[d.node], telling{begun, d.run.now(), rev})
}

// hangUp resets a call's connection.
func hangUp(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// host is the loopback address at which everything is that belongs to a node. No other play has it, so that a port which is free for a moment
// is nobody else's meanwhile.
func (r *run) host(node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+r.opts.Seed%128, 1+os.Getpid()%250, 1+node)
}

// listen opens a port of a node's.
func (r *run) listen(node int) (net.Listener, error) { return net.Listen("tcp", r.host(node)+":0") }

// freeAddress is one of a node's that nobody listens at.
func (r *run) freeAddress(node int) (string, error) {
	ln, err := r.listen(node)
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
