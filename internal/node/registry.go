package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// endpoint is an entry of the endpoint list, with the state of the connections to it. Its ID is never reused.
type endpoint struct {
	id                  balancer.EndpointID
	address             string
	state               protocol.State
	bootMillis          int64  // start of its current process, in Unix milliseconds
	zone                string // zone, cell and weight are those that discovery states
	cell                int
	weight              float64
	removedAt           int64 // when discovery reported its removal or left it off a full list; 0: it is listed
	outOfServiceSince   int64 // when the node was first notified that it drains or is removed; 0: it is in service
	incarnation         int   // number of its current process: a connection to an earlier process is never reused
	idleConns           []*backendConn
	waitingAttempts     []*attempt // attempts that wait for a connection, in the order in which they will get one
	pendingDials        int        // dials whose result the event loop has not processed
	pendingHealthChecks int        // health checks in flight
}

// setDiscoveryState records the state that discovery reports for the endpoint, and since when no attempt may start
// there because of that.
func (e *endpoint) setDiscoveryState(state protocol.State, now int64) {
	if state == protocol.InService {
		e.outOfServiceSince = 0
	} else if e.outOfServiceSince == 0 {
		e.outOfServiceSince = now
	}
	e.state = state
}

// target returns the endpoint as an entry of the endpoint list, as discovery last described it.
func (e *endpoint) target(uid string) protocol.Target {
	return protocol.Target{
		UID:      uid,
		Endpoint: e.address,
		Zone:     e.zone,
		Cell:     e.cell,
		State:    e.state,
		Weight:   e.weight,
		BootMs:   e.bootMillis,
	}
}

// applyEndpointList merges a list into the registry, and returns the changed endpoints and the kind of the list as
// the balancer gets them. A list that is behind, such as that of a discovery server that has just taken over, may add
// endpoints and restrict known ones, but restore none: endpoints that it reports as draining drain, those that it
// leaves out get no new attempts, and one that is known to drain or to have been removed stays so.
func (n *Node) applyEndpointList(
	update protocol.List, kind balancer.ListKind, order staleness.RevisionOrder,
) ([]balancer.Endpoint, balancer.ListKind) {
	behind := order != staleness.InOrder
	if !behind {
		n.listRevision = update.Revision
	}
	changed := make([]balancer.Endpoint, 0, len(update.Targets))
	listed := make(map[*endpoint]bool, len(update.Targets))
	for _, target := range update.Targets {
		if target.State == protocol.Unknown {
			target = n.assumeDraining(target.UID)
		}
		ep := n.findOrAddEndpoint(target, behind)
		if ep == nil {
			continue
		}
		listed[ep] = true
		n.updateEndpoint(ep, target)
		changed = append(changed, n.balancerEndpoint(ep, target))
	}
	switch {
	case kind == balancer.ListDelta:
		return changed, kind
	case behind:
		return append(changed, n.drainUnlisted(update.Targets)...), balancer.ListDelta
	}
	for _, ep := range n.endpoints {
		if !listed[ep] && ep.removedAt == 0 {
			ep.setDiscoveryState(protocol.Terminated, n.now())
			n.markEndpointRemoved(ep)
		}
	}
	return changed, kind
}

// drainUnlisted marks the endpoints in service that a full list leaves out as draining, and returns them for the
// balancer.
func (n *Node) drainUnlisted(targets []protocol.Target) (drained []balancer.Endpoint) {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.UID] = true
	}
	for uid, ep := range n.endpointsByUID {
		if listed[uid] || ep.state != protocol.InService {
			continue
		}
		target := n.assumeDraining(uid)
		n.updateEndpoint(ep, target)
		drained = append(drained, n.balancerEndpoint(ep, target))
	}
	slices.SortFunc(drained, func(x, y balancer.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return drained
}

// assumeDraining returns the entry that is assumed for a backend whose own entry could not be read: the backend
// drains, unless it was removed, and is otherwise unchanged. A backend that is not known is treated as a removed one.
func (n *Node) assumeDraining(uid string) protocol.Target {
	ep := n.endpointsByUID[uid]
	if ep == nil {
		return protocol.Target{UID: uid, State: protocol.Terminated}
	}
	target := ep.target(uid)
	target.State = max(target.State, protocol.Terminating)
	return target
}

// findOrAddEndpoint returns the endpoint of an entry and adds it if it is new. It returns nil if the entry must be
// ignored: it reports the removal of an unknown endpoint, or it is part of a list that is behind, and is older than
// what is known of the endpoint.
func (n *Node) findOrAddEndpoint(target protocol.Target, behind bool) *endpoint {
	ep := n.endpointsByUID[target.UID]
	switch {
	case ep == nil && (target.State == protocol.Terminated || behind && n.tombstones.contains(target.UID, target.BootMs)):
		return nil
	case ep == nil:
		n.lastEndpointID++
		ep = &endpoint{id: n.lastEndpointID, address: target.Endpoint, bootMillis: target.BootMs}
		n.endpoints[ep.id], n.endpointsByUID[target.UID] = ep, ep
	case behind && (target.BootMs < ep.bootMillis || target.BootMs == ep.bootMillis && target.State < ep.state):
		return nil
	}
	return ep
}

// updateEndpoint applies an entry to its endpoint, and closes idle connections that must not be used any more.
func (n *Node) updateEndpoint(ep *endpoint, target protocol.Target) {
	ep.setDiscoveryState(target.State, n.now())
	ep.removedAt = 0
	switch {
	case target.State == protocol.Terminated:
		n.markEndpointRemoved(ep)
	case ep.address != target.Endpoint || ep.bootMillis != target.BootMs: // the backend has restarted
		ep.incarnation++
		n.closeIdleBackendConns(ep)
		ep.address = target.Endpoint
	case target.State == protocol.Terminating: // no attempt may start there any more
		n.closeIdleBackendConns(ep)
	}
	ep.bootMillis, ep.zone, ep.cell, ep.weight = target.BootMs, target.Zone, target.Cell, target.Weight
}

// phaseByState maps the states that discovery reports to the phases of the balancer.
var phaseByState = map[protocol.State]balancer.Phase{
	protocol.InService:   balancer.PhaseReady,
	protocol.Terminating: balancer.PhaseDraining,
	protocol.Terminated:  balancer.PhaseRemoved,
}

// balancerEndpoint converts an entry of the endpoint list for the balancer.
func (n *Node) balancerEndpoint(ep *endpoint, target protocol.Target) balancer.Endpoint {
	zone, ok := n.zoneIndex[target.Zone]
	if !ok {
		zone = unknownZone
	}
	return balancer.Endpoint{
		ID:        ep.id,
		StableKey: xxhash.Sum64String(target.UID),
		Phase:     phaseByState[target.State],
		Zone:      zone,
		Cell:      target.Cell,
		Weight:    target.Weight,
		StartedAt: target.BootMs * 1000,
	}
}

// unknownZone is the number of every zone that the settings do not name.
const unknownZone = -1

// endpointRetention is how long a removed endpoint is kept in the registry, in microseconds. That is longer than an
// attempt to it can take, and longer than an outdated list can be delayed.
const endpointRetention = 60_000_000

// markEndpointRemoved marks an endpoint as removed and closes its idle connections. A connection that still carries
// an attempt is closed after the answer.
func (n *Node) markEndpointRemoved(ep *endpoint) {
	ep.removedAt = n.now()
	ep.incarnation++
	n.closeIdleBackendConns(ep)
}

// deleteExpiredEndpoints deletes endpoints that were removed at least endpointRetention ago. Otherwise the registry
// would grow with every rollout of backends, which brings new endpoints. Tombstones remember the deleted ones.
func (n *Node) deleteExpiredEndpoints() {
	for uid, ep := range n.endpointsByUID {
		if ep.removedAt > 0 && n.now()-ep.removedAt >= endpointRetention {
			delete(n.endpointsByUID, uid)
			delete(n.endpoints, ep.id)
			n.tombstones.add(uid, ep.bootMillis)
		}
	}
}
