// Package consensus is one member of the group that agrees on leases: etcd's raft with lease.State on top. It has no I/O: messages,
// beats of a clock and requests go in; out come what to write and, once that is written, messages and answers.
// docs/lease-design.md says what holds and why.
package consensus

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/lease"
)

// StorageUpdate is what must be durable, all of it or nothing.
type StorageUpdate struct {
	HardState     *pb.HardState // nil: as it was
	Snapshot      *pb.Snapshot  // nil: as it was
	ReplaceLog    bool          // the snapshot came from another member: it replaces all entries
	Entries       []*pb.Entry   // they replace all of their and later indexes
	CompactBefore uint64        // entries up to this index may be forgotten
}

// Storage keeps what a member must not forget. Once Save has returned nil it is durable, also when the machine goes down. After an
// error nobody knows, and the member ends.
type Storage interface{ Save(StorageUpdate) error }

// DurableState is what a Disk has: an entry before the snapshot's end is of no use.
type DurableState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// EntriesAfter is what is kept once a Write is durable.
func (k DurableState) EntriesAfter(w StorageUpdate) DurableState {
	if w.HardState != nil {
		k.HardState = w.HardState
	}
	if w.Snapshot != nil {
		k.Snapshot = w.Snapshot
	}
	if w.ReplaceLog {
		k.Entries = nil
	}
	from := func(index uint64) int {
		return sort.Search(len(k.Entries), func(i int) bool { return k.Entries[i].GetIndex() >= index })
	}
	if len(w.Entries) > 0 {
		k.Entries = append(slices.Clip(k.Entries[:from(w.Entries[0].GetIndex())]), w.Entries...)
	}
	k.Entries = k.Entries[from(w.CompactBefore+1):]
	return k
}

// Bootstrap is what each of a new group's first members keeps. It must be the same for all of them.
func Bootstrap(members map[uint64]string, terms lease.Terms) (DurableState, error) {
	leases, err := lease.New().Snapshot()
	if err != nil {
		return DurableState{}, err
	}
	ids := slices.Sorted(maps.Keys(members))
	data, err := json.Marshal(snapshot{Version: version, Terms: terms, Members: members, Highest: ids[len(ids)-1], Leases: leases})
	if err != nil {
		return DurableState{}, err
	}
	one := uint64(1)
	return DurableState{HardState: &pb.HardState{Term: &one, Commit: &one}, Snapshot: &pb.Snapshot{Data: data,
		Metadata: &pb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &pb.ConfState{Voters: ids}}}}, nil
}

// EmptyState is what a member keeps that was added to a group, and has not heard of it yet.
func EmptyState() DurableState { return DurableState{HardState: &pb.HardState{}} }

// Options are what a Member is made of.
type Options struct {
	ID                  uint64
	Clock               func() time.Duration // monotonic, from any origin
	Rand                *rand.Rand
	Storage             Storage
	Send                func(to string, m *pb.Message) // to a member's address; it may be lost
	ElectionTicks       int                            // beats without a leader before an election: so many, to twice as many
	SnapshotEntries     uint64                         // entries between two snapshots
	RequestTimeoutTicks int                            // beats until a request that hears nothing is given up
}

// Why a request is not answered with a grant, or a refusal of the lease package.
var (
	ErrOutcomeUnknown = errors.New("not known whether it was carried out: ask again")
	ErrBusy           = errors.New("too many requests at a time, or another change of members")
	ErrInvalidChange  = errors.New("no such change of members")
)

// NotLeaderError is the answer of a member that does not lead. The address is empty where it knows of no leader.
type NotLeaderError struct{ Address string }

func (n NotLeaderError) Error() string { return "this member does not lead; leader: " + n.Address }

const (
	version     = 1
	waitingMost = 4096
	heardMost   = 64
	near        = 16  // entries by which one that has caught up may be behind
	behind      = 256 // entries that are kept before a snapshot, for members that are a little behind
)

type snapshot struct {
	Version  int               `json:"version"`
	Terms    lease.Terms       `json:"terms"`
	Members  map[uint64]string `json:"members"`
	Highest  uint64            `json:"highest"` // id of a member that there ever was
	Removing []uint64          `json:"leaving,omitempty"`
	Leases   json.RawMessage   `json:"leases"`
}

// requestKey tells a member its own proposals.
type requestKey struct {
	Member      uint64 `json:"by"`
	Incarnation uint64 `json:"life"`
	Sequence    uint64 `json:"seq"`
}

type proposal struct {
	requestKey
	lease.Command
}

// membershipChange is the context of a change of members.
type membershipChange struct {
	requestKey
	Add    map[uint64]string `json:"add,omitempty"`
	Remove []uint64          `json:"leave,omitempty"` // who leaves once those have caught up
}

type request struct {
	reply   func(lease.Grant, error)
	look    func(error)
	since   int  // the beat
	patient bool // a change of members that was agreed on: it is not given up for its length
}

// looked is a look that may be answered once that index is applied.
type looked struct{ seq, index uint64 }

// Member is one of a group. All its methods are called from one goroutine.
type Member struct {
	o       Options
	node    *raft.RawNode
	log     *raft.MemoryStorage
	terms   lease.Terms
	state   *lease.State
	members map[uint64]string
	heard   map[uint64]string // addresses of who is not among the members, as far as this one knows: it may be new
	highest uint64
	leaving []uint64 // who leaves once the learners have caught up
	conf    *pb.ConfState
	applied uint64
	snapped uint64 // index of the last snapshot
	life    uint64
	seq     uint64
	waiting map[uint64]*request
	looks   []looked
	beats   int
	quiet   int // beats since a leader was heard, or a vote given
	patient int // beats of silence until the next election
	leads   bool
	term    uint64 // of the last entry applied
	ticked  time.Duration
	ticking bool   // a tick of this leader is on its way
	joint   uint64 // the request that waits for the end of a change of members; 0: none
	taking  bool   // this leader has proposed that learners become members
	changed bool   // since the last snapshot
	err     error
}

// New returns a Member that goes on from what was kept.
func New(o Options, kept DurableState) (*Member, error) {
	m := &Member{o: o, log: raft.NewMemoryStorage(), waiting: map[uint64]*request{}, heard: map[uint64]string{}, life: o.Rand.Uint64()}
	if kept.HardState == nil {
		return nil, errors.New("nothing kept: not a member of any group")
	}
	m.state, m.members, m.conf = lease.New(), map[uint64]string{}, &pb.ConfState{}
	if kept.Snapshot != nil {
		if err := errors.Join(m.restore(kept.Snapshot), m.log.ApplySnapshot(kept.Snapshot)); err != nil {
			return nil, err
		}
	}
	if err := m.log.SetHardState(kept.HardState); err != nil {
		return nil, err
	}
	entries := slices.DeleteFunc(slices.Clone(kept.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= m.applied })
	if err := m.log.Append(entries); err != nil {
		return nil, err
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: o.ElectionTicks, HeartbeatTick: 1, Storage: m.log, Applied: m.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	m.draw()
	return m, err
}

func (m *Member) draw() { m.quiet, m.patient = 0, m.o.ElectionTicks+m.o.Rand.IntN(m.o.ElectionTicks) }

// restore takes up a snapshot.
func (m *Member) restore(s *pb.Snapshot) error {
	var in snapshot
	if err := json.Unmarshal(s.Data, &in); err != nil {
		return fmt.Errorf("snapshot of the group: %w", err)
	}
	if in.Version != version {
		return fmt.Errorf("snapshot of the group: version %d, this program reads %d", in.Version, version)
	}
	state, err := lease.Restore(in.Leases)
	if err != nil {
		return err
	}
	m.state, m.members, m.highest, m.terms, m.conf = state, in.Members, in.Highest, in.Terms, s.GetMetadata().GetConfState()
	m.leaving = in.Removing
	m.applied, m.snapped, m.term = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	m.ticked = m.o.Clock() // some of its ticks may have been applied just now
	return nil
}

// Step takes in a message of another member, which says that it is at that address.
func (m *Member) Step(from string, msg *pb.Message) error {
	if m.err != nil {
		return m.err
	}
	if msg.GetTo() != m.o.ID || raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("message %v to %d: not for this member", msg.GetType(), msg.GetTo())
	}
	if m.members[msg.GetFrom()] == "" && len(m.heard) < heardMost {
		m.heard[msg.GetFrom()] = from
	}
	before := m.node.BasicStatus()
	if err := m.node.Step(msg); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	after := m.node.BasicStatus()
	switch msg.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if after.Lead == msg.GetFrom() {
			m.quiet = 0
		}
	case pb.MsgVote:
		if v := after.HardState.GetVote(); v == msg.GetFrom() && (v != before.HardState.GetVote() || after.GetTerm() != before.GetTerm()) {
			m.quiet = 0
		}
	}
	return nil
}

// Tick is one step of the clock by which leaders are missed.
func (m *Member) Tick() {
	if m.err != nil {
		return
	}
	m.beats++
	if m.leads {
		m.node.Tick()
		m.tick()
		m.takeIn()
	} else {
		// Raft would draw the length of silence from the system's random source.
		m.node.TickQuiesced()
		if m.quiet++; m.quiet >= m.patient {
			m.draw()
			_ = m.node.Campaign() // it can't be refused: a member that may not stand stays as it is
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.waiting)) {
		if r := m.waiting[seq]; r != nil && !r.patient && m.beats-r.since > m.o.RequestTimeoutTicks {
			m.answer(seq, lease.Grant{}, ErrOutcomeUnknown)
		}
	}
}

// tick proposes that an interval has gone by, no sooner than one after the last such was applied here: one at a time, and by a new leader
// not before it has applied an entry of its own term, and with it all ticks of the leaders before.
func (m *Member) tick() {
	now := m.o.Clock()
	if m.ticking || m.term != m.node.BasicStatus().GetTerm() || !m.state.Granted() || now < m.ticked+m.terms.Interval {
		return
	}
	m.ticking = m.propose(0, lease.Command{Kind: lease.Tick}) == nil
}

func (m *Member) propose(seq uint64, c lease.Command) error {
	data, err := json.Marshal(proposal{requestKey{m.o.ID, m.life, seq}, c})
	if err != nil {
		return err
	}
	if err := m.node.Propose(data); err != nil {
		return ErrBusy // nothing of it was taken
	}
	return nil
}

// wait gives a request a number.
func (m *Member) wait(r request) (uint64, error) {
	switch {
	case m.err != nil:
		return 0, ErrOutcomeUnknown
	case !m.leads:
		return 0, NotLeaderError{m.members[m.node.BasicStatus().Lead]}
	case len(m.waiting) >= waitingMost:
		return 0, ErrBusy
	}
	m.seq++
	r.since = m.beats
	m.waiting[m.seq] = &r
	return m.seq, nil
}

// Propose has the group carry out a command. The reply comes once, perhaps before Ask returns.
func (m *Member) Propose(c lease.Command, reply func(lease.Grant, error)) {
	if c.Kind == lease.Tick {
		reply(lease.Grant{}, lease.ErrInvalid)
		return
	}
	seq, err := m.wait(request{reply: reply})
	if err != nil {
		reply(lease.Grant{}, err)
		return
	}
	if err := m.propose(seq, c); err != nil {
		m.answer(seq, lease.Grant{}, err)
	}
}

// ReadIndex calls back once View shows all that was agreed on before this call.
func (m *Member) ReadIndex(reply func(error)) {
	seq, err := m.wait(request{look: reply})
	if err != nil {
		reply(err)
		return
	}
	m.node.ReadIndex([]byte(fmt.Sprint(m.life, "-", seq)))
}

// ChangeMembers adds members, by id and address, and removes others, in one step by joint consensus. Who is added has no say before it
// has caught up, and nobody leaves before that. The reply comes once those who leave have no say any more; where this member is to leave,
// another leads before that, and it is not known here. While some have not caught up the only other change is to give them up, by
// removing them.
func (m *Member) ChangeMembers(add map[uint64]string, remove []uint64, reply func(error)) {
	in := membershipChange{Add: add}
	var changes []*pb.ConfChangeSingle
	no := func(format string, args ...any) {
		reply(fmt.Errorf("%w: "+format, append([]any{ErrInvalidChange}, args...)...))
	}
	for _, id := range slices.Sorted(maps.Keys(add)) {
		if id <= m.highest || add[id] == "" {
			no("id %d: it must be above %d, and have an address", id, m.highest)
			return
		}
		changes = append(changes, single(pb.ConfChangeAddLearnerNode, id))
	}
	for _, id := range remove {
		if !slices.Contains(m.conf.GetVoters(), id) && !slices.Contains(m.conf.GetLearners(), id) {
			no("id %d is no member", id)
			return
		}
		if len(add) == 0 {
			changes = append(changes, single(pb.ConfChangeRemoveNode, id))
		}
	}
	learners := m.conf.GetLearners()
	if len(add) > 0 {
		in.Remove = remove
	}
	switch left := len(m.conf.GetVoters()) + len(learners) + len(add) - len(remove); {
	case len(changes) == 0 || left < 1:
		no("it leaves %d members", left)
		return
	case m.joint != 0 && len(learners) == 0, len(learners) == 0 && len(m.leaving) > 0, m.taking, len(m.conf.GetVotersOutgoing()) > 0, len(learners) > 0 && !(len(add) == 0 && slices.Equal(slices.Sorted(slices.Values(remove)), learners)):
		reply(ErrBusy)
		return
	}
	if m.leads && len(add) == 0 && slices.Contains(remove, m.o.ID) {
		reply(NotLeaderError{m.handOver(remove)}) // nothing was done: whoever leads then does it
		return
	}
	seq, err := m.wait(request{reply: func(_ lease.Grant, err error) { reply(err) }})
	if err != nil {
		reply(err)
		return
	}
	if m.joint != 0 {
		m.answer(m.joint, lease.Grant{}, ErrOutcomeUnknown)
	}
	in.requestKey, m.joint = requestKey{m.o.ID, m.life, seq}, seq
	if err := m.proposeChange(in, changes); err != nil {
		m.answer(seq, lease.Grant{}, ErrBusy)
	}
}

func single(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
}

func (m *Member) proposeChange(in membershipChange, changes []*pb.ConfChangeSingle) error {
	context, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return m.node.ProposeConfChange(&pb.ConfChangeV2{Transition: pb.ConfChangeTransitionJointImplicit.Enum(), Changes: changes, Context: context})
}

// takeIn makes members of those who were added, once all of them have caught up, and has those leave who are to. It never removes
// itself: whoever leads at the end is one that stays, and knows that the others have left, whatever becomes of them.
func (m *Member) takeIn() {
	if m.taking || len(m.conf.GetVotersOutgoing()) > 0 || len(m.conf.GetLearners())+len(m.leaving) == 0 {
		return
	}
	s := m.node.Status()
	var changes []*pb.ConfChangeSingle
	for _, id := range m.conf.GetLearners() {
		if p := s.Progress[id]; !p.RecentActive || p.Match+near < s.HardState.GetCommit() {
			return
		}
		changes = append(changes, single(pb.ConfChangeAddNode, id))
	}
	switch self := slices.Contains(m.leaving, m.o.ID); {
	case self && len(changes) == 0:
		m.handOver(m.leaving)
		return
	case !self:
		for _, id := range m.leaving {
			changes = append(changes, single(pb.ConfChangeRemoveNode, id))
		}
	}
	m.taking = m.proposeChange(membershipChange{}, changes) == nil
}

// handOver has another member lead that is none of these, if there is one: the one that is least behind. It returns its address.
func (m *Member) handOver(but []uint64) string {
	s := m.node.Status()
	best, match := uint64(0), uint64(0)
	for _, id := range m.conf.GetVoters() {
		if p := s.Progress[id]; id != m.o.ID && !slices.Contains(but, id) && p.RecentActive && (best == 0 || p.Match > match) {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		m.node.TransferLeader(best)
	}
	return m.members[best]
}

func (m *Member) answer(seq uint64, g lease.Grant, err error) {
	r := m.waiting[seq]
	if r == nil {
		return
	}
	delete(m.waiting, seq)
	if m.joint == seq {
		m.joint = 0
	}
	if r.look != nil {
		r.look(err)
	} else {
		r.reply(g, err)
	}
}

// Flush writes, then sends and applies, until there is nothing left to do. After an error the member is of no use: what the
// disk holds is not known.
func (m *Member) Flush() error {
	for m.err == nil && m.node.HasReady() {
		rd := m.node.Ready()
		w := StorageUpdate{HardState: rd.HardState, Entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			w.Snapshot, w.ReplaceLog = rd.Snapshot, true
		}
		if w.HardState != nil || w.Snapshot != nil || len(w.Entries) > 0 {
			if m.err = m.o.Storage.Save(w); m.err != nil {
				break
			}
		}
		if m.err = m.take(w); m.err != nil {
			break
		}
		for _, msg := range rd.Messages {
			if to := cmp.Or(m.members[msg.GetTo()], m.heard[msg.GetTo()]); to != "" {
				m.o.Send(to, msg)
			}
		}
		for _, r := range rd.ReadStates {
			life, number, _ := strings.Cut(string(r.RequestCtx), "-")
			if seq, err := strconv.ParseUint(number, 10, 64); err == nil && life == fmt.Sprint(m.life) {
				m.looks = append(m.looks, looked{seq, r.Index})
			}
		}
		for _, e := range rd.CommittedEntries {
			if m.err = m.apply(e); m.err != nil {
				break
			}
		}
		m.node.Advance(rd)
		if rd.SoftState != nil {
			m.turn(rd.SoftState.RaftState == raft.StateLeader)
		}
		for len(m.looks) > 0 && m.applied >= m.looks[0].index { // they come in order
			seq := m.looks[0].seq
			m.looks = m.looks[1:]
			m.answer(seq, lease.Grant{}, nil)
		}
		if m.err == nil && (m.changed || m.applied >= m.snapped+m.o.SnapshotEntries) {
			// After a change at once: a new member refuses a snapshot in which it is not yet one.
			m.err = m.compact()
		}
	}
	if m.err != nil {
		m.turn(false)
	}
	return m.err
}

// take has raft's own memory follow the disk.
func (m *Member) take(w StorageUpdate) error {
	if w.Snapshot != nil {
		if err := errors.Join(m.restore(w.Snapshot), m.log.ApplySnapshot(w.Snapshot)); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		if err := m.log.SetHardState(w.HardState); err != nil {
			return err
		}
	}
	return m.log.Append(w.Entries)
}

// turn begins or ends this member's lead. Whoever waits when it ends may have been heard or not.
func (m *Member) turn(leads bool) {
	if leads == m.leads {
		return
	}
	m.leads, m.ticking, m.taking = leads, false, false
	m.draw()
	if !leads {
		for _, seq := range slices.Sorted(maps.Keys(m.waiting)) {
			m.answer(seq, lease.Grant{}, ErrOutcomeUnknown)
		}
	}
}

func (m *Member) apply(e *pb.Entry) error {
	m.applied = e.GetIndex()
	m.term = e.GetTerm()
	switch {
	case e.GetType() != pb.EntryNormal:
		return m.applyChange(e)
	case len(e.Data) == 0: // a new leader's first
		return nil
	}
	var p proposal
	if err := json.Unmarshal(e.Data, &p); err != nil {
		return fmt.Errorf("entry %d: %w", m.applied, err)
	}
	g, err := m.state.Apply(p.Command)
	mine := p.Member == m.o.ID && p.Incarnation == m.life
	if p.Kind == lease.Tick {
		m.ticked = m.o.Clock()
		m.ticking = m.ticking && !mine
	}
	if mine {
		m.answer(p.Sequence, g, err)
	}
	return nil
}

func (m *Member) applyChange(e *pb.Entry) error {
	var (
		cc pb.ConfChangeV2
		in membershipChange
	)
	if err := proto.Unmarshal(e.Data, &cc); err != nil {
		return fmt.Errorf("entry %d: %w", m.applied, err)
	}
	if len(cc.Context) > 0 {
		if err := json.Unmarshal(cc.Context, &in); err != nil {
			return fmt.Errorf("entry %d: %w", m.applied, err)
		}
	}
	m.conf, m.changed, m.taking = m.node.ApplyConfChange(&cc), true, false
	if r := m.waiting[in.Sequence]; r != nil && in.Member == m.o.ID && in.Incarnation == m.life {
		r.patient = true
	}
	for id, address := range in.Add {
		m.members[id], m.highest = address, max(m.highest, id)
	}
	if in.Sequence != 0 { // else it is a step of one
		m.leaving = in.Remove
	}
	if len(m.conf.GetVotersOutgoing()) > 0 {
		return nil
	}
	clear(m.heard)
	maps.DeleteFunc(m.members, func(id uint64, _ string) bool {
		return !slices.Contains(m.conf.GetVoters(), id) && !slices.Contains(m.conf.GetLearners(), id)
	})
	m.leaving = slices.DeleteFunc(slices.Clone(m.leaving), func(id uint64) bool { return m.members[id] == "" })
	if len(m.conf.GetLearners())+len(m.leaving) == 0 {
		// One that raft has dropped, as another was on its way, is not done with that.
		if r := m.waiting[m.joint]; r != nil && r.patient {
			m.answer(m.joint, lease.Grant{}, nil)
		}
	}
	return nil
}

// compact makes a snapshot of what was applied, and forgets what is well before it.
func (m *Member) compact() error {
	leases, err := m.state.Snapshot()
	if err != nil {
		return err
	}
	data, err := json.Marshal(snapshot{version, m.terms, m.members, m.highest, m.leaving, leases})
	if err != nil {
		return err
	}
	s, err := m.log.CreateSnapshot(m.applied, m.conf, data)
	if err != nil {
		return err
	}
	m.snapped, m.changed = m.applied, false
	before := m.applied - min(m.applied, behind)
	if err := m.o.Storage.Save(StorageUpdate{Snapshot: s, CompactBefore: before}); err != nil {
		return err
	}
	if first, err := m.log.FirstIndex(); err != nil || before < first {
		return err
	}
	return m.log.Compact(before)
}

// Unreachable tells that a message to that member was lost, Delivered what became of a snapshot for it.
func (m *Member) Unreachable(id uint64) { m.node.ReportUnreachable(id) }

// Delivered tells whether a snapshot has reached that member.
func (m *Member) Delivered(id uint64, ok bool) {
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	m.node.ReportSnapshot(id, status)
}

// Status is what a member knows. Of one that does not lead it may be old.
type Status struct {
	ID      uint64            `json:"id"`
	Leader  uint64            `json:"leader"` // 0: it knows of none
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Tick    uint64            `json:"tick"`
	Terms   lease.Terms       `json:"terms"`
	Members map[uint64]string `json:"members"`
	Leases  []lease.Lease     `json:"leases,omitempty"`
}

// Status is what this member knows now.
func (m *Member) Status() Status {
	s := m.node.BasicStatus()
	return Status{m.o.ID, s.Lead, s.GetTerm(), m.applied, m.state.Now(), m.terms, maps.Clone(m.members), m.state.All()}
}

// IsLeader tells whether this member believes to lead. Another may lead already.
func (m *Member) IsLeader() bool { return m.leads }

// Leader is whom this member believes to lead; 0: nobody.
func (m *Member) Leader() uint64 { return m.node.BasicStatus().Lead }

// Term is raft's own count of leaders, as far as this member knows.
func (m *Member) Term() uint64 { return m.node.BasicStatus().GetTerm() }

// Terms are those of the group.
func (m *Member) Terms() lease.Terms { return m.terms }

// Removed tells that the group has removed this member. It goes on for some seconds all the same: a member that has not heard of it
// yet may need this one's vote.
func (m *Member) Removed() bool {
	return len(m.members) > 0 && m.members[m.o.ID] == "" && m.applied > 0
}

// Checksum is the same for members that have agreed on the same, as of the entry that was applied last.
func (m *Member) Checksum() (applied uint64, sum uint64) {
	raw, err := m.state.Snapshot()
	if err != nil {
		panic(err) // it has been written before
	}
	return m.applied, xxhash.Sum64(raw)
}

// quiet keeps raft's own lines out of the log: what an operator should know the agent says itself.
type quiet struct{}

func (quiet) Debug(...any)                   {}
func (quiet) Debugf(string, ...any)          {}
func (quiet) Error(...any)                   {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Info(...any)                    {}
func (quiet) Infof(string, ...any)           {}
func (quiet) Warning(...any)                 {}
func (quiet) Warningf(string, ...any)        {}
func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quiet) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
