package node

import (
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// UpdateEndpoints applies changes of the endpoint list. Cached says that the list may be out of date.
func (n *Node) UpdateEndpoints(update protocol.List, cached bool) {
	n.handleEndpointList(update, cached, time.Now(), staleness.InOrder)
}

// UpdateEndpointsAsOf applies an answer of discovery that was current at a time; the zero time says that this is not known.
// Order says how it relates to the answers before.
func (n *Node) UpdateEndpointsAsOf(update protocol.List, asOf time.Time, order staleness.Order) {
	n.handleEndpointList(update, false, asOf, order)
}

// handleEndpointList posts a change of the endpoint list to the event loop, which merges it and notifies the
// balancer.
func (n *Node) handleEndpointList(update protocol.List, cached bool, asOf time.Time, order staleness.Order) {
	n.post(func() {
		kind := balancer.ListDelta
		if update.Full {
			kind = balancer.ListFull
		}
		if cached {
			kind = balancer.ListCached
		}
		evidence := balancer.NoEvidence
		if order != staleness.Behind && !asOf.IsZero() {
			evidence = n.nodeTime(asOf)
		}
		endpoints, kind := n.applyEndpointList(update, kind, order)
		if cached || len(endpoints) > 0 {
			n.log.Info("endpoint list updated", "rev", update.Revision, "all", update.Full, "cached", cached, "entries", len(endpoints))
		}
		n.endpointsKnown = n.endpointsKnown || len(endpoints) > 0
		n.logEndpointsInService()
		if len(endpoints) == 0 && kind == balancer.ListDelta && !n.settings.Balancer.PollDiscovery {
			return // without polling, the balancer is notified of changes only
		}
		n.notifyDiscoveryResult(evidence, kind, endpoints)
	})
}

// DiscoveryCallFailed reports a failed call to discovery and the kind of failure: ListFailed, ListTimeout, ListOverloaded or
// ListInvalid.
// No newer list was available as of the given time.
func (n *Node) DiscoveryCallFailed(err error, how balancer.ListKind, asOf time.Time) {
	n.post(func() {
		n.log.Warn("discovery failed", "err", err)
		n.notifyDiscoveryResult(n.nodeTime(asOf), how, nil)
	})
}

// notifyDiscoveryResult passes on what a call to discovery has brought, and traces what that means for the lease on the list.
func (n *Node) notifyDiscoveryResult(asOf balancer.Time, kind balancer.ListKind, endpoints []balancer.Endpoint) {
	_, until := n.balancer.ListCurrent(n.now())
	n.balancer.HandleEndpointsAsOf(n.now(), asOf, kind, endpoints)
	n.updateListFreshness()
	if n.traceRequests {
		_, renewed := n.balancer.ListCurrent(n.now())
		n.log.Debug("endpoint list lease", "evidence", kind.String(), "rev", n.listRevision, "entries", len(endpoints),
			"valid_us_before", until-n.now(), "valid_us", renewed-n.now())
	}
}

// DiscoveryAddressChanged reports that discovery has a new address: what the old one answered expires within the
// given time.
func (n *Node) DiscoveryAddressChanged(within time.Duration) {
	n.post(func() {
		n.balancer.HandleDiscoveryMoved(n.now(), within.Microseconds())
	})
}
