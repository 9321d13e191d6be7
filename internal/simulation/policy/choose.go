package policy

// chooser selects one of the candidates for a request's next attempt. It returns nil if none of them is suitable. There
// is at least one candidate.
type chooser func(p *reference, candidates []*endpoint) *endpoint

// chooseRandom draws an endpoint, each with the same probability.
func chooseRandom(p *reference, candidates []*endpoint) *endpoint {
	return candidates[p.random.IntN(len(candidates))]
}

// chooseRoundRobin selects the candidates in turn.
func chooseRoundRobin(p *reference, candidates []*endpoint) *endpoint {
	p.roundRobin++
	return candidates[p.roundRobin%len(candidates)]
}

// chooseTwoChoices draws two endpoints, which may be the same, and selects the one with fewer attempts in flight from
// this node.
func chooseTwoChoices(p *reference, candidates []*endpoint) *endpoint {
	first := candidates[p.random.IntN(len(candidates))]
	second := candidates[p.random.IntN(len(candidates))]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// chooseLeastOutstanding selects an endpoint with the fewest attempts in flight from this node.
func chooseLeastOutstanding(p *reference, candidates []*endpoint) *endpoint {
	return p.leastLoaded(candidates, func(e *endpoint) float64 { return float64(e.inFlight) })
}

// chooseByOracle selects an endpoint with the lowest true latency, which only the emulator knows.
func chooseByOracle(p *reference, candidates []*endpoint) *endpoint {
	return p.leastLoaded(candidates, func(e *endpoint) float64 { return p.env.OracleLatency(e.ID) })
}

// leastLoaded returns the candidate with the lowest load. If several have the lowest load, it draws one of them, since
// all nodes would otherwise send to the first.
func (p *reference) leastLoaded(candidates []*endpoint, load func(*endpoint) float64) *endpoint {
	var best *endpoint
	lowest, ties := 0.0, 0
	for _, candidate := range candidates {
		candidateLoad := load(candidate)
		if best == nil || candidateLoad < lowest {
			best, lowest, ties = candidate, candidateLoad, 1
			continue
		}
		if candidateLoad > lowest {
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			best = candidate
		}
	}
	return best
}
