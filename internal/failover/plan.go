package failover

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"tulipglade/internal/fencing"
)

// Row is the distribution of the requests of one class that enter at one zone.
type Row struct {
	Shares []float64 `json:"shares"` // by destination zone; their sum is 1
	Reason string    `json:"why"`
}

// Plan is the distribution of requests over zones for a whole fleet.
type Plan struct {
	Token    fencing.Token `json:"token"` // of the failover leader's lease
	Revision uint64        `json:"revision"`
	Rows     [][]Row       `json:"rows"` // by zone where requests enter, then by class
}

// Upper bounds of the size of the parts of a plan in JSON, in bytes.
const (
	maxPlanHeaderBytes = 100
	maxShareBytes      = 25  // a number of 24 characters and a comma
	maxRowBytes        = 230 // the reason, of up to 200 bytes, and the keys
)

// MaxPlanSize returns an upper bound of the size of a plan in JSON, in bytes.
func MaxPlanSize(zones, classes int) int {
	return maxPlanHeaderBytes + zones*classes*(zones*maxShareBytes+maxRowBytes)
}

// IsNewerThan reports whether p supersedes another plan, which may be nil.
func (p *Plan) IsNewerThan(other *Plan) bool {
	return other == nil || cmp.Or(cmp.Compare(p.Token, other.Token), cmp.Compare(p.Revision, other.Revision)) > 0
}

// shareTolerance is the largest deviation of the sum of a row's shares from 1 that is accepted.
const shareTolerance = 1e-6

// Check returns an error if the plan does not have this many zones and classes, or has a row of invalid shares.
func (p *Plan) Check(zones, classes int) error {
	if len(p.Rows) != zones {
		return fmt.Errorf("plan %d/%d: %d zones, want %d", p.Token, p.Revision, len(p.Rows), zones)
	}
	for zone, rows := range p.Rows {
		if len(rows) != classes {
			return fmt.Errorf("plan %d/%d: zone %d: %d classes, want %d", p.Token, p.Revision, zone, len(rows), classes)
		}
		for class, row := range rows {
			if len(row.Shares) != zones || !areShares(row.Shares) {
				return fmt.Errorf("plan %d/%d: zone %d, class %d: %v are not valid shares", p.Token, p.Revision, zone, class, row.Shares)
			}
		}
	}
	return nil
}

// areShares reports whether all numbers are non-negative and their sum is 1.
func areShares(shares []float64) bool {
	sum := 0.0
	for _, share := range shares {
		if !(share >= 0) { // negative or NaN
			return false
		}
		sum += share
	}
	return math.Abs(sum-1) < shareTolerance
}

// ErrStalePlan is returned by CurrentPlan.Update for a plan that is not newer than the current one.
var ErrStalePlan = errors.New("plan is not newer than the current plan")

// CurrentPlan holds the newest valid plan that a node has received, and fades its weight when no newer one arrives.
type CurrentPlan struct {
	rules          Rules
	zones, classes int
	plan           *Plan
	receivedAt     time.Duration
}

// NewCurrentPlan returns a CurrentPlan that has not received a plan.
func NewCurrentPlan(rules Rules, zones, classes int) *CurrentPlan {
	return &CurrentPlan{rules: rules, zones: zones, classes: classes}
}

// Update replaces the current plan. It returns ErrStalePlan for a plan that is not newer, and another error for one
// that is invalid; the current plan then stays.
func (c *CurrentPlan) Update(plan *Plan, now time.Duration) error {
	if !plan.IsNewerThan(c.plan) {
		return ErrStalePlan
	}
	if err := plan.Check(c.zones, c.classes); err != nil {
		return err
	}
	c.plan = plan
	c.receivedAt = now
	return nil
}

// Shares returns the planned shares by destination zone for requests of a class that enter at a zone, and the weight of
// the plan relative to the node's own decision. The weight is 1 for Rules.ValidFor after the plan was received, then
// falls to 0 over Rules.FadeOver. Without a plan it is 0. Where it is 0, the shares are nil.
func (c *CurrentPlan) Shares(now time.Duration, zone, class int) (shares []float64, weight float64) {
	if c.plan == nil {
		return nil, 0
	}
	overdue := now - c.receivedAt - c.rules.ValidFor
	weight = 1 - float64(max(overdue, 0))/float64(c.rules.FadeOver)
	if weight <= 0 {
		return nil, 0
	}
	return c.plan.Rows[zone][class].Shares, weight
}
