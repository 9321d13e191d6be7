package experiment

import (
	"maps"
	"math"
	"slices"

	"tulipglade/internal/simulation/emulator"
)

// Metrics maps the name of each metric that can be compared, tabulated and plotted to a function that reads it from a
// result.
var Metrics = map[string]func(*emulator.Result) float64{
	"score":        func(r *emulator.Result) float64 { return r.Score },
	"worth":        func(r *emulator.Result) float64 { return r.ServedValue },
	"worst_window": func(r *emulator.Result) float64 { return r.WorstWindow },
	"worst_class":  func(r *emulator.Result) float64 { return r.WorstClass },
	"worst_tenant": func(r *emulator.Result) float64 { return r.WorstTenant },
	"last_10s":     func(r *emulator.Result) float64 { return r.ServiceAfterEnd },
	"waste":        func(r *emulator.Result) float64 { return r.Waste },
	"cross_site":   func(r *emulator.Result) float64 { return r.CrossSite },
	"attempts":     func(r *emulator.Result) float64 { return r.AttemptsPerRequest },
	"tries":        func(r *emulator.Result) float64 { return r.RequestsPerCall },
	"p50_ms":       func(r *emulator.Result) float64 { return latency(r, 50) },
	"p99_ms":       func(r *emulator.Result) float64 { return latency(r, 99) },
	"p999_ms":      func(r *emulator.Result) float64 { return latency(r, 99.9) },
	"rules_broken": func(r *emulator.Result) float64 {
		violations := 0
		for _, count := range r.Broken {
			violations += count
		}
		return float64(violations)
	},
}

// latency returns the latency of served calls at a percentile in ms, or NaN if the result does not have that
// percentile.
func latency(r *emulator.Result, percent float64) float64 {
	for _, quantile := range r.Latency {
		if quantile.Percent == percent {
			return quantile.Milliseconds
		}
	}
	return math.NaN()
}

// MetricNames returns the sorted names of all metrics.
func MetricNames() []string { return slices.Sorted(maps.Keys(Metrics)) }
