package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// idempotencyStore holds the idempotency keys that the backends of a rack share: an attempt with a known key does not run
// again within the idempotency window.
type idempotencyStore struct {
	simulation *Simulation
	executions map[uint64]*keyedExecution
	inOrder    []*keyedExecution // by start, for expiry
}

// keyedExecution is the execution of a call under its idempotency key.
type keyedExecution struct {
	key       uint64 // number of the call
	startedAt eventqueue.Time
	window    eventqueue.Span
	first     *attempt // nil: the execution has completed
	waiters   []*attempt
}

// joinEarlierExecution answers an attempt whose key is known, or lets it wait for the execution under way, and returns
// true. Otherwise the attempt becomes the first with its key.
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
			a.reply(balancer.OutcomeOK)
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

// completeExecution records that the first attempt has run, and answers those that waited for it.
func (l *idempotencyStore) completeExecution(a *attempt) {
	if r := l.executions[a.request.call.Number]; r != nil && r.first == a {
		r.first = nil
		for _, x := range r.waiters {
			if x.backend.running && x.incarnation == x.backend.incarnation {
				x.reply(balancer.OutcomeOK)
			} else {
				x.reply(balancer.OutcomeReset)
			}
		}
		r.waiters = nil
	}
}

// abortExecution forgets an execution that was lost halfway: a later attempt runs anew, waiting ones are reset.
func (l *idempotencyStore) abortExecution(a *attempt) {
	if r := l.executions[a.request.call.Number]; r != nil && r.first == a {
		delete(l.executions, r.key)
		for _, x := range r.waiters {
			x.reply(balancer.OutcomeReset)
		}
	}
}

// restartFromWaiters forgets a first attempt that never ran: the next one that waited for it runs in its place.
func (l *idempotencyStore) restartFromWaiters(now eventqueue.Time, a *attempt) {
	r := l.executions[a.request.call.Number]
	if r == nil || r.first != a {
		return
	}
	delete(l.executions, r.key)
	for _, x := range r.waiters {
		if !x.backend.running || x.incarnation != x.backend.incarnation {
			x.reply(balancer.OutcomeReset)
		} else if !l.joinEarlierExecution(now, x) {
			x.backend.enqueueAttempt(now, x)
		}
	}
}
