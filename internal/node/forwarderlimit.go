package node

import (
	"math"
	"slices"
)

// maxForwarders returns how many large messages may be forwarded at once. They may use a quarter of the memory limit,
// which is divided between the processes of the node.
func (n *Node) maxForwarders() int {
	if n.settings.MemoryLimit <= 0 {
		return math.MaxInt
	}
	limit := int(n.settings.MemoryLimit / 4 / forwarderMemory)
	return max(limit/max(n.processCount, 1), 4)
}

// forwarderFinished counts a forwarder as ended and starts queued forwarders as far as the limit allows.
func (n *Node) forwarderFinished() {
	n.activeForwarders--
	for len(n.queuedForwarders) > 0 && n.activeForwarders < n.maxForwarders() {
		next := n.queuedForwarders[0]
		n.queuedForwarders = slices.Delete(n.queuedForwarders, 0, 1)
		next()
	}
}
