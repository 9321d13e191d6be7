package consensus

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"tulipglade/internal/lease"
)

// Only the leader grants a lease. The lease is kept when the leader changes, and it expires after its number of ticks.
func TestLeaseSurvivesLeaderChangeAndExpires(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	g, err := group.propose(leader, acquire("x"))
	if err != nil || g.Token != 1 {
		t.Fatal(g, err)
	}
	for id, m := range group.members {
		if m == leader {
			continue
		}
		var notLeader NotLeaderError
		if _, err := group.propose(m, acquire("x")); !errors.As(err, &notLeader) || notLeader.Address != address(leader.Status().ID) {
			t.Errorf("member %d: %v", id, err)
		}
	}
	delete(group.members, leader.Status().ID)
	leader = group.awaitLeader()
	if _, err := group.propose(leader, lease.Command{Kind: lease.Renew, Name: "x", Token: 1, Ticks: 4}); err != nil {
		t.Error("the lease was lost with its leader:", err)
	}
	group.runTicks(20)
	if _, err := group.propose(leader, lease.Command{Kind: lease.Renew, Name: "x", Token: 1, Ticks: 4}); !errors.Is(err, lease.ErrNotGranted) {
		t.Error("the lease has not expired:", err)
	}
	if g, err := group.propose(leader, acquire("x")); err != nil || g.Token != 2 {
		t.Error(g, err)
	}
}

// Lease ticks are applied at least one interval apart, and a group that has granted no lease writes nothing to its
// storage.
func TestLeaseTicksAreOneIntervalApart(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	writes := group.storages[1].writes
	if group.runTicks(100); group.storages[1].writes != writes {
		t.Errorf("%d writes to the storage of an idle group", group.storages[1].writes-writes)
	}
	grantLongLease(group, leader)
	var tickTimes []time.Duration
	for tick := leader.Status().Tick; len(tickTimes) < 20; {
		if group.runTicks(1); leader.Status().Tick != tick {
			tick = leader.Status().Tick
			tickTimes = append(tickTimes, group.now)
		}
	}
	for i := range tickTimes[1:] {
		if tickTimes[i+1]-tickTimes[i] < interval {
			t.Errorf("lease ticks at %v and %v are less than an interval apart", tickTimes[i], tickTimes[i+1])
		}
	}
}

// While a lease tick waits for a quorum, the leader proposes no other one. Otherwise all of them would be applied at
// once when the quorum responds, and leases would expire too early.
func TestOnlyOneLeaseTickInFlight(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	grantLongLease(group, leader)
	group.runTicks(10)
	tick := leader.Status().Tick
	for range 8 { // four intervals in which no other member responds
		group.now += interval / 2
		leader.Tick()
		if err := leader.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if group.deliverAll(); leader.Status().Tick != tick+1 {
		t.Errorf("%d ticks applied at once", leader.Status().Tick-tick)
	}
}

// A new leader applies the lease ticks of its predecessor before it proposes one of its own. Here the predecessor stops
// right after its last tick was committed, and its successor has the entry but not the commit index. If it proposed a
// tick at once, the two ticks would be applied together and leases would expire too early.
func TestNewLeaderAppliesPredecessorsTickFirst(t *testing.T) {
	group := newNetwork(t, 3)
	predecessor := group.awaitLeader()
	grantLongLease(group, predecessor)
	group.runTicks(10)
	tick := predecessor.Status().Tick
	group.now += 2 * interval
	predecessor.Tick()
	// The other members receive the entry, but not the commit index.
	group.deliver(func(msg *pb.Message) bool { return len(msg.GetEntries()) > 0 || msg.GetType() == pb.MsgAppResp })
	delete(group.members, predecessor.Status().ID)
	group.inFlight = nil
	var successor *Member
	for _, id := range slices.Sorted(maps.Keys(group.members)) {
		successor = group.members[id]
		for range 10 {
			successor.node.TickQuiesced() // a member that has recently heard from a leader does not vote for another
		}
	}
	if predecessor.Status().Tick != tick+1 || successor.Status().Tick != tick {
		t.Fatalf("the predecessor is at tick %d, its successor at %d, want %d and %d",
			predecessor.Status().Tick, successor.Status().Tick, tick+1, tick)
	}
	if err := successor.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	group.deliver(func(m *pb.Message) bool { return m.GetType() != pb.MsgApp })
	if !successor.IsLeader() {
		t.Fatal("not the leader")
	}
	for range 4 {
		group.now += interval / 2
		successor.Tick()
	}
	if group.deliverAll(); successor.Status().Tick != tick+1 {
		t.Errorf("%d ticks applied at once", successor.Status().Tick-tick)
	}
}

// A member that starts from a snapshot does not know when the last lease tick in it was applied. It must wait for a
// whole interval before it proposes one, or that interval would be too short.
func TestNoLeaseTickRightAfterRestoringSnapshot(t *testing.T) {
	group := newNetwork(t, 1)
	leader := group.awaitLeader()
	grantLongLease(group, leader)
	for tick := leader.Status().Tick; leader.Status().Tick == tick; {
		group.runTicks(1)
	}
	if err := leader.compact(); err != nil {
		t.Fatal(err)
	}
	tick := leader.Status().Tick
	group.start(1)
	restarted := group.members[1]
	if err := restarted.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	group.deliverAll()
	if restarted.Tick(); !restarted.IsLeader() {
		t.Fatal("not the leader")
	}
	if group.deliverAll(); restarted.Status().Tick != tick {
		t.Errorf("lease tick %d was applied right after tick %d", restarted.Status().Tick, tick)
	}
}

// An added member becomes a voter only once it has caught up, for which a snapshot from before its addition is not
// enough. Until then the group works without it, accepts no other change of members, and can remove it again.
func TestAddedMemberJoinsAfterCatchingUp(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	for i := range uint64(60) { // enough entries that a new member needs a snapshot
		command := lease.Command{Kind: lease.Acquire, Name: "y", Holder: "w", RequestID: i, Ticks: 1}
		if _, err := group.propose(leader, command); err != nil && !errors.Is(err, lease.ErrNoFreeSlot) {
			t.Fatal(err)
		}
	}
	replaced := leader.Status().ID%3 + 1
	if err := *group.changeMembers(leader, map[uint64]string{3: "c"}); !errors.Is(err, ErrInvalidChange) {
		t.Error("adding a member with an ID that was used before:", err)
	}
	first := group.changeMembers(leader, map[uint64]string{4: "d"}, replaced)
	// Two of the three voters remain, which is a quorum. If the added member were a voter, two of four would be none.
	delete(group.members, leader.Status().ID%3+1)
	group.runTicks(40)
	if _, err := group.propose(leader, acquire("x")); err != nil {
		t.Error("the group does not work without the added member, which has not started:", err)
	}
	if err := *group.changeMembers(leader, map[uint64]string{5: "e"}); !errors.Is(err, ErrBusy) {
		t.Error("a second change while the first is in progress:", err)
	}
	if err := *group.changeMembers(leader, nil, 4); err != nil {
		t.Error("the added member can't be removed:", err)
	}
	if !errors.Is(*first, ErrOutcomeUnknown) {
		t.Error("the first change, after it was cancelled:", *first)
	}
	group.start(replaced)
	group.storages[5] = &memoryStorage{DurableState: EmptyState()}
	group.start(5)
	second := group.changeMembers(leader, map[uint64]string{5: "e"}, replaced)
	group.runTicks(20)
	if *second != nil {
		t.Fatal("a change while all members are running:", *second)
	}
	added := group.members[5].Status()
	if len(added.Members) != 3 || added.Members[5] != "e" || added.Members[replaced] != "" || added.Applied != leader.Status().Applied {
		t.Errorf("status of the added member: %+v", added)
	}
	if !group.members[replaced].Removed() {
		t.Error("the removed member does not know that it is removed")
	}
}

// The second of two concurrent changes of members is rejected. Raft drops a change that is proposed while the log holds
// another one, even if this member has no request for that one. The dropped change must not be reported as done when
// the other one completes.
func TestConcurrentMembershipChangeIsRejected(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	first, second := errNoReply, errNoReply
	leader.ChangeMembers(nil, []uint64{leader.Status().ID%3 + 1}, func(err error) { first = err })
	leader.ChangeMembers(nil, []uint64{(leader.Status().ID+1)%3 + 1}, func(err error) { second = err })
	if group.deliverAll(); first != nil || !errors.Is(second, ErrBusy) {
		t.Error(first, second)
	}
	if n := len(leader.Status().Members); n != 2 {
		t.Errorf("%d members, want 2", n)
	}
	if err := leader.proposeChange(membershipChange{}, []*pb.ConfChangeSingle{confChange(pb.ConfChangeAddLearnerNode, 8)}); err != nil {
		t.Fatal(err)
	}
	var other uint64
	for id := range leader.Status().Members {
		if id != leader.Status().ID {
			other = id
		}
	}
	dropped := group.changeMembers(leader, nil, other)
	group.runTicks(40)
	if !errors.Is(*dropped, ErrOutcomeUnknown) {
		t.Error("a change that raft dropped:", *dropped)
	}
}

// A leader never removes itself. It transfers the leadership first, if necessary to the member that was just added. If
// it removed itself and stopped, the remaining members might not know of the removal, and would wait forever for the
// removed member's vote.
func TestRemovedLeaderTransfersLeadershipFirst(t *testing.T) {
	for n := 1; n <= 3; n += 2 {
		group := newNetwork(t, n)
		leader := group.awaitLeader()
		self, added := leader.Status().ID, uint64(n+1)
		group.storages[added] = &memoryStorage{DurableState: EmptyState()}
		group.start(added)
		result := group.changeMembers(leader, map[uint64]string{added: address(added)}, self)
		removed := func() bool { return leader.Removed() }
		for range 60 {
			if isLeader := leader.IsLeader(); !isLeader && removed() {
				break
			}
			group.runTicks(1)
		}
		if !errors.Is(*result, ErrOutcomeUnknown) || !removed() {
			t.Errorf("group of %d: %v, removed %v", n, *result, removed())
		}
		delete(group.members, self) // the removed member stops at once
		successor := group.awaitLeader()
		if status := successor.Status(); len(status.Members) != n || status.Members[self] != "" {
			t.Errorf("group of %d: %v", n, status.Members)
		}
		if _, err := group.propose(successor, acquire("x")); err != nil {
			t.Errorf("group of %d: %v", n, err)
		}
	}
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	var notLeader NotLeaderError
	err := *group.changeMembers(leader, nil, leader.Status().ID)
	if !errors.As(err, &notLeader) || notLeader.Address == "" || leader.IsLeader() || len(leader.Status().Members) != 3 {
		t.Errorf("removal of the leader without an added member: %v, is leader %v", err, leader.IsLeader())
	}
	leader = group.awaitLeader()
	leader.pendingRemovals = []uint64{leader.Status().ID} // the state while the leadership is being transferred
	if err := *group.changeMembers(leader, map[uint64]string{9: "i"}); !errors.Is(err, ErrBusy) {
		t.Error("a change while a removal is pending:", err)
	}
}

// An isolated leader steps down and answers its requests with ErrOutcomeUnknown. A member whose write to the storage
// fails stops, and does not report the request as done.
func TestIsolatedLeaderStepsDownAndFailedWriteStopsMember(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	others := maps.Clone(group.members)
	delete(others, leader.Status().ID)
	group.members = map[uint64]*Member{leader.Status().ID: leader}
	var replyErr error
	leader.Propose(acquire("x"), func(_ lease.Grant, err error) { replyErr = err })
	group.runTicks(30)
	if !errors.Is(replyErr, ErrOutcomeUnknown) || leader.IsLeader() {
		t.Error(replyErr, leader.IsLeader())
	}
	maps.Copy(group.members, others)
	leader = group.awaitLeader()
	if g, err := group.propose(leader, acquire("x")); err != nil || g.Token != 1 {
		t.Error(g, err)
	}
	group.storages[leader.Status().ID].err = errors.New("no sync")
	replyErr = nil
	leader.Propose(acquire("z"), func(_ lease.Grant, err error) { replyErr = err })
	if err := leader.Flush(); err == nil || !errors.Is(replyErr, ErrOutcomeUnknown) {
		t.Error("after a failed write:", err, replyErr)
	}
	if leader.Tick(); leader.Flush() == nil {
		t.Error("the member keeps running after a failed write")
	}
}

// Once ReadIndex has called back, Status includes the proposals that were committed before the call.
func TestReadIndexSeesEarlierProposals(t *testing.T) {
	group := newNetwork(t, 3)
	leader := group.awaitLeader()
	if _, err := group.propose(leader, acquire("x")); err != nil {
		t.Fatal(err)
	}
	err := errNoReply
	leader.ReadIndex(func(e error) { err = e })
	if group.deliverAll(); err != nil || len(leader.Status().Leases) != 1 {
		t.Error(err, leader.Status())
	}
}
