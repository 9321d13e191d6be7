// Package admin answers the calls of those who run a node, at an address of its own. It asks the node and decides
// nothing. HTTP/1.1, one call to a connection.
//
// It does not stand on netpoll, as clients' connections do: the one poller there waits for the node's goroutine in a
// burst, and a call is due its answer whatever clients do.
package admin

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"tulipglade/internal/fencing"
	"tulipglade/internal/protocol"
)

// Bounds of the calls.
const (
	MaxConns = 8 // at once; they come out of the descriptors that a node keeps for itself
	maxCall  = protocol.MaxHead
	// callWithin is how long a call may take to come in. Nobody is owed an answer to half a call, but whoever sends one
	// late and whole is.
	callWithin = 3 * time.Second
	// askWithin bounds the wait for the node: the answer is due 1 s after the call.
	askWithin = 900 * time.Millisecond
	// leaveWithin is how long a caller may take to close once it has its answer.
	leaveWithin = 200 * time.Millisecond
)

// Node is what is asked. Each call returns at once, and reply is called once, from any goroutine: nil is yes.
type Node interface {
	// Status tells whether this process can serve.
	Status(reply func(error))
	// Standby has the node send its clients away until Active.
	Standby(reply func(error))
	// Active takes a standby back.
	Active(reply func(error))
}

// errLate is the answer to a call that the node has not answered in time.
var errLate = errors.New("the node did not answer in time")

// Server answers calls until it is closed.
type Server struct {
	node   Node
	log    *slog.Logger
	ln     net.Listener
	within time.Duration // callWithin

	mu     sync.Mutex
	conns  []*call // oldest first
	closed bool
	fence  fencing.Fence // of calls that name a lease
	wait   sync.WaitGroup
}

// call is one connection.
type call struct {
	net.Conn
	whole bool // the call has come in
}

// Listen opens the address. Calls are answered from here on.
func Listen(addr string, node Node, log *slog.Logger) (*Server, error) {
	return listen(addr, node, log, callWithin)
}

func listen(addr string, node Node, log *slog.Logger, within time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	s := &Server{node: node, log: log, ln: ln, within: within}
	s.wait.Add(1)
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close ends the listener and all calls, and returns once they have ended.
func (s *Server) Close() error {
	err := s.ln.Close()
	s.mu.Lock()
	s.closed = true
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return err
}

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("operator's connection not accepted", "err", err)
			time.Sleep(50 * time.Millisecond) // as at the limit of descriptors
			continue
		}
		c := &call{Conn: conn}
		if !s.add(c) {
			_ = conn.Close()
			continue
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			defer s.remove(c)
			s.serve(c)
		}()
	}
}

// add makes room for a connection: of those whose call has not come in, the oldest goes. Whoever says nothing must not
// keep others out.
func (s *Server) add(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= MaxConns {
		oldest := -1
		for i, other := range s.conns {
			if !other.whole {
				oldest = i
				break
			}
		}
		if oldest < 0 {
			return false
		}
		_ = s.conns[oldest].Close()
		s.conns = append(s.conns[:oldest], s.conns[oldest+1:]...)
	}
	s.conns = append(s.conns, c)
	return true
}

func (s *Server) remove(c *call) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

// serve answers one call.
func (s *Server) serve(c *call) {
	_ = c.SetDeadline(time.Now().Add(s.within))
	status, why := s.read(c)
	if status == 0 {
		return
	}
	_ = c.SetDeadline(time.Now().Add(askWithin))
	body := why + "\n"
	if _, err := c.Write(append(protocol.AppendResponse(nil, status, nil, len(body), false, 0), body...)); err != nil {
		return
	}
	// To close while more comes in would reset the connection, and the answer might not be seen.
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.SetDeadline(time.Now().Add(leaveWithin))
		_, _ = io.CopyN(io.Discard, c, 8*maxCall)
	}
}

// read takes a call in and has the node answer it. Status 0: there is nobody to answer.
func (s *Server) read(c *call) (status int, why string) {
	var (
		m   protocol.Message
		buf = make([]byte, 0, 1024)
	)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxCall {
				return 413, "call too large"
			}
			buf = append(buf, make([]byte, len(buf))...)[:len(buf)]
		}
		n, err := c.Read(buf[len(buf):cap(buf)])
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				return 408, "call not complete in time"
			}
			return 0, ""
		}
		size, whole, err := m.Request(buf[:len(buf)+n])
		if buf = buf[:size]; err != nil {
			return protocol.RejectionStatus(err), err.Error()
		}
		if whole {
			break
		}
	}
	s.mu.Lock()
	c.whole = true
	s.mu.Unlock()
	_, query, _ := strings.Cut(string(m.Target), "?")
	return s.ask(string(m.Method), string(m.Path()), query)
}

// SeenTokens is the newest token that calls have named of each lease, for the process that takes this one's place.
func (s *Server) SeenTokens() []fencing.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.SeenTokens()
}

// RestoreTokens takes in what the process before has Seen.
func (s *Server) RestoreTokens(seen []fencing.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.RestoreTokens(seen)
}

// errToken is a call that names a lease, and half of what goes with it.
var errToken = errors.New("a call under a lease needs lease, seat and token")

// under reads which lease a call is made under, if any: lease=NAME&seat=N&token=N, in any order, amid anything else.
func under(query string) (g fencing.Grant, named bool, err error) {
	var seat, token string
	for part := range strings.SplitSeq(query, "&") {
		switch key, value, _ := strings.Cut(part, "="); key {
		case "lease":
			g.Name, named = value, true
		case "seat":
			seat = value
		case "token":
			token, named = value, true
		}
	}
	if !named {
		return g, false, nil
	}
	n, err := strconv.ParseUint(token, 10, 64)
	if err == nil && seat != "" {
		g.Slot, err = strconv.Atoi(seat)
	}
	if err != nil || n == 0 || g.Name == "" || g.Slot < 0 {
		return g, true, errToken
	}
	g.Token = fencing.Token(n)
	return g, true, nil
}

// begin lets a call in, if its lease has not been overtaken. The end of what it lets in is to be told.
func (s *Server) begin(query string) (end func(), err error) {
	g, named, err := under(query)
	if err != nil || !named {
		return func() {}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fence.Begin(g); err != nil {
		return nil, fmt.Errorf("lease %s, token %d: %w", g.Name, g.Token, err)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fence.End(g)
	}, nil
}

// ask has the node answer a call.
func (s *Server) ask(method, path, query string) (status int, why string) {
	calls := map[string]struct {
		method string
		ask    func(func(error))
	}{
		"/status":  {"GET", s.node.Status},
		"/standby": {"PUT", s.node.Standby},
		"/active":  {"PUT", s.node.Active},
	}
	call, ok := calls[path]
	switch {
	case !ok:
		return 404, "no such call"
	case method != call.method:
		return 405, "this call is a " + call.method
	}
	end := func() {}
	if method == "PUT" {
		var err error
		if end, err = s.begin(query); errors.Is(err, errToken) {
			return 400, err.Error()
		} else if err != nil {
			return 409, err.Error()
		}
	}
	answer := make(chan error, 1)
	call.ask(func(err error) {
		end() // also where it comes too late for an answer: until then it may still have its effect
		answer <- err
	})
	late := time.NewTimer(askWithin)
	defer late.Stop()
	var err error
	select {
	case err = <-answer:
	case <-late.C:
		err = errLate
	}
	if err != nil {
		if method == "GET" || errors.Is(err, errLate) {
			return 503, err.Error()
		}
		return 409, err.Error()
	}
	return 200, "ok"
}
