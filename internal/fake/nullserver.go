package fake

import (
	"errors"
	"net"
	"sync"
	"time"

	"tulipglade/internal/loopback"
	"tulipglade/internal/protocol"
)

// Null answers every request with a 200 after a delay that is known exactly, and nothing else: what a load generator is
// measured against.
type Null struct {
	listener net.Listener
	delay    func(arrived time.Time) time.Time
	sleep    func(time.Time)

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	wg     sync.WaitGroup
}

// StartNull serves on a loopback address. Delay tells for the moment at which a request has come when its answer is due;
// nil: at once. Sleep waits for that moment.
func StartNull(addr string, delay func(time.Time) time.Time, sleep func(time.Time)) (*Null, error) {
	if err := loopback.Check(addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	n := &Null{listener: ln, delay: delay, sleep: sleep, conns: map[net.Conn]bool{}}
	n.wg.Go(n.accept)
	return n, nil
}

// Addr is where it listens.
func (n *Null) Addr() string { return n.listener.Addr().String() }

// Close ends it.
func (n *Null) Close() {
	n.mu.Lock()
	n.closed = true
	n.listener.Close()
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Null) accept() {
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			c.Close()
			return
		}
		n.conns[c] = true
		n.mu.Unlock()
		n.wg.Go(func() {
			n.serve(c)
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
			c.Close()
		})
	}
}

var nullResponse = []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")

func (n *Null) serve(conn net.Conn) {
	buf := make([]byte, 0, protocol.BufferSize)
	var m protocol.Message
	for {
		got, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return
		}
		arrived := time.Now()
		size, complete, err := m.Request(buf[:len(buf)+got])
		if buf = buf[:size]; err != nil {
			return
		}
		for complete {
			if n.delay != nil {
				n.sleep(n.delay(arrived))
			}
			if _, err := conn.Write(nullResponse); err != nil {
				return
			}
			rest := m.Rest(buf)
			buf, m = buf[:copy(buf[:cap(buf)], rest)], protocol.Message{}
			if len(buf) == 0 {
				break
			}
			if size, complete, err = m.Request(buf); err != nil {
				return
			}
			buf = buf[:size]
		}
	}
}

// Listen listens on a loopback address and on nothing else.
func Listen(addr string) (net.Listener, error) {
	if err := loopback.Check(addr); err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addr)
}
