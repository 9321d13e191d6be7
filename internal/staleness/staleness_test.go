package staleness

import "testing"

const length = 6_000_000

// TestRecordRenewsLease begins with a lease that has expired; each kind of evidence renews it as of its own time, or
// not at all.
func TestRecordRenewsLease(t *testing.T) {
	type note struct {
		evidence Evidence
		asOf     Time
	}
	for name, test := range map[string]struct {
		notes []note
		until Time // the first moment when it is not valid
	}{
		"nothing known":                       {nil, 100},
		"answered":                            {[]note{{Answered, 200}}, 200 + length},
		"an older answer does not shorten it": {[]note{{Answered, 200}, {Answered, 150}}, 200 + length},
		"rejected":                            {[]note{{Rejected, 300}}, 300 + length},
		"first call timed out":                {[]note{{NoAnswer, 300}}, 300 + length},
		"a watch timed out":                   {[]note{{Answered, 200}, {NoAnswer, 300}}, 200 + length},
		"a watch and the next call timed out": {[]note{{Answered, 200}, {NoAnswer, 300}, {NoAnswer, 400}}, 400 + length},
		"unusable":                            {[]note{{Answered, 200}, {Unusable, 300}}, 200 + length},
		"an unusable answer between two timeouts": {
			[]note{{Answered, 200}, {NoAnswer, 300}, {Unusable, 350}, {NoAnswer, 400}}, 200 + length,
		},
		"a rejection between two timeouts": {
			[]note{{Answered, 200}, {NoAnswer, 300}, {Rejected, 350}, {NoAnswer, 400}}, 350 + length,
		},
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

// TestShortenEndsLeaseEarlier has the address of discovery change: earlier evidence counts no longer than until then.
func TestShortenEndsLeaseEarlier(t *testing.T) {
	l := New(100, length)
	l.Record(Answered, 200)
	l.Shorten(1000)
	if l.Valid(1000) || !l.Valid(999) {
		t.Error("not shortened")
	}
	l.Shorten(5000)
	if l.Valid(1000) {
		t.Error("extended by Shorten")
	}
	if l.Record(Answered, 900); !l.Valid(1000) {
		t.Error("not renewed by later evidence")
	}
}

// TestLeaseWithoutLengthNeverEnds has a list that is never stale.
func TestLeaseWithoutLengthNeverEnds(t *testing.T) {
	if l := New(100, 0); !l.Valid(1<<60) || l.Bounded() {
		t.Error("expires")
	}
	if l := (Lease{}); !l.Valid(0) {
		t.Error("the zero value expires")
	}
}
