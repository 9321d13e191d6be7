package protocol

import (
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

// State is the state of a backend at discovery.
type State uint8

// The states of a backend.
const (
	InService State = iota
	Terminating
	Terminated
)

// statesByName are the names of the states on the wire.
var statesByName = map[string]State{
	"in_service":  InService,
	"terminating": Terminating,
	"terminated":  Terminated,
}

// Target is one backend in discovery's list.
type Target struct {
	UID      string  `json:"UID"`
	Endpoint string  `json:"Endpoint"`
	Zone     string  `json:"Zone"`
	Cell     int     `json:"Cell"`
	State    State   `json:"State"`
	Weight   float64 `json:"Weight"`
	BootMs   int64   `json:"BootMs"` // Unix time of its last start; 0: long ago
}

// List is an answer of discovery: all backends, or those that changed.
type List struct {
	Revision int64    `json:"Rev"`
	Full     bool     `json:"All"`
	Targets  []Target `json:"Targets"`
}

// maxTargets bounds a list that discovery sends.
const maxTargets = 1 << 14

// maxBootMs bounds a time that discovery sends, so that it does not overflow in microseconds.
const maxBootMs = 1 << 50

// listJSON is the form of a list on the wire. It is an alias, as is targetJSON, so that errors of the decoder name fields
// without a type of ours.
type listJSON = struct {
	Rev     int64        `json:"rev"`
	All     bool         `json:"all"`
	Targets []targetJSON `json:"targets"`
}

type targetJSON = struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// ParseList parses a list of discovery's. An error names the field at fault.
func ParseList(raw []byte) (List, error) {
	var document listJSON
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &document); err != nil {
		return List{}, fmt.Errorf("list of backends: %w", err)
	}
	if len(document.Targets) > maxTargets {
		return List{}, fmt.Errorf("list of backends: %d targets, over %d", len(document.Targets), maxTargets)
	}
	list := List{Revision: document.Rev, Full: document.All, Targets: make([]Target, 0, len(document.Targets))}
	byUID := make(map[string]Target, len(document.Targets))
	for i, entry := range document.Targets {
		target, err := convertTarget(entry, i)
		if err != nil {
			return List{}, err
		}
		// Among changes the last one counts. In a full list, nothing tells which of two different entries is valid.
		if earlier, duplicate := byUID[target.UID]; list.Full && duplicate && earlier != target {
			return List{}, fmt.Errorf("targets[%d].uid: %q is there twice, and not alike", i, target.UID)
		}
		byUID[target.UID] = target
		list.Targets = append(list.Targets, target)
	}
	return list, nil
}

// convertTarget checks the entry at an index and converts it.
func convertTarget(entry targetJSON, index int) (Target, error) {
	state, ok := statesByName[entry.State]
	if !ok {
		return Target{}, fmt.Errorf("targets[%d].state: unknown state %q", index, entry.State)
	}
	if entry.UID == "" {
		return Target{}, fmt.Errorf("targets[%d].uid: empty", index)
	}
	if _, err := netip.ParseAddrPort(entry.Endpoint); err != nil && state != Terminated {
		return Target{}, fmt.Errorf("targets[%d].endpoint: %w", index, err)
	}
	return Target{
		UID:      entry.UID,
		Endpoint: entry.Endpoint,
		Zone:     entry.Zone,
		Cell:     entry.Cell,
		State:    state,
		Weight:   entry.Weight,
		BootMs:   min(max(entry.BootMs, 0), maxBootMs),
	}, nil
}

// AppendListRequest appends a request for the full list.
func AppendListRequest(dst []byte, host string) []byte {
	dst = append(dst, "GET /v1/endpoints HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return append(dst, "\r\n\r\n"...)
}

// AppendWatchRequest appends a request for what has changed since a revision, which discovery may hold for waitMs.
func AppendWatchRequest(dst []byte, host string, since, waitMs int64) []byte {
	dst = append(dst, "GET /v1/endpoints?since="...)
	dst = strconv.AppendInt(dst, since, 10)
	dst = append(dst, "&timeout_ms="...)
	dst = strconv.AppendInt(dst, waitMs, 10)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return append(dst, "\r\n\r\n"...)
}
