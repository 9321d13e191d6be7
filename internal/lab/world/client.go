package world

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"sort"

	"tulipglade"
	"tulipglade/internal/judge"
	"tulipglade/internal/lab/des"
)

// What the clients' events mean.
const (
	clientNext            = iota // the next call is due
	clientAnswer                 // P: the request; A: when to come back, µs. This and the next two are in judge's order
	clientRefused                //
	clientFailed                 //
	clientTimeout                // P: the request, whose try is given up
	clientRefusedByNobody        // P: the request: its node does not run, so it never ran
	clientBroken                 // P: the request: its node died with it
	clientAgain                  // P: the call, whose next try is due
	clientLeaves                 // P: the request, whose client does not wait to the end
)

// call is what a client wants: one first try and the repeats folded into it.
type call struct {
	n        uint64
	class    int
	tenant   int
	site     int
	key      uint64
	effect   tulipglade.Effect
	overOwn  bool // beyond its tenant's share
	counted  bool // after the warm-up
	ended    bool
	at       des.Time
	deadline des.Time
	work     float64 // µs on one core of speed 1
	tries    int
	runs     int
	current  *request
}

// crowd is all clients. Calls arrive by a schedule that does not wait for answers.
type crowd struct {
	w       *World
	src     des.Source
	rand    des.Stream
	calls   uint64
	ids     tulipglade.ReqID
	perUs   float64   // calls for each µs, at level 1
	siteCum []float64 // of calls, by site
	keyCum  []float64
	classes []float64
	tenants []float64
	surges  []surge
	trace   []traced
	only    map[int]bool
	second  int64     // in which quotaLeft holds
	left    []float64 // of each tenant's quota in that second
}

type surge struct {
	tenant int // -1: all
	size   float64
}

type traced struct {
	at     des.Time
	class  int
	tenant int
	site   int
	key    uint64
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

func (w *World) newCrowd() (*crowd, error) {
	s := w.sc
	c := &crowd{w: w, src: des.NewSource(sourceCrowd), rand: des.NewStream(w.seed, "clients"), second: -1}
	var classes, tenants, sites, keys []float64
	for _, k := range s.Classes {
		classes = append(classes, k.Share)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Share*t.Usage)
	}
	c.classes, c.tenants = cumulate(classes), cumulate(tenants)
	for i := range s.Fleet.Sites {
		tilt := 0.0
		if n := len(s.Fleet.Sites); n > 1 {
			tilt = s.Load.SiteSkew * (1 - 2*float64(i)/float64(n-1))
		}
		sites = append(sites, 1+tilt)
	}
	c.siteCum = cumulate(sites)
	for i := range s.Load.Keys {
		keys = append(keys, math.Pow(float64(i+1), -s.Load.Zipf))
	}
	c.keyCum = cumulate(keys)
	c.perUs = s.Load.PerS / 1e6
	if s.Load.PerS == 0 {
		c.perUs = s.Load.Level * w.capacity / w.meanWork
	}
	if len(s.OnlyCalls) > 0 {
		c.only = map[int]bool{}
		for _, n := range s.OnlyCalls {
			c.only[n] = true
		}
	}
	if s.Load.Shape == "trace" {
		var err error
		if c.trace, err = readTrace(s.Load.Trace, len(s.Classes), len(s.Tenants), len(s.Fleet.Sites)); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// readTrace reads a recorded trace: one call a line, "µs class tenant site key", in the order of time.
func readTrace(file string, classes, tenants, sites int) ([]traced, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("load.trace: %w", err)
	}
	defer f.Close()
	var all []traced
	in, line := bufio.NewScanner(f), 0
	for in.Scan() {
		line++
		if in.Text() == "" || in.Text()[0] == '#' {
			continue
		}
		var t traced
		n, err := fmt.Sscan(in.Text(), &t.at, &t.class, &t.tenant, &t.site, &t.key)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s:%d: field %d: %w", file, line, n+1, err)
		case t.at < 0 || len(all) > 0 && t.at < all[len(all)-1].at:
			return nil, fmt.Errorf("%s:%d: µs: %d is before the line above or the start", file, line, t.at)
		case t.class < 0 || t.class >= classes || t.tenant < 0 || t.tenant >= tenants || t.site < 0 || t.site >= sites:
			return nil, fmt.Errorf("%s:%d: class, tenant or site: there are %d, %d and %d of them", file, line, classes, tenants, sites)
		}
		all = append(all, t)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return all, nil
}

// level is the shape of the load at a moment since the start, as a multiple, without faults.
func (c *crowd) level(t des.Time) float64 {
	l, sec := &c.w.sc.Load, float64(t)/1e6
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*sec/l.Period)
	case "ramp":
		return 1 + (l.Peak-1)*sec/c.w.sc.Seconds
	case "surge":
		if sec >= l.From && sec < l.Till {
			return l.Peak
		}
	}
	return 1
}

// factor is the same with surges taken in, and each tenant's part of it.
func (c *crowd) factor(t des.Time) (float64, []float64) {
	level := c.level(t)
	if len(c.surges) == 0 {
		return level, c.tenants
	}
	weights := make([]float64, len(c.tenants))
	sum := 0.0
	for i := range weights {
		weights[i] = c.tenants[i]
		if i > 0 {
			weights[i] -= c.tenants[i-1]
		}
		for _, s := range c.surges {
			if s.tenant < 0 || s.tenant == i {
				weights[i] *= s.size
			}
		}
		sum += weights[i]
	}
	if sum == 0 {
		return 0, c.tenants
	}
	return level * sum, cumulate(weights)
}

func (c *crowd) schedule(now des.Time) {
	if c.trace != nil {
		if c.calls < uint64(len(c.trace)) {
			c.w.sim.At(&c.src, origin+c.trace[c.calls].at, des.Event{To: c, Kind: clientNext})
		}
		return
	}
	f, _ := c.factor(now - origin)
	gap := 1e18
	if f > 0 {
		gap = 1 / (c.perUs * f)
	}
	if c.w.sc.Load.Shape != "constant" {
		gap *= c.rand.ExpFloat64()
	}
	// While nothing comes, the rate is looked at again: a surge may end. What has no memory may be drawn anew.
	const look = 100 * des.Millisecond
	if gap > float64(look) {
		c.w.sim.After(&c.src, look, des.Event{To: c, Kind: clientNext, A: 1})
		return
	}
	c.w.sim.After(&c.src, des.Span(math.Round(gap)), des.Event{To: c, Kind: clientNext})
}

// Handle takes the clients' events.
func (c *crowd) Handle(now des.Time, e des.Event) {
	switch e.Kind {
	case clientNext:
		if now >= c.w.end {
			return
		}
		if e.A == 0 {
			c.arrive(now)
		}
		c.schedule(now)
	case clientAgain:
		c.send(now, e.P.(*call))
	case clientLeaves:
		if r := e.P.(*request); r.call.current == r && !r.call.ended {
			c.w.sim.After(&c.src, c.w.clientDelay(&c.rand, r.call.site, r.node.site), des.Event{To: r.node, Kind: nodeLeft, P: r})
			c.w.rec.left++
			c.finish(now, r.call, outcomeGone)
		}
	default:
		if r := e.P.(*request); r.call.current == r && !r.call.ended {
			c.answered(now, r, e.Kind, e.A)
		}
	}
}

func (c *crowd) arrive(now des.Time) {
	s := c.w.sc
	k := &call{n: c.calls, at: now}
	c.calls++
	if c.trace != nil {
		t := c.trace[k.n]
		k.class, k.tenant, k.site, k.key = t.class, t.tenant, t.site, t.key
	} else {
		_, tenants := c.factor(now - origin)
		k.class = pickOf(c.classes, c.rand.Float64())
		k.tenant = pickOf(tenants, c.rand.Float64())
		k.site = pickOf(c.siteCum, c.rand.Float64())
		if s.Load.Keys > 0 {
			k.key = uint64(pickOf(c.keyCum, c.rand.Float64())) + 1
		}
	}
	if c.only != nil && !c.only[int(k.n)] {
		return
	}
	class := &s.Classes[k.class]
	d := des.NewDraws(c.w.seed, k.n, drawCall)
	k.work = class.Work * 1000
	switch class.Dist {
	case "exp":
		k.work *= d.Exp()
	case "lognormal":
		k.work *= lognormal(math.Sqrt(math.Log1p(class.CV*class.CV)), d.Norm())
	}
	k.effect = c.w.classes[k.class].Effect
	k.deadline = now + us(class.Deadline)
	k.counted = now >= origin+des.Span(s.WarmUp*1e6)
	if sec := now / des.Second; sec != c.second {
		c.second = sec
		c.left = append(c.left[:0], c.w.quota...)
	}
	c.left[k.tenant]--
	k.overOwn = c.left[k.tenant] < 0
	c.w.rec.asked(k)
	c.send(now, k)
}

// lognormal has mean 1, with this standard deviation of its logarithm.
func lognormal(sigma, norm float64) float64 { return math.Exp(sigma*norm - sigma*sigma/2) }

// send makes the next try, through the front of the client's site.
func (c *crowd) send(now des.Time, k *call) {
	c.ids++
	r := &request{id: c.ids, call: k, try: k.tries}
	k.tries++
	k.current = r
	class := &c.w.sc.Classes[k.class]
	d := des.NewDraws(c.w.seed, k.n<<8|uint64(r.try), drawTry)
	r.deadline = min(now+des.Span(c.w.sc.Clients.TryShare*float64(us(class.Deadline))), k.deadline)
	r.node = c.w.front(k.site, d.Float64(), d.Float64())
	r.to = r.node
	c.w.sim.After(&c.src, c.w.clientDelay(&c.rand, k.site, r.node.site), des.Event{To: r.node, Kind: nodeRequest, P: r})
	c.w.sim.At(&c.src, r.deadline, des.Event{To: c, Kind: clientTimeout, P: r})
	if d.Float64() < c.w.sc.Clients.Impatient {
		leaves := now + des.Span(d.Float64()*float64(r.deadline-now))
		c.w.sim.At(&c.src, leaves, des.Event{To: c, Kind: clientLeaves, P: r})
	}
}

// How a call ended.
const (
	outcomeServed = iota
	outcomeLate   // served after the aim
	outcomeRefused
	outcomeFailed
	outcomeTimedOut
	outcomeGone
	outcomes
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "timed-out", "left"}

func (c *crowd) answered(now des.Time, r *request, kind uint8, retryIn des.Span) {
	k, s := r.call, c.w.sc
	class := &s.Classes[k.class]
	harmless, end := false, outcomeFailed
	switch kind {
	case clientAnswer + uint8(judge.Served):
		end = outcomeLate
		if now-k.at <= us(class.Aim) {
			end = outcomeServed
		}
		c.finish(now, k, end)
		return
	case clientRefused, clientRefusedByNobody:
		harmless, end = true, outcomeRefused
	case clientTimeout:
		end = outcomeTimedOut
	}
	if s.Clients.RetryFailed || k.effect == tulipglade.Repeatable {
		harmless = true
	} else if k.effect == tulipglade.ByKey && c.w.classes[k.class].Scope == tulipglade.ScopeAll {
		harmless = harmless || now-k.at < c.w.classes[k.class].Window
	}
	d := des.NewDraws(c.w.seed, k.n<<8|uint64(r.try), drawRetry)
	wait := us(s.Clients.Backoff * math.Pow(s.Clients.Growth, float64(r.try)))
	wait = des.Span(float64(wait) * (1 - s.Clients.Jitter + s.Clients.Jitter*d.Exp()))
	if d.Float64() < s.Clients.Heed {
		wait = max(wait, min(retryIn, us(s.Clients.MaxRetryAfter)))
	}
	if !harmless || k.tries > s.Clients.Retries || now+wait >= k.deadline {
		c.finish(now, k, end)
		return
	}
	c.w.rec.repeats++
	k.current = nil
	c.w.sim.After(&c.src, wait, des.Event{To: c, Kind: clientAgain, P: k})
}

func (c *crowd) finish(now des.Time, k *call, how int) {
	k.ended, k.current = true, nil
	c.w.rec.ended(k, how, now)
}
