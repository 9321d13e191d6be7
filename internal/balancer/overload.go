package balancer

// Overload detection: the mode, on which the targets of quotas, the order of dispatch and the time until a
// rejection depend.

const (
	overloadEnterUtilization = 0.92 // mean reported utilization at which overload begins
	overloadExitUtilization  = 0.80 // and below which it may end; between both the mode stays
	reportFreshPeriods       = 3    // control periods after which a report that does not change says nothing
)

// loadMode says whether the fleet has capacity left.
type loadMode int

// The modes of the paper, whose equations average utilization separately for each mode.
const (
	underload loadMode = iota
	overload
	loadModeCount
)

func (b *Balancer) mode() loadMode {
	if b.overloadMode {
		return overload
	}
	return underload
}

// updateMode changes between underload and overload.
func (b *Balancer) updateMode() {
	if b.overloadDetected() == b.overloadMode {
		return
	}
	b.overloadMode = !b.overloadMode
	b.logf("overload mode changed overloaded=%v slots=%.0f", b.overloadMode, b.capacity)
}

// overloadDetected derives the mode from the node's own queue and from the endpoints' load reports, if fresh.
func (b *Balancer) overloadDetected() bool {
	threshold := overloadEnterUtilization
	if b.overloadMode {
		threshold = overloadExitUtilization
	}
	return b.anyQueued() || b.meanUtilization(reportFreshPeriods*b.controlPeriod) > threshold
}

// meanUtilization is the mean over the reports of endpoints in use that have changed within a time; 0 without
// any.
func (b *Balancer) meanUtilization(within Span) float64 {
	sum, count := 0.0, 0.0
	for _, endpoint := range b.subset {
		reported := &endpoint.reported
		if b.available(endpoint) && reported.Utilization >= 0 && b.now-reported.changedAt < within {
			sum += reported.Utilization
			count++
		}
	}
	return sum / max(count, 1)
}
