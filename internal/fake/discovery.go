package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"tulipglade/internal/balancer"
)

// discovery serves the endpoint list to one node. The instances for all nodes share one capacity and one list.
type discovery struct {
	cluster  *Cluster
	node     int
	addr     string
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newDiscovery(cluster *Cluster, node int) (*discovery, error) {
	listener, err := net.Listen("tcp4", discoveryIP(node)+":0")
	if err != nil {
		return nil, fmt.Errorf("discovery for node %d: %w", node, err)
	}
	d := &discovery{
		cluster:  cluster,
		node:     node,
		listener: listener,
		addr:     listener.Addr().String(),
		conns:    map[net.Conn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveList)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ConnState: d.connState}
	return d, nil
}

func (d *discovery) connState(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	}
}

func (d *discovery) serve() {
	err := d.server.Serve(d.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.cluster.log.write(logEvent{Time: d.cluster.now(), Kind: errorEvent("discovery", err), Node: d.node})
	}
}

func (d *discovery) close() {
	closeQuietly(d.server)
	closeQuietly(d.listener)
}

// resetConnections resets all connections when an outage of discovery begins.
func (d *discovery) resetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		resetConn(conn)
	}
}

// rateLimiter delays calls to the rate at which discovery can serve them in the scenario.
type rateLimiter struct {
	mu     sync.Mutex
	freeAt time.Time
}

// reserve books the next free period for a call that takes the given duration. It returns the time until the call is
// complete, or false, without booking, if that exceeds maxWait.
func (l *rateLimiter) reserve(duration, maxWait time.Duration) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	start := now
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	end := start.Add(duration)
	wait = end.Sub(now)
	if wait > maxWait {
		return 0, false
	}
	l.freeAt = end
	return wait, true
}

// listedEndpoint is the JSON form of an endpoint in discovery's responses.
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

// endpointList is a response of discovery: all endpoints, or those that changed since a revision.
type endpointList struct {
	Revision  int              `json:"rev"`
	Full      bool             `json:"all"`
	Endpoints []listedEndpoint `json:"targets"`
}

// maxWatchDuration bounds how long a watch waits for a change.
const maxWatchDuration = time.Minute

// allRevisions is older than every revision: the response to a query since allRevisions is a full list.
const allRevisions = -1

// listQuery holds the parameters of a call: it asks for the full list, or watches for changes since a revision.
type listQuery struct {
	watch   bool
	since   int
	timeout time.Duration // after which a watch without changes returns an empty list
}

func parseListQuery(values url.Values) (listQuery, error) {
	if !values.Has("since") {
		return listQuery{since: allRevisions}, nil
	}
	since, err := strconv.Atoi(values.Get("since"))
	if err != nil || since < 0 {
		return listQuery{}, errors.New("since: not a version")
	}
	ms, err := strconv.Atoi(values.Get("timeout_ms"))
	if err != nil || ms < 0 {
		return listQuery{}, errors.New("timeout_ms: not a time")
	}
	timeout := min(time.Duration(ms)*time.Millisecond, maxWatchDuration)
	return listQuery{watch: true, since: since, timeout: timeout}, nil
}

func (d *discovery) serveList(response http.ResponseWriter, request *http.Request) {
	query, err := parseListQuery(request.URL.Query())
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	wait, ok := d.reserve(query)
	if !ok {
		http.Error(response, "too many calls", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(wait):
	case <-request.Context().Done():
		return
	}
	d.answer(response, request, query)
}

// reserve returns how long the call must wait for discovery's capacity, or false if that exceeds the timeout of its
// callers.
func (d *discovery) reserve(query listQuery) (wait time.Duration, ok bool) {
	limits := &d.cluster.scenario.Discovery
	lines := 0
	if query.since == allRevisions {
		lines = len(d.cluster.backends)
	}
	duration := time.Duration((1/limits.PerS + float64(lines)/limits.LinesPerS) * float64(time.Second))
	return d.cluster.discoveryLimiter.reserve(duration, time.Duration(limits.Timeout)*time.Millisecond)
}

// answer writes the list or, for a watch, the changes since its revision, which it awaits if there are none yet.
func (d *discovery) answer(response http.ResponseWriter, request *http.Request, query listQuery) {
	cl := d.cluster
	timeout := time.After(query.timeout)
	for {
		var changes listChanges
		if !cl.call(func() { changes = cl.endpointsSince(query.since) }) {
			return
		}
		if changes.discoveryDown {
			d.resetRequest(response)
			return
		}
		if query.watch && changes.revision < query.since { // of another incarnation of discovery: send the full list
			query = listQuery{since: allRevisions}
			continue
		}
		list := endpointList{Revision: changes.revision}
		if len(changes.records) > 0 || !query.watch {
			list.Full = query.since == allRevisions
			d.writeList(response, list, changes.records)
			return
		}
		select {
		case <-changes.next:
		case <-timeout:
			d.writeList(response, list, nil)
			return
		case <-request.Context().Done():
			return
		case <-cl.done:
			return
		}
	}
}

// resetRequest ends a call by resetting its connection.
func (d *discovery) resetRequest(response http.ResponseWriter) {
	hijacker, ok := response.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		resetConn(conn)
	}
}

// writeList writes the list, and then records that the node has been notified of the changes in it.
func (d *discovery) writeList(response http.ResponseWriter, list endpointList, records []endpointRecord) {
	cl := d.cluster
	list.Endpoints = []listedEndpoint{}
	for _, record := range records {
		list.Endpoints = append(list.Endpoints, cl.listedEndpoint(d.node, record))
	}
	response.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(response).Encode(list); err != nil {
		return // the node has closed the connection, so it was not notified
	}
	if flusher, ok := response.(http.Flusher); ok {
		flusher.Flush()
	}
	cl.post(func() {
		now := cl.now()
		for _, record := range records {
			cl.ledger.recordNotification(now, d.node, record.Backend, record.Phase)
			if record.Phase == balancer.PhaseReady {
				continue
			}
			cl.log.write(logEvent{
				Time:         now,
				Kind:         eventNotified,
				Node:         d.node,
				Backend:      record.Backend,
				AddressIndex: record.AddressIndex,
				Phase:        phaseNames[record.Phase],
				Revision:     list.Revision,
			})
		}
	})
}
