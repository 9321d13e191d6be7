// Package failover plans which part of each zone's requests goes to which zone, for a whole fleet. It has no I/O: sums of what nodes
// tell and a clock go in, plans come out. docs/failover-design.md says why it is as it is.
package failover

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"tulipglade/internal/fencing"
)

// Zone is where requests enter, and where boxes are.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Topology is how zones lie to each other.
type Topology struct {
	Zones []Zone
	Cost  [][]float64 // from, to; in any one unit
}

// Check tells what is impossible about it.
func (t Topology) Check() error {
	if len(t.Cost) != len(t.Zones) {
		return fmt.Errorf("prices from %d zones, there are %d", len(t.Cost), len(t.Zones))
	}
	for i, row := range t.Cost {
		if len(row) != len(t.Zones) {
			return fmt.Errorf("zone %s: %d prices, there are %d zones", t.Zones[i].Name, len(row), len(t.Zones))
		}
		for j, p := range row {
			if !(p >= 0) || math.IsInf(p, 0) {
				return fmt.Errorf("from %s to %s: the price %g makes no sense", t.Zones[i].Name, t.Zones[j].Name, p)
			}
		}
	}
	return nil
}

// Grid is so many regions of so many zones each: one apart within, five between. The lab and tests stand on it.
func Grid(regions, zones int) Topology {
	var t Topology
	for r := range regions {
		for z := range zones {
			t.Zones = append(t.Zones, Zone{fmt.Sprint("r", r, "z", z), fmt.Sprint("r", r)})
		}
	}
	for i := range t.Zones {
		t.Cost = append(t.Cost, make([]float64, len(t.Zones)))
		for j := range t.Zones {
			switch {
			case i == j:
			case t.Zones[i].Region == t.Zones[j].Region:
				t.Cost[i][j] = 1
			default:
				t.Cost[i][j] = 5
			}
		}
	}
	return t
}

// Totals are what is known of the fleet at a time. Work is core-seconds per second.
type Totals struct {
	Capacity []float64   // by zone: what its boxes can do now, warm as they are
	Demand   [][]float64 // by zone where it enters and class
	Noise    float64     // by which share demand varies with nothing going on
}

// Rules are how careful a Planner is.
type Rules struct {
	Headroom      float64       // share of what a zone can do that nothing from elsewhere is planned into
	MaxGrowthRate float64       // share of what a zone can do by which what is planned for it may grow in a second
	NoiseBand     float64       // how many times the noise a row must be off before it is changed
	ValidFor      time.Duration // of a plan, without a newer one
	FadeOver      time.Duration // over which it then loses its say
}

// DefaultRules are the rules where nothing else is said. A tenth for what a zone does not know yet, and the noise of its load; a quarter a
// second, so that a zone that takes up half of another has 2 s to show that it can.
var DefaultRules = Rules{Headroom: 0.1, MaxGrowthRate: 0.25, NoiseBand: 2, ValidFor: 3 * time.Second, FadeOver: 10 * time.Second}

// Row is where requests of one class that enter at one zone go.
type Row struct {
	Shares []float64 `json:"shares"` // by zone; together 1
	Reason string    `json:"why"`
}

// Plan is for a whole fleet.
type Plan struct {
	Token    fencing.Token `json:"token"` // of the director's lease
	Revision uint64        `json:"revision"`
	Rows     [][]Row       `json:"rows"` // by zone where requests enter, and class
}

// PlanSize is how many bytes the JSON of a plan may have at most: numbers of 24 digits, and reasons of 200 bytes.
func PlanSize(zones, classes int) int { return 100 + zones*classes*(zones*25+230) }

// Newer tells whether p is to be taken in the place of another.
func (p *Plan) Newer(than *Plan) bool {
	return than == nil || cmp.Or(cmp.Compare(p.Token, than.Token), cmp.Compare(p.Revision, than.Revision)) > 0
}

// Check tells what is impossible about a plan, so that it is taken whole or not at all.
func (p *Plan) Check(zones, classes int) error {
	if len(p.Rows) != zones {
		return fmt.Errorf("plan %d/%d: %d zones, there are %d", p.Token, p.Revision, len(p.Rows), zones)
	}
	for z, rows := range p.Rows {
		if len(rows) != classes {
			return fmt.Errorf("plan %d/%d: zone %d: %d classes, there are %d", p.Token, p.Revision, z, len(rows), classes)
		}
		for c, r := range rows {
			sum := 0.0
			for _, x := range r.Shares {
				if !(x >= 0) {
					sum = math.NaN()
				}
				sum += x
			}
			if len(r.Shares) != zones || !(math.Abs(sum-1) < 1e-6) {
				return fmt.Errorf("plan %d/%d: zone %d, class %d: %v are no shares", p.Token, p.Revision, z, c, r.Shares)
			}
		}
	}
	return nil
}

// Planner makes plans, each from the one before.
type Planner struct {
	top   Topology
	worth []float64 // by class, of a core-second
	rules Rules
	order []int // of classes: the most worth first
	rings [][][2]int
	at    time.Duration
	last  *Plan
}

// tiny is work that is not worth sending anywhere; below it rounding would decide.
const tiny = 1e-9

var errSums = errors.New("sums that make no sense")

// ErrNoCapacity is that of sums in which nobody can do anything: whoever plans by them has heard of nobody, and what there is is better.
var ErrNoCapacity = errors.New("no zone is known to be able to do anything")

// NewPlanner returns one that has made no plan yet; worth is by class, for a core-second.
func NewPlanner(top Topology, worth []float64, rules Rules) (*Planner, error) {
	if err := top.Check(); err != nil {
		return nil, err
	}
	p := &Planner{top: top, worth: worth, rules: rules}
	for c := range worth {
		p.order = append(p.order, c)
	}
	slices.SortStableFunc(p.order, func(a, b int) int { return cmp.Compare(worth[b], worth[a]) })
	var pairs [][2]int
	for i := range top.Zones {
		for j := range top.Zones {
			if i != j {
				pairs = append(pairs, [2]int{i, j})
			}
		}
	}
	far := func(a, b [2]int) int {
		abroad := func(x [2]int) int {
			if top.Zones[x[0]].Region == top.Zones[x[1]].Region {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(abroad(a), abroad(b)), cmp.Compare(top.Cost[a[0]][a[1]], top.Cost[b[0]][b[1]]))
	}
	slices.SortStableFunc(pairs, far)
	for i, pair := range pairs {
		if i == 0 || far(pairs[i-1], pair) != 0 {
			p.rings = append(p.rings, nil)
		}
		p.rings[len(p.rings)-1] = append(p.rings[len(p.rings)-1], pair)
	}
	return p, nil
}

// Adopt has the planner go on from another director's plan: what was decided before it is not undone at once.
func (p *Planner) Adopt(plan *Plan, now time.Duration) { p.last, p.at = plan, now }

// flows are work by zone where it enters, class and zone where it goes.
type flows [][][]float64

func (p *Planner) flows() flows {
	f := make(flows, len(p.top.Zones))
	for z := range f {
		f[z] = make([][]float64, len(p.worth))
		for c := range f[z] {
			f[z][c] = make([]float64, len(p.top.Zones))
		}
	}
	return f
}

// room is what a zone can take in, less headroom.
func (p *Planner) room(s Totals, z int) float64 { return s.Capacity[z] * (1 - p.rules.Headroom) }

// target is where what fits would go, were there no plan yet, and what fits nowhere. What all zones together have room for goes to the classes of
// the most worth; of the first that does not fit whole, home keeps what it has room for.
func (p *Planner) target(s Totals) (f flows, stays [][]float64) {
	f, stays = p.flows(), make([][]float64, len(p.top.Zones))
	free, left := make([]float64, len(p.top.Zones)), 0.0
	for z := range free {
		free[z] = p.room(s, z)
		left += free[z]
		stays[z] = slices.Clone(s.Demand[z])
	}
	whole := 0
	for _, c := range p.order {
		for z := range free {
			left -= s.Demand[z][c]
		}
		if left < 0 {
			break
		}
		whole++
	}
	p.place(p.order[:whole], f, stays, free)
	p.place(p.order[whole:min(whole+1, len(p.order))], f, stays, free)
	return f, stays
}

// Target is where what fits would go, by zone where it enters, class and zone where it goes, had it all the time, and what fits nowhere.
func (p *Planner) Target(s Totals) (to [][][]float64, stays [][]float64) { return p.target(s) }

// place puts classes at home, the first of them first, and what is left of all of them over one ring of edges after the other.
func (p *Planner) place(classes []int, f flows, rest [][]float64, free []float64) {
	for z := range free {
		for _, c := range classes {
			x := min(rest[z][c], free[z])
			f[z][c][z] += x
			rest[z][c] -= x
			free[z] = max(free[z]-x, 0)
		}
	}
	for _, ring := range p.rings {
		for _, c := range classes {
			for p.share(ring, c, f, rest, free) > tiny { // what one receiver could not take goes to the others of the ring
			}
		}
	}
}

// share offers what is left of a class to the receivers of a ring, to each in proportion to its room, and returns how much they took.
func (p *Planner) share(ring [][2]int, c int, f flows, rest [][]float64, free []float64) (moved float64) {
	total, offers, offered := make([]float64, len(free)), make([]float64, len(ring)), make([]float64, len(free))
	for _, pair := range ring {
		total[pair[0]] += free[pair[1]]
	}
	for i, pair := range ring {
		if total[pair[0]] > tiny && rest[pair[0]][c] > tiny {
			offers[i] = rest[pair[0]][c] * free[pair[1]] / total[pair[0]]
			offered[pair[1]] += offers[i]
		}
	}
	room := slices.Clone(free)
	for i, pair := range ring {
		if offers[i] > 0 {
			x := offers[i] * min(1, room[pair[1]]/offered[pair[1]])
			f[pair[0]][c][pair[1]] += x
			rest[pair[0]][c] = max(rest[pair[0]][c]-x, 0)
			free[pair[1]] = max(free[pair[1]]-x, 0)
			moved += x
		}
	}
	return moved
}

// Step makes the next plan. The first is the target itself: there is nothing to go on from.
func (p *Planner) Step(now time.Duration, token fencing.Token, s Totals) (*Plan, error) {
	if err := p.check(s); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(s.Capacity, func(x float64) bool { return x > 0 }) {
		return nil, ErrNoCapacity
	}
	fits, stays := p.target(s)
	want := p.flows()
	for z := range want {
		for c := range want[z] {
			copy(want[z][c], fits[z][c])
			want[z][c][z] += stays[z][c]
		}
	}
	was := p.last
	got := want
	if was != nil {
		got = p.toward(s, fits, want, was, max(now-p.at, 0).Seconds())
	}
	next := &Plan{Token: token, Revision: 1, Rows: make([][]Row, len(p.top.Zones))}
	if was != nil {
		next.Revision = was.Revision + 1
	}
	for z := range next.Rows {
		next.Rows[z] = make([]Row, len(p.worth))
		for c := range next.Rows[z] {
			next.Rows[z][c] = p.row(z, s, got[z][c], want[z][c], stays[z][c])
		}
	}
	p.last, p.at = next, now
	return next, nil
}

func (p *Planner) check(s Totals) error {
	if len(s.Capacity) != len(p.top.Zones) || len(s.Demand) != len(p.top.Zones) || !(s.Noise >= 0) {
		return errSums
	}
	for z, x := range s.Capacity {
		if !(x >= 0) || math.IsInf(x, 0) || len(s.Demand[z]) != len(p.worth) {
			return errSums
		}
		for _, d := range s.Demand[z] {
			if !(d >= 0) || math.IsInf(d, 0) {
				return errSums
			}
		}
	}
	return nil
}

// toward goes from the plan before in the direction of the target, as far as the rules allow.
func (p *Planner) toward(s Totals, fits, want flows, was *Plan, seconds float64) flows {
	got := p.flows()
	for z := range got {
		for c, d := range s.Demand[z] {
			off := 0.0
			for to, share := range was.Rows[z][c].Shares {
				got[z][c][to] = share * d
				off = max(off, math.Abs(want[z][c][to]-share*d))
			}
			// Near enough stays; but what is to be all at home again goes there, so that a calm day ends with nothing over an edge.
			if off <= p.rules.NoiseBand*s.Noise*d && want[z][c][z] < d-tiny {
				want[z][c] = slices.Clone(got[z][c])
			}
		}
	}
	// What each zone's planned work may grow by, and would.
	grows, scale := make([]float64, len(got)), make([]float64, len(got))
	for z := range got {
		for c := range got[z] {
			for to := range got {
				grows[to] += max(want[z][c][to]-got[z][c][to], 0)
			}
		}
	}
	for to := range scale {
		scale[to] = 1
		if may := p.rules.MaxGrowthRate * seconds * s.Capacity[to]; grows[to] > may {
			scale[to] = may / grows[to]
		}
	}
	for z := range got {
		for c := range got[z] {
			gain, given := 0.0, 0.0
			for to := range got {
				if d := want[z][c][to] - got[z][c][to]; d > 0 {
					gain += d
					given += d * scale[to]
				}
			}
			for to := range got {
				switch d := want[z][c][to] - got[z][c][to]; {
				case d > 0:
					got[z][c][to] += d * scale[to]
				case gain > 0:
					got[z][c][to] = max(got[z][c][to]+d*given/gain, 0)
				}
			}
		}
	}
	p.conserve(s, fits, got)
	return got
}

// conserve takes back what a zone has no room for beside what it is to serve of its own; what comes back stays at home, and may leave
// less room there: so it goes round until nothing comes back. Work only goes home by it, so that it ends; a few rounds do.
func (p *Planner) conserve(s Totals, fits, f flows) {
	for p.takeBack(s, fits, f) {
	}
}

func (p *Planner) takeBack(s Totals, fits, f flows) (any bool) {
	for to := range f {
		own, come := 0.0, 0.0
		for z := range f {
			for c := range f[z] {
				if z == to {
					own += min(f[z][c][to], fits[z][c][to])
				} else {
					come += f[z][c][to]
				}
			}
		}
		if free := max(p.room(s, to)-own, 0); come > free+tiny {
			any = true
			for z := range f {
				for c := range f[z] {
					if z != to {
						back := f[z][c][to] * (1 - free/come)
						f[z][c][to] = max(f[z][c][to]-back, 0)
						f[z][c][z] += back
					}
				}
			}
		}
	}
	return any
}

// row words where one class of one zone goes.
func (p *Planner) row(z int, s Totals, got, want []float64, stays float64) Row {
	total := 0.0
	for _, x := range got {
		total += x
	}
	r := Row{Shares: make([]float64, len(got)), Reason: "at home: it fits"}
	if total <= 0 {
		r.Shares[z] = 1
		r.Reason = "at home: nothing comes"
		return r
	}
	away := 0.0
	for to, x := range got {
		r.Shares[to] = x / total
		if to != z {
			away += x
		}
	}
	late := 0.0
	for to := range got {
		late += math.Abs(want[to]-got[to]) / 2
	}
	switch {
	case s.Capacity[z] == 0:
		r.Reason = "elsewhere: nothing at home can serve"
	case away > 0:
		r.Reason = fmt.Sprintf("%.0f%% elsewhere: home can do %.3g of what enters", 100*away/total, s.Capacity[z])
	}
	if stays > 1e-9 {
		r.Reason += fmt.Sprintf("; %.0f%% fits nowhere and is refused at home", 100*stays/total)
	}
	if late > 1e-9*total {
		r.Reason += fmt.Sprintf("; %.0f%% still to move, as fast as receivers may grow", 100*late/total)
	}
	return r
}

// CurrentPlan is a plan as a node has it.
type CurrentPlan struct {
	rules          Rules
	zones, classes int
	plan           *Plan
	at             time.Duration
}

// NewCurrentPlan returns one without a plan.
func NewCurrentPlan(rules Rules, zones, classes int) *CurrentPlan {
	return &CurrentPlan{rules: rules, zones: zones, classes: classes}
}

// ErrStalePlan is a plan that is not newer than the one that is held.
var ErrStalePlan = errors.New("not newer than the plan that is held")

// Update takes a plan whole, or not at all.
func (h *CurrentPlan) Update(p *Plan, now time.Duration) error {
	if !p.Newer(h.plan) {
		return ErrStalePlan
	}
	if err := p.Check(h.zones, h.classes); err != nil {
		return err
	}
	h.plan, h.at = p, now
	return nil
}

// Shares are where requests of a class that enter at a zone should go, and how much that counts: 1 while the plan is valid, then less and
// less; 0 where there is none, and the node decides by itself.
func (h *CurrentPlan) Shares(now time.Duration, zone, class int) (shares []float64, counts float64) {
	if h.plan == nil {
		return nil, 0
	}
	old := now - h.at - h.rules.ValidFor
	counts = 1 - float64(max(old, 0))/float64(h.rules.FadeOver)
	if counts <= 0 {
		return nil, 0
	}
	return h.plan.Rows[zone][class].Shares, counts
}
