package node

import (
	"errors"
)

// What an operator can be told.
var (
	errNoEndpoints = errors.New("no backend has been named yet")
	errStopping    = errors.New("the process is stopping")
)

// Status tells whether this process can serve: it has been told of a backend, and is not about to end. That it is in
// standby does not count.
func (n *Node) Status(reply func(error)) {
	n.postPriority(func() {
		switch {
		case n.drain.stopping:
			reply(errStopping)
		case !n.endpointsKnown:
			reply(errNoEndpoints)
		default:
			reply(nil)
		}
	})
}

// Standby sends clients away until Active. Where the node is on its way out already, nothing changes.
func (n *Node) Standby(reply func(error)) {
	n.postPriority(func() {
		n.startDraining("standby")
		reply(nil)
	})
}

// Active takes a standby back, at any point of it. A stop can't be taken back.
func (n *Node) Active(reply func(error)) {
	n.postPriority(func() {
		if n.drain.stopping {
			reply(errStopping)
			return
		}
		if n.drain.active {
			n.drain = drainState{generation: n.drain.generation}
			n.log.Info("active", "open", n.openRequests, "clients", len(n.clients))
		}
		reply(nil)
	})
}
