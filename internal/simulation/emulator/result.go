package emulator

import (
	"math"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/scenario"
)

// Result holds the figures of a run. Fractions are of 1; value is the sum of calls' priority weights.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Score       float64 `json:"score"`        // weighted mean of the parts below by the scenario's goal; 0 if an invariant was violated
	ServedValue float64 `json:"worth"`        // value of calls served in time, of all value offered
	WorstWindow float64 `json:"worst_window"` // the same of the worst 10 s
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"` // of calls within its quota

	Calls              int64                 `json:"calls"`
	Outcomes           map[string]int64      `json:"outcomes"`
	AttemptsPerRequest float64               `json:"attempts_per_try"`
	RequestsPerCall    float64               `json:"tries_per_call"`
	CrossSite          float64               `json:"cross_site"` // attempts to another site, per call
	Waste              float64               `json:"waste"`      // backends' work that no answer used, of the work of all calls
	SecondRuns         int64                 `json:"second_runs"`
	Executions         int64                 `json:"executions"`
	Overdriven         int64                 `json:"overdriven"` // times that a backend became overloaded
	Dials              int64                 `json:"dials"`
	Probes             int64                 `json:"probes,omitempty"`
	Datagrams          int64                 `json:"datagrams,omitempty"`
	DiscoveryCalls     int64                 `json:"discovery_calls"`
	Events             uint64                `json:"events"`
	Decisions          uint64                `json:"decisions"`
	Capacity           float64               `json:"capacity_per_s"` // calls per second of the whole fleet after slow start and without faults
	Broken             map[string]int        `json:"broken"`
	Classes            []PerClass            `json:"classes"`
	Tenants            []PerTenant           `json:"tenants"`
	Violations         []invariant.Violation `json:"violations,omitempty"`
	Series             Series                `json:"series"`
	Arrivals           int64                 `json:"arrivals"` // calls, including the warm-up
	Latency            []Quantile            `json:"latency"`  // of all served calls
	Faults             []faultinject.Fault   `json:"faults"`   // as played, with all defaults applied
	ServiceAfterEnd    float64               `json:"last_10s"` // served value in the last 10 s of arrivals
}

// Quantile is the latency within which that percentage of calls was served.
type Quantile struct {
	Percent      float64 `json:"q"`
	Milliseconds float64 `json:"ms"`
}

// quantiles are the percentages reported of all calls.
var quantiles = []float64{50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.95, 99.99, 100}

// PerClass are the figures of one class of request.
type PerClass struct {
	Name        string           `json:"name"`
	ServedValue float64          `json:"worth"`
	Outcomes    map[string]int64 `json:"outcomes"`
	// Milliseconds of served calls, from when the call was due to the last byte of its answer.
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
	ServedValue float64 `json:"worth"`  // of all its calls
	WithinQuota float64 `json:"within"` // of its calls within quota
}

// Series are figures for each second, by the second in which a call was due.
type Series struct {
	Offered  []float64 `json:"asked"`  // value
	Served   []float64 `json:"served"` // value of calls served in time
	Calls    []int64   `json:"calls"`
	Rejected []int64   `json:"refused"`
	Failed   []int64   `json:"failed"` // failed, timed out or canceled
	Late     []int64   `json:"late"`
}

// result computes the figures of the run so far.
func (r *recorder) result() *Result {
	simulation := r.simulation
	result := &Result{
		Scenario:       simulation.scenario.Name,
		Seed:           simulation.seed,
		Calls:          r.callCount,
		Outcomes:       map[string]int64{},
		Series:         r.series,
		SecondRuns:     r.duplicateExecutions,
		Executions:     r.executions,
		Overdriven:     r.overloads,
		Dials:          r.dials,
		Probes:         r.healthChecks,
		Datagrams:      r.datagrams,
		DiscoveryCalls: r.discoveryCalls,
		Events:         simulation.events.HandledEvents(),
		Broken:         map[string]int{},
		Violations:     simulation.checker.Violations(),
		Capacity:       simulation.capacity / simulation.meanWork * 1e6,
		Arrivals:       int64(simulation.clients.callCount),
		Faults:         simulation.faults,
	}
	r.addClasses(result)
	r.addTenants(result)
	result.WorstWindow, result.ServiceAfterEnd = r.windowValues()
	if r.requestCount > 0 {
		result.AttemptsPerRequest = float64(r.attemptCount) / float64(r.requestCount)
		result.RequestsPerCall = float64(r.requestCount) / float64(r.callCount)
		result.CrossSite = float64(r.crossSiteAttempts) / float64(r.callCount)
		result.Waste = max(0, r.executedWork-r.usefulWork) / r.offeredWork
	}
	for _, n := range simulation.nodes {
		result.Decisions += n.decisions
	}
	result.Score = score(result, &simulation.scenario.Goal)
	for rule, count := range simulation.checker.ViolationCounts() {
		result.Broken[string(rule)] = count
		result.Score = 0
	}
	return result
}

// addClasses adds the figures of each class, and of all classes together.
func (r *recorder) addClasses(result *Result) {
	result.WorstClass = 1
	totals, latencies := valueTotals{}, newLatencyHistogram()
	for i, class := range r.classes {
		totals.offered += class.offered
		totals.served += class.served
		result.Classes = append(result.Classes, r.classFigures(i))
		for outcome, count := range r.outcomes[i] {
			result.Outcomes[outcomeNames[outcome]] += count
		}
		latencies.Merge(r.latencies[i])
		if class.offered > 0 {
			result.WorstClass = min(result.WorstClass, class.fraction())
		}
	}
	result.ServedValue = totals.fraction()
	if latencies.TotalCount() == 0 {
		return
	}
	for _, percent := range quantiles {
		result.Latency = append(result.Latency, Quantile{percent, milliseconds(latencies.ValueAtQuantile(percent))})
	}
}

// classFigures returns the figures of one class.
func (r *recorder) classFigures(class int) PerClass {
	figures := PerClass{
		Name:        r.simulation.scenario.Classes[class].Name,
		ServedValue: r.classes[class].fraction(),
		Outcomes:    map[string]int64{},
	}
	for outcome, count := range r.outcomes[class] {
		figures.Outcomes[outcomeNames[outcome]] = count
	}
	latencies := r.latencies[class]
	if latencies.TotalCount() == 0 {
		return figures
	}
	figures.Mean = r.latencySums[class] / float64(latencies.TotalCount())
	figures.P50 = milliseconds(latencies.ValueAtQuantile(50))
	figures.P90 = milliseconds(latencies.ValueAtQuantile(90))
	figures.P99 = milliseconds(latencies.ValueAtQuantile(99))
	figures.P999 = milliseconds(latencies.ValueAtQuantile(99.9))
	figures.Max = milliseconds(latencies.Max())
	return figures
}

// addTenants adds the figures of each tenant.
func (r *recorder) addTenants(result *Result) {
	result.WorstTenant = 1
	for i := range r.tenants {
		result.Tenants = append(result.Tenants, PerTenant{
			Name:        r.simulation.scenario.Tenants[i].Name,
			ServedValue: r.tenants[i].fraction(),
			WithinQuota: r.withinQuota[i].fraction(),
		})
		if r.withinQuota[i].offered > 0 {
			result.WorstTenant = min(result.WorstTenant, r.withinQuota[i].fraction())
		}
	}
}

// score is the mean of the goal's figures by its weights; 0 if it has none.
func score(result *Result, goal *scenario.Goal) float64 {
	weights := goal.Overall + goal.WorstWindow + goal.WorstClass + goal.WorstTenant
	if weights <= 0 {
		return 0
	}
	return (goal.Overall*result.ServedValue + goal.WorstWindow*result.WorstWindow + goal.WorstClass*result.WorstClass +
		goal.WorstTenant*result.WorstTenant) / weights
}

// milliseconds converts recorded µs.
func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// windowValues returns the served fraction of the worst 10 s after the warm-up, and of the last 10 s. A shorter run is one
// window.
func (r *recorder) windowValues() (worst, last float64) {
	const length = 10
	series := r.series
	seconds := len(series.Offered)
	warmUp := int(math.Ceil(r.simulation.scenario.WarmUp))
	worst, last = 1, 1
	for start := min(warmUp, max(seconds-length, 0)); start == warmUp || start+length <= seconds; start++ {
		var totals valueTotals
		for second := start; second < min(start+length, seconds); second++ {
			totals.offered += series.Offered[second]
			totals.served += series.Served[second]
		}
		last = totals.fraction()
		worst = min(worst, last)
	}
	return worst, last
}
