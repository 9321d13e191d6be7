package node

import (
	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// endpoint is one backend that discovery has named. Its id is never used again.
type endpoint struct {
	id                  balancer.EndpointID
	address             string
	state               protocol.State
	bootMillis          int64
	zone                string // as discovery tells it, with the next two
	cell                int
	weight              float64
	removedAt           int64 // when discovery said so, or left it off a whole list; 0: it is listed
	outOfServiceSince   int64 // when it was first heard that it drains or is gone; 0: it is in service
	duplicatesUntil     int64 // until when it is held to answer requests twice
	incarnation         int   // counts its processes: a connection to an earlier one is never used again
	idleConns           []*backendConn
	waitingAttempts     []*attempt // for a connection
	pendingDials        int        // connections on their way
	pendingHealthChecks int        // out, and not settled
}

// setState notes what discovery says of a host, and since when nothing new may go there.
func (e *endpoint) setState(state protocol.State, now int64) {
	if state == protocol.InService {
		e.outOfServiceSince = 0
	} else if e.outOfServiceSince == 0 {
		e.outOfServiceSince = now
	}
	e.state = state
}

// target is a host as discovery has told of it.
func (e *endpoint) target(uid string) protocol.Target {
	return protocol.Target{UID: uid, Endpoint: e.address, Zone: e.zone, Cell: e.cell, State: e.state, Weight: e.weight, BootMs: e.bootMillis}
}

// applyEndpointList takes a list into the pool and turns it into the module's form. A list that is older than the last one, as
// that of a discovery which has just taken over may be, adds hosts and tells of drains, but brings nothing back that
// is known to have gone on since, and what it leaves off is not gone.
func (n *Node) applyEndpointList(update protocol.List, kind balancer.ListKind) ([]balancer.Endpoint, balancer.ListKind) {
	outdated := update.Rev < n.listRevision
	n.listRevision = max(n.listRevision, update.Rev)
	if outdated {
		kind = balancer.ListDelta
	}
	changed := make([]balancer.Endpoint, 0, len(update.Targets))
	listed := make(map[*endpoint]bool, len(update.Targets))
	for _, target := range update.Targets {
		ep := n.endpointsByUID[target.UID]
		switch {
		case ep == nil && (target.State == protocol.Terminated || outdated && n.tombstones.has(target.UID, target.BootMs)):
			continue
		case ep == nil:
			n.lastEndpointID++
			ep = &endpoint{id: n.lastEndpointID, address: target.Endpoint, bootMillis: target.BootMs}
			n.endpoints[ep.id], n.endpointsByUID[target.UID] = ep, ep
		case outdated && (target.BootMs < ep.bootMillis || target.BootMs == ep.bootMillis && target.State < ep.state):
			continue
		}
		listed[ep] = true
		ep.setState(target.State, n.now())
		ep.removedAt = 0
		switch {
		case target.State == protocol.Terminated:
			n.endpointRemoved(ep)
		case ep.address != target.Endpoint || ep.bootMillis != target.BootMs: // another process
			ep.incarnation++
			n.closeIdleBackends(ep, closeEndpointChanged)
			ep.address = target.Endpoint
		case target.State == protocol.Terminating: // it gets nothing new
			n.closeIdleBackends(ep, closeEndpointChanged)
		}
		ep.bootMillis, ep.zone, ep.cell, ep.weight = target.BootMs, target.Zone, target.Cell, target.Weight
		zone, ok := n.zoneIndex[target.Zone]
		if !ok {
			zone = -1
		}
		phase := map[protocol.State]balancer.Phase{protocol.InService: balancer.PhaseReady,
			protocol.Terminating: balancer.PhaseDraining, protocol.Terminated: balancer.PhaseRemoved}[target.State]
		changed = append(changed, balancer.Endpoint{ID: ep.id, StableKey: xxhash.Sum64String(target.UID), Phase: phase, Zone: zone, Cell: target.Cell, Weight: target.Weight,
			StartedAt: target.BootMs * 1000})
	}
	for _, ep := range n.endpoints {
		if kind != balancer.ListDelta && !listed[ep] && ep.removedAt == 0 {
			ep.setState(protocol.Terminated, n.now())
			n.endpointRemoved(ep)
		}
	}
	return changed, kind
}

// endpointRetention is for how long a host that is gone is remembered, in microseconds: longer than any attempt at it may
// take, and than an old list may come late.
const endpointRetention = 60_000_000

// endpointRemoved notes that a host is gone. Connections to it that still carry an attempt close after that.
func (n *Node) endpointRemoved(ep *endpoint) {
	ep.removedAt = n.now()
	ep.incarnation++
	n.closeIdleBackends(ep, closeEndpointChanged)
}

// deleteExpiredEndpoints drops the hosts that have been gone for long: every release brings new ones.
func (n *Node) deleteExpiredEndpoints() {
	for uid, ep := range n.endpointsByUID {
		if ep.removedAt > 0 && n.now()-ep.removedAt >= endpointRetention {
			delete(n.endpointsByUID, uid)
			delete(n.endpoints, ep.id)
			n.tombstones.add(uid, ep.bootMillis)
		}
	}
}
