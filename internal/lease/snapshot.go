package lease

import (
	"encoding/json"
	"fmt"
)

const snapshotVersion = 1

// snapshot is a State in the form in which it is stored, as JSON.
type snapshot struct {
	Version int                `json:"version"`
	Tick    uint64             `json:"tick"`
	Token   Token              `json:"token"`
	Leases  map[string]*record `json:"leases"`

	SlotsRevision    uint64 `json:"slots_revision,omitempty"` // less firstRevision
	LastSlotsRequest uint64 `json:"last_slots_request,omitempty"`
}

// Snapshot encodes the whole State. Equal States have equal snapshots, because encoding/json writes maps in the order
// of their keys.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{
		Version: snapshotVersion,
		Tick:    s.tick,
		Token:   s.lastToken,
		Leases:  s.leases,

		SlotsRevision:    s.slotsRevision - firstRevision,
		LastSlotsRequest: s.lastSlotsRequest,
	})
}

// Restore returns the State that Snapshot has encoded. It returns an error if the snapshot is inconsistent.
func Restore(raw []byte) (*State, error) {
	var decoded snapshot
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, fmt.Errorf("decode snapshot of leases: %w", err)
	}
	if decoded.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot of leases has version %d, but this program reads only version %d", decoded.Version, snapshotVersion)
	}
	s := New()
	s.tick, s.lastToken = decoded.Tick, decoded.Token
	s.slotsRevision += decoded.SlotsRevision
	s.lastSlotsRequest = decoded.LastSlotsRequest
	for name, r := range decoded.Leases {
		if r == nil || r.MaxHolders < 1 {
			return nil, fmt.Errorf("snapshot of leases: lease %q has no state or no slots", name)
		}
		if err := s.checkGrants(name, r.Grants); err != nil {
			return nil, err
		}
		s.leases[name] = r
	}
	return s, nil
}

// checkGrants returns an error if the grants of one lease in a snapshot are invalid: they must belong to this lease,
// have been granted and not have expired, and be sorted by slot, with at most one for each.
func (s *State) checkGrants(name string, grants []Grant) error {
	for i, g := range grants {
		isSorted := i == 0 || g.Slot > grants[i-1].Slot
		if g.Name != name || g.Token > s.lastToken || g.ExpiresAt <= s.tick || !isSorted {
			return fmt.Errorf("snapshot of leases: lease %q has an invalid grant of slot %d", name, g.Slot)
		}
	}
	return nil
}
