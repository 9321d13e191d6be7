// Package settings reads the settings of a deployment, in the form in which the simulator and the configuration of a node give them.
package settings

import (
	"encoding/json"
	"fmt"

	"tulipglade/internal/balancer"
)

// Parse turns boot JSON into a Config and the names of the load report's values. Unknown keys are
// skipped; a missing optional key leaves its zero value, of which balancer.Config says what it means.
func Parse(raw []byte) (balancer.Config, []string, error) {
	var s struct {
		Discovery string `json:"discovery"`
		Zone      int    `json:"my_zone"`
		Peers     int    `json:"peers_total"`
		Self      int    `json:"me"`
		Tick      int64  `json:"tick_us"`
		Tenants   []struct {
			Share float64 `json:"share"`
			Quota float64 `json:"quota_per_s"`
		} `json:"orgs"`
		Classes []struct {
			Aim      int64   `json:"aim_us"`
			Deadline int64   `json:"deadline_us"`
			Window   int64   `json:"window_us"`
			Effect   string  `json:"effect"`
			Scope    string  `json:"key_scope"`
			Late     float64 `json:"late_share"`
			Worth    float64 `json:"credit"`
		} `json:"profiles"`
		Limits struct {
			Attempts      int   `json:"max_attempts"`
			Duplicate     bool  `json:"may_duplicate"`
			Cancelling    bool  `json:"cancelling"`
			Probing       bool  `json:"probing"`
			RetryAfter    bool  `json:"retry_after"`
			MaxRetryAfter int64 `json:"max_retry_after_us"`
		} `json:"limits"`
		Prices struct {
			CrossZone float64 `json:"cross_zone"`
			Probe     float64 `json:"probe"`
		} `json:"prices"`
		Rules struct {
			AskEvery int64   `json:"ask_every_us"`
			ColdFrom float64 `json:"cold_from"`
			Ramp     int64   `json:"ramp_time_us"`
			Multiple float64 `json:"overload_factor"`
			Window   int64   `json:"fall_us"`
		} `json:"rules"`
		Specifics struct {
			WarmKeys bool `json:"warm_keys"`
		} `json:"specifics"`
		Clients struct {
			Marks bool `json:"marks_retry"`
		} `json:"clients"`
		Report struct {
			Fields []string `json:"fields"`
		} `json:"report"`
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return balancer.Config{}, nil, err
	}
	c := balancer.Config{Zone: s.Zone, PeerCount: s.Peers, PeerIndex: s.Self, TickInterval: s.Tick, MaxAttempts: s.Limits.Attempts,
		AllowHedging: s.Limits.Duplicate, AllowCancel: s.Limits.Cancelling, AllowHealthChecks: s.Limits.Probing,
		PollDiscovery: s.Discovery == "ask", PollInterval: s.Rules.AskEvery, SlowStartInitial: s.Rules.ColdFrom,
		SlowStartDuration: s.Rules.Ramp, OverloadFactor: s.Rules.Multiple, OverloadWindow: s.Rules.Window,
		CrossZoneCost: s.Prices.CrossZone, KeyAffinity: s.Specifics.WarmKeys, ClientsMarkRetries: s.Clients.Marks, HealthCheckCost: s.Prices.Probe}
	if s.Discovery != "ask" && s.Discovery != "push" {
		return c, nil, fmt.Errorf("discovery %q is neither push nor ask", s.Discovery)
	}
	if s.Self < 0 {
		return c, nil, fmt.Errorf("me: %d is below 0", s.Self)
	}
	if s.Limits.RetryAfter {
		c.MaxRetryAfter = s.Limits.MaxRetryAfter
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balancer.Tenant{QuotaFraction: t.Share, QuotaPerSecond: t.Quota})
	}
	effects := map[string]balancer.Idempotency{"repeatable": balancer.Idempotent, "by_key": balancer.IdempotentByKey,
		"once": balancer.NonIdempotent}
	scopes := map[string]balancer.KeyScope{"": balancer.ScopeAll, "all": balancer.ScopeAll,
		"zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
	for i, p := range s.Classes {
		effect, ok := effects[p.Effect]
		if !ok {
			return c, nil, fmt.Errorf("profiles[%d]: unknown effect %q", i, p.Effect)
		}
		scope, ok := scopes[p.Scope]
		if !ok {
			return c, nil, fmt.Errorf("profiles[%d]: unknown key_scope %q", i, p.Scope)
		}
		c.Classes = append(c.Classes, balancer.Class{LatencyObjective: p.Aim, Deadline: p.Deadline, IdempotencyWindow: p.Window,
			Idempotency: effect, KeyScope: scope, LateValue: p.Late, PriorityWeight: p.Worth})
	}
	return c, s.Report.Fields, nil
}
