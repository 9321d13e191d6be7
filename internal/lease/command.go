package lease

import "errors"

// Kind is the kind of operation that a Command performs.
type Kind uint8

// The kinds of commands. Each comment lists the fields that the command uses.
const (
	Tick          Kind = iota // none: advance the time by one tick, after an interval has passed
	Acquire                   // Name, Holder, RequestID, Ticks: grant a free slot for this many ticks
	Renew                     // Name, Token, Ticks: let the grant expire no sooner than this many ticks from now
	Release                   // Name, Token: end the grant
	SetMaxHolders             // Name, MaxHolders, RequestID, IfRevision: set the number of slots, which is 1 by default
	SetNote                   // Name, Token, NoteText, NoteNumber: set the note for the next holder, or delete it if empty
)

// Command is an operation on a State. Its JSON form is stored and sent over HTTP.
type Command struct {
	Kind       Kind   `json:"kind"`
	Name       string `json:"name,omitempty"`
	Holder     string `json:"who,omitempty"`
	RequestID  uint64 `json:"ask,omitempty"`
	Token      Token  `json:"token,omitempty"`
	Ticks      uint64 `json:"ticks,omitempty"`
	MaxHolders int    `json:"most,omitempty"`
	NoteText   string `json:"text,omitempty"`

	// IfRevision makes SetMaxHolders conditional: it is rejected if the slots of any lease have been changed since
	// State.SlotsRevision had this value, unless this very request has changed them. 0: it is not conditional.
	IfRevision uint64 `json:"if_revision,omitempty"`
	// NoteNumber orders the notes that are set under one token: an earlier one does not replace a later one. 0: the note
	// is not ordered.
	NoteNumber uint64 `json:"note_number,omitempty"`
}

// Errors with which a command is rejected. A rejected command changes nothing. Agents send the texts to their clients.
var (
	ErrNoFreeSlot  = errors.New("all seats are held")
	ErrNotGranted  = errors.New("no such grant: it has ended, or never was")
	ErrSlotRemoved = errors.New("fewer may hold it now: this seat is not renewed")
	ErrInvalid     = errors.New("a command that makes no sense")
	ErrSuperseded  = errors.New("a later change has been made")
	ErrFull        = errors.New("too many leases")
)

// MaxNoteBytes is the maximum length of a note, which holds the progress of a holder's task, for example. The note of a
// rollout holds the names of up to 1,024 nodes, each of up to maxNameBytes. The notes of maxNotes leases take up to 20
// MB in memory, and more in a snapshot, where JSON has to escape them.
const MaxNoteBytes = 160 << 10

// Limits of a State.
const (
	maxNameBytes  = 128     // length of Name and of Holder
	maxNotes      = 128     // number of leases with a note
	maxLeases     = 4096    // number of leases that are stored
	maxSlots      = 1024    // number of slots of one lease
	maxGrantTicks = 1 << 20 // duration of a grant, in ticks
)

// withinBounds reports whether the fields of a command are within the limits above, apart from MaxHolders, which
// setMaxHolders checks. A Tick has no name and must not be checked.
func (c Command) withinBounds() bool {
	return c.Name != "" &&
		len(c.Name) <= maxNameBytes &&
		len(c.Holder) <= maxNameBytes &&
		c.Ticks <= maxGrantTicks &&
		len(c.NoteText) <= MaxNoteBytes
}
