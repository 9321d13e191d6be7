// Package lease is leases for tasks that one process of a fleet, or at most k, may do at a time. It has no I/O: State is what a
// group agrees on, command by command; Guard is the holder's side; that of what is acted upon is in
// package fence. docs/lease-design.md says what holds and why.
package lease

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"tulipglade/internal/fencing"
)

// What a grant is, and the side acted upon, in a package that a node can link.
type (
	Token = fencing.Token
	Grant = fencing.Grant
)

// Kind says what a Command does.
type Kind uint8

// The kinds of commands.
const (
	Tick          Kind = iota // an interval has gone by
	Acquire                   // Name, Who, Ask, Ticks: a seat, if one is free
	Renew                     // Name, Token, Ticks: it ends no sooner than so many ticks from now
	Release                   // Name, Token
	SetMaxHolders             // Name, Most: how many may hold it; 1 where nothing was said
	SetNote                   // Name, Token, Text: what its holder leaves for the next one, such as how far it got; empty: nothing
)

// Command is what a group agrees to do next.
type Command struct {
	Kind       Kind   `json:"kind"`
	Name       string `json:"name,omitempty"`
	Holder     string `json:"who,omitempty"`
	RequestID  uint64 `json:"ask,omitempty"`
	Token      Token  `json:"token,omitempty"`
	Ticks      uint64 `json:"ticks,omitempty"`
	MaxHolders int    `json:"most,omitempty"`
	Text       string `json:"text,omitempty"`
}

// Why a command is refused. A refusal changes nothing.
var (
	ErrNoFreeSlot = errors.New("all seats are held")
	ErrNotGranted = errors.New("no such grant: it has ended, or never was")
	ErrFewer      = errors.New("fewer may hold it now: this seat is not renewed")
	ErrInvalid    = errors.New("a command that makes no sense")
	ErrFull       = errors.New("too many leases")
)

// MaxNoteBytes is how many bytes a note may have: that of a rolling change names up to 1,024 nodes, each by up to nameMost
// bytes. notesMost of them make 20 MB, and more where a snapshot has to quote what is in them.
const MaxNoteBytes = 160 << 10

// Bounds of what a State holds.
const (
	nameMost   = 128     // bytes of Name and Who
	notesMost  = 128     // names with a note
	leasesMost = 4096    // names with a holder, or with a number of seats of their own
	seatsMost  = 1024    // of one lease
	ticksMost  = 1 << 20 // of one grant
)

// lease is one name.
type lease struct {
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // by seat
	Note       string  `json:"note,omitempty"`
}

// State is what a group agrees on. The same commands in the same order give the same State and the same answers.
type State struct {
	tick   uint64
	token  Token
	leases map[string]*lease
}

// New returns a State in which nothing is held.
func New() *State { return &State{leases: map[string]*lease{}} }

// Apply carries out the next command.
func (s *State) Apply(c Command) (Grant, error) {
	if c.Kind == Tick {
		s.tick++
		for name, l := range s.leases {
			l.Grants = slices.DeleteFunc(l.Grants, func(g Grant) bool { return g.ExpiresAt <= s.tick })
			s.tidy(name)
		}
		return Grant{}, nil
	}
	if c.Name == "" || len(c.Name) > nameMost || len(c.Holder) > nameMost || c.Ticks > ticksMost || len(c.Text) > MaxNoteBytes {
		return Grant{}, ErrInvalid
	}
	l := s.leases[c.Name]
	if l == nil {
		if l = (&lease{MaxHolders: 1}); len(s.leases) >= leasesMost && (c.Kind == Acquire || c.Kind == SetMaxHolders) {
			return Grant{}, ErrFull
		}
		s.leases[c.Name] = l
	}
	defer s.tidy(c.Name)
	at := slices.IndexFunc(l.Grants, func(g Grant) bool {
		return c.Kind == Acquire && g.Holder == c.Holder && g.RequestID == c.RequestID || c.Kind != Acquire && g.Token == c.Token
	})
	switch {
	case c.Kind == SetMaxHolders:
		if c.MaxHolders < 1 || c.MaxHolders > seatsMost {
			return Grant{}, ErrInvalid
		}
		l.MaxHolders = c.MaxHolders
		return Grant{}, nil
	case c.Kind == Acquire && (c.Holder == "" || c.Ticks == 0), c.Kind == Renew && c.Ticks == 0, c.Kind > SetNote:
		return Grant{}, ErrInvalid
	case c.Kind == Acquire && at >= 0: // asked twice: it has it already, and no longer for that
		return l.Grants[at], nil
	case c.Kind == Acquire:
		return s.acquire(l, c)
	case at < 0:
		return Grant{}, ErrNotGranted
	case c.Kind == Release:
		g := l.Grants[at]
		l.Grants = slices.Delete(l.Grants, at, at+1)
		return g, nil
	case c.Kind == SetNote && l.Note == "" && c.Text != "" && s.notes() >= notesMost:
		return Grant{}, ErrFull
	case c.Kind == SetNote:
		l.Note = c.Text
		return l.Grants[at], nil
	case l.Grants[at].Slot >= l.MaxHolders:
		return l.Grants[at], ErrFewer
	}
	l.Grants[at].ExpiresAt = max(l.Grants[at].ExpiresAt, s.tick+c.Ticks)
	return l.Grants[at], nil
}

func (s *State) acquire(l *lease, c Command) (Grant, error) {
	seat := 0
	for _, g := range l.Grants { // by seat: the first gap
		if g.Slot == seat {
			seat++
		}
	}
	if seat >= l.MaxHolders || len(l.Grants) >= l.MaxHolders {
		return Grant{}, ErrNoFreeSlot
	}
	s.token++
	g := Grant{Name: c.Name, Slot: seat, Holder: c.Holder, RequestID: c.RequestID, Token: s.token, ExpiresAt: s.tick + c.Ticks}
	l.Grants = append(l.Grants, g)
	slices.SortFunc(l.Grants, func(a, b Grant) int { return cmp.Compare(a.Slot, b.Slot) })
	return g, nil
}

func (s *State) notes() (n int) {
	for _, l := range s.leases {
		if l.Note != "" {
			n++
		}
	}
	return n
}

// tidy forgets a name of which nothing is to be remembered.
func (s *State) tidy(name string) {
	if l := s.leases[name]; l != nil && len(l.Grants) == 0 && l.MaxHolders == 1 && l.Note == "" {
		delete(s.leases, name)
	}
}

// Lease is what is known of one.
type Lease struct {
	Name       string  `json:"name"`
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // by seat
	Note       string  `json:"note,omitempty"`
}

// All are the leases of which something is known, by name.
func (s *State) All() []Lease {
	all := make([]Lease, 0, len(s.leases))
	for name, l := range s.leases {
		all = append(all, Lease{name, l.MaxHolders, slices.Clone(l.Grants), l.Note})
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Granted tells whether anybody holds anything: without it time need not go on.
func (s *State) Granted() bool {
	for _, l := range s.leases {
		if len(l.Grants) > 0 {
			return true
		}
	}
	return false
}

// Now is the tick that was applied last.
func (s *State) Now() uint64 { return s.tick }

// version is that of the form of a snapshot.
const version = 1

type snapshot struct {
	Version int               `json:"version"`
	Tick    uint64            `json:"tick"`
	Token   Token             `json:"token"`
	Leases  map[string]*lease `json:"leases"`
}

// Snapshot is the whole State as bytes; of equal States they are equal.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{version, s.tick, s.token, s.leases}) // maps in the order of their keys
}

// Restore reads a Snapshot, or says what is wrong with it.
func Restore(raw []byte) (*State, error) {
	var in snapshot
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("snapshot of leases: %w", err)
	}
	if in.Version != version {
		return nil, fmt.Errorf("snapshot of leases: version %d, this program reads %d", in.Version, version)
	}
	s := &State{in.Tick, in.Token, map[string]*lease{}}
	for name, l := range in.Leases {
		if l == nil || l.MaxHolders < 1 {
			return nil, fmt.Errorf("snapshot of leases: %q: nothing, or no seats", name)
		}
		for i, g := range l.Grants {
			if g.Name != name || g.Token > in.Token || g.ExpiresAt <= in.Tick || i > 0 && g.Slot <= l.Grants[i-1].Slot {
				return nil, fmt.Errorf("snapshot of leases: %q: seat %d makes no sense", name, g.Slot)
			}
		}
		s.leases[name] = l
	}
	return s, nil
}
