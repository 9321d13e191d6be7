// Package settings parses the settings of a deployment from their JSON form. The simulator sends them in this form, and
// the configuration of a node contains them in it.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"tulipglade/internal/balancer"
)

// Deployment holds those settings of a deployment that the load-balancing decisions use.
type Deployment struct {
	Balancer         balancer.Config
	LoadReportFields []string // names of the values in a load report, in the order of the report
}

// Values of the key "discovery".
const (
	discoveryPush = "push" // discovery pushes lists to the node
	discoveryPoll = "ask"  // the node polls discovery for lists
)

// idempotencies maps the values of the key "effect".
var idempotencies = map[string]balancer.Idempotency{
	"repeatable": balancer.Idempotent,
	"by_key":     balancer.IdempotentByKey,
	"once":       balancer.NonIdempotent,
}

// keyScopes maps the values of the key "key_scope"; "" stands for a missing key.
var keyScopes = map[string]balancer.KeyScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// FieldError reports a field with an invalid value.
type FieldError struct {
	// Field is the path of the field or of the object that has it, such as "profiles[0]". It is empty if Problem names
	// the field.
	Field   string
	Problem string
}

// Error returns the problem, with the field before it if Field is set.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// FieldErrorf returns a *FieldError with a formatted problem.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Parse parses settings from their JSON form. Unknown keys are ignored. A missing optional key leaves the zero value of
// its field; balancer.Config documents what that means.
func Parse(raw []byte) (Deployment, error) {
	var document settingsJSON
	if err := json.Unmarshal(raw, &document); err != nil {
		return Deployment{}, ConvertTypeError(err)
	}
	if err := document.validate(); err != nil {
		return Deployment{}, err
	}
	config := document.config()
	for _, tenant := range document.Tenants {
		config.Tenants = append(config.Tenants, tenant.tenant())
	}
	for i, classDocument := range document.Classes {
		class, err := classDocument.class(fmt.Sprintf("profiles[%d]", i))
		if err != nil {
			return Deployment{}, err
		}
		config.Classes = append(config.Classes, class)
	}
	return Deployment{Balancer: config, LoadReportFields: document.Report.Fields}, nil
}

// ConvertTypeError converts an error of encoding/json about a value of the wrong type to a *FieldError, so that the
// message names the field by its path in the document and not by a Go type of this program. It returns any other error
// unchanged.
func ConvertTypeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) || wrongType.Field == "" {
		return err
	}
	return FieldErrorf(wrongType.Field, "%s is not of type %s", wrongType.Value, wrongType.Type)
}

// validate checks the fields that neither the decoder nor class checks.
func (s *settingsJSON) validate() error {
	if s.Discovery != discoveryPush && s.Discovery != discoveryPoll {
		return FieldErrorf("", "discovery %q is neither %s nor %s", s.Discovery, discoveryPush, discoveryPoll)
	}
	if s.PeerIndex < 0 {
		return FieldErrorf("me", "%d is below 0", s.PeerIndex)
	}
	return nil
}

// config returns the configuration of the balancer without its tenants and classes, which Parse adds.
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

// class converts the class. An error names field, the path of the class in the document.
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
