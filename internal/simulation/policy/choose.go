package policy

// chooser selects an endpoint for a request's next attempt; nil: none will do.
type chooser func(p *reference, candidates []*endpoint) *endpoint

func chooseRandom(p *reference, candidates []*endpoint) *endpoint {
	return candidates[p.random.IntN(len(candidates))]
}

func chooseRoundRobin(p *reference, candidates []*endpoint) *endpoint {
	p.roundRobin++
	return candidates[p.roundRobin%len(candidates)]
}

// chooseTwoChoices draws two endpoints and takes the one with fewer attempts in flight.
func chooseTwoChoices(p *reference, candidates []*endpoint) *endpoint {
	first := candidates[p.random.IntN(len(candidates))]
	second := candidates[p.random.IntN(len(candidates))]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

func chooseLeastOutstanding(p *reference, candidates []*endpoint) *endpoint {
	return p.leastLoaded(candidates, func(e *endpoint) float64 { return float64(e.inFlight) })
}

func chooseByOracle(p *reference, candidates []*endpoint) *endpoint {
	return p.leastLoaded(candidates, func(e *endpoint) float64 { return p.env.OracleLatency(e.ID) })
}

// leastLoaded returns an endpoint of the lowest load. Among equals it draws one: the first would attract all nodes.
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
