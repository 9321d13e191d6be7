package failover

import (
	"math"
	"slices"
)

// approach returns flows that move from those of the last plan towards the wanted ones, as far as the rules allow.
// Where a row differs from the last plan by no more than the noise, approach keeps the row of the last plan, also in
// wanted.
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
			// A row whose work is all wanted in its own zone is changed even if the difference is within the noise:
			// otherwise a small part of the work would be forwarded forever.
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

// allowedGrowth returns, by zone, the fraction of the zone's wanted growth that MaxGrowthRate permits.
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

// moveTowards changes a row towards the wanted one. Each zone whose work is to increase receives the allowed fraction
// of the increase, and the zones whose work is to decrease lose the same total, in proportion to their wanted
// decrease.
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

// returnExcess returns forwarded work to the zone where it entered if the receiving zone has no capacity for it
// beside its own work. The returned work uses capacity of its own zone, which may then be unable to serve work that
// others forward to it, so the rounds are repeated until nothing is returned. They end, since work is only ever
// returned; a few rounds are enough.
func (p *Planner) returnExcess(totals Totals, placed, planned flows) {
	for p.returnExcessOnce(totals, placed, planned) {
	}
}

// returnExcessOnce performs one round of returnExcess, and reports whether any work was returned.
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

// returnFrom moves a fraction of the work that other zones forward to a zone back to the zones where it entered.
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
