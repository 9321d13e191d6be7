// Package failoversim plays internal/failover in virtual time: zones that are lost, weak and come back, nodes that tell what they see and
// take plans, directors that are stopped, cut off and replaced, and a network that loses, delays and repeats. Work is a fluid: what a
// zone is sent beyond what it can do is lost. All is drawn from a seed.
package failoversim

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tulipglade/internal/failover"
	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/stats"
)

// Without is a part that is left out, to show that the checks find it.
type Without struct {
	Token bool // nodes take whatever plan comes
	Rate  bool // plans go to their target at once
	Fade  bool // a plan that is too old counts for nothing at once
	Plans bool // nobody makes plans: nodes choose by themselves
}

// Outcome is what one schedule, or many together, have shown.
type Outcome struct {
	Schedules   int     `json:"schedules"`
	Events      int     `json:"events"` // zones that were lost, weak or came back
	Plans       int     `json:"plans"`  // that directors made
	Directors   int     `json:"directors"`
	Rejected    int     `json:"refused"`   // plans that nodes did not take, as they had newer ones
	Backwards   int     `json:"backwards"` // plans taken after newer ones
	Jumps       int     `json:"jumps"`     // plans by which a zone's work was to grow by more than the rate
	Cliffs      int     `json:"cliffs"`    // a node's choice that changed by a tenth within a step without a new plan
	ServedValue float64 `json:"worth"`     // served, of the optimum's, from 10 s after an event to the next
	Whole       float64 `json:"whole"`     // the same over all the time
	Alone       float64 `json:"alone"`     // the same from when all directors have died and their last plan has no say
	Died        int     `json:"died"`      // schedules in which they do
	Crossing    float64 `json:"crossing"`  // of all work, sent over an edge, in those times
	Needed      float64 `json:"needed"`    // what the optimum sends over an edge then
	Turns       int     `json:"turns"`     // changes of direction of what crosses, by a twentieth of all work or more
	First       int64   `json:"first,omitempty"`
}

// Broken is how often something that must hold did not.
func (o Outcome) Broken() int { return o.Backwards + o.Jumps + o.Cliffs }

// Of every schedule.
const (
	step    = 100 * time.Millisecond
	whole   = 60 * time.Second
	tells   = 500 * time.Millisecond // of nodes, and of directors
	regions = 3
	zones   = 3 // of a region
	nodes   = 3 // of a zone
	full    = 100.0
	settled = 10 * time.Second
)

var worth = []float64{3, 1}

type play struct {
	out     Outcome
	r       *rand.Rand
	events  *rand.Rand // what happens to zones and directors is the same whoever plans
	without Without
	sim     eventqueue.Sim
	src     eventqueue.Source
	now     time.Duration
	top     failover.Topology
	rules   failover.Rules
	cap     []float64       // of zones, now
	from    []time.Duration // a zone that came back warms up from then
	level   float64
	nodes   []*node
	best    *failover.Planner // knows all, and keeps no headroom
	seat    *lease.State
	last    *failover.Plan // that was published last, under the newest token
	event   time.Duration
	served  [2]float64 // worth: ours, the optimum's, while settled
	always  [2]float64
	crossed [3]float64    // ours, the optimum's, all
	died    time.Duration // when all directors do
	alone   [2]float64
	turning [2]float64 // the extreme of what crosses, and its direction
}

type node struct {
	p      *play
	zone   int
	name   string
	held   *failover.CurrentPlan
	seq    uint64
	newest *failover.Plan
	last   [2][]float64 // by class, of the plan in the step before
	counts [2]float64
	seen   []float64 // of zones' load, a second ago
}

type director struct {
	p       *play
	name    string
	sums    *failover.Collector
	planner *failover.Planner
	token   fencing.Token
	stop    time.Duration
	cut     time.Duration
	prev    *failover.Plan // that its planner goes on from, and since when
	since   time.Duration
}

func (p *play) after(d time.Duration, f func()) {
	const us = time.Microsecond
	p.sim.After(&p.src, eventqueue.Span((max(d, 0)+us-1)/us), eventqueue.Event{To: p, P: f}) // never sooner: what is not due yet would be set anew for ever
}

// Handle does what is due.
func (p *play) Handle(now eventqueue.Time, e eventqueue.Event) {
	p.now = time.Duration(now) * time.Microsecond
	e.P.(func())()
}

// send brings a message to its place: mostly soon, at times never, late or twice.
func (p *play) send(f func()) {
	for _, d := range eventqueue.DelayPath(p.r, time.Millisecond, 50*time.Millisecond, 3*time.Second) {
		p.after(d, f)
	}
}

// can is what a zone can do now; one that came back takes 10 s to be warm.
func (p *play) can(z int) float64 {
	return p.cap[z] * min(1, 0.2+0.8*max(p.now-p.from[z], 0).Seconds()/10)
}

func (p *play) demand() [][]float64 {
	d := make([][]float64, len(p.top.Zones))
	for z := range d {
		d[z] = []float64{0.4 * p.level * full, 0.6 * p.level * full}
	}
	return d
}

// ---- events ----

func (p *play) happen() {
	var hit []int
	z := p.events.IntN(len(p.top.Zones))
	size := 0.0
	switch p.events.IntN(4) {
	case 0: // a region
		for other, zone := range p.top.Zones {
			if zone.Region == p.top.Zones[z].Region {
				hit = append(hit, other)
			}
		}
	case 1:
		hit, size = []int{z}, 0.2 // it has become weak
	default:
		hit = []int{z}
	}
	for _, z := range hit {
		p.cap[z] = size * full
	}
	p.event = p.now
	p.out.Events++
	p.after(eventqueue.Between(p.events, 14*time.Second, 18*time.Second), func() {
		for _, z := range hit {
			p.cap[z], p.from[z] = full, p.now
		}
		p.event = p.now + 10*time.Second // until it is warm
		p.out.Events++
	})
}

// ---- nodes ----

func (n *node) tell(to []*director) {
	p := n.p
	n.seq++
	d := failover.Digest{Node: n.name, Incarnation: 1, Sequence: n.seq, Zone: n.zone, Capacity: make([]float64, len(p.top.Zones))}
	for _, x := range p.demand()[n.zone] {
		d.Demand = append(d.Demand, x/nodes*(1+0.03*(2*p.r.Float64()-1)))
	}
	for z := range d.Capacity {
		d.Capacity[z] = p.can(z) * (1 + 0.03*(2*p.r.Float64()-1))
	}
	for _, dir := range to {
		if p.now >= dir.cut {
			p.send(func() { dir.run(func() { dir.sums.Add(d, p.now) }) })
		}
	}
	p.after(tells, func() { n.tell(to) })
}

func (n *node) take(plan *failover.Plan) {
	p := n.p
	if p.without.Token { // whatever was held is forgotten
		n.held = failover.NewCurrentPlan(p.rules, len(p.top.Zones), len(worth))
	}
	if n.held.Update(plan, p.now) != nil {
		p.out.Rejected++
		return
	}
	if n.newest != nil && !plan.Newer(n.newest) {
		p.out.Backwards++
		return
	}
	n.newest = plan
}

// local is today's choice of a node that knows of no plan: home while that is not full, else the nearest that was not full a second ago.
func (n *node) local(shares []float64) {
	best, at := math.Inf(1), n.zone
	for z, load := range n.seen {
		if load < 0.95 && n.p.top.Cost[n.zone][z] < best {
			best, at = n.p.top.Cost[n.zone][z], z
		}
	}
	clear(shares)
	shares[at] = 1
}

// choose is where this node sends each class now.
func (n *node) choose() [][]float64 {
	p := n.p
	choice := make([][]float64, len(worth))
	own := make([]float64, len(p.top.Zones))
	n.local(own)
	for c := range choice {
		choice[c] = slices.Clone(own)
		shares, counts := n.held.Shares(p.now, n.zone, c)
		cliff := 0.0
		for z := range own {
			if counts > 0 {
				choice[c][z] = counts*shares[z] + (1-counts)*own[z]
			}
			if n.last[c] != nil { // what the plan's say has lost since the step before, where it says other than the node would
				cliff = max(cliff, (n.counts[c]-counts)*math.Abs(n.last[c][z]-own[z]))
			}
		}
		if cliff > 0.05 {
			p.out.Cliffs++
		}
		n.last[c], n.counts[c] = shares, counts
	}
	return choice
}

// ---- directors ----

// run does something in a director's process, which may be stopped.
func (d *director) run(f func()) {
	if d.p.now < d.stop {
		d.p.after(d.stop-d.p.now, func() { d.run(f) })
		return
	}
	f()
}

// turn is each half second of a director's: it asks for the seat, or keeps it, and plans if it has it.
func (d *director) turn() {
	p := d.p
	p.after(tells, func() { d.run(d.turn) })
	if p.now < d.cut {
		return // it cannot renew, and its guard has it plan nothing
	}
	if p.r.Float64() < 0.01 {
		d.cut = p.now + eventqueue.Between(p.r, 2*time.Second, 8*time.Second)
	}
	c := lease.Command{Kind: lease.Renew, Name: "director", Token: d.token, Ticks: 4}
	if d.token == 0 {
		c = lease.Command{Kind: lease.Acquire, Name: "director", Holder: d.name, RequestID: uint64(p.now), Ticks: 4}
	}
	g, err := p.seat.Apply(c)
	if err != nil {
		d.token = 0
		return
	}
	if d.token == 0 {
		p.out.Directors++
		d.token = g.Token
		if p.last != nil {
			d.prev, d.since = p.last, p.now-tells
			d.planner.Adopt(d.prev, d.since)
		}
	}
	sums := d.sums.Totals(p.now)
	if p.now < 2*time.Second { // who has just begun knows too little
		return
	}
	// It may be stopped between its check and its act.
	if p.r.Float64() < 0.02 {
		d.stop = p.now + eventqueue.Between(p.r, 2*time.Second, 8*time.Second)
	}
	d.run(func() { d.publish(sums) })
}

func (d *director) publish(sums failover.Totals) {
	p := d.p
	plan, err := d.planner.Step(p.now, d.token, sums)
	if errors.Is(err, failover.ErrNoCapacity) {
		return
	} else if err != nil {
		panic(err)
	}
	p.out.Plans++
	if plan.Newer(p.last) {
		p.last = plan
	}
	if d.prev != nil {
		d.check(d.prev, plan, sums, p.now-d.since)
	}
	d.prev, d.since = plan, p.now
	for _, n := range p.nodes {
		p.send(func() { n.take(plan) })
	}
}

// check finds plans by which a zone's work was to grow by more than the rate lets it in what lies between two plans.
func (d *director) check(was, plan *failover.Plan, s failover.Totals, since time.Duration) {
	for to := range plan.Rows {
		grown, back := 0.0, 0.0
		for z := range plan.Rows {
			for c := range worth {
				grown += (plan.Rows[z][c].Shares[to] - was.Rows[z][c].Shares[to]) * s.Demand[z][c]
				if z == to { // what other zones have no room for any more comes back
					back += s.Demand[z][c] * (1 - was.Rows[z][c].Shares[z])
				}
			}
		}
		if grown-back > failover.DefaultRules.MaxGrowthRate*since.Seconds()*s.Capacity[to]+1e-6 {
			d.p.out.Jumps++
		}
	}
}

// ---- what comes of it ----

func (p *play) account() {
	p.after(step, p.account)
	load := make([][]float64, len(p.top.Zones)) // by zone and class
	for z := range load {
		load[z] = make([]float64, len(worth))
	}
	demand, cross, all := p.demand(), 0.0, 0.0
	for _, n := range p.nodes {
		for c, shares := range n.choose() {
			d := demand[n.zone][c] / nodes
			all += d
			for z, x := range shares {
				load[z][c] += x * d
				if z != n.zone {
					cross += x * d
				}
			}
		}
	}
	var got, best, needed float64
	sums := failover.Totals{Demand: demand, Capacity: make([]float64, len(load))}
	for z := range load {
		sums.Capacity[z] = p.can(z)
		left := sums.Capacity[z]
		for c, x := range load[z] { // the module refuses by worth
			got += worth[c] * min(x, left)
			left = max(left-x, 0)
		}
		use := 10.0
		if c := p.can(z); c > 0 {
			use = (load[z][0] + load[z][1]) / c
		}
		for _, n := range p.nodes {
			p.after(time.Second, func() { n.seen[z] = use })
		}
	}
	fits, stays := p.best.Target(sums)
	for z := range fits {
		for c := range fits[z] {
			best += worth[c] * (demand[z][c] - stays[z][c])
			for to, x := range fits[z][c] {
				if to != z {
					needed += x
				}
			}
		}
	}
	if p.now < 5*time.Second {
		return
	}
	if p.now > p.died {
		if p.now > p.died+p.rules.ValidFor+p.rules.FadeOver && p.now-p.event > settled {
			p.alone[0], p.alone[1] = p.alone[0]+got, p.alone[1]+best
		}
		return
	}
	p.always[0], p.always[1] = p.always[0]+got, p.always[1]+best
	if p.now-p.event > settled {
		p.served[0], p.served[1] = p.served[0]+got, p.served[1]+best
		p.crossed[0], p.crossed[1], p.crossed[2] = p.crossed[0]+cross, p.crossed[1]+needed, p.crossed[2]+all
	}
	p.turn(cross / all)
}

// turn counts changes of direction of what crosses.
func (p *play) turn(cross float64) {
	const least = 0.05
	extreme, up := p.turning[0], p.turning[1] >= 0
	switch {
	case up == (cross > extreme):
		p.turning[0] = cross
	case math.Abs(cross-extreme) > least:
		p.turning = [2]float64{cross, map[bool]float64{true: -1, false: 1}[up]}
		p.out.Turns++
	}
}

// Play plays one schedule.
func Play(seed uint64, without Without) Outcome {
	p := &play{r: rand.New(rand.NewPCG(seed, 0xfa11)), events: rand.New(rand.NewPCG(seed, 0xe7e27)), src: eventqueue.NewSource(1), without: without, top: failover.Grid(regions, zones), rules: failover.DefaultRules,
		seat: lease.New(), from: make([]time.Duration, regions*zones)}
	p.out.Schedules = 1
	if without.Rate {
		p.rules.MaxGrowthRate = 1e9
	}
	if without.Fade {
		p.rules.FadeOver = time.Nanosecond
	}
	p.level = []float64{0.6, 0.75, 0.85, 0.95}[p.events.IntN(4)]
	sight := failover.DefaultRules
	sight.Headroom = 0
	planner := func(rules failover.Rules) *failover.Planner {
		pl, err := failover.NewPlanner(p.top, worth, rules)
		if err != nil {
			panic(err)
		}
		return pl
	}
	p.best = planner(sight)
	var directors []*director
	for i := range 3 {
		directors = append(directors, &director{p: p, name: fmt.Sprint("d", i), sums: failover.NewCollector(len(p.top.Zones), len(worth)), planner: planner(p.rules)})
	}
	for z := range p.top.Zones {
		p.cap, p.from[z] = append(p.cap, full), -time.Hour
		for i := range nodes {
			n := &node{p: p, zone: z, name: fmt.Sprint("n", z, "-", i), held: failover.NewCurrentPlan(p.rules, len(p.top.Zones), len(worth)),
				seen: make([]float64, len(p.top.Zones))}
			p.nodes = append(p.nodes, n)
			p.after(eventqueue.Between(p.r, 0, tells), func() { n.tell(directors) })
		}
	}
	if !without.Plans {
		for _, d := range directors {
			p.after(eventqueue.Between(p.r, 0, tells), d.turn)
		}
	}
	var tick func()
	tick = func() {
		_, _ = p.seat.Apply(lease.Command{Kind: lease.Tick}) // can't be refused
		p.after(tells, tick)
	}
	tick()
	p.event = -settled
	p.after(eventqueue.Between(p.events, 8*time.Second, 12*time.Second), p.happen)
	if p.died = 2 * whole; p.events.Float64() < 0.3 { // nobody directs from then on
		p.died = eventqueue.Between(p.events, 15*time.Second, 30*time.Second)
		p.out.Died++
		p.after(p.died, func() {
			for _, d := range directors {
				d.stop, d.cut = 2*whole, 2*whole
			}
		})
	}
	p.after(0, p.account)
	p.sim.Run(eventqueue.Time(whole / time.Microsecond))
	share := func(a, of float64) float64 {
		if of == 0 {
			return 1
		}
		return a / of
	}
	p.out.ServedValue, p.out.Whole = share(p.served[0], p.served[1]), share(p.always[0], p.always[1])
	p.out.Alone = share(p.alone[0], p.alone[1])
	p.out.Crossing, p.out.Needed = p.crossed[0]/max(p.crossed[2], 1), p.crossed[1]/max(p.crossed[2], 1)
	return p.out
}

// Many plays schedules of seeds from the first, on all cores. Worth and what crosses are means.
func Many(ctx context.Context, first uint64, schedules int, without Without) (sum Outcome, err error) {
	all, err := stats.Play(ctx, schedules, func(i int) Outcome { return Play(first+uint64(i), without) })
	if err != nil {
		return sum, err
	}
	alone := 0.0
	for i, o := range all {
		if o.Died > 0 {
			alone += o.Alone
		}
		if o.Broken() > 0 && sum.Broken() == 0 {
			sum.First = int64(first) + int64(i)
		}
		stats.Add(&sum, o, 1/float64(schedules))
	}
	sum.Alone = alone / max(float64(sum.Died), 1)
	return sum, nil
}
