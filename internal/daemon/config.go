// Package daemon starts and stops a node: its configuration, the listener, discovery's watch, and signals.
package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/balancer"
	"tulipglade/internal/node"
	"tulipglade/internal/protocol"
	"tulipglade/internal/settings"
)

// Config is all that a node is told at its start.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Admin         string // where operators call; empty: nowhere
	Cores         float64
	MemoryMB      int
	Endpoints     protocol.List
	Node          node.Settings
	ShutdownGrace int64 // after the word that a host drains or is gone, for what still goes to it, in microseconds
	tree          any   // the file as it stands, which the next one is held against
}

// Load reads the configuration file and checks it. Listen and discovery may be given in the environment
// instead, as GW_LISTEN, GW_DISCOVERY and GW_OPERATOR; so may the name, as GW_NAME. An error names the field at fault.
func Load(path string, getenv func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(raw, getenv)
}

// Parse is Load on the file's text.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	if len(bytes.TrimSpace(bytes.Trim(raw, "\x00"))) == 0 {
		return nil, errors.New("configuration: empty")
	}
	c, err := parse(raw, getenv)
	if err != nil { // a JSON error quotes the text around it, lines and all
		return nil, errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	return c, nil
}

func parse(raw []byte, getenv func(string) string) (*Config, error) {
	var in struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Operator  string `json:"operator"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    jsoniter.RawMessage `json:"known"`
		Settings jsoniter.RawMessage `json:"settings"`
	}
	json := jsoniter.ConfigCompatibleWithStandardLibrary
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{tree: tree, Name: or(in.Name, getenv("GW_NAME")), Listen: or(in.Listen, getenv("GW_LISTEN")),
		Discovery: or(in.Discovery, getenv("GW_DISCOVERY")), Admin: or(in.Operator, getenv("GW_OPERATOR")), Cores: in.Limits.Cores, MemoryMB: in.Limits.MemoryMB}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"operator", c.Admin}} {
		if a.field == "operator" && a.addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case in.Limits.Sockets != 0 && in.Limits.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is below %d", in.Limits.Sockets, leastSockets)
	case len(in.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	var seed uint64
	if in.Seed != "" {
		var err error
		if seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	c.Endpoints.All = true
	if len(in.Known) > 0 {
		var err error
		if c.Endpoints, err = protocol.ParseList(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	var s struct {
		Tenants []named  `json:"orgs"`
		Classes []named  `json:"profiles"`
		Zones   []string `json:"zones"`
		Limits  struct {
			Attempts       int64 `json:"max_attempts"`
			MaxOpen        int   `json:"max_open"`
			ConnectTimeout int64 `json:"connect_timeout_us"`
			Keepalive      int64 `json:"keepalive_us"`
		} `json:"limits"`
		Rules struct {
			Grace int64 `json:"grace_to_answer_us"`
			Drain int64 `json:"drain_grace_us"`
		} `json:"rules"`
	}
	if err := json.Unmarshal(in.Settings, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	module, reports, err := settings.Parse(in.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	positive := []struct {
		field string
		value int64
	}{{"limits.connect_timeout_us", s.Limits.ConnectTimeout}, {"limits.max_attempts", s.Limits.Attempts}}
	for i, class := range module.Classes {
		at := fmt.Sprintf("profiles[%d]", i)
		positive = append(positive, struct {
			field string
			value int64
		}{at + ".deadline_us", class.Deadline}, struct {
			field string
			value int64
		}{at + ".aim_us", class.LatencyObjective})
	}
	for _, p := range positive {
		if p.value <= 0 {
			return nil, fmt.Errorf("settings.%s: %d is not above 0", p.field, p.value)
		}
	}
	if s.Limits.MaxOpen < 0 {
		return nil, fmt.Errorf("settings.limits.max_open: %d is below 0", s.Limits.MaxOpen)
	}
	if module.PollDiscovery && module.PollInterval <= 0 {
		return nil, fmt.Errorf("settings.rules.ask_every_us: %d is not above 0, and discovery must be asked", module.PollInterval)
	}
	c.ShutdownGrace = s.Rules.Drain
	if module.PollDiscovery {
		module.ListLease = balancer.NotificationDeadline
	}
	c.Node = node.Settings{Balancer: module, Seed: seed, Zones: s.Zones, MaxInFlight: s.Limits.MaxOpen,
		ConnectTimeout: s.Limits.ConnectTimeout, Keepalive: s.Limits.Keepalive, LoadReports: len(reports) > 0, OverdueGrace: s.Rules.Grace, DrainGrace: s.Rules.Drain,
		MaxDescriptors: in.Limits.Sockets, MemoryLimit: int64(in.Limits.MemoryMB) << 20}
	if c.Node.Classes, err = names("settings.profiles", s.Classes); err != nil {
		return nil, err
	}
	if len(c.Node.Classes) == 0 {
		return nil, errors.New("settings.profiles: no classes of request")
	}
	if c.Node.Tenants, err = names("settings.orgs", s.Tenants); err != nil {
		return nil, err
	}
	return c, nil
}

// leastSockets is what a node needs to serve at all.
const leastSockets = 64

type named struct {
	Name string `json:"name"`
}

func names(field string, in []named) ([]string, error) {
	var out []string
	seen := map[string]bool{}
	for i, v := range in {
		if v.Name == "" || seen[v.Name] {
			return nil, fmt.Errorf("%s[%d].name: %q is empty or there twice", field, i, v.Name)
		}
		seen[v.Name] = true
		out = append(out, v.Name)
	}
	return out, nil
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
