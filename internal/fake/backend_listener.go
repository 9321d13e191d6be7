package fake

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// queueFillTimeout bounds how long the connection that fills the accept queue may take to be established.
	queueFillTimeout = 100 * time.Millisecond
	// acceptRetryDelay is the delay before accept is called again after an error.
	acceptRetryDelay = time.Millisecond
)

// backendListener serves the address of one backend that one node connects to. mu protects the fields below it.
type backendListener struct {
	cluster      *Cluster
	addressIndex int // index of the backend's address
	node         int
	addr         string

	mu           sync.Mutex
	listener     *net.TCPListener // nil: the backend's process is not running
	unreachable  bool             // the machine does not respond, or the link to the node is cut
	queueFiller  net.Conn         // fills the accept queue while the backend is unreachable
	incarnation  any
	conns        map[*backendConn]bool
	stateChanged *sync.Cond // signaled when listener, unreachable, acceptParked or closed has changed
	acceptParked bool       // the accept loop waits for stateChanged, and accepts no connection meanwhile
	closed       bool
}

func newBackendListener(cluster *Cluster, addressIndex, node int, addr string) (*backendListener, error) {
	b := &backendListener{
		cluster:      cluster,
		addressIndex: addressIndex,
		node:         node,
		addr:         addr,
		conns:        map[*backendConn]bool{},
		incarnation:  cluster.live.Incarnation(addressIndex),
	}
	b.stateChanged = sync.NewCond(&b.mu)
	return b, b.listen()
}

// listen opens the listening socket. The caller holds mu, or no other goroutine uses b yet.
func (b *backendListener) listen() error {
	ln, err := net.Listen("tcp4", b.addr)
	if err != nil {
		return fmt.Errorf("backend %d for node %d: %w", b.addressIndex, b.node, err)
	}
	b.listener = ln.(*net.TCPListener)
	b.addr = ln.Addr().String()
	return nil
}

// setState adapts the sockets to the state of the backend. A process that has died resets its connections and refuses
// new ones; the connections of an unreachable machine stay open and silent, and new ones are never established.
func (b *backendListener) setState(running, unreachable bool, incarnation any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	processEnded := !running && !unreachable
	if incarnation != b.incarnation || processEnded {
		b.incarnation = incarnation
		for c := range b.conns {
			c.reset()
		}
	}
	switch {
	case processEnded && b.listener != nil:
		b.allowNewConnections()
		closeQuietly(b.listener)
		b.listener = nil
	case running && b.listener == nil:
		if err := b.listen(); err != nil {
			b.logError("cannot listen", err)
			return
		}
	}
	b.setUnreachable(unreachable)
	b.stateChanged.Broadcast()
}

// setUnreachable cuts the backend off from its node, or reconnects it. The caller holds mu.
func (b *backendListener) setUnreachable(unreachable bool) {
	if unreachable == b.unreachable {
		return
	}
	b.unreachable = unreachable
	if unreachable {
		b.blockNewConnections()
		return
	}
	b.allowNewConnections()
	for c := range b.conns { // data written during the outage is delivered now
		c.stateChanged.Broadcast()
	}
}

// blockNewConnections prevents new connections from being established: it shortens the accept queue to one entry and
// fills that with a connection of its own, so that the kernel drops further SYNs as if the machine were gone. The
// caller holds mu.
func (b *backendListener) blockNewConnections() {
	if b.listener == nil {
		return
	}
	b.setBacklog(0)
	// A deadline in the past ends Accept, and the loop parks until the backend is reachable. An error means that the
	// listener is closed.
	_ = b.listener.SetDeadline(time.Unix(1, 0))
	for !b.acceptParked && !b.closed { // until it is parked, the accept loop could accept the queue filler
		b.stateChanged.Wait()
	}
	if b.closed {
		return
	}
	// After an error the queue has room for one connection, which the parked accept loop does not accept.
	b.queueFiller, _ = net.DialTimeout("tcp4", b.addr, queueFillTimeout)
}

// allowNewConnections reverses blockNewConnections. The caller holds mu.
func (b *backendListener) allowNewConnections() {
	if b.queueFiller != nil {
		closeQuietly(b.queueFiller)
		b.queueFiller = nil
	}
	if b.listener != nil {
		b.setBacklog(unix.SOMAXCONN)
		_ = b.listener.SetDeadline(time.Time{}) // an error means that the listener is closed
	}
}

func (b *backendListener) setBacklog(length int) {
	raw, err := b.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { err = errors.Join(err, unix.Listen(int(fd), length)) })
	}
	if err != nil {
		b.logError("backlog", err)
	}
}

func (b *backendListener) logError(operation string, err error) {
	b.cluster.log.write(logEvent{
		Time:         b.cluster.now(),
		Kind:         errorEvent(operation, err),
		Node:         b.node,
		AddressIndex: b.addressIndex,
	})
}

func (b *backendListener) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.queueFiller != nil {
		closeQuietly(b.queueFiller)
	}
	if b.listener != nil {
		closeQuietly(b.listener)
	}
	for c := range b.conns {
		c.reset()
	}
	b.stateChanged.Broadcast()
}

// accept accepts connections and serves each, until the cluster is closed.
func (b *backendListener) accept() {
	for {
		ln := b.awaitListener()
		if ln == nil {
			return
		}
		conn, err := ln.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, unix.ECONNABORTED):
		case err != nil:
			time.Sleep(acceptRetryDelay) // the deadline set by blockNewConnections, or a lack of descriptors
		default:
			b.startConn(conn)
		}
	}
}

// awaitListener waits until the backend runs and is reachable, and returns its listener. It returns nil once the
// cluster is closed.
func (b *backendListener) awaitListener() *net.TCPListener {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.listener == nil || b.unreachable) {
		b.acceptParked = true
		b.stateChanged.Broadcast()
		b.stateChanged.Wait()
	}
	b.acceptParked = false
	if b.closed {
		return nil
	}
	return b.listener
}

// startConn registers a connection and serves it on a goroutine of its own.
func (b *backendListener) startConn(conn *net.TCPConn) {
	c := &backendConn{backend: b, conn: conn, firstRequest: true}
	c.stateChanged = sync.NewCond(&b.mu)
	b.mu.Lock()
	b.conns[c] = true
	c.incarnation = b.incarnation
	b.mu.Unlock()
	cl := b.cluster
	cl.post(func() {
		cl.ledger.totals.Connections++
		if cl.live.Incarnation(b.addressIndex) == c.incarnation {
			cl.live.AddConnections(b.addressIndex, 1)
			c.counted = true
		}
	})
	cl.wg.Go(c.serve)
}
