package invariant

import (
	"testing"

	"tulipglade/internal/balancer"
)

const ms = 1000

func testConfig() Config {
	return Config{
		AnswerGrace:    20 * ms,
		DrainGrace:     500 * ms,
		OverloadFactor: 3,
		OverloadWindow: 3000 * ms,
		Classes: []balancer.Class{
			{Idempotency: balancer.Idempotent},
			{Idempotency: balancer.NonIdempotent},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeCell, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeZone, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeAll, IdempotencyWindow: 6000 * ms},
		},
	}
}

// Indexes of the classes in testConfig.
const (
	idempotent = iota
	nonIdempotent
	keyedInRack
	keyedInSite
	keyedEverywhere
)

var (
	firstBackend = Backend{ID: 1, Site: 0, Rack: 0}
	sameRack     = Backend{ID: 2, Site: 0, Rack: 0}
	sameSite     = Backend{ID: 3, Site: 0, Rack: 1}
	otherSite    = Backend{ID: 4, Site: 1, Rack: 2}
)

// ruleCase is a sequence of events and the rule that it violates, which is empty if it violates none.
type ruleCase struct {
	events   func(c *Checker)
	violated Rule
}

// checkRules runs the events of each case and checks that its rule is reported, or that no violation is.
func checkRules(t *testing.T, cases map[string]ruleCase) {
	t.Helper()
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := New(testConfig(), 0)
			test.events(c)
			if test.violated == "" {
				if len(c.Violations()) > 0 {
					t.Errorf("a violation is reported: %v", c.Violations()[0])
				}
				return
			}
			if c.ViolationCounts()[test.violated] == 0 {
				t.Errorf("no violation of %s is reported: %v", test.violated, c.ViolationCounts())
			}
		})
	}
}

// accept records that node 0 accepted request 1.
func accept(c *Checker, class int, deadline balancer.Time) {
	c.RequestAccepted(0, 0, 1, class, deadline)
}

// send records that node 0 sent an attempt of request 1 to a backend.
func send(c *Checker, at balancer.Time, backend Backend) { c.AttemptSent(at, 0, 1, backend) }

// answer records that node 0 answered request 1.
func answer(c *Checker, at balancer.Time, final Final) { c.RequestAnswered(at, 0, 1, final) }

// sendFirst records that node 0 accepted request 1 and sent it to firstBackend, and that the attempt ended at 10 ms.
func sendFirst(c *Checker, class int, outcome balancer.Outcome) {
	accept(c, class, 9000*ms)
	send(c, 0, firstBackend)
	c.AttemptEnded(10*ms, 1, 0, outcome)
}

func TestOneAnswerLimits(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"answered at the end of the grace": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			answer(c, 120*ms, Failed)
		}, ""},
		"answered past the grace": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			answer(c, 121*ms, Failed)
		}, OneAnswer},
		"never answered": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			c.Close(200 * ms)
		}, OneAnswer},
		"not yet due": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			c.Close(110 * ms)
		}, ""},
		"client disconnected": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			c.ClientDisconnected(50*ms, 1)
			c.Close(200 * ms)
		}, ""},
		"node crashed": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			c.NodeCrashed(0)
			c.Close(200 * ms)
		}, ""},
		"another node crashed": {func(c *Checker) {
			accept(c, idempotent, 100*ms)
			c.NodeCrashed(1)
			c.Close(200 * ms)
		}, OneAnswer},
		"answered twice": {func(c *Checker) {
			accept(c, idempotent, 9)
			answer(c, 1, Failed)
			answer(c, 2, Failed)
		}, OneAnswer},
		"never accepted": {func(c *Checker) {
			answer(c, 1, Failed)
		}, OneAnswer},
		"sent after its answer": {func(c *Checker) {
			accept(c, idempotent, 9)
			answer(c, 1, Failed)
			send(c, 2, firstBackend)
		}, OneAnswer},
		"sent after the client disconnected": {func(c *Checker) {
			accept(c, idempotent, 9)
			c.ClientDisconnected(1, 1)
			send(c, 2, firstBackend)
		}, OneAnswer},
	})
}

func TestNoDuplicateRunByIdempotency(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"idempotent, retried after a timeout": {func(c *Checker) {
			sendFirst(c, idempotent, balancer.OutcomeTimeout)
			send(c, 20*ms, otherSite)
		}, ""},
		"two attempts in flight": {func(c *Checker) {
			accept(c, idempotent, 9)
			send(c, 0, firstBackend)
			send(c, 1, otherSite)
		}, NoDuplicateRun},
		"non-idempotent, connect failed": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeConnectFailed)
			send(c, 20*ms, otherSite)
		}, ""},
		"non-idempotent, rejected": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeRejected)
			send(c, 20*ms, otherSite)
		}, ""},
		"non-idempotent, reset": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeReset)
			send(c, 20*ms, otherSite)
		}, NoDuplicateRun},
		"non-idempotent, canceled": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeCanceled)
			send(c, 20*ms, otherSite)
		}, NoDuplicateRun},
		"non-idempotent, error": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeServerError)
			send(c, 20*ms, otherSite)
		}, NoDuplicateRun},
	})
}

func TestNoDuplicateRunByKey(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"within the rack": {func(c *Checker) {
			sendFirst(c, keyedInRack, balancer.OutcomeReset)
			send(c, 20*ms, sameRack)
		}, ""},
		"outside the rack": {func(c *Checker) {
			sendFirst(c, keyedInRack, balancer.OutcomeReset)
			send(c, 20*ms, sameSite)
		}, NoDuplicateRun},
		"within the site": {func(c *Checker) {
			sendFirst(c, keyedInSite, balancer.OutcomeReset)
			send(c, 20*ms, sameSite)
		}, ""},
		"outside the site": {func(c *Checker) {
			sendFirst(c, keyedInSite, balancer.OutcomeReset)
			send(c, 20*ms, otherSite)
		}, NoDuplicateRun},
		"everywhere": {func(c *Checker) {
			sendFirst(c, keyedEverywhere, balancer.OutcomeReset)
			send(c, 20*ms, otherSite)
		}, ""},
		"at the end of the window": {func(c *Checker) {
			sendFirst(c, keyedInRack, balancer.OutcomeReset)
			send(c, 6000*ms, firstBackend)
		}, ""},
		"past the window": {func(c *Checker) {
			sendFirst(c, keyedInRack, balancer.OutcomeReset)
			send(c, 6001*ms, firstBackend)
		}, NoDuplicateRun},
	})
}

// A rejection promises the client that it may safely retry. A node breaks that promise if it rejects a request that may
// have run and whose second run would have an effect.
func TestNoDuplicateRunAfterRejection(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"may have run": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeReset)
			answer(c, 20*ms, Rejected)
		}, NoDuplicateRun},
		"still in flight": {func(c *Checker) {
			accept(c, nonIdempotent, 9)
			send(c, 0, firstBackend)
			answer(c, 1, Rejected)
		}, NoDuplicateRun},
		"never ran": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeRejected)
			answer(c, 20*ms, Rejected)
		}, ""},
		"keyed everywhere": {func(c *Checker) {
			sendFirst(c, keyedEverywhere, balancer.OutcomeReset)
			answer(c, 20*ms, Rejected)
		}, ""},
		"failed instead of rejected": {func(c *Checker) {
			sendFirst(c, nonIdempotent, balancer.OutcomeReset)
			answer(c, 20*ms, Failed)
		}, ""},
	})
}

// acceptAndSend records that node 0 accepted request 1 and sent it to firstBackend at once.
func acceptAndSend(c *Checker, at balancer.Time) {
	c.RequestAccepted(at, 0, 1, idempotent, at+9000*ms)
	send(c, at, firstBackend)
}

// sendDrained notifies node 0 at time 0 that firstBackend is draining, and sends it a request at the given time.
func sendDrained(c *Checker, at balancer.Time) {
	c.NodeNotified(0, 0, 1, balancer.PhaseDraining, 0)
	acceptAndSend(c, at)
}

func TestNoSendToDrainedLimits(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"at the end of the grace": {func(c *Checker) {
			sendDrained(c, 500*ms)
		}, ""},
		"past the grace": {func(c *Checker) {
			sendDrained(c, 501*ms)
		}, NoSendToDrained},
		"notified twice": {func(c *Checker) {
			c.NodeNotified(-300*ms, 0, 1, balancer.PhaseDraining, 0)
			sendDrained(c, 300*ms)
		}, NoSendToDrained},
		"back in service": {func(c *Checker) {
			c.NodeNotified(0, 0, 1, balancer.PhaseRemoved, 0)
			c.NodeNotified(1, 0, 1, balancer.PhaseReady, 1)
			acceptAndSend(c, 900*ms)
		}, ""},
		"another node notified": {func(c *Checker) {
			c.NodeNotified(0, 1, 1, balancer.PhaseRemoved, 0)
			acceptAndSend(c, 900*ms)
		}, ""},
		"notified before a restart of the node": {func(c *Checker) {
			c.NodeNotified(0, 0, 1, balancer.PhaseRemoved, 0)
			c.NodeCrashed(0)
			acceptAndSend(c, 900*ms)
		}, ""},
	})
}

// overload sends the given amount of work over 2 s to an endpoint that has the capacity of one core. Only node 0 is
// notified of the endpoint's start.
func overload(c *Checker, node int, work float64) {
	c.NodeNotified(0, 0, 1, balancer.PhaseReady, 1)
	spreadWork(c, node, 0, work)
}

// spreadWork sends the work in 200 equal attempts, one every 10 ms.
func spreadWork(c *Checker, node int, from balancer.Time, work float64) {
	for i := range balancer.Time(200) {
		c.AttemptArrived(from+i*10*ms, node, 1, 1, work/200, 1)
	}
}

func TestNoSlowStartOverloadLimits(t *testing.T) {
	checkRules(t, map[string]ruleCase{
		"within its budget": {func(c *Checker) {
			overload(c, 0, 8800*ms)
		}, ""},
		"overloaded": {func(c *Checker) {
			overload(c, 0, 9900*ms)
		}, NoSlowStartOverload},
		"by nodes that do not know of the start": {func(c *Checker) {
			overload(c, 7, 9900*ms)
		}, ""},
		"spread over two windows": {func(c *Checker) {
			overload(c, 0, 6000*ms)
			spreadWork(c, 0, 3500*ms, 6000*ms)
		}, ""},
	})
}

// The checker must forget old completed requests and keep a bounded number of violations, so that its memory does not
// grow with the length of the run.
func TestMemoryIsBounded(t *testing.T) {
	c := New(testConfig(), 0)
	for id := balancer.RequestID(1); id < 5*maxCompleted; id++ {
		c.RequestAccepted(0, 0, id, idempotent, 100)
		c.RequestAnswered(1, 0, id, Failed)
	}
	if len(c.requests) > maxCompleted+1 || c.InFlight() != 0 {
		t.Errorf("%d requests retained, %d in flight", len(c.requests), c.InFlight())
	}
	for id := balancer.RequestID(1); id < 100; id++ {
		c.RequestAnswered(2, 0, id, Failed)
	}
	if len(c.Violations()) != maxViolations || c.ViolationCounts()[OneAnswer] != 99 {
		t.Errorf("%d retained of %d", len(c.Violations()), c.ViolationCounts()[OneAnswer])
	}
}
