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
	removedGrace       = 5 * time.Second // time for which a removed member keeps running

	electionTicks       = 10
	snapshotEntries     = 40
	requestTimeoutTicks = 60

	maxUnsynced        = 20 // number of last writes that a disk without sync may lose
	longestLossyDelay  = 400 * time.Millisecond
	shortestDelay      = time.Millisecond
	snapshotReportTime = 2 * longestDelay
)

// errProcessDied is returned by a write during which the process died.
var errProcessDied = errors.New("the process died")

// member is a simulated member of the group: its process, its disk and its clock.
type member struct {
	group        *group
	id           uint64
	clockRate    float64
	stoppedUntil time.Duration
	incarnation  int               // number of its processes so far
	process      *consensus.Member // nil while it is down
	disk         consensus.DurableState
	unsynced     []consensus.StorageUpdate // writes that the disk does not have yet
	removed      bool                      // it was removed from the group, and does not start again
}

func (m *member) clock() time.Duration {
	return time.Duration(float64(m.group.schedule.now) * m.clockRate)
}

// Save writes an update to the disk. The process may die before the write, or after it is complete.
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

// sync writes all unsynced updates but the last keep ones to the disk.
func (m *member) sync(keep int) {
	for len(m.unsynced) > keep {
		m.disk = m.disk.Apply(m.unsynced[0])
		m.unsynced = m.unsynced[1:]
	}
}

// start starts a process with the state on the disk, unless one is running or the member was removed.
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

// tick advances the process's clock of elections, and schedules the next tick until the process ends.
func (m *member) tick(incarnation int) {
	m.run(incarnation, (*consensus.Member).Tick)
	if m.incarnation == incarnation {
		interval := time.Duration(float64(memberTickInterval) / m.clockRate)
		m.group.schedule.callAfter(interval, func() { m.tick(incarnation) })
	}
}

// run calls a function in a process, and has the process write and send the resulting updates and messages. If the
// process is stopped, run does so as soon as it resumes; if the process has ended, run does nothing.
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

// recordElection counts a new leader, and records for how long the group had none.
func (m *member) recordElection() {
	g, s := m.group, m.group.schedule
	s.outcome.Leaders++
	if g.leaderDiedAt > 0 {
		s.gaps.LeaderElection = append(s.gaps.LeaderElection, s.now-g.leaderDiedAt)
		g.leaderDiedAt = 0
	}
}

// checkState checks that the member's state agrees with that of the members that applied the same log index before.
// It also records the member's removal from the group, and ends its process some time later.
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

// crash ends the process, loses a random number of unsynced writes, and starts another process after a delay.
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

// send schedules the delivery of a message to another member, unless the link is cut when it arrives.
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
		for _, delay := range eventqueue.DrawDelays(s.random, shortestDelay, longestDelay/2, longestLossyDelay) {
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
		_ = process.Step(address(sender.id), &message) // a rejected message is treated as lost
	})
}
