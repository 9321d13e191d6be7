// Package leasesim plays internal/lease in virtual time: a group whose leaders come and go, holders whose clocks are off and whose
// processes are stopped, a network that loses, delays and repeats, and what the holders act upon. All is drawn from a seed, so a
// schedule that breaks what must hold can be had again.
package leasesim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/stats"
)

// Without is a part that is left out, to show that the checks find what it is there for.
type Without struct {
	Guard bool // holders act whenever they believe to hold
	Fence bool // whoever acts is let in
	Clock bool // a grant is counted from its answer, not from the request
	Free  bool // holders release while an act may still be on its way
	Sync  bool // members' disks forget what was written last when they go down
}

// Faults are those of one schedule; what is not named does not happen.
type Faults struct {
	Stops   bool // holders are stopped, also between check and act
	Kills   bool // holders die, and start anew knowing nothing
	Clocks  bool // holders' clocks are off by far more than the terms allow
	Network bool // losses, repeats and long delays between holders and group
	Late    bool // the same between holders and what they act upon
	Leaders bool // leaders die; the group goes on from a snapshot
	// Of a group of members:
	Down    bool // members die, one or all, also in the midst of a write
	Cuts    bool // links between members are cut: all of one's, one way, all but a bridge, or again and again
	Lossy   bool // messages between members are lost, repeated and late
	Paused  bool // members are stopped
	Changes bool // members are replaced
}

// Outcome is what one schedule, or many together, have shown.
type Outcome struct {
	Schedules       int   `json:"schedules"`
	Acts            int   `json:"acts"`     // that were let in
	Old             int   `json:"old"`      // refused by their token
	Busy            int   `json:"busy"`     // refused as an earlier one was not over
	Withheld        int   `json:"withheld"` // that holders did not begin, being in doubt
	Grants          int   `json:"grants"`
	Leaders         int   `json:"leaders"`
	Kills           int   `json:"kills"`     // of holders that held
	Overlaps        int   `json:"overlaps"`  // of two acts of one seat under different tokens
	Backwards       int   `json:"backwards"` // acts let in under an older token than one before
	Idle            int   `json:"idle"`      // schedules after whose faults nobody acted any more
	Unneeded        int   `json:"unneeded"`  // acts refused by their token in schedules where the guard alone must do
	DuplicateGrants int   `json:"twice"`     // tokens that two requests were given
	Split           int   `json:"split"`     // members that have agreed on different things, or could not go on
	Faults          int   `json:"faults"`    // among members
	Changes         int   `json:"changes"`   // of members that were carried out, and that who left has heard of
	First           int64 `json:"first,omitempty"`
}

// Broken is how often something that must hold did not.
func (o Outcome) Broken() int {
	return o.Overlaps + o.Backwards + o.Idle + o.Unneeded + o.DuplicateGrants + o.Split
}

// The terms of every schedule, and what the holders do.
const (
	interval = 100 * time.Millisecond
	drift    = 0.05
	ticks    = 20 // of a grant
	longest  = 300 * time.Millisecond
	wire     = 20 * time.Millisecond // of one message, where the network is well
	faulty   = 20 * time.Second      // of a schedule; then all is well
	whole    = 30 * time.Second

	eventsMost = 200_000 // of one schedule; it has some 20,000
)

type act struct {
	grant lease.Grant
	from  time.Duration
	open  bool
}

// Gaps are the times from when a holder died to the next one's first act on its seat.
type Gaps struct {
	All  []time.Duration
	Well []time.Duration // of those in schedules in which nothing else was wrong, and one may hold
	Lead []time.Duration // from when a leading member died to when another led
}

// orphan is a seat whose holder has died.
type orphan struct {
	token lease.Token
	at    time.Duration
}

type play struct {
	out     Outcome
	r       *rand.Rand
	faults  Faults
	without Without
	sim     eventqueue.Sim
	src     eventqueue.Source
	now     time.Duration
	state   *lease.State
	leader  int           // counts leaders; 0: there is none
	leaders int           // so far
	ticked  time.Duration // when the last tick was applied
	fence   fencing.Fence
	acts    []*act
	last    time.Duration // of the acts
	orphans map[int]orphan
	gaps    Gaps
	newest  map[int]lease.Token
	group   *group                 // nil: one State, and leaders that come and go
	given   map[lease.Token]string // whom each token was for
}

type holder struct {
	p     *play
	to    *node // of the group: the one it believes to lead
	name  string
	rate  float64 // of its clock
	stop  time.Duration
	guard lease.Guard
	asks  uint64
	life  int // counts its processes
}

func (p *play) after(d time.Duration, f func()) {
	const us = time.Microsecond
	p.sim.After(&p.src, eventqueue.Span((d+us-1)/us), eventqueue.Event{To: p, P: f}) // never sooner: what is not due yet would be set anew for ever
}

// Handle does what is due.
func (p *play) Handle(now eventqueue.Time, e eventqueue.Event) {
	p.now = time.Duration(now) * time.Microsecond
	e.P.(func())()
}

func (p *play) between(least, most time.Duration) time.Duration {
	return eventqueue.Between(p.r, least, most)
}

func (p *play) chance(x float64) bool { return p.r.Float64() < x }

func (p *play) wild() bool { return p.now < faulty }

// send brings a message to its place: once, or, where the way is bad, never, late, or twice.
func (p *play) send(bad bool, f func()) {
	copies, most := 1, wire
	if bad && p.wild() {
		switch {
		case p.chance(0.15):
			return
		case p.chance(0.15):
			copies = 2
		}
		if p.chance(0.2) {
			most = 3 * time.Second
		}
	}
	for range copies {
		p.after(p.between(wire/10, most), f)
	}
}

// ---- the group ----

func (p *play) elect() {
	p.leaders++
	p.leader = p.leaders
	p.out.Leaders++
	me, rate := p.leader, 1+drift*(2*p.r.Float64()-1)
	if p.faults.Leaders { // it has what was agreed on from a snapshot
		raw, err := p.state.Snapshot()
		if err == nil {
			p.state, err = lease.Restore(raw)
		}
		if err != nil {
			panic(err)
		}
	}
	var tick func()
	tick = func() {
		if p.leader != me {
			return
		}
		if due := p.ticked + time.Duration(float64(interval)/rate); p.now < due {
			p.after(due-p.now, tick)
			return
		}
		p.ticked = p.now
		_, _ = p.state.Apply(lease.Command{Kind: lease.Tick}) // can't be refused
		tick()
	}
	tick()
	if p.faults.Leaders && p.wild() {
		p.after(p.between(200*time.Millisecond, 4*time.Second), func() {
			p.leader = 0
			p.after(p.between(50*time.Millisecond, 1500*time.Millisecond), p.elect)
		})
	}
}

// ask has the group carry out a command, and its answer come back. Without a leader nobody answers.
func (p *play) ask(h *holder, c lease.Command, answer func(lease.Grant, error)) {
	if p.group != nil {
		p.group.ask(h, c, answer)
		return
	}
	p.send(p.faults.Network, func() {
		if p.leader == 0 {
			return
		}
		before := p.state.Now()
		g, err := p.state.Apply(c)
		if c.Kind == lease.Acquire && err == nil && g.ExpiresAt == before+c.Ticks {
			p.out.Grants++
		}
		p.send(p.faults.Network, func() { answer(g, err) })
	})
}

// ---- holders ----

func (h *holder) clock() time.Duration { return time.Duration(float64(h.p.now) * h.rate) }

// run does something in the holder's process, which may be stopped, and may have ended by then.
func (h *holder) run(life int, f func()) {
	switch {
	case life != h.life:
	case h.p.now < h.stop:
		h.p.after(h.stop-h.p.now, func() { h.run(life, f) })
	default:
		f()
	}
}

// start is a new process: it knows nothing, and its requests have other numbers than all before.
func (h *holder) start() {
	h.life++
	h.asks += 1000
	h.guard = lease.Guard{Terms: lease.Terms{Interval: interval, Drift: drift}}
	life := h.life
	h.p.after(h.p.between(0, time.Second), func() { h.run(life, h.beat) })
	h.p.after(h.p.between(0, time.Second), func() { h.run(life, h.act) })
}

// die ends the process; what it had sent goes on its way.
func (h *holder) die() {
	p := h.p
	if grant, held := h.guard.Grant(); held {
		p.out.Kills++
		p.orphans[grant.Slot] = orphan{grant.Token, p.now}
	}
	h.life++
	h.stop = 0
	p.after(p.between(500*time.Millisecond, 4*time.Second), h.start)
}

func (h *holder) beat() {
	p, life := h.p, h.life
	if p.faults.Kills && p.wild() && p.chance(0.05) {
		h.die()
		return
	}
	asked := h.clock()
	took := func(of lease.Command) func(lease.Grant, error) {
		return func(g lease.Grant, err error) {
			h.run(life, func() {
				if held, ok := h.guard.Grant(); err != nil && of.Kind == lease.Renew && ok && held.Token == of.Token {
					h.guard.Drop()
				} else if err == nil {
					if p.without.Clock {
						asked = h.clock()
					}
					h.guard.Granted(g, ticks, asked)
				}
			})
		}
	}
	grant, have := h.guard.Grant()
	if have {
		c := lease.Command{Kind: lease.Renew, Name: "task", Token: grant.Token, Ticks: ticks}
		p.ask(h, c, took(c))
	} else {
		h.asks++
		c := lease.Command{Kind: lease.Acquire, Name: "task", Holder: h.name, RequestID: h.asks, Ticks: ticks}
		p.ask(h, c, took(c))
	}
	if have && p.chance(0.1) && (h.guard.Expired(h.clock()) || p.without.Free) { // it has done what it had to do
		h.guard.Drop()
		p.ask(h, lease.Command{Kind: lease.Release, Name: "task", Token: grant.Token}, func(lease.Grant, error) {})
	}
	p.after(p.between(300*time.Millisecond, 600*time.Millisecond), func() { h.run(life, h.beat) })
}

// act checks and acts. What it may take includes the way there.
func (h *holder) act() {
	p, life := h.p, h.life
	p.after(p.between(100*time.Millisecond, 400*time.Millisecond), func() { h.run(life, h.act) })
	held, have := h.guard.Grant()
	if !have {
		return
	}
	grant, may := h.guard.BeginAction(h.clock(), longest)
	if p.without.Guard {
		grant = held
	} else if !may {
		p.out.Withheld++
		return
	}
	if p.faults.Stops && p.wild() && p.chance(0.1) {
		h.stop = p.now + p.between(time.Second, 6*time.Second)
	}
	h.run(life, func() { p.send(p.faults.Late, func() { p.land(grant) }) })
}

// land is an act where it acts.
func (p *play) land(g lease.Grant) {
	if err := p.fence.Begin(g); err != nil && !p.without.Fence {
		if err == fencing.ErrStaleToken {
			p.out.Old++
		} else {
			p.out.Busy++
		}
		return
	}
	a := &act{g, p.now, true}
	for _, o := range p.acts {
		if o.open && o.grant.Slot == g.Slot && o.grant.Token != g.Token {
			p.out.Overlaps++
		}
	}
	if g.Token < p.newest[g.Slot] {
		p.out.Backwards++
	}
	p.newest[g.Slot] = max(p.newest[g.Slot], g.Token)
	p.out.Acts++
	p.last = p.now
	if o, ok := p.orphans[g.Slot]; ok && g.Token > o.token {
		p.gaps.All = append(p.gaps.All, p.now-o.at)
		delete(p.orphans, g.Slot)
	}
	p.acts = append(slices.DeleteFunc(p.acts, func(o *act) bool { return !o.open }), a)
	p.after(p.between(longest/10, longest-wire), func() {
		a.open = false
		p.fence.End(g)
	})
}

// Play plays one schedule: with a group of so many members, or, where that is 0, with a State that many leaders share.
func Play(seed uint64, without Without, members int) (out Outcome, gaps Gaps) {
	p := &play{src: eventqueue.NewSource(1), orphans: map[int]orphan{}, r: rand.New(rand.NewPCG(seed, 0x1ea5e)), without: without, state: lease.New(),
		newest: map[int]lease.Token{}, given: map[lease.Token]string{}}
	defer func() {
		if broke := recover(); broke != nil { // raft does where what must hold does not
			p.out.Split++
			out, gaps = p.out, p.gaps
		}
	}()
	p.out.Schedules = 1
	p.faults = Faults{Stops: p.chance(0.5), Clocks: p.chance(0.3), Network: p.chance(0.6), Late: p.chance(0.3), Leaders: p.chance(0.6),
		Kills: p.chance(0.5)}
	most := 1 + p.r.IntN(2)*p.r.IntN(3)
	seats := lease.Command{Kind: lease.SetMaxHolders, Name: "task", MaxHolders: most}
	if members > 0 {
		p.faults.Leaders = false
		p.faults.Down, p.faults.Cuts, p.faults.Lossy = p.chance(0.6), p.chance(0.5), p.chance(0.4)
		p.faults.Paused, p.faults.Changes = p.chance(0.3), p.chance(0.3)
		p.group = newGroup(p, members, seats)
	} else {
		if _, err := p.state.Apply(seats); err != nil {
			panic(err)
		}
		p.elect()
	}
	for i := range 2 + p.r.IntN(4) {
		h := &holder{p: p, name: fmt.Sprint("h", i), rate: 1 + drift*(2*p.r.Float64()-1)}
		if p.faults.Clocks && p.chance(0.5) {
			h.rate = 0.3 + 0.5*p.r.Float64()
		}
		h.start()
	}
	for p.sim.Step(eventqueue.Time(whole / time.Microsecond)) {
		if p.sim.Done() > eventsMost { // members that have lost what they had said to have talk without end
			p.out.Split++
		}
		if p.out.Split+p.out.DuplicateGrants > 0 { // nothing that follows means anything
			return p.out, p.gaps
		}
	}
	if p.last < faulty+5*time.Second {
		p.out.Idle++
	}
	if p.group != nil {
		p.group.tally()
	}
	// With processes that go on, clocks within the terms and acts that arrive in the time they allow for, the fence has nothing to
	// do, however bad the way to the group is.
	if f := p.faults; !f.Stops && !f.Clocks && !f.Late {
		p.out.Unneeded = p.out.Old + p.out.Busy
	}
	if p.faults == (Faults{Kills: true}) && most == 1 {
		p.gaps.Well = p.gaps.All
	}
	return p.out, p.gaps
}

// Takeovers are gaps in ms.
type Takeovers struct{ All, Well, Lead *hdrhistogram.Histogram }

// Many plays schedules of seeds from the first, on all cores.
func Many(ctx context.Context, first uint64, schedules int, without Without, members int) (sum Outcome, took Takeovers, err error) {
	type shown struct {
		Outcome
		Gaps
	}
	all, err := stats.Play(ctx, schedules, func(i int) (s shown) {
		s.Outcome, s.Gaps = Play(first+uint64(i), without, members)
		return s
	})
	if err != nil {
		return sum, took, err
	}
	record := func(h **hdrhistogram.Histogram, of []time.Duration) {
		if *h == nil {
			*h = hdrhistogram.New(1, whole.Milliseconds(), 3)
		}
		for _, gap := range of {
			err = errors.Join(err, (*h).RecordValue(gap.Milliseconds()))
		}
	}
	for i, o := range all {
		record(&took.All, o.All)
		record(&took.Well, o.Well)
		record(&took.Lead, o.Lead)
		if o.Broken() > 0 && sum.Broken() == 0 {
			sum.First = int64(first) + int64(i)
		}
		stats.Add(&sum, o.Outcome, 0)
	}
	return sum, took, err
}
