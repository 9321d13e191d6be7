package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// handleListMessage processes an answer of discovery or a watch event.
func (n *Node) handleListMessage(now eventqueue.Time, message *listMessage) {
	if message.incarnation != n.incarnation || n.incarnation == nil {
		return
	}
	n.pollFailed = message.kind == balancer.ListFailed
	if message.kind == balancer.ListFailed {
		n.watching = false
		n.policy.HandleEndpoints(n.localTime(now), message.kind, nil)
		return
	}
	if message.revision < n.listRevision {
		return
	}
	if message.fromWatch {
		n.watching = true
	}
	n.applyList(now, message.kind, message.endpoints, message.revision)
	if n.listRevision < n.simulation.discovery.revision() {
		n.simulation.discovery.scheduleNotification(n)
	}
}

// applyList hands a list to the policy, and reports what is new in it to the invariant checker.
func (n *Node) applyList(now eventqueue.Time, kind balancer.ListKind, list []balancer.Endpoint, revision int) {
	from := n.listRevision
	if kind == balancer.ListCached {
		from = n.simulation.initialRevision // the list of the start counts as known
	}
	for _, endpoint := range n.simulation.discovery.changesBetween(min(from, revision), revision) {
		n.simulation.checker.NodeNotified(now, n.index, endpoint.ID, endpoint.Phase, endpoint.StartedAt)
	}
	for _, endpoint := range list {
		n.knownEndpoints[endpoint.ID] = true
	}
	n.listRevision, n.enforcedRevision = revision, max(n.enforcedRevision, revision)
	n.decisions++
	n.policy.HandleEndpoints(n.localTime(now), kind, list)
}

// enforceNotificationDeadlines reports to the invariant checker what the node counts as notified of by the rules: without
// a watch or poll for a poll interval (four of them after a failed call), it has to know what was listed before that.
func (n *Node) enforceNotificationDeadlines(now eventqueue.Time) {
	interval := fromMilliseconds(n.simulation.scenario.Discovery.PollInterval)
	if n.watching || interval == 0 || n.enforcedRevision >= n.simulation.discovery.revision() {
		return
	}
	if n.pollFailed {
		interval *= 4
	}
	for _, c := range n.simulation.discovery.changes[n.enforcedRevision:] {
		deadline := max(c.learnedAt, n.polledAt) + interval
		if deadline > now {
			return
		}
		n.enforcedRevision++
		n.simulation.checker.NodeNotified(deadline, n.index, c.endpoint.ID, c.endpoint.Phase, c.endpoint.StartedAt)
	}
}

// WatchEndpoints starts or ends a watch on the endpoint list.
func (n *Node) WatchEndpoints(on bool) {
	if !on {
		n.watching = false
		return
	}
	n.polledAt = n.simulation.events.Now()
	n.simulation.discovery.enqueueCall(n, false)
}

// PollEndpoints polls the complete endpoint list once.
func (n *Node) PollEndpoints() {
	n.polledAt = n.simulation.events.Now()
	n.simulation.discovery.enqueueCall(n, true)
}
