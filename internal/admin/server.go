// Package admin answers operators' calls at an address of its own. It passes them to the node and decides
// nothing. HTTP/1.1, one call to a connection.
//
// It does not use netpoll, as clients' connections do: the one poller there waits for the node's goroutine during a
// burst, and a call must be answered whatever clients do.
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

// MaxConns bounds the connections that are open at once; they come out of the descriptors that a node reserves.
const MaxConns = 8

// acceptBackoff is the pause after a failed accept, as at the limit of descriptors.
const acceptBackoff = 50 * time.Millisecond

// Node is the node that calls are passed to. Each method returns at once, and reply is called once, from any goroutine:
// nil is yes.
type Node interface {
	// Status reports whether this process can serve.
	Status(reply func(error))
	// Standby has the node send its clients away until Active.
	Standby(reply func(error))
	// Active ends a standby.
	Active(reply func(error))
}

// Server answers calls until it is closed.
type Server struct {
	node        Node
	log         *slog.Logger
	listener    net.Listener
	readTimeout time.Duration

	mutex       sync.Mutex
	connections []*connection // oldest first
	closed      bool
	fence       fencing.Fence // of calls that name a lease
	goroutines  sync.WaitGroup
}

// connection is a connection with one call.
type connection struct {
	net.Conn
	received bool // the call is complete
}

// Listen opens the address. Calls are answered from here on.
func Listen(addr string, node Node, log *slog.Logger) (*Server, error) {
	return listen(addr, node, log, callReadTimeout)
}

func listen(addr string, node Node, log *slog.Logger, readTimeout time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	s := &Server{node: node, log: log, listener: listener, readTimeout: readTimeout}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Addr is the address that it listens at.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends the listener and all calls, and returns once they have ended.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	s.closed = true
	for _, c := range s.connections {
		_ = c.Close() // its caller gets no answer, whether or not that succeeds
	}
	s.mutex.Unlock()
	s.goroutines.Wait()
	return err
}

func (s *Server) accept() {
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
		if !s.add(c) {
			_ = accepted.Close() // rejected
			continue
		}
		s.goroutines.Go(func() {
			defer s.remove(c)
			s.serve(c)
		})
	}
}

// add registers a connection, unless the server is closed or full of complete calls. Where it is full, the oldest
// connection without a complete call is closed: a caller that sends nothing must not block others.
func (s *Server) add(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	if len(s.connections) >= MaxConns {
		oldest := slices.IndexFunc(s.connections, func(other *connection) bool { return !other.received })
		if oldest < 0 {
			return false
		}
		_ = s.connections[oldest].Close() // its caller has not completed a call
		s.connections = slices.Delete(s.connections, oldest, oldest+1)
	}
	s.connections = append(s.connections, c)
	return true
}

func (s *Server) remove(c *connection) {
	_ = c.Close() // it has been served, or has been closed before
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i := slices.Index(s.connections, c); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
	}
}

func (s *Server) setReceived(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.received = true
}
