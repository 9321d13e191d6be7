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

// maxProvisionalAddresses bounds the addresses that are remembered for senders that are not known as members.
const maxProvisionalAddresses = 64

// Limits of raft itself.
const (
	maxMessageBytes     = 256 << 10
	maxInFlightMessages = 64
	maxUncommittedBytes = 4 << 20
)

// Member is one member of a group. All its methods must be called from one goroutine.
type Member struct {
	options     Options
	node        *raft.RawNode
	raftStorage *raft.MemoryStorage
	err         error // the first failure; the member does nothing after it

	// The state machine, as of appliedIndex.
	appliedIndex    uint64
	appliedTerm     uint64
	snapshotIndex   uint64 // of the last snapshot
	terms           lease.Terms
	leases          *lease.State
	members         map[uint64]string // addresses by ID
	highestID       uint64            // the highest ID that was ever given to a member
	pendingRemovals []uint64          // voters that are removed once the learners have caught up
	confState       *pb.ConfState

	// provisionalAddresses are those of senders that are not known as members: this member may be the one that is behind.
	provisionalAddresses map[uint64]string

	incarnation     uint64 // random; tells this process's requests from an earlier one's
	lastSequence    uint64 // of the requests
	pendingRequests map[uint64]*request
	pendingReads    []pendingRead
	changeSequence  uint64 // the request that waits for a change of members to complete; 0: none

	tickCount          int
	ticksWithoutLeader int // since a message of the leader, or a vote for a candidate
	electionTimeout    int // in ticks without a leader
	isLeader           bool

	lastLeaseTickAt   time.Duration // when a tick of the leases was last applied here
	leaseTickInFlight bool          // this leader has proposed one that is not yet applied
	promotionInFlight bool          // this leader has proposed to complete a change of members
	membersChanged    bool          // since the last snapshot
}

// New returns a Member that continues from its durable state.
func New(options Options, durable DurableState) (*Member, error) {
	if durable.HardState == nil {
		return nil, errors.New("no durable state: not a member of any group")
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

// load fills raft's storage and the state machine from the durable state.
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

// Step handles a message of another member, which gives its address.
func (m *Member) Step(from string, msg *pb.Message) error {
	if m.err != nil {
		return m.err
	}
	if msg.GetTo() != m.options.ID || raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("message %v to %d: not for this member", msg.GetType(), msg.GetTo())
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

// postponesElection reports whether a message came from the current leader, or from a candidate that it won this member's vote for.
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

// Tick advances the clock that measures how long there has been no leader.
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

// tickFollower starts an election once there has been no leader for too long. Raft would draw the timeout from the system's random
// source, which can't be seeded.
func (m *Member) tickFollower() {
	m.node.TickQuiesced()
	m.ticksWithoutLeader++
	if m.ticksWithoutLeader >= m.electionTimeout {
		m.resetElectionTimer()
		_ = m.node.Campaign() // fails for a member that may not become leader, which then remains a follower
	}
}

// resetElectionTimer draws a new timeout, so that members seldom start an election at the same time.
func (m *Member) resetElectionTimer() {
	m.ticksWithoutLeader = 0
	m.electionTimeout = m.options.ElectionTicks + m.options.Rand.IntN(m.options.ElectionTicks)
}

// Flush saves, then sends and applies, until nothing is left to do. After an error the member is of no further use: the content of
// its storage is not known.
func (m *Member) Flush() error {
	for m.err == nil && m.node.HasReady() {
		m.handleReady(m.node.Ready())
	}
	if m.err != nil {
		m.setLeader(false)
	}
	return m.err
}

// handleReady carries out what raft asks for, in the order in which raft needs it. A failure is left in m.err.
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
	// A snapshot follows a change of members at once: a new member refuses a snapshot in which it is no member.
	if m.membersChanged || m.appliedIndex >= m.snapshotIndex+m.options.SnapshotEntries {
		m.err = m.compact()
	}
}

// save makes raft's new state durable, and then visible to raft.
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

// sendMessages sends each message whose recipient's address is known.
func (m *Member) sendMessages(messages []*pb.Message) {
	for _, msg := range messages {
		address := cmp.Or(m.members[msg.GetTo()], m.provisionalAddresses[msg.GetTo()])
		if address != "" {
			m.options.Send(address, msg)
		}
	}
}

// setLeader records that this member has become the leader, or is none any more. In the second case the outcome of all pending
// requests is unknown.
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

// ReportUnreachable reports that a message to a member was lost.
func (m *Member) ReportUnreachable(id uint64) { m.node.ReportUnreachable(id) }

// ReportSnapshot reports whether a snapshot has reached a member.
func (m *Member) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	m.node.ReportSnapshot(id, status)
}
