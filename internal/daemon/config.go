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

// Config is the parsed and checked configuration of a node.
type Config struct {
	Name      string
	Listen    string // the address on which clients are accepted
	Discovery string // the address of discovery
	Admin     string // the admin address; empty: none
	Cores     float64
	MemoryMB  int
	Endpoints protocol.List // the endpoint list that is used until discovery has answered
	Node      node.Settings
	// DrainGrace is the time, in microseconds, during which attempts may still be sent to an endpoint after the
	// notification that it is draining or removed.
	DrainGrace int64

	document any // the decoded JSON of the whole file; a reload compares the new file with it
}

// Load reads the configuration file at path and checks it. The environment provides the fields that are empty in the
// file: GW_LISTEN the listen address, GW_DISCOVERY the address of discovery, GW_OPERATOR the admin address, and GW_NAME
// the name of the node. An error names the invalid field.
func Load(path string, getenv func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(raw, getenv)
}

// Parse does the same as Load for the text of a configuration file.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	if len(bytes.TrimSpace(bytes.Trim(raw, "\x00"))) == 0 {
		return nil, errEmptyConfig
	}
	config, err := parseAndCheck(raw, getenv)
	if err != nil {
		return nil, &oneLineError{err}
	}
	return config, nil
}

// errEmptyConfig reports a file that holds only white space or zero bytes, which is what a crash during a write may
// leave.
var errEmptyConfig = errors.New("configuration: empty")

// oneLineError formats an error on one line of the log. A JSON error quotes the surrounding text, including line
// breaks.
type oneLineError struct {
	err error
}

// Error returns the text with each run of white space replaced by a single space.
func (e *oneLineError) Error() string { return strings.Join(strings.Fields(e.err.Error()), " ") }

// Unwrap returns the original error.
func (e *oneLineError) Unwrap() error { return e.err }

// parseAndCheck decodes raw, fills empty fields from the environment and checks the result.
func parseAndCheck(raw []byte, getenv func(string) string) (*Config, error) {
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

// decodeJSON decodes raw into target. For a value of the wrong type, the error names the field by its path in raw.
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

// settings returns the settings of the node. The caller has checked the file. It returns an error if the names of the
// classes or tenants are empty or not unique, or if there are no classes.
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
		return node.Settings{}, settings.FieldErrorf("settings.profiles", "no request classes")
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
