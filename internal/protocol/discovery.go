package protocol

import (
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

// State is the state of a backend as discovery reports it.
type State uint8

// The states that a backend in a list can have.
const (
	InService State = iota
	Terminating
	Terminated
	// Unknown is the state of a backend whose entry in a list is invalid. The backend gets no new requests until a
	// later list has a valid entry for it.
	Unknown
)

// restriction ranks the states: the higher the rank, the less traffic may be sent to the backend.
var restriction = map[State]int{InService: 0, Terminating: 1, Unknown: 1, Terminated: 2}

// MoreRestrictive returns the more restrictive of two states that a list gives for one backend, and s if both are
// equally restrictive.
func (s State) MoreRestrictive(other State) State {
	if restriction[other] > restriction[s] {
		return other
	}
	return s
}

// statesByName maps the names of the states on the wire to the states. Unknown has no name there.
var statesByName = map[string]State{
	"in_service":  InService,
	"terminating": Terminating,
	"terminated":  Terminated,
}

// Target is one backend in a list of discovery.
type Target struct {
	UID      string  `json:"UID"`
	Endpoint string  `json:"Endpoint"`
	Zone     string  `json:"Zone"`
	Cell     int     `json:"Cell"`
	State    State   `json:"State"`
	Weight   float64 `json:"Weight"`
	BootMs   int64   `json:"BootMs"` // Unix time of the last start in milliseconds; 0 if it started long ago
}

// List is a response of discovery: all backends if Full, otherwise only those that have changed.
type List struct {
	Revision int64    `json:"Rev"`
	Full     bool     `json:"All"`
	Targets  []Target `json:"Targets"`
}

// maxTargets bounds the number of entries in a list that discovery sends.
const maxTargets = 1 << 14

// maxBootMs bounds the start times that discovery sends, so that they do not overflow when converted to microseconds.
const maxBootMs = 1 << 50

// listJSON is the JSON form of a list on the wire. It and targetJSON are aliases of unnamed types, so that errors of
// the decoder name the field without the name of a Go type.
type listJSON = struct {
	Rev     int64        `json:"rev"`
	All     bool         `json:"all"`
	Targets []targetJSON `json:"targets"`
}

// targetJSON is the JSON form of an entry of a list.
type targetJSON = struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// ParseList parses a list in which every entry must be valid, such as one in a configuration. An error about an entry
// names the invalid field.
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

// ParseListLenient parses a response of discovery. An invalid entry does not invalidate the others: its backend is
// listed in state Unknown if the entry has a UID, and is left out otherwise, and invalid gets an error with the reason.
// If a full list has differing entries for one backend, the first entry stays, with the more restrictive of the states.
// An error is returned only if the response as a whole is not a list or has too many entries.
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
		// A list of changes may have several entries for one backend; they are applied in order and the last one
		// counts.
		if !list.Full || !duplicate || list.Targets[position] == target {
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

// decodeList decodes a list from its JSON form. If it cannot be decoded as a whole, its entries are decoded one by one:
// an entry that cannot be decoded keeps its UID at most, and undecodable maps its index to the error.
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

// entryUID returns the UID of an entry that cannot be decoded as a whole, or "" if it has no readable UID.
func entryUID(raw []byte) string {
	var entry struct {
		UID string `json:"uid"`
	}
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &entry) != nil {
		return ""
	}
	return entry.UID
}

// convertTarget validates the entry at the given index of a list and converts it. With an error it returns a target in
// state Unknown, or the zero value if the entry has no UID.
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

// AppendListRequest appends a request to discovery for the full list.
func AppendListRequest(dst []byte, host string) []byte {
	dst = append(dst, "GET /v1/endpoints HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return append(dst, "\r\n\r\n"...)
}

// AppendWatchRequest appends a request to discovery for the changes since a revision. Discovery may hold the request
// for up to waitMs until there is a change (long polling).
func AppendWatchRequest(dst []byte, host string, since, waitMs int64) []byte {
	dst = append(dst, "GET /v1/endpoints?since="...)
	dst = strconv.AppendInt(dst, since, 10)
	dst = append(dst, "&timeout_ms="...)
	dst = strconv.AppendInt(dst, waitMs, 10)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return append(dst, "\r\n\r\n"...)
}
