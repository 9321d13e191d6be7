package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/lease"
)

// maxLearnerLag is the number of entries that a learner may be behind the commit index and still count as caught up.
const maxLearnerLag = 16

// membershipChange is the context of a raft configuration change in the log. Its JSON form is stored and sent to other
// members.
type membershipChange struct {
	requestKey
	Add    map[uint64]string `json:"add,omitempty"`
	Remove []uint64          `json:"leave,omitempty"` // members to remove once the added ones have caught up
}

// ChangeMembers adds members, by ID and address, and removes others in one step by joint consensus. Added members are
// learners until they have caught up. Until then no member is removed, and the only other change that is accepted is
// the removal of all the learners. The reply is called once the removed members have no vote any more. If this member
// itself is to be removed, it transfers the leadership before that, and the reply is ErrOutcomeUnknown or, if no
// members are added, NotLeaderError.
func (m *Member) ChangeMembers(add map[uint64]string, remove []uint64, reply func(error)) {
	changes, err := m.configurationChanges(add, remove)
	if err != nil {
		reply(err)
		return
	}
	if m.conflictsWithEarlierChange(add, remove) {
		reply(ErrBusy)
		return
	}
	if m.isLeader && len(add) == 0 && slices.Contains(remove, m.options.ID) {
		reply(NotLeaderError{m.transferLeadership(remove)}) // nothing was proposed: the client asks the next leader
		return
	}
	sequence, err := m.register(request{reply: func(_ lease.Grant, err error) { reply(err) }})
	if err != nil {
		reply(err)
		return
	}
	if m.changeSequence != 0 {
		m.answer(m.changeSequence, lease.Grant{}, ErrOutcomeUnknown)
	}
	m.changeSequence = sequence
	change := membershipChange{requestKey: m.requestKey(sequence), Add: add}
	if len(add) > 0 {
		change.Remove = remove
	}
	if err := m.proposeChange(change, changes); err != nil {
		m.answer(sequence, lease.Grant{}, ErrBusy)
	}
}

// configurationChanges validates a change of members and returns its first step in raft's form. The first step adds the
// new members as learners or, if there are none, removes members.
func (m *Member) configurationChanges(add map[uint64]string, remove []uint64) ([]*pb.ConfChangeSingle, error) {
	var changes []*pb.ConfChangeSingle
	for _, id := range slices.Sorted(maps.Keys(add)) {
		if id <= m.highestID || add[id] == "" {
			return nil, fmt.Errorf("%w: id %d: it must be above %d, and have an address", ErrInvalidChange, id, m.highestID)
		}
		changes = append(changes, confChange(pb.ConfChangeAddLearnerNode, id))
	}
	for _, id := range remove {
		if !m.isConfigured(id) {
			return nil, fmt.Errorf("%w: id %d is no member", ErrInvalidChange, id)
		}
		if len(add) == 0 {
			changes = append(changes, confChange(pb.ConfChangeRemoveNode, id))
		}
	}
	count := len(m.confState.GetVoters()) + len(m.confState.GetLearners()) + len(add) - len(remove)
	if len(changes) == 0 || count < 1 {
		return nil, fmt.Errorf("%w: it leaves %d members", ErrInvalidChange, count)
	}
	return changes, nil
}

// conflictsWithEarlierChange reports whether an earlier change is in progress, so that this one must be rejected. While
// a change waits for its learners to catch up, the only change that does not conflict with it is the removal of all of
// them, which cancels it.
func (m *Member) conflictsWithEarlierChange(add map[uint64]string, remove []uint64) bool {
	if m.promotionInFlight || len(m.confState.GetVotersOutgoing()) > 0 {
		return true
	}
	learners := m.confState.GetLearners()
	if len(learners) == 0 {
		return m.changeSequence != 0 || len(m.pendingRemovals) > 0
	}
	removesLearners := len(add) == 0 && slices.Equal(slices.Sorted(slices.Values(remove)), learners)
	return !removesLearners
}

// isConfigured reports whether a member is a voter or a learner.
func (m *Member) isConfigured(id uint64) bool {
	return slices.Contains(m.confState.GetVoters(), id) || slices.Contains(m.confState.GetLearners(), id)
}

func confChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
}

func (m *Member) proposeChange(change membershipChange, changes []*pb.ConfChangeSingle) error {
	context, err := json.Marshal(change)
	if err != nil {
		return err
	}
	return m.node.ProposeConfChange(&pb.ConfChangeV2{
		Transition: pb.ConfChangeTransitionJointImplicit.Enum(),
		Changes:    changes,
		Context:    context,
	})
}

// completeChange proposes the next step of a change of members that is in progress. Once all learners have caught up,
// it promotes them to voters and removes the members that are to be removed. A leader never removes itself. If it is to
// be removed, it transfers the leadership, and the next leader removes it. So the leader that completes the change
// remains a member and knows of the removals, even if the removed members stop at once.
func (m *Member) completeChange() {
	pending := len(m.confState.GetLearners()) + len(m.pendingRemovals)
	if m.promotionInFlight || len(m.confState.GetVotersOutgoing()) > 0 || pending == 0 {
		return
	}
	status := m.node.Status()
	var changes []*pb.ConfChangeSingle
	for _, id := range m.confState.GetLearners() {
		progress := status.Progress[id]
		if !progress.RecentActive || progress.Match+maxLearnerLag < status.GetCommit() {
			return
		}
		changes = append(changes, confChange(pb.ConfChangeAddNode, id))
	}
	removesSelf := slices.Contains(m.pendingRemovals, m.options.ID)
	if removesSelf && len(changes) == 0 {
		m.transferLeadership(m.pendingRemovals)
		return
	}
	if !removesSelf {
		for _, id := range m.pendingRemovals {
			changes = append(changes, confChange(pb.ConfChangeRemoveNode, id))
		}
	}
	m.promotionInFlight = m.proposeChange(membershipChange{}, changes) == nil
}

// transferLeadership starts a transfer of the leadership to the active voter with the most complete log, apart from
// this member and the excluded ones. It returns that voter's address, or an empty one if there is no such voter.
func (m *Member) transferLeadership(excluded []uint64) string {
	status := m.node.Status()
	best, bestMatch := uint64(0), uint64(0)
	for _, id := range m.confState.GetVoters() {
		progress := status.Progress[id]
		if id == m.options.ID || slices.Contains(excluded, id) || !progress.RecentActive {
			continue
		}
		if best == 0 || progress.Match > bestMatch {
			best, bestMatch = id, progress.Match
		}
	}
	if best != 0 {
		m.node.TransferLeader(best)
	}
	return m.members[best]
}

// applyChange applies a committed configuration change to raft and to the member list.
func (m *Member) applyChange(entry *pb.Entry) error {
	var confChange pb.ConfChangeV2
	if err := proto.Unmarshal(entry.Data, &confChange); err != nil {
		return err
	}
	var change membershipChange
	if len(confChange.Context) > 0 {
		if err := json.Unmarshal(confChange.Context, &change); err != nil {
			return err
		}
	}
	m.confState = m.node.ApplyConfChange(&confChange)
	m.membersChanged = true
	m.promotionInFlight = false
	if r := m.pendingRequests[change.Sequence]; r != nil && m.isOwn(change.requestKey) {
		r.committed = true
	}
	for id, address := range change.Add {
		m.members[id] = address
		m.highestID = max(m.highestID, id)
	}
	if change.Sequence != 0 { // 0 stands for a later step of the change that is in progress
		m.pendingRemovals = change.Remove
	}
	if len(m.confState.GetVotersOutgoing()) == 0 {
		m.finishJointConfiguration()
	}
	return nil
}

// finishJointConfiguration forgets the members that are neither voters nor learners any more. If that completes the
// change of members, it answers the request.
func (m *Member) finishJointConfiguration() {
	clear(m.provisionalAddresses)
	maps.DeleteFunc(m.members, func(id uint64, _ string) bool { return !m.isConfigured(id) })
	isRemoved := func(id uint64) bool { return m.members[id] == "" }
	m.pendingRemovals = slices.DeleteFunc(slices.Clone(m.pendingRemovals), isRemoved)
	if len(m.confState.GetLearners())+len(m.pendingRemovals) > 0 {
		return
	}
	// Raft drops a change that is proposed while another one is in the log. The request for a dropped change is never
	// committed, and must not be answered when the other change completes.
	if r := m.pendingRequests[m.changeSequence]; r != nil && r.committed {
		m.answer(m.changeSequence, lease.Grant{}, nil)
	}
}
