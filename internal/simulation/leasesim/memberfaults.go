package leasesim

import (
	"slices"
	"time"

	"tulipglade/internal/consensus"
)

const (
	flapPeriod  = 300 * time.Millisecond
	flapCutTime = flapPeriod / 2
)

// Patterns of cut links between a member and the others, from which one is drawn.
const (
	cutAll        = iota // no link of the member works
	cutSending           // the others receive nothing from the member
	cutReceiving         // the member receives nothing from the others
	cutAllButHalf        // only the member is connected to both halves of the group
	cutRepeatedly        // the links of the member are cut and restored repeatedly
	cutPatterns
)

// Kinds of faults of members. A random number below faultKinds selects one.
const (
	faultDeath       = 1 // and 0: one member dies
	faultMassDeath   = 2
	faultPause       = 3
	faultReplacement = 4
	faultCut         = 5 // and all numbers above
	faultKinds       = 8
)

// injectFault injects a fault among the members, and schedules the next one. In half of all cases it chooses the
// leader.
func (g *group) injectFault() {
	s := g.schedule
	if !s.faultsActive() {
		return
	}
	s.callAfter(s.randomDuration(300*time.Millisecond, 2500*time.Millisecond), g.injectFault)
	activeMembers := g.activeMembers()
	m := activeMembers[s.random.IntN(len(activeMembers))]
	leads := func(m *member) bool { return m.process != nil && m.process.IsLeader() }
	if leader := slices.IndexFunc(activeMembers, leads); leader >= 0 && s.chance(0.5) {
		m = activeMembers[leader]
	}
	until := s.now + s.randomDuration(300*time.Millisecond, 3*time.Second)
	if inject := g.drawFault(m, activeMembers, until); inject != nil {
		s.outcome.Faults++
		inject()
	}
}

// drawFault draws a fault that affects a member, or all of them, and returns the function that injects it. It returns
// nil if the schedule has no faults of the kind that was drawn.
func (g *group) drawFault(m *member, active []*member, until time.Duration) (inject func()) {
	s := g.schedule
	switch kind := s.random.IntN(faultKinds); {
	case kind <= faultDeath && s.faults.Down:
		return func() { m.crash(until - s.now) }
	case kind == faultMassDeath && s.faults.Down && s.chance(0.3):
		return func() { g.crashAll(active) }
	case kind == faultPause && s.faults.Paused:
		return func() { m.stoppedUntil = max(m.stoppedUntil, until) }
	case kind == faultReplacement && s.faults.Changes:
		return func() { g.replaceMember(m) }
	case kind >= faultCut && s.faults.Cuts:
		return func() { g.cutLinks(m, active, until) }
	}
	return nil
}

// crashAll ends all processes at once. They start again in a random order.
func (g *group) crashAll(active []*member) {
	s := g.schedule
	for _, m := range active {
		m.crash(s.randomDuration(100*time.Millisecond, 3*time.Second))
	}
}

// cutLinks cuts links between a member and the others until a time, in a random pattern.
func (g *group) cutLinks(m *member, active []*member, until time.Duration) {
	pattern := g.schedule.random.IntN(cutPatterns)
	for i, other := range active {
		if other == m {
			continue
		}
		switch pattern {
		case cutAll:
			g.cutLink(m, other, until)
			g.cutLink(other, m, until)
		case cutSending:
			g.cutLink(m, other, until)
		case cutReceiving:
			g.cutLink(other, m, until)
		case cutAllButHalf:
			for j, third := range active {
				if third != m && i%2 != j%2 {
					g.cutLink(other, third, until)
				}
			}
		case cutRepeatedly:
			g.flapLinks(m, other, until)
		}
	}
}

// cutLink makes the link from one member to another lose all messages until a time.
func (g *group) cutLink(from, to *member, until time.Duration) {
	g.cutUntil[link{from.id, to.id}] = until
}

// flapLinks repeatedly cuts and restores the links between two members until a time.
func (g *group) flapLinks(a, b *member, until time.Duration) {
	s := g.schedule
	for at := s.now; at < until; at += flapPeriod {
		s.callAfter(at-s.now, func() {
			g.cutLink(a, b, s.now+flapCutTime)
			g.cutLink(b, a, s.now+flapCutTime)
		})
	}
}

// replaceMember has the leader replace a member by a new one. It does nothing without a leader that runs, or while
// another replacement is in progress.
func (g *group) replaceMember(old *member) {
	s := g.schedule
	leads := func(m *member) bool {
		return m.process != nil && m.process.IsLeader() && s.now >= m.stoppedUntil
	}
	i := slices.IndexFunc(g.members, leads)
	if g.membersChanging || i < 0 {
		return
	}
	leader := g.members[i]
	g.membersChanging = true
	added := g.add(consensus.EmptyState())
	leader.run(leader.incarnation, func(process *consensus.Member) {
		addresses := map[uint64]string{added.id: address(added.id)}
		process.ChangeMembers(addresses, []uint64{old.id}, func(error) { g.membersChanging = false })
	})
}
