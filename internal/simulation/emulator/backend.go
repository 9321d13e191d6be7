package emulator

import (
	"container/heap"
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// What a box's events mean.
const (
	backendArrival         = iota // P: the attempt
	backendCompletion             // A: the turn that it was set in
	backendCancellation           // P: the attempt
	backendWarmUpTick             // while it warms up
	backendReportMeasured         // of its load report
	backendReportPublished        // the report becomes visible
	backendOverloadDue            // A: since when it has been so; too many may have waited too long
	backendRecoveryDue            // A: since when; it may have been idle long enough
)

const slowStartStep = 50 * eventqueue.Millisecond // between two steps of a cold box's capacity

// Where an attempt is.
const (
	attemptInTransit = iota
	attemptJoined    // a repeat by key that waits for the first run
	attemptQueued
	attemptRunning
	attemptFinished
)

type attempt struct {
	request           *request
	number            int
	backend           *Backend
	incarnation       *backendIncarnation // of the box as the connection was made
	sentAt            eventqueue.Time
	work              float64 // µs on one core of speed 1
	completionService float64 // the box's attained service at which it is done
	state             uint8
	awaited           bool // the node waits for it
	newConnection     bool // on a new connection
	holdsConnection   bool // it holds a connection
	started           bool
	lost              bool // its request or answer was lost in a cut
	report            balancer.LoadReport
	liveContext       any // of a Live
}

// backendIncarnation is one process of a box; a restart begins another.
type backendIncarnation struct {
	startedAt   eventqueue.Time // 0: long ago
	connections int
}

// Backend is an app box: cores that its running requests share, slots, and a bounded waiting room. Requests in work all
// get the same part of the cores, at most one core each, so one number (attained) tells how far each has come:
// processor sharing, and with one slot a core the plain queue of so many servers.
type Backend struct {
	simulation       *Simulation
	source           eventqueue.Source
	random           eventqueue.Stream
	id               balancer.EndpointID
	place            int // its address: what replaces it has the same
	site             int
	rack             int
	kind             *scenario.Kind
	idempotencyStore *idempotencyStore

	speed, slowStartInitial float64
	slowStartDuration       eventqueue.Span
	slots, queueCapacity    int

	incarnation *backendIncarnation
	running     bool // the process runs
	unreachable bool // the machine has vanished
	replaced    bool // replaced for good
	draining    bool
	frozen      bool
	slowdown    float64
	errorRate   float64
	resetRate   float64
	garbageRate float64

	attainedService      float64
	serviceRate          float64 // of attained, per µs
	updatedAt            eventqueue.Time
	completionGeneration int64
	active               attemptHeap
	queue                []*attempt // with those that were dropped
	queueLength          int        // without
	inTransit            int        // attempts on their way

	longQueueSince, lowLoadSince eventqueue.Time // 0: not so
	overloaded                   bool
	overloadedAt                 eventqueue.Time

	cachedKeys                []cachedKey
	busyTime                  float64 // core time used since the last refresh of the report
	busyMeasuredAt            eventqueue.Time
	nextReport, visibleReport balancer.LoadReport
}

type cachedKey struct {
	key      uint64
	lastUsed eventqueue.Time
}

// attemptHeap is a heap of running attempts by due.
type attemptHeap []*attempt

func (j attemptHeap) Len() int           { return len(j) }
func (j attemptHeap) Less(a, b int) bool { return j[a].completionService < j[b].completionService }
func (j attemptHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *attemptHeap) Push(x any)        { *j = append(*j, x.(*attempt)) }
func (j *attemptHeap) Pop() any {
	old := *j
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*j = old[:len(old)-1]
	return x
}

var unknownReport = balancer.LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}

func (s *Simulation) newBackend(place int, id balancer.EndpointID, name string) *Backend {
	b := &Backend{simulation: s, source: eventqueue.NewSource(sourceBackend | uint32(id)), random: eventqueue.NewStream(s.seed, name), id: id, place: place,
		site: s.scenario.Site(place), incarnation: &backendIncarnation{}, running: true, slowdown: 1, updatedAt: s.events.Now(), visibleReport: unknownReport}
	sites := len(s.scenario.Fleet.Sites)
	b.rack = place/sites/s.scenario.Fleet.Rack*sites + b.site // no two sites have a rack of the same number
	b.idempotencyStore = s.idempotencyStoreOf(b.rack)
	b.kind = s.backendKindAt(place)
	b.speed = interpolate(b.kind.Speed, b.random.Float64())
	b.slowStartInitial = interpolate(b.kind.SlowStartInitial, b.random.Float64())
	b.slowStartDuration = fromMilliseconds(interpolate(b.kind.SlowStartDuration, b.random.Float64()))
	b.slots = max(1, int(math.Round(b.kind.Slots*float64(b.kind.Cores))))
	b.queueCapacity = int(math.Round(b.kind.Queue * float64(b.kind.Cores)))
	return b
}

func interpolate(r scenario.Range, x float64) float64 { return r[0] + (r[1]-r[0])*x }

func fromMilliseconds(ms float64) eventqueue.Span { return eventqueue.Span(math.Round(ms * 1000)) }

// nominalCapacity is what the box does when warm and well, in µs of work for each µs.
func (b *Backend) nominalCapacity() float64 { return b.speed * float64(b.kind.Cores) }

// slowStartFraction is the share of its capacity that the box has by now.
func (b *Backend) slowStartFraction(now eventqueue.Time) float64 {
	if age := now - b.incarnation.startedAt; b.incarnation.startedAt > 0 && age < b.slowStartDuration {
		return b.slowStartInitial + (1-b.slowStartInitial)*float64(age)/float64(b.slowStartDuration)
	}
	return 1
}

// capacity is what the box can do at the moment, in µs of work for each µs.
func (b *Backend) capacity(now eventqueue.Time) float64 {
	capacity := b.nominalCapacity() * b.slowStartFraction(now) / b.slowdown
	if perCore := float64(len(b.active)+b.queueLength) / float64(b.kind.Cores); perCore > b.kind.CrowdFrom {
		capacity /= 1 + b.kind.Crowd*(perCore-b.kind.CrowdFrom)
	}
	if b.overloaded {
		capacity /= b.simulation.scenario.Fleet.Overdrive.Slower
	}
	if b.frozen || !b.running {
		return 0
	}
	return capacity
}

// ExpectedLatency is the time in µs that a request of ordinary work would take if it were sent now, by what the box holds and
// what is on its way to it.
func (b *Backend) ExpectedLatency() float64 {
	now, work := b.simulation.events.Now(), 0.0
	b.advanceService(now)
	for _, a := range b.active {
		work += a.completionService - b.attainedService
	}
	work += float64(b.queueLength+b.inTransit) * b.simulation.meanWork
	capacity := max(b.capacity(now), 1e-9)
	return max((work+b.simulation.meanWork)/capacity, b.simulation.meanWork*float64(b.kind.Cores)/capacity)
}

// InFlight counts what is in work and waits.
func (b *Backend) InFlight() int { return len(b.active) + b.queueLength }

// advanceService brings attained up to now.
func (b *Backend) advanceService(now eventqueue.Time) {
	if d := float64(now - b.updatedAt); d > 0 {
		b.attainedService += b.serviceRate * d
		b.busyTime += d * float64(min(len(b.active), b.kind.Cores))
		b.updatedAt = now
	}
}

// rescheduleCompletion works out the rate anew and sets the next completion.
func (b *Backend) rescheduleCompletion(now eventqueue.Time) {
	activeCount := len(b.active)
	if activeCount == 0 {
		b.serviceRate = 0
		b.completionGeneration++
		return
	}
	rate := b.capacity(now) / float64(max(activeCount, b.kind.Cores))
	b.serviceRate = rate
	b.completionGeneration++
	if rate > 0 {
		remaining := math.Ceil((b.active[0].completionService - b.attainedService) / rate)
		b.simulation.events.After(&b.source, eventqueue.Span(min(remaining, 1e15)), eventqueue.Event{To: b, Kind: backendCompletion, A: b.completionGeneration})
	}
}

// Handle takes the box's events.
func (b *Backend) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case backendArrival:
		b.receiveAttempt(now, e.P.(*attempt))
	case backendCompletion:
		if e.A == b.completionGeneration {
			b.completeAttempts(now)
		}
	case backendCancellation:
		if a := e.P.(*attempt); a.state == attemptQueued && b.kind.CancelQueued && a.incarnation == b.incarnation {
			b.cancelQueuedAttempt(a)
			b.startQueuedAttempts(now)
		}
	case backendWarmUpTick:
		if e.P == b.incarnation {
			b.advanceService(now)
			b.rescheduleCompletion(now)
			if b.slowStartFraction(now) < 1 {
				b.simulation.events.After(&b.source, slowStartStep, eventqueue.Event{To: b, Kind: backendWarmUpTick, P: b.incarnation})
			} else {
				b.simulation.checker.Warm(b.id)
			}
		}
	case backendReportMeasured:
		b.measureReport(now)
	case backendReportPublished:
		b.visibleReport = b.nextReport
	case backendOverloadDue:
		if b.longQueueSince == e.A && e.A > 0 && !b.overloaded {
			b.overloaded, b.overloadedAt = true, now
			b.simulation.recorder.overloads++
			b.simulation.events.After(&b.source, fromMilliseconds(b.simulation.scenario.Fleet.Overdrive.Most), eventqueue.Event{To: b, Kind: backendRecoveryDue, A: -now})
			b.handleLoadChange(now)
		}
	case backendRecoveryDue:
		if b.overloaded && (e.A > 0 && b.lowLoadSince == e.A || e.A < 0 && b.overloadedAt == -e.A) {
			b.overloaded, b.longQueueSince = false, 0
			b.handleLoadChange(now)
		}
	}
}

// handleLoadChange follows whatever alters what the box holds or can do.
func (b *Backend) handleLoadChange(now eventqueue.Time) {
	b.rescheduleCompletion(now)
	o := &b.simulation.scenario.Fleet.Overdrive
	if o.PerCore <= 0 {
		return
	}
	cores := float64(b.kind.Cores)
	if float64(b.queueLength) <= o.PerCore*cores {
		b.longQueueSince = 0
	} else if b.longQueueSince == 0 {
		b.longQueueSince = now
		b.simulation.events.After(&b.source, fromMilliseconds(o.Over), eventqueue.Event{To: b, Kind: backendOverloadDue, A: now})
	}
	if !b.overloaded || float64(b.InFlight()) > o.Below*cores {
		b.lowLoadSince = 0
	} else if b.lowLoadSince == 0 {
		b.lowLoadSince = now
		b.simulation.events.After(&b.source, fromMilliseconds(o.Rest), eventqueue.Event{To: b, Kind: backendRecoveryDue, A: now})
	}
}

// receiveAttempt is an attempt whose last byte has come.
func (b *Backend) receiveAttempt(now eventqueue.Time, a *attempt) {
	b.inTransit--
	if b.unreachable {
		a.loseMessage(b.simulation)
		return
	}
	if !b.running || a.incarnation != b.incarnation {
		a.reply(now, balancer.OutcomeReset) // the process that had accepted the connection is gone
		return
	}
	c := &b.simulation.scenario.Fleet.Conns
	if a.newConnection {
		a.work += c.Work
	}
	if b.slowStartFraction(now) < 1 {
		b.simulation.checker.AttemptReached(now, a.request.node.index, b.id, b.incarnation.startedAt, a.work, b.capacity(now))
	}
	d := eventqueue.NewDraws(b.simulation.seed, uint64(a.request.id)<<8|uint64(a.number), drawOutcome)
	switch {
	case a.newConnection && c.PerCore > 0 && float64(b.incarnation.connections) > c.PerCore*float64(b.kind.Cores),
		b.draining, len(b.active) >= b.slots && b.queueLength >= b.queueCapacity:
		a.reply(now, balancer.OutcomeRejected)
		return
	case d.Float64() < max(b.errorRate, b.kind.Errors):
		a.reply(now, balancer.OutcomeServerError)
		return
	}
	if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop && b.idempotencyStore.joinEarlierExecution(now, a) {
		return
	}
	b.enqueueAttempt(now, a)
}

func (b *Backend) enqueueAttempt(now eventqueue.Time, a *attempt) {
	b.advanceService(now)
	if len(b.active) < b.slots {
		b.startAttempt(now, a)
	} else {
		a.state = attemptQueued
		b.queue = append(b.queue, a)
		b.queueLength++
	}
	b.handleLoadChange(now)
}

// startAttempt is the moment from which a request has run.
func (b *Backend) startAttempt(now eventqueue.Time, a *attempt) {
	a.state, a.started = attemptRunning, true
	a.request.call.executions++
	if a.request.call.executions > 1 && a.request.call.idempotency == balancer.NonIdempotent {
		b.simulation.recorder.duplicateExecutions++
	}
	if b.simulation.scenario.Fleet.Affinity.Gain > 0 && b.touchKey(now, a.request.call.Key) {
		a.work *= 1 - b.simulation.scenario.Fleet.Affinity.Gain
	}
	b.simulation.recorder.executions++
	if b.simulation.onExecution != nil {
		b.simulation.onExecution(a)
	}
	a.completionService = b.attainedService + a.work
	heap.Push(&b.active, a)
}

// touchKey tells whether the box has lately met the key, and remembers it.
func (b *Backend) touchKey(now eventqueue.Time, key uint64) bool {
	if key == 0 {
		return false
	}
	affinity := &b.simulation.scenario.Fleet.Affinity
	limit := max(1, int(affinity.KeysPerCore*float64(b.kind.Cores)))
	oldest := -1
	for i := range b.cachedKeys {
		if b.cachedKeys[i].key == key {
			cached := now-b.cachedKeys[i].lastUsed < fromMilliseconds(affinity.Millis)
			b.cachedKeys[i].lastUsed = now
			return cached
		}
		if oldest < 0 || b.cachedKeys[i].lastUsed < b.cachedKeys[oldest].lastUsed {
			oldest = i
		}
	}
	if len(b.cachedKeys) < limit {
		b.cachedKeys = append(b.cachedKeys, cachedKey{key, now})
	} else {
		b.cachedKeys[oldest] = cachedKey{key, now}
	}
	return false
}

func (b *Backend) completeAttempts(now eventqueue.Time) {
	b.advanceService(now)
	const crumb = 1e-6 // of a µs of work: what rounding may leave
	for len(b.active) > 0 && b.active[0].completionService <= b.attainedService+crumb {
		a := heap.Pop(&b.active).(*attempt)
		a.state = attemptFinished
		b.simulation.recorder.recordWork(a)
		out := balancer.OutcomeOK
		if b.resetRate > 0 || b.garbageRate > 0 || b.simulation.scenario.Net.Reset > 0 {
			d := eventqueue.NewDraws(b.simulation.seed, uint64(a.request.id)<<8|uint64(a.number), drawReset)
			if d.Float64() < max(b.resetRate, b.simulation.scenario.Net.Reset) {
				out = balancer.OutcomeReset
			} else if d.Float64() < b.garbageRate { // what a node makes of an answer that it cannot read
				out = balancer.OutcomeServerError
			}
		}
		a.reply(now, out)
		if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.idempotencyStore.completeExecution(now, a)
		}
	}
	b.startQueuedAttempts(now)
}

// startQueuedAttempts lets those who wait into free slots.
func (b *Backend) startQueuedAttempts(now eventqueue.Time) {
	b.advanceService(now)
	for len(b.active) < b.slots && len(b.queue) > 0 {
		a := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		if a.state != attemptQueued {
			continue
		}
		b.queueLength--
		if b.kind.DropExpired && now >= a.request.deadline {
			b.finishUnstarted(now, a, balancer.OutcomeRejected)
			continue
		}
		b.startAttempt(now, a)
	}
	b.handleLoadChange(now)
}

// cancelQueuedAttempt takes an attempt that waits out of the queue, where its place stays until its turn.
func (b *Backend) cancelQueuedAttempt(a *attempt) {
	b.queueLength--
	b.finishUnstarted(b.simulation.events.Now(), a, 0)
}

// finishUnstarted is the end of an attempt that did not run and will not; repeats that waited for it take its place.
func (b *Backend) finishUnstarted(now eventqueue.Time, a *attempt, out balancer.Outcome) {
	a.state = attemptFinished
	if out != 0 {
		a.reply(now, out)
	}
	if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
		b.idempotencyStore.restartFromWaiters(now, a)
	}
}

// stopProcess ends the process: what it held is gone, and connections are reset unless the machine has vanished with it.
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
	b.simulation.checker.Warm(b.id)
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
			a.reply(now, balancer.OutcomeReset)
		}
		if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.idempotencyStore.abortExecution(now, a)
		}
	}
}

// startProcess begins a new process, cold.
func (b *Backend) startProcess(now eventqueue.Time) {
	b.incarnation = &backendIncarnation{startedAt: now}
	b.running, b.unreachable, b.draining = true, false, false
	b.updatedAt, b.busyMeasuredAt, b.busyTime = now, now, 0
	b.visibleReport = unknownReport
	b.simulation.events.After(&b.source, slowStartStep, eventqueue.Event{To: b, Kind: backendWarmUpTick, P: b.incarnation})
	b.handleLoadChange(now)
}

// measureReport measures the load report, which becomes visible some time later.
func (b *Backend) measureReport(now eventqueue.Time) {
	r := &b.simulation.scenario.Fleet.Report
	b.advanceService(now)
	noise := func(x float64) float64 { return max(0, x*(1+r.Noise*b.random.NormFloat64())) }
	b.nextReport = unknownReport
	if d := float64(now - b.busyMeasuredAt); d > 0 {
		b.nextReport.Utilization = min(noise(b.busyTime/d/float64(b.kind.Cores)), 1)
		b.nextReport.Backlog = math.Round(noise(float64(b.queueLength)))
		if r.Includes("held") {
			b.nextReport.Outstanding = math.Round(noise(float64(b.InFlight())))
		}
		b.nextReport = r.LoadReport(b.nextReport)
	}
	b.busyTime, b.busyMeasuredAt = 0, now
	b.simulation.events.After(&b.source, fromMilliseconds(r.Delay), eventqueue.Event{To: b, Kind: backendReportPublished})
	b.simulation.events.After(&b.source, eventqueue.Span(float64(fromMilliseconds(r.Every))*(0.9+0.2*b.random.Float64())), eventqueue.Event{To: b, Kind: backendReportMeasured})
}

// reply sends an answer or a reset back to the node.
func (a *attempt) reply(now eventqueue.Time, out balancer.Outcome) {
	a.state = attemptFinished
	n, b := a.request.node, a.backend
	if b.simulation.partitioned(n.site, b.site) {
		a.loseMessage(b.simulation)
		return
	}
	if a.report = unknownReport; b.simulation.scenario.Fleet.Report.By == "answers" {
		a.report = b.visibleReport
	}
	b.simulation.events.After(&b.source, b.simulation.delay(&b.random, b.site, n.site), eventqueue.Event{To: a.request.replyTo, Kind: nodeReply, P: a, A: int64(out)})
}

// loseMessage is a request or an answer that a cut has swallowed: nothing is heard until the link is back.
func (a *attempt) loseMessage(simulation *Simulation) {
	a.lost = true
	if a.awaited {
		simulation.lostAttempts = append(simulation.lostAttempts, a)
	}
}

// idempotencyStore is the memory of keys that the boxes of a rack share: a repeat within the window does not run again.
type idempotencyStore struct {
	simulation *Simulation
	executions map[uint64]*keyedExecution
	inOrder    []*keyedExecution
}

type keyedExecution struct {
	key       uint64 // of the call
	startedAt eventqueue.Time
	window    eventqueue.Span
	first     *attempt // nil: it has run
	waiters   []*attempt
}

// joinEarlierExecution tells whether the attempt repeats one that the rack knows; if not, it is the first from now on.
func (l *idempotencyStore) joinEarlierExecution(now eventqueue.Time, a *attempt) bool {
	for len(l.inOrder) > 0 && now-l.inOrder[0].startedAt > l.inOrder[0].window {
		if execution := l.inOrder[0]; l.executions[execution.key] == execution && execution.first == nil {
			delete(l.executions, execution.key)
		}
		l.inOrder[0] = nil
		l.inOrder = l.inOrder[1:]
	}
	key, window := a.request.call.Number, l.simulation.classes[a.request.call.Class].IdempotencyWindow
	if execution := l.executions[key]; execution != nil && now-execution.startedAt <= window {
		if execution.first == nil {
			a.reply(now, balancer.OutcomeOK)
		} else {
			a.state = attemptJoined
			execution.waiters = append(execution.waiters, a)
		}
		return true
	}
	execution := &keyedExecution{key: key, startedAt: now, window: window, first: a}
	l.executions[key] = execution
	l.inOrder = append(l.inOrder, execution)
	return false
}

func (l *idempotencyStore) completeExecution(now eventqueue.Time, a *attempt) {
	if r := l.executions[a.request.call.Number]; r != nil && r.first == a {
		r.first = nil
		for _, x := range r.waiters {
			if x.backend.running && x.incarnation == x.backend.incarnation {
				x.reply(now, balancer.OutcomeOK)
			} else {
				x.reply(now, balancer.OutcomeReset)
			}
		}
		r.waiters = nil
	}
}

// abortExecution is a first run that was lost halfway: a later repeat runs anew, those that wait for it are reset.
func (l *idempotencyStore) abortExecution(now eventqueue.Time, a *attempt) {
	if r := l.executions[a.request.call.Number]; r != nil && r.first == a {
		delete(l.executions, r.key)
		for _, x := range r.waiters {
			x.reply(now, balancer.OutcomeReset)
		}
	}
}

// restartFromWaiters is a first that never ran: a repeat that waited for it runs in its place.
func (l *idempotencyStore) restartFromWaiters(now eventqueue.Time, a *attempt) {
	r := l.executions[a.request.call.Number]
	if r == nil || r.first != a {
		return
	}
	delete(l.executions, r.key)
	for _, x := range r.waiters {
		if !x.backend.running || x.incarnation != x.backend.incarnation {
			x.reply(now, balancer.OutcomeReset)
		} else if !l.joinEarlierExecution(now, x) {
			x.backend.enqueueAttempt(now, x)
		}
	}
}
