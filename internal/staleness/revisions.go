package staleness

// RevisionOrder says how an answer of discovery relates to the answers to earlier calls.
type RevisionOrder uint8

// The orders.
const (
	InOrder         RevisionOrder = iota // it holds as a whole
	Behind                               // older than an earlier one, or of another address: only what it restricts holds, and it proves nothing
	BehindConfirmed                      // the same, but discovery has repeated it in a full list: it has nothing newer
)

// minRegressionDuration is for how long a discovery must have answered with lower revisions until its full list replaces what was
// known before, and so puts endpoints back into service. One that is behind its peers has caught up by then; one that still
// answers so was restarted.
const minRegressionDuration Span = 6_000_000

// RevisionTracker tells by the order of calls, and not by numbers alone, which answers hold. It observes one answer after the
// other, each to a call that was made after the answer before.
type RevisionTracker struct {
	newestRevision int64
	answersBehind  int // answers in a row with lower revisions
	behindSince    Time
	fullListSeen   bool // one of them was a full list
}

// NewRevisionTracker returns the order of answers after a list with a revision.
func NewRevisionTracker(newestRevision int64) RevisionTracker {
	return RevisionTracker{newestRevision: newestRevision}
}

// Observe takes the revision of the next answer and returns its order.
func (r *RevisionTracker) Observe(now Time, revision int64, full bool) RevisionOrder {
	if revision >= r.newestRevision {
		*r = RevisionTracker{newestRevision: revision}
		return InOrder
	}
	if r.answersBehind == 0 {
		r.behindSince = now
	}
	r.answersBehind++
	if full && r.answersBehind > 1 && r.regressedLongEnough(now) {
		*r = RevisionTracker{newestRevision: revision}
		return InOrder
	}
	r.fullListSeen = r.fullListSeen || full
	if r.answersBehind == 1 || !r.fullListSeen {
		return Behind
	}
	return BehindConfirmed
}

// NeedsFullList tells whether the next call must fetch the full list: to confirm a revision that went back, and to replace
// what was known before once that has settled.
func (r *RevisionTracker) NeedsFullList(now Time) bool {
	return r.answersBehind == 1 || r.answersBehind > 1 && (!r.fullListSeen || r.regressedLongEnough(now))
}

func (r *RevisionTracker) regressedLongEnough(now Time) bool {
	return now-r.behindSince >= minRegressionDuration
}
