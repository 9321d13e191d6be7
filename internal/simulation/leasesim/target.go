package leasesim

import (
	"errors"
	"slices"

	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
)

// action is an action that the target has admitted.
type action struct {
	grant lease.Grant
	open  bool // still in progress
}

// handleAction handles the arrival of an action at the target: the fence rejects or admits it.
func (s *schedule) handleAction(grant lease.Grant) {
	if err := s.fence.Begin(grant); err != nil && !s.without.Fence {
		if errors.Is(err, fencing.ErrStaleToken) {
			s.outcome.StaleRejections++
		} else {
			s.outcome.Busy++
		}
		return
	}
	s.checkAction(grant)
	s.outcome.Actions++
	s.lastAction = s.now
	if lost, ok := s.lostHolders[grant.Slot]; ok && grant.Token > lost.token {
		s.gaps.All = append(s.gaps.All, s.now-lost.diedAt)
		delete(s.lostHolders, grant.Slot)
	}
	admitted := &action{grant: grant, open: true}
	s.actions = append(slices.DeleteFunc(s.actions, func(a *action) bool { return !a.open }), admitted)
	s.callAfter(s.randomDuration(longestAction/10, longestAction-longestDelay), func() {
		admitted.open = false
		s.fence.End(grant)
	})
}

// checkAction counts an admitted action that overlaps with one under another token on its slot, or that follows one
// under a newer token.
func (s *schedule) checkAction(grant lease.Grant) {
	for _, other := range s.actions {
		if other.open && other.grant.Slot == grant.Slot && other.grant.Token != grant.Token {
			s.outcome.Overlaps++
		}
	}
	if grant.Token < s.newest[grant.Slot] {
		s.outcome.TokenRegressions++
	}
	s.newest[grant.Slot] = max(s.newest[grant.Slot], grant.Token)
}
