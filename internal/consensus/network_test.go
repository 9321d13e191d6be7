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

// interval is the interval between two lease ticks. It is as long as two ticks of the members' clock.
const interval = 100 * time.Millisecond

var errNoReply = errors.New("no reply")

// memoryStorage is a Storage that counts its writes and can be made to fail.
type memoryStorage struct {
	DurableState
	writes int
	err    error
}

func (s *memoryStorage) Save(update StorageUpdate) error {
	s.writes++
	s.DurableState = s.Apply(update)
	return s.err
}

// network is a simulated network that connects the members of a group without delay, together with the clock that they
// share.
type network struct {
	t        *testing.T
	now      time.Duration // only the test advances it
	members  map[uint64]*Member
	storages map[uint64]*memoryStorage
	inFlight []*pb.Message
}

// newNetwork starts a new group whose members have the IDs 1 to count.
func newNetwork(t *testing.T, count int) *network {
	t.Helper()
	n := &network{t: t, members: map[uint64]*Member{}, storages: map[uint64]*memoryStorage{}}
	members := map[uint64]string{}
	for i := range uint64(count) {
		members[i+1] = address(i + 1)
	}
	for id := range members {
		durable, err := Bootstrap(members, lease.Terms{Interval: interval, Drift: 0.01})
		if err != nil {
			t.Fatal(err)
		}
		n.storages[id] = &memoryStorage{DurableState: durable}
		n.start(id)
	}
	return n
}

// address returns a member's address: "a" for member 1, "b" for member 2, and so on.
func address(id uint64) string { return string(rune('a' + id - 1)) }

// start starts or restarts a member from the state in its storage.
func (n *network) start(id uint64) {
	n.t.Helper()
	member, err := New(Options{
		ID:                  id,
		Clock:               func() time.Duration { return n.now },
		Rand:                rand.New(rand.NewPCG(id, 1)),
		Storage:             n.storages[id],
		Send:                func(_ string, msg *pb.Message) { n.inFlight = append(n.inFlight, msg) },
		ElectionTicks:       10,
		SnapshotEntries:     20,
		RequestTimeoutTicks: 30,
	}, n.storages[id].DurableState)
	if err != nil {
		n.t.Fatal(err)
	}
	n.members[id] = member
}

// deliverAll delivers all messages, until no member sends another one.
func (n *network) deliverAll() { n.deliver(func(*pb.Message) bool { return true }) }

// deliver delivers the messages for which wanted returns true, including those that members send in response. It leaves
// the others in flight. A member whose Flush fails is removed from the network.
func (n *network) deliver(wanted func(*pb.Message) bool) {
	for {
		for _, id := range slices.Sorted(maps.Keys(n.members)) {
			if n.members[id].Flush() != nil {
				delete(n.members, id)
			}
		}
		next := slices.IndexFunc(n.inFlight, wanted)
		if next < 0 {
			return
		}
		msg := n.inFlight[next]
		n.inFlight = slices.Delete(n.inFlight, next, next+1)
		recipient := n.members[msg.GetTo()]
		if recipient != nil {
			_ = recipient.Step(address(msg.GetFrom()), msg) // a member that has stopped returns an error
		}
		if sender := n.members[msg.GetFrom()]; msg.GetType() == pb.MsgSnap && sender != nil {
			sender.ReportSnapshot(msg.GetTo(), recipient != nil)
		}
	}
}

// runTicks advances the members' clock by count ticks, and delivers all messages after each tick.
func (n *network) runTicks(count int) {
	for range count {
		n.now += interval / 2
		for _, id := range slices.Sorted(maps.Keys(n.members)) {
			n.members[id].Tick()
		}
		n.deliverAll()
	}
}

// awaitLeader advances the clock until a member is the leader, and returns that member.
func (n *network) awaitLeader() *Member {
	n.t.Helper()
	for range 100 {
		n.runTicks(1)
		for _, id := range slices.Sorted(maps.Keys(n.members)) {
			if n.members[id].IsLeader() {
				return n.members[id]
			}
		}
	}
	n.t.Fatal("no leader")
	return nil
}

// propose proposes a command at a member, delivers all messages and returns the reply.
func (n *network) propose(member *Member, command lease.Command) (grant lease.Grant, err error) {
	err = errNoReply
	member.Propose(command, func(g lease.Grant, e error) { grant, err = g, e })
	n.deliverAll()
	return grant, err
}

// changeMembers requests a change of members and delivers all messages. The result is errNoReply until the reply comes,
// which may be after changeMembers has returned.
func (n *network) changeMembers(member *Member, add map[uint64]string, remove ...uint64) *error {
	result := errNoReply
	member.ChangeMembers(add, remove, func(err error) { result = err })
	n.deliverAll()
	return &result
}

// acquire returns a command that acquires a lease for 4 ticks.
func acquire(name string) lease.Command {
	return lease.Command{Kind: lease.Acquire, Name: name, Holder: "w", RequestID: 1, Ticks: 4}
}

// grantLongLease grants a lease that lasts for the whole test, because the leader proposes lease ticks only while a
// lease is held.
func grantLongLease(n *network, leader *Member) {
	n.t.Helper()
	command := acquire("x")
	command.Ticks = 1000
	if _, err := n.propose(leader, command); err != nil {
		n.t.Fatal(err)
	}
}
