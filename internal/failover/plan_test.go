package failover

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"tulipglade/internal/fencing"
)

// TestCurrentPlanTakesNewerPlansAndFades checks that a node accepts plans only in the order of token and revision,
// that it rejects invalid plans, and that the weight of a plan without a successor falls to 0 without a jump.
func TestCurrentPlanTakesNewerPlansAndFades(t *testing.T) {
	plan := func(token, revision uint64, shares ...float64) *Plan {
		return &Plan{Token: fencing.Token(token), Revision: revision, Rows: [][]Row{{{Shares: shares}}, {{Shares: shares}}}}
	}
	current := NewCurrentPlan(DefaultRules, 2, 1)
	if _, weight := current.Shares(0, 0, 0); weight != 0 {
		t.Error("weight without a plan:", weight)
	}
	for i, c := range []struct {
		plan *Plan
		want string
	}{
		{plan(2, 5, 0.5, 0.5), ""},
		{plan(2, 5, 1, 0), "newer"},
		{plan(2, 4, 1, 0), "newer"},
		{plan(1, 9, 1, 0), "newer"},
		{plan(2, 6, 0.5, 0.6), "shares"},
		{plan(3, 1, math.NaN(), 1), "shares"},
		{plan(3, 1, -1, 2), "shares"},
		{plan(3, 1, 1), "shares"},
		{&Plan{Token: 3, Revision: 1}, "zones"},
		{plan(3, 1, 0, 1), ""},
	} {
		err := current.Update(c.plan, 0)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%d: %v, want %q", i, err, c.want)
		}
	}
	if !errors.Is(current.Update(plan(3, 1, 0, 1), 0), ErrStalePlan) {
		t.Error("the same plan is accepted twice")
	}
	last := 1.0
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		_, weight := current.Shares(now, 1, 0)
		if now <= DefaultRules.ValidFor && weight != 1 || weight > last || last-weight > 0.0101 {
			t.Fatalf("at %v the weight is %.3f, before %.3f", now, weight, last)
		}
		last = weight
	}
	if last != 0 {
		t.Error("the weight does not fall to 0:", last)
	}
}
