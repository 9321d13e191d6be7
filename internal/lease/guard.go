package lease

import "time"

// Terms holds the timing assumptions that a group and all its holders must share. They are fixed when the group is
// created.
type Terms struct {
	Interval time.Duration `json:"Interval"` // the least time between two ticks, by the leader's clock
	Drift    float64       `json:"Drift"`    // the fraction by which a clock may be fast or slow; below 1
}

// GuaranteedDuration returns the time, by the holder's own clock, for which a grant of this many ticks is guaranteed to
// last. It assumes the worst case: the first tick follows the grant at once, the leader's clock is fast, so that
// intervals are short, and the holder's clock is slow.
func (t Terms) GuaranteedDuration(ticks uint64) time.Duration {
	if ticks == 0 {
		return 0
	}
	return time.Duration(float64(ticks-1) * float64(t.Interval) * (1 - t.Drift) / (1 + t.Drift))
}

// Guard keeps a holder's grant and decides whether an action may begin under it. All times are those of the holder's
// own monotonic clock, whose origin does not matter. A Guard whose only set field is Terms has no grant.
type Guard struct {
	Terms        Terms
	grant        Grant
	granted      bool
	expiresAt    time.Duration // the earliest time at which the grant may expire
	busyUntil    time.Duration // the time by which all actions that were begun have ended
	droppedToken Token         // token of the last dropped grant: a late answer to a renewal must not restore it
}

// RecordGrant records the grant in the answer to a request that acquired or renewed a lease for this many ticks. SentAt
// is the time when the request was sent, not when the answer arrived. Answers may arrive late, repeatedly or out of
// order: they never shorten the lease, and never extend it beyond what the group guarantees.
func (g *Guard) RecordGrant(grant Grant, ticks uint64, sentAt time.Duration) {
	expiresAt := sentAt + g.Terms.GuaranteedDuration(ticks)
	isObsolete := grant.Token <= g.droppedToken || g.granted && grant.Token < g.grant.Token
	switch {
	case isObsolete:
	case g.granted && grant.Token == g.grant.Token:
		g.expiresAt = max(g.expiresAt, expiresAt)
	default:
		g.grant = grant
		g.granted = true
		g.expiresAt = expiresAt
	}
}

// BeginAction reports whether an action may begin whose effect is complete after at most maxDuration. If so, it returns
// the grant under which the action runs.
func (g *Guard) BeginAction(now, maxDuration time.Duration) (Grant, bool) {
	end := now + time.Duration(float64(maxDuration)*(1+g.Terms.Drift))
	if !g.granted || end > g.expiresAt {
		return Grant{}, false
	}
	g.busyUntil = max(g.busyUntil, end)
	return g.grant, true
}

// Grant returns the current grant, for a renewal or release, and whether there is one. The grant may have expired.
func (g *Guard) Grant() (Grant, bool) { return g.grant, g.granted }

// ActionsEnded reports whether all actions that were begun must have ended by now. The lease must not be released
// before that, or the next holder could begin an action while one of this holder is still in progress.
func (g *Guard) ActionsEnded(now time.Duration) bool { return now >= g.busyUntil }

// Remaining returns the time for which the grant is still guaranteed to last; 0 if there is no grant.
func (g *Guard) Remaining(now time.Duration) time.Duration {
	if !g.granted {
		return 0
	}
	return max(g.expiresAt-now, 0)
}

// DropGrant forgets the current grant. The holder calls it after a release or a rejected renewal.
func (g *Guard) DropGrant() {
	if g.granted {
		g.granted = false
		g.droppedToken = g.grant.Token
	}
}
