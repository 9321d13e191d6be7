package processtest

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is the state of a link: what its relay does to connections and data. It applies to both directions of a
// connection, since a response passes through the same relay as its request.
type linkState struct {
	cut           bool          // connections are reset
	silent        bool          // connections stay open, and no data is forwarded
	delay         time.Duration // added to each chunk of data and to each new connection
	resetFraction float64       // fraction of chunks and new connections at which the connection is reset
}

// combine returns the state of a link that two faults affect: the worse value of each field.
func (s linkState) combine(other linkState) linkState {
	return linkState{
		cut:           s.cut || other.cut,
		silent:        s.silent || other.silent,
		delay:         max(s.delay, other.delay),
		resetFraction: max(s.resetFraction, other.resetFraction),
	}
}

// relayBuffer is the maximum size of a chunk that a relay forwards, in bytes.
const relayBuffer = 32 << 10

// relay accepts the connections that one process opens to another, and forwards their data.
type relay struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup
	chunks     atomic.Int64 // number of chunks forwarded to the target

	mu          sync.Mutex
	random      *rand.Rand
	state       linkState
	changed     chan struct{} // closed and replaced when state or closed changes
	connections map[net.Conn]bool
	closed      bool
}

func newRelay(target string, seed uint64) (*relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener:    listener,
		target:      target,
		random:      rand.New(rand.NewPCG(seed, 0)),
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setState changes the state of the link, and resets all connections if the link is cut.
func (r *relay) setState(state linkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.notify()
	if state.cut {
		r.resetAll()
	}
}

// notify wakes the goroutines that wait for a change of state. The caller holds the mutex.
func (r *relay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// resetAll resets all connections of the relay. The caller holds the mutex.
func (r *relay) resetAll() {
	for connection := range r.connections {
		reset(connection)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, the connection is closed without a reset
	}
	_ = connection.Close()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.notify()
	r.resetAll()
	r.mu.Unlock()
	r.goroutines.Wait()
}

// addConnection registers a connection. If the link is cut or the relay closed, it resets the connection and returns
// false.
func (r *relay) addConnection(connection net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.cut || r.closed {
		reset(connection)
		return false
	}
	r.connections[connection] = true
	return true
}

func (r *relay) removeConnection(connection net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, connection)
	_ = connection.Close()
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.addConnection(client) {
			r.goroutines.Go(func() { r.forward(client) })
		}
	}
}

// forward forwards data between a client and the target until one of them closes its connection or the link resets it.
func (r *relay) forward(client net.Conn) {
	defer r.removeConnection(client)
	if !r.awaitForwarding() {
		return
	}
	server, err := net.Dial("tcp4", r.target)
	if err != nil {
		reset(client)
		return
	}
	defer r.removeConnection(server)
	if !r.addConnection(server) {
		return
	}
	responsesDone := make(chan struct{})
	go func() {
		defer close(responsesDone)
		r.copy(client, server, nil)
		reset(client)
	}()
	r.copy(server, client, &r.chunks)
	reset(server)
	<-responsesDone
}

// awaitForwarding waits while the link is silent, and then for the delay of the link. It returns false if the
// connection is to be reset.
func (r *relay) awaitForwarding() bool {
	for {
		r.mu.Lock()
		state, changed, closed := r.state, r.changed, r.closed
		lost := state.resetFraction > 0 && r.random.Float64() < state.resetFraction
		r.mu.Unlock()
		switch {
		case closed || state.cut || lost:
			return false
		case !state.silent:
			time.Sleep(state.delay)
			return true
		}
		<-changed
	}
}

// copy forwards data until either connection ends or the link resets it. If chunks is not nil, it counts the forwarded
// chunks there.
func (r *relay) copy(destination, source net.Conn, chunks *atomic.Int64) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := source.Read(buffer)
		if err != nil || !r.awaitForwarding() {
			return
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			return
		}
		if chunks != nil {
			chunks.Add(1)
		}
	}
}
