package scenario

import (
	"slices"

	"tulipglade/internal/balancer"
)

// Report describes the backends' load reports.
type Report struct {
	Every            float64 `toml:"every_ms"` // 0: no reports
	Delay            float64 `toml:"delay_ms"`
	Noise            float64 `toml:"noise"` // relative standard deviation
	IncludesInFlight bool    `toml:"held"`  // include the requests in flight
	// Fields are the fields that reports include, of queue, util and held. Empty: queue and util, and held if
	// IncludesInFlight is set.
	Fields []string `toml:"fields"`
	// SentBy is how reports are sent: with answers and health checks (answers), or with health checks alone (probes).
	SentBy string `toml:"by"`
}

// reportFields are the names of a report's fields.
var reportFields = []string{"held", "queue", "util"}

// Includes reports whether load reports have a field.
func (r *Report) Includes(field string) bool {
	switch {
	case r.Every == 0:
		return false
	case len(r.Fields) > 0:
		return slices.Contains(r.Fields, field)
	}
	return field != "held" || r.IncludesInFlight
}

// LoadReport returns a report without the fields that are not included.
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
