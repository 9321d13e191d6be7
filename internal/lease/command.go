package lease

import "errors"

// Kind says what a Command does.
type Kind uint8

// The kinds of commands, with the fields that they use.
const (
	Tick          Kind = iota // an interval has passed
	Acquire                   // Name, Holder, RequestID, Ticks: grant a slot, if one is free
	Renew                     // Name, Token, Ticks: expire no sooner than this many ticks from now
	Release                   // Name, Token
	SetMaxHolders             // Name, MaxHolders: 1 unless it has been set
	SetNote                   // Name, Token, NoteText: a note for the next holder, such as how far a task got; empty: none
)

// Command is an operation on the State. Its JSON form is stored and sent over HTTP.
type Command struct {
	Kind       Kind   `json:"kind"`
	Name       string `json:"name,omitempty"`
	Holder     string `json:"who,omitempty"`
	RequestID  uint64 `json:"ask,omitempty"`
	Token      Token  `json:"token,omitempty"`
	Ticks      uint64 `json:"ticks,omitempty"`
	MaxHolders int    `json:"most,omitempty"`
	NoteText   string `json:"text,omitempty"`
}

// Reasons why a command is rejected. A rejected command changes nothing. Agents send the texts to their clients.
var (
	ErrNoFreeSlot  = errors.New("all seats are held")
	ErrNotGranted  = errors.New("no such grant: it has ended, or never was")
	ErrSlotRemoved = errors.New("fewer may hold it now: this seat is not renewed")
	ErrInvalid     = errors.New("a command that makes no sense")
	ErrFull        = errors.New("too many leases")
)

// MaxNoteBytes bounds a note. That of a rollout names up to 1,024 nodes, each by up to maxNameBytes. Notes of maxNotes leases take 20 MB
// in memory, and more in a snapshot that has to escape them.
const MaxNoteBytes = 160 << 10

// Bounds of a State.
const (
	maxNameBytes  = 128     // of Name and Holder
	maxNotes      = 128     // leases with a note
	maxLeases     = 4096    // leases with a grant, or with a MaxHolders of their own
	maxSlots      = 1024    // of one lease
	maxGrantTicks = 1 << 20 // duration of a grant
)

// withinBounds reports whether all fields of a command other than Tick are within their bounds.
func (c Command) withinBounds() bool {
	return c.Name != "" &&
		len(c.Name) <= maxNameBytes &&
		len(c.Holder) <= maxNameBytes &&
		c.Ticks <= maxGrantTicks &&
		len(c.NoteText) <= MaxNoteBytes
}
