package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

// StorageUpdate is a change to a member's durable state. It must be applied atomically.
type StorageUpdate struct {
	HardState    *pb.HardState // nil: unchanged
	Snapshot     *pb.Snapshot  // nil: unchanged
	ReplaceLog   bool          // the snapshot came from another member and replaces all entries
	Entries      []*pb.Entry   // they replace all stored entries from the index of the first one on
	CompactIndex uint64        // entries up to and including this index may be deleted
}

// Storage persists a member's durable state. Once Save has returned nil, the update must survive a crash of the
// machine. If Save returns an error, the content of the storage is unknown and the member stops.
type Storage interface{ Save(StorageUpdate) error }

// DurableState is the content of a Storage. Entries up to the snapshot's index are ignored.
type DurableState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Apply returns the state that results from applying an update to s.
func (s DurableState) Apply(update StorageUpdate) DurableState {
	if update.HardState != nil {
		s.HardState = update.HardState
	}
	if update.Snapshot != nil {
		s.Snapshot = update.Snapshot
	}
	if update.ReplaceLog {
		s.Entries = nil
	}
	if len(update.Entries) > 0 {
		earlier := s.Entries[:s.position(update.Entries[0].GetIndex())]
		s.Entries = append(slices.Clip(earlier), update.Entries...)
	}
	s.Entries = s.Entries[s.position(update.CompactIndex+1):]
	return s
}

// position returns the position in Entries of the first entry whose index is at least this one, or the number of
// entries if there is none.
func (s DurableState) position(index uint64) int {
	return sort.Search(len(s.Entries), func(i int) bool { return s.Entries[i].GetIndex() >= index })
}

// Bootstrap returns the durable state from which a first member of a new group starts. All first members must be
// started with the same members and terms.
func Bootstrap(members map[uint64]string, terms lease.Terms) (DurableState, error) {
	leases, err := lease.New().Snapshot()
	if err != nil {
		return DurableState{}, err
	}
	ids := slices.Sorted(maps.Keys(members))
	data, err := json.Marshal(snapshot{
		Version: snapshotVersion,
		Terms:   terms,
		Members: members,
		Highest: ids[len(ids)-1],
		Leases:  leases,
	})
	if err != nil {
		return DurableState{}, err
	}
	first := uint64(1) // term and index
	return DurableState{
		HardState: &pb.HardState{Term: &first, Commit: &first},
		Snapshot: &pb.Snapshot{
			Data: data,
			Metadata: &pb.SnapshotMetadata{
				Index:     &first,
				Term:      &first,
				ConfState: &pb.ConfState{Voters: ids},
			},
		},
	}, nil
}

// EmptyState returns the durable state from which a member that is added to an existing group starts.
func EmptyState() DurableState { return DurableState{HardState: &pb.HardState{}} }
