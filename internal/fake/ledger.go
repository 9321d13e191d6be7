package fake

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/scenario"
)

// maxRememberedIDs is the number of request IDs whose executions are counted; the oldest is forgotten first. At 10,000
// requests a second they cover more than twice the longest deadline.
const maxRememberedIDs = 1 << 17

// socketTolerance is added to each time limit that is checked on sockets, in µs.
const socketTolerance = 50_000

// notificationKey identifies a backend process in the endpoint list of one node.
type notificationKey struct{ node, backend int }

// ledger counts requests that arrive at backends, and their executions. The cluster's goroutine owns it.
type ledger struct {
	classes             []balancer.Class
	drainGrace          int64 // µs
	executions          map[string]int
	rememberedIDs       []string // in the order of their first executions; a ring buffer once it is full
	oldest              int      // index of the oldest ID in rememberedIDs, once that is full
	arrivalsByAddress   map[int]int64
	executionsByAddress map[int]int64
	notifiedAt          map[notificationKey]int64 // when a node was first notified that a backend is draining or removed
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

// recordArrival counts a request that arrives at a backend. It reports whether the node was notified longer than the
// drain grace ago that the backend is draining or removed.
func (l *ledger) recordArrival(now int64, node, addressIndex, backend int) (afterDrain bool) {
	l.totals.Arrived++
	l.arrivalsByAddress[addressIndex]++
	if at, ok := l.notifiedAt[notificationKey{node, backend}]; ok && now > at+l.drainGrace {
		l.totals.AfterDrain++
		return true
	}
	return false
}

// recordExecution counts an execution. It reports whether it is a duplicate: the request has been executed before, and
// its class is not idempotent.
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

// remember stores an ID, in place of the oldest one if there are maxRememberedIDs.
func (l *ledger) remember(id string) {
	if len(l.rememberedIDs) < maxRememberedIDs {
		l.rememberedIDs = append(l.rememberedIDs, id)
		return
	}
	delete(l.executions, l.rememberedIDs[l.oldest])
	l.rememberedIDs[l.oldest] = id
	l.oldest = (l.oldest + 1) % maxRememberedIDs
}

// recordNotification stores when a node was first notified that a backend is draining or removed. A notification that
// the backend is ready clears that.
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
