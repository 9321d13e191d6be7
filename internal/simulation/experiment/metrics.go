package experiment

import (
	"maps"
	"math"
	"slices"

	"tulipglade/internal/simulation/emulator"
)

// Metrics are the figures of a result that can be compared, tabulated and plotted, by name.
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

// latency returns a quantile of served calls in ms, NaN if there is none.
func latency(r *emulator.Result, percent float64) float64 {
	for _, quantile := range r.Latency {
		if quantile.Percent == percent {
			return quantile.Milliseconds
		}
	}
	return math.NaN()
}

// MetricNames returns the names of Metrics, sorted.
func MetricNames() []string { return slices.Sorted(maps.Keys(Metrics)) }
