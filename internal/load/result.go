package load

import (
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the figures of a run. Times are in ms. Latencies are measured from the time at which a call was due to
// the end of its last attempt.
type Result struct {
	Valid    bool     `json:"valid"`
	Invalid  []string `json:"invalid,omitempty"` // reasons why the figures are invalid
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Targets  []string `json:"targets"`

	Seconds       float64            `json:"seconds"`
	Calls         int64              `json:"calls"` // number of calls that were due after the warm-up
	PerS          float64            `json:"calls_per_s"`
	Sent          int64              `json:"sent"`    // attempts sent, those of the warm-up included
	Retries       int64              `json:"repeats"` // attempts among them that are retries of the clients
	Outcomes      map[string]int64   `json:"outcomes"`
	ServedValue   float64            `json:"worth"`      // value of the served calls as a share of the possible value
	Latency       Latency            `json:"latency_ms"` // of served and late calls
	Until         map[string]Latency `json:"until_ms"`   // time from when calls were due until they ended, by outcome
	Classes       []GroupResult      `json:"classes"`
	Tenants       []GroupResult      `json:"tenants"`
	Lag           LagReport          `json:"lag"`
	PeakConns     int                `json:"peak_connections"`
	CPUPerAttempt float64            `json:"cpu_us_per_try"` // processor time of the generator, µs per attempt
	Series        []Second           `json:"series"`

	latency *hdrhistogram.Histogram // of served and late calls
}

// Latency summarizes a distribution, in ms.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// GroupResult holds the figures of one class or tenant.
type GroupResult struct {
	Name     string           `json:"name"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Latency          `json:"latency_ms"`
}

// LagReport summarizes the lag: how long after they were due the generator sent its attempts.
type LagReport struct {
	BoundMs      float64 `json:"bound_ms"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"max_ms"`
	SecondsShort int     `json:"seconds_short"` // number of seconds in which over 0.1% of the schedule was sent late
}

// Second holds the figures of the calls that were due in one second.
type Second struct {
	Start    int64            `json:"s"`
	Due      int64            `json:"due"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50      float64          `json:"p50_ms"`
	P99      float64          `json:"p99_ms"`
	Max      float64          `json:"max_ms"`
}

func millis(micros int64) float64 { return float64(micros) / microsPerMilli }

func newLatency(histogram *hdrhistogram.Histogram) Latency {
	if histogram.TotalCount() == 0 {
		return Latency{}
	}
	quantile := func(q float64) float64 { return millis(histogram.ValueAtQuantile(q)) }
	return Latency{
		Mean: histogram.Mean() / microsPerMilli,
		P50:  quantile(50),
		P90:  quantile(90),
		P99:  quantile(99),
		P999: quantile(99.9),
		Max:  millis(histogram.Max()),
	}
}

// byName returns the counts by the names of the outcomes.
func (c outcomeCounts) byName() map[string]int64 {
	named := map[string]int64{}
	for outcome, count := range c {
		named[OutcomeNames[outcome]] = count
	}
	return named
}

func newResult(p *Plan) *Result {
	return &Result{
		Scenario: p.Scenario.Name,
		Seed:     p.Seed,
		Targets:  p.Targets,
		Lag:      LagReport{BoundMs: millis(p.MaxLag.Microseconds())},
	}
}

// addInterval adds one second of the run to the series, and passes it to OnSecond and Intervals of the plan.
func (res *Result) addInterval(i *interval, p *Plan) error {
	latency := newLatency(i.latency)
	second := Second{
		Start:    i.start,
		Due:      i.due,
		Outcomes: i.outcomes.byName(),
		P50:      latency.P50,
		P99:      latency.P99,
		Max:      latency.Max,
	}
	res.Series = append(res.Series, second)
	if p.OnSecond != nil {
		p.OnSecond(second)
	}
	if p.Intervals != nil {
		return p.Intervals.write(i)
	}
	return nil
}

// computeFigures computes the figures from the recorder's counts, and determines whether they are valid.
func (res *Result) computeFigures(r *runner, cpu, elapsed time.Duration) {
	rec, sc := r.recorder, r.plan.Scenario
	res.Calls = rec.counted
	res.Sent = rec.sent
	res.Retries = rec.retries
	res.Outcomes = rec.outcomes.byName()
	res.Seconds = sc.Seconds - sc.WarmUp
	if res.Seconds > 0 {
		res.PerS = float64(res.Calls) / res.Seconds
	}
	if rec.possibleValue > 0 {
		res.ServedValue = rec.servedValue / rec.possibleValue
	}
	res.latency = rec.latency
	res.Latency = newLatency(rec.latency)
	res.Until = map[string]Latency{}
	for outcome, histogram := range rec.byOutcome {
		res.Until[OutcomeNames[outcome]] = newLatency(histogram)
	}
	for i := range rec.classes {
		res.Classes = append(res.Classes, rec.classes[i].result(sc.Classes[i].Name))
	}
	for i := range rec.tenants {
		res.Tenants = append(res.Tenants, rec.tenants[i].result(sc.Tenants[i].Name))
	}
	lag := newLatency(rec.lag)
	res.Lag.P50 = lag.P50
	res.Lag.P99 = lag.P99
	res.Lag.Max = lag.Max
	res.Lag.SecondsShort = rec.lateIntervals
	res.PeakConns = r.peakConns
	if rec.sent > 0 {
		res.CPUPerAttempt = float64(cpu.Microseconds()) / float64(rec.sent)
	}
	res.Invalid = invalidReasons(res.Lag, r, cpu, elapsed)
	res.Valid = len(res.Invalid) == 0
}

func (g *group) result(name string) GroupResult {
	return GroupResult{Name: name, Outcomes: g.outcomes.byName(), Latency: newLatency(g.latency)}
}

// notServed returns the share of calls that were neither served nor late. There must be at least one call.
func (res *Result) notServed() float64 {
	served := res.Outcomes[OutcomeNames[Served]] + res.Outcomes[OutcomeNames[Late]]
	return 1 - float64(served)/float64(res.Calls)
}

// hgrmTicks is the number of percentiles that an .hgrm file lists for each halving of the distance to 100%.
const hgrmTicks = 5

// WriteHgrm writes the latency percentiles of all served calls, late ones included, in ms and in the .hgrm format that
// HdrHistogram's plotters read.
func (res *Result) WriteHgrm(w io.Writer) error {
	_, err := res.latency.PercentilesPrint(w, hgrmTicks, microsPerMilli)
	return err
}
