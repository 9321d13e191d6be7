package node

import (
	"errors"
	"net"
	"slices"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// HotRestartState is what one process of a node gives the next: together they are one node to hosts and clients.
type HotRestartState struct {
	EndpointList protocol.List    `json:"List"`
	Classes      []string         `json:"Classes"` // those that Learned speaks of, in its order
	Tenants      []string         `json:"Tenants"`
	Learned      balancer.Learned `json:"Learned"`
	RequestIDs   map[string]int64 `json:"IDs"` // of requests that may be running, and until when, on the clock that both have
}

// maxHandedOverIDs bounds the ids that are handed over.
const maxHandedOverIDs = 1 << 12

// ExportState hands on what this node has, and with it half of what is left of cold hosts' budgets.
func (n *Node) ExportState(deliver func(HotRestartState)) {
	n.post(func() { // behind the list that a process starts with
		state := HotRestartState{EndpointList: protocol.List{Rev: n.listRevision, All: true}, Classes: n.settings.Classes, Tenants: n.settings.Tenants, RequestIDs: map[string]int64{}}
		for uid, ep := range n.endpointsByUID {
			if ep.removedAt == 0 {
				state.EndpointList.Targets = append(state.EndpointList.Targets, ep.target(uid))
			}
		}
		for _, req := range n.requests {
			if expiresAt := min(req.deadline, n.now()+req.settings.Balancer.Classes[req.class].Deadline); len(state.RequestIDs) < maxHandedOverIDs && req.message != nil {
				state.RequestIDs[string(req.message.Get("x-trace-id"))] = expiresAt
			}
		}
		state.Learned = n.balancer.ExportState(n.now())
		deliver(state)
	})
}

// target is a host as discovery has told of it.
func (e *endpoint) target(uid string) protocol.Target {
	return protocol.Target{UID: uid, Endpoint: e.address, Zone: e.zone, Cell: e.cell, State: e.state, Weight: e.weight, BootMs: e.bootMillis}
}

// ImportState takes up what an older process of this node has learned, of the hosts that it has been told of.
func (n *Node) ImportState(state HotRestartState) {
	n.post(func() {
		if !slices.Equal(state.Classes, n.settings.Classes) || !slices.Equal(state.Tenants, n.settings.Tenants) { // the settings are others by now
			state.Learned.Classes, state.Learned.Tenants = nil, nil
		}
		n.balancer.ImportState(n.now(), state.Learned)
		for id, expiresAt := range state.RequestIDs {
			if _, inUse := n.requestIDsInUse[id]; inUse || expiresAt < n.now() || len(n.requestIDsInUse) >= maxRequestIDsInUse {
				continue
			}
			n.requestIDsInUse[id] = struct{}{}
			n.scheduleAt(min(expiresAt, n.now()+maxHandedOverIDAge), func() { delete(n.requestIDsInUse, id) })
		}
	})
}

// maxHandedOverIDAge is for how long an id that was handed over is kept at most, in microseconds.
const maxHandedOverIDAge = 60_000_000

// SetProcessCount tells how many processes are this node: each has its part of the descriptors, of the memory for large messages,
// and of the cold hosts' budgets.
func (n *Node) SetProcessCount(processes int) {
	n.postPriority(func() {
		n.processCount = processes
		n.balancer.SetProcessCount(processes)
		n.reserveDescriptors(0)
	})
}

// descriptorLimit is how many descriptors this process may hold; 0: any.
func (n *Node) descriptorLimit() int {
	return max(n.settings.MaxDescriptors/max(n.processCount, 1), min(n.settings.MaxDescriptors, reservedDescriptors+minServingDescriptors))
}

// minServingDescriptors is what is left to serve with, however few descriptors processes share.
const minServingDescriptors = 16

// inheritedListener is a listening socket of another process. netpoll's own listener would set it to blocking for a moment, for
// both: an accept that then finds the queue empty stops the poller, and with it all connections.
type inheritedListener struct {
	descriptor int
	address    net.Addr
}

// InheritListener makes a listener of a descriptor, which belongs to it from here on.
func InheritListener(fd int) (netpoll.Listener, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	addr, ok := tcpAddr(name)
	if !ok {
		return nil, errors.New("not a TCP socket")
	}
	return &inheritedListener{fd, addr}, unix.SetNonblock(fd, true)
}

func tcpAddr(address unix.Sockaddr) (*net.TCPAddr, bool) {
	switch socketAddress := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: socketAddress.Addr[:], Port: socketAddress.Port}, true
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: socketAddress.Addr[:], Port: socketAddress.Port}, true
	}
	return nil, false
}

// Accept is netpoll's: nothing and no error where the queue is empty.
func (l *inheritedListener) Accept() (net.Conn, error) {
	fd, from, err := unix.Accept(l.descriptor)
	switch err {
	case nil:
	case unix.EAGAIN, unix.EINTR, unix.ECONNABORTED:
		return nil, nil
	default:
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &acceptedConn{descriptor: fd, local: l.address, remote: &net.TCPAddr{}}
	if remote, ok := tcpAddr(from); ok {
		c.remote = remote
	}
	return c, nil
}

func (l *inheritedListener) Close() error   { return unix.Close(l.descriptor) }
func (l *inheritedListener) Addr() net.Addr { return l.address }
func (l *inheritedListener) Fd() int        { return l.descriptor }

// acceptedConn is what netpoll wants to know of a connection: it makes its own of it.
type acceptedConn struct {
	net.Conn
	descriptor    int
	local, remote net.Addr
}

func (c *acceptedConn) Fd() int              { return c.descriptor }
func (c *acceptedConn) LocalAddr() net.Addr  { return c.local }
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }

// GatedListener is a listener that can stop accepting while its queue stays: another process accepts from it.
type GatedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// errAcceptingStopped has netpoll take the listener out of its poller: it goes by that word.
var errAcceptingStopped = errors.New("listener closed: another process accepts")

// Accept is netpoll's.
func (g *GatedListener) Accept() (net.Conn, error) {
	if g.stopped.Load() {
		return nil, errAcceptingStopped
	}
	return g.Listener.Accept()
}

// StopAccepting ends accepting.
func (g *GatedListener) StopAccepting() { g.stopped.Store(true) }
