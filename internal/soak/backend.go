package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backendCondition is the fault that currently affects a backend.
type backendCondition uint8

const (
	backendHealthy      backendCondition = iota
	backendHangs                         // accepts requests, but answers none until it is healthy again
	backendResets                        // resets the connection of each request after the request has run
	backendRejects                       // rejects requests and marks them as never run
	backendCrashed                       // accepts no connections; those that were open have been reset
	backendSendsGarbage                  // sends answers that are not valid HTTP
)

const (
	headerTimeout = 5 * time.Second
	minWorkMs     = 2
	workSpreadMs  = 15
	garbage       = "HTTP/1.1 2OO noise\r\n\x00\xff: \r\n\r\n"
	piecesOneIn   = 10                    // one in this many answers is sent in two pieces
	piecePause    = 20 * time.Millisecond // pause between the two pieces
	garbageDelay  = 10 * time.Millisecond // time between sending garbage and closing the connection
)

// backend is one fake backend. It has an address of its own for each node, so that it knows which node sends a request.
type backend struct {
	run     *run
	index   int
	faultMu sync.Mutex // held while a fault is injected into the backend

	mu        sync.Mutex
	condition backendCondition
	recovered chan struct{} // closed and replaced when the backend becomes healthy
	listeners []*backendListener
}

// backendListener is the listener of a backend for one node.
type backendListener struct {
	address string
	server  *http.Server // nil while the backend does not listen
}

// newBackend starts a backend that listens on one address for each node.
func newBackend(r *run, index, nodes int) (*backend, error) {
	b := &backend{run: r, index: index, recovered: make(chan struct{})}
	for node := range nodes {
		listener, err := r.listen(node)
		if err != nil {
			return nil, fmt.Errorf("backend %d: %w", index, err)
		}
		b.listeners = append(b.listeners, &backendListener{address: listener.Addr().String()})
		b.serve(node, listener)
	}
	return b, nil
}

// address returns the address at which a node reaches the backend.
func (b *backend) address(node int) string { return b.listeners[node].address }

// serve answers the requests of one node that arrive at the listener.
func (b *backend) serve(node int, listener net.Listener) {
	handler := func(w http.ResponseWriter, r *http.Request) { b.handle(node, w, r) }
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(handler), ConnContext: withConn}
	b.listeners[node].server = server
	go func() { _ = server.Serve(listener) }() // returns an error when the backend crashes or closes
}

// close stops the backend at the end of the run.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopListening()
}

// stopListening closes all listeners and all open connections. The caller holds the mutex.
func (b *backend) stopListening() {
	for _, l := range b.listeners {
		if l.server != nil {
			_ = l.server.Close() // an error does not matter: all connections are to end
			l.server = nil
		}
	}
}

// startListening listens again on the addresses that the backend had before. The caller holds the mutex.
func (b *backend) startListening() {
	for node, l := range b.listeners {
		if l.server != nil {
			continue
		}
		// After an error, this node cannot reach the backend.
		if listener, err := net.Listen("tcp", l.address); err == nil {
			b.serve(node, listener)
		}
	}
}

// setCondition changes the backend's condition, and stops or starts its listeners to match.
func (b *backend) setCondition(condition backendCondition) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.condition
	b.condition = condition
	if condition == backendHealthy {
		close(b.recovered)
		b.recovered = make(chan struct{})
	}
	switch {
	case condition == backendCrashed:
		b.stopListening()
	case previous == backendCrashed:
		b.startListening()
	}
}

// handle records the arrival of a request and answers it as the backend's condition demands.
func (b *backend) handle(node int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	a := &arrival{at: b.run.now() - requestAge(r), node: node, backend: b.index, announced: announcedTimeout(r)}
	b.mu.Lock()
	condition, recovered := b.condition, b.recovered
	b.mu.Unlock()
	b.run.record.attemptArrived(id, a)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch condition {
	case backendRejects:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case backendHangs:
		b.run.record.attemptRan(a)
		select {
		case <-recovered:
			writeAnswer(w, id)
		case <-r.Context().Done():
		}
		return
	}
	b.run.record.attemptRan(a)
	time.Sleep(time.Duration(minWorkMs+rand.IntN(workSpreadMs)) * time.Millisecond)
	switch condition {
	case backendResets:
		resetConnection(w)
	case backendSendsGarbage:
		writeGarbage(w)
	default:
		writeAnswer(w, id)
	}
}

// announcedTimeout returns the time that a node announces it will wait for the answer. It is negative if the request
// announces none.
func announcedTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
	if err != nil {
		ms = -1
	}
	return time.Duration(ms) * time.Millisecond
}

// expectedAnswer returns the body with which backends answer the request with this ID.
func expectedAnswer(id string) string { return "answer to " + id }

// writeAnswer sends the answer to a request, one in piecesOneIn of them in two pieces.
func writeAnswer(w http.ResponseWriter, id string) {
	if size := answerBytes(id); size > 0 {
		_, _ = w.Write(make([]byte, size)) // fails once the node has given up
		return
	}
	answer := expectedAnswer(id)
	if rand.IntN(piecesOneIn) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2]) // the client's record shows whether the answer arrived
		_ = http.NewResponseController(w).Flush()
		time.Sleep(piecePause)
		answer = answer[len(answer)/2:]
	}
	_, _ = io.WriteString(w, answer) // the client's record shows whether the answer arrived
}

// writeGarbage sends an answer that is not valid HTTP and closes the connection.
func writeGarbage(w http.ResponseWriter) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = io.WriteString(conn, garbage) // the node may have closed the connection
	time.Sleep(garbageDelay)
	_ = conn.Close()
}

// resetConnection resets the connection on which a request arrived.
func resetConnection(w http.ResponseWriter) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // after an error, Close ends the connection without a reset
	}
	_ = conn.Close()
}

// hijack takes over the connection on which a request arrived. It returns nil if the server can no longer hand it over.
func hijack(w http.ResponseWriter) net.Conn {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return conn
}
