package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// endpoint is an entry of the endpoint list and the state of its connections. An ID is never reused.
type endpoint struct {
	id                      balancer.EndpointID
	address                 string
	state                   protocol.State
	bootMillis              int64
	zone                    string // zone, cell and weight are as discovery states them
	cell                    int
	weight                  float64
	removedAt               int64 // when discovery reported it removed, or left it off a full list; 0: listed
	outOfServiceSince       int64 // when the node was first notified that it drains or is removed; 0: in service
	duplicatesExpectedUntil int64 // until then it is assumed to answer requests twice
	incarnation             int   // counts its processes: a connection to an earlier one is never reused
	idleConns               []*backendConn
	waitingAttempts         []*attempt // attempts that wait for a connection, in the order in which they are served
	pendingDials            int        // dials whose result has not been processed
	pendingHealthChecks     int        // health checks in flight
}

// setDiscoveryState records what discovery says of the endpoint, and since when no attempt may start there.
func (e *endpoint) setDiscoveryState(state protocol.State, now int64) {
	if state == protocol.InService {
		e.outOfServiceSince = 0
	} else if e.outOfServiceSince == 0 {
		e.outOfServiceSince = now
	}
	e.state = state
}

// target returns the endpoint as discovery described it.
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

// applyEndpointList merges a list into the registry and converts it for the balancer. Of a list that is behind, such as
// that of a discovery server which has just taken over, only what it restricts holds: it adds endpoints and reports drains,
// and what it leaves out gets nothing new, but it restores no endpoint that is known to drain or to have been removed.
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

// drainUnlisted has the endpoints that a full list leaves out drain, and returns them for the balancer.
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

// assumeDraining returns what is assumed of a backend whose entry could not be read: that it drains, and else is as before.
// One that is not known is as one that was removed.
func (n *Node) assumeDraining(uid string) protocol.Target {
	ep := n.endpointsByUID[uid]
	if ep == nil {
		return protocol.Target{UID: uid, State: protocol.Terminated}
	}
	target := ep.target(uid)
	target.State = max(target.State, protocol.Terminating)
	return target
}

// findOrAddEndpoint returns the endpoint of an entry, or nil if the entry must be ignored: it reports the removal of an
// unknown endpoint, or is part of a list that is behind and older than what is known of the endpoint.
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

// updateEndpoint applies an entry to its endpoint, and closes connections that are not usable any more.
func (n *Node) updateEndpoint(ep *endpoint, target protocol.Target) {
	ep.setDiscoveryState(target.State, n.now())
	ep.removedAt = 0
	switch {
	case target.State == protocol.Terminated:
		n.markEndpointRemoved(ep)
	case ep.address != target.Endpoint || ep.bootMillis != target.BootMs: // a new process
		ep.incarnation++
		n.closeIdleBackendConns(ep)
		ep.address = target.Endpoint
	case target.State == protocol.Terminating: // no attempt starts there any more
		n.closeIdleBackendConns(ep)
	}
	ep.bootMillis, ep.zone, ep.cell, ep.weight = target.BootMs, target.Zone, target.Cell, target.Weight
}

// phaseByState are the balancer's terms for the states of discovery.
var phaseByState = map[protocol.State]balancer.Phase{
	protocol.InService:   balancer.PhaseReady,
	protocol.Terminating: balancer.PhaseDraining,
	protocol.Terminated:  balancer.PhaseRemoved,
}

// balancerEndpoint converts an entry for the balancer.
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

// unknownZone is the number of a zone that the settings do not name.
const unknownZone = -1

// endpointRetention is how long a removed endpoint is kept, in microseconds: longer than an attempt to it can take,
// and than an outdated list can arrive late.
const endpointRetention = 60_000_000

// markEndpointRemoved marks an endpoint as removed. A connection that still carries an attempt closes behind it.
func (n *Node) markEndpointRemoved(ep *endpoint) {
	ep.removedAt = n.now()
	ep.incarnation++
	n.closeIdleBackendConns(ep)
}

// deleteExpiredEndpoints deletes endpoints that were removed long ago, as every rollout of backends brings new ones.
func (n *Node) deleteExpiredEndpoints() {
	for uid, ep := range n.endpointsByUID {
		if ep.removedAt > 0 && n.now()-ep.removedAt >= endpointRetention {
			delete(n.endpointsByUID, uid)
			delete(n.endpoints, ep.id)
			n.tombstones.add(uid, ep.bootMillis)
		}
	}
}
