package staleness

import "testing"

// TestOrderOfRevisionsThatGoBack guards against an outdated list that puts endpoints back into service. Revisions go
// back when a discovery server is behind its peers, was restarted, or answers in turn with a newer one.
func TestOrderOfRevisionsThatGoBack(t *testing.T) {
	type answer struct {
		at            Time
		revision      int64
		full          bool
		order         RevisionOrder
		needsFullList bool // the next call fetches the full list
	}
	for name, answers := range map[string][]answer{
		"in order":    {{0, 10, true, InOrder, false}, {1, 10, false, InOrder, false}, {2, 12, false, InOrder, false}},
		"behind once": {{0, 9, true, Behind, true}, {1, 10, true, InOrder, false}, {2, 9, false, Behind, true}},
		"restarted": {
			{0, 3, true, Behind, true},
			{1, 3, true, BehindConfirmed, false},
			{2, 4, false, BehindConfirmed, false},
			{minRegressionDuration, 5, false, BehindConfirmed, true},
			{minRegressionDuration + 1, 5, true, InOrder, false},
			{minRegressionDuration + 2, 6, false, InOrder, false},
			{minRegressionDuration + 3, 5, false, Behind, true},
		},
		"settled at the first answer after a while": {{0, 3, true, Behind, true}, {2 * minRegressionDuration, 3, true, InOrder, false}},
		"changes alone confirm nothing": {
			{0, 3, false, Behind, true},
			{1, 3, false, Behind, true},
			{2, 3, true, BehindConfirmed, false},
		},
		"two in turn": {
			{0, 3, true, Behind, true},
			{1, 10, true, InOrder, false},
			{minRegressionDuration, 3, true, Behind, true},
			{minRegressionDuration + 1, 10, true, InOrder, false},
		},
	} {
		revisions := NewRevisionTracker(10)
		for i, a := range answers {
			if order := revisions.Observe(a.at, a.revision, a.full); order != a.order {
				t.Errorf("%s, answer %d: order %d, want %d", name, i, order, a.order)
			}
			if revisions.NeedsFullList(a.at) != a.needsFullList {
				t.Errorf("%s, answer %d: NeedsFullList returned %v", name, i, !a.needsFullList)
			}
		}
	}
}
