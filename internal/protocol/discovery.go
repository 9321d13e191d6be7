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
	// Unknown is the state of a backend whose entry in a list cannot be read. It gets no new requests until a list states it again.
	Unknown
)

// restriction orders the states by how little may be sent to a backend.
var restriction = map[State]int{InService: 0, Terminating: 1, Unknown: 1, Terminated: 2}

// MoreRestrictive returns the more restrictive of two states that a list gives for one backend, the first of equals.
func (s State) MoreRestrictive(other State) State {
	if restriction[other] > restriction[s] {
		return other
	}
	return s
}

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

// ParseList parses a list of which every entry must be valid, as in a configuration. An error names the field at fault.
func ParseList(raw []byte) (List, error) {
	list, invalid, err := ParseListLenient(raw)
	if err == nil && len(invalid) > 0 {
		err = invalid[0]
	}
	if err != nil {
		return List{}, err
	}
	return list, nil
}

// ParseListLenient parses an answer of discovery. An entry that cannot be read does not spoil the others: its backend is listed
// in state Unknown if the entry has a UID, and left out if not, and invalid says why. If a full list has unlike entries
// for one backend, its state is the more restrictive one. Only what is not a list at all is an error.
func ParseListLenient(raw []byte) (list List, invalid []error, err error) {
	document, undecodable, err := decodeList(raw)
	if err != nil {
		return List{}, nil, fmt.Errorf("list of backends: %w", err)
	}
	if len(document.Targets) > maxTargets {
		return List{}, nil, fmt.Errorf("list of backends: %d targets, over %d", len(document.Targets), maxTargets)
	}
	list = List{Revision: document.Rev, Full: document.All, Targets: make([]Target, 0, len(document.Targets))}
	positions := make(map[string]int, len(document.Targets))
	for i, entry := range document.Targets {
		target, err := convertTarget(entry, i)
		if cause := undecodable[i]; cause != nil {
			err = fmt.Errorf("targets[%d]: %w", i, cause)
		}
		if err != nil {
			invalid = append(invalid, err)
		}
		if target.UID == "" {
			continue
		}
		position, duplicate := positions[target.UID]
		if !list.Full || !duplicate || list.Targets[position] == target { // among changes the last one counts
			positions[target.UID] = len(list.Targets)
			list.Targets = append(list.Targets, target)
			continue
		}
		invalid = append(invalid, fmt.Errorf("targets[%d].uid: %q is there twice, and not alike", i, target.UID))
		earlier := &list.Targets[position]
		earlier.State = earlier.State.MoreRestrictive(target.State)
	}
	return list, invalid, nil
}

// decodeList decodes a list from its form on the wire. Where it cannot be decoded as a whole, it is entry by entry: those
// that cannot be decoded have no more than a UID, and undecodable says why, by their index.
func decodeList(raw []byte) (document listJSON, undecodable map[int]error, err error) {
	decoder := jsoniter.ConfigCompatibleWithStandardLibrary
	if err = decoder.Unmarshal(raw, &document); err == nil {
		return document, nil, nil
	}
	var outline struct {
		Rev     int64                 `json:"rev"`
		All     bool                  `json:"all"`
		Targets []jsoniter.RawMessage `json:"targets"`
	}
	if decoder.Unmarshal(raw, &outline) != nil {
		return listJSON{}, nil, err
	}
	document = listJSON{Rev: outline.Rev, All: outline.All, Targets: make([]targetJSON, len(outline.Targets))}
	undecodable = map[int]error{}
	for i, rawEntry := range outline.Targets {
		var entry targetJSON
		if err := decoder.Unmarshal(rawEntry, &entry); err != nil {
			undecodable[i] = err
			entry = targetJSON{UID: entryUID(rawEntry)}
		}
		document.Targets[i] = entry
	}
	return document, undecodable, nil
}

// entryUID returns the UID of an entry that cannot be decoded as a whole, or nothing.
func entryUID(raw []byte) string {
	var entry struct {
		UID string `json:"uid"`
	}
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &entry) != nil {
		return ""
	}
	return entry.UID
}

// convertTarget checks the entry at an index and converts it. Beside an error, it returns what is known of the backend.
func convertTarget(entry targetJSON, index int) (Target, error) {
	if entry.UID == "" {
		return Target{}, fmt.Errorf("targets[%d].uid: empty", index)
	}
	unknown := Target{UID: entry.UID, State: Unknown}
	state, ok := statesByName[entry.State]
	if !ok {
		return unknown, fmt.Errorf("targets[%d].state: unknown state %q", index, entry.State)
	}
	if _, err := netip.ParseAddrPort(entry.Endpoint); err != nil && state != Terminated {
		return unknown, fmt.Errorf("targets[%d].endpoint: %w", index, err)
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
