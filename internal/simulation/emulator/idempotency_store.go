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
func (s *idempotencyStore) joinEarlierExecution(now eventqueue.Time, a *attempt) bool {
	for len(s.inOrder) > 0 && now-s.inOrder[0].startedAt > s.inOrder[0].window {
		if execution := s.inOrder[0]; s.executions[execution.key] == execution && execution.first == nil {
			delete(s.executions, execution.key)
		}
		s.inOrder[0] = nil
		s.inOrder = s.inOrder[1:]
	}
	key, window := a.request.call.Number, s.simulation.classes[a.request.call.Class].IdempotencyWindow
	if execution := s.executions[key]; execution != nil && now-execution.startedAt <= window {
		if execution.first == nil {
			a.reply(balancer.OutcomeOK)
		} else {
			a.state = attemptJoined
			execution.waiters = append(execution.waiters, a)
		}
		return true
	}
	execution := &keyedExecution{key: key, startedAt: now, window: window, first: a}
	s.executions[key] = execution
	s.inOrder = append(s.inOrder, execution)
	return false
}

// completeExecution records that the first attempt has run, and answers those that waited for it.
func (s *idempotencyStore) completeExecution(a *attempt) {
	if execution := s.executions[a.request.call.Number]; execution != nil && execution.first == a {
		execution.first = nil
		for _, waiter := range execution.waiters {
			if waiter.backend.running && waiter.incarnation == waiter.backend.incarnation {
				waiter.reply(balancer.OutcomeOK)
			} else {
				waiter.reply(balancer.OutcomeReset)
			}
		}
		execution.waiters = nil
	}
}

// abortExecution forgets an execution that was lost halfway: a later attempt runs anew, waiting ones are reset.
func (s *idempotencyStore) abortExecution(a *attempt) {
	if execution := s.executions[a.request.call.Number]; execution != nil && execution.first == a {
		delete(s.executions, execution.key)
		for _, waiter := range execution.waiters {
			waiter.reply(balancer.OutcomeReset)
		}
	}
}

// restartFromWaiters forgets a first attempt that never ran: the next one that waited for it runs in its place.
func (s *idempotencyStore) restartFromWaiters(now eventqueue.Time, a *attempt) {
	execution := s.executions[a.request.call.Number]
	if execution == nil || execution.first != a {
		return
	}
	delete(s.executions, execution.key)
	for _, waiter := range execution.waiters {
		if !waiter.backend.running || waiter.incarnation != waiter.backend.incarnation {
			waiter.reply(balancer.OutcomeReset)
		} else if !s.joinEarlierExecution(now, waiter) {
			waiter.backend.enqueueAttempt(now, waiter)
		}
	}
}
