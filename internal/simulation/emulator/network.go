package emulator

import "tulipglade/internal/simulation/eventqueue"

// partitioned reports whether the link between two sites is cut.
func (s *Simulation) partitioned(a, b int) bool {
	return a != b && (s.partitions[a] > 0 || s.partitions[b] > 0)
}

// delay draws the one-way delay between two sites.
func (s *Simulation) delay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := s.scenario.Net.Same
	if a != b {
		ms = s.scenario.Net.Cross
	}
	return s.jitter(r, ms)
}

// clientDelay draws the one-way delay between a client and a node.
func (s *Simulation) clientDelay(r *eventqueue.Stream, a, b int) eventqueue.Span {
	ms := s.scenario.Net.Client
	if a != b {
		ms += s.scenario.Net.Cross
	}
	return s.jitter(r, ms)
}

// jitter draws a delay around a mean in milliseconds.
func (s *Simulation) jitter(r *eventqueue.Stream, ms float64) eventqueue.Span {
	if s.scenario.Net.Jitter > 0 {
		ms *= 1 + s.scenario.Net.Jitter*(r.ExpFloat64()-1)
	}
	return fromMilliseconds(max(ms, 0))
}

// selectNode is the frontend: it chooses the node for a client's request, one of the client's site that it believes to be
// up, else one of any site, else any.
func (s *Simulation) selectNode(site int, nodeDraw, extraDraw float64) *Node {
	sites, extraTotal := len(s.scenario.Fleet.Sites), 0.0
	for _, n := range s.nodes {
		extraTotal += n.extraTraffic
	}
	if extraTotal > 0 && extraDraw < extraTotal {
		// Rounding may change the draw by one bit; results of existing seeds depend on it.
		extraDraw = extraDraw / extraTotal * extraTotal
		for _, n := range s.nodes {
			if extraDraw -= n.extraTraffic; extraDraw < 0 && n.believedUp {
				return n
			}
		}
	}
	siteNodes := (len(s.nodes) - site + sites - 1) / sites // nodes site, site+sites, ...
	for i := range siteNodes {
		if n := s.nodes[site+(int(nodeDraw*float64(siteNodes))+i)%siteNodes*sites]; n.believedUp {
			return n
		}
	}
	start := int(nodeDraw * float64(len(s.nodes)))
	for i := range s.nodes {
		if n := s.nodes[(start+i)%len(s.nodes)]; n.believedUp {
			return n
		}
	}
	return s.nodes[start]
}
