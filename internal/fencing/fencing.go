// Package fencing is the side of a lease that is acted upon: it rejects actions of earlier holders. docs/lease-design.md says why.
package fencing

import "errors"

// Token is a fencing token. A later grant of a group has a larger token than all earlier ones.
type Token uint64

// Grant is a slot of a lease that somebody holds. Its JSON form is stored and sent over HTTP.
type Grant struct {
	Name      string `json:"name"`
	Slot      int    `json:"seat"` // from 0; each is fenced separately
	Holder    string `json:"who,omitempty"`
	RequestID uint64 `json:"ask,omitempty"` // the holder's number of the request that was answered by this grant
	Token     Token  `json:"token"`
	ExpiresAt uint64 `json:"till,omitempty"` // a tick
}

// Reasons why a Fence rejects an action.
var (
	ErrStaleToken = errors.New("the token is older than one that was seen")
	ErrBusy       = errors.New("an act of an older token is not over")
)

// maxSlots bounds the slots whose tokens a Fence remembers.
const maxSlots = 1024

// Fence rejects the actions of earlier holders, whatever those believe, and begins none for a later holder before the earlier one's is
// over. It is not durable: a new Fence knows no tokens, unless it gets a MinToken or those of its predecessor. It is not safe for
// concurrent use.
type Fence struct {
	MinToken Token // smaller tokens are rejected for slots that are not remembered
	slots    map[slotKey]*slotState
}

// slotKey identifies a slot of a lease.
type slotKey struct {
	name string
	slot int
}

// slotState is what is remembered of a slot.
type slotState struct {
	newestToken    Token
	runningToken   Token // of the running actions, or of those that ran last
	runningActions int
}

// Begin begins an action under a grant. Each action that was begun without an error must be ended by End.
func (f *Fence) Begin(grant Grant) error {
	key := slotKey{grant.Name, grant.Slot}
	state := f.slots[key]
	switch {
	case state == nil && grant.Token < f.MinToken:
		return ErrStaleToken
	case state == nil:
		f.evictOldest()
		state = &slotState{}
		f.slots[key] = state
	case grant.Token < state.newestToken:
		return ErrStaleToken
	}
	state.newestToken = grant.Token // even if ErrBusy follows: from now on the earlier holder can't begin anything
	if state.runningActions > 0 && state.runningToken != grant.Token {
		return ErrBusy
	}
	state.runningToken = grant.Token
	state.runningActions++
	return nil
}

// End ends an action that was begun.
func (f *Fence) End(grant Grant) {
	state := f.slots[slotKey{grant.Name, grant.Slot}]
	if state != nil && state.runningToken == grant.Token && state.runningActions > 0 {
		state.runningActions--
	}
}

// SeenTokens returns the newest token of each remembered slot, for the Fence that takes this one's place.
func (f *Fence) SeenTokens() []Grant {
	var seen []Grant
	for key, state := range f.slots {
		seen = append(seen, Grant{Name: key.name, Slot: key.slot, Token: state.newestToken})
	}
	return seen
}

// RestoreTokens takes over what SeenTokens of another Fence returned.
func (f *Fence) RestoreTokens(seen []Grant) {
	for _, grant := range seen {
		key := slotKey{grant.Name, grant.Slot}
		if f.slots[key] == nil {
			f.evictOldest()
			f.slots[key] = &slotState{}
		}
		f.slots[key].newestToken = max(f.slots[key].newestToken, grant.Token)
	}
}

// evictOldest makes room for one slot. It forgets the idle slot with the smallest token, and raises MinToken to that token: since tokens
// grow over all leases of a group, no stale token of the forgotten slot can be accepted later.
func (f *Fence) evictOldest() {
	if f.slots == nil {
		f.slots = map[slotKey]*slotState{}
	}
	if len(f.slots) < maxSlots {
		return
	}
	var oldest slotKey
	oldestToken := Token(0)
	for key, state := range f.slots {
		if state.runningActions == 0 && (oldestToken == 0 || state.newestToken < oldestToken) {
			oldest, oldestToken = key, state.newestToken
		}
	}
	if oldestToken > 0 {
		f.MinToken = max(f.MinToken, oldestToken)
		delete(f.slots, oldest)
	}
}
