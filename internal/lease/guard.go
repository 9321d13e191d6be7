package lease

import "time"

// Terms are what a group and its holders agree on in advance.
type Terms struct {
	Interval time.Duration `json:"Interval"` // between two ticks, by the leader's clock
	Drift    float64       `json:"Drift"`    // by which fraction a clock may be fast or slow; below 1
}

// GuaranteedDuration returns how long, by the holder's own clock, a grant of this many ticks lasts at least. The first tick may follow the
// grant at once; the leader's clock may be fast, so that intervals are short, and the holder's slow.
func (t Terms) GuaranteedDuration(ticks uint64) time.Duration {
	if ticks == 0 {
		return 0
	}
	return time.Duration(float64(ticks-1) * float64(t.Interval) * (1 - t.Drift) / (1 + t.Drift))
}

// Guard tells a holder whether it may act. Times are those of the holder's own monotonic clock, from any origin. The zero Guard, with
// Terms set, has no grant.
type Guard struct {
	Terms        Terms
	grant        Grant
	granted      bool
	expiresAt    time.Duration // when the grant may expire
	busyUntil    time.Duration // until when actions that were begun may go on
	droppedToken Token         // the answer to a renewal that crossed a release must not bring its grant back
}

// RecordGrant records the answer to an acquisition or renewal of this many ticks. SentAt is when the request was sent, not when the answer
// came. Answers may come late or repeatedly: they never shorten the lease, nor extend it wrongly.
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

// BeginAction reports whether an action may begin that takes at most this long until its effect is complete, and under which grant.
func (g *Guard) BeginAction(now, maxDuration time.Duration) (Grant, bool) {
	end := now + time.Duration(float64(maxDuration)*(1+g.Terms.Drift))
	if !g.granted || end > g.expiresAt {
		return Grant{}, false
	}
	g.busyUntil = max(g.busyUntil, end)
	return g.grant, true
}

// Grant returns the current grant, to be renewed or released.
func (g *Guard) Grant() (Grant, bool) { return g.grant, g.granted }

// ActionsEnded reports whether all actions that were begun must be over. The lease must not be released before that: the next holder
// would begin while an action of this one is still in progress.
func (g *Guard) ActionsEnded(now time.Duration) bool { return now >= g.busyUntil }

// Remaining returns for how long the lease is guaranteed to last.
func (g *Guard) Remaining(now time.Duration) time.Duration {
	if !g.granted {
		return 0
	}
	return max(g.expiresAt-now, 0)
}

// DropGrant forgets the grant, after a release or a rejected renewal.
func (g *Guard) DropGrant() {
	if g.granted {
		g.granted = false
		g.droppedToken = g.grant.Token
	}
}
