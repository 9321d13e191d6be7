package fencing

import (
	"errors"
	"testing"
)

// What is acted upon takes no older token, begins nothing while an older act goes on, and forgets seats without taking what is older.
func TestFence(t *testing.T) {
	var f Fence
	at := func(name string, seat int, token Token) Grant { return Grant{Name: name, Slot: seat, Token: token} }
	want := func(g Grant, err error) {
		t.Helper()
		if got := f.Begin(g); !errors.Is(got, err) {
			t.Errorf("%+v: %v, want %v", g, got, err)
		}
	}
	want(at("x", 0, 5), nil)
	want(at("x", 1, 3), nil) // another seat
	want(at("x", 0, 5), nil) // two at once of one holder
	want(at("x", 0, 8), ErrBusy)
	f.End(at("x", 0, 5))
	want(at("x", 0, 8), ErrBusy)
	want(at("x", 0, 5), ErrStaleToken) // the newer one has been here
	f.End(at("x", 0, 5))
	want(at("x", 0, 8), nil)
	for i := range fencesMost {
		g := at("y", i, Token(100+i))
		want(g, nil)
		f.End(g)
	}
	if len(f.seats) > fencesMost {
		t.Errorf("%d seats known", len(f.seats))
	}
	want(at("z", 0, 99), ErrStaleToken) // of a seat that may have been forgotten
	want(at("x", 0, 7), ErrStaleToken)  // its act goes on: it is not forgotten
	want(at("z", 0, 5000), nil)
	if f.MinToken < 100 {
		t.Error(f.MinToken)
	}
}

// Who takes a fence's place refuses what that would have refused, and lets in what is newer.
func TestWhatWasSeenGoesOver(t *testing.T) {
	var old, next Fence
	for _, g := range []Grant{{Name: "x", Token: 7}, {Name: "x", Slot: 1, Token: 5}, {Name: "y", Token: 6}} {
		if err := old.Begin(g); err != nil {
			t.Fatal(err)
		}
	}
	next.RestoreTokens(old.SeenTokens())
	next.RestoreTokens([]Grant{{Name: "x", Token: 3}}) // nothing is forgotten for what is older
	for _, c := range []struct {
		Grant
		want error
	}{{Grant{Name: "x", Token: 6}, ErrStaleToken}, {Grant{Name: "x", Token: 7}, nil}, {Grant{Name: "x", Slot: 1, Token: 6}, nil}, {Grant{Name: "y", Token: 5}, ErrStaleToken},
		{Grant{Name: "z", Token: 1}, nil}} {
		if err := next.Begin(c.Grant); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.Grant, err, c.want)
		}
	}
}
