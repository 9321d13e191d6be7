// Package settings reads the settings of a deployment, in the form in which the simulator and the configuration of a node give them.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"tulipglade/internal/balancer"
)

// Deployment is the settings of a deployment as far as the decision module reads them.
type Deployment struct {
	Balancer         balancer.Config
	LoadReportFields []string // names of the values in a load report, in their order
}

// Values of the key "discovery".
const (
	discoveryPush = "push" // lists are pushed to the node
	discoveryPoll = "ask"  // the node polls for lists
)

var idempotencies = map[string]balancer.Idempotency{
	"repeatable": balancer.Idempotent,
	"by_key":     balancer.IdempotentByKey,
	"once":       balancer.NonIdempotent,
}

var keyScopes = map[string]balancer.KeyScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// FieldError is a value that the settings may not have.
type FieldError struct {
	Field   string // path of the field or of its object, such as "profiles[0]"; empty where the problem names it
	Problem string
}

// Error names the field first, where there is one.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// FieldErrorf returns a *FieldError.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Parse reads settings from their JSON form. Unknown keys are skipped; a missing optional key leaves its zero value, of
// which balancer.Config says what it means.
func Parse(raw []byte) (Deployment, error) {
	var document settingsJSON
	if err := json.Unmarshal(raw, &document); err != nil {
		return Deployment{}, ConvertTypeError(err)
	}
	if err := document.check(); err != nil {
		return Deployment{}, err
	}
	config := document.config()
	for _, tenant := range document.Tenants {
		config.Tenants = append(config.Tenants, tenant.tenant())
	}
	for i, profile := range document.Classes {
		class, err := profile.class(fmt.Sprintf("profiles[%d]", i))
		if err != nil {
			return Deployment{}, err
		}
		config.Classes = append(config.Classes, class)
	}
	return Deployment{Balancer: config, LoadReportFields: document.Report.Fields}, nil
}

// ConvertTypeError returns an error of encoding/json as a FieldError where it is a value of the wrong type, so that it names the
// field by its path in the file and not by a type of ours. It returns any other error as it is.
func ConvertTypeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) || wrongType.Field == "" {
		return err
	}
	return FieldErrorf(wrongType.Field, "%s is not of type %s", wrongType.Value, wrongType.Type)
}

func (s *settingsJSON) check() error {
	if s.Discovery != discoveryPush && s.Discovery != discoveryPoll {
		return FieldErrorf("", "discovery %q is neither %s nor %s", s.Discovery, discoveryPush, discoveryPoll)
	}
	if s.PeerIndex < 0 {
		return FieldErrorf("me", "%d is below 0", s.PeerIndex)
	}
	return nil
}

// config returns all but the tenants and the classes.
func (s *settingsJSON) config() balancer.Config {
	config := balancer.Config{
		Zone:               s.Zone,
		PeerCount:          s.PeerCount,
		PeerIndex:          s.PeerIndex,
		TickInterval:       s.TickInterval,
		MaxAttempts:        s.Limits.MaxAttempts,
		AllowHedging:       s.Limits.AllowHedging,
		AllowCancel:        s.Limits.AllowCancel,
		AllowHealthChecks:  s.Limits.AllowHealthChecks,
		PollDiscovery:      s.Discovery == discoveryPoll,
		PollInterval:       s.Rules.PollInterval,
		SlowStartInitial:   s.Rules.SlowStartInitial,
		SlowStartDuration:  s.Rules.SlowStartDuration,
		OverloadFactor:     s.Rules.OverloadFactor,
		OverloadWindow:     s.Rules.OverloadWindow,
		CrossZoneCost:      s.Prices.CrossZone,
		KeyAffinity:        s.Specifics.KeyAffinity,
		ClientsMarkRetries: s.Clients.AnnounceRetries,
		HealthCheckCost:    s.Prices.HealthCheck,
	}
	if s.Limits.SendRetryAfter {
		config.MaxRetryAfter = s.Limits.MaxRetryAfter
	}
	return config
}

func (t tenantJSON) tenant() balancer.Tenant {
	return balancer.Tenant{QuotaFraction: t.QuotaFraction, QuotaPerSecond: t.QuotaPerSecond}
}

func (c classJSON) class(field string) (balancer.Class, error) {
	idempotency, ok := idempotencies[c.Idempotency]
	if !ok {
		return balancer.Class{}, FieldErrorf(field, "unknown effect %q", c.Idempotency)
	}
	scope, ok := keyScopes[c.KeyScope]
	if !ok {
		return balancer.Class{}, FieldErrorf(field, "unknown key_scope %q", c.KeyScope)
	}
	return balancer.Class{
		LatencyObjective:  c.LatencyObjective,
		Deadline:          c.Deadline,
		IdempotencyWindow: c.IdempotencyWindow,
		Idempotency:       idempotency,
		KeyScope:          scope,
		LateValue:         c.LateValue,
		PriorityWeight:    c.PriorityWeight,
	}, nil
}
