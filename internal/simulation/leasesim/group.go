package leasesim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

const (
	setupTime   = 5 * time.Second // time after the start during which the first command is repeated
	setupPause  = time.Second
	maxForwards = 3 // largest number of times that a request follows a hint to the leader
)

// link is a connection in one direction between two members, given by their IDs.
type link struct{ from, to uint64 }

// group is a simulated consensus group: its members with their disks, and the network between them.
type group struct {
	schedule        *schedule
	members         []*member              // by ID, from 1; includes removed members
	cutUntil        map[link]time.Duration // time until which a link loses all messages
	checksums       map[uint64]uint64      // checksums of the state that was agreed on, by log index
	leaderDiedAt    time.Duration          // time of the last leader's death; 0 once another member leads
	membersChanging bool                   // whether a change of members is in progress
}

func newGroup(s *schedule, members int, first lease.Command) *group {
	g := &group{schedule: s, cutUntil: map[link]time.Duration{}, checksums: map[uint64]uint64{}}
	addresses := map[uint64]string{}
	for i := range members {
		id := uint64(i + 1)
		addresses[id] = address(id)
	}
	state, err := consensus.Bootstrap(addresses, lease.Terms{Interval: tickInterval, Drift: drift})
	if err != nil {
		panic(err)
	}
	for range members {
		g.add(state)
	}
	g.setUp(first)
	s.callAfter(s.randomDuration(0, time.Second), g.injectFault)
	return g
}

// setUp sends the first command repeatedly during setupTime, since a group without a leader does not answer.
func (g *group) setUp(first lease.Command) {
	s := g.schedule
	g.request(&holder{schedule: s, name: "setup"}, first, func(lease.Grant, error) {})
	if s.now < setupTime {
		s.callAfter(setupPause, func() { g.setUp(first) })
	}
}

// add adds a member to the simulation and starts it with a state on its disk.
func (g *group) add(state consensus.DurableState) *member {
	s := g.schedule
	m := &member{group: g, id: uint64(len(g.members) + 1), disk: state, clockRate: s.allowedClockRate()}
	if s.faults.Clocks && s.chance(0.3) {
		m.clockRate = 1.2 + s.random.Float64() // its ticks are shorter than the terms allow
	}
	g.members = append(g.members, m)
	m.start()
	return m
}

func address(id uint64) string { return fmt.Sprint("m", id) }

// memberByAddress returns the member with an address, or nil if there is none.
func (g *group) memberByAddress(memberAddress string) *member {
	i := slices.IndexFunc(g.members, func(m *member) bool { return address(m.id) == memberAddress })
	if i < 0 {
		return nil
	}
	return g.members[i]
}

// activeMembers returns the members that were not removed from the group.
func (g *group) activeMembers() []*member {
	return slices.DeleteFunc(slices.Clone(g.members), func(m *member) bool { return m.removed })
}

// request sends a command to the member that the holder believes to be the leader, or to a random one if it knows
// none. It follows the members' hints to the leader.
func (g *group) request(h *holder, command lease.Command, respond func(lease.Grant, error)) {
	recipient := h.leader
	if recipient == nil || recipient.removed {
		activeMembers := g.activeMembers()
		recipient = activeMembers[g.schedule.random.IntN(len(activeMembers))]
	}
	h.leader = nil // until a member responds
	g.sendRequest(recipient, maxForwards, h, command, respond)
}

func (g *group) sendRequest(m *member, forwards int, h *holder, command lease.Command, respond func(lease.Grant, error)) {
	s := g.schedule
	handle := func(grant lease.Grant, err error) {
		var notLeader consensus.NotLeaderError
		switch {
		case errors.As(err, &notLeader) && notLeader.Address != "" && forwards > 0:
			g.sendRequest(g.memberByAddress(notLeader.Address), forwards-1, h, command, respond)
		case errors.As(err, &notLeader), errors.Is(err, consensus.ErrOutcomeUnknown), errors.Is(err, consensus.ErrBusy):
		default:
			h.leader = m
			respond(grant, err)
		}
	}
	s.send(s.faults.Network, func() {
		m.run(m.incarnation, func(process *consensus.Member) {
			process.Propose(command, func(grant lease.Grant, err error) {
				if command.Kind == lease.Acquire && err == nil {
					g.recordGrant(grant, fmt.Sprint(h.name, " ", command.RequestID))
				}
				s.send(s.faults.Network, func() { handle(grant, err) })
			})
		})
	})
}

// recordGrant records the request that a token was granted to, and counts a token that was granted to two requests.
func (g *group) recordGrant(grant lease.Grant, request string) {
	s := g.schedule
	owner, granted := s.owners[grant.Token]
	switch {
	case !granted:
		s.owners[grant.Token] = request
		s.outcome.Grants++
	case owner != request:
		s.outcome.DuplicateGrants++
	}
}

// compareMembers counts the members whose state at the end of the schedule disagrees with that of the others.
func (g *group) compareMembers() {
	for _, m := range g.members {
		if m.process == nil {
			continue
		}
		if index, checksum := m.process.Checksum(); g.checksums[index] != checksum {
			g.schedule.outcome.Disagreements++
		}
	}
}
