package leasesim

import (
	"errors"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/consensus"
	"tulipglade/internal/simulation/eventqueue"
)

const (
	memberTickInterval = 50 * time.Millisecond
	removedGrace       = 5 * time.Second // for which a removed member stays

	electionTicks       = 10
	snapshotEntries     = 40
	requestTimeoutTicks = 60

	maxUnsynced        = 20 // writes that a disk without sync may still lose
	longestLossyDelay  = 400 * time.Millisecond
	shortestDelay      = time.Millisecond
	snapshotReportTime = 2 * longestDelay
)

// errProcessDied is the error of a write during which the process died.
var errProcessDied = errors.New("the process died")

// member is a member's process, its disk and its clock.
type member struct {
	group        *group
	id           uint64
	clockRate    float64
	stoppedUntil time.Duration
	incarnation  int               // counts its processes
	process      *consensus.Member // nil: it is down
	disk         consensus.DurableState
	unsynced     []consensus.StorageUpdate // writes that the disk does not have yet
	removed      bool                      // from the group; it will not start again
}

func (m *member) clock() time.Duration {
	return time.Duration(float64(m.group.schedule.now) * m.clockRate)
}

// Save writes an update to the disk. The process may die before anything is written, or after everything is.
func (m *member) Save(update consensus.StorageUpdate) error {
	s := m.group.schedule
	dies := s.faults.Down && s.faultsActive() && s.chance(0.002)
	if dies && s.chance(0.5) {
		return errProcessDied
	}
	m.unsynced = append(m.unsynced, update)
	if !s.without.Sync {
		m.sync(0)
	}
	m.sync(maxUnsynced)
	if dies {
		return errProcessDied
	}
	return nil
}

// sync writes all but the last few updates to the disk.
func (m *member) sync(keep int) {
	for len(m.unsynced) > keep {
		m.disk = m.disk.Apply(m.unsynced[0])
		m.unsynced = m.unsynced[1:]
	}
}

// start starts a process from the disk, unless there is one or the member was removed.
func (m *member) start() {
	if m.removed || m.process != nil {
		return
	}
	s := m.group.schedule
	m.incarnation++
	process, err := consensus.New(consensus.Options{
		ID:                  m.id,
		Clock:               m.clock,
		Rand:                rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())),
		Storage:             m,
		Send:                m.send,
		ElectionTicks:       electionTicks,
		SnapshotEntries:     snapshotEntries,
		RequestTimeoutTicks: requestTimeoutTicks,
	}, m.disk)
	if err != nil {
		panic(err)
	}
	m.process = process
	incarnation := m.incarnation
	s.callAfter(s.randomDuration(0, memberTickInterval), func() { m.tick(incarnation) })
}

// tick advances the clock of elections, again and again until the process ends.
func (m *member) tick(incarnation int) {
	m.run(incarnation, (*consensus.Member).Tick)
	if m.incarnation == incarnation {
		interval := time.Duration(float64(memberTickInterval) / m.clockRate)
		m.group.schedule.callAfter(interval, func() { m.tick(incarnation) })
	}
}

// run calls a function in a process, and has the process write and send what comes of it: once it is not stopped any more, and never if it
// has ended.
func (m *member) run(incarnation int, f func(*consensus.Member)) {
	s := m.group.schedule
	switch {
	case m.process == nil || incarnation != m.incarnation:
		return
	case s.now < m.stoppedUntil:
		s.callAfter(m.stoppedUntil-s.now, func() { m.run(incarnation, f) })
		return
	}
	led := m.process.IsLeader()
	f(m.process)
	if err := m.process.Flush(); err != nil {
		if !errors.Is(err, errProcessDied) {
			panic(err)
		}
		m.crash(s.randomDuration(100*time.Millisecond, 3*time.Second))
		return
	}
	if !led && m.process.IsLeader() {
		m.recordElection()
	}
	m.checkState()
}

// recordElection counts a leader, and the time that the group had none.
func (m *member) recordElection() {
	g, s := m.group, m.group.schedule
	s.outcome.Leaders++
	if g.leaderDiedAt > 0 {
		s.gaps.LeaderElection = append(s.gaps.LeaderElection, s.now-g.leaderDiedAt)
		g.leaderDiedAt = 0
	}
}

// checkState checks that the member agrees with those that have applied as much, and notes when it is removed from the group.
func (m *member) checkState() {
	g, s := m.group, m.group.schedule
	index, checksum := m.process.Checksum()
	if agreed, ok := g.checksums[index]; ok && agreed != checksum {
		s.outcome.Disagreements++
	}
	g.checksums[index] = checksum
	if m.process.Removed() && !m.removed {
		m.removed = true
		s.outcome.Changes++
		s.callAfter(removedGrace, func() {
			m.process = nil
			m.incarnation++
		})
	}
}

// crash ends the process, and starts another after a time.
func (m *member) crash(restartAfter time.Duration) {
	if m.process == nil {
		return
	}
	s := m.group.schedule
	if m.process.IsLeader() {
		m.group.leaderDiedAt = s.now
	}
	m.process, m.stoppedUntil = nil, 0
	m.incarnation++
	m.sync(s.random.IntN(maxUnsynced + 1))
	m.unsynced = nil
	s.callAfter(restartAfter, m.start)
}

// send sends a message to another member.
func (m *member) send(recipientAddress string, message *raftpb.Message) {
	g, s := m.group, m.group.schedule
	raw, err := proto.Marshal(message) // the message may change after this call
	if err != nil {
		panic(err)
	}
	recipient := g.memberByAddress(recipientAddress)
	incarnation, path := m.incarnation, link{m.id, recipient.id}
	deliver := func() {
		if s.now >= g.cutUntil[path] {
			recipient.receive(m, raw)
		}
	}
	if s.faults.Lossy && s.faultsActive() { // raft can still elect a leader over such a network
		for _, delay := range eventqueue.DelayPath(s.random, shortestDelay, longestDelay/2, longestLossyDelay) {
			s.callAfter(delay, deliver)
		}
	} else {
		s.callAfter(s.randomDuration(shortestDelay, longestDelay/2), deliver)
	}
	if message.GetType() == raftpb.MsgSnap {
		s.callAfter(snapshotReportTime, func() {
			m.run(incarnation, func(process *consensus.Member) { process.ReportSnapshot(message.GetTo(), s.now >= g.cutUntil[path]) })
		})
	}
}

func (m *member) receive(sender *member, raw []byte) {
	m.run(m.incarnation, func(process *consensus.Member) {
		var message raftpb.Message
		if err := proto.Unmarshal(raw, &message); err != nil {
			panic(err)
		}
		_ = process.Step(address(sender.id), &message) // a message that is rejected is lost
	})
}
