package fake

import (
	"errors"
	"net"
	"sync"
	"time"

	"tulipglade/internal/protocol"
)

// NullServer answers every request with status 200 after a delay that is known exactly, and does nothing else. The
// figures of a load generator are verified against it.
type NullServer struct {
	listener net.Listener
	delay    func(arrived time.Time) time.Time
	sleep    func(time.Time)

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	wg     sync.WaitGroup
}

// StartNullServer starts a server on a loopback address. delay returns the time at which the response to a request that
// arrived at the given time is due; if it is nil, responses are sent at once. sleep waits until that time.
func StartNullServer(addr string, delay func(time.Time) time.Time, sleep func(time.Time)) (*NullServer, error) {
	listener, err := Listen(addr)
	if err != nil {
		return nil, err
	}
	n := &NullServer{listener: listener, delay: delay, sleep: sleep, conns: map[net.Conn]bool{}}
	n.wg.Go(n.accept)
	return n, nil
}

// Addr returns the address that the server listens on.
func (n *NullServer) Addr() string { return n.listener.Addr().String() }

// Close closes the server and its connections, and waits for its goroutines.
func (n *NullServer) Close() {
	n.mu.Lock()
	n.closed = true
	closeQuietly(n.listener)
	for conn := range n.conns {
		closeQuietly(conn)
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *NullServer) accept() {
	for {
		conn, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !n.register(conn) {
			closeQuietly(conn)
			return
		}
		n.wg.Go(func() {
			n.serve(conn)
			n.unregister(conn)
			closeQuietly(conn)
		})
	}
}

// register adds the connection to those that Close ends. It returns false once the server is closed.
func (n *NullServer) register(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[conn] = true
	return true
}

func (n *NullServer) unregister(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

var nullResponse = []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")

// serve answers the requests on a connection in the order in which they arrive, pipelined ones included.
func (n *NullServer) serve(conn net.Conn) {
	buf := make([]byte, 0, protocol.BufferSize)
	var message protocol.Message
	for {
		count, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return
		}
		arrived := time.Now()
		size, complete, err := message.ParseRequest(buf[:len(buf)+count])
		if err != nil {
			return
		}
		buf = buf[:size]
		for complete {
			if !n.respond(conn, arrived) {
				return
			}
			rest := message.Rest(buf)
			buf = buf[:copy(buf[:cap(buf)], rest)]
			message = protocol.Message{}
			if len(buf) == 0 {
				break
			}
			if size, complete, err = message.ParseRequest(buf); err != nil {
				return
			}
			buf = buf[:size]
		}
	}
}

// respond writes a response when it is due. It returns false if the connection has ended.
func (n *NullServer) respond(conn net.Conn, arrived time.Time) bool {
	if n.delay != nil {
		n.sleep(n.delay(arrived))
	}
	_, err := conn.Write(nullResponse)
	return err == nil
}
