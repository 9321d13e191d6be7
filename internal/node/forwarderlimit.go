package node

import (
	"math"
	"slices"
)

// maxForwarders is how many large messages may be forwarded at once: a quarter of the memory limit is for them.
func (n *Node) maxForwarders() int {
	if n.settings.MemoryLimit <= 0 {
		return math.MaxInt
	}
	limit := int(n.settings.MemoryLimit / 4 / forwarderMemory)
	return max(limit/max(n.processCount, 1), 4)
}

// forwarderFinished starts the next forwarder that waits for memory.
func (n *Node) forwarderFinished() {
	n.activeForwarders--
	for len(n.queuedForwarders) > 0 && n.activeForwarders < n.maxForwarders() {
		next := n.queuedForwarders[0]
		n.queuedForwarders = slices.Delete(n.queuedForwarders, 0, 1)
		next()
	}
}
