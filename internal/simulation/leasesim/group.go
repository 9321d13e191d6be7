package leasesim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	membership "tulipglade/internal/consensus"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
)

const (
	beat   = 50 * time.Millisecond
	linger = 5 * time.Second // of a member that was removed
)

// group is members with a network and disks between and below them.
type group struct {
	p     *play
	nodes []*node // by id, from 1; also those that are no members any more
	cut   map[[2]uint64]time.Duration
	sums  map[uint64]uint64 // what was agreed on, by index
	led   time.Duration     // when a member that led died; 0: another leads already
	busy  bool              // a change of members is on its way
}

// node is a member's process, its disk and its clock.
type node struct {
	g    *group
	id   uint64
	rate float64
	stop time.Duration
	life int
	m    *membership.Member // nil: it is down
	disk membership.DurableState
	lazy []membership.StorageUpdate // without Sync: what the disk has not got yet
	gone bool                       // it will not come back
}

var errDown = errors.New("the process died")

// Save is the disk. The process may die before it has anything, or when it has all.
func (n *node) Save(w membership.StorageUpdate) error {
	p := n.g.p
	dies := p.faults.Down && p.wild() && p.chance(0.002)
	if dies && p.chance(0.5) {
		return errDown
	}
	if n.lazy = append(n.lazy, w); !p.without.Sync {
		n.sync(0)
	}
	n.sync(20)
	if dies {
		return errDown
	}
	return nil
}

// sync has the disk take all but the last few writes.
func (n *node) sync(but int) {
	for len(n.lazy) > but {
		n.disk = n.disk.EntriesAfter(n.lazy[0])
		n.lazy = n.lazy[1:]
	}
}

func address(id uint64) string { return fmt.Sprint("m", id) }

func newGroup(p *play, members int, first lease.Command) *group {
	g := &group{p: p, cut: map[[2]uint64]time.Duration{}, sums: map[uint64]uint64{}}
	who := map[uint64]string{}
	for i := range members {
		who[uint64(i+1)] = address(uint64(i + 1))
	}
	kept, err := membership.Bootstrap(who, lease.Terms{Interval: interval, Drift: drift})
	if err != nil {
		panic(err)
	}
	for range members {
		g.add(kept)
	}
	var ask func()
	ask = func() {
		g.ask(&holder{p: p, name: "setup"}, first, func(lease.Grant, error) {})
		if p.now < 5*time.Second {
			p.after(time.Second, ask)
		}
	}
	ask()
	p.after(p.between(0, time.Second), g.fault)
	return g
}

func (g *group) add(kept membership.DurableState) *node {
	n := &node{g: g, id: uint64(len(g.nodes) + 1), disk: kept, rate: 1 + drift*(2*g.p.r.Float64()-1)}
	if g.p.faults.Clocks && g.p.chance(0.3) {
		n.rate = 1.2 + g.p.r.Float64() // its ticks are short
	}
	g.nodes = append(g.nodes, n)
	n.start()
	return n
}

func (n *node) clock() time.Duration { return time.Duration(float64(n.g.p.now) * n.rate) }

func (n *node) start() {
	if n.gone || n.m != nil {
		return
	}
	p := n.g.p
	n.life++
	m, err := membership.New(membership.Options{ID: n.id, Clock: n.clock, Rand: rand.New(rand.NewPCG(p.r.Uint64(), p.r.Uint64())), Storage: n,
		Send: n.send, ElectionTicks: 10, SnapshotEntries: 40, RequestTimeoutTicks: 60}, n.disk)
	if err != nil {
		panic(err)
	}
	n.m = m
	life := n.life
	var next func()
	next = func() {
		n.run(life, (*membership.Member).Tick)
		if n.life == life {
			p.after(time.Duration(float64(beat)/n.rate), next)
		}
	}
	p.after(p.between(0, beat), next)
}

// run does something in the process, which may be stopped, and may have ended by then; then it writes and sends.
func (n *node) run(life int, f func(*membership.Member)) {
	p := n.g.p
	switch {
	case n.m == nil || life != n.life:
		return
	case p.now < n.stop:
		p.after(n.stop-p.now, func() { n.run(life, f) })
		return
	}
	led := n.m.IsLeader()
	f(n.m)
	if err := n.m.Flush(); err != nil {
		if !errors.Is(err, errDown) {
			panic(err)
		}
		n.down(p.between(100*time.Millisecond, 3*time.Second))
		return
	}
	if !led && n.m.IsLeader() {
		p.out.Leaders++
		if n.g.led > 0 {
			p.gaps.Lead = append(p.gaps.Lead, p.now-n.g.led)
			n.g.led = 0
		}
	}
	index, sum := n.m.Checksum()
	if was, ok := n.g.sums[index]; ok && was != sum {
		p.out.Split++
	}
	n.g.sums[index] = sum
	if n.m.Removed() && !n.gone {
		n.gone = true
		p.out.Changes++
		p.after(linger, func() { n.m, n.life = nil, n.life+1 })
	}
}

// down ends the process; it starts anew from its disk after a time.
func (n *node) down(again time.Duration) {
	if n.m == nil {
		return
	}
	if n.m.IsLeader() {
		n.g.led = n.g.p.now
	}
	n.m, n.stop = nil, 0
	n.life++
	n.sync(n.g.p.r.IntN(21))
	n.lazy = nil
	n.g.p.after(again, n.start)
}

func (n *node) send(to string, msg *raftpb.Message) {
	g, p := n.g, n.g.p
	raw, err := proto.Marshal(msg) // what is sent does not change afterwards
	if err != nil {
		panic(err)
	}
	var other *node
	for _, o := range g.nodes {
		if address(o.id) == to {
			other = o
		}
	}
	life, way := n.life, [2]uint64{n.id, other.id}
	arrive := func() {
		if p.now < g.cut[way] {
			return
		}
		other.run(other.life, func(m *membership.Member) {
			var in raftpb.Message
			if err := proto.Unmarshal(raw, &in); err != nil {
				panic(err)
			}
			_ = m.Step(address(n.id), &in) // what it refuses is lost
		})
	}
	if p.faults.Lossy && p.wild() { // bad, but raft can still elect over it
		for _, d := range eventqueue.DelayPath(p.r, time.Millisecond, wire/2, 400*time.Millisecond) {
			p.after(d, arrive)
		}
	} else {
		p.after(p.between(time.Millisecond, wire/2), arrive)
	}
	if msg.GetType() == raftpb.MsgSnap {
		p.after(2*wire, func() { n.run(life, func(m *membership.Member) { m.Delivered(msg.GetTo(), p.now >= g.cut[way]) }) })
	}
}

// ask has a holder ask the member that it believes to lead, any other if it believes nothing, and go on to whom that names.
func (g *group) ask(h *holder, c lease.Command, answer func(lease.Grant, error)) {
	p := g.p
	var try func(to *node, hops int)
	try = func(to *node, hops int) {
		p.send(p.faults.Network, func() {
			to.run(to.life, func(m *membership.Member) {
				m.Propose(c, func(grant lease.Grant, err error) {
					if c.Kind == lease.Acquire && err == nil {
						g.count(grant, h.name, c.RequestID)
					}
					p.send(p.faults.Network, func() {
						var other membership.NotLeaderError
						switch {
						case errors.As(err, &other) && other.Address != "" && hops < 3:
							at := slices.IndexFunc(g.nodes, func(o *node) bool { return address(o.id) == other.Address })
							try(g.nodes[at], hops+1)
						case errors.As(err, &other), errors.Is(err, membership.ErrOutcomeUnknown), errors.Is(err, membership.ErrBusy):
						default:
							h.to = to
							answer(grant, err)
						}
					})
				})
			})
		})
	}
	to := h.to
	if to == nil || to.gone {
		there := slices.DeleteFunc(slices.Clone(g.nodes), func(n *node) bool { return n.gone })
		to = there[p.r.IntN(len(there))]
	}
	h.to = nil // until it answers
	try(to, 0)
}

// count sees to it that a token is one request's.
func (g *group) count(grant lease.Grant, who string, ask uint64) {
	whom := fmt.Sprint(who, " ", ask)
	switch was, ok := g.p.given[grant.Token]; {
	case !ok:
		g.p.given[grant.Token] = whom
		g.p.out.Grants++
	case was != whom:
		g.p.out.DuplicateGrants++
	}
}

// fault is the next thing that goes wrong among the members.
func (g *group) fault() {
	p := g.p
	if !p.wild() {
		return
	}
	p.after(p.between(300*time.Millisecond, 2500*time.Millisecond), g.fault)
	there := slices.DeleteFunc(slices.Clone(g.nodes), func(n *node) bool { return n.gone })
	n := there[p.r.IntN(len(there))]
	if lead := slices.IndexFunc(there, func(n *node) bool { return n.m != nil && n.m.IsLeader() }); lead >= 0 && p.chance(0.5) {
		n = there[lead]
	}
	till := p.now + p.between(300*time.Millisecond, 3*time.Second)
	cut := func(from, to *node, till time.Duration) { g.cut[[2]uint64{from.id, to.id}] = till }
	kind := p.r.IntN(8)
	p.out.Faults++
	switch {
	case kind < 2 && p.faults.Down:
		n.down(till - p.now)
	case kind == 2 && p.faults.Down && p.chance(0.3): // all at once, and up in any order
		for _, o := range there {
			o.down(p.between(100*time.Millisecond, 3*time.Second))
		}
	case kind == 3 && p.faults.Paused:
		n.stop = max(n.stop, till)
	case kind == 4 && p.faults.Changes:
		g.replace(n)
	case kind >= 5 && p.faults.Cuts:
		way := p.r.IntN(5)
		for i, o := range there {
			switch {
			case o == n:
			case way == 0: // cut off
				cut(n, o, till)
				cut(o, n, till)
			case way == 1: // it is not heard
				cut(n, o, till)
			case way == 2: // it hears nothing
				cut(o, n, till)
			case way == 3: // all but n see only their half
				for j, q := range there {
					if q != n && i%2 != j%2 {
						cut(o, q, till)
					}
				}
			case way == 4: // again and again
				for at := p.now; at < till; at += 300 * time.Millisecond {
					p.after(at-p.now, func() {
						cut(n, o, p.now+150*time.Millisecond)
						cut(o, n, p.now+150*time.Millisecond)
					})
				}
			}
		}
	default:
		p.out.Faults--
	}
}

// replace has a new member take one's place.
func (g *group) replace(old *node) {
	lead := slices.IndexFunc(g.nodes, func(n *node) bool { return n.m != nil && n.m.IsLeader() && g.p.now >= n.stop })
	if g.busy || lead < 0 {
		return
	}
	g.busy = true
	fresh := g.add(membership.EmptyState())
	l := g.nodes[lead]
	l.run(l.life, func(m *membership.Member) {
		m.ChangeMembers(map[uint64]string{fresh.id: address(fresh.id)}, []uint64{old.id}, func(error) { g.busy = false })
	})
}

// tally compares what the members have agreed on in the end.
func (g *group) tally() {
	for _, n := range g.nodes {
		if n.m != nil {
			if index, sum := n.m.Checksum(); g.sums[index] != sum {
				g.p.out.Split++
			}
		}
	}
}
