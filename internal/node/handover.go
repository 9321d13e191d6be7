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

// idsHanded bounds the ids that are handed over.
const idsHanded = 1 << 12

// ExportState hands on what this node has, and with it half of what is left of cold hosts' budgets.
func (n *Node) ExportState(to func(HotRestartState)) {
	n.post(func() { // behind the list that a process starts with
		h := HotRestartState{EndpointList: protocol.List{Rev: n.rev, All: true}, Classes: n.set.Classes, Tenants: n.set.Tenants, RequestIDs: map[string]int64{}}
		for uid, host := range n.byUID {
			if host.goneAt == 0 {
				h.EndpointList.Targets = append(h.EndpointList.Targets, host.target(uid))
			}
		}
		for _, r := range n.requests {
			if till := min(r.deadline, n.now()+r.set.Balancer.Classes[r.class].Deadline); len(h.RequestIDs) < idsHanded && r.msg != nil {
				h.RequestIDs[string(r.msg.Get("x-trace-id"))] = till
			}
		}
		h.Learned = n.bal.ExportState(n.now())
		to(h)
	})
}

// target is a host as discovery has told of it.
func (h *host) target(uid string) protocol.Target {
	return protocol.Target{UID: uid, Endpoint: h.addr, Zone: h.zone, Cell: h.cell, State: h.state, Weight: h.weight, BootMs: h.boot}
}

// ImportState takes up what an older process of this node has learned, of the hosts that it has been told of.
func (n *Node) ImportState(h HotRestartState) {
	n.post(func() {
		if !slices.Equal(h.Classes, n.set.Classes) || !slices.Equal(h.Tenants, n.set.Tenants) { // the settings are others by now
			h.Learned.Classes, h.Learned.Tenants = nil, nil
		}
		n.bal.ImportState(n.now(), h.Learned)
		for id, till := range h.RequestIDs {
			if _, held := n.ids[id]; held || till < n.now() || len(n.ids) >= maxIDs {
				continue
			}
			n.ids[id] = struct{}{}
			n.at(min(till, n.now()+idsMost), func() { delete(n.ids, id) })
		}
	})
}

// idsMost is for how long an id that was handed over is kept at most, in microseconds.
const idsMost = 60_000_000

// SetProcessCount tells how many processes are this node: each has its part of the descriptors, of the memory for large messages,
// and of the cold hosts' budgets.
func (n *Node) SetProcessCount(processes int) {
	n.ask(func() {
		n.shared = processes
		n.bal.SetProcessCount(processes)
		n.makeRoom(0)
	})
}

// sockets is how many descriptors this process may hold; 0: any.
func (n *Node) sockets() int {
	return max(n.set.MaxDescriptors/max(n.shared, 1), min(n.set.MaxDescriptors, reserve+leastRoom))
}

// leastRoom is what is left to serve with, however few descriptors processes share.
const leastRoom = 16

// inherited is a listening socket of another process. netpoll's own listener would set it to blocking for a moment, for
// both: an accept that then finds the queue empty stops the poller, and with it all connections.
type inherited struct {
	fd   int
	addr net.Addr
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
	return &inherited{fd, addr}, unix.SetNonblock(fd, true)
}

func tcpAddr(name unix.Sockaddr) (*net.TCPAddr, bool) {
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, true
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, true
	}
	return nil, false
}

// Accept is netpoll's: nothing and no error where the queue is empty.
func (l *inherited) Accept() (net.Conn, error) {
	fd, from, err := unix.Accept(l.fd)
	switch err {
	case nil:
	case unix.EAGAIN, unix.EINTR, unix.ECONNABORTED:
		return nil, nil
	default:
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &accepted{fd: fd, local: l.addr, remote: &net.TCPAddr{}}
	if remote, ok := tcpAddr(from); ok {
		c.remote = remote
	}
	return c, nil
}

func (l *inherited) Close() error   { return unix.Close(l.fd) }
func (l *inherited) Addr() net.Addr { return l.addr }
func (l *inherited) Fd() int        { return l.fd }

// accepted is what netpoll wants to know of a connection: it makes its own of it.
type accepted struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (c *accepted) Fd() int              { return c.fd }
func (c *accepted) LocalAddr() net.Addr  { return c.local }
func (c *accepted) RemoteAddr() net.Addr { return c.remote }

// GatedListener is a listener that can stop accepting while its queue stays: another process accepts from it.
type GatedListener struct {
	netpoll.Listener
	shut atomic.Bool
}

// errShut has netpoll take the listener out of its poller: it goes by that word.
var errShut = errors.New("listener closed: another process accepts")

// Accept is netpoll's.
func (g *GatedListener) Accept() (net.Conn, error) {
	if g.shut.Load() {
		return nil, errShut
	}
	return g.Listener.Accept()
}

// StopAccepting ends accepting.
func (g *GatedListener) StopAccepting() { g.shut.Store(true) }
