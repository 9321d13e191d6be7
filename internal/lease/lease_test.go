package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestApply(t *testing.T) {
	s := New()
	for i, c := range []struct {
		Command
		err       error
		token     Token
		expiresAt uint64
	}{
		{Command{Kind: Acquire, Name: "roll", Holder: "a", RequestID: 1, Ticks: 3}, nil, 1, 3},
		{Command{Kind: Acquire, Name: "roll", Holder: "b", RequestID: 1, Ticks: 3}, ErrNoFreeSlot, 0, 0},
		{Command{Kind: Tick}, nil, 0, 0},
		{Command{Kind: Acquire, Name: "roll", Holder: "a", RequestID: 1, Ticks: 9}, nil, 1, 3}, // repeated: not extended
		{Command{Kind: Acquire, Name: "roll", Holder: "a", RequestID: 2, Ticks: 3}, ErrNoFreeSlot, 0, 0},
		{Command{Kind: Renew, Name: "roll", Token: 1, Ticks: 3}, nil, 1, 4},
		{Command{Kind: Renew, Name: "roll", Token: 1, Ticks: 1}, nil, 1, 4}, // a renewal never shortens the grant
		{Command{Kind: Renew, Name: "other", Token: 1, Ticks: 3}, ErrNotGranted, 0, 0},
		{Command{Kind: Tick}, nil, 0, 0},
		{Command{Kind: Tick}, nil, 0, 0},
		{Command{Kind: Renew, Name: "roll", Token: 1, Ticks: 1}, nil, 1, 4},
		{Command{Kind: Tick}, nil, 0, 0},
		{Command{Kind: Renew, Name: "roll", Token: 1, Ticks: 3}, ErrNotGranted, 0, 0}, // the grant has expired
		{Command{Kind: Acquire, Name: "roll", Holder: "b", RequestID: 1, Ticks: 3}, nil, 2, 7},
		{Command{Kind: Release, Name: "roll", Token: 1}, ErrNotGranted, 0, 0}, // too late: another holder has the lease
		{Command{Kind: Release, Name: "roll", Token: 2}, nil, 2, 7},
		{Command{Kind: SetMaxHolders, Name: "roll", MaxHolders: 2}, nil, 0, 0},
		{Command{Kind: Acquire, Name: "roll", Holder: "a", RequestID: 3, Ticks: 9}, nil, 3, 13},
		{Command{Kind: Acquire, Name: "roll", Holder: "b", RequestID: 2, Ticks: 9}, nil, 4, 13},
		{Command{Kind: SetMaxHolders, Name: "roll", MaxHolders: 1}, nil, 0, 0}, // while there are two holders
		{Command{Kind: Renew, Name: "roll", Token: 3, Ticks: 10}, nil, 3, 14},
		{Command{Kind: Renew, Name: "roll", Token: 4, Ticks: 10}, ErrSlotRemoved, 4, 13},
		{Command{Kind: Release, Name: "roll", Token: 3}, nil, 3, 14},
		{Command{Kind: Acquire, Name: "roll", Holder: "c", RequestID: 1, Ticks: 3}, ErrNoFreeSlot, 0, 0}, // the other slot is still held
		{Command{Kind: Acquire, Name: "", Holder: "c", RequestID: 1, Ticks: 3}, ErrInvalid, 0, 0},
		{Command{Kind: Acquire, Name: "x", Holder: "c", RequestID: 1}, ErrInvalid, 0, 0},
		{Command{Kind: Acquire, Name: "x", Holder: "c", RequestID: 1, Ticks: maxGrantTicks + 1}, ErrInvalid, 0, 0},
		{Command{Kind: SetMaxHolders, Name: "x"}, ErrInvalid, 0, 0},
		{Command{Kind: 9, Name: "x"}, ErrInvalid, 0, 0},
	} {
		g, err := s.Apply(c.Command)
		if !errors.Is(err, c.err) || g.Token != c.token || g.ExpiresAt != c.expiresAt {
			t.Errorf("%d: %+v: %+v %v, want %d until %d, %v", i, c.Command, g, err, c.token, c.expiresAt, c.err)
		}
	}
	if len(s.leases) != 1 {
		t.Errorf("%d leases, want 1", len(s.leases))
	}
}

// A change that arrives after a later one does not undo it. Guards against a failure in which a late first attempt of
// "lease slots" let two hold a lease again for which an operator had set one slot since.
func TestLateAttemptDoesNotUndoLaterChange(t *testing.T) {
	s := New()
	two := Command{Kind: SetMaxHolders, Name: "job", MaxHolders: 2, RequestID: 1, IfRevision: s.SlotsRevision()}
	apply := func(command Command, want error) {
		t.Helper()
		if _, err := s.Apply(command); !errors.Is(err, want) {
			t.Errorf("%+v: %v, want %v", command, err, want)
		}
	}
	apply(two, nil)
	apply(two, nil) // the second attempt of the same call, whose first one was answered too late
	one := Command{Kind: SetMaxHolders, Name: "job", MaxHolders: 1, RequestID: 2, IfRevision: s.SlotsRevision()}
	apply(one, nil) // the lease differs in nothing from a new one now, and is deleted
	restored, err := Restore(mustSnapshot(t, s))
	if err != nil {
		t.Fatal(err)
	}
	s = restored
	apply(two, ErrSuperseded)
	apply(Command{Kind: Acquire, Name: "job", Holder: "a", RequestID: 1, Ticks: 9}, nil)
	apply(Command{Kind: Acquire, Name: "job", Holder: "b", RequestID: 1, Ticks: 9}, ErrNoFreeSlot)
	apply(Command{Kind: SetNote, Name: "job", Token: 1, NoteText: "second", NoteNumber: 2}, nil)
	apply(Command{Kind: SetNote, Name: "job", Token: 1, NoteText: "first", NoteNumber: 1}, ErrSuperseded)
	if note := s.List()[0].Note; note != "second" {
		t.Errorf("the note is %q", note)
	}
}

func mustSnapshot(t *testing.T, s *State) []byte {
	t.Helper()
	raw, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// For any commands in any order, tokens only grow, each slot has at most one grant, rejected commands change nothing,
// unused leases are deleted, and a State that was restored from a snapshot behaves like the original.
func TestApplyKeepsInvariantsForAnyCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, newest := New(), Token(0)
		for range rapid.IntRange(1, 60).Draw(rt, "n") {
			c := Command{
				Kind:       Kind(rapid.IntRange(0, 5).Draw(rt, "kind")),
				Name:       rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "name"),
				Holder:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"),
				RequestID:  rapid.Uint64Range(1, 3).Draw(rt, "request ID"),
				Token:      Token(rapid.Uint64Range(0, 9).Draw(rt, "token")),
				Ticks:      rapid.Uint64Range(0, 4).Draw(rt, "ticks"),
				MaxHolders: rapid.IntRange(0, 3).Draw(rt, "max holders"),
				IfRevision: rapid.Uint64Range(0, 4).Draw(rt, "if revision"),
				NoteNumber: rapid.Uint64Range(0, 2).Draw(rt, "note number"),
			}
			before, err := s.Snapshot()
			if err != nil {
				rt.Fatal(err)
			}
			copied, err := Restore(before)
			if err != nil {
				rt.Fatal(err)
			}
			g, err := s.Apply(c)
			copiedGrant, copiedErr := copied.Apply(c)
			after, _ := s.Snapshot()
			copiedAfter, _ := copied.Snapshot()
			if g != copiedGrant || !errors.Is(copiedErr, err) || string(after) != string(copiedAfter) {
				rt.Fatalf("%+v: %+v %v, on the restored State %+v %v", c, g, err, copiedGrant, copiedErr)
			}
			if err != nil && string(before) != string(after) {
				rt.Fatalf("%+v is rejected, but changes %s to %s", c, before, after)
			}
			if c.Kind == Acquire && err == nil && g.Token > newest {
				newest = g.Token
			}
			for name, l := range s.leases {
				if len(l.Grants) == 0 && l.MaxHolders == 1 {
					rt.Fatalf("unused lease %s is not deleted", name)
				}
				for i, g := range l.Grants {
					if g.Token > newest || g.ExpiresAt <= s.tick || i > 0 && l.Grants[i-1].Slot >= g.Slot {
						rt.Fatalf("invalid grant %+v among %+v at tick %d", g, l.Grants, s.tick)
					}
				}
			}
		}
	})
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	for _, raw := range []string{``, `{}`, `{"version":2}`, `{"version":1,"leases":{"x":null}}`, `{"version":1,"leases":{"x":{"most":0}}}`,
		`{"version":1,"token":1,"leases":{"x":{"most":1,"held":[{"name":"x","token":2,"till":3}]}}}`,
		`{"version":1,"token":1,"tick":3,"leases":{"x":{"most":1,"held":[{"name":"x","token":1,"till":3}]}}}`} {
		if _, err := Restore([]byte(raw)); err == nil {
			t.Errorf("%s is accepted", raw)
		}
	}
}

// A Guard allows an action only if it ends within the guaranteed duration, which counts from when the request was sent.
// An answer that arrives late or repeatedly, or after the grant was dropped, allows nothing more.
func TestGuardAllowsActionsOnlyWithinGuaranteedDuration(t *testing.T) {
	const second = time.Second
	g := Guard{Terms: Terms{Interval: second, Drift: 0}}
	checkBegin := func(now, maxDuration time.Duration, want Token) {
		t.Helper()
		if grant, ok := g.BeginAction(now, maxDuration); ok != (want > 0) || grant.Token != want {
			t.Errorf("at %v for %v: %v %v, want %d", now, maxDuration, grant.Token, ok, want)
		}
	}
	checkBegin(0, 0, 0)
	g.RecordGrant(Grant{Token: 5}, 11, 0) // guaranteed until 10 s, whenever the answer arrived
	checkBegin(8*second, 2*second, 5)
	checkBegin(8*second, 2*second+1, 0)
	if g.ActionsEnded(10*second-1) || !g.ActionsEnded(10*second) {
		t.Error("the actions count as ended before the end of the last one, or not from then on")
	}
	g.RecordGrant(Grant{Token: 5}, 11, 4*second)
	g.RecordGrant(Grant{Token: 5}, 11, 2*second) // the late answer to an earlier request
	checkBegin(13*second, second, 5)
	checkBegin(13*second, second+1, 0)
	g.DropGrant()
	g.RecordGrant(Grant{Token: 5}, 11, 12*second) // the answer to a renewal arrives after the release
	checkBegin(13*second, second, 0)
	g.RecordGrant(Grant{Token: 7}, 11, 20*second)
	checkBegin(21*second, second, 7)
	if remaining := g.Remaining(25 * second); remaining != 5*second {
		t.Error(remaining)
	}
	if guaranteed := (Terms{Interval: second, Drift: 0.5}).GuaranteedDuration(4); guaranteed != second {
		t.Errorf("three intervals with a drift of 0.5: %v, want a third of them", guaranteed)
	}
}

// A note is kept for the next holder when its lease expires. Only the current holder may change it, and the number of
// notes is limited.
func TestNoteOutlivesItsHolder(t *testing.T) {
	s := New()
	acquire := func(name string) Token {
		t.Helper()
		g, err := s.Apply(Command{Kind: Acquire, Name: name, Holder: "a", RequestID: 1, Ticks: 1})
		if err != nil {
			t.Fatal(err)
		}
		return g.Token
	}
	setNote := func(name string, token Token, text string, want error) {
		t.Helper()
		if _, err := s.Apply(Command{Kind: SetNote, Name: name, Token: token, NoteText: text}); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", name, err, want)
		}
	}
	first := acquire("x")
	setNote("x", first, "half done", nil)
	setNote("x", first, string(make([]byte, MaxNoteBytes+1)), ErrInvalid)
	_, _ = s.Apply(Command{Kind: Tick}) // Apply never rejects a tick
	setNote("x", first, "mine", ErrNotGranted)
	raw, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if s, err = Restore(raw); err != nil {
		t.Fatal(err)
	}
	if listed := s.List(); len(listed) != 1 || listed[0].Note != "half done" || s.HasGrants() {
		t.Errorf("%+v", listed)
	}
	setNote("x", acquire("x"), "", nil)
	_, _ = s.Apply(Command{Kind: Tick})
	if listed := s.List(); len(listed) != 0 {
		t.Errorf("unused leases are not deleted: %+v", listed)
	}
	for i := range maxNotes {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		setNote(name, acquire(name), "n", nil)
	}
	last := acquire("last")
	setNote("last", last, "n", ErrFull)
	setNote("last", last, "", nil)
}
