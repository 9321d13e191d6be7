package node

import (
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// UpdateEndpoints applies an endpoint list that is current now. cached says that the list comes from a cache and may
// be out of date.
func (n *Node) UpdateEndpoints(update protocol.List, cached bool) {
	n.handleEndpointList(update, cached, time.Now(), staleness.InOrder)
}

// UpdateEndpointsAsOf applies an answer of discovery that was current at the time asOf; the zero time says that this
// time is not known. order says how the answer relates to earlier ones.
func (n *Node) UpdateEndpointsAsOf(update protocol.List, asOf time.Time, order staleness.RevisionOrder) {
	n.handleEndpointList(update, false, asOf, order)
}

// handleEndpointList posts an endpoint list to the event loop, which merges it into the registry and notifies the
// balancer.
func (n *Node) handleEndpointList(update protocol.List, cached bool, asOf time.Time, order staleness.RevisionOrder) {
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
			return // without polling, the balancer is notified only of changes
		}
		n.notifyDiscoveryResult(evidence, kind, endpoints)
	})
}

// DiscoveryCallFailed reports that a call to discovery has failed. kind is the kind of failure: ListFailed,
// ListTimeout, ListOverloaded or ListInvalid. No newer list was available at the time asOf.
func (n *Node) DiscoveryCallFailed(err error, kind balancer.ListKind, asOf time.Time) {
	n.post(func() {
		n.log.Warn("discovery failed", "err", err)
		n.notifyDiscoveryResult(n.nodeTime(asOf), kind, nil)
	})
}

// notifyDiscoveryResult passes the result of a call to discovery to the balancer, and traces how it changes the list
// lease.
func (n *Node) notifyDiscoveryResult(asOf balancer.Time, kind balancer.ListKind, endpoints []balancer.Endpoint) {
	_, validUntil := n.balancer.ListCurrent(n.now())
	n.balancer.HandleEndpointsAsOf(n.now(), asOf, kind, endpoints)
	n.updateListFreshness()
	if n.traceRequests {
		_, renewedUntil := n.balancer.ListCurrent(n.now())
		n.log.Debug("endpoint list lease", "evidence", kind.String(), "rev", n.listRevision, "entries", len(endpoints),
			"valid_us_before", validUntil-n.now(), "valid_us", renewedUntil-n.now())
	}
}

// DiscoveryAddressChanged reports that discovery has a new address: answers of the old address expire within the
// given time.
func (n *Node) DiscoveryAddressChanged(within time.Duration) {
	n.post(func() {
		n.balancer.HandleDiscoveryMoved(n.now(), within.Microseconds())
	})
}
