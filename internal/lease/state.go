package lease

import (
	"cmp"
	"slices"
)

// record is the state of one lease.
type record struct {
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // by slot
	Note       string  `json:"note,omitempty"`
}

// State is the replicated state machine. The same commands in the same order give the same State and the same results.
type State struct {
	tick      uint64
	lastToken Token
	leases    map[string]*record
}

// New returns a State without leases.
func New() *State { return &State{leases: map[string]*record{}} }

// Apply applies the next command.
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
		return Grant{}, r.setMaxHolders(command.MaxHolders)
	case SetNote:
		return s.setNote(r, command)
	}
	return Grant{}, ErrInvalid
}

// applyTick advances the time, and removes the grants that have expired.
func (s *State) applyTick() {
	s.tick++
	for name, r := range s.leases {
		r.Grants = slices.DeleteFunc(r.Grants, func(g Grant) bool { return g.ExpiresAt <= s.tick })
		s.deleteIfUnused(name)
	}
}

// findOrAdd returns the lease of a command. A new one is added, to be removed again by deleteIfUnused if the command leaves it as it
// is.
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

// acquire grants a free slot. A repeated request returns the grant that it already has, and does not extend it.
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

// renew extends a grant, unless its slot is beyond a MaxHolders that has been lowered.
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

// setNote replaces the note of a lease, which only a holder may do.
func (s *State) setNote(r *record, command Command) (Grant, error) {
	i := r.indexOf(command.Token)
	if i < 0 {
		return Grant{}, ErrNotGranted
	}
	if r.Note == "" && command.NoteText != "" && s.countNotes() >= maxNotes {
		return Grant{}, ErrFull
	}
	r.Note = command.NoteText
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

// deleteIfUnused deletes a lease that is as one that was never named.
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

func (r *record) setMaxHolders(maxHolders int) error {
	if maxHolders < 1 || maxHolders > maxSlots {
		return ErrInvalid
	}
	r.MaxHolders = maxHolders
	return nil
}

// indexOf returns the index of the grant with a token, or -1.
func (r *record) indexOf(token Token) int {
	return slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Token == token })
}

// firstFreeSlot returns the lowest slot without a grant.
func (r *record) firstFreeSlot() int {
	slot := 0
	for _, g := range r.Grants { // sorted by slot
		if g.Slot == slot {
			slot++
		}
	}
	return slot
}

// List returns all leases that have a grant, a note or a MaxHolders of their own, sorted by name.
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

// HasGrants reports whether any grant exists. Ticks are needed only while one does.
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
