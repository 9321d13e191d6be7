package lease

import (
	"encoding/json"
	"fmt"
)

const snapshotVersion = 1

// snapshot is the stored form of a State.
type snapshot struct {
	Version int                `json:"version"`
	Tick    uint64             `json:"tick"`
	Token   Token              `json:"token"`
	Leases  map[string]*record `json:"leases"`
}

// Snapshot encodes the whole State. Equal States have equal snapshots: JSON maps are written in the order of their keys.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{
		Version: snapshotVersion,
		Tick:    s.tick,
		Token:   s.lastToken,
		Leases:  s.leases,
	})
}

// Restore decodes a Snapshot, and checks that it is consistent.
func Restore(raw []byte) (*State, error) {
	var decoded snapshot
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, fmt.Errorf("snapshot of leases: %w", err)
	}
	if decoded.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot of leases: version %d, this program reads %d", decoded.Version, snapshotVersion)
	}
	s := &State{tick: decoded.Tick, lastToken: decoded.Token, leases: map[string]*record{}}
	for name, r := range decoded.Leases {
		if r == nil || r.MaxHolders < 1 {
			return nil, fmt.Errorf("snapshot of leases: %q: missing, or without slots", name)
		}
		if err := s.checkGrants(name, r.Grants); err != nil {
			return nil, err
		}
		s.leases[name] = r
	}
	return s, nil
}

// checkGrants checks the grants of one lease of a snapshot.
func (s *State) checkGrants(name string, grants []Grant) error {
	for i, g := range grants {
		isSorted := i == 0 || g.Slot > grants[i-1].Slot
		if g.Name != name || g.Token > s.lastToken || g.ExpiresAt <= s.tick || !isSorted {
			return fmt.Errorf("snapshot of leases: %q: invalid grant of slot %d", name, g.Slot)
		}
	}
	return nil
}
