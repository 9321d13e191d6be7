package emulator

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/simulation/eventqueue"
)

// valueTotals sums the value of calls, weighed by priority: of all, and of those that were served in time.
type valueTotals struct{ offered, served float64 }

// fraction is the served part; 1 if nothing was offered.
func (v valueTotals) fraction() float64 {
	if v.offered == 0 {
		return 1
	}
	return v.served / v.offered
}

// maxRecordedLatency is the upper bound of the latency histograms.
const maxRecordedLatency = 100 * eventqueue.Second

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedLatency, 3)
}

// recorder collects the figures of a run.
type recorder struct {
	simulation          *Simulation
	series              Series
	classes             []valueTotals
	tenants             []valueTotals
	withinQuota         []valueTotals
	outcomes            [][outcomeCount]int64 // by class
	latencies           []*hdrhistogram.Histogram
	latencySums         []float64 // ms, by class
	callCount           int64
	requestCount        int64
	attemptCount        int64
	crossSiteAttempts   int64
	offeredWork         float64 // µs, as the next two
	executedWork        float64
	usefulWork          float64
	duplicateExecutions int64
	executions          int64
	overloads           int64
	dials               int64
	healthChecks        int64
	datagrams           int64
	discoveryCalls      int64
}

func newRecorder(simulation *Simulation) *recorder {
	classes, tenants := len(simulation.classes), len(simulation.scenario.Tenants)
	r := &recorder{
		simulation:  simulation,
		classes:     make([]valueTotals, classes),
		tenants:     make([]valueTotals, tenants),
		withinQuota: make([]valueTotals, tenants),
		outcomes:    make([][outcomeCount]int64, classes),
		latencySums: make([]float64, classes),
	}
	for range simulation.classes {
		r.latencies = append(r.latencies, newLatencyHistogram())
	}
	seconds := int(math.Ceil(simulation.scenario.Seconds))
	r.series = Series{
		Offered:  make([]float64, seconds),
		Served:   make([]float64, seconds),
		Calls:    make([]int64, seconds),
		Rejected: make([]int64, seconds),
		Failed:   make([]int64, seconds),
		Late:     make([]int64, seconds),
	}
	return r
}

// callValue is the priority weight of a call, which counts for less beyond its tenant's quota.
func (r *recorder) callValue(c *call) float64 {
	value := r.simulation.scenario.Classes[c.Class].PriorityWeight
	if c.overQuota {
		value *= r.simulation.scenario.Goal.OverShare
	}
	return value
}

func (r *recorder) recordCall(c *call) {
	value, second := r.callValue(c), int((c.dueAt-origin)/eventqueue.Second)
	r.series.Offered[second] += value
	r.series.Calls[second]++
	if !c.measured {
		return
	}
	r.callCount++
	r.offeredWork += c.Work
	r.classes[c.Class].offered += value
	r.tenants[c.Tenant].offered += value
	if !c.overQuota {
		r.withinQuota[c.Tenant].offered += value
	}
}

func (r *recorder) recordCallEnd(c *call, outcome callOutcome, now eventqueue.Time) {
	value, second := 0.0, int((c.dueAt-origin)/eventqueue.Second)
	switch outcome {
	case outcomeServed:
		value = r.callValue(c)
	case outcomeLate:
		value = r.callValue(c) * r.simulation.scenario.Classes[c.Class].LateValue
		r.series.Late[second]++
	case outcomeRejected:
		r.series.Rejected[second]++
	default:
		r.series.Failed[second]++
	}
	r.series.Served[second] += value
	if !c.measured {
		return
	}
	r.requestCount += int64(c.requestCount)
	r.outcomes[c.Class][outcome]++
	r.classes[c.Class].served += value
	r.tenants[c.Tenant].served += value
	if !c.overQuota {
		r.withinQuota[c.Tenant].served += value
	}
	if outcome <= outcomeLate {
		// RecordValue fails only out of the histogram's bounds, to which the value is clamped.
		_ = r.latencies[c.Class].RecordValue(min(max(now-c.dueAt, 1), maxRecordedLatency))
		r.latencySums[c.Class] += float64(now-c.dueAt) / 1000
	}
}

func (r *recorder) recordAttempt(c *call, crossed bool) {
	if c.measured {
		r.attemptCount++
		if crossed {
			r.crossSiteAttempts++
		}
	}
}

func (r *recorder) recordWork(a *attempt) {
	if a.request.call.measured {
		r.executedWork += a.work
	}
}

// recordLostWork counts the work that an attempt had got when its backend stopped.
func (r *recorder) recordLostWork(a *attempt, attainedService float64) {
	if a.request.call.measured {
		r.executedWork += a.work - (a.completionService - attainedService)
	}
}

// recordUsefulWork counts the work of an attempt whose answer was used.
func (r *recorder) recordUsefulWork(a *attempt) {
	if a.request.call.measured && a.started {
		r.usefulWork += a.work
	}
}
