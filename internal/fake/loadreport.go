package fake

import (
	"strconv"
	"strings"

	"tulipglade/internal/balancer"
)

// loadReportField is a value that a load report may contain.
type loadReportField struct {
	scenario string // field name in scenarios
	setting  string // field name in the settings of a node
	wire     string // field name in the header and the status response
	value    func(balancer.LoadReport) float64
}

var loadReportFields = []loadReportField{
	{"held", "outstanding", "inflight", func(r balancer.LoadReport) float64 { return r.Outstanding }},
	{"queue", "backlog", "queue", func(r balancer.LoadReport) float64 { return r.Backlog }},
	{"util", "utilization", "util", func(r balancer.LoadReport) float64 { return r.Utilization }},
}

// formatLoadReport returns the text form of a load report, or an empty string if the report has no values.
func formatLoadReport(report balancer.LoadReport) string {
	var parts []string
	for _, field := range loadReportFields {
		if value := field.value(report); value >= 0 {
			parts = append(parts, field.wire+"="+strconv.FormatFloat(value, 'f', -1, 64))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "TEXT " + strings.Join(parts, ", ")
}
