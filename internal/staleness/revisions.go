package staleness

// RevisionOrder is how the revision of an answer from discovery relates to those of the answers to earlier calls.
type RevisionOrder uint8

// The revision orders.
const (
	// InOrder means that the answer is not older than the earlier ones. All of it applies.
	InOrder RevisionOrder = iota
	// Behind means that the answer is older than an earlier one, or comes from a previous address of discovery. Only
	// its restrictions apply: it may take endpoints out of service, but not put them back. It is no evidence that the
	// list is current.
	Behind
	// BehindConfirmed means that the answer is behind, but discovery has repeated its lower revisions and has sent a
	// full list, so it has nothing newer. Only its restrictions apply, but it is evidence of the list's age.
	BehindConfirmed
)

// minRegressionDuration is how long discovery must keep answering with lower revisions before its full list replaces
// the known one, which may put endpoints back into service. A discovery server that is behind its peers has caught up
// by then; one that still answers with lower revisions was restarted.
const minRegressionDuration Span = 6_000_000

// RevisionTracker decides how much of each answer from discovery applies. It compares revisions in the order of the
// calls, not by their numbers alone. Each observed answer must belong to a call that was made after the previous
// answer.
type RevisionTracker struct {
	newestRevision int64
	answersBehind  int  // consecutive answers with revisions lower than newestRevision
	behindSince    Time // when the first of these answers was observed
	fullListSeen   bool // one of these answers was a full list
}

// NewRevisionTracker returns a tracker for the answers that follow a list with the given revision.
func NewRevisionTracker(newestRevision int64) RevisionTracker {
	return RevisionTracker{newestRevision: newestRevision}
}

// Observe records the revision of the next answer, and whether it is a full list, and returns how it relates to the
// earlier answers.
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

// NeedsFullList reports whether the next call must fetch the full list. A full list confirms a revision that went back,
// and replaces the known list once discovery has answered with lower revisions for minRegressionDuration.
func (r *RevisionTracker) NeedsFullList(now Time) bool {
	return r.answersBehind == 1 || r.answersBehind > 1 && (!r.fullListSeen || r.regressedLongEnough(now))
}

func (r *RevisionTracker) regressedLongEnough(now Time) bool {
	return now-r.behindSince >= minRegressionDuration
}
