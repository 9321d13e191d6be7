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

// forwarderFinished counts a forwarder as ended and starts queued downloads as far as the limit allows. Those whose
// request has been answered meanwhile, as its time was over, are dropped.
func (n *Node) forwarderFinished() {
	n.activeForwarders--
	for len(n.queuedDownloads) > 0 && n.activeForwarders < n.maxForwarders() {
		next := n.queuedDownloads[0]
		n.queuedDownloads = slices.Delete(n.queuedDownloads, 0, 1)
		if next.state != backendClosed {
			n.forwardDownload(next)
		}
	}
}
