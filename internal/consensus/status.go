package consensus

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/lease"
)

// Status describes the group as one member sees it. The Status of a follower may be stale.
type Status struct {
	ID      uint64            `json:"id"`
	Leader  uint64            `json:"leader"` // 0: unknown
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Tick    uint64            `json:"tick"`
	Terms   lease.Terms       `json:"terms"`
	Members map[uint64]string `json:"members"`
	Leases  []lease.Lease     `json:"leases,omitempty"`

	SlotsRevision uint64 `json:"slots_revision,omitempty"` // see lease.Command.IfRevision
}

// Status returns the group's state as this member currently sees it.
func (m *Member) Status() Status {
	return Status{
		ID:      m.options.ID,
		Leader:  m.Leader(),
		Term:    m.Term(),
		Applied: m.appliedIndex,
		Tick:    m.leases.TickCount(),
		Terms:   m.terms,
		Members: maps.Clone(m.members),
		Leases:  m.leases.List(),

		SlotsRevision: m.leases.SlotsRevision(),
	}
}

// IsLeader reports whether this member believes that it is the leader. Another one may have been elected already.
func (m *Member) IsLeader() bool { return m.isLeader }

// Leader returns the ID of the member that this one believes to be the leader, or 0 if it knows no leader.
func (m *Member) Leader() uint64 { return m.node.BasicStatus().Lead }

// Term returns the current raft term that this member knows of.
func (m *Member) Term() uint64 { return m.node.BasicStatus().GetTerm() }

// Terms returns the interval and the clock drift that the group's leases are based on. They have nothing to do with
// raft's term.
func (m *Member) Terms() lease.Terms { return m.terms }

// Removed reports whether the group has removed this member. The agent keeps a removed member running for some seconds,
// because a member that has not received the change yet may still need this one's vote.
func (m *Member) Removed() bool {
	return len(m.members) > 0 && m.members[m.options.ID] == "" && m.appliedIndex > 0
}

// Checksum returns the index of the last applied entry, and a checksum of the leases at that index. The checksums of
// all members at the same index are equal.
func (m *Member) Checksum() (applied uint64, sum uint64) {
	raw, err := m.leases.Snapshot()
	if err != nil {
		panic(err) // impossible: the state consists of types that JSON can encode
	}
	return m.appliedIndex, xxhash.Sum64(raw)
}
