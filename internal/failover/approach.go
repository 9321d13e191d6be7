package failover

import (
	"math"
	"slices"
)

// approach moves from the last plan towards the wanted flows, as far as the rules allow. Where the difference is within the noise, it
// replaces the wanted flows by those of the last plan.
func (p *Planner) approach(totals Totals, placed, wanted flows, seconds float64) flows {
	planned := p.newFlows()
	for zone := range planned {
		for class, demand := range totals.Demand[zone] {
			difference := 0.0
			for to, share := range p.last.Rows[zone][class].Shares {
				planned[zone][class][to] = share * demand
				difference = max(difference, math.Abs(wanted[zone][class][to]-share*demand))
			}
			isNoise := difference <= p.rules.NoiseBand*totals.Noise*demand
			// Work that is to be served in its own zone again goes there even so: otherwise some would be forwarded for ever.
			isForwarded := wanted[zone][class][zone] < demand-negligible
			if isNoise && isForwarded {
				wanted[zone][class] = slices.Clone(planned[zone][class])
			}
		}
	}
	growth := p.allowedGrowth(totals, planned, wanted, seconds)
	for zone := range planned {
		for class := range planned[zone] {
			moveTowards(planned[zone][class], wanted[zone][class], growth)
		}
	}
	p.returnExcess(totals, placed, planned)
	return planned
}

// allowedGrowth returns which part of the growth that is wanted each zone may have.
func (p *Planner) allowedGrowth(totals Totals, planned, wanted flows, seconds float64) []float64 {
	wantedGrowth := make([]float64, len(planned))
	for zone := range planned {
		for class := range planned[zone] {
			for to := range planned {
				wantedGrowth[to] += max(wanted[zone][class][to]-planned[zone][class][to], 0)
			}
		}
	}
	allowed := make([]float64, len(planned))
	for to := range allowed {
		allowed[to] = 1
		if limit := p.rules.MaxGrowthRate * seconds * totals.Capacity[to]; wantedGrowth[to] > limit {
			allowed[to] = limit / wantedGrowth[to]
		}
	}
	return allowed
}

// moveTowards changes a row towards the wanted one: each zone that is to get more gets the allowed part of that, and the others give up as
// much in proportion.
func moveTowards(planned, wanted, allowedGrowth []float64) {
	wantedGain, gain := 0.0, 0.0
	for to := range planned {
		if difference := wanted[to] - planned[to]; difference > 0 {
			wantedGain += difference
			gain += difference * allowedGrowth[to]
		}
	}
	for to := range planned {
		switch difference := wanted[to] - planned[to]; {
		case difference > 0:
			planned[to] += difference * allowedGrowth[to]
		case wantedGain > 0:
			planned[to] = max(planned[to]+difference*gain/wantedGain, 0)
		}
	}
}

// returnExcess returns work to its own zone that another has no capacity for beside its own work. That may leave less capacity in the zone
// it returns to, so it is repeated until nothing is returned. It ends, since work is only ever returned; a few rounds are enough.
func (p *Planner) returnExcess(totals Totals, placed, planned flows) {
	for p.returnExcessOnce(totals, placed, planned) {
	}
}

// returnExcessOnce does one round, and reports whether anything was returned.
func (p *Planner) returnExcessOnce(totals Totals, placed, planned flows) (returned bool) {
	for to := range planned {
		own, forwarded := 0.0, 0.0
		for zone := range planned {
			for class := range planned[zone] {
				if zone == to {
					own += min(planned[zone][class][to], placed[zone][class][to])
				} else {
					forwarded += planned[zone][class][to]
				}
			}
		}
		free := max(p.usableCapacity(totals, to)-own, 0)
		if forwarded > free+negligible {
			returned = true
			planned.returnFrom(to, 1-free/forwarded)
		}
	}
	return returned
}

// returnFrom returns a fraction of the work that other zones forward to one.
func (f flows) returnFrom(to int, fraction float64) {
	for zone := range f {
		if zone == to {
			continue
		}
		for class := range f[zone] {
			amount := f[zone][class][to] * fraction
			f[zone][class][to] = max(f[zone][class][to]-amount, 0)
			f[zone][class][zone] += amount
		}
	}
}
