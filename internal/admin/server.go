// Package admin serves the calls of operators at the admin address. It passes them to the node and makes no decisions
// of its own, except that a fence may reject calls that name a lease. The protocol is HTTP/1.1 with one call per
// connection.
//
// Unlike the connections of clients, those of operators do not use netpoll: its only poller waits for the node's
// goroutine during a burst of client traffic, but a call must be answered whatever clients do.
package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"tulipglade/internal/fencing"
)

// MaxConns is the maximum number of open connections. They use file descriptors from those that a node reserves.
const MaxConns = 8

// acceptBackoff is the pause after a failed accept, for example when the process has no file descriptors left.
const acceptBackoff = 50 * time.Millisecond

// Node is the node to which calls are passed. Each method returns at once and later calls reply exactly once, from any
// goroutine: with nil if the operation has succeeded, otherwise with the reason.
type Node interface {
	// Status replies with nil if this process can serve requests.
	Status(reply func(error))
	// Standby starts a standby: the node sends its clients away until Active is called.
	Standby(reply func(error))
	// Active ends a standby, so that the node serves clients again.
	Active(reply func(error))
}

// Server answers calls until it is closed.
type Server struct {
	node        Node
	log         *slog.Logger
	listener    net.Listener
	readTimeout time.Duration

	mutex       sync.Mutex
	connections []*connection // in the order in which they were accepted, oldest first
	closed      bool
	fence       fencing.Fence // checks the tokens of calls that name a lease
	goroutines  sync.WaitGroup
}

// connection is the connection of an operator, which carries one call.
type connection struct {
	net.Conn
	callComplete bool // the call has arrived completely
}

// Listen opens a listener at addr and starts to answer calls.
func Listen(addr string, node Node, log *slog.Logger) (*Server, error) {
	return listen(addr, node, log, callReadTimeout)
}

// listen is Listen with a choice of the time that a call may take to arrive.
func listen(addr string, node Node, log *slog.Logger, readTimeout time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	s := &Server{node: node, log: log, listener: listener, readTimeout: readTimeout}
	s.goroutines.Go(s.acceptConnections)
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener and all connections, and returns once the goroutines of the server have ended.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	s.closed = true
	for _, c := range s.connections {
		_ = c.Close() // the caller gets no answer, whether or not closing succeeds
	}
	s.mutex.Unlock()
	s.goroutines.Wait()
	return err
}

// acceptConnections accepts connections until the listener is closed, and serves each on a goroutine of its own.
func (s *Server) acceptConnections() {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("admin connection not accepted", "err", err)
			time.Sleep(acceptBackoff)
			continue
		}
		c := &connection{Conn: accepted}
		if !s.addConnection(c) {
			_ = accepted.Close() // the server is closed or at MaxConns
			continue
		}
		s.goroutines.Go(func() {
			defer s.removeConnection(c)
			s.serve(c)
		})
	}
}

// addConnection registers a connection and reports whether it is accepted. If MaxConns connections are open, it closes
// the oldest one whose call is not complete, since a caller that sends nothing must not block others. It rejects the
// new connection if the server is closed or if all open connections have complete calls.
func (s *Server) addConnection(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	if len(s.connections) >= MaxConns {
		oldest := slices.IndexFunc(s.connections, func(other *connection) bool { return !other.callComplete })
		if oldest < 0 {
			return false
		}
		_ = s.connections[oldest].Close() // the caller has not sent a complete call
		s.connections = slices.Delete(s.connections, oldest, oldest+1)
	}
	s.connections = append(s.connections, c)
	return true
}

// removeConnection closes a connection and removes it from the open ones.
func (s *Server) removeConnection(c *connection) {
	_ = c.Close() // the call has been served, or the connection was closed before
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i := slices.Index(s.connections, c); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
	}
}

// markCallComplete records that the call of a connection is complete, so that addConnection does not close it.
func (s *Server) markCallComplete(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.callComplete = true
}
