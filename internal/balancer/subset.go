package balancer

// Subsetting: which of the listed endpoints this node uses.

import "math"

// goldenRatio is the distance between the starts of the subsets of two consecutive nodes, as a fraction of
// the ring of endpoints. Its multiples spread any run of consecutive nodes evenly over the ring.
const goldenRatio = 0.618034

// updateSubset chooses the endpoints that this node uses: as many as its traffic needs, in an order that all
// nodes share, from a start of the node's own. If every node used every endpoint, connections would fill the
// endpoints, and a node would hardly use the same endpoint twice. If each node drew its subset at random,
// some endpoints would be used by many nodes and others by few. It returns the number of warm endpoints in
// the subset.
func (b *Balancer) updateSubset() (warmEndpoints float64) {
	needed := 2*b.candidateCount() - 2 + int(b.meanInFlight)
	if needed > b.subsetSize || needed < b.subsetSize/2 { // so that the size seldom changes
		b.subsetSize = needed
	}
	ready := b.readyEndpoints()
	b.fillSubset(ready)
	b.medianErrorRate = b.computeMedianErrorRate()
	meanNodes := float64(b.config.PeerCount) * float64(len(b.subset)) / float64(max(len(ready), 1))
	b.nodesPerEndpoint = max(1, meanNodes)
	return b.updateCapacity()
}

// fillSubset fills the subset with ready endpoints, beginning at this node's start. Ejected endpoints are
// used only if there are too few others.
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
