// Package consensus implements one member of the group that agrees on leases. It runs etcd's raft with lease.State as
// the state machine. The package does no I/O of its own: the caller passes in messages, clock ticks and requests, and
// the member passes storage updates to its Storage and, once those are durable, messages and replies to callbacks.
// docs/lease-design.md describes the guarantees and the reasons for them.
package consensus

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Options holds the settings and dependencies of a Member.
type Options struct {
	ID                  uint64
	Clock               func() time.Duration // a monotonic clock; its origin does not matter
	Rand                *rand.Rand           // source of the incarnation and of election timeouts
	Storage             Storage
	Send                func(to string, m *pb.Message) // sends a message to a member's address; it may be lost
	ElectionTicks       int                            // an election starts after n to 2n ticks without a leader
	SnapshotEntries     uint64                         // number of entries applied between two snapshots
	RequestTimeoutTicks int                            // a request that has no outcome by then gets ErrOutcomeUnknown
}

// Errors that a member itself replies with, in addition to those of package lease. Agents send the texts to their
// clients.
var (
	ErrOutcomeUnknown = errors.New("not known whether it was carried out: ask again")
	ErrBusy           = errors.New("too many requests at a time, or another change of members")
	ErrInvalidChange  = errors.New("no such change of members")
)

// NotLeaderError is the reply to a request to a member that is not the leader. Address is the leader's address, or
// empty if the member knows no leader.
type NotLeaderError struct{ Address string }

// Error implements the error interface. Agents send the text to their clients.
func (n NotLeaderError) Error() string { return "this member does not lead; leader: " + n.Address }
