package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

// maxProvisionalAddresses is the maximum number of addresses kept for senders that are not in the member list.
const maxProvisionalAddresses = 64

// Limits that are passed to raft.
const (
	maxMessageBytes     = 256 << 10
	maxInFlightMessages = 64
	maxUncommittedBytes = 4 << 20
)

// Member is one member of a group. It is not safe for concurrent use: all its methods must be called from the same
// goroutine.
type Member struct {
	options     Options
	node        *raft.RawNode
	raftStorage *raft.MemoryStorage
	err         error // the first failure, after which the member has stopped

	// The state machine after the entry at appliedIndex was applied.
	appliedIndex    uint64
	appliedTerm     uint64
	snapshotIndex   uint64 // the index of the last snapshot
	terms           lease.Terms
	leases          *lease.State
	members         map[uint64]string // the address of each member, by ID
	highestID       uint64            // the highest ID that any member has ever had
	pendingRemovals []uint64          // voters to remove once all learners have caught up
	confState       *pb.ConfState

	// provisionalAddresses holds the addresses of senders that are not in members, by ID. Such a sender may be a member
	// all the same, if this member has not yet applied the change that added it.
	provisionalAddresses map[uint64]string

	incarnation     uint64 // random; tells this process's requests from those of an earlier process
	lastSequence    uint64 // the sequence number of the newest request
	pendingRequests map[uint64]*request
	pendingReads    []pendingRead
	changeSequence  uint64 // of the request whose change of members is not complete; 0: no such request

	tickCount          int
	ticksWithoutLeader int // ticks since a message from the leader, or since this member voted for a candidate
	electionTimeout    int // ticks without a leader after which this member starts an election
	isLeader           bool

	lastLeaseTickAt   time.Duration // when this member last applied a lease tick
	leaseTickInFlight bool          // this leader has proposed a lease tick that is not yet applied
	promotionInFlight bool          // this leader has proposed a later step of a change of members, not yet applied
	membersChanged    bool          // the members have changed since the last snapshot
}

// New returns a Member that starts from durable, the state that its Storage has kept. The state of a new member is that
// of Bootstrap or EmptyState.
func New(options Options, durable DurableState) (*Member, error) {
	if durable.HardState == nil {
		return nil, errors.New("no durable state: this process has not been set up as a member of a group")
	}
	m := &Member{
		options:              options,
		raftStorage:          raft.NewMemoryStorage(),
		leases:               lease.New(),
		members:              map[uint64]string{},
		confState:            &pb.ConfState{},
		provisionalAddresses: map[uint64]string{},
		incarnation:          options.Rand.Uint64(),
		pendingRequests:      map[uint64]*request{},
	}
	if err := m.load(durable); err != nil {
		return nil, err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        options.ID,
		ElectionTick:              options.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   m.raftStorage,
		Applied:                   m.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	})
	m.node = node
	m.resetElectionTimer()
	return m, err
}

// load initializes raft's storage and the state machine from the durable state.
func (m *Member) load(durable DurableState) error {
	if durable.Snapshot != nil {
		if err := errors.Join(m.restore(durable.Snapshot), m.raftStorage.ApplySnapshot(durable.Snapshot)); err != nil {
			return err
		}
	}
	if err := m.raftStorage.SetHardState(durable.HardState); err != nil {
		return err
	}
	inSnapshot := func(e *pb.Entry) bool { return e.GetIndex() <= m.appliedIndex }
	return m.raftStorage.Append(slices.DeleteFunc(slices.Clone(durable.Entries), inSnapshot))
}

// Step handles a message that another member has sent. From is the sender's address.
func (m *Member) Step(from string, msg *pb.Message) error {
	if m.err != nil {
		return m.err
	}
	if msg.GetTo() != m.options.ID || raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("message %v to member %d: this member does not accept it", msg.GetType(), msg.GetTo())
	}
	if m.members[msg.GetFrom()] == "" && len(m.provisionalAddresses) < maxProvisionalAddresses {
		m.provisionalAddresses[msg.GetFrom()] = from
	}
	before := m.node.BasicStatus()
	if err := m.node.Step(msg); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	if postponesElection(msg, before, m.node.BasicStatus()) {
		m.ticksWithoutLeader = 0
	}
	return nil
}

// postponesElection reports whether a message restarts this member's election timer. It does if it came from the
// current leader, or if it is the vote request of a candidate that has just received this member's vote.
func postponesElection(msg *pb.Message, before, after raft.BasicStatus) bool {
	switch msg.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		return after.Lead == msg.GetFrom()
	case pb.MsgVote:
		isNewVote := after.GetVote() != before.GetVote() || after.GetTerm() != before.GetTerm()
		return after.GetVote() == msg.GetFrom() && isNewVote
	}
	return false
}

// Tick advances the member's clock by one tick. A leader sends heartbeats, proposes a lease tick when one is due, and
// continues a change of members. Any other member starts an election if there has been no leader for too long. Requests
// that have waited too long are answered with ErrOutcomeUnknown.
func (m *Member) Tick() {
	if m.err != nil {
		return
	}
	m.tickCount++
	if m.isLeader {
		m.node.Tick()
		m.proposeLeaseTick()
		m.completeChange()
	} else {
		m.tickFollower()
	}
	m.expireRequests()
}

// tickFollower starts an election once there has been no leader for electionTimeout ticks. This member measures the
// time itself, because raft would draw the timeout from the system's random source, which can't be seeded.
func (m *Member) tickFollower() {
	m.node.TickQuiesced()
	m.ticksWithoutLeader++
	if m.ticksWithoutLeader >= m.electionTimeout {
		m.resetElectionTimer()
		_ = m.node.Campaign() // returns an error if this member may not become the leader; it then remains a follower
	}
}

// resetElectionTimer restarts the election timer with a new random timeout, so that members seldom start an election at
// the same time.
func (m *Member) resetElectionTimer() {
	m.ticksWithoutLeader = 0
	m.electionTimeout = m.options.ElectionTicks + m.options.Rand.IntN(m.options.ElectionTicks)
}

// Flush saves raft's new state, sends its messages and applies its committed entries, until raft has nothing more to
// do. After an error the member has stopped and must be discarded, because the content of its storage is unknown.
func (m *Member) Flush() error {
	for m.err == nil && m.node.HasReady() {
		m.handleReady(m.node.Ready())
	}
	if m.err != nil {
		m.setLeader(false)
	}
	return m.err
}

// handleReady processes one Ready of raft, in the order that raft requires. It records a failure in m.err.
func (m *Member) handleReady(ready raft.Ready) {
	if m.err = m.save(ready); m.err != nil {
		return
	}
	m.sendMessages(ready.Messages)
	m.addReadStates(ready.ReadStates)
	m.err = m.applyEntries(ready.CommittedEntries)
	m.node.Advance(ready)
	if ready.SoftState != nil {
		m.setLeader(ready.RaftState == raft.StateLeader)
	}
	m.answerReads()
	if m.err != nil {
		return
	}
	// A change of members is followed by a snapshot at once: a new member rejects a snapshot that does not list it as a
	// member.
	if m.membersChanged || m.appliedIndex >= m.snapshotIndex+m.options.SnapshotEntries {
		m.err = m.compact()
	}
}

// save writes raft's new state to the Storage, and then updates the copy in memory.
func (m *Member) save(ready raft.Ready) error {
	update := StorageUpdate{HardState: ready.HardState, Entries: ready.Entries}
	if !raft.IsEmptySnap(ready.Snapshot) {
		update.Snapshot = ready.Snapshot
		update.ReplaceLog = true
	}
	if update.HardState != nil || update.Snapshot != nil || len(update.Entries) > 0 {
		if err := m.options.Storage.Save(update); err != nil {
			return err
		}
	}
	return m.updateRaftStorage(update)
}

// sendMessages sends the messages, except those to recipients whose address is unknown.
func (m *Member) sendMessages(messages []*pb.Message) {
	for _, msg := range messages {
		address := cmp.Or(m.members[msg.GetTo()], m.provisionalAddresses[msg.GetTo()])
		if address != "" {
			m.options.Send(address, msg)
		}
	}
}

// setLeader records whether this member is the leader. When it stops being the leader, all pending requests are
// answered with ErrOutcomeUnknown.
func (m *Member) setLeader(isLeader bool) {
	if isLeader == m.isLeader {
		return
	}
	m.isLeader = isLeader
	m.leaseTickInFlight = false
	m.promotionInFlight = false
	m.resetElectionTimer()
	if isLeader {
		return
	}
	for _, sequence := range slices.Sorted(maps.Keys(m.pendingRequests)) {
		m.answer(sequence, lease.Grant{}, ErrOutcomeUnknown)
	}
}

// ReportUnreachable informs raft that a message to a member was lost.
func (m *Member) ReportUnreachable(id uint64) { m.node.ReportUnreachable(id) }

// ReportSnapshot informs raft whether a snapshot has reached a member.
func (m *Member) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	m.node.ReportSnapshot(id, status)
}
