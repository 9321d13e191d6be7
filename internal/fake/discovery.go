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
	cluster  *Cluster
	node     int
	addr     string
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// discoveryQueue lets one call after the other through, as many a second as the scenario says.
type discoveryQueue struct {
	mu     sync.Mutex
	freeAt time.Time
}

// reserve is how long a call must wait for its turn; too long, and it fails.
func (q *discoveryQueue) reserve(work, maxWait time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	start := now
	if q.freeAt.After(start) {
		start = q.freeAt
	}
	if wait := start.Add(work).Sub(now); wait <= maxWait {
		q.freeAt = start.Add(work)
		return wait, true
	}
	return 0, false
}

func newDiscovery(cluster *Cluster, node int) (*discovery, error) {
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:0", 64+node%128))
	if err != nil {
		return nil, fmt.Errorf("discovery for node %d: %w", node, err)
	}
	d := &discovery{cluster: cluster, node: node, listener: ln, addr: ln.Addr().String(), conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveList)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnState: d.connState}
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
	if err := d.server.Serve(d.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.cluster.log.write(logEvent{Time: d.cluster.now(), Kind: "discovery: " + err.Error(), Node: d.node})
	}
}

func (d *discovery) close() {
	d.server.Close()
	d.listener.Close()
}

// resetConnections resets all connections, as discovery goes down.
func (d *discovery) resetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// listedEndpoint is a box in discovery's form.
type listedEndpoint struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type endpointList struct {
	Revision  int              `json:"rev"`
	Full      bool             `json:"all"`
	Endpoints []listedEndpoint `json:"targets"`
}

// maxWatchDuration is the longest that a watch may wait.
const maxWatchDuration = time.Minute

func (d *discovery) serveList(response http.ResponseWriter, request *http.Request) {
	w := d.cluster
	since, watch := -1, request.URL.Query().Has("since")
	var wait time.Duration
	if watch {
		var err error
		if since, err = strconv.Atoi(request.URL.Query().Get("since")); err != nil || since < 0 {
			http.Error(response, "since: not a version", http.StatusBadRequest)
			return
		}
		ms, err := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		if err != nil || ms < 0 {
			http.Error(response, "timeout_ms: not a time", http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchDuration)
	}
	s := &w.scenario.Discovery
	lines := 0
	if since < 0 {
		lines = len(w.backends)
	}
	work := time.Duration((1/s.PerS + float64(lines)/s.LinesPerS) * float64(time.Second))
	turn, ok := w.discoveryCalls.reserve(work, time.Duration(s.Timeout)*time.Millisecond)
	if !ok {
		http.Error(response, "too many calls", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(turn):
	case <-request.Context().Done():
		return
	}
	deadline := time.After(wait)
	for {
		var changed chan struct{}
		var down bool
		var out []endpointRecord
		var rev int
		if !w.call(func() {
			down, changed = w.discoveryFaults > 0, w.listChanged
			out, rev = w.endpointsSince(d.node, since)
		}) {
			return
		}
		if down {
			d.resetRequest(response)
			return
		}
		if watch && rev < since { // versions of another life of ours: the whole list
			since, watch = -1, false
			continue
		}
		if len(out) > 0 || !watch {
			d.writeList(response, endpointList{Revision: rev, Full: since < 0}, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			d.writeList(response, endpointList{Revision: rev}, nil)
			return
		case <-request.Context().Done():
			return
		case <-w.done:
			return
		}
	}
}

func (d *discovery) resetRequest(response http.ResponseWriter) {
	if h, ok := response.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (d *discovery) writeList(response http.ResponseWriter, list endpointList, records []endpointRecord) {
	list.Endpoints = []listedEndpoint{}
	for _, l := range records {
		list.Endpoints = append(list.Endpoints, d.cluster.listedEndpoint(d.node, l))
	}
	response.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(response).Encode(list); err != nil {
		return // the node has gone: it was not told
	}
	if f, ok := response.(http.Flusher); ok {
		f.Flush()
	}
	d.cluster.post(func() {
		now := d.cluster.now()
		for _, l := range records {
			d.cluster.ledger.recordNotification(now, d.node, l.Backend, l.Phase)
			if l.Phase != balancer.PhaseReady {
				d.cluster.log.write(logEvent{Time: now, Kind: "told", Node: d.node, Backend: l.Backend, Place: l.Place, Phase: phaseNames[l.Phase], Revision: list.Revision})
			}
		}
	})
}
