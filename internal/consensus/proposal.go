package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

// maxPendingRequests is the maximum number of requests that wait for an outcome.
const maxPendingRequests = 4096

// requestKey identifies a request of a member, so that the member recognizes its own proposals in the log. Its JSON
// form is stored and sent to other members.
type requestKey struct {
	Member      uint64 `json:"by"`
	Incarnation uint64 `json:"life"`
	Sequence    uint64 `json:"seq"`
}

// proposal is the content of a log entry with a lease command. Its JSON form is stored and sent to other members.
type proposal struct {
	requestKey
	lease.Command
}

// request is a call of Propose, ReadIndex or ChangeMembers that waits for its outcome. Exactly one of the replies is
// set.
type request struct {
	reply        func(lease.Grant, error)
	readReply    func(error)
	registeredAt int  // the member's tick count at the call
	committed    bool // the first step of a change of members is committed, so it no longer times out
}

// Propose proposes a lease command to the group. The reply is called exactly once, with the outcome, and possibly
// before Propose returns.
func (m *Member) Propose(command lease.Command, reply func(lease.Grant, error)) {
	if command.Kind == lease.Tick {
		reply(lease.Grant{}, lease.ErrInvalid)
		return
	}
	sequence, err := m.register(request{reply: reply})
	if err != nil {
		reply(lease.Grant{}, err)
		return
	}
	if err := m.propose(sequence, command); err != nil {
		m.answer(sequence, lease.Grant{}, err)
	}
}

// proposeLeaseTick proposes a lease tick, at the earliest one interval after this member last applied one. At most one
// lease tick is in flight at a time. A new leader proposes none before it has applied an entry of its own term, and
// with it all ticks of its predecessors.
func (m *Member) proposeLeaseTick() {
	appliedOwnTerm := m.appliedTerm == m.node.BasicStatus().GetTerm()
	intervalPassed := m.options.Clock() >= m.lastLeaseTickAt+m.terms.Interval
	if m.leaseTickInFlight || !appliedOwnTerm || !m.leases.HasGrants() || !intervalPassed {
		return
	}
	m.leaseTickInFlight = m.propose(0, lease.Command{Kind: lease.Tick}) == nil
}

// propose passes a command to raft for the log. Sequence 0 means that no request waits for the outcome.
func (m *Member) propose(sequence uint64, command lease.Command) error {
	data, err := json.Marshal(proposal{m.requestKey(sequence), command})
	if err != nil {
		return err
	}
	if err := m.node.Propose(data); err != nil {
		return ErrBusy // raft has dropped the proposal
	}
	return nil
}

// requestKey returns the key of this member's request with a sequence number.
func (m *Member) requestKey(sequence uint64) requestKey {
	return requestKey{Member: m.options.ID, Incarnation: m.incarnation, Sequence: sequence}
}

// isOwn reports whether a key belongs to a request of this process.
func (m *Member) isOwn(key requestKey) bool {
	return key.Member == m.options.ID && key.Incarnation == m.incarnation
}

// register adds a request to the pending ones and returns its sequence number. It rejects the request if this member is
// not the leader, has stopped, or has too many pending requests.
func (m *Member) register(r request) (uint64, error) {
	switch {
	case m.err != nil:
		return 0, ErrOutcomeUnknown
	case !m.isLeader:
		return 0, NotLeaderError{m.members[m.Leader()]}
	case len(m.pendingRequests) >= maxPendingRequests:
		return 0, ErrBusy
	}
	m.lastSequence++
	r.registeredAt = m.tickCount
	m.pendingRequests[m.lastSequence] = &r
	return m.lastSequence, nil
}

// answer replies to a request unless it has been answered already.
func (m *Member) answer(sequence uint64, grant lease.Grant, err error) {
	r := m.pendingRequests[sequence]
	if r == nil {
		return
	}
	delete(m.pendingRequests, sequence)
	if m.changeSequence == sequence {
		m.changeSequence = 0
	}
	if r.readReply != nil {
		r.readReply(err)
	} else {
		r.reply(grant, err)
	}
}

// expireRequests answers the requests that have waited for more than RequestTimeoutTicks with ErrOutcomeUnknown, except
// committed changes of members.
func (m *Member) expireRequests() {
	for _, sequence := range slices.Sorted(maps.Keys(m.pendingRequests)) {
		r := m.pendingRequests[sequence] // nil if answering an earlier request has led to the answer of this one
		if r != nil && !r.committed && m.tickCount-r.registeredAt > m.options.RequestTimeoutTicks {
			m.answer(sequence, lease.Grant{}, ErrOutcomeUnknown)
		}
	}
}

// applyEntries applies committed entries in order. It stops at the first one that fails.
func (m *Member) applyEntries(entries []*pb.Entry) error {
	for _, entry := range entries {
		if err := m.apply(entry); err != nil {
			return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
	}
	return nil
}

// apply applies one committed entry to the state machine.
func (m *Member) apply(entry *pb.Entry) error {
	m.appliedIndex = entry.GetIndex()
	m.appliedTerm = entry.GetTerm()
	if entry.GetType() != pb.EntryNormal {
		return m.applyChange(entry)
	}
	if len(entry.Data) == 0 { // a new leader appends an empty entry first
		return nil
	}
	var p proposal
	if err := json.Unmarshal(entry.Data, &p); err != nil {
		return err
	}
	grant, err := m.leases.Apply(p.Command)
	if p.Kind == lease.Tick {
		m.lastLeaseTickAt = m.options.Clock()
		m.leaseTickInFlight = m.leaseTickInFlight && !m.isOwn(p.requestKey)
	}
	if m.isOwn(p.requestKey) {
		m.answer(p.Sequence, grant, err)
	}
	return nil
}
