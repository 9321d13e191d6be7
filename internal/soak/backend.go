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

// trouble is what is wrong with a backend.
type trouble uint8

const (
	healthy  trouble = iota
	hangs            // takes requests, and answers nothing until it is healthy again
	resets           // breaks the connection once a request has run
	refuses          // turns requests away, marked as never run
	crashed          // accepts nothing, and has reset what was open
	garbles          // answers noise
	troubles         // how many there are
)

// backend is one server, at an address for each node.
type backend struct {
	run   *run
	index int
	busy  sync.Mutex // held by the fault that is played on it

	mu        sync.Mutex
	is        trouble
	wasHealed chan struct{} // closed as it becomes healthy
	doors     []*door
}

// door is the backend as one node reaches it.
type door struct {
	address string
	server  *http.Server
}

func newBackend(r *run, index, nodes int) (*backend, error) {
	b := &backend{run: r, index: index, wasHealed: make(chan struct{})}
	for node := range nodes {
		ln, err := r.listen(node)
		if err != nil {
			return nil, fmt.Errorf("backend %d: %w", index, err)
		}
		d := &door{address: ln.Addr().String()}
		b.doors = append(b.doors, d)
		b.open(node, ln)
	}
	return b, nil
}

func (b *backend) address(node int) string { return b.doors[node].address }

func (b *backend) open(node int, ln net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.handle(node, w, r)
	})}
	b.doors[node].server = server
	go func() { _ = server.Serve(ln) }()
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.doors {
		if d.server != nil {
			_ = d.server.Close()
			d.server = nil
		}
	}
}

// become changes what is wrong with it from here on.
func (b *backend) become(is trouble) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.is
	if b.is = is; is == healthy {
		close(b.wasHealed)
		b.wasHealed = make(chan struct{})
	}
	for node, d := range b.doors {
		switch {
		case is == crashed && d.server != nil:
			_ = d.server.Close()
			d.server = nil
		case was == crashed && is != crashed && d.server == nil:
			if ln, err := net.Listen("tcp", d.address); err == nil {
				b.open(node, ln)
			}
		}
	}
}

// work is how long a request takes.
func work() time.Duration { return time.Duration(2+rand.IntN(15)) * time.Millisecond }

func (b *backend) handle(node int, w http.ResponseWriter, r *http.Request) {
	at := b.run.now()
	id := r.Header.Get("X-Trace-Id")
	told, err := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
	if err != nil {
		told = -1
	}
	b.mu.Lock()
	is, wasHealed := b.is, b.wasHealed
	b.mu.Unlock()
	x := b.run.record.arrived(id, arrival{at: at, node: node, backend: b.index, told: time.Duration(told) * time.Millisecond})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch is {
	case refuses:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hangs:
		b.run.record.ran(id, x)
		select {
		case <-wasHealed:
			_, _ = io.WriteString(w, answerTo(id))
		case <-r.Context().Done():
		}
		return
	}
	b.run.record.ran(id, x)
	time.Sleep(work())
	switch is {
	case resets:
		hangUp(w)
	case garbles:
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 2OO noise\r\n\x00\xff: \r\n\r\n")
				time.Sleep(10 * time.Millisecond)
				_ = conn.Close()
			}
		}
	default:
		_, _ = io.WriteString(w, answerTo(id))
	}
}

// answerTo is the body of the answer that a backend makes for a request.
func answerTo(id string) string { return "answer to " + id }
