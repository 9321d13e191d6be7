package balancer

// Subsetting: which endpoints this node uses.

import "math"

// goldenRatio is the distance on the ring of endpoints between the starts of two nodes' subsets, as a
// fraction: its multiples spread any run of nodes evenly.
const goldenRatio = 0.618034

// updateSubset chooses the endpoints in use: as many as the traffic needs, in an order common to all nodes,
// from a start of the node's own. If every node used every endpoint, connections would fill the endpoints and
// no node would see one twice; if each drew its subset at random, some endpoints would be used by many nodes
// and some by few. It returns how many endpoints of the subset are warm.
func (b *Balancer) updateSubset() (warmEndpoints float64) {
	needed := 2*b.candidateCount() - 2 + int(b.meanInFlight)
	if needed > b.subsetSize || needed < b.subsetSize/2 { // it changes little
		b.subsetSize = needed
	}
	ready := b.readyEndpoints()
	b.fillSubset(ready)
	b.medianErrorRate = b.computeMedianErrorRate()
	meanNodes := float64(b.config.PeerCount) * float64(len(b.subset)) / float64(max(len(ready), 1))
	b.nodesPerEndpoint = max(1, meanNodes)
	return b.updateCapacity()
}

// fillSubset takes endpoints from the node's start on. Ejected ones are used only if there are too few
// others.
func (b *Balancer) fillSubset(ready []*endpointState) {
	b.subset = b.subset[:0]
	start := int(math.Mod(float64(b.config.PeerIndex)*goldenRatio, 1) * float64(len(ready)))
	for _, ejected := range []bool{false, true} {
		for i := range ready {
			endpoint := ready[(start+i)%len(ready)]
			if len(b.subset) < b.subsetSize && ejected == endpoint.outlier.ejected(b.now) {
				b.subset = append(b.subset, endpoint)
			}
		}
	}
}
