package fake

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/scenario"
)

// maxRememberedIDs is how many request IDs are known at once; the oldest is forgotten first. At 10,000 requests a second
// that is more than twice the longest deadline.
const maxRememberedIDs = 1 << 17

// socketTolerance is added to every time limit that is checked on sockets, in µs.
const socketTolerance = 50_000

// notificationKey is a process of a backend, as one node knows it.
type notificationKey struct{ node, backend int }

// ledger counts what arrives and what is executed. It belongs to the cluster's goroutine.
type ledger struct {
	classes             []balancer.Class
	drainGrace          int64 // µs
	executions          map[string]int
	rememberedIDs       []string // in the order of their first execution; a ring once it is full
	oldest              int      // index in rememberedIDs
	arrivalsByAddress   map[int]int64
	executionsByAddress map[int]int64
	notifiedAt          map[notificationKey]int64 // when a node was notified that a backend is draining or removed
	totals              Report
}

func newLedger(config *scenario.Scenario) *ledger {
	return &ledger{
		classes:             config.Config(0, make([]float64, len(config.Tenants))).Classes,
		drainGrace:          int64(config.Rules.DrainGrace*microsPerMilli) + socketTolerance,
		executions:          map[string]int{},
		arrivalsByAddress:   map[int]int64{},
		executionsByAddress: map[int]int64{},
		notifiedAt:          map[notificationKey]int64{},
	}
}

// recordArrival counts a request at a backend. It reports whether the node should have known for longer than the grace
// that the backend is draining or removed.
func (l *ledger) recordArrival(now int64, node, addressIndex, backend int) (afterDrain bool) {
	l.totals.Arrived++
	l.arrivalsByAddress[addressIndex]++
	if at, ok := l.notifiedAt[notificationKey{node, backend}]; ok && now > at+l.drainGrace {
		l.totals.AfterDrain++
		return true
	}
	return false
}

// recordExecution counts an execution. It reports whether the request had been executed before although its class is not
// idempotent.
func (l *ledger) recordExecution(id string, class, addressIndex int) (duplicate bool) {
	l.executionsByAddress[addressIndex]++
	before := l.executions[id]
	if before == 0 {
		l.remember(id)
	}
	l.executions[id] = before + 1
	if before > 0 && l.classes[class].Idempotency == balancer.NonIdempotent {
		l.totals.DuplicateRuns++
		return true
	}
	return false
}

// remember keeps an ID, and forgets the oldest one where there are too many.
func (l *ledger) remember(id string) {
	if len(l.rememberedIDs) < maxRememberedIDs {
		l.rememberedIDs = append(l.rememberedIDs, id)
		return
	}
	delete(l.executions, l.rememberedIDs[l.oldest])
	l.rememberedIDs[l.oldest] = id
	l.oldest = (l.oldest + 1) % maxRememberedIDs
}

// recordNotification notes the first time that a node was notified of a backend's drain or removal.
func (l *ledger) recordNotification(now int64, node, backend int, phase balancer.Phase) {
	key := notificationKey{node, backend}
	if phase == balancer.PhaseReady {
		delete(l.notifiedAt, key)
		return
	}
	if _, ok := l.notifiedAt[key]; !ok {
		l.notifiedAt[key] = now
	}
}
