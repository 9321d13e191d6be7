package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tulipglade/internal/balancer"
)

// discovery is the list service as one node reaches it: all nodes share its capacity and its state.
type discovery struct {
	w    *Cluster
	node int
	addr string
	ln   net.Listener
	srv  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// discoveryQueue lets one call after the other through, as many a second as the scenario says.
type discoveryQueue struct {
	mu   sync.Mutex
	free time.Time
}

// turn is how long a call must wait for its turn; too long, and it fails.
func (q *discoveryQueue) turn(work, longest time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	start := now
	if q.free.After(start) {
		start = q.free
	}
	if wait := start.Add(work).Sub(now); wait <= longest {
		q.free = start.Add(work)
		return wait, true
	}
	return 0, false
}

func newDiscovery(w *Cluster, node int) (*discovery, error) {
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:0", 64+node%128))
	if err != nil {
		return nil, fmt.Errorf("discovery for node %d: %w", node, err)
	}
	d := &discovery{w: w, node: node, ln: ln, addr: ln.Addr().String(), conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.list)
	d.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnState: d.connState}
	return d, nil
}

func (d *discovery) connState(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	}
}

func (d *discovery) serve() {
	if err := d.srv.Serve(d.ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.w.log.write(event{At: d.w.now(), What: "discovery: " + err.Error(), Node: d.node})
	}
}

func (d *discovery) shut() {
	d.srv.Close()
	d.ln.Close()
}

// drop resets all connections, as discovery goes down.
func (d *discovery) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// target is a box in discovery's form.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type answer struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// maxWatch is the longest that a watch may wait.
const maxWatch = time.Minute

func (d *discovery) list(rw http.ResponseWriter, r *http.Request) {
	w := d.w
	since, watch := -1, r.URL.Query().Has("since")
	var wait time.Duration
	if watch {
		var err error
		if since, err = strconv.Atoi(r.URL.Query().Get("since")); err != nil || since < 0 {
			http.Error(rw, "since: not a version", http.StatusBadRequest)
			return
		}
		ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		if err != nil || ms < 0 {
			http.Error(rw, "timeout_ms: not a time", http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	s := &w.sc.Discovery
	lines := 0
	if since < 0 {
		lines = len(w.boxes)
	}
	work := time.Duration((1/s.PerS + float64(lines)/s.LinesPerS) * float64(time.Second))
	turn, ok := w.queue.turn(work, time.Duration(s.Timeout)*time.Millisecond)
	if !ok {
		http.Error(rw, "too many calls", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(turn):
	case <-r.Context().Done():
		return
	}
	deadline := time.After(wait)
	for {
		var changed chan struct{}
		var down bool
		var out []line
		var rev int
		if !w.ask(func() {
			down, changed = w.down > 0, w.changed
			out, rev = w.list(d.node, since)
		}) {
			return
		}
		if down {
			d.reset(rw)
			return
		}
		if watch && rev < since { // versions of another life of ours: the whole list
			since, watch = -1, false
			continue
		}
		if len(out) > 0 || !watch {
			d.tell(rw, answer{Rev: rev, All: since < 0}, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			d.tell(rw, answer{Rev: rev}, nil)
			return
		case <-r.Context().Done():
			return
		case <-w.done:
			return
		}
	}
}

func (d *discovery) reset(rw http.ResponseWriter) {
	if h, ok := rw.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (d *discovery) tell(rw http.ResponseWriter, a answer, lines []line) {
	a.Targets = []target{}
	for _, l := range lines {
		a.Targets = append(a.Targets, d.w.targetOf(d.node, l))
	}
	rw.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(rw).Encode(a); err != nil {
		return // the node has gone: it was not told
	}
	if f, ok := rw.(http.Flusher); ok {
		f.Flush()
	}
	d.w.post(func() {
		now := d.w.now()
		for _, l := range lines {
			d.w.ledger.tell(now, d.node, l.Backend, l.Phase)
			if l.Phase != balancer.PhaseReady {
				d.w.log.write(event{At: now, What: "told", Node: d.node, Box: l.Backend, Place: l.Place, Phase: phaseNames[l.Phase], Rev: a.Rev})
			}
		}
	})
}
