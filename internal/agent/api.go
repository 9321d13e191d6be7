package agent

import (
	"net/http"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// Response is the answer to a request of a lease holder or an operator.
type Response struct {
	Grant  *lease.Grant      `json:"grant,omitempty"`
	Terms  *lease.Terms      `json:"terms,omitempty"`
	Status *consensus.Status `json:"view,omitempty"`
	Code   string            `json:"code,omitempty"` // of the error; see errorCodes
	Error  string            `json:"error,omitempty"`
	Leader string            `json:"leader,omitempty"` // address of the leader, with codeNotLeader
}

// MembershipChange is a request to change the members of the group.
type MembershipChange struct {
	Add    map[uint64]string `json:"add,omitempty"`
	Remove []uint64          `json:"remove,omitempty"`
}

// Codes of errors that are no error values of other packages, or that are used by name.
const (
	codeNotLeader = "not-leader"
	codeInvalid   = "bad"
	codeBusy      = "busy"
)

// errorCode is an error of the group, and the HTTP status that it is answered with.
type errorCode struct {
	err    error
	status int
}

// errorCodes are the errors of the group by their codes in a Response.
var errorCodes = map[string]errorCode{
	"taken":     {lease.ErrNoFreeSlot, http.StatusConflict},
	"not-held":  {lease.ErrNotGranted, http.StatusConflict},
	"fewer":     {lease.ErrSlotRemoved, http.StatusConflict},
	codeInvalid: {lease.ErrInvalid, http.StatusBadRequest},
	"full":      {lease.ErrFull, http.StatusInsufficientStorage},
	"unsure":    {consensus.ErrOutcomeUnknown, http.StatusServiceUnavailable},
	codeBusy:    {consensus.ErrBusy, http.StatusServiceUnavailable},
	"not-now":   {consensus.ErrInvalidChange, http.StatusConflict},
}

// Verbs of the paths under /lease/.
const (
	verbAcquire       = "acquire"
	verbRenew         = "renew"
	verbRelease       = "release"
	verbSetMaxHolders = "most"
	verbSetNote       = "note"
)

// commandKinds are the commands on leases by the verbs of their paths.
var commandKinds = map[string]lease.Kind{
	verbAcquire:       lease.Acquire,
	verbRenew:         lease.Renew,
	verbRelease:       lease.Release,
	verbSetMaxHolders: lease.SetMaxHolders,
	verbSetNote:       lease.SetNote,
}

// Paths that both the client and the server use.
const (
	pathLease   = "/lease/" // and a verb
	pathLeases  = "/leases"
	pathStatus  = "/status"
	pathMembers = "/members"
	pathDigests = "/digests"
)
