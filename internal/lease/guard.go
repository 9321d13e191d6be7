package lease

import "time"

// Terms are what a group and its holders agree on beforehand.
type Terms struct {
	Interval time.Duration `json:"Interval"` // between two ticks, by the leader's clock
	Drift    float64       `json:"Drift"`    // by which share a clock may be fast or slow; below 1
}

// GuaranteedDuration is how long, by the holder's own clock, a grant of so many ticks lasts at least. The first tick may follow the grant at
// once; the leader's clock may be fast, so that intervals are short, and the holder's slow.
func (t Terms) GuaranteedDuration(ticks uint64) time.Duration {
	if ticks == 0 {
		return 0
	}
	return time.Duration(float64(ticks-1) * float64(t.Interval) * (1 - t.Drift) / (1 + t.Drift))
}

// Guard is what a holder goes by before it acts. Times are its own monotonic clock's, from any origin. The zero Guard with Terms set
// holds nothing.
type Guard struct {
	Terms Terms
	grant Grant
	till  time.Duration // when the lease may end
	held  bool
	busy  time.Duration // until when acts that were begun may go on
	past  Token         // what was dropped: the answer to a renewal that crossed a release must not bring it back
}

// Granted takes in the answer to a request, acquisition or renewal, of so many ticks that was sent at that time: before it went out,
// not when the answer came. An answer that is late or comes again changes nothing for the worse.
func (g *Guard) Granted(grant Grant, ticks uint64, asked time.Duration) {
	till := asked + g.Terms.GuaranteedDuration(ticks)
	switch {
	case grant.Token <= g.past, g.held && grant.Token < g.grant.Token: // of an earlier holding
	case g.held && grant.Token == g.grant.Token:
		g.till = max(g.till, till)
	default:
		g.grant, g.till, g.held = grant, till, true
	}
}

// BeginAction tells whether an act that takes so long at most, from now to its end where it acts, may begin, and under which grant.
func (g *Guard) BeginAction(now, longest time.Duration) (Grant, bool) {
	end := now + time.Duration(float64(longest)*(1+g.Terms.Drift))
	if !g.held || end > g.till {
		return Grant{}, false
	}
	g.busy = max(g.busy, end)
	return g.grant, true
}

// Grant is what is held, as far as this side knows: to be renewed, or released.
func (g *Guard) Grant() (Grant, bool) { return g.grant, g.held }

// Expired tells whether all acts that were begun are surely over. Before that nothing may be released: the next holder would begin
// while an act of this one is still on its way.
func (g *Guard) Expired(now time.Duration) bool { return now >= g.busy }

// Remaining is for how long the lease is sure to last.
func (g *Guard) Remaining(now time.Duration) time.Duration {
	if !g.held {
		return 0
	}
	return max(g.till-now, 0)
}

// Drop ends it on this side: after a release, or a refusal to renew.
func (g *Guard) Drop() {
	if g.held {
		g.held, g.past = false, g.grant.Token
	}
}
