package emulator

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
)

// Result is what a run has shown. Shares are of 1; worth is what classes say a call is worth.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Score       float64 `json:"score"`        // the parts below as the goal weighs them; 0 if a rule was broken
	ServedValue float64 `json:"worth"`        // answered in time, of that asked for
	WorstWindow float64 `json:"worst_window"` // the same in the worst 10 s
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"` // within its share

	Calls              int64                 `json:"calls"`
	Outcomes           map[string]int64      `json:"outcomes"`
	AttemptsPerRequest float64               `json:"attempts_per_try"`
	RequestsPerCall    float64               `json:"tries_per_call"`
	CrossSite          float64               `json:"cross_site"` // attempts that crossed, for each call
	Waste              float64               `json:"waste"`      // box work that served no answer, of the work asked for
	SecondRuns         int64                 `json:"second_runs"`
	Executions         int64                 `json:"executions"`
	Overdriven         int64                 `json:"overdriven"` // times that a box turned slow from being crowded
	Dials              int64                 `json:"dials"`
	Probes             int64                 `json:"probes,omitempty"`
	Datagrams          int64                 `json:"datagrams,omitempty"`
	DiscoveryCalls     int64                 `json:"discovery_calls"`
	Events             uint64                `json:"events"`
	Decisions          uint64                `json:"decisions"`
	Capacity           float64               `json:"capacity_per_s"` // calls a second that the fleet can do when warm and well
	Broken             map[string]int        `json:"broken"`
	Classes            []PerClass            `json:"classes"`
	Tenants            []PerTenant           `json:"tenants"`
	Violations         []invariant.Violation `json:"violations,omitempty"`
	Series             Series                `json:"series"`
	Arrivals           int64                 `json:"arrivals"` // calls, with those of the warm-up
	Latency            []Quantile            `json:"latency"`  // of all calls that were served
	Faults             []faultinject.Fault   `json:"faults"`   // as they were played
	ServiceAfterEnd    float64               `json:"last_10s"` // worth in the last 10 s of arrivals
}

// Quantile is the time within which this share of calls was served.
type Quantile struct {
	Percent      float64 `json:"q"`
	Milliseconds float64 `json:"ms"`
}

// quantiles are those told of all calls, in percent.
var quantiles = []float64{50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.95, 99.99, 100}

// PerClass are the figures of one class of request.
type PerClass struct {
	Name        string           `json:"name"`
	ServedValue float64          `json:"worth"`
	Outcomes    map[string]int64 `json:"outcomes"`
	// Milliseconds from when the first try was due to the last byte of the answer, of calls that were served.
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// PerTenant are the figures of one tenant.
type PerTenant struct {
	Name        string  `json:"name"`
	ServedValue float64 `json:"worth"`  // of all that it asked for
	WithinQuota float64 `json:"within"` // of what was within its share
}

// Series are figures for each second, by the second in which a call was due.
type Series struct {
	Offered  []float64 `json:"asked"`  // worth
	Served   []float64 `json:"served"` // worth, in time
	Calls    []int64   `json:"calls"`
	Rejected []int64   `json:"refused"`
	Failed   []int64   `json:"failed"` // failed, timed out or left
	Late     []int64   `json:"late"`
}

type valueTotals struct{ offered, served float64 }

func (s valueTotals) fraction() float64 {
	if s.offered == 0 {
		return 1
	}
	return s.served / s.offered
}

// recorder gathers the figures of a run.
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
	offeredWork         float64 // work
	executedWork        float64
	usefulWork          float64
	duplicateExecutions int64
	executions          int64
	overloads           int64
	dials               int64
	healthChecks        int64
	datagrams           int64
	discoveryCalls      int64 // to discovery
}

func newRecorder(simulation *Simulation) *recorder {
	r := &recorder{simulation: simulation, classes: make([]valueTotals, len(simulation.classes)), tenants: make([]valueTotals, len(simulation.scenario.Tenants)),
		withinQuota: make([]valueTotals, len(simulation.scenario.Tenants)), outcomes: make([][outcomeCount]int64, len(simulation.classes)),
		latencySums: make([]float64, len(simulation.classes))}
	for range simulation.classes {
		r.latencies = append(r.latencies, hdrhistogram.New(1, 100*int64(eventqueue.Second), 3))
	}
	n := int(math.Ceil(simulation.scenario.Seconds))
	r.series = Series{make([]float64, n), make([]float64, n), make([]int64, n), make([]int64, n), make([]int64, n), make([]int64, n)}
	return r
}

func (r *recorder) callValue(c *call) float64 {
	x := r.simulation.scenario.Classes[c.Class].PriorityWeight
	if c.overQuota {
		x *= r.simulation.scenario.Goal.OverShare
	}
	return x
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

func (r *recorder) recordCallEnd(c *call, how int, now eventqueue.Time) {
	value, second := 0.0, int((c.dueAt-origin)/eventqueue.Second)
	switch how {
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
	r.outcomes[c.Class][how]++
	r.classes[c.Class].served += value
	r.tenants[c.Tenant].served += value
	if !c.overQuota {
		r.withinQuota[c.Tenant].served += value
	}
	if how <= outcomeLate {
		// Longer than the histogram's 100 s no deadline lets anything take but by configuration; it keeps its bound.
		_ = r.latencies[c.Class].RecordValue(min(max(now-c.dueAt, 1), 100*int64(eventqueue.Second)))
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

func (r *recorder) recordLostWork(a *attempt, attained float64) {
	if a.request.call.measured {
		r.executedWork += a.work - (a.completionService - attained)
	}
}

func (r *recorder) recordUsefulWork(a *attempt) {
	if a.request.call.measured && a.started {
		r.usefulWork += a.work
	}
}

func (r *recorder) result() *Result {
	simulation := r.simulation
	res := &Result{Scenario: simulation.scenario.Name, Seed: simulation.seed, Calls: r.callCount, Outcomes: map[string]int64{}, Series: r.series,
		SecondRuns: r.duplicateExecutions, Executions: r.executions, Overdriven: r.overloads, Dials: r.dials, Probes: r.healthChecks,
		Datagrams: r.datagrams, DiscoveryCalls: r.discoveryCalls, Events: simulation.events.Done(), Broken: map[string]int{},
		Violations: simulation.checker.Violations(), Capacity: simulation.capacity / simulation.meanWork * 1e6, WorstClass: 1, WorstTenant: 1}
	res.Arrivals, res.Faults = int64(simulation.clients.callCount), simulation.faults
	all, times := valueTotals{}, hdrhistogram.New(1, 100*int64(eventqueue.Second), 3)
	for i, c := range r.classes {
		all.offered, all.served = all.offered+c.offered, all.served+c.served
		p := PerClass{Name: simulation.scenario.Classes[i].Name, ServedValue: c.fraction(), Outcomes: map[string]int64{}}
		for how, n := range r.outcomes[i] {
			p.Outcomes[outcomeNames[how]] = n
			res.Outcomes[outcomeNames[how]] += n
		}
		if h := r.latencies[i]; h.TotalCount() > 0 {
			times.Merge(h)
			at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			p.P50, p.P90, p.P99, p.P999, p.Max = at(50), at(90), at(99), at(99.9), float64(h.Max())/1000
			p.Mean = r.latencySums[i] / float64(h.TotalCount())
		}
		res.Classes = append(res.Classes, p)
		if c.offered > 0 {
			res.WorstClass = min(res.WorstClass, c.fraction())
		}
	}
	for _, q := range quantiles {
		if times.TotalCount() > 0 {
			res.Latency = append(res.Latency, Quantile{q, float64(times.ValueAtQuantile(q)) / 1000})
		}
	}
	for i := range r.tenants {
		res.Tenants = append(res.Tenants, PerTenant{simulation.scenario.Tenants[i].Name, r.tenants[i].fraction(), r.withinQuota[i].fraction()})
		if r.withinQuota[i].offered > 0 {
			res.WorstTenant = min(res.WorstTenant, r.withinQuota[i].fraction())
		}
	}
	res.ServedValue = all.fraction()
	res.WorstWindow, res.ServiceAfterEnd = r.windowValues()
	if r.requestCount > 0 {
		res.AttemptsPerRequest = float64(r.attemptCount) / float64(r.requestCount)
		res.RequestsPerCall = float64(r.requestCount) / float64(r.callCount)
		res.CrossSite = float64(r.crossSiteAttempts) / float64(r.callCount)
		res.Waste = max(0, r.executedWork-r.usefulWork) / r.offeredWork
	}
	for _, n := range simulation.nodes {
		res.Decisions += n.decisions
	}
	g := simulation.scenario.Goal
	if sum := g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant; sum > 0 {
		res.Score = (g.Overall*res.ServedValue + g.WorstWindow*res.WorstWindow + g.WorstClass*res.WorstClass +
			g.WorstTenant*res.WorstTenant) / sum
	}
	for rule, n := range simulation.checker.Broken() {
		res.Broken[string(rule)] = n
		res.Score = 0
	}
	return res
}

// windowValues are the worst 10 s after the warm-up, and the last 10 s. A shorter run is one window.
func (r *recorder) windowValues() (worst, last float64) {
	from := int(math.Ceil(r.simulation.scenario.WarmUp))
	worst, last = 1, 1
	const length = 10
	for start := min(from, max(len(r.series.Offered)-length, 0)); start == from || start+length <= len(r.series.Offered); start++ {
		var totals valueTotals
		for second := start; second < min(start+length, len(r.series.Offered)); second++ {
			totals.offered, totals.served = totals.offered+r.series.Offered[second], totals.served+r.series.Served[second]
		}
		last = totals.fraction()
		worst = min(worst, last)
	}
	return worst, last
}
