package protocol

import (
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

// State is what discovery says of a backend.
type State uint8

// The states of a backend.
const (
	InService State = iota
	Terminating
	Terminated
)

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

// List is what discovery answers: all backends, or those that changed.
type List struct {
	Rev     int64    `json:"Rev"`
	All     bool     `json:"All"`
	Targets []Target `json:"Targets"`
}

// maxTargets bounds a list that discovery sends.
const maxTargets = 1 << 14

// maxBootMs bounds a time that discovery sends, so that it still counts in microseconds.
const maxBootMs = 1 << 50

// ParseList reads a list of discovery's, or says what is wrong with it.
func ParseList(raw []byte) (List, error) {
	var in struct {
		Rev     int64 `json:"rev"`
		All     bool  `json:"all"`
		Targets []struct {
			UID      string  `json:"uid"`
			Endpoint string  `json:"endpoint"`
			Zone     string  `json:"az"`
			Cell     int     `json:"pod_group"`
			State    string  `json:"state"`
			Weight   float64 `json:"capacity_hint"`
			BootMs   int64   `json:"boot_ms"`
		} `json:"targets"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &in); err != nil {
		return List{}, fmt.Errorf("list of backends: %w", err)
	}
	if len(in.Targets) > maxTargets {
		return List{}, fmt.Errorf("list of backends: %d targets, over %d", len(in.Targets), maxTargets)
	}
	out := List{Rev: in.Rev, All: in.All, Targets: make([]Target, 0, len(in.Targets))}
	named := make(map[string]Target, len(in.Targets))
	for i, t := range in.Targets {
		state, ok := map[string]State{"in_service": InService, "terminating": Terminating,
			"terminated": Terminated}[t.State]
		if !ok {
			return List{}, fmt.Errorf("targets[%d].state: unknown state %q", i, t.State)
		}
		if t.UID == "" {
			return List{}, fmt.Errorf("targets[%d].uid: empty", i)
		}
		if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && state != Terminated {
			return List{}, fmt.Errorf("targets[%d].endpoint: %w", i, err)
		}
		target := Target{UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Cell: t.Cell,
			State: state, Weight: t.Weight, BootMs: min(max(t.BootMs, 0), maxBootMs)}
		// Among changes the later one counts. A whole list has one word on each backend, or nobody can tell which of them holds.
		if before, twice := named[t.UID]; in.All && twice && before != target {
			return List{}, fmt.Errorf("targets[%d].uid: %q is there twice, and not alike", i, t.UID)
		}
		named[t.UID] = target
		out.Targets = append(out.Targets, target)
	}
	return out, nil
}

// AppendListRequest appends a request for the whole list.
func AppendListRequest(dst []byte, host string) []byte {
	return append(append(append(dst, "GET /v1/endpoints HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// AppendWatchRequest appends a request for what is newer than a version, which may wait for so long.
func AppendWatchRequest(dst []byte, host string, since, waitMs int64) []byte {
	dst = strconv.AppendInt(append(dst, "GET /v1/endpoints?since="...), since, 10)
	dst = strconv.AppendInt(append(dst, "&timeout_ms="...), waitMs, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}
