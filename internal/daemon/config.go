package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/balancer"
	"tulipglade/internal/node"
	"tulipglade/internal/protocol"
	"tulipglade/internal/settings"
)

// Config is the configuration of a node.
type Config struct {
	Name       string
	Listen     string // the clients' address
	Discovery  string // the address of discovery
	Admin      string // the address that operators call; empty: none
	Cores      float64
	MemoryMB   int
	Endpoints  protocol.List // known before discovery has answered
	Node       node.Settings
	DrainGrace int64 // after notification that an endpoint drains or is removed, for what is still sent to it, in microseconds

	document any // the file as it stands, with which the next one is compared
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
		return nil, errEmptyConfig
	}
	config, err := parse(raw, getenv)
	if err != nil {
		return nil, &oneLineError{err}
	}
	return config, nil
}

// errEmptyConfig is a configuration of nothing but white space or zero bytes, as a crash may leave one.
var errEmptyConfig = errors.New("configuration: empty")

// oneLineError puts an error's text on one line: a JSON error quotes the text around it, line breaks and all.
type oneLineError struct {
	err error
}

// Error returns the text with each run of white space replaced by a blank.
func (e *oneLineError) Error() string { return strings.Join(strings.Fields(e.err.Error()), " ") }

// Unwrap returns the error itself.
func (e *oneLineError) Unwrap() error { return e.err }

func parse(raw []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := decodeJSON(raw, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var document any
	if err := decodeJSON(raw, &document); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	file.applyEnvironment(getenv)
	if err := file.check(); err != nil {
		return nil, err
	}
	seed, err := file.seed()
	if err != nil {
		return nil, err
	}
	endpoints, err := file.endpoints()
	if err != nil {
		return nil, err
	}
	var nodeFile nodeSettingsFile
	if err := decodeJSON(file.Settings, &nodeFile); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	deployment, err := settings.Parse(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := nodeFile.check(deployment.Balancer); err != nil {
		return nil, err
	}
	nodeSettings, err := nodeFile.settings(deployment)
	if err != nil {
		return nil, err
	}
	nodeSettings.Seed = seed
	nodeSettings.MaxDescriptors = file.Limits.MaxDescriptors
	nodeSettings.MemoryLimit = int64(file.Limits.MemoryMB) * bytesPerMB
	return &Config{
		Name:       file.Name,
		Listen:     file.Listen,
		Discovery:  file.Discovery,
		Admin:      file.Admin,
		Cores:      file.Limits.Cores,
		MemoryMB:   file.Limits.MemoryMB,
		Endpoints:  endpoints,
		Node:       nodeSettings,
		DrainGrace: nodeFile.Rules.DrainGrace,
		document:   document,
	}, nil
}

// decodeJSON decodes raw into target. A value of the wrong type is an error that names the field by its path in the file.
func decodeJSON(raw []byte, target any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, target)
	if err == nil {
		return nil
	}
	var fieldError *settings.FieldError
	if errors.As(settings.ConvertTypeError(json.Unmarshal(raw, target)), &fieldError) {
		return fieldError
	}
	return err
}

// settings returns the settings of the node; the file has been checked.
func (f *nodeSettingsFile) settings(deployment settings.Deployment) (node.Settings, error) {
	module := deployment.Balancer
	if module.PollDiscovery {
		module.ListLease = balancer.NotificationDeadline
	}
	classes, err := uniqueNames("settings.profiles", f.Classes)
	if err != nil {
		return node.Settings{}, err
	}
	if len(classes) == 0 {
		return node.Settings{}, settings.FieldErrorf("settings.profiles", "no classes of request")
	}
	tenants, err := uniqueNames("settings.orgs", f.Tenants)
	if err != nil {
		return node.Settings{}, err
	}
	return node.Settings{
		Balancer:       module,
		Classes:        classes,
		Tenants:        tenants,
		Zones:          f.Zones,
		MaxInFlight:    f.Limits.MaxOpen,
		ConnectTimeout: f.Limits.ConnectTimeout,
		Keepalive:      f.Limits.Keepalive,
		LoadReports:    len(deployment.LoadReportFields) > 0,
		OverdueGrace:   f.Rules.OverdueGrace,
		DrainGrace:     f.Rules.DrainGrace,
	}, nil
}
