package staleness

import "testing"

const length = 6_000_000

// A lease of a list of unknown age has ended; each kind of evidence renews it as of its own time, or not at all.
func TestRecordRenewsLease(t *testing.T) {
	type note struct {
		evidence Evidence
		asOf     Time
	}
	for name, test := range map[string]struct {
		notes []note
		until Time // the last moment but one
	}{
		"nothing known":                 {nil, 100},
		"answered":                      {[]note{{Answered, 200}}, 200 + length},
		"an older answer takes nothing": {[]note{{Answered, 200}, {Answered, 150}}, 200 + length},
		"refused":                       {[]note{{Rejected, 300}}, 300 + length},
		"first call silent":             {[]note{{NoAnswer, 300}}, 300 + length},
		"a watch silent":                {[]note{{Answered, 200}, {NoAnswer, 300}}, 200 + length},
		"and the call after it":         {[]note{{Answered, 200}, {NoAnswer, 300}, {NoAnswer, 400}}, 400 + length},
		"a word in between":             {[]note{{Answered, 200}, {NoAnswer, 300}, {Rejected, 350}, {NoAnswer, 400}}, 350 + length},
	} {
		l := New(100, length)
		for _, n := range test.notes {
			l.Record(n.evidence, n.asOf)
		}
		if l.Until() != test.until || l.Valid(test.until) || !l.Valid(test.until-1) {
			t.Errorf("%s: until %d, want %d", name, l.Until(), test.until)
		}
	}
}

// After a move of discovery, what was heard before counts for so long at most.
func TestShortenEndsLeaseEarlier(t *testing.T) {
	l := New(100, length)
	l.Record(Answered, 200)
	l.Shorten(1000)
	if l.Valid(1000) || !l.Valid(999) {
		t.Error("not shortened")
	}
	l.Shorten(5000)
	if l.Valid(1000) {
		t.Error("made longer")
	}
	if l.Record(Answered, 900); !l.Valid(1000) {
		t.Error("not renewed by what is heard after the move")
	}
}

// Without a length the list is never too old.
func TestLeaseWithoutLengthNeverEnds(t *testing.T) {
	if l := New(100, 0); !l.Valid(1<<60) || l.Bounded() {
		t.Error("ends")
	}
	if l := (Lease{}); !l.Valid(0) {
		t.Error("the zero value ends")
	}
}
