// Package lease implements leases on tasks that at most a given number of processes of a fleet may do at a time. It has no I/O: State is
// the state machine that a group of agents replicates, Guard is the holder's side, and package fencing is the side of what is acted
// upon. docs/lease-design.md says what holds and why.
package lease

import "tulipglade/internal/fencing"

// Token is a fencing token. It stands in package fencing, which a node can link without the rest.
type Token = fencing.Token

// Grant is a slot of a lease that somebody holds.
type Grant = fencing.Grant

// Lease is a lease with its grants.
type Lease struct {
	Name       string  `json:"name"`
	MaxHolders int     `json:"most"`
	Grants     []Grant `json:"held"` // by slot
	Note       string  `json:"note,omitempty"`
}
