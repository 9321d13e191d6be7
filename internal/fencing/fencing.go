// Package fencing protects the target of actions that are performed under a lease: it rejects the actions of earlier
// holders. docs/lease-design.md describes the reasons.
package fencing

import "errors"

// Token is a fencing token. Each grant of a group has a larger token than all earlier grants of that group, whatever
// their lease.
type Token uint64

// Grant is a holder's right to one slot of a lease. Its JSON form is stored and sent over HTTP.
type Grant struct {
	Name      string `json:"name"`
	Slot      int    `json:"seat"` // numbered from 0; a Fence treats each slot separately
	Holder    string `json:"who,omitempty"`
	RequestID uint64 `json:"ask,omitempty"` // the number that the holder gave to the request for this grant
	Token     Token  `json:"token"`
	ExpiresAt uint64 `json:"till,omitempty"` // the tick at which the grant expires, unless it is renewed
}

// Errors with which a Fence rejects an action. They are sent to clients over HTTP.
var (
	ErrStaleToken = errors.New("the token is older than one that was seen")
	ErrBusy       = errors.New("an act of an older token is not over")
)

// maxSlots is the maximum number of slots whose tokens a Fence remembers.
const maxSlots = 1024

// Fence decides which actions a target accepts. It rejects the actions of an earlier holder, even if that holder
// believes that it still has the lease, and it rejects those of a later holder while an action of the earlier one is
// running. A Fence is not durable: a new one knows no tokens, unless it is given a MinToken or the tokens of its
// predecessor. It is not safe for concurrent use.
type Fence struct {
	MinToken Token // for slots that are not remembered, smaller tokens are rejected
	slots    map[slotKey]*slotState
}

// slotKey identifies a slot of a lease.
type slotKey struct {
	name string
	slot int
}

// slotState holds the tokens of a slot and the number of its running actions.
type slotState struct {
	newestToken    Token
	runningToken   Token // the token of the running actions, or of the last ones that ran
	runningActions int
}

// Begin begins an action under a grant, or returns the error with which the action is rejected. The caller must call
// End once an action that was begun without an error has ended.
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
	state.newestToken = grant.Token // even if ErrBusy follows, so that the earlier holder can begin no further action
	if state.runningActions > 0 && state.runningToken != grant.Token {
		return ErrBusy
	}
	state.runningToken = grant.Token
	state.runningActions++
	return nil
}

// End records that an action under a grant has ended.
func (f *Fence) End(grant Grant) {
	state := f.slots[slotKey{grant.Name, grant.Slot}]
	if state != nil && state.runningToken == grant.Token && state.runningActions > 0 {
		state.runningActions--
	}
}

// SeenTokens returns the newest token of each remembered slot. The Fence that replaces this one must be given them by
// RestoreTokens.
func (f *Fence) SeenTokens() []Grant {
	var seen []Grant
	for key, state := range f.slots {
		seen = append(seen, Grant{Name: key.name, Slot: key.slot, Token: state.newestToken})
	}
	return seen
}

// RestoreTokens adds the tokens that SeenTokens of another Fence has returned. It never lowers a token that this Fence
// has seen.
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

// evictOldest makes room for one more slot if maxSlots are remembered. It forgets the idle slot with the smallest token
// and raises MinToken to that token. Since tokens grow over all leases of a group, no stale token of the forgotten slot
// can be accepted later. If no slot is idle, all of them stay.
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
