package fencing

import (
	"errors"
	"testing"
)

// A Fence rejects tokens older than the newest one of the slot, and rejects a newer one while an action of an older one
// is running. When it forgets a slot to stay within maxSlots, it still accepts no stale token of that slot.
func TestFenceRejectsStaleTokens(t *testing.T) {
	var f Fence
	grant := func(name string, slot int, token Token) Grant { return Grant{Name: name, Slot: slot, Token: token} }
	checkBegin := func(g Grant, err error) {
		t.Helper()
		if got := f.Begin(g); !errors.Is(got, err) {
			t.Errorf("%+v: %v, want %v", g, got, err)
		}
	}
	checkBegin(grant("x", 0, 5), nil)
	checkBegin(grant("x", 1, 3), nil) // another slot
	checkBegin(grant("x", 0, 5), nil) // two concurrent actions of one holder
	checkBegin(grant("x", 0, 8), ErrBusy)
	f.End(grant("x", 0, 5))
	checkBegin(grant("x", 0, 8), ErrBusy)
	checkBegin(grant("x", 0, 5), ErrStaleToken) // the newer token has been seen
	f.End(grant("x", 0, 5))
	checkBegin(grant("x", 0, 8), nil)
	for i := range maxSlots {
		g := grant("y", i, Token(100+i))
		checkBegin(g, nil)
		f.End(g)
	}
	if len(f.slots) > maxSlots {
		t.Errorf("%d slots are remembered, which is more than the maximum", len(f.slots))
	}
	checkBegin(grant("z", 0, 99), ErrStaleToken) // the slot may have been forgotten
	checkBegin(grant("x", 0, 7), ErrStaleToken)  // an action is running, so this slot is not forgotten
	checkBegin(grant("z", 0, 5000), nil)
	if f.MinToken < 100 {
		t.Error(f.MinToken)
	}
}

// A Fence that replaces another one and has been given its tokens rejects the same stale tokens, and accepts newer
// ones.
func TestRestoredTokensAreRejectedByNextFence(t *testing.T) {
	var predecessor, successor Fence
	for _, g := range []Grant{{Name: "x", Token: 7}, {Name: "x", Slot: 1, Token: 5}, {Name: "y", Token: 6}} {
		if err := predecessor.Begin(g); err != nil {
			t.Fatal(err)
		}
	}
	successor.RestoreTokens(predecessor.SeenTokens())
	successor.RestoreTokens([]Grant{{Name: "x", Token: 3}}) // an older token changes nothing
	for _, c := range []struct {
		Grant
		want error
	}{
		{Grant{Name: "x", Token: 6}, ErrStaleToken},
		{Grant{Name: "x", Token: 7}, nil},
		{Grant{Name: "x", Slot: 1, Token: 6}, nil},
		{Grant{Name: "y", Token: 5}, ErrStaleToken},
		{Grant{Name: "z", Token: 1}, nil},
	} {
		if err := successor.Begin(c.Grant); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.Grant, err, c.want)
		}
	}
}
