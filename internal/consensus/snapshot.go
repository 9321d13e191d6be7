package consensus

import (
	"encoding/json"
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

const (
	snapshotVersion = 1
	// trailingEntries is the number of entries before a snapshot that stay in the log, so that a member that is only a
	// little behind can catch up from the log and needs no snapshot.
	trailingEntries = 256
)

// snapshot is the content of a raft snapshot: the state machine. Its JSON form is stored and sent to other members.
type snapshot struct {
	Version  int               `json:"version"`
	Terms    lease.Terms       `json:"terms"`
	Members  map[uint64]string `json:"members"`
	Highest  uint64            `json:"highest"` // the highest ID that any member has ever had
	Removing []uint64          `json:"leaving,omitempty"`
	Leases   json.RawMessage   `json:"leases"`
}

// restore replaces the state machine with the content of a snapshot.
func (m *Member) restore(from *pb.Snapshot) error {
	var decoded snapshot
	if err := json.Unmarshal(from.Data, &decoded); err != nil {
		return fmt.Errorf("decode snapshot of the group: %w", err)
	}
	if decoded.Version != snapshotVersion {
		return fmt.Errorf("snapshot of the group has version %d, but this program reads only version %d", decoded.Version, snapshotVersion)
	}
	leases, err := lease.Restore(decoded.Leases)
	if err != nil {
		return err
	}
	m.leases = leases
	m.members = decoded.Members
	m.highestID = decoded.Highest
	m.terms = decoded.Terms
	m.pendingRemovals = decoded.Removing
	metadata := from.GetMetadata()
	m.confState = metadata.GetConfState()
	m.appliedIndex = metadata.GetIndex()
	m.snapshotIndex = metadata.GetIndex()
	m.appliedTerm = metadata.GetTerm()
	m.lastLeaseTickAt = m.options.Clock() // when its last tick was applied is unknown: assume just now
	return nil
}

// compact saves a snapshot of the applied state, and deletes the log entries before it except the last trailingEntries.
func (m *Member) compact() error {
	leases, err := m.leases.Snapshot()
	if err != nil {
		return err
	}
	data, err := json.Marshal(snapshot{
		Version:  snapshotVersion,
		Terms:    m.terms,
		Members:  m.members,
		Highest:  m.highestID,
		Removing: m.pendingRemovals,
		Leases:   leases,
	})
	if err != nil {
		return err
	}
	created, err := m.raftStorage.CreateSnapshot(m.appliedIndex, m.confState, data)
	if err != nil {
		return err
	}
	m.snapshotIndex = m.appliedIndex
	m.membersChanged = false
	compactIndex := m.appliedIndex - min(m.appliedIndex, trailingEntries)
	if err := m.options.Storage.Save(StorageUpdate{Snapshot: created, CompactIndex: compactIndex}); err != nil {
		return err
	}
	if first, err := m.raftStorage.FirstIndex(); err != nil || compactIndex < first {
		return err
	}
	return m.raftStorage.Compact(compactIndex)
}

// updateRaftStorage applies an update to raft's copy of the log in memory, and a snapshot also to the state machine.
// The update must have been saved before.
func (m *Member) updateRaftStorage(update StorageUpdate) error {
	if update.Snapshot != nil {
		if err := errors.Join(m.restore(update.Snapshot), m.raftStorage.ApplySnapshot(update.Snapshot)); err != nil {
			return err
		}
	}
	if update.HardState != nil {
		if err := m.raftStorage.SetHardState(update.HardState); err != nil {
			return err
		}
	}
	return m.raftStorage.Append(update.Entries)
}
