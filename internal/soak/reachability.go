package soak

import "time"

// reachabilityChange is when the discovery that a node calls came within reach, or out of it.
type reachabilityChange struct {
	at        time.Duration
	reachable bool
}

// recordReachability notes whether the active discovery can be reached now.
func (n *node) recordReachability() {
	n.mu.Lock()
	defer n.mu.Unlock()
	reachable := n.discovery[n.activeDiscovery].reachable()
	n.reachability = append(n.reachability, reachabilityChange{n.run.now(), reachable})
}

// reachableFor returns when discovery had been within reach for a time without a break, all of it after a moment; ok is false if it never
// had.
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
