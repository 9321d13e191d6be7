package emulator

import (
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Kinds of a backend's events.
const (
	backendArrival         = iota // Payload: the attempt
	backendCompletion             // Argument: the completionGeneration that scheduled it; outdated ones are ignored
	backendCancellation           // Payload: the attempt
	backendWarmUpTick             // Payload: the incarnation; capacity grows during slow start
	backendReportMeasured         // the next load report is measured
	backendReportPublished        // the measured load report becomes visible
	backendOverloadDue            // Argument: the longQueueSince that scheduled it; overload begins if it still holds
	backendRecoveryDue            // Argument: the lowLoadSince, or minus the overloadedAt, that scheduled it; overload ends
)

// backendIncarnation is one process of a backend; a restart creates another.
type backendIncarnation struct {
	startedAt   eventqueue.Time // 0: long before the run
	connections int
}

// Backend is a server process: cores that its running attempts share, slots, and a bounded queue. Running attempts all
// get the same part of the cores, at most one core each, so one number (attainedService) tells how far each has come:
// processor sharing; with one slot a core, a first-come-first-served queue with as many servers as cores.
type Backend struct {
	simulation       *Simulation
	source           eventqueue.Source
	random           eventqueue.Stream
	id               balancer.EndpointID
	place            int // index of its address; a replacement has the same
	site             int
	rack             int
	kind             *scenario.Kind
	idempotencyStore *idempotencyStore

	speed, slowStartInitial float64
	slowStartDuration       eventqueue.Span
	slots, queueCapacity    int

	incarnation *backendIncarnation
	running     bool // the process runs
	unreachable bool // the machine does not even reset connections
	replaced    bool // another backend has its address
	draining    bool
	frozen      bool
	slowdown    float64 // factor on the time of all work
	errorRate   float64
	resetRate   float64
	garbageRate float64

	attainedService      float64 // µs of work that an attempt running since the start would have got
	serviceRate          float64 // of attainedService, per µs
	updatedAt            eventqueue.Time
	completionGeneration int64
	active               attemptHeap
	queue                []*attempt // with canceled ones, which are skipped at the head
	queueLength          int        // without canceled ones
	inTransit            int        // attempts sent to it that have not arrived

	longQueueSince, lowLoadSince eventqueue.Time // 0: the condition does not hold
	overloaded                   bool
	overloadedAt                 eventqueue.Time

	cachedKeys                []cachedKey
	busyTime                  float64 // core time in µs since the last load report
	busyMeasuredAt            eventqueue.Time
	nextReport, visibleReport balancer.LoadReport
}

// cachedKey is an affinity key that a backend has served lately.
type cachedKey struct {
	key      uint64
	lastUsed eventqueue.Time
}

// newBackend returns a backend in service. The name of its random stream decides its draws, so existing names must stay.
func (s *Simulation) newBackend(place int, id balancer.EndpointID, streamName string) *Backend {
	b := &Backend{
		simulation:    s,
		source:        eventqueue.NewSource(sourceBackend | uint32(id)),
		random:        eventqueue.NewStream(s.seed, streamName),
		id:            id,
		place:         place,
		site:          s.scenario.Site(place),
		incarnation:   &backendIncarnation{},
		running:       true,
		slowdown:      1,
		updatedAt:     s.events.Now(),
		visibleReport: unknownReport,
	}
	sites := len(s.scenario.Fleet.Sites)
	b.rack = place/sites/s.scenario.Fleet.Rack*sites + b.site // racks of different sites never share a number
	b.idempotencyStore = s.idempotencyStoreOf(b.rack)
	b.kind = s.backendKindAt(place)
	b.speed = interpolate(b.kind.Speed, b.random.Float64())
	b.slowStartInitial = interpolate(b.kind.SlowStartInitial, b.random.Float64())
	b.slowStartDuration = fromMilliseconds(interpolate(b.kind.SlowStartDuration, b.random.Float64()))
	b.slots = max(1, int(math.Round(b.kind.Slots*float64(b.kind.Cores))))
	b.queueCapacity = int(math.Round(b.kind.Queue * float64(b.kind.Cores)))
	return b
}

// interpolate returns the point of a range at a fraction of its length.
func interpolate(r scenario.Range, x float64) float64 { return r[0] + (r[1]-r[0])*x }

// fromMilliseconds converts a setting in milliseconds to virtual time.
func fromMilliseconds(ms float64) eventqueue.Span { return eventqueue.Span(math.Round(ms * 1000)) }

// Handle processes the backend's events.
func (b *Backend) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case backendArrival:
		b.receiveAttempt(now, e.Payload.(*attempt))
	case backendCompletion:
		if e.Argument == b.completionGeneration {
			b.completeAttempts(now)
		}
	case backendCancellation:
		if a := e.Payload.(*attempt); a.state == attemptQueued && b.kind.CancelQueued && a.incarnation == b.incarnation {
			b.cancelQueuedAttempt(a)
			b.startQueuedAttempts(now)
		}
	case backendWarmUpTick:
		if e.Payload == b.incarnation {
			b.continueSlowStart(now)
		}
	case backendReportMeasured:
		b.measureReport(now)
	case backendReportPublished:
		b.visibleReport = b.nextReport
	case backendOverloadDue:
		if b.longQueueSince == e.Argument && e.Argument > 0 && !b.overloaded {
			b.beginOverload(now)
		}
	case backendRecoveryDue:
		if b.overloaded && (e.Argument > 0 && b.lowLoadSince == e.Argument || e.Argument < 0 && b.overloadedAt == -e.Argument) {
			b.overloaded, b.longQueueSince = false, 0
			b.handleLoadChange(now)
		}
	}
}

// stopProcess ends the process: all its attempts are lost, and their connections are reset unless the machine has become
// unreachable with it.
func (b *Backend) stopProcess(now eventqueue.Time, unreachable bool) {
	if !b.running {
		b.unreachable = b.unreachable || unreachable
		return
	}
	b.advanceService(now)
	b.running, b.unreachable, b.draining = false, unreachable, false
	interrupted := append([]*attempt(b.active), b.queue...)
	b.active, b.queue, b.queueLength = nil, nil, 0
	b.cachedKeys = nil
	b.overloaded, b.longQueueSince, b.lowLoadSince = false, 0, 0
	b.handleLoadChange(now)
	b.simulation.checker.SlowStartEnded(b.id)
	for _, a := range interrupted {
		if a.state != attemptRunning && a.state != attemptQueued {
			continue
		}
		if a.state == attemptRunning {
			b.simulation.recorder.recordLostWork(a, b.attainedService)
		}
		a.state = attemptFinished
		if unreachable {
			a.loseMessage(b.simulation)
		} else {
			a.reply(balancer.OutcomeReset)
		}
		if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.idempotencyStore.abortExecution(a)
		}
	}
}

// startProcess starts a new process, in slow start.
func (b *Backend) startProcess(now eventqueue.Time) {
	b.incarnation = &backendIncarnation{startedAt: now}
	b.running, b.unreachable, b.draining = true, false, false
	b.updatedAt, b.busyMeasuredAt, b.busyTime = now, now, 0
	b.visibleReport = unknownReport
	b.schedule(slowStartStep, eventqueue.Event{Target: b, Kind: backendWarmUpTick, Payload: b.incarnation})
	b.handleLoadChange(now)
}

// schedule sets an event of this backend after a delay.
func (b *Backend) schedule(delay eventqueue.Span, event eventqueue.Event) {
	b.simulation.events.ScheduleAfter(&b.source, delay, event)
}
