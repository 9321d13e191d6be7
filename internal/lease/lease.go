// Package lease implements leases. A lease limits how many processes of a fleet may perform a task at the same time.
// The package does no I/O: State is the state machine that a group of agents replicates, and Guard is used by the
// holder of a lease. Package fencing is used by the target of the holder's actions. docs/lease-design.md describes the
// guarantees and the reasons for them.
package lease

import "tulipglade/internal/fencing"

// Token is a fencing token. The type is declared in package fencing, so that a node can use it without linking this
// package.
type Token = fencing.Token

// Grant is a holder's right to one slot of a lease. The type is declared in package fencing for the same reason.
type Grant = fencing.Grant

// Lease describes a lease: the number of its slots, its current grants and its note. Its JSON form is sent over HTTP.
type Lease struct {
	Name       string  `json:"name"`
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // sorted by slot
	Note       string  `json:"note,omitempty"`
}
