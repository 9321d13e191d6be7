package processtest

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a relay does to what passes it, in both directions: an answer goes the way of its request.
type link struct {
	cut    bool
	silent bool
	delay  time.Duration
	reset  float64 // share of pieces that end in a reset
}

// relay stands between one process and another, for what the first asks the second.
type relay struct {
	ln   net.Listener
	to   string
	wait sync.WaitGroup
	// pieces that came from who asks.
	pieces atomic.Int64

	mu      sync.Mutex
	rand    *rand.Rand
	is      link
	changed chan struct{} // closed when is changes
	conns   map[net.Conn]bool
	closed  bool
}

func newRelay(to string, seed uint64) (*relay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, to: to, rand: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.wait.Go(r.accept)
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

// set makes the link so from now on.
func (r *relay) set(is link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.is = is
	close(r.changed)
	r.changed = make(chan struct{})
	if is.cut {
		r.drop()
	}
}

func (r *relay) drop() {
	for c := range r.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	r.drop()
	r.mu.Unlock()
	r.wait.Wait()
}

// add takes a connection in, unless the link is cut.
func (r *relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.is.cut || r.closed {
		reset(c)
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if !r.add(c) {
			continue
		}
		r.wait.Go(func() {
			defer r.remove(c)
			if !r.pass() {
				return
			}
			far, err := net.Dial("tcp4", r.to)
			if err != nil {
				reset(c)
				return
			}
			defer r.remove(far)
			if !r.add(far) {
				return
			}
			back := make(chan struct{})
			go func() {
				defer close(back)
				r.copy(c, far, nil)
				reset(c)
			}()
			r.copy(far, c, &r.pieces)
			reset(far)
			<-back
		})
	}
}

// pass waits while the link is silent; it is false where there is nothing to wait for any more.
func (r *relay) pass() bool {
	for {
		r.mu.Lock()
		is, changed, closed := r.is, r.changed, r.closed
		lost := is.reset > 0 && r.rand.Float64() < is.reset
		r.mu.Unlock()
		switch {
		case closed || is.cut || lost:
			return false
		case !is.silent:
			time.Sleep(is.delay)
			return true
		}
		<-changed
	}
}

func (r *relay) copy(to, from net.Conn, count *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.pass() {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
		if count != nil {
			count.Add(1)
		}
	}
}
