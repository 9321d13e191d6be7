package node

import "errors"

// Errors that operators get.
var (
	errNoEndpoints = errors.New("no backend has been named yet")
	errStopping    = errors.New("the process is stopping")
)

// Status reports whether this process can serve: an endpoint is known, and no shutdown is in progress. A standby
// makes no difference.
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

// Standby drains the node until Active is called. It has no effect on a drain in progress.
func (n *Node) Standby(reply func(error)) {
	n.postPriority(func() {
		n.startDraining("standby")
		reply(nil)
	})
}

// Active ends a standby at any point of it. A shutdown can't be revoked.
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
