package daemon

import (
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/settings"
)

// minDescriptors is the lowest limit of file descriptors with which a node can serve.
const minDescriptors = 64

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name      string              `json:"name"`
	Listen    string              `json:"listen"`
	Discovery string              `json:"discovery"`
	Admin     string              `json:"operator"`
	Seed      string              `json:"seed"`
	Limits    processLimitsFile   `json:"limits"`
	Known     jsoniter.RawMessage `json:"known"`
	Settings  jsoniter.RawMessage `json:"settings"`
}

type processLimitsFile struct {
	Cores          float64 `json:"cores"`
	MemoryMB       int     `json:"memory_mb"`
	MaxDescriptors int     `json:"sockets"`
}

// nodeSettingsFile is the part of the settings that the node reads itself, apart from what the settings package reads
// for the balancer. Times are in microseconds.
type nodeSettingsFile struct {
	Tenants []namedEntryFile `json:"orgs"`
	Classes []namedEntryFile `json:"profiles"`
	Zones   []string         `json:"zones"`
	Limits  nodeLimitsFile   `json:"limits"`
	Rules   nodeRulesFile    `json:"rules"`
}

type nodeLimitsFile struct {
	MaxAttempts    int64 `json:"max_attempts"`
	MaxOpen        int   `json:"max_open"`
	ConnectTimeout int64 `json:"connect_timeout_us"`
	Keepalive      int64 `json:"keepalive_us"`
}

type nodeRulesFile struct {
	OverdueGrace int64 `json:"grace_to_answer_us"`
	DrainGrace   int64 `json:"drain_grace_us"`
}

type namedEntryFile struct {
	Name string `json:"name"`
}

// applyEnvironment fills the empty fields of the file from environment variables.
func (f *configFile) applyEnvironment(getenv func(string) string) {
	f.Name = firstNonEmpty(f.Name, getenv("GW_NAME"))
	f.Listen = firstNonEmpty(f.Listen, getenv("GW_LISTEN"))
	f.Discovery = firstNonEmpty(f.Discovery, getenv("GW_DISCOVERY"))
	f.Admin = firstNonEmpty(f.Admin, getenv("GW_OPERATOR"))
}

func (f *configFile) check() error {
	if err := checkAddress("listen", f.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", f.Discovery); err != nil {
		return err
	}
	if f.Admin != "" {
		if err := checkAddress("operator", f.Admin); err != nil {
			return err
		}
	}
	if err := f.Limits.check(); err != nil {
		return err
	}
	if len(f.Settings) == 0 {
		return settings.FieldErrorf("settings", "missing")
	}
	return nil
}

func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

func (l processLimitsFile) check() error {
	switch {
	case l.Cores < 0:
		return settings.FieldErrorf("limits.cores", "%v is below 0", l.Cores)
	case l.MemoryMB < 0:
		return settings.FieldErrorf("limits.memory_mb", "%d is below 0", l.MemoryMB)
	case l.MaxDescriptors != 0 && l.MaxDescriptors < minDescriptors:
		return settings.FieldErrorf("limits.sockets", "%d is below %d", l.MaxDescriptors, minDescriptors)
	}
	return nil
}

// seed parses the seed, which is written in hexadecimal. It returns 0 if the file has no seed.
func (f *configFile) seed() (uint64, error) {
	if f.Seed == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	return seed, nil
}

// endpoints parses the endpoint list that the node uses until discovery has answered. Without one in the file, it
// returns an empty full list.
func (f *configFile) endpoints() (protocol.List, error) {
	if len(f.Known) == 0 {
		return protocol.List{Full: true}, nil
	}
	list, err := protocol.ParseList(f.Known)
	if err != nil {
		return list, fmt.Errorf("known: %w", err)
	}
	return list, nil
}

// check checks the ranges of the numbers, including those that the balancer reads, which module holds.
func (f *nodeSettingsFile) check(module balancer.Config) error {
	if err := checkPositive("settings.limits.connect_timeout_us", f.Limits.ConnectTimeout); err != nil {
		return err
	}
	if err := checkPositive("settings.limits.max_attempts", f.Limits.MaxAttempts); err != nil {
		return err
	}
	for i, class := range module.Classes {
		field := fmt.Sprintf("settings.profiles[%d]", i)
		if err := checkPositive(field+".deadline_us", class.Deadline); err != nil {
			return err
		}
		if err := checkPositive(field+".aim_us", class.LatencyObjective); err != nil {
			return err
		}
	}
	if f.Limits.MaxOpen < 0 {
		return settings.FieldErrorf("settings.limits.max_open", "%d is below 0", f.Limits.MaxOpen)
	}
	if module.PollDiscovery && module.PollInterval <= 0 {
		return settings.FieldErrorf("settings.rules.ask_every_us",
			"%d is not above 0, but discovery is polled at this interval", module.PollInterval)
	}
	return nil
}

func checkPositive(field string, value int64) error {
	if value <= 0 {
		return settings.FieldErrorf(field, "%d is not above 0", value)
	}
	return nil
}

// uniqueNames returns the names of entries, which are the value of the named field. It returns an error if a name is
// empty or occurs twice.
func uniqueNames(field string, entries []namedEntryFile) ([]string, error) {
	var names []string
	seen := map[string]bool{}
	for i, entry := range entries {
		if entry.Name == "" || seen[entry.Name] {
			return nil, settings.FieldErrorf(fmt.Sprintf("%s[%d].name", field, i), "%q is empty or a duplicate", entry.Name)
		}
		seen[entry.Name] = true
		names = append(names, entry.Name)
	}
	return names, nil
}

// firstNonEmpty returns first, or second if first is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
