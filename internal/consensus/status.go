package consensus

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/lease"
)

// Status is what a member knows. That of a follower may be stale.
type Status struct {
	ID      uint64            `json:"id"`
	Leader  uint64            `json:"leader"` // 0: unknown
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Tick    uint64            `json:"tick"`
	Terms   lease.Terms       `json:"terms"`
	Members map[uint64]string `json:"members"`
	Leases  []lease.Lease     `json:"leases,omitempty"`
}

// Status returns what this member knows now.
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
	}
}

// IsLeader reports whether this member believes to be the leader. Another one may have been elected already.
func (m *Member) IsLeader() bool { return m.isLeader }

// Leader returns the ID of the member that this one believes to be the leader; 0: unknown.
func (m *Member) Leader() uint64 { return m.node.BasicStatus().Lead }

// Term returns raft's term, as far as this member knows.
func (m *Member) Term() uint64 { return m.node.BasicStatus().GetTerm() }

// Terms returns the group's terms of leases.
func (m *Member) Terms() lease.Terms { return m.terms }

// Removed reports whether the group has removed this member. It goes on for some seconds all the same: a member that has not received
// the change yet may need this one's vote.
func (m *Member) Removed() bool {
	return len(m.members) > 0 && m.members[m.options.ID] == "" && m.appliedIndex > 0
}

// Checksum returns the index of the last applied entry, and a checksum that is the same for all members that have applied it.
func (m *Member) Checksum() (applied uint64, sum uint64) {
	raw, err := m.leases.Snapshot()
	if err != nil {
		panic(err) // the same state has been encoded before
	}
	return m.appliedIndex, xxhash.Sum64(raw)
}
