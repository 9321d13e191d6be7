package node

import (
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// UpdateEndpoints is news about the backends. Cached tells that the list may be out of date.
func (n *Node) UpdateEndpoints(update protocol.List, cached bool) {
	n.handleEndpointList(update, cached, time.Now())
}

// UpdateEndpointsAsOf is an answer of discovery's that held at a time.
func (n *Node) UpdateEndpointsAsOf(update protocol.List, asOf time.Time) {
	n.handleEndpointList(update, false, asOf)
}

func (n *Node) handleEndpointList(update protocol.List, cached bool, asOf time.Time) {
	n.post(func() {
		kind := balancer.ListDelta
		if update.All {
			kind = balancer.ListFull
		}
		if cached {
			kind = balancer.ListCached
		}
		if n.listFreshness.observeRevision(update.Rev, n.listRevision) {
			asOf = time.Time{} // a list that is older than the last says nothing of what is current
		}
		endpoints, kind := n.applyEndpointList(update, kind)
		if cached || len(endpoints) > 0 {
			n.log.Info("backends", "rev", update.Rev, "all", update.All, "cached", cached, "entries", len(endpoints))
		}
		n.endpointsKnown = n.endpointsKnown || len(endpoints) > 0
		if len(endpoints) == 0 && kind == balancer.ListDelta && !n.settings.Balancer.PollDiscovery {
			return // where nothing was asked, nothing is owed: the module hears of changes alone
		}
		n.balancer.HandleEndpointsAsOf(n.now(), n.nodeTime(asOf), kind, endpoints)
		n.updateListFreshness()
	})
}

// DiscoveryCallFailed tells that a call to discovery has failed, and how: ListFailed, ListSilent or ListBusy. Nothing newer could be had as of a time.
func (n *Node) DiscoveryCallFailed(err error, how balancer.ListKind, asOf time.Time) {
	n.post(func() {
		n.log.Warn("discovery failed", "err", err)
		n.balancer.HandleEndpointsAsOf(n.now(), n.nodeTime(asOf), how, nil)
		n.updateListFreshness()
	})
}

// DiscoveryAddressChanged tells that discovery has another address from now on: what was heard at the one before counts for so long at most.
func (n *Node) DiscoveryAddressChanged(within time.Duration) {
	n.post(func() {
		n.listFreshness.addressChanged = true
		n.balancer.ExpireListAt(n.now(), n.now()+within.Microseconds())
	})
}
