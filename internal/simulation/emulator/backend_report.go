package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// unknownReport is a load report without any figure.
var unknownReport = balancer.LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}

// measureReport measures the load report, which becomes visible after the scenario's delay.
func (b *Backend) measureReport(now eventqueue.Time) {
	settings := &b.simulation.scenario.Fleet.Report
	b.advanceService(now)
	noise := func(x float64) float64 { return max(0, x*(1+settings.Noise*b.random.NormFloat64())) }
	b.nextReport = unknownReport
	if d := float64(now - b.busyMeasuredAt); d > 0 {
		b.nextReport.Utilization = min(noise(b.busyTime/d/float64(b.kind.Cores)), 1)
		b.nextReport.Backlog = math.Round(noise(float64(b.queueLength)))
		if settings.Includes("held") {
			b.nextReport.Outstanding = math.Round(noise(float64(b.InFlight())))
		}
		b.nextReport = settings.LoadReport(b.nextReport)
	}
	b.busyTime, b.busyMeasuredAt = 0, now
	b.schedule(fromMilliseconds(settings.Delay), eventqueue.Event{Target: b, Kind: backendReportPublished})
	interval := eventqueue.Span(float64(fromMilliseconds(settings.Every)) * (0.9 + 0.2*b.random.Float64()))
	b.schedule(interval, eventqueue.Event{Target: b, Kind: backendReportMeasured})
}

// scheduleFirstReport spreads the backends' first load reports over one report interval.
func (b *Backend) scheduleFirstReport() {
	interval := fromMilliseconds(b.simulation.scenario.Fleet.Report.Every)
	if interval > 0 {
		delay := eventqueue.Span(b.random.Float64() * float64(interval))
		b.schedule(delay, eventqueue.Event{Target: b, Kind: backendReportMeasured})
	}
}
