package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
)

// Terms of the leases, and parameters of every schedule.
const (
	leaseName       = "task"
	tickInterval    = 100 * time.Millisecond
	drift           = 0.05
	grantTicks      = 20
	longestAction   = 300 * time.Millisecond
	longestDelay    = 20 * time.Millisecond // of a message in a network without faults
	faultTime       = 20 * time.Second      // part of a schedule in which faults occur
	scheduleLength  = 30 * time.Second
	recoveryTime    = 5 * time.Second // after the faults, within which holders must act again
	longestLateness = 3 * time.Second // largest delay of a message in a network with faults

	maxEvents = 200_000 // largest number of events in a schedule; it usually has about 20,000
)

// Stream of the random source of a seed, and number of the event source in the queue.
const (
	randomStream = 0x1ea5e
	eventSource  = 1
)

// lostHolder is the token of a holder that has died, and the time of its death.
type lostHolder struct {
	token  lease.Token
	diedAt time.Duration
}

// schedule is the state of one schedule. The result of a seed depends on the order of the random draws, which
// therefore must not change.
type schedule struct {
	outcome Outcome
	gaps    Gaps
	faults  Faults
	without Ablation

	random *rand.Rand
	queue  eventqueue.Sim
	source eventqueue.Source
	now    time.Duration

	single *singleState           // nil if there is a group of members
	group  *group                 // nil if there is a single state
	owners map[lease.Token]string // by token: the request that it was granted to

	// State of the target of the actions.
	fence       fencing.Fence
	actions     []*action
	lastAction  time.Duration
	newest      map[int]lease.Token // newest admitted token, by slot
	lostHolders map[int]lostHolder  // by slot
}

func newSchedule(seed uint64, without Ablation) *schedule {
	return &schedule{
		outcome:     Outcome{Schedules: 1},
		without:     without,
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		source:      eventqueue.NewSource(eventSource),
		owners:      map[lease.Token]string{},
		newest:      map[int]lease.Token{},
		lostHolders: map[int]lostHolder{},
	}
}

// RunSchedule runs the schedule of a seed, with a group of this many members. If members is 0, a single state that is
// changed by one leader after the other stands for the group.
func RunSchedule(seed uint64, without Ablation, members int) (outcome Outcome, gaps Gaps) {
	s := newSchedule(seed, without)
	defer func() {
		if broken := recover(); broken != nil { // raft panics when one of its own invariants is broken
			s.outcome.Disagreements++
			outcome, gaps = s.outcome, s.gaps
		}
	}()
	s.drawFaults()
	maxHolders := 1 + s.random.IntN(2)*s.random.IntN(3)
	s.startGroup(members, lease.Command{Kind: lease.SetMaxHolders, Name: leaseName, MaxHolders: maxHolders})
	s.startHolders()
	for s.queue.Step(eventqueue.Time(scheduleLength / time.Microsecond)) {
		if s.queue.HandledEvents() > maxEvents { // members whose disks lost confirmed writes may send messages forever
			s.outcome.Disagreements++
		}
		if s.outcome.Disagreements+s.outcome.DuplicateGrants > 0 { // the rest of the schedule would be meaningless
			return s.outcome, s.gaps
		}
	}
	s.finish(maxHolders)
	return s.outcome, s.gaps
}

func (s *schedule) drawFaults() {
	s.faults.Stops = s.chance(0.5)
	s.faults.Clocks = s.chance(0.3)
	s.faults.Network = s.chance(0.6)
	s.faults.Late = s.chance(0.3)
	s.faults.Leaders = s.chance(0.6)
	s.faults.Kills = s.chance(0.5)
}

func (s *schedule) drawMemberFaults() {
	s.faults.Leaders = false
	s.faults.Down = s.chance(0.6)
	s.faults.Cuts = s.chance(0.5)
	s.faults.Lossy = s.chance(0.4)
	s.faults.Paused = s.chance(0.3)
	s.faults.Changes = s.chance(0.3)
}

// startGroup starts the group or the single state that grants leases, and gives it its first command.
func (s *schedule) startGroup(members int, first lease.Command) {
	if members > 0 {
		s.drawMemberFaults()
		s.group = newGroup(s, members, first)
		return
	}
	s.single = &singleState{schedule: s, state: lease.New()}
	if _, err := s.single.state.Apply(first); err != nil {
		panic(err)
	}
	s.single.elect()
}

func (s *schedule) startHolders() {
	for i := range 2 + s.random.IntN(4) {
		h := &holder{schedule: s, name: fmt.Sprint("h", i), clockRate: s.allowedClockRate()}
		if s.faults.Clocks && s.chance(0.5) {
			h.clockRate = 0.3 + 0.5*s.random.Float64()
		}
		h.start()
	}
}

// finish performs the checks that are possible only at the end of a schedule.
func (s *schedule) finish(maxHolders int) {
	if s.lastAction < faultTime+recoveryTime {
		s.outcome.Idle++
	}
	if s.group != nil {
		s.group.compareMembers()
	}
	// If no process is stopped, all clocks are within the terms and all actions arrive in the time that holders allow
	// for, the fence must have nothing to reject, however faulty the network between holders and group is.
	if f := s.faults; !f.Stops && !f.Clocks && !f.Late {
		s.outcome.UnexpectedRejections = s.outcome.StaleRejections + s.outcome.Busy
	}
	if s.faults == (Faults{Kills: true}) && maxHolders == 1 {
		s.gaps.Undisturbed = s.gaps.All
	}
}

// callAfter calls a function after a delay, rounded up to the queue's resolution: a function that runs before it is due
// would schedule itself again forever.
func (s *schedule) callAfter(delay time.Duration, f func()) {
	const resolution = time.Microsecond
	s.queue.ScheduleAfter(&s.source, eventqueue.Span((delay+resolution-1)/resolution), eventqueue.Event{Target: s, Payload: f})
}

// Handle sets the current time and runs the function of an event.
func (s *schedule) Handle(now eventqueue.Time, event eventqueue.Event) {
	s.now = time.Duration(now) * time.Microsecond
	event.Payload.(func())()
}

func (s *schedule) randomDuration(least, most time.Duration) time.Duration {
	return eventqueue.UniformDuration(s.random, least, most)
}

func (s *schedule) chance(probability float64) bool { return s.random.Float64() < probability }

// allowedClockRate draws a clock rate that is within the drift that the terms allow.
func (s *schedule) allowedClockRate() float64 { return 1 + drift*(2*s.random.Float64()-1) }

// faultsActive reports whether the schedule is in the part in which faults occur.
func (s *schedule) faultsActive() bool { return s.now < faultTime }

// send schedules the delivery of a message. In a faulty network the message may be lost, late or delivered twice.
func (s *schedule) send(faulty bool, deliver func()) {
	copies, longest := 1, longestDelay
	if faulty && s.faultsActive() {
		switch {
		case s.chance(0.15):
			return
		case s.chance(0.15):
			copies = 2
		}
		if s.chance(0.2) {
			longest = longestLateness
		}
	}
	for range copies {
		s.callAfter(s.randomDuration(longestDelay/10, longest), deliver)
	}
}

// request sends a command of a holder to the group, and calls respond with the result. Without a leader there is no
// response.
func (s *schedule) request(h *holder, command lease.Command, respond func(lease.Grant, error)) {
	if s.group != nil {
		s.group.request(h, command, respond)
		return
	}
	s.single.request(command, respond)
}
