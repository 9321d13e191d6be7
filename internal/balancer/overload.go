package balancer

// Overload detection: the mode, which determines the targets of the quotas, the order of dispatch and the
// time after which queued requests are rejected.

const (
	overloadEnterUtilization = 0.92 // mean reported utilization above which an overload begins
	overloadExitUtilization  = 0.80 // below which it may end; between the two, the mode does not change
	reportFreshPeriods       = 3    // control periods after which an unchanged load report is ignored
)

// loadMode is underload while there is free capacity, and overload otherwise.
type loadMode int

// The modes of the paper, whose equations average utilization separately for each mode.
const (
	underload loadMode = iota
	overload
	loadModeCount
)

// mode returns the current mode as an index for values that are kept by mode.
func (b *Balancer) mode() loadMode {
	if b.overloadMode {
		return overload
	}
	return underload
}

// updateMode changes the mode if an overload has begun or ended.
func (b *Balancer) updateMode() {
	if b.overloadDetected() == b.overloadMode {
		return
	}
	b.overloadMode = !b.overloadMode
	b.logf("overload mode changed overloaded=%v slots=%.0f", b.overloadMode, b.capacity)
}

// overloadDetected reports whether the node is overloaded: if requests are queued, or if the utilization in
// recent load reports is above the threshold.
func (b *Balancer) overloadDetected() bool {
	threshold := overloadEnterUtilization
	if b.overloadMode {
		threshold = overloadExitUtilization
	}
	return b.anyQueued() || b.meanUtilization(reportFreshPeriods*b.controlPeriod) > threshold
}

// meanUtilization returns the mean reported utilization of the available endpoints in the subset whose load
// report has changed within a duration, or 0 if there are none.
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
