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

// backendCondition is what is wrong with a backend.
type backendCondition uint8

const (
	backendHealthy      backendCondition = iota
	backendHangs                         // accepts requests, and answers nothing until it is healthy again
	backendResets                        // resets the connection after a request has run
	backendRejects                       // rejects requests, marked as never run
	backendCrashed                       // accepts no connections, and has reset those that were open
	backendSendsGarbage                  // answers are not HTTP
)

const (
	headerTimeout = 5 * time.Second
	minWorkMs     = 2
	workSpreadMs  = 15
	garbage       = "HTTP/1.1 2OO noise\r\n\x00\xff: \r\n\r\n"
	piecesOneIn   = 10                    // answers that come in two pieces
	piecePause    = 20 * time.Millisecond // between them
	garbageDelay  = 10 * time.Millisecond // between the garbage and the end of the connection
)

// backend is one backend, with an address for each node.
type backend struct {
	run     *run
	index   int
	faultMu sync.Mutex // held by the fault that is played on it

	mu        sync.Mutex
	condition backendCondition
	recovered chan struct{} // closed when the backend becomes healthy, and replaced
	listeners []*backendListener
}

// backendListener is a backend as one node reaches it.
type backendListener struct {
	address string
	server  *http.Server // nil: it does not listen
}

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

func (b *backend) serve(node int, listener net.Listener) {
	handler := func(w http.ResponseWriter, r *http.Request) { b.handle(node, w, r) }
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(handler)}
	b.listeners[node].server = server
	go func() { _ = server.Serve(listener) }() // it returns when the backend crashes or closes
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopListening()
}

// stopListening resets all connections. The caller holds the mutex.
func (b *backend) stopListening() {
	for _, l := range b.listeners {
		if l.server != nil {
			_ = l.server.Close() // whatever is open is to end
			l.server = nil
		}
	}
}

// startListening listens at the addresses of before. The caller holds the mutex.
func (b *backend) startListening() {
	for node, l := range b.listeners {
		if l.server != nil {
			continue
		}
		if listener, err := net.Listen("tcp", l.address); err == nil { // else it stays unreachable for this node
			b.serve(node, listener)
		}
	}
}

// setCondition changes what is wrong with the backend.
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

func (b *backend) handle(node int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	a := &arrival{at: b.run.now(), node: node, backend: b.index, announced: announcedTimeout(r)}
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

// announcedTimeout returns for how long a node says that it waits for the answer; it is negative where the node does not say.
func announcedTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
	if err != nil {
		ms = -1
	}
	return time.Duration(ms) * time.Millisecond
}

// expectedAnswer returns the body of the answer to a request.
func expectedAnswer(id string) string { return "answer to " + id }

func writeAnswer(w http.ResponseWriter, id string) {
	answer := expectedAnswer(id)
	if rand.IntN(piecesOneIn) == 0 { // in pieces
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2]) // the client's record shows what became of it
		_ = http.NewResponseController(w).Flush()
		time.Sleep(piecePause)
		answer = answer[len(answer)/2:]
	}
	_, _ = io.WriteString(w, answer) // as above
}

// writeGarbage answers with something that is not HTTP, and closes the connection.
func writeGarbage(w http.ResponseWriter) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = io.WriteString(conn, garbage) // the node may have closed the connection
	time.Sleep(garbageDelay)
	_ = conn.Close()
}

// resetConnection resets the connection of a call.
func resetConnection(w http.ResponseWriter) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection ends, too, in another way
	}
	_ = conn.Close()
}

// hijack takes over the connection of a call; it is nil where that is not possible any more.
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
