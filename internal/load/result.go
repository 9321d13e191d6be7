package load

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run has shown. Times are ms, and latencies count from the moment at which a call was due, its
// repeats included.
type Result struct {
	Valid    bool     `json:"valid"`
	Invalid  []string `json:"invalid,omitempty"` // why the figures do not count
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Targets  []string `json:"targets"`

	Seconds     float64            `json:"seconds"`
	Calls       int64              `json:"calls"` // due after the warm-up
	PerS        float64            `json:"calls_per_s"`
	Sent        int64              `json:"sent"`    // tries, the warm-up's included
	Repeats     int64              `json:"repeats"` // of them, by the client
	Outcomes    map[string]int64   `json:"outcomes"`
	ServedValue float64            `json:"worth"`      // served in time, of that asked for
	Latency     Latency            `json:"latency_ms"` // of served and late calls
	Until       map[string]Latency `json:"until_ms"`   // from when calls were due to their end, by outcome
	Classes     []Part             `json:"classes"`
	Tenants     []Part             `json:"tenants"`
	Lag         LagReport          `json:"lag"`
	Conns       int                `json:"peak_connections"`
	CPU         float64            `json:"cpu_us_per_try"` // of the generator
	Series      []Second           `json:"series"`

	all *hdrhistogram.Histogram
}

// Latency is a distribution.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Part is one class or tenant.
type Part struct {
	Name     string           `json:"name"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Latency          `json:"latency_ms"`
}

// LagReport is how late the generator itself was.
type LagReport struct {
	BoundMs      float64 `json:"bound_ms"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"max_ms"`
	SecondsShort int     `json:"seconds_short"` // in which over 0.1% of the schedule was sent far too late
}

// Second is what was due in one second.
type Second struct {
	At       int64            `json:"s"`
	Due      int64            `json:"due"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50      float64          `json:"p50_ms"`
	P99      float64          `json:"p99_ms"`
	Max      float64          `json:"max_ms"`
}

func ms(us int64) float64 { return float64(us) / 1000 }

func latencyOf(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	at := func(q float64) float64 { return ms(h.ValueAtQuantile(q)) }
	return Latency{Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: ms(h.Max())}
}

func namesOf(by [outcomes]int64) map[string]int64 {
	m := map[string]int64{}
	for i, n := range by {
		m[OutcomeNames[i]] = n
	}
	return m
}

// second takes the account of one second.
func (res *Result) second(s *second, p *Plan) error {
	l := latencyOf(s.latency)
	out := Second{At: s.start, Due: s.due, Outcomes: namesOf(s.by), P50: l.P50, P99: l.P99, Max: l.Max}
	res.Series = append(res.Series, out)
	if p.Each != nil {
		p.Each(out)
	}
	if p.Intervals != nil {
		return p.Intervals.interval(s)
	}
	return nil
}

// fill works out the figures, and whether they count.
func (res *Result) fill(r *runner, cpu, took time.Duration) {
	b := r.book
	res.Calls, res.Sent, res.Repeats, res.Outcomes = b.counted, b.sent, b.repeats, namesOf(b.by)
	res.Seconds = r.plan.Scenario.Seconds - r.plan.Scenario.WarmUp
	if res.Seconds > 0 {
		res.PerS = float64(res.Calls) / res.Seconds
	}
	if b.asked > 0 {
		res.ServedValue = b.worth / b.asked
	}
	res.all, res.Until = b.all, map[string]Latency{}
	for i, h := range b.byOutcome {
		res.Until[OutcomeNames[i]] = latencyOf(h)
	}
	res.Latency = latencyOf(b.all)
	for i := range b.classes {
		res.Classes = append(res.Classes, Part{r.plan.Scenario.Classes[i].Name, namesOf(b.classes[i].by), latencyOf(b.classes[i].latency)})
	}
	for i := range b.tenants {
		res.Tenants = append(res.Tenants, Part{r.plan.Scenario.Tenants[i].Name, namesOf(b.tenants[i].by), latencyOf(b.tenants[i].latency)})
	}
	lag := latencyOf(b.lag)
	res.Lag.P50, res.Lag.P99, res.Lag.Max, res.Lag.SecondsShort = lag.P50, lag.P99, lag.Max, b.shortest
	res.Conns = r.peak
	if b.sent > 0 {
		res.CPU = float64(cpu.Microseconds()) / float64(b.sent)
	}
	res.judge(b, r, cpu, took)
}

// judge decides whether the generator kept its schedule, and if not, what it lacked.
func (res *Result) judge(b *book, r *runner, cpu, took time.Duration) {
	var why []string
	if res.Lag.P99 > res.Lag.BoundMs {
		why = append(why, fmt.Sprintf("tries went out %.3f ms late at p99, over the bound of %.3f ms", res.Lag.P99, res.Lag.BoundMs))
	}
	if b.shortest > 0 {
		why = append(why, fmt.Sprintf("in %d seconds, the first at %d s, over 0.1%% of the schedule went out more than %.0f ms late",
			b.shortest, b.firstShort, ms(b.late)))
	}
	if len(why) > 0 {
		cause := false
		if busy := float64(cpu) / float64(took) / float64(runtime.NumCPU()); busy > 0.7 {
			why, cause = append(why, fmt.Sprintf("CPU: the generator used %.0f%% of its %d cores", 100*busy, runtime.NumCPU())), true
		}
		if r.atBound > 0 {
			why, cause = append(why, fmt.Sprintf("connections: %d tries waited at the bound of %d", r.atBound, r.plan.Conns)), true
		}
		if r.noFiles > 0 {
			why, cause = append(why, fmt.Sprintf("descriptors: %d connections could not be opened", r.noFiles)), true
		}
		if !cause {
			why = append(why, "cause not seen from here: other processes may have had the cores")
		}
	} else if r.noFiles > 0 {
		why = append(why, fmt.Sprintf("descriptors: %d connections could not be opened", r.noFiles))
	}
	res.Invalid, res.Valid = why, len(why) == 0
}

// WriteHgrm writes the percentiles of all served calls in the .hgrm form that HdrHistogram's plotters read, in ms.
func (res *Result) WriteHgrm(w io.Writer) error {
	_, err := res.all.PercentilesPrint(w, 5, 1000)
	return err
}

// IntervalLog writes one histogram a second in HdrHistogram's log form (version 1.3), by the second in which calls were
// due, of calls that were served.
type IntervalLog struct {
	w     *hdrhistogram.HistogramLogWriter
	start time.Time
}

// NewIntervalLog returns a log that writes to w.
func NewIntervalLog(w io.Writer) *IntervalLog {
	return &IntervalLog{w: hdrhistogram.NewHistogramLogWriter(w)}
}

func (l *IntervalLog) begin(start time.Time) error {
	l.start = start
	if err := l.w.OutputLogFormatVersion(); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	if err := l.w.OutputStartTime(start.UnixMilli()); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	return l.w.OutputLegend()
}

func (l *IntervalLog) interval(s *second) error {
	from := l.start.UnixMilli() + s.start*1000
	s.latency.SetStartTimeMs(from)
	s.latency.SetEndTimeMs(from + 1000)
	if err := l.w.OutputIntervalHistogram(s.latency); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	return nil
}
