package scenario

import (
	"slices"

	"tulipglade/internal/balancer"
)

// Report describes the load reports of the backends.
type Report struct {
	Every            float64 `toml:"every_ms"` // interval between reports; 0: no reports
	Delay            float64 `toml:"delay_ms"`
	Noise            float64 `toml:"noise"` // relative standard deviation of the reported figures
	IncludesInFlight bool    `toml:"held"`  // reports include the number of requests in flight
	// Fields lists the fields that reports include, each of which is queue, util or held. If it is empty, reports
	// include queue and util, and also held if IncludesInFlight is set.
	Fields []string `toml:"fields"`
	// SentBy selects how nodes get reports: with answers and health checks (answers), or only with health checks
	// (probes).
	SentBy string `toml:"by"`
}

// reportFields lists the valid values of Report.Fields.
var reportFields = []string{"held", "queue", "util"}

// Includes reports whether load reports include the field with the given name.
func (r *Report) Includes(field string) bool {
	switch {
	case r.Every == 0:
		return false
	case len(r.Fields) > 0:
		return slices.Contains(r.Fields, field)
	}
	return field != "held" || r.IncludesInFlight
}

// LoadReport returns a copy of a complete report in which the fields that are not included are set to -1, for unknown.
func (r *Report) LoadReport(all balancer.LoadReport) balancer.LoadReport {
	if !r.Includes("held") {
		all.Outstanding = -1
	}
	if !r.Includes("queue") {
		all.Backlog = -1
	}
	if !r.Includes("util") {
		all.Utilization = -1
	}
	return all
}
