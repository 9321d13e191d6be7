package emulator

import "tulipglade/internal/simulation/eventqueue"

const (
	maxDatagramBytes = 256
	allNodes         = -1
)

// datagram is a message between nodes.
type datagram struct {
	from int
	data []byte
}

// publishDatagram sends a datagram to another node, or to all other nodes for allNodes.
func (n *Node) publishDatagram(recipient int, data []byte) {
	if !n.simulation.scenario.Rules.Peers || len(data) > maxDatagramBytes {
		return
	}
	for _, other := range n.simulation.nodes {
		if other == n || recipient != allNodes && other.index != recipient {
			continue
		}
		n.simulation.recorder.datagrams++
		loss := max(n.simulation.scenario.Net.Loss, n.simulation.peerMessageLoss)
		if n.simulation.partitioned(n.site, other.site) || n.random.Float64() < loss {
			continue
		}
		delay := fromMilliseconds(interpolate(n.simulation.scenario.Net.Peer, n.random.Float64()))
		n.schedule(delay, eventqueue.Event{Target: other, Kind: nodeDatagram, Payload: &datagram{n.index, data}})
	}
}
