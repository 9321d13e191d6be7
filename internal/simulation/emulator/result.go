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
	Q  float64 `json:"q"`
	Ms float64 `json:"ms"`
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

type sums struct{ asked, got float64 }

func (s sums) share() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.got / s.asked
}

// recorder gathers the figures of a run.
type recorder struct {
	w          *Simulation
	series     Series
	classes    []sums
	tenants    []sums
	within     []sums
	outcomes   [][outcomes]int64 // by class
	times      []*hdrhistogram.Histogram
	total      []float64 // ms, by class
	calls      int64
	tries      int64
	attempts   int64
	crossed    int64
	asks       float64 // work
	done       float64
	used       float64
	secondRuns int64
	executions int64
	overdriven int64
	dials      int64
	probes     int64
	datagrams  int64
	callsMade  int64 // to discovery
}

func newRecorder(w *Simulation) *recorder {
	r := &recorder{w: w, classes: make([]sums, len(w.classes)), tenants: make([]sums, len(w.sc.Tenants)),
		within: make([]sums, len(w.sc.Tenants)), outcomes: make([][outcomes]int64, len(w.classes)),
		total: make([]float64, len(w.classes))}
	for range w.classes {
		r.times = append(r.times, hdrhistogram.New(1, 100*int64(eventqueue.Second), 3))
	}
	n := int(math.Ceil(w.sc.Seconds))
	r.series = Series{make([]float64, n), make([]float64, n), make([]int64, n), make([]int64, n), make([]int64, n), make([]int64, n)}
	return r
}

func (r *recorder) worth(k *call) float64 {
	x := r.w.sc.Classes[k.Class].PriorityWeight
	if k.overOwn {
		x *= r.w.sc.Goal.OverShare
	}
	return x
}

func (r *recorder) asked(k *call) {
	x, sec := r.worth(k), int((k.due-origin)/eventqueue.Second)
	r.series.Offered[sec] += x
	r.series.Calls[sec]++
	if !k.counted {
		return
	}
	r.calls++
	r.asks += k.Work
	r.classes[k.Class].asked += x
	r.tenants[k.Tenant].asked += x
	if !k.overOwn {
		r.within[k.Tenant].asked += x
	}
}

func (r *recorder) ended(k *call, how int, now eventqueue.Time) {
	x, sec := 0.0, int((k.due-origin)/eventqueue.Second)
	switch how {
	case outcomeServed:
		x = r.worth(k)
	case outcomeLate:
		x = r.worth(k) * r.w.sc.Classes[k.Class].LateValue
		r.series.Late[sec]++
	case outcomeRefused:
		r.series.Rejected[sec]++
	default:
		r.series.Failed[sec]++
	}
	r.series.Served[sec] += x
	if !k.counted {
		return
	}
	r.tries += int64(k.tries)
	r.outcomes[k.Class][how]++
	r.classes[k.Class].got += x
	r.tenants[k.Tenant].got += x
	if !k.overOwn {
		r.within[k.Tenant].got += x
	}
	if how <= outcomeLate {
		// Longer than the histogram's 100 s no deadline lets anything take but by configuration; it keeps its bound.
		_ = r.times[k.Class].RecordValue(min(max(now-k.due, 1), 100*int64(eventqueue.Second)))
		r.total[k.Class] += float64(now-k.due) / 1000
	}
}

func (r *recorder) attempt(k *call, crossed bool) {
	if k.counted {
		r.attempts++
		if crossed {
			r.crossed++
		}
	}
}

func (r *recorder) work(a *attempt) {
	if a.req.call.counted {
		r.done += a.work
	}
}

func (r *recorder) lostWork(a *attempt, attained float64) {
	if a.req.call.counted {
		r.done += a.work - (a.due - attained)
	}
}

func (r *recorder) useful(a *attempt) {
	if a.req.call.counted && a.ran {
		r.used += a.work
	}
}

func (r *recorder) result() *Result {
	w := r.w
	res := &Result{Scenario: w.sc.Name, Seed: w.seed, Calls: r.calls, Outcomes: map[string]int64{}, Series: r.series,
		SecondRuns: r.secondRuns, Executions: r.executions, Overdriven: r.overdriven, Dials: r.dials, Probes: r.probes,
		Datagrams: r.datagrams, DiscoveryCalls: r.callsMade, Events: w.sim.Done(), Broken: map[string]int{},
		Violations: w.judge.Violations(), Capacity: w.capacity / w.meanWork * 1e6, WorstClass: 1, WorstTenant: 1}
	res.Arrivals, res.Faults = int64(w.crowd.calls), w.faults
	all, times := sums{}, hdrhistogram.New(1, 100*int64(eventqueue.Second), 3)
	for i, c := range r.classes {
		all.asked, all.got = all.asked+c.asked, all.got+c.got
		p := PerClass{Name: w.sc.Classes[i].Name, ServedValue: c.share(), Outcomes: map[string]int64{}}
		for how, n := range r.outcomes[i] {
			p.Outcomes[outcomeNames[how]] = n
			res.Outcomes[outcomeNames[how]] += n
		}
		if h := r.times[i]; h.TotalCount() > 0 {
			times.Merge(h)
			at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			p.P50, p.P90, p.P99, p.P999, p.Max = at(50), at(90), at(99), at(99.9), float64(h.Max())/1000
			p.Mean = r.total[i] / float64(h.TotalCount())
		}
		res.Classes = append(res.Classes, p)
		if c.asked > 0 {
			res.WorstClass = min(res.WorstClass, c.share())
		}
	}
	for _, q := range quantiles {
		if times.TotalCount() > 0 {
			res.Latency = append(res.Latency, Quantile{q, float64(times.ValueAtQuantile(q)) / 1000})
		}
	}
	for i := range r.tenants {
		res.Tenants = append(res.Tenants, PerTenant{w.sc.Tenants[i].Name, r.tenants[i].share(), r.within[i].share()})
		if r.within[i].asked > 0 {
			res.WorstTenant = min(res.WorstTenant, r.within[i].share())
		}
	}
	res.ServedValue = all.share()
	res.WorstWindow, res.ServiceAfterEnd = r.windows()
	if r.tries > 0 {
		res.AttemptsPerRequest = float64(r.attempts) / float64(r.tries)
		res.RequestsPerCall = float64(r.tries) / float64(r.calls)
		res.CrossSite = float64(r.crossed) / float64(r.calls)
		res.Waste = max(0, r.done-r.used) / r.asks
	}
	for _, n := range w.nodes {
		res.Decisions += n.decisions
	}
	g := w.sc.Goal
	if sum := g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant; sum > 0 {
		res.Score = (g.Overall*res.ServedValue + g.WorstWindow*res.WorstWindow + g.WorstClass*res.WorstClass +
			g.WorstTenant*res.WorstTenant) / sum
	}
	for rule, n := range w.judge.Broken() {
		res.Broken[string(rule)] = n
		res.Score = 0
	}
	return res
}

// windows are the worst 10 s after the warm-up, and the last 10 s. A shorter run is one window.
func (r *recorder) windows() (worst, last float64) {
	from := int(math.Ceil(r.w.sc.WarmUp))
	worst, last = 1, 1
	const length = 10
	for i := min(from, max(len(r.series.Offered)-length, 0)); i == from || i+length <= len(r.series.Offered); i++ {
		var s sums
		for j := i; j < min(i+length, len(r.series.Offered)); j++ {
			s.asked, s.got = s.asked+r.series.Offered[j], s.got+r.series.Served[j]
		}
		last = s.share()
		worst = min(worst, last)
	}
	return worst, last
}
