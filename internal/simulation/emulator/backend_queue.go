package emulator

import (
	"container/heap"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// receiveAttempt handles an attempt whose last byte has arrived.
func (b *Backend) receiveAttempt(now eventqueue.Time, a *attempt) {
	b.inTransit--
	if b.unreachable {
		a.loseMessage(b.simulation)
		return
	}
	if !b.running || a.incarnation != b.incarnation {
		a.reply(balancer.OutcomeReset) // the process that accepted the connection has ended
		return
	}
	connections := &b.simulation.scenario.Fleet.Conns
	if a.newConnection {
		a.work += connections.Work
	}
	if b.slowStartFraction(now) < 1 {
		b.simulation.checker.AttemptArrived(now, a.request.node.index, b.id, b.incarnation.startedAt, a.work, b.capacity(now))
	}
	draws := eventqueue.NewDraws(b.simulation.seed, a.drawSeed(), drawOutcome)
	switch {
	case a.newConnection && connections.PerCore > 0 && float64(b.incarnation.connections) > connections.PerCore*float64(b.kind.Cores),
		b.draining, len(b.active) >= b.slots && b.queueLength >= b.queueCapacity:
		a.reply(balancer.OutcomeRejected)
		return
	case draws.Float64() < max(b.errorRate, b.kind.Errors):
		a.reply(balancer.OutcomeServerError)
		return
	}
	if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop && b.idempotencyStore.joinEarlierExecution(now, a) {
		return
	}
	b.enqueueAttempt(now, a)
}

// enqueueAttempt starts an attempt, or queues it where all slots are taken.
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

// startAttempt starts the execution of an attempt: from here on its request counts as executed.
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

// touchKey reports whether the backend has served the affinity key lately, and records its use.
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

// completeAttempts ends the attempts whose work is done, and starts queued ones in their slots.
func (b *Backend) completeAttempts(now eventqueue.Time) {
	b.advanceService(now)
	const roundingError = 1e-6 // µs of work that floating-point sums may leave
	for len(b.active) > 0 && b.active[0].completionService <= b.attainedService+roundingError {
		a := heap.Pop(&b.active).(*attempt)
		a.state = attemptFinished
		b.simulation.recorder.recordWork(a)
		a.reply(b.drawOutcome(a))
		if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
			b.idempotencyStore.completeExecution(a)
		}
	}
	b.startQueuedAttempts(now)
}

// startQueuedAttempts starts queued attempts while there are free slots.
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

// cancelQueuedAttempt ends a queued attempt. Its entry stays in the queue and is skipped at the head.
func (b *Backend) cancelQueuedAttempt(a *attempt) {
	b.queueLength--
	b.finishUnstarted(b.simulation.events.Now(), a, 0)
}

// finishUnstarted ends an attempt that never ran. Attempts with the same key that waited for it run in its place.
func (b *Backend) finishUnstarted(now eventqueue.Time, a *attempt, out balancer.Outcome) {
	a.state = attemptFinished
	if out != 0 {
		a.reply(out)
	}
	if a.request.call.idempotency == balancer.IdempotentByKey && b.kind.KeyedDrop {
		b.idempotencyStore.restartFromWaiters(now, a)
	}
}

// drawOutcome draws whether the answer of completed work is lost by a reset or made unreadable by a fault.
func (b *Backend) drawOutcome(a *attempt) balancer.Outcome {
	resetRate := max(b.resetRate, b.simulation.scenario.Net.Reset)
	if resetRate <= 0 && b.garbageRate <= 0 {
		return balancer.OutcomeOK
	}
	draws := eventqueue.NewDraws(b.simulation.seed, a.drawSeed(), drawReset)
	if draws.Float64() < resetRate {
		return balancer.OutcomeReset
	}
	if draws.Float64() < b.garbageRate {
		return balancer.OutcomeServerError // a node rejects an answer that it can't parse
	}
	return balancer.OutcomeOK
}
