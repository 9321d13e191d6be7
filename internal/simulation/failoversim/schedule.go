package failoversim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tulipglade/internal/failover"
	"tulipglade/internal/lease"
	"tulipglade/internal/simulation/eventqueue"
)

// Parameters of every schedule.
const (
	step           = 100 * time.Millisecond
	scheduleLength = 60 * time.Second
	reportInterval = 500 * time.Millisecond // between the reports of a node, and between the cycles of an agent
	settleTime     = 10 * time.Second       // after an event, until the served value must be near the optimum
	never          = 2 * scheduleLength

	regions        = 3
	zonesPerRegion = 3
	nodesPerZone   = 3
	agentCount     = 3
	fullCapacity   = 100.0 // of a zone

	allDieProbability = 0.3 // that all agents die in a schedule

	shortestDelay = time.Millisecond // of the delivery of a message
	usualDelay    = 50 * time.Millisecond
	longestDelay  = 3 * time.Second
)

// Streams of the two random sources of a seed, and the number of the event source in the queue.
const (
	randomStream = 0xfa11
	eventStream  = 0xe7e27
	eventSource  = 1
)

// priorityWeights are the values of a unit of served traffic, by class.
var priorityWeights = []float64{3, 1}

// classShares are the shares of a zone's demand, by class.
var classShares = []float64{0.4, 0.6}

// demandLevels are the levels of demand that a schedule can have, as a fraction of the full capacity of a zone.
var demandLevels = []float64{0.6, 0.75, 0.85, 0.95}

// schedule is the state of one schedule. The result of a seed depends on the order of the random draws and of the sums,
// which therefore must not change.
type schedule struct {
	outcome  Outcome
	without  Ablation
	topology failover.Topology
	rules    failover.Rules
	optimal  *failover.Planner // plans from exact totals, without headroom

	random *rand.Rand
	events *rand.Rand // for events of zones and deaths of agents, which do not depend on who plans
	queue  eventqueue.Sim
	source eventqueue.Source
	now    time.Duration

	zones       []zone
	demandLevel float64
	lastEvent   time.Duration
	nodes       []*node
	agents      []*agent
	agentsDieAt time.Duration
	leases      *lease.State
	latestPlan  *failover.Plan // newest of all plans that were published

	account account
}

// RunSchedule runs the schedule of a seed.
func RunSchedule(seed uint64, without Ablation) Outcome {
	s := newSchedule(seed, without)
	s.addAgents()
	s.addZones()
	s.startAgents()
	s.tickLeases()
	s.lastEvent = -settleTime
	s.callAfter(eventqueue.UniformDuration(s.events, 8*time.Second, 12*time.Second), s.degradeZones)
	s.drawAgentsDeath()
	s.callAfter(0, s.measure)
	s.queue.Run(eventqueue.Time(scheduleLength / time.Microsecond))
	s.account.addTo(&s.outcome)
	return s.outcome
}

func newSchedule(seed uint64, without Ablation) *schedule {
	s := &schedule{
		outcome:     Outcome{Schedules: 1},
		without:     without,
		topology:    failover.Grid(regions, zonesPerRegion),
		rules:       failover.DefaultRules,
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		events:      rand.New(rand.NewPCG(seed, eventStream)),
		source:      eventqueue.NewSource(eventSource),
		agentsDieAt: never,
		leases:      lease.New(),
	}
	if without.Rate {
		s.rules.MaxGrowthRate = 1e9
	}
	if without.Fade {
		s.rules.FadeOver = time.Nanosecond
	}
	s.demandLevel = demandLevels[s.events.IntN(len(demandLevels))]
	rules := failover.DefaultRules
	rules.Headroom = 0
	s.optimal = s.newPlanner(rules)
	return s
}

func (s *schedule) newPlanner(rules failover.Rules) *failover.Planner {
	planner, err := failover.NewPlanner(s.topology, priorityWeights, rules)
	if err != nil {
		panic(err)
	}
	return planner
}

func (s *schedule) addAgents() {
	for i := range agentCount {
		s.agents = append(s.agents, &agent{
			schedule:  s,
			name:      fmt.Sprint("d", i),
			collector: failover.NewCollector(len(s.topology.Zones), len(priorityWeights)),
			planner:   s.newPlanner(s.rules),
		})
	}
}

// addZones adds the zones and their nodes, and schedules the nodes' first reports.
func (s *schedule) addZones() {
	for z := range s.topology.Zones {
		s.zones = append(s.zones, zone{capacity: fullCapacity, warmingSince: -time.Hour})
		for i := range nodesPerZone {
			n := &node{
				schedule:    s,
				zone:        z,
				name:        fmt.Sprint("n", z, "-", i),
				currentPlan: s.newCurrentPlan(),
				load:        make([]float64, len(s.topology.Zones)),
			}
			s.nodes = append(s.nodes, n)
			s.callAfter(s.reportDelay(), n.report)
		}
	}
}

func (s *schedule) newCurrentPlan() *failover.CurrentPlan {
	return failover.NewCurrentPlan(s.rules, len(s.topology.Zones), len(priorityWeights))
}

func (s *schedule) startAgents() {
	if s.without.Plans {
		return
	}
	for _, a := range s.agents {
		s.callAfter(s.reportDelay(), a.runCycle)
	}
}

// tickLeases advances the clock of the group that grants the lease of the failover leader, and schedules the next tick.
func (s *schedule) tickLeases() {
	_, _ = s.leases.Apply(lease.Command{Kind: lease.Tick}) // a tick is never rejected
	s.callAfter(reportInterval, s.tickLeases)
}

// drawAgentsDeath draws whether and when all agents die in this schedule.
func (s *schedule) drawAgentsDeath() {
	if s.events.Float64() >= allDieProbability {
		return
	}
	s.agentsDieAt = eventqueue.UniformDuration(s.events, 15*time.Second, 30*time.Second)
	s.outcome.AllAgentsDied++
	s.callAfter(s.agentsDieAt, func() {
		for _, a := range s.agents {
			a.stoppedUntil, a.cutUntil = never, never
		}
	})
}

// reportDelay draws the time from the start to a node's first report or an agent's first cycle.
func (s *schedule) reportDelay() time.Duration {
	return eventqueue.UniformDuration(s.random, 0, reportInterval)
}

// callAfter calls a function after a delay, rounded up to the queue's resolution: a function that runs before it is due
// would schedule itself again forever.
func (s *schedule) callAfter(delay time.Duration, f func()) {
	const resolution = time.Microsecond
	span := eventqueue.Span((max(delay, 0) + resolution - 1) / resolution)
	s.queue.ScheduleAfter(&s.source, span, eventqueue.Event{Target: s, Payload: f})
}

// Handle sets the current time and runs the function of an event.
func (s *schedule) Handle(now eventqueue.Time, event eventqueue.Event) {
	s.now = time.Duration(now) * time.Microsecond
	event.Payload.(func())()
}

// send schedules the delivery of a message. It usually arrives soon, but may be lost, late or delivered twice.
func (s *schedule) send(deliver func()) {
	for _, delay := range eventqueue.DrawDelays(s.random, shortestDelay, usualDelay, longestDelay) {
		s.callAfter(delay, deliver)
	}
}
