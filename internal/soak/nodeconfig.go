package soak

import (
	"encoding/json"
	"fmt"
	"os"
)

// nodeConfig is the configuration file of a node in its JSON form.
type nodeConfig struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Limits    nodeLimits   `json:"limits"`
	Known     listAnswer   `json:"known"`
	Settings  nodeSettings `json:"settings"`
}

// nodeLimits are the resource limits of a node's process.
type nodeLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// nodeSettings are the settings of load balancing in the configuration file.
type nodeSettings struct {
	Discovery string          `json:"discovery"`
	Self      int             `json:"me"`
	Peers     int             `json:"peers_total"`
	Zones     []string        `json:"zones"`
	TickUs    int64           `json:"tick_us"`
	Tenants   []tenantShare   `json:"orgs"`
	Classes   []classSettings `json:"profiles"`
	Limits    settingsLimits  `json:"limits"`
	Rules     settingsRules   `json:"rules"`
}

// tenantShare is a tenant and its fraction of the quota.
type tenantShare struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// classSettings are the settings of a class of requests.
type classSettings struct {
	Name        string  `json:"name"`
	ObjectiveUs int64   `json:"aim_us"`
	DeadlineUs  int64   `json:"deadline_us"`
	Effect      string  `json:"effect"`
	KeyScope    string  `json:"key_scope"`
	WindowUs    int64   `json:"window_us"`
	LateShare   float64 `json:"late_share"`
}

// settingsLimits are the limits of connections and attempts in the settings.
type settingsLimits struct {
	ConnectTimeoutUs int64 `json:"connect_timeout_us"`
	KeepaliveUs      int64 `json:"keepalive_us"`
	MaxAttempts      int   `json:"max_attempts"`
	MaxOpen          int   `json:"max_open"`
	Cancelling       bool  `json:"cancelling"`
}

// settingsRules are the times in the settings that the rules of a run depend on.
type settingsRules struct {
	PollIntervalUs int64 `json:"ask_every_us"`
	AnswerGraceUs  int64 `json:"grace_to_answer_us"`
	DrainGraceUs   int64 `json:"drain_grace_us"`
}

// config returns the node's configuration, which includes the endpoint list that the node was last notified of. The
// caller holds the node's mutex.
func (n *node) config() nodeConfig {
	var profiles []classSettings
	for _, c := range classes {
		profiles = append(profiles, classSettings{
			Name:        c.name,
			ObjectiveUs: (c.deadline / 2).Microseconds(),
			DeadlineUs:  c.deadline.Microseconds(),
			Effect:      c.effect,
			KeyScope:    "all",
			WindowUs:    idempotencyWindow.Microseconds(),
			LateShare:   0.5,
		})
	}
	revision, lines := n.run.list.lastNotifiedList(n.index)
	return nodeConfig{
		Name:      fmt.Sprintf("n%d", n.index),
		Listen:    n.listen,
		Discovery: n.discovery[n.activeDiscovery].address,
		Limits:    nodeLimits{Cores: 1, MemoryMB: 192, Sockets: nodeDescriptors},
		Known:     listAnswer{Revision: revision + n.discovery[n.activeDiscovery].revisionOffset, Full: true, Targets: n.targets(lines)},
		Settings: nodeSettings{
			Discovery: "ask",
			Self:      n.index,
			Peers:     n.run.options.Nodes,
			Zones:     []string{zoneName},
			TickUs:    5000,
			Tenants:   []tenantShare{{Name: tenantName, Share: 1}},
			Classes:   profiles,
			Limits: settingsLimits{
				ConnectTimeoutUs: 250_000,
				KeepaliveUs:      30_000_000,
				MaxAttempts:      3,
				MaxOpen:          20_000,
				Cancelling:       true,
			},
			Rules: settingsRules{
				PollIntervalUs: pollInterval.Microseconds(),
				AnswerGraceUs:  20_000,
				DrainGraceUs:   drainGrace.Microseconds(),
			},
		},
	}
}

// writeConfig replaces the configuration file atomically. The caller holds the node's mutex.
func (n *node) writeConfig() error {
	text, err := json.Marshal(n.config())
	if err != nil {
		return err
	}
	temporary := n.configPath + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, n.configPath)
}
