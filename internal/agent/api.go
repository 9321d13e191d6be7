package agent

import (
	"net/http"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// Response is the body of the agent's answer to a request of a lease holder or an operator.
type Response struct {
	Grant  *lease.Grant      `json:"grant,omitempty"`
	Terms  *lease.Terms      `json:"terms,omitempty"`
	Status *consensus.Status `json:"view,omitempty"`
	Code   string            `json:"code,omitempty"` // identifies the error; see errorCodes and codeNotLeader
	Error  string            `json:"error,omitempty"`
	Leader string            `json:"leader,omitempty"` // address of the leader, if Code is codeNotLeader
}

// MembershipChange is a request to add members, by ID and address, and to remove members, by ID, in one step.
type MembershipChange struct {
	Add    map[uint64]string `json:"add,omitempty"`
	Remove []uint64          `json:"remove,omitempty"`
}

// Error codes that have no entry in errorCodes, or that other code refers to.
const (
	codeNotLeader = "not-leader"
	codeInvalid   = "bad"
	codeBusy      = "busy"
)

// errorCode is an error of the group, and the HTTP status of the response that reports it.
type errorCode struct {
	err    error
	status int
}

// errorCodes maps the Code of a Response to the error that it stands for.
var errorCodes = map[string]errorCode{
	"taken":      {lease.ErrNoFreeSlot, http.StatusConflict},
	"not-held":   {lease.ErrNotGranted, http.StatusConflict},
	"fewer":      {lease.ErrSlotRemoved, http.StatusConflict},
	"superseded": {lease.ErrSuperseded, http.StatusConflict},
	codeInvalid:  {lease.ErrInvalid, http.StatusBadRequest},
	"full":       {lease.ErrFull, http.StatusInsufficientStorage},
	"unsure":     {consensus.ErrOutcomeUnknown, http.StatusServiceUnavailable},
	codeBusy:     {consensus.ErrBusy, http.StatusServiceUnavailable},
	"not-now":    {consensus.ErrInvalidChange, http.StatusConflict},
}

// Verbs at the end of the paths under /lease/, each for one command on a lease.
const (
	verbAcquire       = "acquire"
	verbRenew         = "renew"
	verbRelease       = "release"
	verbSetMaxHolders = "most"
	verbSetNote       = "note"
)

// commandKinds maps the verb in a path to the kind of command on a lease.
var commandKinds = map[string]lease.Kind{
	verbAcquire:       lease.Acquire,
	verbRenew:         lease.Renew,
	verbRelease:       lease.Release,
	verbSetMaxHolders: lease.SetMaxHolders,
	verbSetNote:       lease.SetNote,
}

// Paths that both the client and the server use.
const (
	pathLease   = "/lease/" // followed by a verb
	pathLeases  = "/leases"
	pathStatus  = "/status"
	pathMembers = "/members"
	pathDigests = "/digests"
)
