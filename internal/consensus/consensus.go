// Package consensus is one member of the group that agrees on leases: etcd's raft with lease.State as its state machine. It has no
// I/O. Messages, clock ticks and requests go in; out come storage updates and, once those are durable, messages and replies.
// docs/lease-design.md says what holds and why.
package consensus

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Options are the settings and dependencies of a Member.
type Options struct {
	ID                  uint64
	Clock               func() time.Duration // monotonic, from any origin
	Rand                *rand.Rand
	Storage             Storage
	Send                func(to string, m *pb.Message) // to a member's address; the message may be lost
	ElectionTicks       int                            // an election starts after this many to twice as many ticks without a leader
	SnapshotEntries     uint64                         // entries between two snapshots
	RequestTimeoutTicks int                            // ticks until a request without an outcome fails
}

// Reasons why a request gets neither a grant nor an error of package lease.
var (
	ErrOutcomeUnknown = errors.New("not known whether it was carried out: ask again")
	ErrBusy           = errors.New("too many requests at a time, or another change of members")
	ErrInvalidChange  = errors.New("no such change of members")
)

// NotLeaderError is the reply of a member that is not the leader. Address is the leader's, or empty if no leader is known.
type NotLeaderError struct{ Address string }

// Error implements error. Agents send the text to their clients.
func (n NotLeaderError) Error() string { return "this member does not lead; leader: " + n.Address }
