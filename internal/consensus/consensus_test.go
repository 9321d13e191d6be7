package consensus

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

// lan is members whose messages arrive at once, and whose clock the test moves.
type lan struct {
	t       *testing.T
	now     time.Duration
	members map[uint64]*Member
	disks   map[uint64]*disk
	post    []*pb.Message
}

type disk struct {
	DurableState
	writes int
	err    error
}

func (d *disk) Save(w StorageUpdate) error {
	d.writes++
	d.DurableState = d.DurableState.EntriesAfter(w)
	return d.err
}

const interval = 100 * time.Millisecond

func newLan(t *testing.T, n int) *lan {
	l := &lan{t: t, members: map[uint64]*Member{}, disks: map[uint64]*disk{}}
	who := map[uint64]string{}
	for id := range uint64(n) {
		who[id+1] = string(rune('a' + id))
	}
	for id := range who {
		kept, err := Bootstrap(who, lease.Terms{Interval: interval, Drift: 0.01})
		if err != nil {
			t.Fatal(err)
		}
		l.disks[id] = &disk{DurableState: kept}
		l.start(id)
	}
	return l
}

func (l *lan) start(id uint64) {
	m, err := New(Options{ID: id, Clock: func() time.Duration { return l.now }, Rand: rand.New(rand.NewPCG(id, 1)), Storage: l.disks[id],
		Send: func(_ string, m *pb.Message) { l.post = append(l.post, m) }, ElectionTicks: 10, SnapshotEntries: 20, RequestTimeoutTicks: 30}, l.disks[id].DurableState)
	if err != nil {
		l.t.Fatal(err)
	}
	l.members[id] = m
}

// settle delivers until nobody has anything to say.
func (l *lan) settle() { l.deliver(func(*pb.Message) bool { return true }) }

// deliver brings what is wanted to its place, and what follows from it; the rest stays on its way.
func (l *lan) deliver(wanted func(*pb.Message) bool) {
	for {
		for _, id := range slices.Sorted(maps.Keys(l.members)) {
			if l.members[id].Flush() != nil {
				delete(l.members, id)
			}
		}
		at := slices.IndexFunc(l.post, wanted)
		if at < 0 {
			return
		}
		m := l.post[at]
		l.post = slices.Delete(l.post, at, at+1)
		to := l.members[m.GetTo()]
		if to != nil {
			_ = to.Step(string(rune('a'+m.GetFrom()-1)), m)
		}
		if from := l.members[m.GetFrom()]; m.GetType() == pb.MsgSnap && from != nil {
			from.Delivered(m.GetTo(), to != nil)
		}
	}
}

func (l *lan) beats(n int) {
	for range n {
		l.now += interval / 2
		for _, id := range slices.Sorted(maps.Keys(l.members)) {
			l.members[id].Tick()
		}
		l.settle()
	}
}

func (l *lan) leader() *Member {
	l.t.Helper()
	for range 100 {
		l.beats(1)
		for _, id := range slices.Sorted(maps.Keys(l.members)) {
			if l.members[id].IsLeader() {
				return l.members[id]
			}
		}
	}
	l.t.Fatal("nobody leads")
	return nil
}

func (l *lan) ask(m *Member, c lease.Command) (g lease.Grant, err error) {
	err = errors.New("no answer")
	m.Propose(c, func(got lease.Grant, e error) { g, err = got, e })
	l.settle()
	return g, err
}

func (l *lan) change(m *Member, add map[uint64]string, remove ...uint64) *error {
	err := errors.New("no answer")
	m.ChangeMembers(add, remove, func(e error) { err = e })
	l.settle()
	return &err
}

func acquire(name string) lease.Command {
	return lease.Command{Kind: lease.Acquire, Name: name, Holder: "w", RequestID: 1, Ticks: 4}
}

// A lease is granted by whoever leads, outlives a change of leader, and ends by ticks.
func TestLeaseOverLeaders(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	g, err := l.ask(lead, acquire("x"))
	if err != nil || g.Token != 1 {
		t.Fatal(g, err)
	}
	for id, m := range l.members {
		if m == lead {
			continue
		}
		var not NotLeaderError
		if _, err := l.ask(m, acquire("x")); !errors.As(err, &not) || not.Address != string(rune('a'+lead.Status().ID-1)) {
			t.Errorf("member %d: %v", id, err)
		}
	}
	delete(l.members, lead.Status().ID)
	lead = l.leader()
	if _, err := l.ask(lead, lease.Command{Kind: lease.Renew, Name: "x", Token: 1, Ticks: 4}); err != nil {
		t.Error("it ended with its leader:", err)
	}
	l.beats(20)
	if _, err := l.ask(lead, lease.Command{Kind: lease.Renew, Name: "x", Token: 1, Ticks: 4}); !errors.Is(err, lease.ErrNotGranted) {
		t.Error("it has not ended:", err)
	}
	if g, err := l.ask(lead, acquire("x")); err != nil || g.Token != 2 {
		t.Error(g, err)
	}
}

// Ticks are an interval apart at least; and an idle group writes nothing.
func TestPace(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	writes := l.disks[1].writes
	if l.beats(100); l.disks[1].writes != writes {
		t.Errorf("%d writes of an idle group", l.disks[1].writes-writes)
	}
	hold(l, lead)
	var at []time.Duration
	for tick := lead.Status().Tick; len(at) < 20; {
		if l.beats(1); lead.Status().Tick != tick {
			tick = lead.Status().Tick
			at = append(at, l.now)
		}
	}
	for i := range at[1:] {
		if at[i+1]-at[i] < interval {
			t.Errorf("ticks at %v and %v", at[i], at[i+1])
		}
	}
}

// hold has somebody hold a lease for long, so that time goes on.
func hold(l *lan, lead *Member) {
	l.t.Helper()
	c := acquire("x")
	c.Ticks = 1000
	if _, err := l.ask(lead, c); err != nil {
		l.t.Fatal(err)
	}
}

// A tick that waits for its majority is not proposed again and again: all of them would count at once, and end leases early.
func TestOneTickAtATime(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	hold(l, lead)
	l.beats(10)
	tick := lead.Status().Tick
	for range 8 { // four intervals, in which nobody answers
		l.now += interval / 2
		lead.Tick()
		if err := lead.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if l.settle(); lead.Status().Tick != tick+1 {
		t.Errorf("%d ticks at once", lead.Status().Tick-tick)
	}
}

// The leader dies when its last tick has counted, and the next one has not heard of that: it must know before it proposes one of its own.
func TestATickOfTheLeaderBefore(t *testing.T) {
	l := newLan(t, 3)
	old := l.leader()
	hold(l, old)
	l.beats(10)
	tick := old.Status().Tick
	l.now += 2 * interval
	old.Tick()
	l.deliver(func(m *pb.Message) bool { return len(m.GetEntries()) > 0 || m.GetType() == pb.MsgAppResp }) // not that it is agreed on
	delete(l.members, old.Status().ID)
	l.post = nil
	var next *Member
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		next = l.members[id]
		for range 10 {
			next.node.TickQuiesced() // silence: who has just heard of a leader gives no vote
		}
	}
	if old.Status().Tick != tick+1 || next.Status().Tick != tick {
		t.Fatalf("the old leader is at %d, the next at %d, want %d and %d", old.Status().Tick, next.Status().Tick, tick+1, tick)
	}
	if err := next.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	l.deliver(func(m *pb.Message) bool { return m.GetType() != pb.MsgApp })
	if !next.IsLeader() {
		t.Fatal("it does not lead")
	}
	for range 4 {
		l.now += interval / 2
		next.Tick()
	}
	if l.settle(); next.Status().Tick != tick+1 {
		t.Errorf("%d ticks at once", next.Status().Tick-tick)
	}
}

// Who starts from a snapshot does not know when the last tick in it was.
func TestATickInASnapshot(t *testing.T) {
	l := newLan(t, 1)
	lead := l.leader()
	hold(l, lead)
	for tick := lead.Status().Tick; lead.Status().Tick == tick; {
		l.beats(1)
	}
	if err := lead.compact(); err != nil {
		t.Fatal(err)
	}
	tick := lead.Status().Tick
	l.start(1)
	again := l.members[1]
	if err := again.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	l.settle()
	if again.Tick(); !again.IsLeader() {
		t.Fatal("it does not lead")
	}
	if l.settle(); again.Status().Tick != tick {
		t.Errorf("the next tick is there at once: %d after %d", again.Status().Tick, tick)
	}
}

// A new member has no say before it has caught up, which a snapshot from before its coming does not give it; meanwhile the group
// goes on without it, takes no other change, and can give it up.
func TestChangeOfMembers(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	for i := range uint64(60) { // so that what a new one needs is not in the log any more
		if _, err := l.ask(lead, lease.Command{Kind: lease.Acquire, Name: "y", Holder: "w", RequestID: i, Ticks: 1}); err != nil && !errors.Is(err, lease.ErrNoFreeSlot) {
			t.Fatal(err)
		}
	}
	old := lead.Status().ID%3 + 1
	if err := *l.change(lead, map[uint64]string{3: "c"}); !errors.Is(err, ErrInvalidChange) {
		t.Error("an id that was there before:", err)
	}
	first := l.change(lead, map[uint64]string{4: "d"}, old)
	delete(l.members, lead.Status().ID%3+1) // with a say of the new one, which is not there, two of four would be too few
	l.beats(40)
	if _, err := l.ask(lead, acquire("x")); err != nil {
		t.Error("the group waits for one that has not come:", err)
	}
	if err := *l.change(lead, map[uint64]string{5: "e"}); !errors.Is(err, ErrBusy) {
		t.Error("a second change:", err)
	}
	if err := *l.change(lead, nil, 4); err != nil {
		t.Error("it can't be given up:", err)
	}
	if !errors.Is(*first, ErrOutcomeUnknown) {
		t.Error("the first change:", *first)
	}
	l.start(old)
	l.disks[5] = &disk{DurableState: EmptyState()}
	l.start(5)
	second := l.change(lead, map[uint64]string{5: "e"}, old)
	l.beats(20)
	if *second != nil {
		t.Fatal("a change with all there:", *second)
	}
	if v := l.members[5].Status(); len(v.Members) != 3 || v.Members[5] != "e" || v.Members[old] != "" || v.Applied != lead.Status().Applied {
		t.Errorf("the new one: %+v", v)
	}
	if !l.members[old].Removed() {
		t.Error("the old one does not know that it is none any more")
	}
}

// Of two changes at a time one is told no; and one that raft drops, as another is on its way of which this member has not heard, is never
// told to be done with that one.
func TestTwoChangesAtATime(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	first, second := errors.New("no answer"), errors.New("no answer")
	lead.ChangeMembers(nil, []uint64{lead.Status().ID%3 + 1}, func(err error) { first = err })
	lead.ChangeMembers(nil, []uint64{(lead.Status().ID+1)%3 + 1}, func(err error) { second = err })
	if l.settle(); first != nil || !errors.Is(second, ErrBusy) {
		t.Error(first, second)
	}
	if n := len(lead.Status().Members); n != 2 {
		t.Errorf("%d members", n)
	}
	if err := lead.proposeChange(membershipChange{}, []*pb.ConfChangeSingle{single(pb.ConfChangeAddLearnerNode, 8)}); err != nil {
		t.Fatal(err)
	}
	var other uint64
	for id := range lead.Status().Members {
		if id != lead.Status().ID {
			other = id
		}
	}
	dropped := l.change(lead, nil, other)
	l.beats(40)
	if !errors.Is(*dropped, ErrOutcomeUnknown) {
		t.Error("a change that raft has dropped:", *dropped)
	}
}

// Who leads is never removed by itself: it has another lead first, also where that is the only one, new as it is. Else none of those who
// stay might know that it has gone, and all wait for its vote.
func TestALeaderIsRemoved(t *testing.T) {
	for n := 1; n <= 3; n += 2 {
		l := newLan(t, n)
		lead := l.leader()
		self, fresh := lead.Status().ID, uint64(n+1)
		l.disks[fresh] = &disk{DurableState: EmptyState()}
		l.start(fresh)
		done := l.change(lead, map[uint64]string{fresh: string(rune('a' + fresh - 1))}, self)
		removed := func() bool { return lead.Removed() }
		for range 60 {
			if led := lead.IsLeader(); !led && removed() {
				break
			}
			l.beats(1)
		}
		if !errors.Is(*done, ErrOutcomeUnknown) || !removed() {
			t.Errorf("of %d: %v, removed %v", n, *done, removed())
		}
		delete(l.members, self) // at once
		next := l.leader()
		if v := next.Status(); len(v.Members) != n || v.Members[self] != "" {
			t.Errorf("of %d: %v", n, v.Members)
		}
		if _, err := l.ask(next, acquire("x")); err != nil {
			t.Errorf("of %d: %v", n, err)
		}
	}
	l := newLan(t, 3)
	lead := l.leader()
	var not NotLeaderError
	if err := *l.change(lead, nil, lead.Status().ID); !errors.As(err, &not) || not.Address == "" || lead.IsLeader() || len(lead.Status().Members) != 3 {
		t.Errorf("a removal without a new one: %v, leads %v", err, lead.IsLeader())
	}
	lead = l.leader()
	lead.leaving = []uint64{lead.Status().ID} // another is to lead, and has not come to yet
	if err := *l.change(lead, map[uint64]string{9: "i"}); !errors.Is(err, ErrBusy) {
		t.Error("a change while one is to leave:", err)
	}
}

// Who leads and hears nobody stops leading; what it was asked is not known. What it can't write ends it, and nothing is answered.
func TestAloneAndBroken(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	rest := maps.Clone(l.members)
	delete(rest, lead.Status().ID)
	l.members = map[uint64]*Member{lead.Status().ID: lead}
	var got error
	lead.Propose(acquire("x"), func(_ lease.Grant, err error) { got = err })
	l.beats(30)
	if !errors.Is(got, ErrOutcomeUnknown) || lead.IsLeader() {
		t.Error(got, lead.IsLeader())
	}
	maps.Copy(l.members, rest)
	lead = l.leader()
	if g, err := l.ask(lead, acquire("x")); err != nil || g.Token != 1 {
		t.Error(g, err)
	}
	l.disks[lead.Status().ID].err = errors.New("no sync")
	got = nil
	lead.Propose(acquire("z"), func(_ lease.Grant, err error) { got = err })
	if err := lead.Flush(); err == nil || !errors.Is(got, ErrOutcomeUnknown) {
		t.Error("after a failed write:", err, got)
	}
	if lead.Tick(); lead.Flush() == nil {
		t.Error("it goes on")
	}
}

// A look shows what was agreed on before it, also from a member that has just come to lead.
func TestLook(t *testing.T) {
	l := newLan(t, 3)
	lead := l.leader()
	if _, err := l.ask(lead, acquire("x")); err != nil {
		t.Fatal(err)
	}
	err := errors.New("no answer")
	lead.ReadIndex(func(e error) { err = e })
	if l.settle(); err != nil || len(lead.Status().Leases) != 1 {
		t.Error(err, lead.Status())
	}
}
