package emulator

import (
	"math"

	"tulipglade/internal/simulation/eventqueue"
)

// slowStartStep is the time between two steps of a backend's capacity during slow start.
const slowStartStep = 50 * eventqueue.Millisecond

// maxCompletionDelay bounds the time to a completion, so that a tiny rate can't overflow the clock.
const maxCompletionDelay = 1e15

// nominalCapacity is the capacity after slow start and without faults, in µs of work per µs.
func (b *Backend) nominalCapacity() float64 { return b.speed * float64(b.kind.Cores) }

// slowStartFraction is the fraction of its capacity that the backend has at this point of its slow start; 1 after it.
func (b *Backend) slowStartFraction(now eventqueue.Time) float64 {
	if age := now - b.incarnation.startedAt; b.incarnation.startedAt > 0 && age < b.slowStartDuration {
		return b.slowStartInitial + (1-b.slowStartInitial)*float64(age)/float64(b.slowStartDuration)
	}
	return 1
}

// capacity is the present capacity, in µs of work per µs.
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

// ExpectedLatency is the time in µs that a request of mean work would take if it were sent now, given the attempts that
// run, wait or are on their way.
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

// InFlight counts running and queued attempts.
func (b *Backend) InFlight() int { return len(b.active) + b.queueLength }

// advanceService brings attainedService and busyTime up to now.
func (b *Backend) advanceService(now eventqueue.Time) {
	if d := float64(now - b.updatedAt); d > 0 {
		b.attainedService += b.serviceRate * d
		b.busyTime += d * float64(min(len(b.active), b.kind.Cores))
		b.updatedAt = now
	}
}

// rescheduleCompletion computes the service rate anew and schedules the next completion, which outdates the former one.
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
		delay := eventqueue.Span(min(remaining, maxCompletionDelay))
		b.schedule(delay, eventqueue.Event{Target: b, Kind: backendCompletion, Argument: b.completionGeneration})
	}
}

// handleLoadChange must follow every change of the backend's attempts or capacity: it reschedules the next completion and
// the start or end of overload.
func (b *Backend) handleLoadChange(now eventqueue.Time) {
	b.rescheduleCompletion(now)
	settings := &b.simulation.scenario.Fleet.Overdrive
	if settings.PerCore <= 0 {
		return
	}
	cores := float64(b.kind.Cores)
	if float64(b.queueLength) <= settings.PerCore*cores {
		b.longQueueSince = 0
	} else if b.longQueueSince == 0 {
		b.longQueueSince = now
		b.schedule(fromMilliseconds(settings.Over), eventqueue.Event{Target: b, Kind: backendOverloadDue, Argument: now})
	}
	if !b.overloaded || float64(b.InFlight()) > settings.Below*cores {
		b.lowLoadSince = 0
	} else if b.lowLoadSince == 0 {
		b.lowLoadSince = now
		b.schedule(fromMilliseconds(settings.Rest), eventqueue.Event{Target: b, Kind: backendRecoveryDue, Argument: now})
	}
}

// continueSlowStart takes up the grown capacity, until slow start is over.
func (b *Backend) continueSlowStart(now eventqueue.Time) {
	b.advanceService(now)
	b.rescheduleCompletion(now)
	if b.slowStartFraction(now) < 1 {
		b.schedule(slowStartStep, eventqueue.Event{Target: b, Kind: backendWarmUpTick, Payload: b.incarnation})
	} else {
		b.simulation.checker.SlowStartEnded(b.id)
	}
}

// beginOverload slows the backend down until its load has been low for a while, or the longest overload is over.
func (b *Backend) beginOverload(now eventqueue.Time) {
	b.overloaded, b.overloadedAt = true, now
	b.simulation.recorder.overloads++
	longest := fromMilliseconds(b.simulation.scenario.Fleet.Overdrive.Most)
	b.schedule(longest, eventqueue.Event{Target: b, Kind: backendRecoveryDue, Argument: -now})
	b.handleLoadChange(now)
}
