package failoversim

import (
	"time"

	"tulipglade/internal/simulation/eventqueue"
)

const (
	degradedCapacity = 0.2              // fraction of its capacity that remains to a degraded zone
	initialCapacity  = 0.2              // fraction of its capacity that a zone has when it returns
	warmUpSeconds    = 10               // until a zone that returned has its full capacity
	warmUpTime       = 10 * time.Second // warmUpSeconds as a duration
)

// zone is the capacity of a zone and the start of its latest warm-up.
type zone struct {
	capacity     float64       // once warm
	warmingSince time.Duration // time of its last return
}

// capacity returns the current capacity of a zone, which grows linearly while the zone warms up.
func (s *schedule) capacity(z int) float64 {
	warming := max(s.now-s.zones[z].warmingSince, 0).Seconds()
	return s.zones[z].capacity * min(1, initialCapacity+(1-initialCapacity)*warming/warmUpSeconds)
}

// demand returns the traffic that arrives in each zone, by class.
func (s *schedule) demand() [][]float64 {
	demand := make([][]float64, len(s.zones))
	for z := range demand {
		for _, share := range classShares {
			demand[z] = append(demand[z], share*s.demandLevel*fullCapacity)
		}
	}
	return demand
}

// degradeZones removes part or all of the capacity of one zone, or all that of a region, and restores it 14 to 18 s
// later.
func (s *schedule) degradeZones() {
	affected, remaining := s.drawDegradation()
	for _, z := range affected {
		s.zones[z].capacity = remaining * fullCapacity
	}
	s.lastEvent = s.now
	s.outcome.Events++
	s.callAfter(eventqueue.UniformDuration(s.events, 14*time.Second, 18*time.Second), func() {
		for _, z := range affected {
			s.zones[z] = zone{capacity: fullCapacity, warmingSince: s.now}
		}
		s.lastEvent = s.now + warmUpTime // the event ends when the zones are warm
		s.outcome.Events++
	})
}

// drawDegradation draws the zones that lose capacity, and the fraction of the capacity that remains.
func (s *schedule) drawDegradation() (affected []int, remaining float64) {
	const region, degraded, kinds = 0, 1, 4 // all other kinds are the complete loss of one zone
	z := s.events.IntN(len(s.zones))
	switch s.events.IntN(kinds) {
	case region:
		for other, zone := range s.topology.Zones {
			if zone.Region == s.topology.Zones[z].Region {
				affected = append(affected, other)
			}
		}
		return affected, 0
	case degraded:
		return []int{z}, degradedCapacity
	}
	return []int{z}, 0
}
