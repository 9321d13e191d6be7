package staleness

// Order says how an answer of discovery relates to the answers to earlier calls.
type Order uint8

// The orders.
const (
	InOrder         Order = iota // it holds as a whole
	Behind                       // older than an earlier one, or of another address: only what it restricts holds, and it proves nothing
	BehindConfirmed              // the same, but discovery has repeated it in a full list: it has nothing newer
)

// settlingTime is for how long a discovery must have answered with lower revisions until its full list replaces what was
// known before, and so puts endpoints back into service. One that is behind its peers has caught up by then; one that still
// answers so was restarted.
const settlingTime Span = 6_000_000

// Revisions tells by the order of calls, and not by numbers alone, which answers hold. It observes one answer after the
// other, each to a call that was made after the answer before.
type Revisions struct {
	newest      int64
	behind      int // answers in a row with lower revisions
	behindSince Time
	listed      bool // one of them was a full list
}

// NewRevisions returns the order of answers after a list with a revision.
func NewRevisions(newest int64) Revisions { return Revisions{newest: newest} }

// Observe takes the revision of the next answer and returns its order.
func (r *Revisions) Observe(now Time, revision int64, full bool) Order {
	if revision >= r.newest {
		*r = Revisions{newest: revision}
		return InOrder
	}
	if r.behind == 0 {
		r.behindSince = now
	}
	r.behind++
	if full && r.behind > 1 && r.settled(now) {
		*r = Revisions{newest: revision}
		return InOrder
	}
	r.listed = r.listed || full
	if r.behind == 1 || !r.listed {
		return Behind
	}
	return BehindConfirmed
}

// NeedsFullList tells whether the next call must fetch the full list: to confirm a revision that went back, and to replace
// what was known before once that has settled.
func (r *Revisions) NeedsFullList(now Time) bool {
	return r.behind == 1 || r.behind > 1 && (!r.listed || r.settled(now))
}

func (r *Revisions) settled(now Time) bool { return now-r.behindSince >= settlingTime }
