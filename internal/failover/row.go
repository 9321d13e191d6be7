package failover

import (
	"fmt"
	"math"
)

// newRow returns the plan's row for a zone and class, with a reason for operators. Planned and wanted are the work by
// destination zone; unplaced is the work that no zone has capacity for.
func newRow(zone int, capacity float64, planned, wanted []float64, unplaced float64) Row {
	total := 0.0
	for _, work := range planned {
		total += work
	}
	row := Row{Shares: make([]float64, len(planned))}
	if total <= 0 {
		row.Shares[zone] = 1
		row.Reason = "at home: nothing comes"
		return row
	}
	forwarded := 0.0
	for to, work := range planned {
		row.Shares[to] = work / total
		if to != zone {
			forwarded += work
		}
	}
	pending := 0.0 // halved, since moved work counts in the zone that it leaves and in its destination
	for to := range planned {
		pending += math.Abs(wanted[to]-planned[to]) / 2
	}
	row.Reason = describeRow(capacity, total, forwarded, unplaced, pending)
	return row
}

// describeRow returns the reason of a row for operators. It must not exceed 200 bytes; see maxRowBytes.
func describeRow(capacity, total, forwarded, unplaced, pending float64) string {
	reason := "at home: it fits"
	switch {
	case capacity == 0:
		reason = "elsewhere: nothing at home can serve"
	case forwarded > 0:
		reason = fmt.Sprintf("%.0f%% elsewhere: home can do %.3g of what enters", 100*forwarded/total, capacity)
	}
	if unplaced > negligible {
		reason += fmt.Sprintf("; %.0f%% fits nowhere and is refused at home", 100*unplaced/total)
	}
	if pending > negligible*total {
		reason += fmt.Sprintf("; %.0f%% still to move, as fast as receivers may grow", 100*pending/total)
	}
	return reason
}
