// Package workload holds how clients behave: when they call and for what, and when they try again. It does no I/O and
// reads no clock; the lab plays it in virtual time and the load generator on sockets, so both send the same calls.
package workload

import (
	"bufio"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strings"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Call is what a client wants: a first try, and the repeats that are folded into it.
type Call struct {
	Number uint64          // its number in the schedule, from 0
	At     eventqueue.Time // when it is due, µs since the start
	Class  int
	Tenant int
	Site   int
	Key    uint64  // what it is about; 0: nothing
	Work   float64 // µs on one core of speed 1
}

// What the short streams of a call are for.
const (
	drawWork  = 0
	drawRetry = 2
	drawHint  = 4
)

// Schedule is all calls of a run, in order. It is fixed by scenario, seed and capacity before the first is made and
// does not wait for answers; it holds no more of them than the next.
type Schedule struct {
	sc      *scenario.Scenario
	seed    uint64
	rand    eventqueue.Stream
	perUs   float64 // at level 1
	now     float64 // µs
	n       uint64
	surges  []faultinject.Fault
	classes []float64
	tenants []float64
	sites   []float64
	keys    []float64
	trace   *Trace
}

// NewSchedule returns the schedule of a scenario over a fleet that can do so many µs of work in each µs, with the
// surges among the faults, which have been settled.
func NewSchedule(sc *scenario.Scenario, seed uint64, capacity float64, list []faultinject.Fault) (*Schedule, error) {
	s := &Schedule{sc: sc, seed: seed, rand: eventqueue.NewStream(seed, "arrivals")}
	var classes, tenants, sites, keys []float64
	for _, k := range sc.Classes {
		classes = append(classes, k.Share)
	}
	for _, t := range sc.Tenants {
		tenants = append(tenants, t.Share*t.Usage)
	}
	for i := range sc.Fleet.Sites {
		tilt := 0.0
		if n := len(sc.Fleet.Sites); n > 1 {
			tilt = sc.Load.SiteSkew * (1 - 2*float64(i)/float64(n-1))
		}
		sites = append(sites, 1+tilt)
	}
	for i := range sc.Load.Keys {
		keys = append(keys, math.Pow(float64(i+1), -sc.Load.Zipf))
	}
	s.classes, s.tenants, s.sites, s.keys = cumulate(classes), cumulate(tenants), cumulate(sites), cumulate(keys)
	for _, f := range list {
		if f.Kind == faultinject.Surge {
			s.surges = append(s.surges, f)
		}
	}
	s.perUs = sc.Load.PerS / 1e6
	if sc.Load.PerS == 0 {
		s.perUs = sc.Load.Level * capacity / MeanWork(sc)
	}
	if sc.Load.Shape == "trace" {
		var err error
		if s.trace, err = OpenTrace(sc.Load.Trace, len(sc.Classes), len(sc.Tenants), len(sc.Fleet.Sites)); err != nil {
			return nil, fmt.Errorf("load.trace: %w", err)
		}
	}
	return s, nil
}

// roughHint is the standard deviation, as a lognormal's cv, of what a rough hint is to the work.
const roughHint = 0.6

// Hint is what a client guesses of a call's work, in µs; 0: nothing. Each try of a call has the same.
func Hint(sc *scenario.Scenario, seed uint64, c *Call) int64 {
	switch sc.Clients.Hints {
	case "exact":
		return int64(c.Work)
	case "rough":
		d := eventqueue.NewDraws(seed, c.Number, drawHint)
		return int64(c.Work * Lognormal(roughHint, d.Norm()))
	}
	return 0
}

// MeanWork is the work of a call in the mean, in µs.
func MeanWork(sc *scenario.Scenario) float64 {
	work, shares := 0.0, 0.0
	for _, c := range sc.Classes {
		work += c.Share * c.Work * 1000
		shares += c.Share
	}
	return work / shares
}

func cumulate(weights []float64) []float64 {
	sum, cum := 0.0, make([]float64, len(weights))
	for i, x := range weights {
		sum += x
		cum[i] = sum
	}
	for i := range cum {
		cum[i] /= sum
	}
	return cum
}

func pickOf(cum []float64, x float64) int { return min(sort.SearchFloat64s(cum, x), len(cum)-1) }

// level is the shape of the load at a moment, as a multiple, without faults.
func (s *Schedule) level(us float64) float64 {
	l, sec := &s.sc.Load, us/1e6
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*sec/l.Period)
	case "ramp":
		return 1 + (l.Peak-1)*sec/s.sc.Seconds
	case "steps":
		return 1 + (l.Peak-1)*math.Floor(sec/l.Period)/math.Max(math.Floor(s.sc.Seconds/l.Period)-1, 1)
	case "surge":
		if sec >= l.From && sec < l.Until {
			return l.Peak
		}
	}
	return 1
}

// factor is the same with surges taken in, and the tenants' parts of it.
func (s *Schedule) factor(us float64) (float64, []float64) {
	level, weights := s.level(us), []float64(nil)
	for _, f := range s.surges {
		if ms := int64(us / 1000); ms < f.Start || ms >= f.End() {
			continue
		}
		if weights == nil {
			weights = make([]float64, len(s.tenants))
			for i := range weights {
				if weights[i] = s.tenants[i]; i > 0 {
					weights[i] -= s.tenants[i-1]
				}
			}
		}
		for i := range weights {
			if f.Tenant == "" || f.Tenant == s.sc.Tenants[i].Name {
				weights[i] *= f.Size
			}
		}
	}
	if weights == nil {
		return level, s.tenants
	}
	sum := 0.0
	for _, x := range weights {
		sum += x
	}
	if sum == 0 {
		return 0, s.tenants
	}
	return level * sum, cumulate(weights)
}

// slice is the longest time for which the rate is taken to be constant, in µs.
const slice = 10_000

// Next returns the next call, or io.EOF after the last.
func (s *Schedule) Next() (Call, error) {
	if s.trace != nil {
		c, err := s.trace.Next()
		if err != nil {
			return Call{}, err
		}
		c.At = eventqueue.Time(float64(c.At) / s.sc.Load.Speed)
		if float64(c.At) >= s.sc.Seconds*1e6 {
			return Call{}, errors.Join(io.EOF, s.trace.Close())
		}
		c.Number = s.n
		s.n++
		c.Work = DrawWork(s.sc, s.seed, c.Number, c.Class)
		return c, nil
	}
	// As much expected arrivals as one call stands for must pass: 1 for even gaps, exponential for Poisson's.
	need := 1.0
	if s.sc.Load.Shape != "constant" {
		need = s.rand.ExpFloat64()
	}
	end := s.sc.Seconds * 1e6
	for {
		f, _ := s.factor(s.now)
		step := min(slice-math.Mod(s.now, slice), end-s.now)
		if rate := s.perUs * f; rate*step >= need {
			s.now += need / rate
			break
		} else {
			need -= rate * step
			s.now += step
		}
		if s.now >= end {
			return Call{}, io.EOF
		}
	}
	c := Call{Number: s.n, At: eventqueue.Time(s.now)}
	s.n++
	_, tenants := s.factor(s.now)
	c.Class = pickOf(s.classes, s.rand.Float64())
	c.Tenant = pickOf(tenants, s.rand.Float64())
	c.Site = pickOf(s.sites, s.rand.Float64())
	if s.sc.Load.Keys > 0 {
		c.Key = uint64(pickOf(s.keys, s.rand.Float64())) + 1
	}
	c.Work = DrawWork(s.sc, s.seed, c.Number, c.Class)
	return c, nil
}

// DrawWork is the work of call number n, in µs on one core of speed 1.
func DrawWork(sc *scenario.Scenario, seed, n uint64, class int) float64 {
	d, c := eventqueue.NewDraws(seed, n, drawWork), &sc.Classes[class]
	x := c.Work * 1000
	switch c.Dist {
	case "exp":
		x *= d.Exp()
	case "lognormal":
		x *= Lognormal(math.Sqrt(math.Log1p(c.CV*c.CV)), d.Norm())
	}
	return x
}

// Lognormal has mean 1, with this standard deviation of its logarithm, for a standard normal draw.
func Lognormal(sigma, norm float64) float64 { return math.Exp(sigma*norm - sigma*sigma/2) }

// Trace reads a recorded trace: text, gzipped or not, one call a line, "µs class tenant site key" with numbers from 0,
// in the order of time. Lines that begin with # are skipped.
type Trace struct {
	name  string
	file  *os.File
	in    *bufio.Scanner
	line  int
	last  eventqueue.Time
	sizes [3]int // of classes, tenants, sites
}

// OpenTrace opens a trace for a scenario with so many classes, tenants and sites.
func OpenTrace(name string, classes, tenants, sites int) (*Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	t := &Trace{name: name, file: f, sizes: [3]int{classes, tenants, sites}}
	var r io.Reader = bufio.NewReader(f)
	if strings.HasSuffix(name, ".gz") {
		if r, err = gzip.NewReader(r); err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", name, err), f.Close())
		}
	}
	t.in = bufio.NewScanner(r)
	return t, nil
}

// Close closes the file.
func (t *Trace) Close() error { return t.file.Close() }

// Next returns the next call, or io.EOF; any other error names file, line and field.
func (t *Trace) Next() (Call, error) {
	for t.in.Scan() {
		t.line++
		text := t.in.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		var c Call
		n, err := fmt.Sscan(text, &c.At, &c.Class, &c.Tenant, &c.Site, &c.Key)
		bad := func(field, format string, args ...any) error {
			return fmt.Errorf("%s:%d: %s: %s", t.name, t.line, field, fmt.Sprintf(format, args...))
		}
		if err != nil {
			return c, bad([]string{"µs", "class", "tenant", "site", "key"}[min(n, 4)], "%v", err)
		}
		if c.At < t.last {
			return c, bad("µs", "%d is before the line above or the start", c.At)
		}
		for i, v := range []int{c.Class, c.Tenant, c.Site} {
			if v < 0 || v >= t.sizes[i] {
				return c, bad([]string{"class", "tenant", "site"}[i], "there is no number %d among %d", v, t.sizes[i])
			}
		}
		t.last = c.At
		return c, nil
	}
	if err := t.in.Err(); err != nil {
		return Call{}, fmt.Errorf("%s: %w", t.name, err)
	}
	return Call{}, errors.Join(io.EOF, t.Close())
}
