package leasesim

import (
	"time"

	"tulipglade/internal/lease"
)

// singleState stands in for a group: a single state that is never lost, and leaders that change it, one after the
// other.
type singleState struct {
	schedule *schedule
	state    *lease.State
	leader   int // number of the current leader; 0 if there is none
	leaders  int // number of leaders so far
	tickedAt time.Duration
}

// elect starts the next leader. In schedules in which leaders die, it restores the state from a snapshot, and draws
// the time of its death.
func (g *singleState) elect() {
	s := g.schedule
	g.leaders++
	g.leader = g.leaders
	s.outcome.Leaders++
	clockRate := s.allowedClockRate()
	if s.faults.Leaders {
		g.restoreFromSnapshot()
	}
	g.tick(g.leader, clockRate)
	if s.faults.Leaders && s.faultsActive() {
		s.callAfter(s.randomDuration(200*time.Millisecond, 4*time.Second), func() {
			g.leader = 0
			s.callAfter(s.randomDuration(50*time.Millisecond, 1500*time.Millisecond), g.elect)
		})
	}
}

func (g *singleState) restoreFromSnapshot() {
	snapshot, err := g.state.Snapshot()
	if err == nil {
		g.state, err = lease.Restore(snapshot)
	}
	if err != nil {
		panic(err)
	}
}

// tick applies a tick whenever one is due by the leader's clock, and schedules itself for as long as the leader leads.
func (g *singleState) tick(leader int, clockRate float64) {
	if g.leader != leader {
		return
	}
	s := g.schedule
	due := g.tickedAt + time.Duration(float64(tickInterval)/clockRate)
	if s.now >= due {
		g.tickedAt = s.now
		_, _ = g.state.Apply(lease.Command{Kind: lease.Tick}) // a tick is never rejected
		due = g.tickedAt + time.Duration(float64(tickInterval)/clockRate)
	}
	s.callAfter(due-s.now, func() { g.tick(leader, clockRate) })
}

func (g *singleState) request(command lease.Command, respond func(lease.Grant, error)) {
	s := g.schedule
	s.send(s.faults.Network, func() {
		if g.leader == 0 {
			return
		}
		before := g.state.TickCount()
		grant, err := g.state.Apply(command)
		if command.Kind == lease.Acquire && err == nil && grant.ExpiresAt == before+command.Ticks {
			s.outcome.Grants++
		}
		s.send(s.faults.Network, func() { respond(grant, err) })
	})
}
