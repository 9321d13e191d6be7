package fake

import (
	"encoding/json"
	"fmt"

	"tulipglade/internal/simulation/scenario"
)

// NodeLimits are the resources that a node may use.
type NodeLimits struct {
	Cores       float64
	MemoryMB    int
	Descriptors int
	MaxInFlight int
}

// DefaultLimits are the limits that the platform sets on scored days.
var DefaultLimits = NodeLimits{Cores: 1, MemoryMB: 192, Descriptors: 1024, MaxInFlight: 20000}

// nodeConfig is a node's configuration file in the platform's format. The fields of this type and of those below are
// sorted by their keys, so that the files equal those that earlier versions wrote.
type nodeConfig struct {
	Discovery string       `json:"discovery"`
	Known     endpointList `json:"known"`
	Limits    nodeLimits   `json:"limits"`
	Listen    string       `json:"listen"`
	Name      string       `json:"name"`
	Seed      string       `json:"seed"`
	Settings  nodeSettings `json:"settings"`
}

type nodeLimits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    int     `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// nodeSettings are the settings of a deployment, as one of its nodes receives them.
type nodeSettings struct {
	Clients       clientSettings   `json:"clients"`
	DiscoveryMode string           `json:"discovery"`
	Limits        limitSettings    `json:"limits"`
	Node          int              `json:"me"`
	Zone          int              `json:"my_zone"`
	Tenants       []tenantSettings `json:"orgs"`
	NodeCount     int              `json:"peers_total"`
	Prices        priceSettings    `json:"prices"`
	Classes       []classSettings  `json:"profiles"`
	Reports       reportSettings   `json:"report"`
	Rules         ruleSettings     `json:"rules"`
	Specifics     specificSettings `json:"specifics"`
	TickMicros    int64            `json:"tick_us"`
	Zones         []string         `json:"zones"`
}

type clientSettings struct {
	MarksRetries bool `json:"marks_retry"`
}

type limitSettings struct {
	AllowCancel          bool  `json:"cancelling"`
	ConnectTimeoutMicros int64 `json:"connect_timeout_us"`
	KeepAliveMicros      int64 `json:"keepalive_us"`
	MaxAttempts          int   `json:"max_attempts"`
	MaxInFlight          int   `json:"max_open"`
	MaxRetryAfterMicros  int64 `json:"max_retry_after_us"`
	AllowHedging         bool  `json:"may_duplicate"`
	AllowHealthChecks    bool  `json:"probing"`
	HonorsRetryAfter     bool  `json:"retry_after"`
}

type tenantSettings struct {
	Name          string  `json:"name"`
	QuotaFraction float64 `json:"share"`
}

type priceSettings struct {
	CrossZone   float64 `json:"cross_zone"`
	HealthCheck float64 `json:"probe"`
}

type classSettings struct {
	LatencyObjectiveMicros  int64   `json:"aim_us"`
	PriorityWeight          float64 `json:"credit"`
	DeadlineMicros          int64   `json:"deadline_us"`
	Idempotency             string  `json:"effect"`
	KeyScope                string  `json:"key_scope"`
	LateValue               float64 `json:"late_share"`
	Name                    string  `json:"name"`
	IdempotencyWindowMicros int64   `json:"window_us"`
}

type reportSettings struct {
	Fields   []string `json:"fields"`
	Delivery string   `json:"how"`
}

type ruleSettings struct {
	PollIntervalMicros      int64   `json:"ask_every_us"`
	SlowStartInitial        float64 `json:"cold_from"`
	DrainGraceMicros        int64   `json:"drain_grace_us"`
	OverloadWindowMicros    int64   `json:"fall_us"`
	AnswerGraceMicros       int64   `json:"grace_to_answer_us"`
	OverloadFactor          float64 `json:"overload_factor"`
	SlowStartDurationMicros int64   `json:"ramp_time_us"`
}

type specificSettings struct {
	KeyAffinity bool `json:"warm_keys"`
}

// micros converts the milliseconds of a scenario to the microseconds of settings.
func micros(millis float64) int64 { return int64(millis * microsPerMilli) }

// NodeConfig returns the configuration file of a node of this cluster, as the platform would write it.
func (cl *Cluster) NodeConfig(node int, limits NodeLimits) ([]byte, error) {
	config := nodeConfig{
		Discovery: cl.Discovery(node),
		Known:     cl.fullList(node),
		Limits:    nodeLimits{Cores: limits.Cores, MemoryMB: limits.MemoryMB, Descriptors: limits.Descriptors},
		Listen:    cl.options.Nodes[node],
		Name:      fmt.Sprintf("n%d", node),
		Seed:      fmt.Sprintf("%016x", cl.options.Seed*31+uint64(node)+1),
		Settings:  newNodeSettings(cl.scenario, node, limits),
	}
	return json.MarshalIndent(config, "", "  ")
}

// fullList returns the endpoint list that a node is started with.
func (cl *Cluster) fullList(node int) endpointList {
	list := endpointList{Full: true, Endpoints: []listedEndpoint{}}
	cl.call(func() {
		changes := cl.endpointsSince(allRevisions)
		list.Revision = changes.revision
		for _, record := range changes.records {
			list.Endpoints = append(list.Endpoints, cl.listedEndpoint(node, record))
		}
	})
	return list
}

func newNodeSettings(sc *scenario.Scenario, node int, limits NodeLimits) nodeSettings {
	settings := nodeSettings{
		Clients:       clientSettings{MarksRetries: sc.Clients.MarkRetries},
		DiscoveryMode: "push",
		Limits:        newLimitSettings(sc, limits),
		Node:          node,
		Zone:          sc.Site(node),
		Tenants:       newTenantSettings(sc.Tenants),
		NodeCount:     sc.Nodes.Count,
		Prices:        priceSettings{CrossZone: sc.Rules.CrossSite, HealthCheck: sc.Rules.HealthCheckCost},
		Classes:       newClassSettings(sc.Classes),
		Reports:       newReportSettings(&sc.Fleet.Report),
		Rules:         newRuleSettings(sc),
		Specifics:     specificSettings{KeyAffinity: sc.Fleet.Affinity.Gain > 0},
		TickMicros:    micros(sc.Nodes.Tick),
		Zones:         sc.Fleet.Sites,
	}
	if sc.Discovery.Poll {
		settings.DiscoveryMode = "ask"
	}
	return settings
}

func newLimitSettings(sc *scenario.Scenario, limits NodeLimits) limitSettings {
	return limitSettings{
		AllowCancel:          sc.Rules.AllowCancel,
		ConnectTimeoutMicros: micros(sc.Fleet.Conns.Timeout),
		KeepAliveMicros:      micros(sc.Fleet.Conns.Idle),
		MaxAttempts:          sc.Rules.MaxAttempts,
		MaxInFlight:          limits.MaxInFlight,
		MaxRetryAfterMicros:  micros(sc.Clients.MaxRetryAfter),
		AllowHedging:         sc.Rules.AllowHedging,
		AllowHealthChecks:    sc.Rules.AllowHealthChecks,
		HonorsRetryAfter:     sc.Clients.HeedRetryAfter > 0,
	}
}

func newRuleSettings(sc *scenario.Scenario) ruleSettings {
	return ruleSettings{
		PollIntervalMicros:      micros(sc.Discovery.PollInterval),
		SlowStartInitial:        sc.Rules.SlowStartInitial,
		DrainGraceMicros:        micros(sc.Rules.DrainGrace),
		OverloadWindowMicros:    micros(sc.Rules.OverloadWindow),
		AnswerGraceMicros:       micros(sc.Rules.AnswerGrace),
		OverloadFactor:          sc.Rules.OverloadFactor,
		SlowStartDurationMicros: micros(sc.Rules.SlowStartDuration),
	}
}

// newReportSettings returns which values backends report, and whether they send them with responses or in answer to
// health checks.
func newReportSettings(report *scenario.Report) reportSettings {
	settings := reportSettings{Fields: []string{}, Delivery: "silent"}
	for _, field := range loadReportFields {
		if report.Includes(field.scenario) {
			settings.Fields = append(settings.Fields, field.setting)
		}
	}
	switch {
	case len(settings.Fields) == 0:
	case report.SentBy == "probes":
		settings.Delivery = "pull"
	default:
		settings.Delivery = "piggyback"
	}
	return settings
}

// keyScopes maps the names of the scopes of idempotency keys in scenarios to those in settings.
var keyScopes = map[string]string{"": "all", "all": "all", "site": "zone", "rack": "cell"}

func newClassSettings(classes []scenario.Class) []classSettings {
	var settings []classSettings
	for i := range classes {
		class := &classes[i]
		settings = append(settings, classSettings{
			LatencyObjectiveMicros:  micros(class.LatencyObjective),
			PriorityWeight:          class.PriorityWeight,
			DeadlineMicros:          micros(class.Deadline),
			Idempotency:             class.Idempotency,
			KeyScope:                keyScopes[class.KeyScope],
			LateValue:               class.LateValue,
			Name:                    class.Name,
			IdempotencyWindowMicros: micros(class.IdempotencyWindow),
		})
	}
	return settings
}

func newTenantSettings(tenants []scenario.Tenant) []tenantSettings {
	total := 0.0
	for _, tenant := range tenants {
		total += tenant.Share
	}
	var settings []tenantSettings
	for _, tenant := range tenants {
		settings = append(settings, tenantSettings{Name: tenant.Name, QuotaFraction: tenant.Share / total})
	}
	return settings
}
