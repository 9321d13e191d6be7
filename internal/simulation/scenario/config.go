package scenario

import (
	"math"

	"tulipglade/internal/balancer"
)

// Names that scenario files use for the idempotency of a class and for the scope of its idempotency keys.
var (
	idempotencies = map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent,
		"by_key":     balancer.IdempotentByKey,
		"once":       balancer.NonIdempotent,
	}
	scopes = map[string]balancer.KeyScope{
		"all":  balancer.ScopeAll,
		"site": balancer.ScopeZone,
		"rack": balancer.ScopeCell,
	}
)

// Config returns the configuration of a node at the given site, with the quota of each tenant in requests per second.
// The caller adds the index of the node.
func (s *Scenario) Config(site int, quotas []float64) balancer.Config {
	config := balancer.Config{
		Zone:               site,
		PeerCount:          s.Nodes.Count,
		MaxAttempts:        s.Rules.MaxAttempts,
		AllowHedging:       s.Rules.AllowHedging,
		AllowCancel:        s.Rules.AllowCancel,
		AllowHealthChecks:  s.Rules.AllowHealthChecks,
		PollDiscovery:      s.Discovery.Poll,
		PollInterval:       fromMilliseconds(s.Discovery.PollInterval),
		TickInterval:       fromMilliseconds(s.Nodes.Tick),
		MaxRetryAfter:      fromMilliseconds(s.Clients.MaxRetryAfter),
		SlowStartInitial:   s.Rules.SlowStartInitial,
		SlowStartDuration:  fromMilliseconds(s.Rules.SlowStartDuration),
		OverloadFactor:     s.Rules.OverloadFactor,
		OverloadWindow:     fromMilliseconds(s.Rules.OverloadWindow),
		CrossZoneCost:      s.Rules.CrossSite,
		HealthCheckCost:    s.Rules.HealthCheckCost,
		ClientsMarkRetries: s.Clients.MarkRetries,
		KeyAffinity:        s.Fleet.Affinity.Gain > 0,
	}
	if s.Clients.HeedRetryAfter == 0 {
		config.MaxRetryAfter = 0
	}
	for _, class := range s.Classes {
		config.Classes = append(config.Classes, balancer.Class{
			LatencyObjective:  fromMilliseconds(class.LatencyObjective),
			Deadline:          fromMilliseconds(class.Deadline),
			IdempotencyWindow: fromMilliseconds(class.IdempotencyWindow),
			Idempotency:       idempotencies[class.Idempotency],
			KeyScope:          scopes[class.KeyScope],
			LateValue:         class.LateValue,
			PriorityWeight:    class.PriorityWeight,
		})
	}
	for i, tenant := range s.Tenants {
		config.Tenants = append(config.Tenants, balancer.Tenant{QuotaFraction: tenant.Share, QuotaPerSecond: quotas[i]})
	}
	return config
}

// fromMilliseconds converts a setting in milliseconds to a time in µs, which the decision module uses.
func fromMilliseconds(ms float64) balancer.Span { return balancer.Span(math.Round(ms * 1000)) }
