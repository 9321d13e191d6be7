package node

import "tulipglade/internal/protocol"

// listFreshness tracks whether the endpoint list is current, and what has been logged about it.
type listFreshness struct {
	processStartedAt int64
	everCurrent      bool  // the list has been current at least once since the process started
	stale            bool  // the list is no longer current, and this has been logged
	noEndpointSince  int64 // when the lack of an endpoint in service was logged; 0: not logged, or one is in service again
	staleSince       int64 // when the list was last found to be no longer current
}

// readyTimeout is how long a process that has just started waits for a confirmed list before it accepts clients
// without one, in microseconds. It is chosen so that nine in ten restarted processes are ready within 6 s.
const readyTimeout = 4_500_000

// updateListFreshness logs when the endpoint list stops or starts being current.
func (n *Node) updateListFreshness() {
	now := n.now()
	current, _ := n.balancer.ListCurrent(now)
	switch {
	case current && n.listFreshness.stale:
		n.log.Warn("endpoint list current again", "stale_for_us", now-n.listFreshness.staleSince)
		n.listFreshness.stale = false
	case !current && n.listFreshness.everCurrent && !n.listFreshness.stale:
		n.log.Warn("endpoint list stale", "rev", n.listRevision, "open", n.openRequests)
		n.listFreshness.stale, n.listFreshness.staleSince = true, now
	}
	n.listFreshness.everCurrent = n.listFreshness.everCurrent || current
}

// logEndpointsInService logs when the endpoint list stops or starts having endpoints in service.
func (n *Node) logEndpointsInService() {
	inService := false
	for _, ep := range n.endpoints {
		if inService = ep.state == protocol.InService; inService {
			break
		}
	}
	switch {
	case inService && n.listFreshness.noEndpointSince > 0:
		n.log.Info("endpoint in service again", "rev", n.listRevision, "without_us", n.now()-n.listFreshness.noEndpointSince)
		n.listFreshness.noEndpointSince = 0
	case !inService && n.listFreshness.noEndpointSince == 0:
		n.log.Warn("no endpoint in service", "rev", n.listRevision, "open", n.openRequests)
		n.listFreshness.noEndpointSince = n.now()
	}
}

// ready reports whether clients may send requests to this node: a list has been confirmed as current, even an empty
// one, or an endpoint is known and the list could not be confirmed within readyTimeout. A node that drains is not
// ready.
func (n *Node) ready() bool {
	if n.drain.active {
		return false
	}
	current, _ := n.balancer.ListCurrent(n.now())
	if n.settings.Balancer.ListLease > 0 && (current || n.listFreshness.everCurrent) {
		return true
	}
	return n.endpointsKnown && (current || n.now()-n.listFreshness.processStartedAt >= readyTimeout)
}
