package lease

import (
	"cmp"
	"slices"
)

// record is the state of one lease. Its JSON form is stored.
type record struct {
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // sorted by slot
	Note       string  `json:"note,omitempty"`
	NoteToken  Token   `json:"note_token,omitempty"`  // the token under which the last numbered note was set
	NoteNumber uint64  `json:"note_number,omitempty"` // the number of that note
}

// State is the replicated state machine. It is deterministic: the same commands in the same order lead to the same
// State and return the same results.
type State struct {
	tick             uint64
	lastToken        Token
	slotsRevision    uint64 // counts the changes of the slots of any lease, from firstRevision on
	lastSlotsRequest uint64 // RequestID of the last such change
	leases           map[string]*record
}

// firstRevision is the SlotsRevision of a State whose slots have never been changed.
const firstRevision = 1

// New returns a State without leases.
func New() *State { return &State{slotsRevision: firstRevision, leases: map[string]*record{}} }

// Apply applies the next command and returns the grant that it concerns, if any. A command that is rejected with an
// error changes nothing.
func (s *State) Apply(command Command) (Grant, error) {
	if command.Kind == Tick {
		s.applyTick()
		return Grant{}, nil
	}
	if !command.withinBounds() {
		return Grant{}, ErrInvalid
	}
	r, err := s.findOrAdd(command)
	if err != nil {
		return Grant{}, err
	}
	defer s.deleteIfUnused(command.Name)
	switch command.Kind {
	case Acquire:
		return s.acquire(r, command)
	case Renew:
		return s.renew(r, command)
	case Release:
		return r.release(command.Token)
	case SetMaxHolders:
		return Grant{}, s.setMaxHolders(r, command)
	case SetNote:
		return s.setNote(r, command)
	}
	return Grant{}, ErrInvalid
}

// applyTick advances the time by one tick, and removes the grants that have expired.
func (s *State) applyTick() {
	s.tick++
	for name, r := range s.leases {
		r.Grants = slices.DeleteFunc(r.Grants, func(g Grant) bool { return g.ExpiresAt <= s.tick })
		s.deleteIfUnused(name)
	}
}

// findOrAdd returns the lease that a command names. If there is none, it adds one, which the caller must remove with
// deleteIfUnused if the command does not change it. Commands of the kinds that can leave a new lease behind are
// rejected when there are maxLeases.
func (s *State) findOrAdd(command Command) (*record, error) {
	if r := s.leases[command.Name]; r != nil {
		return r, nil
	}
	mayAddLease := command.Kind == Acquire || command.Kind == SetMaxHolders
	if mayAddLease && len(s.leases) >= maxLeases {
		return nil, ErrFull
	}
	r := &record{MaxHolders: 1}
	s.leases[command.Name] = r
	return r, nil
}

// acquire grants a free slot to a holder. A repeated request returns the grant that the holder already has, and does
// not extend it.
func (s *State) acquire(r *record, command Command) (Grant, error) {
	if command.Holder == "" || command.Ticks == 0 {
		return Grant{}, ErrInvalid
	}
	isRepeat := func(g Grant) bool { return g.Holder == command.Holder && g.RequestID == command.RequestID }
	if i := slices.IndexFunc(r.Grants, isRepeat); i >= 0 {
		return r.Grants[i], nil
	}
	slot := r.firstFreeSlot()
	if slot >= r.MaxHolders || len(r.Grants) >= r.MaxHolders {
		return Grant{}, ErrNoFreeSlot
	}
	s.lastToken++
	grant := Grant{
		Name:      command.Name,
		Slot:      slot,
		Holder:    command.Holder,
		RequestID: command.RequestID,
		Token:     s.lastToken,
		ExpiresAt: s.tick + command.Ticks,
	}
	r.Grants = append(r.Grants, grant)
	slices.SortFunc(r.Grants, func(a, b Grant) int { return cmp.Compare(a.Slot, b.Slot) })
	return grant, nil
}

// renew extends a grant. It rejects the renewal if MaxHolders has been lowered and the lease no longer has the grant's
// slot.
func (s *State) renew(r *record, command Command) (Grant, error) {
	if command.Ticks == 0 {
		return Grant{}, ErrInvalid
	}
	i := r.indexOf(command.Token)
	if i < 0 {
		return Grant{}, ErrNotGranted
	}
	if r.Grants[i].Slot >= r.MaxHolders {
		return r.Grants[i], ErrSlotRemoved
	}
	r.Grants[i].ExpiresAt = max(r.Grants[i].ExpiresAt, s.tick+command.Ticks)
	return r.Grants[i], nil
}

// setNote replaces the note of a lease. Only a current holder may do that.
func (s *State) setNote(r *record, command Command) (Grant, error) {
	i := r.indexOf(command.Token)
	if i < 0 {
		return Grant{}, ErrNotGranted
	}
	isOrdered := command.NoteNumber > 0
	if isOrdered && r.NoteToken == command.Token && command.NoteNumber < r.NoteNumber {
		return Grant{}, ErrSuperseded
	}
	if r.Note == "" && command.NoteText != "" && s.countNotes() >= maxNotes {
		return Grant{}, ErrFull
	}
	if r.Note = command.NoteText; isOrdered {
		r.NoteToken, r.NoteNumber = command.Token, command.NoteNumber
	}
	return r.Grants[i], nil
}

func (s *State) countNotes() (count int) {
	for _, r := range s.leases {
		if r.Note != "" {
			count++
		}
	}
	return count
}

// deleteIfUnused deletes a lease that differs in nothing from a new one: it has no grants, no note and the default
// MaxHolders.
func (s *State) deleteIfUnused(name string) {
	r := s.leases[name]
	if r != nil && len(r.Grants) == 0 && r.MaxHolders == 1 && r.Note == "" {
		delete(s.leases, name)
	}
}

func (r *record) release(token Token) (Grant, error) {
	i := r.indexOf(token)
	if i < 0 {
		return Grant{}, ErrNotGranted
	}
	released := r.Grants[i]
	r.Grants = slices.Delete(r.Grants, i, i+1)
	return released, nil
}

// setMaxHolders changes the number of slots of a lease. An attempt of a conditional request that arrives after a later
// change is rejected. A repeated attempt of the request that made the last change succeeds.
func (s *State) setMaxHolders(r *record, command Command) error {
	if command.MaxHolders < 1 || command.MaxHolders > maxSlots {
		return ErrInvalid
	}
	isConditional := command.IfRevision > 0
	if isConditional && command.IfRevision != s.slotsRevision {
		if command.RequestID != 0 && command.RequestID == s.lastSlotsRequest {
			return nil
		}
		return ErrSuperseded
	}
	r.MaxHolders = command.MaxHolders
	s.slotsRevision++
	s.lastSlotsRequest = command.RequestID
	return nil
}

// SlotsRevision returns a number that grows with each change of the slots of any lease.
func (s *State) SlotsRevision() uint64 { return s.slotsRevision }

// indexOf returns the index of the grant with this token, or -1 if there is none.
func (r *record) indexOf(token Token) int {
	return slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Token == token })
}

// firstFreeSlot returns the lowest slot without a grant. It may be beyond the last slot of the lease.
func (r *record) firstFreeSlot() int {
	slot := 0
	for _, g := range r.Grants { // sorted by slot
		if g.Slot == slot {
			slot++
		}
	}
	return slot
}

// List returns all leases that have a grant, a note or a MaxHolders other than the default, sorted by name.
func (s *State) List() []Lease {
	listed := make([]Lease, 0, len(s.leases))
	for name, r := range s.leases {
		listed = append(listed, Lease{
			Name:       name,
			MaxHolders: r.MaxHolders,
			Grants:     slices.Clone(r.Grants),
			Note:       r.Note,
		})
	}
	slices.SortFunc(listed, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return listed
}

// HasGrants reports whether any lease has a grant. Ticks are needed only while that is the case.
func (s *State) HasGrants() bool {
	for _, r := range s.leases {
		if len(r.Grants) > 0 {
			return true
		}
	}
	return false
}

// TickCount returns the number of ticks that have been applied.
func (s *State) TickCount() uint64 { return s.tick }
