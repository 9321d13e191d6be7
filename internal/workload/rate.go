package workload

import "math"

// The load shapes with a meaning of their own; any other shape is a steady load.
const (
	shapeConstant = "constant"
	shapeRamp     = "ramp"
	shapeSteps    = "steps"
	shapeSurge    = "surge"
	shapeTrace    = "trace"
	shapeWave     = "wave"
)

// rateInterval is the longest interval over which the rate is treated as constant, in µs.
const rateInterval = 10_000

// level returns the load at a time in µs, without faults, as a multiple of the scenario's base rate.
func (s *Schedule) level(at float64) float64 {
	load, seconds := &s.scenario.Load, at/microsPerSecond
	switch load.Shape {
	case shapeWave:
		return 1 + load.Swing*math.Sin(2*math.Pi*seconds/load.Period)
	case shapeRamp:
		return 1 + (load.Peak-1)*seconds/s.scenario.Seconds
	case shapeSteps:
		step := math.Floor(seconds / load.Period)
		lastStep := math.Max(math.Floor(s.scenario.Seconds/load.Period)-1, 1)
		return 1 + (load.Peak-1)*step/lastStep
	case shapeSurge:
		if seconds >= load.From && seconds < load.Until {
			return load.Peak
		}
	}
	return 1
}

// levelWithSurges returns the level with the surges among the faults applied, and the tenants' cumulative shares of it.
func (s *Schedule) levelWithSurges(at float64) (level float64, tenants []float64) {
	level = s.level(at)
	weights := s.surgeWeights(at)
	if weights == nil {
		return level, s.tenants
	}
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum == 0 {
		return 0, s.tenants
	}
	return level * sum, cumulativeShares(weights)
}

// surgeWeights returns the tenants' weights under the surges that are active at a time in µs, or nil if none is active.
func (s *Schedule) surgeWeights(at float64) []float64 {
	var weights []float64
	for i := range s.surges {
		surge := &s.surges[i]
		if ms := int64(at / microsPerMilli); ms < surge.Start || ms >= surge.End() {
			continue
		}
		if weights == nil {
			weights = weightsFromCumulative(s.tenants)
		}
		for tenant := range weights {
			if surge.Tenant == "" || surge.Tenant == s.scenario.Tenants[tenant].Name {
				weights[tenant] *= surge.Size
			}
		}
	}
	return weights
}

// weightsFromCumulative returns the share of each index; it is the inverse of cumulativeShares.
func weightsFromCumulative(cumulative []float64) []float64 {
	weights := make([]float64, len(cumulative))
	for i := range weights {
		weights[i] = cumulative[i]
		if i > 0 {
			weights[i] -= cumulative[i-1]
		}
	}
	return weights
}
