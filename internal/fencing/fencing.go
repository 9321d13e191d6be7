// Package fencing is the side of a lease that is acted upon: it refuses what an earlier holder sends. docs/lease-design.md says why.
package fencing

import "errors"

// Token is a fencing token. Of all grants of a group, a later one has a larger token.
type Token uint64

// Grant is a seat of a lease that somebody holds.
type Grant struct {
	Name      string `json:"name"`
	Slot      int    `json:"seat"` // from 0; each has a fence of its own
	Holder    string `json:"who,omitempty"`
	RequestID uint64 `json:"ask,omitempty"` // the asker's own number of the request that it answers
	Token     Token  `json:"token"`
	ExpiresAt uint64 `json:"till,omitempty"` // the tick at which it ends
}

// Why an act is refused where it lands.
var (
	ErrStaleToken = errors.New("the token is older than one that was seen")
	ErrBusy       = errors.New("an act of an older token is not over")
)

// fencesMost bounds the seats that a Fence knows by themselves.
const fencesMost = 1024

// SeenTokens is the newest token of each seat that is known, for whoever takes this one's place.
func (f *Fence) SeenTokens() []Grant {
	var all []Grant
	for k, s := range f.seats {
		all = append(all, Grant{Name: k.name, Slot: k.seat, Token: s.newest})
	}
	return all
}

// RestoreTokens takes in what another one has Seen.
func (f *Fence) RestoreTokens(seen []Grant) {
	for _, g := range seen {
		k := seat{g.Name, g.Slot}
		if f.seats[k] == nil {
			f.makeRoom()
			f.seats[k] = &fenced{}
		}
		f.seats[k].newest = max(f.seats[k].newest, g.Token)
	}
}

type seat struct {
	name string
	seat int
}

type fenced struct {
	newest  Token
	running Token // 0: nothing
	acts    int
}

// Fence is the side acted upon: it refuses what an earlier holder sends, whatever that believes, and begins nothing for a later one
// before the earlier one's act is over. It is as lasting as whoever keeps it: one that starts anew knows nothing, unless it is
// given a floor.
type Fence struct {
	MinToken Token // below this nothing is taken, of whatever seat
	seats    map[seat]*fenced
}

// Begin asks for an act under a grant. Each that was let in must End.
func (f *Fence) Begin(g Grant) error {
	k := seat{g.Name, g.Slot}
	s := f.seats[k]
	switch {
	case s == nil && g.Token < f.MinToken:
		return ErrStaleToken
	case s == nil:
		f.makeRoom()
		s = &fenced{}
		f.seats[k] = s
	case g.Token < s.newest:
		return ErrStaleToken
	}
	s.newest = g.Token // also where it has to wait: from here on the earlier holder begins nothing more
	if s.acts > 0 && s.running != g.Token {
		return ErrBusy
	}
	s.running, s.acts = g.Token, s.acts+1
	return nil
}

// End is the end of an act that Begin let in.
func (f *Fence) End(g Grant) {
	if s := f.seats[seat{g.Name, g.Slot}]; s != nil && s.running == g.Token && s.acts > 0 {
		s.acts--
	}
}

// makeRoom forgets the seat that was last used the longest ago, by its token. What could be older than that is not taken any
// more: tokens count for the whole group.
func (f *Fence) makeRoom() {
	if f.seats == nil {
		f.seats = map[seat]*fenced{}
	}
	if len(f.seats) < fencesMost {
		return
	}
	var oldest seat
	least := Token(0)
	for k, s := range f.seats {
		if s.acts == 0 && (least == 0 || s.newest < least) {
			oldest, least = k, s.newest
		}
	}
	if least > 0 {
		f.MinToken = max(f.MinToken, least)
		delete(f.seats, oldest)
	}
}
