package node

import "errors"

// Errors with which operators' calls are answered.
var (
	errNoEndpoints = errors.New("no backend has been named yet")
	errStopping    = errors.New("the process is stopping")
)

// Status calls reply with nil if this process can serve: at least one endpoint has been listed, and no shutdown is in
// progress. A node in standby can serve. Otherwise it calls reply with the reason.
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

// Standby drains the node until Active is called. If a drain is in progress already, it only calls reply.
func (n *Node) Standby(reply func(error)) {
	n.postPriority(func() {
		n.startDraining("standby")
		reply(nil)
	})
}

// Active ends a standby, however far its drain has progressed. During a shutdown, which can't be revoked, it calls
// reply with an error.
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
