package soak

import "time"

// reachabilityChange records whether the discovery that a node calls was reachable from a time on.
type reachabilityChange struct {
	at        time.Duration
	reachable bool
}

// recordReachability records whether the node's active discovery is reachable now.
func (n *node) recordReachability() {
	n.mu.Lock()
	defer n.mu.Unlock()
	reachable := n.discovery[n.activeDiscovery].reachable()
	n.reachability = append(n.reachability, reachabilityChange{n.run.now(), reachable})
}

// reachableFor returns the earliest time at which discovery had been reachable without interruption for the duration d,
// not counting any time before after. If that never happened, ok is false.
func (n *node) reachableFor(d, after time.Duration) (at time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, reachable := after, true
	for _, change := range n.reachability {
		switch {
		case change.at <= after:
			reachable = change.reachable
		case reachable && change.at-since >= d:
			return since + d, true
		default:
			if change.reachable && !reachable {
				since = change.at
			}
			reachable = change.reachable
		}
	}
	return since + d, reachable
}
