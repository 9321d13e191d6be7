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

// The patterns of cut links, as they are drawn.
const (
	cutAll        = iota // no link of the member works
	cutSending           // the others hear nothing of the member
	cutReceiving         // the member hears nothing of the others
	cutAllButHalf        // the others see only their half of the group, and the member sees both halves
	cutRepeatedly        // no link of the member works, in turn with all links
	cutPatterns
)

// The kinds of faults of members. A draw of faultKinds numbers chooses one.
const (
	faultDeath       = 1 // and 0
	faultMassDeath   = 2
	faultPause       = 3
	faultReplacement = 4
	faultCut         = 5 // and all above
	faultKinds       = 8
)

// injectFault injects the next fault among the members.
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

// drawFault draws a fault that hits one member first; it is nil where the schedule does not have faults of the kind that was drawn.
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

// crashAll has all processes die at once, and start again in any order.
func (g *group) crashAll(active []*member) {
	s := g.schedule
	for _, m := range active {
		m.crash(s.randomDuration(100*time.Millisecond, 3*time.Second))
	}
}

// cutLinks cuts links between a member and the others in a pattern that it draws.
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

// cutLink loses all messages from one member to another until a time.
func (g *group) cutLink(from, to *member, until time.Duration) {
	g.cutUntil[link{from.id, to.id}] = until
}

// flapLinks cuts and restores the links between two members until a time.
func (g *group) flapLinks(a, b *member, until time.Duration) {
	s := g.schedule
	for at := s.now; at < until; at += flapPeriod {
		s.callAfter(at-s.now, func() {
			g.cutLink(a, b, s.now+flapCutTime)
			g.cutLink(b, a, s.now+flapCutTime)
		})
	}
}

// replaceMember has a new member take the place of another.
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
